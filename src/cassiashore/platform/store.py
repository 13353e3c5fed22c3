"""Client of the platform's metadata store; implements the event store that the mirror needs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.models.address import Address
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.net.http_call import HttpCaller
from cassiashore._internal.net.http_client import ResponseHead
from cassiashore._internal.store.client import StoreFault
from cassiashore._internal.store.events import (
    Change,
    ChangeBatch,
    EraEnded,
    HistoryLost,
    Lease,
    LeaseLost,
    Snapshot,
    TransactionRefused,
    Write,
)
from cassiashore.platform.key_redaction import KeyRedactor
from cassiashore.platform.wire import CONFIGURATION_KEY

MAX_CONNECTIONS = 4  # for a watch, a lease renewal and a write, with one to spare
# Shorter than the 1 s after which TCP repeats a lost SYN: a new attempt connects earlier.
CONNECT_SECONDS = 0.5
CALL_SECONDS = 1.0  # a call takes milliseconds, or 50 times that when the store is slow
# Added to the wait time of a watch: a slow store takes a hundred times longer to respond.
WATCH_MARGIN_SECONDS = 0.6
MAX_RESPONSE_BYTES = 16 << 20  # 16 times the store's page size of 1 MB
MAX_PAGES = 200  # of about 500 keys each: 100,000 keys
ALL_KEYS = ""
ValueT = TypeVar("ValueT")
_JSON = [(b"content-type", b"application/json")]
_OK = frozenset({200})
_PATH_PREFIX = "/cassiashore/kv-"
MAX_ERA_DIGITS = 18  # eras are sent to other instances as integers of 64 bits
_ERA_HEADER = b"store-era"  # absent from the responses of earlier releases of the store


class _Item(msgspec.Struct, rename="kebab"):
    """A key of the store, or in a watch a removed key, which has ``deleted`` set.

    Values are base64 in JSON; msgspec decodes them.
    """

    key: str
    revision: int
    value: bytes = b""
    deleted: bool = False


class _RangeResponse(msgspec.Struct, rename="kebab"):
    """One page of keys."""

    items: list[_Item]
    current_rev: int
    more_pages: bool = False


class _WatchResponse(msgspec.Struct, rename="kebab"):
    """Changes returned by a watch."""

    events: list[_Item]
    current_rev: int


class _LeaseResponse(msgspec.Struct):
    """A granted lease."""

    lease: int
    # The store's spelling; the directory calls its own lifetime "ttl-s".
    seconds: float = msgspec.field(name="ttl-s_time")


class _CommitResponse(msgspec.Struct):
    revision: int


class _ConflictResponse(msgspec.Struct):
    items: list[_Item] = []


class PlatformStore:
    """The platform's store over HTTP."""

    def __init__(self, address: Address) -> None:
        """Create a client; connections are opened on demand."""
        self.on_era: Callable[[int], None] = lambda era: None
        self.calls_by_kind: Counter[str] = Counter()
        self._redactor = KeyRedactor()
        self._caller = HttpCaller(
            "store", address, MAX_CONNECTIONS, CONNECT_SECONDS, MAX_RESPONSE_BYTES
        )

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self._caller.calls

    async def read_all(self) -> Result[Snapshot, StoreFault]:
        """Read all keys, page by page; the snapshot has the revision of the first page.

        If the store was restored between two pages, the pages read before it are discarded.
        """
        snapshot: Snapshot | None = None
        after: str | None = None
        for _ in range(MAX_PAGES):
            read = await self._read_page(after)
            if isinstance(read, Err):
                return read
            era, page = read.ok_value
            if snapshot is not None and era != snapshot.era:
                snapshot, after = None, None
                continue
            if snapshot is None:
                snapshot = Snapshot(page.current_rev, [], era)
            snapshot.items.extend(self._to_change(item) for item in page.items)
            if not page.more_pages or not page.items:
                return Ok(snapshot)
            after = page.items[-1].key
        return Err(StoreFault(f"the store has more than {MAX_PAGES} pages of keys", sent=True))

    async def _read_page(self, after: str | None) -> Result[tuple[int, _RangeResponse], StoreFault]:
        """Read the keys after a key, with the era of the response."""
        query = {"path-prefix": ALL_KEYS}
        if after is not None:
            query["after"] = after
        response = await self._get("/cassiashore/kv-range", query, _OK)
        if isinstance(response, Err):
            return response
        head, body = response.ok_value
        return _decode(body, _RangeResponse).map(lambda page: (_era_of(head), page))

    async def watch(
        self, after: int, wait_seconds: float
    ) -> Result[ChangeBatch, StoreFault | HistoryLost]:
        """Wait for changes after the given revision."""
        query = {
            "path-prefix": ALL_KEYS,
            "after": str(after),
            "wait-ms": str(int(wait_seconds * 1000)),
        }
        timeout = wait_seconds + WATCH_MARGIN_SECONDS
        response = await self._get("/cassiashore/kv-watch", query, {200, 410}, timeout)
        if isinstance(response, Err):
            return response
        head, body = response.ok_value
        if head.status == 410:
            return Err(HistoryLost())
        decoded = _decode(body, _WatchResponse)
        if isinstance(decoded, Err):
            return decoded
        events = decoded.ok_value
        revision = max([events.current_rev, *(event.revision for event in events.events)])
        changes = [self._to_change(event) for event in events.events]
        return Ok(ChangeBatch(after, revision, changes, _era_of(head)))

    async def read(self, key: str) -> Result[Change | None, StoreFault]:
        """Read one key."""
        response = await self._get("/cassiashore/kv-key", {"key": key}, {200, 404})
        if isinstance(response, Err):
            return response
        head, body = response.ok_value
        if head.status == 404:
            return Ok(None)
        return _decode(body, _Item).map(self._to_change)

    async def commit(
        self,
        expected: dict[str, int],
        writes: Sequence[Write],
        deletes: Sequence[str] = (),
        *,
        era: int = 0,
    ) -> Result[int, StoreFault | TransactionRefused | LeaseLost | EraEnded]:
        """Write and delete keys in a transaction if all ``expected`` revisions of an era match.

        If the conditions name revisions, one of the keys is read first: a restore may not be known
        here yet, and the response shows the era of the store.
        """
        named = [key for key, revision in expected.items() if revision]
        if named:
            confirmed = await self._confirm_era(named[0], era)
            if isinstance(confirmed, Err):
                return confirmed
        body = {
            # "expected" lists keys with the revisions that they must have.
            "expected": [{"key": key, "revision": rev} for key, rev in expected.items()],
            "writes": [{"key": w.key, "value": w.value, "lease": w.lease_id} for w in writes],
            "deletes": list(deletes),
        }
        response = await self._post("/cassiashore/kv-txn", body, {200, 404, 412})
        if isinstance(response, Err):
            return response
        head, content = response.ok_value
        if head.status == 404:
            return Err(LeaseLost())
        if head.status == 412:
            refused = _decode(content, _ConflictResponse)
            if isinstance(refused, Err):
                return refused
            return Err(TransactionRefused([self._to_change(i) for i in refused.ok_value.items]))
        return _decode(content, _CommitResponse).map(lambda committed: committed.revision)

    async def _confirm_era(self, key: str, era: int) -> Result[None, StoreFault | EraEnded]:
        """Check that the store is in an era, by reading a key."""
        response = await self._get("/cassiashore/kv-key", {"key": key}, {200, 404})
        if isinstance(response, Err):
            return Err(StoreFault(response.err_value.detail, sent=False))
        return Ok(None) if _era_of(response.ok_value[0]) == era else Err(EraEnded())

    async def grant_lease(self, seconds: float) -> Result[Lease, StoreFault]:
        """Create a lease."""
        response = await self._post("/cassiashore/kv-lease", {"ttl-s_time": seconds}, _OK)
        if isinstance(response, Err):
            return response
        return _decode(response.ok_value[1], _LeaseResponse).map(
            lambda a: Lease(a.lease, a.seconds)
        )

    async def renew_lease(self, lease_id: int) -> Result[None, StoreFault | LeaseLost]:
        """Renew a lease."""
        response = await self._post(f"/cassiashore/kv-keep/{lease_id}", None, {200, 404})
        if isinstance(response, Err):
            return response
        return Ok(None) if response.ok_value[0].status == 200 else Err(LeaseLost())

    async def end_lease(self, lease_id: int) -> Result[None, StoreFault]:
        """End a lease."""
        path = f"/cassiashore/kv-lease-end/{lease_id}"
        response = await self._call("DELETE", path, b"", {200, 204, 404}, CALL_SECONDS)
        return response.map(lambda _: None)

    def close(self) -> None:
        """Close idle connections."""
        self._caller.close()

    def _to_change(self, item: _Item) -> Change:
        if item.deleted:
            return Change(item.key, item.revision, None)
        is_configuration = item.key == CONFIGURATION_KEY
        value = self._redactor.redact(item.value) if is_configuration else item.value
        return Change(item.key, item.revision, value)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        expected_statuses: frozenset[int] | set[int],
        timeout: float = CALL_SECONDS,
    ) -> Result[tuple[ResponseHead, bytes], StoreFault]:
        return await self._call(
            "GET", f"{path}?{urlencode(query)}", b"", expected_statuses, timeout
        )

    async def _post(
        self, path: str, body: object, expected_statuses: frozenset[int] | set[int]
    ) -> Result[tuple[ResponseHead, bytes], StoreFault]:
        content = b"" if body is None else msgspec.json.encode(body)
        return await self._call("POST", path, content, expected_statuses, CALL_SECONDS)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        expected_statuses: frozenset[int] | set[int],
        timeout: float,
    ) -> Result[tuple[ResponseHead, bytes], StoreFault]:
        self.calls_by_kind[path.removeprefix(_PATH_PREFIX).partition("?")[0].partition("/")[0]] += 1
        response = await self._caller.call(method, path, body, timeout, _JSON if body else None)
        if isinstance(response, Err):
            return response
        status = response.ok_value[0].status
        if status not in expected_statuses:
            return Err(self._caller.fault_of_status(method, path, status))
        try:
            era = _era_of(response.ok_value[0])
        except ValueError as error:
            return Err(StoreFault(f"malformed era in a response of the store: {error}", sent=True))
        self.on_era(era)
        return response


def _era_of(head: ResponseHead) -> int:
    """Return the era that a response names; raise ``ValueError`` if it is no such number."""
    text = head.get(_ERA_HEADER) or b"0"
    if not text.isdigit() or len(text) > MAX_ERA_DIGITS:
        raise ValueError(f"{text[:MAX_ERA_DIGITS]!r}")
    return int(text)


def _decode(body: bytes, kind: type[ValueT]) -> Result[ValueT, StoreFault]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except DECODE_ERRORS as error:
        return Err(StoreFault(f"malformed response of the store: {error}", sent=True))
