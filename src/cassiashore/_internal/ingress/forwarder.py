"""Takes a caller's request to a target and brings back the answer.

This is the only place that repeats a send. What may be repeated follows from the route's kind: a
request that must not run twice is sent again only when the target said that it did not run it, or
when no byte of it was written.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from result import Err, Ok, Result

from cassiashore._internal.exceptions import InvariantError
from cassiashore._internal.ingress.attempt import (
    Proof,
    Send,
    TargetAnswer,
    attempt,
    classify,
)
from cassiashore._internal.ingress.body import BodyError, BodyFault
from cassiashore._internal.ingress.call import Call, Delivery, cookie_of, host_of
from cassiashore._internal.ingress.header_names import HeaderNames
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.ingress.response_sender import ResponseSender
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.observability.metrics import Metrics
from cassiashore._internal.proxy.headers import end_to_end
from cassiashore._internal.requests.poison import PoisonRegistry, fingerprint
from cassiashore._internal.steering.cold import ColdAdmission
from cassiashore._internal.steering.distance import RegionDistances
from cassiashore._internal.steering.overload import Urgency, Verdict, best_place, decide
from cassiashore._internal.steering.placement import Estimate, Placement
from cassiashore._internal.steering.registry import RegisteredTarget, TargetRegistry
from cassiashore._internal.steering.retry_budget import WindowedRetryBudget
from cassiashore._internal.steering.routes import Route, RouteTable, SplitChooser, UnreadableRoute

PREFIX_BYTES = 64 * 1024  # bodies up to this are taken whole first, and can be sent again
MAX_DEADLINE_DIGITS = 9  # milliseconds: eleven days
MAX_UNREACHABLE = 4  # targets that could not be reached, before a request is given up
SILENCE_OBJECTIVES = 2.0  # objectives without an answer after which another target is asked
MIN_SILENCE_SECONDS = 0.3  # above the round trip between regions and a short queue
NOT_READY_RETRY_SECONDS = 0.5  # a configuration is there about as long after a start
NO_TARGET_RETRY_SECONDS = 0.5  # about the time for a change in the store to arrive
UNREADABLE_RETRY_SECONDS = 2.0  # operators take longer to correct a route
SERVER_ERROR = 500
_REASON_BY_BODY_FAULT = {
    BodyFault.CALLER_LEFT: Reason.DEADLINE,
    BodyFault.STALLED: Reason.DEADLINE,
    BodyFault.TOO_LARGE: Reason.BODY_TOO_LARGE,
    BodyFault.WITHOUT_CONTENT: Reason.MALFORMED,
}
_CRASH_REASONS = frozenset({Reason.TARGET_FAILED})


class Forwarder:
    """Serves requests by the route table in force."""

    def __init__(
        self,
        edge: HeaderNames,
        registry: TargetRegistry,
        placement: Placement,
        distances: RegionDistances,
        cold: ColdAdmission,
        poison: PoisonRegistry,
        make_budget: Callable[[], WindowedRetryBudget],
        decisions: DecisionLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Keep the parts; ``table`` is set when a configuration is in force."""
        self.table: RouteTable | None = None
        self.refuses_new_requests = False
        self.requests = 0
        self._edge = edge
        self._registry = registry
        self._placement = placement
        self._distances = distances
        self._cold = cold
        self._poison = poison
        self._make_budget = make_budget
        self._decisions = decisions
        self._metrics = metrics
        self._response_sender = ResponseSender(edge, decisions, metrics)
        self._rng = rng
        self._split = SplitChooser()
        self._budget_by_service: dict[str, WindowedRetryBudget] = {}
        self._own_request_headers = frozenset(
            {edge.deadline_ms, edge.expect_target, b"content-length"}
        )

    def apply(self, table: RouteTable) -> None:
        """Put a version in force."""
        self.table = table
        names = {r.name for by in table.route_by_prefix_by_host.values() for r in by.values()}
        self._split.forget_except(names)

    async def handle(self, request: IngressRequest, responder: Responder) -> None:
        """Answer one request."""
        self.requests += 1
        table = self.table
        if table is None:
            failure = Failure.not_run(Reason.NOT_READY, "no configuration is in force yet")
            self._response_sender.refuse(request, responder, failure, NOT_READY_RETRY_SECONDS)
            return
        route = table.match(host_of(request), request.target.partition("?")[0])
        if route is None:
            failure = Failure.not_run(Reason.UNKNOWN_ROUTE, "no route matches host and path")
            self._response_sender.refuse(request, responder, failure, version=table.version)
            return
        if isinstance(route, UnreadableRoute):
            detail = f'route "{route.name}" cannot be followed'
            failure = Failure.not_run(Reason.UNREADABLE_ROUTE, detail)
            pause = UNREADABLE_RETRY_SECONDS
            self._response_sender.refuse(request, responder, failure, pause, version=table.version)
            return
        if self.refuses_new_requests:
            failure = Failure.not_run(Reason.STOPPING, "this instance is stopping")
            self._response_sender.refuse(request, responder, failure, 0.0, version=table.version)
            return
        if not route.is_idempotent:
            # Behind an answer that closes the connection the caller sends it again.
            await responder.turn()
        send = await self._read(request, responder, route)
        if send is None:
            return
        call = self._call(request, route, table.version, send)
        if self._poison.is_poisonous(call.fingerprint):
            failure = Failure.not_run(Reason.POISONOUS, "this request has crashed targets")
            self._response_sender.refuse(request, responder, failure, version=table.version)
            return
        try:
            outcome = await self._run(call, send)
            if isinstance(outcome, Ok):
                await self._response_sender.deliver(call, responder, outcome.ok_value)
        except asyncio.CancelledError:
            if not call.is_finished:
                self._response_sender.finish(call, "caller-left", None)
            raise
        finally:
            for delivery in call.deliveries:
                delivery.discard()
        if isinstance(outcome, Err):
            self._response_sender.finish(call, outcome.err_value.reason.value, None)
            self._response_sender.fail(responder, outcome.err_value, call.retry_after)

    # Reading.

    async def _read(
        self, request: IngressRequest, responder: Responder, route: Route
    ) -> Send | None:
        """Take in the body or its first part; None after refusing the request."""
        assert self.table is not None
        content_length = request.header(b"content-length")
        most = self.table.limits.max_body_bytes
        if content_length is not None and int(content_length) > most:
            failure = Failure.not_run(Reason.BODY_TOO_LARGE, f"the body exceeds {most} bytes")
            self._response_sender.refuse(request, responder, failure)
            return None
        try:
            async with asyncio.timeout(None if request.body.is_complete else route.timeout):
                prefix = await request.body.prefix(PREFIX_BYTES)
        except (BodyError, TimeoutError) as error:
            fault = error.fault if isinstance(error, BodyError) else BodyFault.STALLED
            failure = Failure.not_run(_REASON_BY_BODY_FAULT[fault], fault.value)
            self._response_sender.refuse(request, responder, failure)
            return None
        request_id = request.header(self._edge.request_id)
        if request_id is None:
            failure = Failure.not_run(Reason.MALFORMED, "the request has no id")
            self._response_sender.refuse(request, responder, failure)
            return None
        headers = [p for p in end_to_end(request.headers) if p[0] not in self._own_request_headers]
        return Send(
            request.method,
            request.target,
            headers,
            request_id,
            prefix,
            request.body,
            content_length,
            route.is_idempotent,
            not request.body.is_complete,
        )

    def _call(self, request: IngressRequest, route: Route, version: int, send: Send) -> Call:
        longest = route.timeout
        given = request.header(self._edge.deadline_ms)
        if given is not None and given.isdigit() and len(given) <= MAX_DEADLINE_DIGITS:
            longest = int(given) / 1000
        key = (
            cookie_of(request.headers, self._edge.affinity_cookie) if route.uses_affinity else None
        )
        call = Call(
            request,
            route,
            self._split.choose(route),
            key or send.request_id.decode("latin-1"),
            request.received_at + min(longest, route.timeout),
            version,
            has_object=bool(key),
        )
        affinity = key or ""
        call.fingerprint = fingerprint(
            route.name, request.method, f"{request.target}\n{affinity}", send.prefix
        )
        return call

    # Running.

    async def _run(self, call: Call, send: Send) -> Result[Delivery, Failure]:
        """Send the request until it is answered or must not be sent again.

        A target that stays silent is not given up: while it may still answer, a second one is asked
        if the request may run twice, and the first whole answer counts.
        """
        running: set[asyncio.Task[Result[Delivery, Failure]]] = set()
        kept: Delivery | None = None
        first = self._start(call, send)
        if isinstance(first, Err):
            return first
        running.add(first.ok_value)
        may_hedge = send.is_idempotent and not send.is_streamed
        try:
            while running:
                hedges = may_hedge and len(running) == 1
                done, running = await asyncio.wait(
                    running,
                    timeout=self._patience(call) if hedges else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    may_hedge = False
                    self._hedge(call, send, running)
                    continue
                for task in done:
                    outcome = task.result()
                    if isinstance(outcome, Err) and outcome.err_value.outcome is Outcome.NOT_RUN:
                        call.may_have_run -= 1
                    if isinstance(outcome, Ok):
                        delivery = outcome.ok_value
                        if delivery.answer.head.status < SERVER_ERROR or not send.is_idempotent:
                            return Ok(delivery)
                        kept = delivery
                    else:
                        call.failed(outcome.err_value)
                    if not running and self._may_repeat(call, send, outcome):
                        again = self._start(call, send)
                        if isinstance(again, Ok):
                            running.add(again.ok_value)
        finally:
            for task in running:
                task.cancel()
        if kept is not None:
            return Ok(kept)
        assert call.worst is not None
        return Err(call.worst)

    def _start(
        self, call: Call, send: Send
    ) -> Result[asyncio.Task[Result[Delivery, Failure]], Failure]:
        """Begin a send to the best place, or say why there is none."""
        chosen = self._choose(call)
        if isinstance(chosen, Err):
            call.failed(chosen.err_value)
            return chosen
        budget = self._budget(call.service)
        if call.sends == 0:
            budget.record_first_send()
        elif not budget.try_retry():
            call.steps.append(["repeat-budget"])
            failure = Failure.not_run(Reason.REPEAT_BUDGET, "the budget of repeats is used up")
            call.failed(failure)
            return Err(failure)
        if call.may_have_run > 0 and not send.is_idempotent:
            raise InvariantError(f"request {call.key} of route {call.route.name} may have run")
        call.sends += 1
        call.may_have_run += 1
        call.tried.add(chosen.ok_value.target.target_id)
        step = call.steps[-1]
        return Ok(asyncio.create_task(self._send(call, send, chosen.ok_value, step)))

    def _patience(self, call: Call) -> float:
        """Return after how many seconds of silence a second target is asked."""
        return max(MIN_SILENCE_SECONDS, SILENCE_OBJECTIVES * call.route.objective)

    def _hedge(
        self, call: Call, send: Send, running: set[asyncio.Task[Result[Delivery, Failure]]]
    ) -> None:
        if call.sends >= call.route.max_attempts:
            return
        again = self._start(call, send)
        if isinstance(again, Ok):
            running.add(again.ok_value)

    def _may_repeat(self, call: Call, send: Send, outcome: Result[Delivery, Failure]) -> bool:
        if isinstance(outcome, Err):
            failure = outcome.err_value
            if failure.reason is Reason.DEADLINE:
                return False
            if failure.outcome is not Outcome.NOT_RUN and not send.is_idempotent:
                return False
        return (
            call.sends < call.route.max_attempts
            and call.unreachable < MAX_UNREACHABLE
            and not send.body.is_streaming
            and time.monotonic() < call.deadline
            and not self._poison.is_poisonous(call.fingerprint)
        )

    def _choose(self, call: Call) -> Result[Estimate, Failure]:
        """Choose where to send, or say why the request is turned away."""
        route = call.route
        now = time.monotonic()
        order = self._placement.ranked(call.profile, route.home_regions)
        passed_over = set(call.tried)
        urgency = Urgency(call.deadline - now, route.objective, route.priority)
        while options := self._placement.estimates(
            (t for t in order if t.target_id not in passed_over and not t.health.is_resting(now)),
            call.profile,
        ):
            best = best_place(options, urgency)
            decision = decide(best, urgency, self._rng)
            if decision.verdict is Verdict.TURN_AWAY:
                call.retry_after = decision.retry_after
                call.steps.append(["turned-away", decision.reason, round(best.seconds, 3)])
                return Err(Failure.not_run(Reason.TURNED_AWAY, decision.reason))
            if not best.target.is_cold(now) or self._admits_cold(best.target):
                call.steps.append([best.target.target_id, decision.reason, round(best.seconds, 3)])
                return Ok(best)
            passed_over.add(best.target.target_id)
        call.retry_after = NO_TARGET_RETRY_SECONDS * (1 + self._rng.random())
        return Err(Failure.not_run(Reason.NO_TARGET, f'no target of "{call.service}" takes work'))

    def _admits_cold(self, target: RegisteredTarget) -> bool:
        assert self.table is not None
        rule = self.table.rule_by_service.get(target.report.service)
        rate = rule.cold_rate if rule is not None else 0.0
        report = target.report
        return self._cold.try_admit(report.target_id, report.failure_domain, target.region, rate)

    async def _send(
        self, call: Call, send: Send, chosen: Estimate, step: list[object]
    ) -> Result[Delivery, Failure]:
        """Send once and take in what that says of the target."""
        target = chosen.target
        target.load.in_flight += 1
        started = time.monotonic()
        round_trip = self._distances.round_trip(target.region)
        try:
            outcome = await attempt(send, target, self._edge, call.deadline, round_trip)
        finally:
            target.load.in_flight -= 1
        step.append(round(time.monotonic() - started, 4))
        if isinstance(outcome, Err):
            step.append(outcome.err_value.reason.value)
            self._note_failure(call, chosen, outcome.err_value, time.monotonic() - started)
            return outcome
        answer = outcome.ok_value
        self._note_load(target, answer)
        proof = classify(answer.head, self._edge)
        step.append(answer.head.status)
        if answer.is_unframed:
            step.append("unframed")
        if proof is Proof.RAN:
            self._note_answer(call, chosen, answer)
            delivery = Delivery(answer, target)
            call.deliveries.append(delivery)
            return Ok(delivery)
        if answer.rest is not None:
            target.pool.discard(answer.rest)
        return Err(self._unproven(call, target, proof, answer))

    def _unproven(
        self, call: Call, target: RegisteredTarget, proof: Proof, answer: TargetAnswer
    ) -> Failure:
        status = answer.head.status
        if proof is Proof.OTHER_TARGET:
            self._registry.remove(target.target_id, "another target has its address")
            return Failure.not_run(Reason.ANOTHER_TARGET, f'"{target.target_id}" is gone')
        if proof is Proof.NOT_RUN:
            target.health.shed(time.monotonic())
            return Failure.not_run(Reason.TARGET_SHED, f'"{target.target_id}" shed it ({status})')
        return Failure.unknown(
            Reason.BAD_ANSWER,
            f'"{target.target_id}" gave an answer of status {status} that' " proves nothing",
        )

    def _note_failure(self, call: Call, chosen: Estimate, failure: Failure, seconds: float) -> None:
        target = chosen.target
        if failure.reason is Reason.DEADLINE:
            if failure.outcome is Outcome.UNKNOWN:
                self._placement.unanswered(chosen, call.profile, seconds)
            return
        if failure.reason is Reason.TARGET_UNREACHABLE:
            call.sends -= 1
            call.unreachable += 1
        if failure.reason in _CRASH_REASONS and failure.outcome is Outcome.UNKNOWN:
            self._poison.record_crash(call.fingerprint, target.target_id)
        if target.health.failed() or failure.reason is Reason.TARGET_UNREACHABLE:
            self._eject(target, failure.detail)

    def _eject(self, target: RegisteredTarget, why: str) -> None:
        """Send a target nothing for a while."""
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

    def _note_answer(self, call: Call, chosen: Estimate, answer: TargetAnswer) -> None:
        target = chosen.target
        if answer.head.status >= SERVER_ERROR:
            if target.health.failed():
                self._eject(target, f"status {answer.head.status} again and again")
            return
        self._poison.acquit(call.fingerprint)
        target.health.succeeded(answer.seconds, time.monotonic())
        self._placement.answered(chosen, call.profile, answer.seconds)

    def _note_load(self, target: RegisteredTarget, answer: TargetAnswer) -> None:
        value = answer.head.get(self._edge.load)
        if value is None:
            return
        parts = value.split(b",")
        if len(parts) == 3 and parts[0].isdigit() and parts[1].isdigit():
            target.load.report(int(parts[0]) + int(parts[1]), time.monotonic())

    def _budget(self, service: str) -> WindowedRetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = self._make_budget()
        return budget
