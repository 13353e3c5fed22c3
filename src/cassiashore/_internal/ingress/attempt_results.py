"""What the result of an attempt says about its target, its request and the routes."""

from __future__ import annotations

import random
import time

from cassiashore._internal.ingress.attempt import TargetResponse
from cassiashore._internal.ingress.call import Call
from cassiashore._internal.ingress.header_names import HeaderNames
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.observability.metrics import Metrics
from cassiashore._internal.requests.loss_checks import LossChecks, TargetRun
from cassiashore._internal.requests.poison import LossCount, PoisonRegistry
from cassiashore._internal.steering.load import parse_load_report
from cassiashore._internal.steering.pace import ServicePaces
from cassiashore._internal.steering.placement import Estimate, Placement
from cassiashore._internal.steering.registry import RegisteredTarget

NO_TARGET_RETRY_SECONDS = 0.5  # about the time until a change in the store is received
SERVER_ERROR = 500
_UNSENT_REASONS = frozenset({Reason.TARGET_UNREACHABLE, Reason.NO_CAPACITY})
_LOSS_REASONS = frozenset({Reason.TARGET_FAILED, Reason.CONNECTION_DROPPED})


class AttemptResults:
    """Updates health and load of targets, response times, and losses of requests."""

    def __init__(
        self,
        header_names: HeaderNames,
        placement: Placement,
        poison: PoisonRegistry,
        loss_checks: LossChecks,
        decisions: DecisionLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Create a recorder without state of its own."""
        self._header_names = header_names
        self._placement = placement
        self._poison = poison
        self._loss_checks = loss_checks
        self._decisions = decisions
        self._metrics = metrics
        self._rng = rng
        self.paces = ServicePaces()

    def record_failure(
        self,
        call: Call,
        chosen: Estimate,
        failure: Failure,
        started: float,
        losses_before: LossCount,
    ) -> None:
        """Update the state of the target and of the request.

        ``started`` and ``losses_before`` are of the beginning of the attempt.
        """
        target = chosen.target
        if failure.reason is Reason.DEADLINE:
            if failure.outcome is Outcome.UNKNOWN:
                seconds = time.monotonic() - started
                self._placement.record_timeout(chosen, call.profile, seconds)
            return
        if failure.reason is Reason.BODY_CUT_OFF:
            return
        if failure.reason in _UNSENT_REASONS:
            call.sends -= 1
            call.unreachable += 1
        if failure.reason is Reason.NO_CAPACITY:
            call.retry_after = NO_TARGET_RETRY_SECONDS * (1 + self._rng.random())
            return
        if failure.reason in _LOSS_REASONS:
            was_idle = failure.reason is Reason.CONNECTION_DROPPED
            call.lost_idle_connection |= was_idle
            run = TargetRun(target.run, target.pool, lambda: target.presence)
            self._loss_checks.start(call.fingerprint, run, losses_before, was_idle=was_idle)
        if target.health.record_failure() or failure.reason is Reason.TARGET_UNREACHABLE:
            self._eject(target, failure.detail)

    def _eject(self, target: RegisteredTarget, why: str) -> None:
        """Eject a target: send no requests to it for some time."""
        now = time.monotonic()
        target.health.eject(now)
        domain = target.report.failure_domain
        self._decisions.write(
            "eject",
            target=target.target_id,
            failure_domain=domain,
            why=why,
            for_s=round(target.health.ejected_until - now, 2),
        )
        self._metrics.ejections.labels(target.report.service, domain).inc()

    def record_response(self, call: Call, chosen: Estimate, response: TargetResponse) -> None:
        """Update the health and the response times of a target that ran a request."""
        target = chosen.target
        is_stamped = response.head.get(self._header_names.stamp) is not None
        if is_stamped or response.head.status < SERVER_ERROR:
            self._poison.record_response(call.fingerprint)
        if response.head.status >= SERVER_ERROR:
            if target.health.record_failure():
                self._eject(target, f"status {response.head.status} again and again")
            return
        target.health.record_success(response.seconds, time.monotonic())
        self._placement.record_response(chosen, call.profile, response.seconds)

    def record_load(self, target: RegisteredTarget, response: TargetResponse) -> None:
        """Record the load that a target reports in a response."""
        value = response.head.get(self._header_names.load)
        report = parse_load_report(value) if value is not None else None
        if report is not None:
            self.paces.record_report(target, report)
