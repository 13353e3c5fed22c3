"""Attempts to run a request at targets: choice of the target, retries and hedging.

All retries are made here and nowhere else. The kind of the route decides whether a request may be
retried: a non-idempotent request is sent again only if the target declared that it did not run it,
or if no byte of it was written.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok, Result

from cassiashore._internal.exceptions import InvariantError
from cassiashore._internal.ingress.attempt import (
    ExecutionStatus,
    OutgoingRequest,
    TargetResponse,
    attempt,
    classify_response,
)
from cassiashore._internal.ingress.attempt_results import (
    NO_TARGET_RETRY_SECONDS,
    SERVER_ERROR,
    AttemptResults,
)
from cassiashore._internal.ingress.authorization import headers_for_target, reauthorize
from cassiashore._internal.ingress.call import Call, Delivery
from cassiashore._internal.ingress.header_names import HeaderNames
from cassiashore._internal.ingress.load_probe import LoadProbe
from cassiashore._internal.ingress.target_admission import TargetAdmission
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.models.presence import Presence
from cassiashore._internal.requests.loss_checks import LossChecks
from cassiashore._internal.requests.poison import PoisonRegistry
from cassiashore._internal.steering.distance import RegionDistances
from cassiashore._internal.steering.hedging import (
    early_hedge_delay,
    late_hedge_delay,
    suits_early_hedge,
)
from cassiashore._internal.steering.overload import (
    MIN_RETRY_SECONDS,
    Urgency,
    Verdict,
    choose_estimate,
    decide,
)
from cassiashore._internal.steering.placement import Estimate, Placement, preferred_estimate
from cassiashore._internal.steering.registry import RegisteredTarget, TargetRegistry
from cassiashore._internal.steering.retry_budget import WindowedRetryBudget
from cassiashore._internal.steering.routes import RouteTable, ServiceRule

MAX_UNREACHABLE_TARGETS = 4  # per request, before it fails


class AttemptRunner:
    """Sends a request to targets until it has a response or must not be sent again."""

    def __init__(
        self,
        header_names: HeaderNames,
        current_table: Callable[[], RouteTable],
        registry: TargetRegistry,
        placement: Placement,
        distances: RegionDistances,
        admission: TargetAdmission,
        poison: PoisonRegistry,
        loss_checks: LossChecks,
        make_budget: Callable[[], WindowedRetryBudget],
        results: AttemptResults,
        rng: random.Random,
    ) -> None:
        """Create a runner; ``current_table`` returns the version that is in force."""
        self._header_names = header_names
        self._current_table = current_table
        self._registry = registry
        self._placement = placement
        self._distances = distances
        self._admission = admission
        self._poison = poison
        self._loss_checks = loss_checks
        self._make_budget = make_budget
        self._results = results
        self._load_probe = LoadProbe(header_names)
        self._rng = rng
        self._budget_by_service: dict[str, WindowedRetryBudget] = {}

    async def run(self, call: Call, outgoing: OutgoingRequest) -> Result[Delivery, Failure]:
        """Send the request until there is a response or it must not be sent again.

        If a target has not responded after a hedge delay, an idempotent request is also sent to a
        second target, and the first complete response is used.
        """
        running: set[asyncio.Task[Result[Delivery, Failure]]] = set()
        error_delivery: Delivery | None = None
        await self._refresh_load(call)
        first = self._start_attempt(call, outgoing)
        if isinstance(first, Err):
            return first
        running.add(first.ok_value)
        hedge_delays = self._hedge_delays(call, outgoing)
        try:
            while running:
                hedge_pending = bool(hedge_delays) and len(running) == 1
                done, running = await asyncio.wait(
                    running,
                    timeout=hedge_delays[0] if hedge_pending else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    waited = hedge_delays.pop(0)
                    is_early = bool(hedge_delays)
                    if self._start_hedge(call, outgoing, running, is_early=is_early):
                        hedge_delays.clear()
                    hedge_delays = [delay - waited for delay in hedge_delays]
                    continue
                for task in done:
                    outcome = task.result()
                    if isinstance(outcome, Err) and outcome.err_value.outcome is Outcome.NOT_RUN:
                        call.may_have_run -= 1
                    if isinstance(outcome, Ok):
                        delivery = outcome.ok_value
                        if (
                            delivery.response.head.status < SERVER_ERROR
                            or not outgoing.is_idempotent
                        ):
                            return Ok(delivery)
                        error_delivery = delivery
                    else:
                        call.record_failure(outcome.err_value)
                    if not running:
                        await self._loss_checks.settle(call.fingerprint)
                    if not running and self._may_retry(call, outgoing, outcome):
                        retry = self._start_attempt(call, outgoing)
                        if isinstance(retry, Ok):
                            running.add(retry.ok_value)
        finally:
            for task in running:
                task.cancel()
        if error_delivery is not None:
            return Ok(error_delivery)
        assert call.reported_failure is not None
        return Err(call.reported_failure)

    def _start_attempt(
        self, call: Call, outgoing: OutgoingRequest
    ) -> Result[asyncio.Task[Result[Delivery, Failure]], Failure]:
        """Start an attempt at the best target, or return why there is none."""
        refusal = self._reauthorize(call)
        if refusal is not None:
            call.record_failure(refusal)
            return Err(refusal)
        chosen = self._choose_target(call)
        if isinstance(chosen, Err):
            call.record_failure(chosen.err_value)
            return chosen
        budget = self._retry_budget(call.service)
        if call.sends == 0:
            budget.record_first_send()
        elif not budget.try_retry():
            call.steps.append(["repeat-budget"])
            failure = Failure.not_run(Reason.REPEAT_BUDGET, "the budget of repeats is used up")
            call.record_failure(failure)
            return Err(failure)
        if call.may_have_run > 0 and not outgoing.is_idempotent:
            raise InvariantError(f"request {call.key} of route {call.route.name} may have run")
        call.first_estimate = call.first_estimate or chosen.ok_value
        call.sends += 1
        call.may_have_run += 1
        call.tried_target_ids.add(chosen.ok_value.target.target_id)
        step = call.steps[-1]
        return Ok(asyncio.create_task(self._run_attempt(call, outgoing, chosen.ok_value, step)))

    def _reauthorize(self, call: Call) -> Failure | None:
        """Check the key against the version in force, which may be newer than the request.

        Return the failure if the request may no longer be sent.
        """
        outcome = reauthorize(
            self._current_table().workspaces, call.route, call.credential, call.authorization
        )
        if isinstance(outcome, Err):
            refusal = outcome.err_value
            call.retry_after = refusal.retry_after
            call.steps.append(["not-sent", refusal.failure.reason.value])
            return refusal.failure
        call.authorization = outcome.ok_value
        return None

    def _hedge_delays(self, call: Call, outgoing: OutgoingRequest) -> list[float]:
        """Return after how many seconds without a response a second target may be used.

        All but the last are early: the second target is used only if it suits.
        """
        if not outgoing.is_idempotent or outgoing.is_streamed or call.first_estimate is None:
            return []
        late = late_hedge_delay(call.route.objective)
        early = early_hedge_delay(call.first_estimate, call.objective_left(time.monotonic()))
        return [late] if early is None or early >= late else [early, late]

    def _start_hedge(
        self,
        call: Call,
        outgoing: OutgoingRequest,
        running: set[asyncio.Task[Result[Delivery, Failure]]],
        *,
        is_early: bool,
    ) -> bool:
        """Send a request to a second target if that is allowed; return whether it was sent."""
        if call.sends >= call.route.max_attempts or self._poison.is_suspicious(call.fingerprint):
            return False
        if is_early:
            second = self._next_estimate(call)
            if second is None or not suits_early_hedge(second):
                return False
        retry = self._start_attempt(call, outgoing)
        if isinstance(retry, Ok):
            running.add(retry.ok_value)
        return isinstance(retry, Ok)

    def _next_estimate(self, call: Call) -> Estimate | None:
        """Return the estimate of the target that would be used next, if there is one."""
        now = time.monotonic()
        ranked = self._placement.ranked(call.profile, call.authorization.home_regions)
        usable = (
            target
            for target in ranked
            if target.target_id not in call.tried_target_ids
            and not target.health.is_unavailable(now)
        )
        estimates = self._placement.estimates(usable, call.profile)
        return preferred_estimate(estimates) if estimates else None

    async def _refresh_load(self, call: Call) -> None:
        """Ask the target that would be used for its load, if its answer may change the choice."""
        paces = self._results.paces
        if not paces.varies(call.service):
            return
        best = self._next_estimate(call)
        if best is None:
            return
        now = time.monotonic()
        target = best.target
        rule = self._rule_of(target)
        age = now - target.load.reported_at
        pace = paces.pace_by_service[call.service]
        if (
            rule is not None
            and not target.is_cold(now)
            and pace.needs_probe(best, call.objective_left(now), age)
        ):
            report = await self._load_probe.ask(target, rule, best.travel)
            if report is not None:
                paces.record_report(target, report)

    def _may_retry(
        self, call: Call, outgoing: OutgoingRequest, outcome: Result[Delivery, Failure]
    ) -> bool:
        if isinstance(outcome, Err):
            failure = outcome.err_value
            if failure.reason is Reason.DEADLINE:
                return False
            if failure.outcome is not Outcome.NOT_RUN and not outgoing.is_idempotent:
                return False
        return (
            call.sends < call.route.max_attempts
            and call.unreachable < MAX_UNREACHABLE_TARGETS
            and not outgoing.body.is_streaming
            and time.monotonic() < call.deadline
            and not self._poison.is_poisonous(call.fingerprint)
        )

    def _choose_target(self, call: Call) -> Result[Estimate, Failure]:
        """Choose the target of the next attempt, or return why the request is rejected."""
        now = time.monotonic()
        ranked = self._placement.ranked(call.profile, call.authorization.home_regions)
        excluded_ids = set(call.tried_target_ids)
        limited: list[RegisteredTarget] = []
        urgency = Urgency(call.deadline - now, call.route.objective, call.authorization.priority)
        while estimates := self._placement.estimates(
            (
                t
                for t in ranked
                if t.target_id not in excluded_ids and not t.health.is_unavailable(now)
            ),
            call.profile,
        ):
            best = choose_estimate(estimates, urgency)
            decision = decide(best, urgency, self._rng)
            if decision.verdict is Verdict.REJECT:
                call.retry_after = decision.retry_after
                call.steps.append(["turned-away", decision.reason, round(best.seconds, 3)])
                return Err(Failure.not_run(Reason.TURNED_AWAY, decision.reason))
            if self._admission.try_admit(best.target, self._rule_of(best.target), limited):
                self._log_limited(call, limited)
                call.steps.append([best.target.target_id, decision.reason, round(best.seconds, 3)])
                return Ok(best)
            excluded_ids.add(best.target.target_id)
        self._log_limited(call, limited)
        if limited:
            call.retry_after = max(
                MIN_RETRY_SECONDS, self._admission.rate_limits.retry_after(limited)
            )
        else:
            call.retry_after = NO_TARGET_RETRY_SECONDS * (1 + self._rng.random())
        return Err(Failure.not_run(Reason.NO_TARGET, f'no target of "{call.service}" takes work'))

    def _log_limited(self, call: Call, limited: list[RegisteredTarget]) -> None:
        if limited:
            call.steps.append([f"{len(limited)} targets", "rate-limit"])

    def _rule_of(self, target: RegisteredTarget) -> ServiceRule | None:
        return self._current_table().rule_by_service.get(target.report.service)

    async def _run_attempt(
        self, call: Call, outgoing: OutgoingRequest, chosen: Estimate, step: list[object]
    ) -> Result[Delivery, Failure]:
        """Send the request once, and record the load and health of the target."""
        target = chosen.target
        self._admission.limit_connections(target, self._rule_of(target))
        target.load.in_flight += 1
        started = time.monotonic()
        losses_before = self._poison.loss_count(call.fingerprint)
        round_trip = self._distances.round_trip(target.region)
        headers = headers_for_target(outgoing.headers, call.authorization, self._header_names)
        try:
            outcome = await attempt(
                replace(outgoing, headers=headers),
                target,
                self._header_names,
                call.deadline,
                round_trip,
                needs_new_connection=(
                    call.lost_idle_connection or self._poison.is_suspicious(call.fingerprint)
                ),
            )
        finally:
            target.load.in_flight -= 1
        step.append(round(time.monotonic() - started, 4))
        if isinstance(outcome, Err):
            step.append(outcome.err_value.reason.value)
            self._results.record_failure(call, chosen, outcome.err_value, started, losses_before)
            return outcome
        response = outcome.ok_value
        self._results.record_load(target, response)
        execution_status = classify_response(
            response.head, self._header_names, is_identified=response.is_identified
        )
        if response.is_identified and execution_status is not ExecutionStatus.OTHER_TARGET:
            self._admission.record_rate_limit(target, response)
        step.append(response.head.status)
        if response.is_unframed:
            step.append("unframed")
        if execution_status is ExecutionStatus.RAN:
            self._results.record_response(call, chosen, response)
            delivery = Delivery(response, target)
            call.deliveries.append(delivery)
            return Ok(delivery)
        if response.open_connection is not None:
            target.pool.discard(response.open_connection)
        return Err(self._inconclusive_failure(call, target, execution_status, response))

    def _inconclusive_failure(
        self,
        call: Call,
        target: RegisteredTarget,
        execution_status: ExecutionStatus,
        response: TargetResponse,
    ) -> Failure:
        status = response.head.status
        if execution_status is ExecutionStatus.OTHER_TARGET:
            why = "another target has its address"
            self._registry.remove(target.target_id, why, Presence.SUPERSEDED)
            return Failure.not_run(Reason.ANOTHER_TARGET, f'"{target.target_id}" is gone')
        if execution_status is ExecutionStatus.NOT_RUN:
            target.health.record_shed(time.monotonic())
            return Failure.not_run(Reason.TARGET_SHED, f'"{target.target_id}" shed it ({status})')
        return Failure.unknown(
            Reason.BAD_ANSWER,
            f'"{target.target_id}" gave an answer of status {status} that' " proves nothing",
        )

    def _retry_budget(self, service: str) -> WindowedRetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = self._make_budget()
        return budget
