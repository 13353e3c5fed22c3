"""Client of the platform's metadata store, as the event store that the mirror needs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_call import HttpCaller
from cassiashore._internal.net.http_client import ResponseHead
from cassiashore._internal.store.client import StoreFault
from cassiashore._internal.store.events import (
    Change,
    ChangeBatch,
    HistoryLost,
    Lease,
    LeaseLost,
    Snapshot,
    TransactionRefused,
    Write,
)

CONNECTIONS = 4  # a watch, a renewal, a write and one to spare
CONNECT_SECONDS = 0.5  # an opening packet lost in a cut is repeated by a new attempt, not after 1 s
CALL_SECONDS = 1.0  # an answer takes milliseconds; 50 times that when the store is slow
# On top of the wait: a slow store answers a hundred times later than usual.
WATCH_MARGIN_SECONDS = 0.6
MAX_ANSWER_BYTES = 16 << 20  # 16 pages of the store's 1 MB
MAX_PAGES = 200  # of about 500 keys: 100,000 keys
EVERYTHING = ""
ValueT = TypeVar("ValueT")
_JSON = [(b"content-type", b"application/json")]
_OK = frozenset({200})
_PATH_PREFIX = "/cassiashore/kv-"


class _Item(msgspec.Struct, rename="kebab"):
    """A key of the store; in a watch also a removed one, then ``deleted`` is set.

    Values are base64 text in JSON, which msgspec decodes.
    """

    key: str
    revision: int
    value: bytes = b""
    deleted: bool = False


class _Range(msgspec.Struct, rename="kebab"):
    """One page of keys."""

    items: list[_Item]
    current_rev: int
    more_pages: bool = False


class _Events(msgspec.Struct, rename="kebab"):
    """What a watch returned."""

    events: list[_Item]
    current_rev: int


class _LeaseAnswer(msgspec.Struct):
    """A granted lease."""

    lease: int
    # The store spells the length of a lease like this, apart from the directory's "ttl-s".
    seconds: float = msgspec.field(name="ttl-s_time")


class _Committed(msgspec.Struct):
    revision: int


class _Refused(msgspec.Struct):
    items: list[_Item] = []


class PlatformStore:
    """The platform's store over HTTP."""

    def __init__(self, address: Address) -> None:
        """Create a client without connections."""
        self.calls_by_kind: Counter[str] = Counter()
        self._caller = HttpCaller("store", address, CONNECTIONS, CONNECT_SECONDS, MAX_ANSWER_BYTES)

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self._caller.calls

    async def read_all(self) -> Result[Snapshot, StoreFault]:
        """Read every key, page by page; the first page's revision is that of the copy."""
        items: list[Change] = []
        revision: int | None = None
        after: str | None = None
        for _ in range(MAX_PAGES):
            query = {"path-prefix": EVERYTHING}
            if after is not None:
                query["after"] = after
            answer = await self._get("/cassiashore/kv-range", query, _OK)
            if isinstance(answer, Err):
                return answer
            page = _decode(answer.ok_value[1], _Range)
            if isinstance(page, Err):
                return page
            found = page.ok_value
            revision = found.current_rev if revision is None else revision
            items.extend(_change_of(item) for item in found.items)
            if not found.more_pages or not found.items:
                return Ok(Snapshot(revision, items))
            after = found.items[-1].key
        return Err(StoreFault(f"the store has more than {MAX_PAGES} pages of keys", sent=True))

    async def watch(
        self, after: int, wait_seconds: float
    ) -> Result[ChangeBatch, StoreFault | HistoryLost]:
        """Wait for changes after a revision."""
        query = {
            "path-prefix": EVERYTHING,
            "after": str(after),
            "wait-ms": str(int(wait_seconds * 1000)),
        }
        timeout = wait_seconds + WATCH_MARGIN_SECONDS
        answer = await self._get("/cassiashore/kv-watch", query, {200, 410}, timeout)
        if isinstance(answer, Err):
            return answer
        head, body = answer.ok_value
        if head.status == 410:
            return Err(HistoryLost())
        decoded = _decode(body, _Events)
        if isinstance(decoded, Err):
            return decoded
        events = decoded.ok_value
        revision = max([events.current_rev, *(event.revision for event in events.events)])
        return Ok(ChangeBatch(after, revision, [_change_of(event) for event in events.events]))

    async def read(self, key: str) -> Result[Change | None, StoreFault]:
        """Read one key."""
        answer = await self._get("/cassiashore/kv-key", {"key": key}, {200, 404})
        if isinstance(answer, Err):
            return answer
        head, body = answer.ok_value
        if head.status == 404:
            return Ok(None)
        return _decode(body, _Item).map(_change_of)

    async def commit(
        self, expected: dict[str, int], writes: Sequence[Write], deletes: Sequence[str] = ()
    ) -> Result[int, StoreFault | TransactionRefused | LeaseLost]:
        """Write and delete under conditions, all or nothing."""
        body = {
            # "expected" are rows of keys with the revisions that they must have.
            "expected": [{"key": key, "revision": rev} for key, rev in expected.items()],
            "writes": [{"key": w.key, "value": w.value, "lease": w.lease_id} for w in writes],
            "deletes": list(deletes),
        }
        answer = await self._post("/cassiashore/kv-txn", body, {200, 404, 412})
        if isinstance(answer, Err):
            return answer
        head, content = answer.ok_value
        if head.status == 404:
            return Err(LeaseLost())
        if head.status == 412:
            refused = _decode(content, _Refused)
            if isinstance(refused, Err):
                return refused
            return Err(TransactionRefused([_change_of(i) for i in refused.ok_value.items]))
        return _decode(content, _Committed).map(lambda committed: committed.revision)

    async def grant_lease(self, seconds: float) -> Result[Lease, StoreFault]:
        """Create a lease."""
        answer = await self._post("/cassiashore/kv-lease", {"ttl-s_time": seconds}, _OK)
        if isinstance(answer, Err):
            return answer
        return _decode(answer.ok_value[1], _LeaseAnswer).map(lambda a: Lease(a.lease, a.seconds))

    async def renew_lease(self, lease_id: int) -> Result[None, StoreFault | LeaseLost]:
        """Renew a lease."""
        answer = await self._post(f"/cassiashore/kv-keep/{lease_id}", None, {200, 404})
        if isinstance(answer, Err):
            return answer
        return Ok(None) if answer.ok_value[0].status == 200 else Err(LeaseLost())

    async def end_lease(self, lease_id: int) -> Result[None, StoreFault]:
        """End a lease."""
        path = f"/cassiashore/kv-lease-end/{lease_id}"
        answer = await self._call("DELETE", path, b"", {200, 204, 404}, CALL_SECONDS)
        return answer.map(lambda _: None)

    def close(self) -> None:
        """Close idle connections."""
        self._caller.close()

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        allowed: frozenset[int] | set[int],
        timeout: float = CALL_SECONDS,
    ) -> Result[tuple[ResponseHead, bytes], StoreFault]:
        return await self._call("GET", f"{path}?{urlencode(query)}", b"", allowed, timeout)

    async def _post(
        self, path: str, body: object, allowed: frozenset[int] | set[int]
    ) -> Result[tuple[ResponseHead, bytes], StoreFault]:
        content = b"" if body is None else msgspec.json.encode(body)
        return await self._call("POST", path, content, allowed, CALL_SECONDS)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        allowed: frozenset[int] | set[int],
        timeout: float,
    ) -> Result[tuple[ResponseHead, bytes], StoreFault]:
        self.calls_by_kind[path.removeprefix(_PATH_PREFIX).partition("?")[0].partition("/")[0]] += 1
        answer = await self._caller.call(method, path, body, timeout, _JSON if body else None)
        if isinstance(answer, Err):
            return answer
        status = answer.ok_value[0].status
        if status not in allowed:
            return Err(self._caller.fault_of_status(method, path, status))
        return answer


def _change_of(item: _Item) -> Change:
    if item.deleted:
        return Change(item.key, item.revision, None)
    return Change(item.key, item.revision, item.value)


def _decode(body: bytes, kind: type[ValueT]) -> Result[ValueT, StoreFault]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, ValueError) as error:
        return Err(StoreFault(f"store answer is malformed: {error}", sent=True))
