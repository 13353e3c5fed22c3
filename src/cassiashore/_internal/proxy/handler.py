"""ASGI application of the proxy: ``/services/NAME/...``."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from cassiashore._internal.catalogue.versioned import VersionedCatalogue
from cassiashore._internal.exceptions import ResponseAbortedError
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.observability.metrics import Metrics
from cassiashore._internal.peers.messages import Identity
from cassiashore._internal.proxy import headers as header_names
from cassiashore._internal.proxy.attempt import UpstreamResponse
from cassiashore._internal.proxy.exchange import BodySource, Exchange, Receive, Scope, Send
from cassiashore._internal.proxy.hop import HopKind, read_hop
from cassiashore._internal.proxy.responses import (
    send_failure,
    send_replayed_answer,
    stream_response,
)
from cassiashore._internal.proxy.runner import Reach, RequestRunner
from cassiashore._internal.requests.claims import ClaimRegistrar, claim_key
from cassiashore._internal.requests.keys import RequestKey
from cassiashore._internal.requests.ledger import (
    KeyLedger,
    KeyRecord,
    Known,
    StoredResponse,
    recorded_failure,
)
from cassiashore._internal.requests.poison import fingerprint
from cassiashore._internal.routing.finder import PlaceFinder
from cassiashore._internal.routing.lookup import LookupService

PATH_PREFIX = "/services/"
CONNECTION_KEY = "cassiashore.connection"
MAX_IDEMPOTENCY_KEY_BYTES = 256

_BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
_REACH_BY_HOP = {
    HopKind.EXECUTE: Reach.HERE,
    HopKind.PLACE: Reach.DOMAIN,
    HopKind.OWN: Reach.ANYWHERE,
}

_Running = Awaitable[Result[UpstreamResponse, Failure]]


@dataclass(frozen=True, slots=True)
class _KeyedRequest:
    """The key of a request as the ledger stores it; ``claim`` is its key in the store, if any."""

    ledger_key: str
    slot: int
    claim: str | None = None


class ProxyHandler:
    """Handles requests from callers and from other instances."""

    def __init__(
        self,
        own: Identity,
        versioned_catalogue: VersionedCatalogue,
        runner: RequestRunner,
        ledger: KeyLedger,
        claims: ClaimRegistrar,
        finder: PlaceFinder,
        lookups: LookupService,
        metrics: Metrics,
        peer_key: bytes,
        body_idle_seconds: float,
        is_ready: Callable[[], bool],
        key_slot: Callable[[], int],
    ) -> None:
        """Store the collaborators; ``body_idle_seconds`` limits the wait for each body chunk."""
        self.in_flight = 0
        self._own = own
        self._versioned_catalogue = versioned_catalogue
        self._runner = runner
        self._ledger = ledger
        self._claims = claims
        self._finder = finder
        self._lookups = lookups
        self._metrics = metrics
        self._peer_key = peer_key
        self._body_idle_seconds = body_idle_seconds
        self._is_ready = is_ready
        self._key_slot = key_slot

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        self.in_flight += 1
        try:
            parsed = self._parse_request(scope, receive)
            if isinstance(parsed, Err):
                await self._send_failure(send, _service_name(scope), parsed.err_value)
                return
            await self._serve(parsed.ok_value, scope, send)
        finally:
            self.in_flight -= 1

    # Parsing the request.

    def _parse_request(self, scope: Scope, receive: Receive) -> Result[Exchange, Failure]:
        catalogue = self._versioned_catalogue.catalogue
        if catalogue is None or not self._is_ready():
            return Err(Failure.not_run(Reason.NOT_READY, "no catalogue is in force here yet"))
        name, rest = _split_path(scope)
        service = catalogue.service_by_name.get(name)
        if service is None:
            return Err(Failure.not_run(Reason.UNKNOWN_SERVICE, f'no service is named "{name}"'))
        headers = scope["headers"]
        length = header_names.header(headers, b"content-length")
        if length is not None and int(length) > service.max_body_bytes:
            detail = f"the body exceeds {service.max_body_bytes} bytes"
            return Err(Failure.not_run(Reason.BODY_TOO_LARGE, detail))
        client = scope["client"][0] if scope.get("client") else ""
        home_region, home_domain = self._lookups.home_of(client)
        exchange = Exchange(
            service=service,
            method=scope["method"],
            path=rest,
            headers=headers,
            body=self._body_source(headers, receive, service.max_body_bytes),
            content_length=length,
            deadline=time.monotonic() + _deadline_seconds(headers, service.max_deadline_seconds),
            client=client,
            home_region=home_region,
            home_domain=home_domain,
        )
        return self._read_hop(exchange)

    def _body_source(
        self, headers: list[tuple[bytes, bytes]], receive: Receive, max_bytes: int
    ) -> BodySource:
        body = BodySource(receive, max_bytes, self._body_idle_seconds)
        has_body = any(name in _BODY_HEADERS for name, _ in headers)
        body.complete = not has_body
        return body

    def _read_hop(self, exchange: Exchange) -> Result[Exchange, Failure]:
        value = header_names.header(exchange.headers, header_names.HOP)
        if value is None:
            return Ok(exchange)
        hop = read_hop(value, self._own.incarnation, self._peer_key)
        if hop is None:
            return Err(Failure.not_run(Reason.HOP_REFUSED, "the hop was not signed for this run"))
        exchange.hop = hop
        exchange.client = hop.client
        exchange.home_region = hop.home_region
        exchange.home_domain = hop.home_domain
        return Ok(exchange)

    # Serving the request.

    async def _serve(self, exchange: Exchange, scope: Scope, send: Send) -> None:
        read = await exchange.body.read_prefix()
        if isinstance(read, Err):
            await self._send_failure(send, exchange.service.name, read.err_value)
            return
        exchange.fingerprint = fingerprint(
            exchange.service.name, exchange.method, exchange.path, exchange.body.prefix
        )
        reach = Reach.ANYWHERE if exchange.hop is None else _REACH_BY_HOP[exchange.hop.kind]
        if exchange.is_safe or reach is not Reach.ANYWHERE:
            await self._serve_unkeyed(exchange, scope, send, self._runner.run(exchange, reach))
            return
        key_text = header_names.header(exchange.headers, header_names.REQUEST_KEY)
        if key_text is not None:
            await self._serve_request_key(exchange, scope, send, key_text.decode("latin-1"))
            return
        idempotency_key = header_names.header(exchange.headers, header_names.IDEMPOTENCY_KEY)
        if idempotency_key is not None:
            await self._serve_idempotency_key(
                exchange, scope, send, idempotency_key.decode("latin-1")
            )
            return
        await self._serve_unkeyed(exchange, scope, send, self._runner.run(exchange, reach))

    async def _serve_unkeyed(
        self, exchange: Exchange, scope: Scope, send: Send, running: _Running
    ) -> None:
        """Run a request that has no key; cancel it if its caller disconnects."""
        connection = scope.get(CONNECTION_KEY)
        task = asyncio.current_task()
        if connection is not None and task is not None:
            connection.on_lost = task.cancel
        try:
            outcome = await running
            await self._respond(exchange, send, outcome, keep=False)
        except asyncio.CancelledError:
            if connection is None or not connection.is_lost:
                raise
        finally:
            if connection is not None:
                connection.on_lost = None

    async def _serve_request_key(
        self, exchange: Exchange, scope: Scope, send: Send, text: str
    ) -> None:
        key = RequestKey.parse(text)
        if key is None:
            failure = Failure.not_run(Reason.KEY_MALFORMED, "the request key is malformed")
            await self._send_failure(send, exchange.service.name, failure)
        elif key.incarnation == self._own.incarnation:
            await self._serve_own_key(exchange, send, _KeyedRequest(key.text, key.slot))
        else:
            await self._forward_to_key_owner(exchange, scope, send, key.incarnation)

    async def _serve_idempotency_key(
        self, exchange: Exchange, scope: Scope, send: Send, idempotency_key: str
    ) -> None:
        name = exchange.service.name
        if not 0 < len(idempotency_key) <= MAX_IDEMPOTENCY_KEY_BYTES:
            failure = Failure.not_run(Reason.KEY_MALFORMED, "the idempotency key is too long")
            await self._send_failure(send, name, failure)
            return
        store_key = claim_key(name, idempotency_key)
        keyed = _KeyedRequest(f"claim {store_key}", self._key_slot(), store_key)
        owner = await self._serve_own_key(exchange, send, keyed)
        if owner is not None:
            await self._forward_to_key_owner(exchange, scope, send, owner)

    async def _forward_to_key_owner(
        self, exchange: Exchange, scope: Scope, send: Send, incarnation: str
    ) -> None:
        """Forward a request to the incarnation that owns its key, or fail if that has ended.

        No other instance may run it, since the owner may have run an earlier copy.
        """
        name = exchange.service.name
        owner = self._finder.identity_of(incarnation)
        if exchange.hop is not None or owner is None:
            failure = Failure.unknown(Reason.OWNER_GONE, "the instance that owns the key is gone")
            await self._send_failure(send, name, failure)
            return
        outcome = await self._runner.forward_to_owner(exchange, owner)
        if isinstance(outcome, Err) and outcome.err_value.reason is Reason.PEER_UNREACHABLE:
            detail = f"the owner of the key cannot be reached: {outcome.err_value.detail}"
            outcome = Err(Failure.unknown(Reason.PEER_UNREACHABLE, detail))
        await self._respond(exchange, send, outcome, keep=False)

    async def _serve_own_key(
        self, exchange: Exchange, send: Send, keyed: _KeyedRequest
    ) -> str | None:
        """Serve a request whose key this instance owns.

        Return the incarnation of the owner if a claim in the store names another one.
        """
        name = exchange.service.name
        if keyed.claim is None:
            begun = self._ledger.begin(keyed.ledger_key, keyed.slot, exchange.fingerprint)
        else:
            begun = self._ledger.begin_claim(keyed.ledger_key, exchange.fingerprint)
        if isinstance(begun, Failure):
            await self._send_failure(send, name, begun)
            return None
        if isinstance(begun, Known):
            await self._replay(exchange, send, begun.record)
            return None
        record = begun.record
        try:
            if keyed.claim is not None:
                owner = await self._acquire_claim(send, exchange, keyed, record)
                if owner != self._own.incarnation:
                    return owner
            await self._run_keyed(exchange, send, keyed.ledger_key, record)
        finally:
            if not record.done.is_set():
                interrupted = Failure.unknown(
                    Reason.TARGET_FAILED, "serving the request was interrupted"
                )
                self._ledger.record_failure(record, interrupted)
        return None

    async def _acquire_claim(
        self, send: Send, exchange: Exchange, keyed: _KeyedRequest, record: KeyRecord
    ) -> str | None:
        """Claim the key in the store; return its owner, or None after sending a failure."""
        assert keyed.claim is not None
        claimed = await self._claims.claim(keyed.claim, record.slot)
        if isinstance(claimed, Err):
            self._ledger.discard(keyed.ledger_key, record)
            await self._send_failure(send, exchange.service.name, claimed.err_value)
            return None
        claim = claimed.ok_value
        if claim.owner != self._own.incarnation:
            self._ledger.discard(keyed.ledger_key, record)
            return claim.owner
        if claim.slot < self._ledger.oldest_slot:
            failure = Failure.unknown(Reason.KEY_EXPIRED, "the key is too old to be remembered")
            self._ledger.record_failure(record, failure)
            await self._send_failure(send, exchange.service.name, failure)
            return None
        return claim.owner

    async def _run_keyed(
        self, exchange: Exchange, send: Send, ledger_key: str, record: KeyRecord
    ) -> None:
        self._ledger.mark_dispatched(record)
        outcome = await self._runner.run(exchange, Reach.ANYWHERE)
        if isinstance(outcome, Err):
            self._ledger.record_failure(record, outcome.err_value)
            await self._send_failure(send, exchange.service.name, outcome.err_value)
            return
        kept = await self._respond(exchange, send, outcome, keep=True)
        if not record.done.is_set():
            self._ledger.record_response(ledger_key, record, kept)

    async def _replay(self, exchange: Exchange, send: Send, record: KeyRecord) -> None:
        """Answer a repeated request with the outcome of the first one with the same key."""
        name = exchange.service.name
        try:
            async with asyncio.timeout(max(0.0, exchange.deadline - time.monotonic())):
                await record.done.wait()
        except TimeoutError:
            failure = Failure.unknown(Reason.KEY_IN_USE, "the first copy is still running")
            await self._send_failure(send, name, failure)
            return
        earlier_failure = recorded_failure(record)
        if earlier_failure is not None:
            await self._send_failure(send, name, earlier_failure)
            return
        assert record.response is not None
        self._count(name, Outcome.RAN.value, "repeated")
        await send_replayed_answer(send, record.response, self._own.instance)

    # Responding.

    async def _respond(
        self,
        exchange: Exchange,
        send: Send,
        outcome: Result[UpstreamResponse, Failure],
        *,
        keep: bool,
    ) -> StoredResponse | None:
        name = exchange.service.name
        if isinstance(outcome, Err):
            await self._send_failure(send, name, outcome.err_value)
            return None
        response = outcome.ok_value
        try:
            kept = await stream_response(send, response, keep=keep)
        except ResponseAbortedError as error:
            self._count(name, Outcome.UNKNOWN.value, Reason.TARGET_FAILED.value)
            if response.head_sent:
                raise
            failure = Failure.unknown(Reason.TARGET_FAILED, str(error))
            await send_failure(send, failure, self._own.instance)
            return None
        self._count(name, Outcome.RAN.value, "answered")
        return kept

    async def _send_failure(self, send: Send, service: str, failure: Failure) -> None:
        self._count(service, failure.outcome.value, failure.reason.value)
        await send_failure(send, failure, self._own.instance)

    def _count(self, service: str, outcome: str, reason: str) -> None:
        catalogue = self._versioned_catalogue.catalogue
        known = catalogue is not None and service in catalogue.service_by_name
        self._metrics.count_request(service if known else "unknown", outcome, reason)


def _split_path(scope: Scope) -> tuple[str, str]:
    raw = scope.get("raw_path") or scope["path"].encode()
    path = raw.decode("latin-1").removeprefix(PATH_PREFIX)
    name, _, rest = path.partition("/")
    query = scope["query_string"].decode("latin-1")
    return name, f"/{rest}?{query}" if query else f"/{rest}"


def _service_name(scope: Scope) -> str:
    return _split_path(scope)[0]


def _deadline_seconds(headers: list[tuple[bytes, bytes]], max_seconds: float) -> float:
    value = header_names.header(headers, header_names.DEADLINE_MS)
    if value is None or not value.isdigit():
        return max_seconds
    return min(max_seconds, int(value) / 1000)
