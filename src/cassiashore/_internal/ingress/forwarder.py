"""Forwards the requests of callers to targets and returns their responses.

A request is authorized and, if need be, refused before its body is read. Attempts at targets are
made by ``AttemptRunner``.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from cassiashore._internal.ingress.attempt import OutgoingRequest
from cassiashore._internal.ingress.attempt_results import AttemptResults
from cassiashore._internal.ingress.attempts import AttemptRunner
from cassiashore._internal.ingress.authorization import (
    UNREADABLE_RETRY_SECONDS,
    Authorization,
    Credential,
    Refusal,
    authorize,
    find_workspace,
    read_credential,
    without_identity,
)
from cassiashore._internal.ingress.body import BodyError, BodyFault
from cassiashore._internal.ingress.call import Call, cookie_of, host_of
from cassiashore._internal.ingress.header_names import HeaderNames
from cassiashore._internal.ingress.memory_budget import RETRY_SECONDS
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.ingress.response_sender import ResponseSender
from cassiashore._internal.ingress.stop_schedule import StopSchedule
from cassiashore._internal.ingress.target_admission import TargetAdmission
from cassiashore._internal.models.outcome import Failure, Reason
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.observability.metrics import Metrics
from cassiashore._internal.proxy.headers import end_to_end
from cassiashore._internal.requests.loss_checks import LossChecks
from cassiashore._internal.requests.poison import PoisonRegistry, fingerprint
from cassiashore._internal.steering.distance import RegionDistances
from cassiashore._internal.steering.overload import MIN_RETRY_SECONDS
from cassiashore._internal.steering.placement import Placement
from cassiashore._internal.steering.registry import TargetRegistry
from cassiashore._internal.steering.retry_budget import WindowedRetryBudget
from cassiashore._internal.steering.routes import (
    Route,
    RouteTable,
    SplitChooser,
    UnreadableRoute,
)
from cassiashore._internal.steering.workspace_limits import WorkspaceLimits
from cassiashore._internal.steering.workspaces import Workspace

# Bodies up to this size are buffered completely, and can be sent again.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_DEADLINE_DIGITS = 9  # of a deadline in milliseconds: eleven days
NOT_READY_RETRY_SECONDS = 0.5  # about the time to load a configuration after a start
_REASON_BY_BODY_FAULT = {
    BodyFault.CALLER_LEFT: Reason.DEADLINE,
    BodyFault.STALLED: Reason.DEADLINE,
    BodyFault.TOO_LARGE: Reason.BODY_TOO_LARGE,
    BodyFault.WITHOUT_CONTENT: Reason.MALFORMED,
    BodyFault.NO_MEMORY: Reason.NO_CAPACITY,
}


@dataclass(frozen=True, slots=True)
class _Arrival:
    """An authorized request, with the route and the version by which it was authorized."""

    request: IngressRequest
    route: Route
    version: int
    credential: Credential
    authorization: Authorization


class Forwarder:
    """Forwards requests according to the current route table."""

    def __init__(
        self,
        header_names: HeaderNames,
        registry: TargetRegistry,
        placement: Placement,
        distances: RegionDistances,
        admission: TargetAdmission,
        poison: PoisonRegistry,
        make_budget: Callable[[], WindowedRetryBudget],
        decisions: DecisionLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Create a forwarder; ``table`` is None until a configuration is applied."""
        self.table: RouteTable | None = None
        self.stop_schedule: StopSchedule | None = None
        self.workspace_limits: WorkspaceLimits | None = None
        self.requests = 0
        self._header_names = header_names
        self._metrics = metrics
        self._poison = poison
        self._loss_checks = LossChecks(poison, decisions)
        self._response_sender = ResponseSender(header_names, decisions, metrics)
        self._split_chooser = SplitChooser()
        self._attempts = AttemptRunner(
            header_names,
            self._table_in_force,
            registry,
            placement,
            distances,
            admission,
            poison,
            self._loss_checks,
            make_budget,
            AttemptResults(
                header_names, placement, poison, self._loss_checks, decisions, metrics, rng
            ),
            rng,
        )
        self._own_request_headers = frozenset(
            {header_names.deadline_ms, header_names.expect_target, b"content-length"}
        )

    def apply(self, table: RouteTable) -> None:
        """Use a new version of the route table."""
        self.table = table
        names = {r.name for by in table.route_by_prefix_by_host.values() for r in by.values()}
        self._split_chooser.discard_except(names)
        if self.workspace_limits is not None and table.workspaces is not None:
            self.workspace_limits.keep_only(table.workspaces.names())

    def _table_in_force(self) -> RouteTable:
        assert self.table is not None
        return self.table

    async def handle(self, request: IngressRequest, responder: Responder) -> None:
        """Handle a request of a caller until it has a response."""
        self.requests += 1
        table = self.table
        if table is None:
            failure = Failure.not_run(Reason.NOT_READY, "no configuration is in force yet")
            self._refuse(request, responder, Refusal(failure, retry_after=NOT_READY_RETRY_SECONDS))
            return
        credential = self._take_credential(request, table)
        found = _find_route(request, table, credential)
        if isinstance(found, Err):
            self._refuse(request, responder, found.err_value)
            return
        route = found.ok_value
        authorized = authorize(table.workspaces, route, credential)
        if isinstance(authorized, Err):
            self._refuse(request, responder, authorized.err_value)
            return
        over_limit = self._limit_workspace(authorized.ok_value.workspace)
        if over_limit is not None:
            self._refuse(request, responder, over_limit)
            return
        arrival = _Arrival(request, route, table.version, credential, authorized.ok_value)
        await self._handle_authorized(arrival, responder)

    def _limit_workspace(self, workspace: Workspace | None) -> Refusal | None:
        """Count a request of a workspace; return a refusal if that would exceed its limit."""
        if workspace is None or self.workspace_limits is None:
            return None
        is_admitted = self.workspace_limits.try_admit(workspace)
        self._metrics.count_workspace_request(workspace.name, workspace.rate, is_admitted)
        if is_admitted:
            return None
        detail = f'workspace "{workspace.name}" is over its rate limit'
        failure = Failure.not_run(Reason.WORKSPACE_LIMIT, detail)
        retry_after = max(MIN_RETRY_SECONDS, self.workspace_limits.retry_after(workspace))
        return Refusal(failure, workspace.name, retry_after)

    def _take_credential(self, request: IngressRequest, table: RouteTable) -> Credential:
        """Read the key of a request, and remove it if the configuration has workspaces.

        It is read in any case: the request may still wait when a version with workspaces comes into
        force.
        """
        credential = read_credential(request.headers, self._header_names)
        if table.workspaces is not None:
            request.headers = without_identity(request.headers, self._header_names)
        return credential

    def _refuse(self, request: IngressRequest, responder: Responder, refusal: Refusal) -> None:
        """Refuse a request before a target was chosen."""
        version = self.table.version if self.table is not None else 0
        self._response_sender.refuse(
            request,
            responder,
            refusal.failure,
            refusal.retry_after,
            version=version,
            workspace_name=refusal.workspace_name,
        )

    def _refuse_arrival(self, arrival: _Arrival, responder: Responder, failure: Failure) -> None:
        """Refuse an authorized request before a target was chosen."""
        workspace = arrival.authorization.workspace
        name = workspace.name if workspace is not None else None
        retry_after = RETRY_SECONDS if failure.reason is Reason.NO_CAPACITY else 0.0
        self._refuse(arrival.request, responder, Refusal(failure, name, retry_after))

    async def _handle_authorized(self, arrival: _Arrival, responder: Responder) -> None:
        deadline = self._deadline_of(arrival.request, arrival.route)
        stop = self.stop_schedule
        if stop is not None and not stop.takes(time.monotonic(), deadline):
            failure = Failure.not_run(Reason.STOPPING, "this instance is stopping")
            self._refuse_arrival(arrival, responder, failure)
            return
        if not arrival.route.is_idempotent:
            # If an earlier response closes the connection, the caller will send this request again.
            await responder.wait_for_turn()
        read = await self._read_request(arrival)
        if isinstance(read, Err):
            self._refuse_arrival(arrival, responder, read.err_value)
            return
        outgoing = read.ok_value
        call = self._build_call(arrival, outgoing, deadline)
        await self._loss_checks.settle(call.fingerprint)
        if not self._poison.try_admit(call.fingerprint):
            failure = Failure.not_run(Reason.POISONOUS, "this request has crashed targets")
            self._refuse_arrival(arrival, responder, failure)
            return
        await self._run(call, outgoing, responder)

    async def _run(self, call: Call, outgoing: OutgoingRequest, responder: Responder) -> None:
        """Run attempts, and pass on the response or the failure."""
        try:
            outcome = await self._attempts.run(call, outgoing)
            if isinstance(outcome, Ok):
                await self._response_sender.deliver(call, responder, outcome.ok_value)
        except asyncio.CancelledError:
            if not call.is_finished:
                self._response_sender.record_result(call, "caller-left", None)
            raise
        finally:
            for delivery in call.deliveries:
                delivery.discard()
        if isinstance(outcome, Err):
            self._response_sender.record_result(call, outcome.err_value.reason.value, None)
            self._response_sender.send_failure(responder, outcome.err_value, call.retry_after)

    # Reading requests.

    async def _read_request(self, arrival: _Arrival) -> Result[OutgoingRequest, Failure]:
        """Read the start of the body."""
        request, route = arrival.request, arrival.route
        content_length = request.header(b"content-length")
        most = self._table_in_force().limits.max_body_bytes
        if content_length is not None and int(content_length) > most:
            return Err(Failure.not_run(Reason.BODY_TOO_LARGE, f"the body exceeds {most} bytes"))
        try:
            async with asyncio.timeout(None if request.body.is_complete else route.timeout):
                start = await request.body.start(MAX_BUFFERED_BODY_BYTES)
        except (BodyError, TimeoutError) as error:
            fault = error.fault if isinstance(error, BodyError) else BodyFault.STALLED
            return Err(Failure.not_run(_REASON_BY_BODY_FAULT[fault], fault.value))
        request_id = request.header(self._header_names.request_id)
        if request_id is None:
            return Err(Failure.not_run(Reason.MALFORMED, "the request has no id"))
        headers = [p for p in end_to_end(request.headers) if p[0] not in self._own_request_headers]
        return Ok(
            OutgoingRequest(
                request.method,
                request.target,
                headers,
                request_id,
                start.data,
                request.body,
                content_length,
                route.is_idempotent,
                not start.is_whole,
            )
        )

    def _deadline_of(self, request: IngressRequest, route: Route) -> float:
        """Return when the caller or the operator stops waiting, by the monotonic clock."""
        timeout_seconds = route.timeout
        given = request.header(self._header_names.deadline_ms)
        if given is not None and given.isdigit() and len(given) <= MAX_DEADLINE_DIGITS:
            timeout_seconds = min(route.timeout, int(given) / 1000)
        return request.received_at + timeout_seconds

    def _build_call(self, arrival: _Arrival, outgoing: OutgoingRequest, deadline: float) -> Call:
        request, route = arrival.request, arrival.route
        key = (
            cookie_of(request.headers, self._header_names.affinity_cookie)
            if route.uses_affinity
            else None
        )
        call = Call(
            request,
            route,
            self._split_chooser.choose(route),
            key or outgoing.request_id.decode("latin-1"),
            deadline,
            arrival.version,
            arrival.credential,
            arrival.authorization,
            has_object=bool(key),
        )
        affinity = key or ""
        call.fingerprint = fingerprint(
            route.name, request.method, f"{request.target}\n{affinity}", outgoing.prefix
        )
        return call


def _find_route(
    request: IngressRequest, table: RouteTable, credential: Credential
) -> Result[Route, Refusal]:
    """Return the route of a request; without one, a key is required as on all other paths."""
    route = table.match(host_of(request), request.target.partition("?")[0])
    if isinstance(route, Route):
        return Ok(route)
    if isinstance(route, UnreadableRoute):
        detail = f'route "{route.name}" cannot be followed'
        failure = Failure.not_run(Reason.UNREADABLE_ROUTE, detail)
        return Err(Refusal(failure, retry_after=UNREADABLE_RETRY_SECONDS))
    found = find_workspace(table.workspaces, None, credential)
    if isinstance(found, Err):
        return found
    workspace = found.ok_value
    failure = Failure.not_run(Reason.UNKNOWN_ROUTE, "no route matches host and path")
    return Err(Refusal(failure, workspace.name if workspace is not None else None))
