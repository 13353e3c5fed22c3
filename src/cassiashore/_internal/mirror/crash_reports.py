"""Exchange of reports about requests that crash targets, so that they outlive each instance.

Load pattern: such a request is sent again and again, to any instance, while instances restart. What
one of them learned is sent to the others over the streams between instances, so that it spreads
while the store is away, and a new run gets it from its sources and subscribers. Reports of repeated
losses are also kept in the store, since all instances may end at the same moment. They are written
under a lease of their own that is not renewed. Each key holds the reports of one request, and is
only replaced by a higher count. Reports that a restored store lacks are missing from the mirror, so
that they are written again under a new lease.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable
from itertools import islice

import msgspec
from result import Err, Ok

from cassiashore._internal.mirror.instances import InstanceTable
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.requests.poison import CrashReports, LossCount, PoisonRegistry
from cassiashore._internal.store.events import (
    Change,
    EventStore,
    LeaseLost,
    TransactionRefused,
    Write,
)

logger = logging.getLogger(__name__)

CRASH_PREFIX = "cassiashore/losses/"
# Most requests that a crash cut off are answered by another target within the delay, and need no
# report. Together both are less than the time to contain crashes.
REPORT_DELAY_SECONDS = 0.5
REPORT_INTERVAL_SECONDS = 1.0
# Between checks whether the store has what is known; an outage lasts some seconds.
CHECK_INTERVAL_SECONDS = 5.0
# Requests whose losses are fewer are not kept in the store: most were cut off by one disruption.
MIN_STORED_LOSSES = 2
LEASE_SECONDS = 600.0  # the longest that the store grants
MIN_LEASE_LEFT_SECONDS = 300.0  # of the lease of a new key
WRITES_PER_TRANSACTION = 16  # half of what the store accepts


class CrashReportExchange:
    """Sends what this instance learned to the others, and keeps it in the store."""

    def __init__(
        self,
        store: EventStore,
        mirror: StoreMirror,
        instances: InstanceTable,
        poison: PoisonRegistry,
        decisions: DecisionLog,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Listen to the reports in the store; ``run`` sends and writes them."""
        self.broadcast: Callable[[CrashReports], None] = lambda reports: None
        self.store_is_unreachable: Callable[[], bool] = lambda: False
        self._store = store
        self._mirror = mirror
        self._instances = instances
        self._poison = poison
        self._decisions = decisions
        self._monotonic = monotonic
        self._changed = asyncio.Event()
        self._sent_by_fingerprint: dict[int, LossCount] = {}
        # Keys as a refused transaction showed them, which the mirror may not have yet.
        self._current_by_key: dict[str, Change | None] = {}
        self._era = 0  # of the lease and the keys above
        self._lease_id = 0
        self._lease_ends_at = float("-inf")
        mirror.listen(CRASH_PREFIX, self._key_changed)
        poison.on_change = self._changed.set

    async def run(self) -> None:
        """Send and store reports in groups, since a target that fails loses many connections."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                    await self._changed.wait()
                await asyncio.sleep(REPORT_DELAY_SECONDS)
            except TimeoutError:
                pass
            self._changed.clear()
            self._send_changed()
            if not self.store_is_unreachable():
                await self.store_missing()
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    def _send_changed(self) -> None:
        reports = self._poison.reports()
        changed = {
            fingerprint: report
            for fingerprint, report in reports.items()
            if report.count != self._sent_by_fingerprint.get(fingerprint)
        }
        self._sent_by_fingerprint = {f: report.count for f, report in reports.items()}
        if changed:
            self.broadcast(changed)

    async def store_missing(self) -> None:
        """Write the reports of which the store has none or only a lower count.

        The leader of a region also writes those of other instances, which may have ended before
        they could, and those that the store lost.
        """
        self._follow_era()
        is_leader = self._instances.is_region_leader()
        reports = self._poison.all_reports() if is_leader else self._poison.reports()
        pending = iter([key for key in reports if self._is_missing(key, reports)])
        while group := list(islice(pending, WRITES_PER_TRANSACTION)):
            if not await self._write({key: reports[key] for key in group}):
                return

    def _follow_era(self) -> None:
        """Forget the lease and the keys of refused transactions if the store was restored."""
        if self._era != self._mirror.latest_era:
            self._era = self._mirror.latest_era
            self._lease_id = 0
            self._current_by_key.clear()

    def _is_missing(self, fingerprint: int, reports: CrashReports) -> bool:
        report = reports[fingerprint]
        stored = self._stored(fingerprint)
        if stored is None:
            return report.losses >= MIN_STORED_LOSSES
        known = _decode(stored).get(fingerprint)
        return known is None or report.count > known.count

    def _stored(self, fingerprint: int) -> Change | None:
        key = key_of(fingerprint)
        if key in self._current_by_key:
            return self._current_by_key[key]
        return self._mirror.item_by_key.get(key)

    async def _write(self, reports: CrashReports) -> bool:
        """Write a group of reports; return False if the store cannot be used now."""
        if not await self._ensure_lease() or not self._is_era_known():
            return False
        revision_by_key = {}
        for fingerprint in reports:
            stored = self._stored(fingerprint)
            revision_by_key[key_of(fingerprint)] = stored.revision if stored is not None else 0
            self._current_by_key.pop(key_of(fingerprint), None)
        writes = [
            Write(
                key_of(fingerprint), msgspec.msgpack.encode({fingerprint: report}), self._lease_id
            )
            for fingerprint, report in reports.items()
        ]
        outcome = await self._store.commit(revision_by_key, writes, era=self._era)
        self._decisions.write(
            "crash-reports",
            requests=[f"{fingerprint:016x}" for fingerprint in reports],
            outcome="stored" if isinstance(outcome, Ok) else str(outcome.err_value),
        )
        if isinstance(outcome, Ok):
            return True
        fault = outcome.err_value
        if isinstance(fault, LeaseLost):
            self._lease_id = 0
        elif isinstance(fault, TransactionRefused):
            self._use_current(revision_by_key, fault.current)
            return True
        return False

    def _is_era_known(self) -> bool:
        """Whether the mirror and the lease belong to the latest era."""
        return self._era == self._mirror.era and self._mirror.is_in_latest_era

    def _use_current(self, keys: Iterable[str], current: list[Change]) -> None:
        """Use the keys as they are in the store; what is still missing is written next time."""
        item_by_key = {item.key: item for item in current}
        for key in keys:
            item = self._current_by_key[key] = item_by_key.get(key)
            if item is not None:
                self._poison.merge_reports(_decode(item))
        self._changed.set()

    async def _ensure_lease(self) -> bool:
        now = self._monotonic()
        if self._lease_id and self._lease_ends_at - now >= MIN_LEASE_LEFT_SECONDS:
            return True
        granted = await self._store.grant_lease(LEASE_SECONDS)
        if isinstance(granted, Err):
            return False
        self._lease_id = granted.ok_value.lease_id
        self._lease_ends_at = now + granted.ok_value.seconds
        return True

    def _key_changed(self, suffix: str, value: bytes | None) -> None:
        self._current_by_key.pop(CRASH_PREFIX + suffix, None)
        if value is not None:
            self._poison.merge_reports(_decode(Change(CRASH_PREFIX + suffix, 0, value)))


def key_of(fingerprint: int) -> str:
    """Return the key of the reports of one request.

    >>> key_of(17)
    'cassiashore/losses/0000000000000011'
    """
    return f"{CRASH_PREFIX}{fingerprint:016x}"


def _decode(item: Change) -> CrashReports:
    """Decode the reports of a key; another writer's odd value contains none."""
    try:
        return msgspec.msgpack.decode(item.value or b"", type=CrashReports)
    except DECODE_ERRORS as error:
        logger.warning('crash reports in key "%s" ignored: %s', item.key, error)
        return {}
