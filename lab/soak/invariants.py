"""Invariants that the soak test checks from what callers and targets observe."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from lab.soak.environment import BOUNDS, STABLE_WINDOW_SECONDS, Instance, SoakEnvironment
from lab.soak.target import Run, expected_body

SLACK_SECONDS = 0.5  # added to time limits, for delays of this machine and of the stand-ins
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MIN_SERVED_SHARE_AT_END = 0.9  # of the attempts, after the last fault has ended
# Statuses of the system that end a proper request for good; 404 is checked against the routes.
DENIALS = frozenset(range(400, 500)) - NOT_RUN_STATUSES - {404}
ALWAYS_DENIED, DENIED_SHARE = 5, 1 / 500  # requests that may be ended so
PERMANENT_PREFIXES = frozenset({"/a/", "/b/"})  # of routes that no manifest drops


@dataclass(frozen=True, slots=True)
class Attempt:
    """A request of a caller and its response; status 0 means that the connection was lost."""

    request_id: str
    path: str
    body: bytes
    is_unsafe: bool
    instance: Instance
    sent_at: float
    ended_at: float
    status: int
    has_stamp: bool
    echoed_id: str
    content: bytes


Check = Callable[["InvariantChecker", Attempt, list[Run]], str | None]
_checks: list[Check] = []


def check(function: Check) -> Check:
    """Register a function that checks an attempt and describes any violation."""
    _checks.append(function)
    return function


@dataclass
class InvariantChecker:
    """Collects violations of the invariants; ``timed`` includes those with a time limit."""

    environment: SoakEnvironment
    timed: bool = True
    violations: list[str] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Subscribe to the start of each run."""
        self.environment.ledger.on_run = self._check_run_start

    def check_attempt(self, attempt: Attempt) -> None:
        """Check an attempt as soon as it has ended."""
        self.attempts.append(attempt)
        self._run_checks(attempt)

    def close(self) -> None:
        """Check all attempts once more, since a run may begin after the response."""
        before = set(self.violations)
        for attempt in self.attempts:
            self._run_checks(attempt)
        self.violations = list(dict.fromkeys([*before, *self.violations]))

    def served_share_since(self, moment: float) -> float:
        """Return the share of attempts on permanent routes that were served since a moment."""
        recent = [
            a for a in self.attempts if a.sent_at >= moment and a.path[:3] in PERMANENT_PREFIXES
        ]
        return sum(a.status == 200 for a in recent) / max(1, len(recent))

    def add_violation(self, invariant: str, detail: str) -> None:
        """Record a violation."""
        self.violations.append(f"{invariant}: {detail}")

    def _run_checks(self, attempt: Attempt) -> None:
        runs = self.environment.ledger.runs_of(attempt.request_id)
        for check_invariant in _checks:
            violation = check_invariant(self, attempt, runs)
            if violation is not None:
                self.violations.append(violation)

    def _check_run_start(self, run: Run) -> None:
        handle = self.environment.handle_of(run)
        if handle is None or not self.timed:
            return
        stable_since = self.environment.is_stable_since
        if run.arrived_at - handle.leaving_at > BOUNDS["drain-s"] + SLACK_SECONDS and stable_since(
            handle.leaving_at
        ):
            recent = run.arrived_at - handle.leaving_at
            self.add_violation(
                "DRAIN", f"{run.target_id} ran {run.request_id} {recent:.2f} s after leaving"
            )
        evacuated = self.environment.evacuated_at.get(run.failure_domain, float("inf"))
        if run.arrived_at - evacuated > BOUNDS["evac-s"] + SLACK_SECONDS and stable_since(
            evacuated
        ):
            self.add_violation("EVAC", f"{run.request_id} ran in evacuated {run.failure_domain}")


@check
def runs_at_most_once(checker: InvariantChecker, attempt: Attempt, runs: list[Run]) -> str | None:
    """Check that a request that is not idempotent runs at most once."""
    if attempt.is_unsafe and len(runs) > 1:
        return f"TWICE: {attempt.request_id} ran on {[run.target_id for run in runs]}"
    return None


