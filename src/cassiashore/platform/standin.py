"""In-memory stand-in for the platform's metadata store, for tests without the platform."""

from __future__ import annotations

import asyncio
import time
from base64 import b64decode, b64encode
from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import msgspec

from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.ingress.server import IngressServer
from cassiashore._internal.steering.routes import IngressLimits

MAX_PAGE_ITEMS = 50  # a tenth of the real store's, so that tests cover paging
LIMITS = IngressLimits(max_body_bytes=8 << 20, idle_seconds=60.0)
_JSON = [(b"content-type", b"application/json")]

Response = tuple[int, dict[str, Any]]


@dataclass(slots=True)
class Item:
    """The current value of a key. ``created`` is the revision at which the key was created."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class Faults:
    """Faults to simulate. ``drops_responses_of`` names a call, such as ``kv-txn``."""

    is_down: bool = False
    drops_responses_of: str = ""


@dataclass(slots=True)
class _Lease:
    seconds: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The contents of the store at a moment, to which it can be restored."""

    revision: int
    item_by_key: dict[str, Item]
    lease_by_id: dict[int, _Lease]
    next_lease: int
    history: list[dict[str, Any]]
    history_start: int


class StandinStore:
    """Serves the store's HTTP interface; leases expire, and the history can be dropped.

    The store can be restored from an earlier copy of itself. Each response names the era, which is
    the number of restores.
    """

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        """Start with an empty store at revision 1."""
        self.faults = Faults()
        self.calls = 0
        self.era = 0
        self.revision = 1
        self.item_by_key: dict[str, Item] = {}
        self._history: list[dict[str, Any]] = []
        self._history_start = 1
        self._lease_by_id: dict[int, _Lease] = {}
        self._next_lease = 100
        self._monotonic = monotonic
        self._changed = asyncio.Event()
        self._server = IngressServer(self._handle, lambda: LIMITS)

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; return the address."""
        await self._server.listen(host, port, 128)
        return self._server.address()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._server.stop_listening()
        self._server.abort_all()

    # Direct access for tests, in place of operators and targets.

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return its new revision."""
        self.revision += 1
        previous = self.item_by_key.get(key)
        created = previous.created if previous else self.revision
        self._detach(key)
        item = Item(value, self.revision, created, lease)
        self.item_by_key[key] = item
        if lease in self._lease_by_id:
            self._lease_by_id[lease].keys.add(key)
        self._append_event(_encode_item(key, item))
        return self.revision

    def put_json(self, key: str, value: object) -> int:
        """Write a key with a JSON value."""
        return self.put(key, msgspec.json.encode(value))

    def delete(self, key: str) -> None:
        """Remove a key."""
        self._detach(key)
        if self.item_by_key.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def drop_history(self) -> None:
        """Drop all recorded changes, so that watches from an earlier revision get 410."""
        self._history.clear()
        self._history_start = self.revision
        self._notify_watchers()

    def copy(self) -> StoreCopy:
        """Return a copy of the keys and leases, for ``restore_copy``."""
        return StoreCopy(
            self.revision,
            deepcopy(self.item_by_key),
            deepcopy(self._lease_by_id),
            self._next_lease,
            list(self._history),
            self._history_start,
        )

    def restore_copy(self, copy: StoreCopy) -> None:
        """Return to an earlier copy and begin a new era; the copy can be restored again.

        Everything later is lost, including leases and the ids that were given out.
        """
        self.era += 1
        self.revision = copy.revision
        self.item_by_key = deepcopy(copy.item_by_key)
        self._lease_by_id = deepcopy(copy.lease_by_id)
        self._next_lease = copy.next_lease
        self._history = list(copy.history)
        self._history_start = copy.history_start
        self._notify_watchers()

    def expire_leases(self, *, all_leases: bool = False) -> None:
        """Remove expired leases, or all of them, with their keys."""
        now = self._monotonic()
        for lease_id, lease in list(self._lease_by_id.items()):
            if all_leases or lease.ends_at <= now:
                del self._lease_by_id[lease_id]
                for key in list(lease.keys):
                    self.delete(key)

    def _detach(self, key: str) -> None:
        """Detach a key from its lease: a key that is written again belongs to the new one only."""
        item = self.item_by_key.get(key)
        if item is not None and item.lease in self._lease_by_id:
            self._lease_by_id[item.lease].keys.discard(key)

    # HTTP handlers.

    async def _handle(self, request: IngressRequest, responder: Responder) -> None:
        self.calls += 1
        body = (await request.body.start(LIMITS.max_body_bytes)).data
        path, _, query_text = request.target.partition("?")
        query = {k: v[0] for k, v in parse_qs(query_text, keep_blank_values=True).items()}
        headers = [(b"store-era", b"%d" % self.era)]
        if self.faults.is_down:
            responder.send_response(503, headers, b"")
            return
        self.expire_leases()
        name, _, argument = path.removeprefix("/cassiashore/").partition("/")
        call = _HANDLERS.get((request.method, name))
        if call is None:
            responder.send_response(404, headers, b"")
            return
        status, response = await call(self, query, argument, body)
        if self.faults.drops_responses_of == name:
            responder.abort()
            return
        headers = [*_JSON, (b"store-era", b"%d" % self.era)]  # a watch may span a restore
        responder.send_response(status, headers, msgspec.json.encode(response))

    async def _read_key(self, query: dict[str, str], _: str, __: bytes) -> Response:
        key = query["key"]
        item = self.item_by_key.get(key)
        if item is None:
            return 404, {"current-rev": self.revision}
        return 200, {**_encode_item(key, item), "current-rev": self.revision}

    async def _read_range(self, query: dict[str, str], _: str, __: bytes) -> Response:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self.item_by_key
            if key.startswith(query["path-prefix"]) and (not after or key > after)
        )
        page = [_encode_item(key, self.item_by_key[key]) for key in keys[:MAX_PAGE_ITEMS]]
        more = len(keys) > MAX_PAGE_ITEMS
        return 200, {"items": page, "more-pages": more, "current-rev": self.revision}

    async def _watch(self, query: dict[str, str], _: str, __: bytes) -> Response:
        after, prefix = int(query["after"]), query["path-prefix"]
        deadline = self._monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if not self._history_start <= after <= self.revision:
                return 410, {}
            events = [
                e for e in self._history if e["revision"] > after and e["key"].startswith(prefix)
            ]
            remaining = deadline - self._monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _commit(self, _: dict[str, str], __: str, body: bytes) -> Response:
        call = msgspec.json.decode(body)
        rows = call.get("expected", [])
        if any(self._revision_of(row["key"]) != row["revision"] for row in rows):
            current_keys = [row["key"] for row in rows if row["key"] in self.item_by_key]
            return 412, {
                "items": [_encode_item(key, self.item_by_key[key]) for key in current_keys]
            }
        leases = [write.get("lease", 0) for write in call.get("writes", [])]
        if any(lease and lease not in self._lease_by_id for lease in leases):
            return 404, {}
        for write in call.get("writes", []):
            self.put(write["key"], b64decode(write["value"]), write.get("lease", 0))
        for key in call.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _grant_lease(self, _: dict[str, str], __: str, body: bytes) -> Response:
        seconds = msgspec.json.decode(body)["ttl-s_time"]
        self._next_lease += 1
        self._lease_by_id[self._next_lease] = _Lease(seconds, self._monotonic() + seconds)
        return 200, {"lease": self._next_lease, "ttl-s_time": seconds}

    async def _renew_lease(self, _: dict[str, str], lease_id: str, __: bytes) -> Response:
        lease = self._lease_by_id.get(int(lease_id))
        if lease is None:
            return 404, {}
        lease.ends_at = self._monotonic() + lease.seconds
        return 200, {"ttl-s_time": lease.seconds}

    async def _end_lease(self, _: dict[str, str], lease_id: str, __: bytes) -> Response:
        lease = self._lease_by_id.pop(int(lease_id), None)
        if lease is None:
            return 404, {}
        for key in lease.keys:
            self.delete(key)
        return 200, {}

    def _revision_of(self, key: str) -> int:
        item = self.item_by_key.get(key)
        return item.revision if item else 0

    def _append_event(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


_HANDLERS = {
    ("GET", "kv-key"): StandinStore._read_key,
    ("GET", "kv-range"): StandinStore._read_range,
    ("GET", "kv-watch"): StandinStore._watch,
    ("POST", "kv-txn"): StandinStore._commit,
    ("POST", "kv-lease"): StandinStore._grant_lease,
    ("POST", "kv-keep"): StandinStore._renew_lease,
    ("DELETE", "kv-lease-end"): StandinStore._end_lease,
}


def _encode_item(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": b64encode(item.value).decode(),
        "revision": item.revision,
        "create-revision": item.created,
        "lease": item.lease,
    }
