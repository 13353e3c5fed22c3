"""Detection of requests that crash targets (poison requests).

One disruption cuts off many equal requests at once: the crash of a target, a reset of all
connections of an instance, or the loss of a failure domain. So lost connections are not simply
added up. An attempt that is lost counts one more than the losses that were known when it began, as
in a Lamport clock: attempts that ran side by side count once, over all instances. A response starts
a new epoch without losses. Instances exchange epoch and count, and the higher ones win.

A loss counts once it is known that the target ended, which ``loss_checks`` finds out. As long as
that is open, the request is a suspect, whose next attempts use new connections.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import xxhash

CRASH_LIMIT = 2  # consecutive losses of a request after which it is refused
# Suspension after the loss that reached the limit; doubles with each further loss.
FIRST_SUSPENSION_SECONDS = 60.0
# Once a suspension ended, one instance in turn may try the request in each period of this length.
# It may do so in the first half only, since the others learn of the result with a delay.
TRIAL_SECONDS = 10.0
# Trials that were lost as well, after which a request is refused for as long as it is sent again.
MAX_LOST_TRIALS = 3
RETENTION_SECONDS = 1200.0  # several times the longest suspension, so that repeated ones double
MAX_FINGERPRINTS = 4096  # limits memory; each takes some hundred bytes
MAX_RUNS = 8  # lost runs of targets that are kept for each request


def fingerprint(service: str, method: str, path: str, body: bytes) -> int:
    """Return a 64-bit hash that identifies equal requests."""
    digest = xxhash.xxh64(f"{service}\n{method}\n{path}\n".encode())
    digest.update(body)
    return digest.intdigest()


@dataclass(frozen=True, slots=True, order=True)
class LossCount:
    """Consecutive losses of a request since its last response, which began the epoch.

    ``is_suspected`` is set by an ambiguous loss, which counts less than a whole one.
    """

    epoch: int = 0
    losses: int = 0
    is_suspected: bool = False

    @property
    def is_clear(self) -> bool:
        """Return whether nothing is held against the request."""
        return self.losses == 0 and not self.is_suspected


class RequestReport(msgspec.Struct, array_like=True, frozen=True):
    """What an instance reports of one request; ``runs`` are hashes of lost runs of targets."""

    epoch: int
    losses: int
    runs: list[int] = []
    is_suspected: bool = False

    @property
    def count(self) -> LossCount:
        """Return the reported count."""
        return LossCount(self.epoch, self.losses, self.is_suspected)


CrashReports = dict[int, RequestReport]
"""Reports by request fingerprint."""

IsOwnTurn = Callable[[int, int], bool]
"""Tells whether this instance may try a request, by its fingerprint and the number of the turn."""

OnDecision = Callable[[str, int, LossCount], None]
"""Called when a request is "suspended" or "cleared", with its fingerprint and count."""

_NO_LOSSES = LossCount()


@dataclass(slots=True)
class _Evidence:
    """Losses of one request. ``is_shared`` is set if other instances may know of them."""

    count: LossCount = _NO_LOSSES
    runs: list[int] = field(default_factory=list)
    is_shared: bool = False
    is_own: bool = False
    updated_at: float = 0.0
    next_trial_at: float = float("-inf")

    def report(self) -> RequestReport:
        """Return what is known, for other instances."""
        count = self.count
        return RequestReport(count.epoch, count.losses, list(self.runs), count.is_suspected)

    def advance(self, count: LossCount, runs: list[int], now: float) -> bool:
        """Use a higher count; return whether it was higher."""
        if count <= self.count:
            return False
        if count.epoch > self.count.epoch:
            self.runs.clear()
        self.runs += [run for run in runs if run not in self.runs]
        del self.runs[:-MAX_RUNS]
        self.count = count
        self.updated_at = now
        return True


class PoisonRegistry:
    """Consecutive losses by request fingerprint, as known to this instance and to others."""

    def __init__(
        self, monotonic: Callable[[], float] = time.monotonic, limit: int = CRASH_LIMIT
    ) -> None:
        """Create an empty registry that suspends a request after ``limit`` consecutive losses."""
        self.on_change: Callable[[], None] = lambda: None
        self.is_own_turn: IsOwnTurn = lambda fingerprint, turn: True
        self.on_decision: OnDecision = lambda what, fingerprint, count: None
        self._limit = limit
        self._monotonic = monotonic
        self._evidence_by_fingerprint: OrderedDict[int, _Evidence] = OrderedDict()

    # Evidence of this instance.

    def loss_count(self, fingerprint: int) -> LossCount:
        """Return the losses that are known, which an attempt that begins now has to remember."""
        evidence = self._current(fingerprint)
        return _NO_LOSSES if evidence is None else evidence.count

    def record_loss(
        self, fingerprint: int, target_run: str, before: LossCount, *, was_idle: bool = False
    ) -> int:
        """Record that a target ended while it ran a request; return the consecutive losses.

        ``before`` is the count when the attempt began. ``was_idle`` tells that the connection was
        open before the attempt, so that it may be another loss of the same run of the target.
        """
        run = xxhash.xxh64_intdigest(target_run.encode())
        evidence = self._evidence_for(fingerprint)
        known = evidence.count
        losses = before.losses if before.epoch == known.epoch else 0
        if not (was_idle and run in evidence.runs):
            losses += 1
        if self._advance(fingerprint, evidence, LossCount(known.epoch, losses), [run]):
            evidence.is_own = True
            self.on_change()
        return evidence.count.losses

    def record_ambiguous_loss(self, fingerprint: int) -> None:
        """Record the loss of a connection whose target may have ended or may run on."""
        evidence = self._evidence_for(fingerprint)
        known = evidence.count
        if known.is_clear:
            suspected = LossCount(known.epoch, known.losses, is_suspected=True)
            self._advance(fingerprint, evidence, suspected, [])
            evidence.is_own = True
            self.on_change()

    def record_response(self, fingerprint: int) -> None:
        """Record that a target responded, so that the request does not crash targets."""
        evidence = self._evidence_by_fingerprint.get(fingerprint)
        if evidence is None or evidence.count.is_clear:
            return
        next_epoch = LossCount(evidence.count.epoch + 1)
        self._advance(fingerprint, evidence, next_epoch, [])
        if not evidence.is_shared:
            del self._evidence_by_fingerprint[fingerprint]
            return
        evidence.is_own = True
        self.on_change()

    # Decisions.

    def is_poisonous(self, fingerprint: int) -> bool:
        """Return whether the request must not be sent to any target now."""
        evidence = self._current(fingerprint)
        return evidence is not None and self._monotonic() < self._suspended_until(evidence)

    def try_admit(self, fingerprint: int) -> bool:
        """Return whether a new request may be sent.

        After a suspension one request at a time is admitted as a trial.
        """
        evidence = self._current(fingerprint)
        if evidence is None or evidence.count.losses < self._limit:
            return True
        now = self._monotonic()
        since = now - self._suspended_until(evidence)
        if since == float("-inf"):
            evidence.updated_at = now  # keeps the evidence for as long as the request is sent
        if since < 0 or now < evidence.next_trial_at:
            return False
        turn, seconds = divmod(since, TRIAL_SECONDS)
        if seconds > TRIAL_SECONDS / 2 or not self.is_own_turn(fingerprint, int(turn)):
            return False
        evidence.next_trial_at = now + TRIAL_SECONDS / 2
        return True

    def is_suspicious(self, fingerprint: int) -> bool:
        """Return whether the request may crash targets.

        It is then sent to one target at a time, on a new connection, whose loss is unambiguous.
        """
        evidence = self._current(fingerprint)
        return evidence is not None and not evidence.count.is_clear

    def _suspended_until(self, evidence: _Evidence) -> float:
        excess = evidence.count.losses - self._limit
        if excess < 0:
            return float("-inf")
        if excess >= MAX_LOST_TRIALS:
            return float("inf")
        return evidence.updated_at + FIRST_SUSPENSION_SECONDS * 2.0**excess

    # Exchange with other instances.

    def reports(self) -> CrashReports:
        """Return what this instance has seen itself, to send it to the others."""
        return self._reports(lambda evidence: evidence.is_own)

    def all_reports(self) -> CrashReports:
        """Return all that is known, also from others, for an instance that may know nothing."""
        return self._reports(lambda evidence: evidence.count != _NO_LOSSES)

    def _reports(self, is_wanted: Callable[[_Evidence], bool]) -> CrashReports:
        reports: CrashReports = {}
        for value in list(self._evidence_by_fingerprint):
            evidence = self._current(value)
            if evidence is not None and is_wanted(evidence):
                evidence.is_shared = True
                reports[value] = evidence.report()
        return reports

    def merge_reports(self, reports: CrashReports) -> CrashReports:
        """Use the reports of another instance; return those that were new."""
        new_reports: CrashReports = {}
        for value, report in reports.items():
            if report.count == _NO_LOSSES:
                continue
            evidence = self._evidence_for(value)
            evidence.is_shared = True
            if self._advance(value, evidence, report.count, report.runs):
                new_reports[value] = report
        return new_reports

    # Bookkeeping.

    def _advance(
        self, fingerprint: int, evidence: _Evidence, count: LossCount, runs: list[int]
    ) -> bool:
        losses_before = evidence.count.losses
        if not evidence.advance(count, runs, self._monotonic()):
            return False
        if count.losses >= self._limit:
            self.on_decision("suspended", fingerprint, count)
        elif losses_before >= self._limit:
            self.on_decision("cleared", fingerprint, count)
        return True

    def _current(self, fingerprint: int) -> _Evidence | None:
        evidence = self._evidence_by_fingerprint.get(fingerprint)
        if evidence is None:
            return None
        if self._monotonic() - evidence.updated_at > RETENTION_SECONDS:
            del self._evidence_by_fingerprint[fingerprint]
            return None
        return evidence

    def _evidence_for(self, fingerprint: int) -> _Evidence:
        evidence = self._current(fingerprint)
        if evidence is None:
            evidence = _Evidence(updated_at=self._monotonic())
            self._evidence_by_fingerprint[fingerprint] = evidence
            if len(self._evidence_by_fingerprint) > MAX_FINGERPRINTS:
                self._evidence_by_fingerprint.popitem(last=False)
        self._evidence_by_fingerprint.move_to_end(fingerprint)
        return evidence
