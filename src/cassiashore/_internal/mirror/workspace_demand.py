"""Publishes the demand of workspaces at this instance, and applies what other instances publish.

The key of an instance is under the lease of its registration. It contains the weights by the name
of the workspace; no key of a workspace is in it.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

import msgspec

from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.registration import Registration
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.steering.demand_meter import SAMPLE_SECONDS
from cassiashore._internal.steering.demand_weights import MAX_WEIGHT, Weights
from cassiashore._internal.steering.workspace_limits import WorkspaceLimits

logger = logging.getLogger(__name__)

DEMAND_PREFIX = "cassiashore/demand/"


class WorkspaceDemandExchange:
    """Exchanges the weights of workspaces with the other instances."""

    def __init__(
        self,
        registration: Registration,
        mirror: StoreMirror,
        own_incarnation: str,
        limits: WorkspaceLimits,
        decisions: DecisionLog,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Listen to the weights in the store; ``run`` publishes those of this instance."""
        self.is_leaving = False
        self._registration = registration
        self._own_key = DEMAND_PREFIX + own_incarnation
        self._limits = limits
        self._decisions = decisions
        self._monotonic = monotonic
        mirror.listen(DEMAND_PREFIX, self._weights_changed)
        limits.on_share_change = self._log_share

    async def run(self) -> None:
        """Measure the demand and publish it when it changed, until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            self.publish_if_changed()

    def publish_if_changed(self) -> None:
        """Sample the demand, and publish the weights if they should be."""
        meter = self._limits.meter
        meter.sample()
        if self.is_leaving or not self._registration.is_registered:
            return
        weights = meter.weights_to_publish(self._monotonic())
        if weights is not None:
            self._decisions.write("workspace-demand", workspaces=len(weights))
            self._registration.put(self._own_key, msgspec.msgpack.encode(weights))

    def _weights_changed(self, incarnation: str, value: bytes | None) -> None:
        self._limits.weights.apply(incarnation, decode_weights(value), self._monotonic())

    def _log_share(self, workspace: str, share: float) -> None:
        self._decisions.write("workspace-share", workspace=workspace, share=round(share, 4))


def decode_weights(value: bytes | None) -> Weights | None:
    """Decode published weights; a value that cannot be decoded counts as none.

    >>> decode_weights(msgspec.msgpack.encode({"a": 5, "b": -1, "c": 99_999}))
    {'a': 5, 'c': 8000}
    """
    if value is None:
        return None
    try:
        weights = msgspec.msgpack.decode(value, type=dict[str, int])
    except DECODE_ERRORS as error:
        logger.warning("published demand ignored: %s", error)
        return None
    return {name: min(MAX_WEIGHT, weight) for name, weight in weights.items() if weight > 0}
