"""Limits of a target that hold for all instances together, as this instance applies them."""

from __future__ import annotations

import time
from collections.abc import Callable

from result import Err

from cassiashore._internal.ingress.attempt import TargetResponse
from cassiashore._internal.ingress.header_names import HeaderNames
from cassiashore._internal.ingress.rate_limit_header import named_rate_limit
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.steering.cold import ColdAdmission
from cassiashore._internal.steering.registry import RegisteredTarget
from cassiashore._internal.steering.routes import ServiceRule
from cassiashore._internal.steering.senders import connection_limit
from cassiashore._internal.steering.target_limits import TargetRateLimits


class TargetAdmission:
    """Applies the limits on cold targets, on named rates and on connections."""

    def __init__(
        self,
        cold: ColdAdmission,
        rate_limits: TargetRateLimits,
        instance_count: Callable[[], int],
        header_names: HeaderNames,
        decisions: DecisionLog,
    ) -> None:
        """Create an admission.

        ``instance_count`` returns the number of instances that share limits, or 0 if unknown.
        """
        self.rate_limits = rate_limits
        self._cold = cold
        self._instance_count = instance_count
        self._header_names = header_names
        self._decisions = decisions

    def try_admit(
        self,
        target: RegisteredTarget,
        rule: ServiceRule | None,
        limited: list[RegisteredTarget],
    ) -> bool:
        """Count a request if the limits of a target allow it; else return False.

        A target whose named rate limit is used up is appended to ``limited``.
        """
        if target.is_cold(time.monotonic()) and not self._admits_cold(target, rule):
            return False
        if self.rate_limits.try_admit(target):
            return True
        limited.append(target)
        return False

    def limit_connections(self, target: RegisteredTarget, rule: ServiceRule | None) -> None:
        """Limit the connections of this instance to its part of what the target accepts."""
        if rule is not None and rule.max_connections > 0:
            count = self._instance_count()
            target.pool.limit = connection_limit(rule.max_connections, count)

    def record_rate_limit(self, target: RegisteredTarget, response: TargetResponse) -> None:
        """Record the rate limit that a response names, and log when it changes."""
        named = named_rate_limit(response.head, self._header_names)
        if isinstance(named, Err):
            self._decisions.write_request(
                "target-limit-ignored", target=target.target_id, why=named.err_value
            )
            return
        limit = named.ok_value
        rate = limit.rate if limit is not None else None
        if rate == target.rate_limit:
            return
        self._decisions.write(
            "target-limit",
            target=target.target_id,
            service=target.report.service,
            failure_domain=target.report.failure_domain,
            requests_per_s=rate,
            before=target.rate_limit,
            header=limit.header if limit is not None else None,
        )
        target.rate_limit = rate

    def _admits_cold(self, target: RegisteredTarget, rule: ServiceRule | None) -> bool:
        report = target.report
        rate = rule.cold_rate if rule is not None else 0.0
        return self._cold.try_admit(report.target_id, report.failure_domain, target.region, rate)
