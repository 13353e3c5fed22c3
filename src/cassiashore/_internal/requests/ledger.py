"""What an instance knows of each request key that it owns.

A key is dispatched at most once. Every refusal that says "not run" closes the key, so a copy of the
request that arrives later is refused too.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.net.http_client import Headers

# Of an answer that a resend gets again; larger ones are told to have run, without the answer.
MAX_STORED_RESPONSE_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A whole answer, kept to be given again."""

    status: int
    headers: Headers
    body: bytes


class KeyState(Enum):
    """Progress of a key."""

    OPEN = "open"
    DISPATCHED = "dispatched"
    RESPONDED = "answered"
    FAILED = "failed"


@dataclass(slots=True)
class KeyRecord:
    """What is known of one key. ``done`` is set when the state is final."""

    slot: int
    fingerprint: int
    state: KeyState = KeyState.OPEN
    response: StoredResponse | None = None
    failure: Failure | None = None
    done: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, slots=True)
class Started:
    """The key is new; the receiver of this value runs the request."""

    record: KeyRecord


@dataclass(frozen=True, slots=True)
class Known:
    """The key was seen before; wait for ``record.done`` and repeat what it says."""

    record: KeyRecord


class KeyLedger:
    """Records of the keys of one instance, by key text.

    ``current_slot`` gives the instance's time slot. Keys of slots below ``floor`` are forgotten;
    whether they ran is no longer known.
    """

    def __init__(
        self,
        current_slot: Callable[[], int],
        slots_kept: int,
        max_keys: int,
        max_response_bytes: int = 8 << 20,
    ) -> None:
        """Create an empty ledger with its limits."""
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
        """Return the number of keys remembered."""
        return self._count

    def begin(self, text: str, slot: int, fingerprint: int) -> Started | Known | Failure:
        """Look a key up, or open it; a ``Failure`` refuses the request.

        The check and the record happen without giving up the event loop, so of two requests with
        one key exactly one starts.
        """
        self._advance_floor()
        if slot < self.oldest_slot:
            return Failure.unknown(Reason.KEY_EXPIRED, "the key is too old to be remembered")
        if slot > self._current_slot():
            return Failure.unknown(Reason.KEY_MALFORMED, "the key's time slot has not begun")
        return self._look_up(self._records_by_slot.get(slot, {}).get(text), fingerprint) or (
            self._open(text, slot, fingerprint)
        )

    def begin_claim(self, text: str, fingerprint: int) -> Started | Known | Failure:
        """Look a claimed key up in every kept slot, or open it in the current one."""
        self._advance_floor()
        for records in self._records_by_slot.values():
            if text in records:
                found = self._look_up(records[text], fingerprint)
                assert found is not None
                return found
        return self._open(text, self._current_slot(), fingerprint)

    def _look_up(self, record: KeyRecord | None, fingerprint: int) -> Known | Failure | None:
        if record is None:
            return None
        if record.fingerprint != fingerprint:
            return Failure.unknown(Reason.KEY_MISMATCH, "the key came with another request")
        return Known(record)

    def _open(self, text: str, slot: int, fingerprint: int) -> Started | Failure:
        if self._count >= self._max_keys and not self._make_room(slot):
            return Failure.unknown(Reason.KEYS_EXHAUSTED, "too many keys are remembered")
        record = KeyRecord(slot, fingerprint)
        self._records_by_slot.setdefault(slot, {})[text] = record
        self._count += 1
        return Started(record)

    def mark_dispatched(self, record: KeyRecord) -> None:
        """Note that request bytes may now reach a target."""
        record.state = KeyState.DISPATCHED

    def record_response(
        self, text: str, record: KeyRecord, response: StoredResponse | None
    ) -> None:
        """Close a key with its answer; an answer of None was too large to keep."""
        record.state = KeyState.RESPONDED
        if response is not None:
            record.response = response
            self._responses[text] = record
            self._response_bytes += len(response.body)
            self._evict_responses()
        record.done.set()

    def record_failure(self, record: KeyRecord, failure: Failure) -> None:
        """Close a key without an answer."""
        record.state = KeyState.FAILED
        record.failure = failure
        record.done.set()

    def discard(self, text: str, record: KeyRecord) -> None:
        """Drop a key that was never dispatched, so that a later request may open it again."""
        if record.state is not KeyState.OPEN:
            return
        if self._records_by_slot.get(record.slot, {}).pop(text, None) is not None:
            self._count -= 1
        record.state = KeyState.FAILED
        record.failure = Failure.unknown(Reason.STORE_UNREACHABLE, "the claim was not settled")
        record.done.set()

    def _advance_floor(self) -> None:
        self._raise_floor(self._current_slot() - self._slots_kept + 1)

    def _make_room(self, slot: int) -> bool:
        oldest = min(self._records_by_slot, default=slot)
        if oldest >= slot:
            return False
        self._raise_floor(oldest + 1)
        return True

    def _raise_floor(self, oldest_slot: int) -> None:
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


def failure_to_repeat(record: KeyRecord) -> Failure | None:
    """Return the failure to repeat for a finished key, or None when it has a kept answer."""
    if record.failure is not None:
        return record.failure
    if record.response is None:
        return Failure(Outcome.RAN, Reason.ANSWER_NOT_KEPT, "it ran; its answer is not kept")
    return None
