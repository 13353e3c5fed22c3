"""Applies changes in the platform's store to the state of the instance."""

from __future__ import annotations

import logging
import time

from result import Err

from cassiashore._internal.ingress.forwarder import Forwarder
from cassiashore._internal.mirror.configuration_exchange import ConfigurationExchange
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.steering.cold import ColdAdmission
from cassiashore._internal.steering.placement import Placement
from cassiashore._internal.steering.registry import RegisteredTarget, TargetRegistry
from cassiashore._internal.steering.target_limits import TargetRateLimits
from cassiashore.platform.decoding import ConfigurationDecoder, decode_target
from cassiashore.platform.wire import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    TARGET_PREFIX,
)

logger = logging.getLogger(__name__)


class StoreChangeHandler:
    """Decodes what operators and targets write, applies it, and logs each change of state."""

    def __init__(
        self,
        mirror: StoreMirror,
        registry: TargetRegistry,
        forwarder: Forwarder,
        placement: Placement,
        cold: ColdAdmission,
        target_limits: TargetRateLimits,
        configurations: ConfigurationExchange,
        decisions: DecisionLog,
    ) -> None:
        """Subscribe to the mirror and to the registry."""
        self.mirror = mirror
        self.registry = registry
        self.forwarder = forwarder
        self.placement = placement
        self.cold = cold
        self.target_limits = target_limits
        self._configurations = configurations
        self._decisions = decisions
        self._configuration_decoder = ConfigurationDecoder()
        mirror.listen(CONFIGURATION_KEY, self._configuration_changed)
        mirror.listen(TARGET_PREFIX, self._target_changed)
        mirror.listen(EVACUATION_PREFIX, self._evacuation_changed)
        configurations.apply = lambda value: self._configuration_changed("", value)
        mirror.on_removal_deferred = self._target_unconfirmed
        registry.on_change = self._registry_changed
        registry.cold_seconds_of = self._cold_seconds_of

    def _configuration_changed(self, suffix: str, value: bytes | None) -> None:
        if suffix or value is None:
            logger.warning(
                "change of %s%s ignored: key removed or unexpected", CONFIGURATION_KEY, suffix
            )
            return
        current = self.forwarder.table
        decoded = self._configuration_decoder.decode(value, current)
        if isinstance(decoded, Err):
            logger.error("configuration not applied: %s", decoded.err_value)
            return
        table = decoded.ok_value
        if current is not None and table.version <= current.version:
            logger.warning(
                "configuration %08x ignored: %08x is in force", table.version, current.version
            )
            return
        for fault in table.faults:
            logger.error("configuration %08x: %s", table.version, fault)
        self.forwarder.apply(table)
        self._configurations.record_in_force(CONFIGURATION_KEY, table.version, value)
        self._decisions.write("configuration", version=table.version, faults=len(table.faults))

    def _target_changed(self, target_id: str, value: bytes | None) -> None:
        if value is None:
            self.registry.remove(target_id)
            return
        decoded = decode_target(target_id, value, self.registry.region_by_failure_domain)
        if isinstance(decoded, Err):
            logger.warning('entry of target "%s" ignored: %s', target_id, decoded.err_value)
            return
        self.registry.apply(decoded.ok_value)

    def _target_unconfirmed(self, key: str) -> None:
        if key.startswith(TARGET_PREFIX):
            self.registry.mark_unconfirmed(key.removeprefix(TARGET_PREFIX))

    def _evacuation_changed(self, failure_domain: str, value: bytes | None) -> None:
        self._decisions.write("evacuation", failure_domain=failure_domain, begun=value is not None)
        self.registry.set_evacuated(failure_domain, value is not None)

    def _registry_changed(self, change: str, target: RegisteredTarget) -> None:
        if target.is_gone:
            self.cold.remove_target(target.target_id)
            self.target_limits.remove_target(target.target_id)
            self.placement.remove_target(target.target_id)
        report = target.report
        self._decisions.write(
            "target",
            what=change,
            target=report.target_id,
            service=report.service,
            failure_domain=report.failure_domain,
            run=report.started_ms,
            sequence=report.sequence,
            cold_s=round(max(0.0, target.cold_until - time.monotonic()), 2),
            revision=self.mirror.revision,
        )

    def _cold_seconds_of(self, service: str) -> float:
        table = self.forwarder.table
        rule = table.rule_by_service.get(service) if table is not None else None
        return rule.cold_seconds if rule is not None else 0.0