@check
def refused_requests_did_not_run(
    checker: InvariantChecker, attempt: Attempt, runs: list[Run]
) -> str | None:
    """Check that a request reported as not run did not run."""
    if attempt.is_unsafe and attempt.status in NOT_RUN_STATUSES and runs:
        return f"REFUSED: {attempt.request_id} got {attempt.status} and ran on {runs[0].target_id}"
    return None


@check
def responses_are_complete_and_own(
    checker: InvariantChecker, attempt: Attempt, runs: list[Run]
) -> str | None:
    """Check that a success is the complete response of a target to this request."""
    if attempt.status != 200:
        return None
    expected_content = expected_body(attempt.request_id, attempt.path, attempt.body)
    if attempt.content != expected_content or not attempt.has_stamp or not runs:
        return f"MIXED: {attempt.request_id} got {attempt.content[:60]!r}"
    if attempt.echoed_id != attempt.request_id:
        return f"MIXED: {attempt.request_id} got the id {attempt.echoed_id}"
    return None


@check
def runs_where_routes_allow(
    checker: InvariantChecker, attempt: Attempt, runs: list[Run]
) -> str | None:
    """Check that a request runs on the route's service and with the path that was sent."""
    service = "orders" if attempt.is_unsafe else "stock"
    for run in runs:
        if run.service != service:
            return f"ROUTE: {attempt.request_id} ran on {run.target_id} of {run.service}"
        if run.path != attempt.path:
            return f"UNASKED: {attempt.request_id} ran as {run.path}, not {attempt.path}"
    return None


@check
def graceful_stops_interrupt_nothing(
    checker: InvariantChecker, attempt: Attempt, runs: list[Run]
) -> str | None:
    """Check that an instance that was not killed responds to each request that it forwarded."""
    undisturbed = attempt.instance.disturbed_at < attempt.sent_at - STABLE_WINDOW_SECONDS
    if attempt.status or not runs or not undisturbed:
        return None
    handle = checker.environment.handle_of(runs[0])
    if handle is None or handle.disturbed_at > attempt.sent_at - STABLE_WINDOW_SECONDS:
        return None
    waited = attempt.ended_at - attempt.sent_at
    return f"LOST: {attempt.request_id} of {attempt.instance.name} was cut after {waited:.2f} s"


@check
def routes_are_in_force(checker: InvariantChecker, attempt: Attempt, runs: list[Run]) -> str | None:
    """Check that instances apply a manifest within its time limit.

    That holds also for a manifest that was published before the system was stable again.
    """
    if not checker.timed or not checker.environment.is_stable_since(attempt.sent_at):
        return None
    prefix = "/" + attempt.path.split("/")[1] + "/"
    bound = BOUNDS["config-apply-s"] + SLACK_SECONDS
    routes = checker.environment.routes
    added = routes.added_at.get(prefix, float("inf"))
    dropped = routes.dropped_at.get(prefix, float("inf"))
    is_due = attempt.sent_at > added + bound and attempt.ended_at < dropped
    if attempt.status == 404 and is_due:
        return f"CONFIG: {prefix} is unknown to {attempt.instance.name} {bound:g} s later"
    if attempt.status == 200 and attempt.sent_at > dropped + bound:
        return f"CONFIG: {prefix} is served by {attempt.instance.name} {bound:g} s after its end"
    return None


def check_end(checker: InvariantChecker, settled_at: float) -> None:
    """Check that few proper requests were denied, and that requests are served in the end."""
    denied = Counter(a.status for a in checker.attempts if a.status in DENIALS and not a.has_stamp)
    if denied.total() > ALWAYS_DENIED + DENIED_SHARE * len(checker.attempts):
        checker.add_violation("DENIED", f"of {len(checker.attempts)} requests: {dict(denied)}")
    share = checker.served_share_since(settled_at)
    if share < MIN_SERVED_SHARE_AT_END:
        checker.add_violation("RECOVER", f"{share:.2f} of the requests are served at the end")
    if time.monotonic() < settled_at:
        checker.add_violation("RECOVER", "the end came before the system could settle")
