"""A stand-in of the platform's metadata store, for tests and trials without the platform."""

from __future__ import annotations

import asyncio
import time
from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import msgspec

from cassiashore._internal.ingress.connection import IngressServer
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.steering.routes import IngressLimits

MAX_PAGE_ITEMS = 50  # a tenth of the store's, so that tests see pages
LIMITS = IngressLimits(max_body_bytes=8 << 20, idle_seconds=60.0)
_JSON = [(b"content-type", b"application/json")]

Answer = tuple[int, dict[str, Any]]


@dataclass(slots=True)
class Item:
    """A key as it stands."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class Faults:
    """What the stand-in does wrong on purpose."""

    is_down: bool = False
    loses_answers_of: str = ""


@dataclass(slots=True)
class _Lease:
    seconds: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


class StandinStore:
    """The store's calls over HTTP, with leases that run out and a history that can be dropped."""

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        """Start with an empty store at revision 1."""
        self.faults = Faults()
        self.calls = 0
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
        """Stop listening and break all connections."""
        self._server.stop_listening()
        self._server.abort_all()

    # What operators and targets do.

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision."""
        self.revision += 1
        known = self.item_by_key.get(key)
        created = known.created if known else self.revision
        item = Item(value, self.revision, created, lease)
        self.item_by_key[key] = item
        if lease in self._lease_by_id:
            self._lease_by_id[lease].keys.add(key)
        self._record(_encoded(key, item))
        return self.revision

    def put_json(self, key: str, value: object) -> int:
        """Write a key with a JSON value."""
        return self.put(key, msgspec.json.encode(value))

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.item_by_key.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})

    def drop_history(self) -> None:
        """Forget all changes, so that watches from before get 410."""
        self._history.clear()
        self._history_start = self.revision
        self._wake()

    def expire_leases(self, *, all_of_them: bool = False) -> None:
        """Remove the keys of leases that have run out."""
        now = self._monotonic()
        for lease_id, lease in list(self._lease_by_id.items()):
            if all_of_them or lease.ends_at <= now:
                del self._lease_by_id[lease_id]
                for key in lease.keys:
                    self.delete(key)

    # Calls.

    async def _handle(self, request: IngressRequest, responder: Responder) -> None:
        self.calls += 1
        body = await request.body.prefix(LIMITS.max_body_bytes)
        path, _, query_text = request.target.partition("?")
        query = {k: v[0] for k, v in parse_qs(query_text, keep_blank_values=True).items()}
        if self.faults.is_down:
            responder.send_response(503, [], b"")
            return
        self.expire_leases()
        name, _, argument = path.removeprefix("/cassiashore/").partition("/")
        call = _CALLS.get((request.method, name))
        if call is None:
            responder.send_response(404, [], b"")
            return
        status, answer = await call(self, query, argument, body)
        if self.faults.loses_answers_of == name:
            responder.abort()
            return
        responder.send_response(status, _JSON, msgspec.json.encode(answer))

    async def _key(self, query: dict[str, str], _: str, __: bytes) -> Answer:
        key = query["key"]
        item = self.item_by_key.get(key)
        if item is None:
            return 404, {"current-rev": self.revision}
        return 200, {**_encoded(key, item), "current-rev": self.revision}

    async def _range(self, query: dict[str, str], _: str, __: bytes) -> Answer:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self.item_by_key
            if key.startswith(query["path-prefix"]) and (not after or key > after)
        )
        page = [_encoded(key, self.item_by_key[key]) for key in keys[:MAX_PAGE_ITEMS]]
        more = len(keys) > MAX_PAGE_ITEMS
        return 200, {"items": page, "more-pages": more, "current-rev": self.revision}

    async def _watch(self, query: dict[str, str], _: str, __: bytes) -> Answer:
        after, prefix = int(query["after"]), query["path-prefix"]
        until = self._monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after < self._history_start:
                return 410, {}
            events = [
                e for e in self._history if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = until - self._monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _txn(self, _: dict[str, str], __: str, body: bytes) -> Answer:
        call = msgspec.json.decode(body)
        rows = call.get("expected", [])
        if any(self._revision_of(row["key"]) != row["revision"] for row in rows):
            named = [row["key"] for row in rows if row["key"] in self.item_by_key]
            return 412, {"items": [_encoded(key, self.item_by_key[key]) for key in named]}
        leases = [write.get("lease", 0) for write in call.get("writes", [])]
        if any(lease and lease not in self._lease_by_id for lease in leases):
            return 404, {}
        for write in call.get("writes", []):
            self.put(write["key"], b64decode(write["value"]), write.get("lease", 0))
        for key in call.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _lease(self, _: dict[str, str], __: str, body: bytes) -> Answer:
        seconds = msgspec.json.decode(body)["ttl-s_time"]
        self._next_lease += 1
        self._lease_by_id[self._next_lease] = _Lease(seconds, self._monotonic() + seconds)
        return 200, {"lease": self._next_lease, "ttl-s_time": seconds}

    async def _keep(self, _: dict[str, str], lease_id: str, __: bytes) -> Answer:
        lease = self._lease_by_id.get(int(lease_id))
        if lease is None:
            return 404, {}
        lease.ends_at = self._monotonic() + lease.seconds
        return 200, {"ttl-s_time": lease.seconds}

    async def _end(self, _: dict[str, str], lease_id: str, __: bytes) -> Answer:
        lease = self._lease_by_id.pop(int(lease_id), None)
        if lease is None:
            return 404, {}
        for key in lease.keys:
            self.delete(key)
        return 200, {}

    def _revision_of(self, key: str) -> int:
        item = self.item_by_key.get(key)
        return item.revision if item else 0

    def _record(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


_CALLS = {
    ("GET", "kv-key"): StandinStore._key,
    ("GET", "kv-range"): StandinStore._range,
    ("GET", "kv-watch"): StandinStore._watch,
    ("POST", "kv-txn"): StandinStore._txn,
    ("POST", "kv-lease"): StandinStore._lease,
    ("POST", "kv-keep"): StandinStore._keep,
    ("DELETE", "kv-lease-end"): StandinStore._end,
}


def _encoded(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": b64encode(item.value).decode(),
        "revision": item.revision,
        "create-revision": item.created,
        "lease": item.lease,
    }
