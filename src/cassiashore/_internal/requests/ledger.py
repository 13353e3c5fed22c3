"""Records of the request keys that an instance owns.

A key is dispatched at most once. A refusal with the outcome "not run" is final for its key, so a
copy of the request that arrives later is refused as well.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.net.http_client import Headers

# Largest response body that is stored and sent again to a retry. A retry of a request with a larger
# response only learns that the request ran.
MAX_STORED_RESPONSE_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A complete response, stored to be sent again to retries."""

    status: int
    headers: Headers
    body: bytes


class KeyState(Enum):
    """State of a key; ``RESPONDED`` and ``FAILED`` are final."""

    OPEN = "open"
    DISPATCHED = "dispatched"
    RESPONDED = "answered"
    FAILED = "failed"


@dataclass(slots=True)
class KeyRecord:
    """Record of one key. ``done`` is set when the state is final."""

    slot: int
    fingerprint: int
    state: KeyState = KeyState.OPEN
    response: StoredResponse | None = None
    failure: Failure | None = None
    done: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, slots=True)
class Started:
    """The key is new; the caller that gets this result must run the request."""

    record: KeyRecord


@dataclass(frozen=True, slots=True)
class Known:
    """The key was seen before; wait for ``record.done`` and return the recorded result."""

    record: KeyRecord


class KeyLedger:
    """Records of the keys of one instance, by key text.

    ``current_slot`` returns the instance's current time slot. Records of slots below
    ``oldest_slot`` are evicted; whether those requests ran is then unknown.
    """

    def __init__(
        self,
        current_slot: Callable[[], int],
        slots_kept: int,
        max_keys: int,
        max_response_bytes: int = 8 << 20,
    ) -> None:
        """Create an empty ledger.

        It keeps the newest ``slots_kept`` time slots, at most ``max_keys`` keys, and response
        bodies of at most ``max_response_bytes`` in total.
        """
        self._current_slot = current_slot
        self._slots_kept = slots_kept
        self._max_keys = max_keys
        self._max_response_bytes = max_response_bytes
        self._records_by_slot: dict[int, dict[str, KeyRecord]] = {}
        self._responses: OrderedDict[str, KeyRecord] = OrderedDict()
        self._response_bytes = 0
        self._count = 0
        self.oldest_slot = 0

    def __len__(self) -> int:
        """Return the number of keys with a record."""
        return self._count

    def begin(self, text: str, slot: int, fingerprint: int) -> Started | Known | Failure:
        """Look up a key, or create its record; a ``Failure`` refuses the request.

        The lookup and the creation run without yielding to the event loop, so exactly one of
        several requests with the same key is started.
        """
        self._evict_expired_slots()
        if slot < self.oldest_slot:
            return Failure.unknown(Reason.KEY_EXPIRED, "the key is too old to be remembered")
        if slot > self._current_slot():
            return Failure.unknown(Reason.KEY_MALFORMED, "the key's time slot has not begun")
        return self._look_up(self._records_by_slot.get(slot, {}).get(text), fingerprint) or (
            self._create(text, slot, fingerprint)
        )

    def begin_claim(self, text: str, fingerprint: int) -> Started | Known | Failure:
        """Look up a claimed key in every kept slot, or create its record in the current one."""
        self._evict_expired_slots()
        for records in self._records_by_slot.values():
            if text in records:
                found = self._look_up(records[text], fingerprint)
                assert found is not None
                return found
        return self._create(text, self._current_slot(), fingerprint)

    def _look_up(self, record: KeyRecord | None, fingerprint: int) -> Known | Failure | None:
        if record is None:
            return None
        if record.fingerprint != fingerprint:
            return Failure.unknown(Reason.KEY_MISMATCH, "the key came with another request")
        return Known(record)

    def _create(self, text: str, slot: int, fingerprint: int) -> Started | Failure:
        if self._count >= self._max_keys and not self._evict_oldest_slot(slot):
            return Failure.unknown(Reason.KEYS_EXHAUSTED, "too many keys are remembered")
        record = KeyRecord(slot, fingerprint)
        self._records_by_slot.setdefault(slot, {})[text] = record
        self._count += 1
        return Started(record)

    def mark_dispatched(self, record: KeyRecord) -> None:
        """Mark that request bytes may reach a target from now on."""
        record.state = KeyState.DISPATCHED

    def record_response(
        self, text: str, record: KeyRecord, response: StoredResponse | None
    ) -> None:
        """Close a key with its response, or with None if that was too large to store."""
        record.state = KeyState.RESPONDED
        if response is not None:
            record.response = response
            self._responses[text] = record
            self._response_bytes += len(response.body)
            self._evict_responses()
        record.done.set()

    def record_failure(self, record: KeyRecord, failure: Failure) -> None:
        """Close a key whose request failed."""
        record.state = KeyState.FAILED
        record.failure = failure
        record.done.set()

    def discard(self, text: str, record: KeyRecord) -> None:
        """Delete the record of a key that was never dispatched, so that a retry may start."""
        if record.state is not KeyState.OPEN:
            return
        if self._records_by_slot.get(record.slot, {}).pop(text, None) is not None:
            self._count -= 1
        record.state = KeyState.FAILED
        record.failure = Failure.unknown(Reason.STORE_UNREACHABLE, "the claim was not settled")
        record.done.set()

    def _evict_expired_slots(self) -> None:
        self._evict_slots_below(self._current_slot() - self._slots_kept + 1)

    def _evict_oldest_slot(self, slot: int) -> bool:
        oldest = min(self._records_by_slot, default=slot)
        if oldest >= slot:
            return False
        self._evict_slots_below(oldest + 1)
        return True

    def _evict_slots_below(self, oldest_slot: int) -> None:
        if oldest_slot <= self.oldest_slot:
            return
        self.oldest_slot = oldest_slot
        for slot in [s for s in self._records_by_slot if s < oldest_slot]:
            records = self._records_by_slot.pop(slot)
            self._count -= len(records)
            for text in records:
                self._drop_response(text)

    def _evict_responses(self) -> None:
        while self._response_bytes > self._max_response_bytes and self._responses:
            self._drop_response(next(iter(self._responses)))

    def _drop_response(self, text: str) -> None:
        record = self._responses.pop(text, None)
        if record is not None and record.response is not None:
            self._response_bytes -= len(record.response.body)
            record.response = None


def recorded_failure(record: KeyRecord) -> Failure | None:
    """Return the failure to report for a closed key, or None if it has a stored response."""
    if record.failure is not None:
        return record.failure
    if record.response is None:
        return Failure(Outcome.RAN, Reason.ANSWER_NOT_KEPT, "it ran; its answer is not kept")
    return None
