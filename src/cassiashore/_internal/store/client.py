"""Client of the platform's key-value service.

Every call gives a ``Result``. ``StoreFault.sent`` tells whether the request may have reached the
service: after a write with ``sent`` set, the write may have taken effect.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_call import CallFault, HttpCaller
from cassiashore._internal.net.http_client import ResponseHead

MAX_VALUE_BYTES = 1 << 20  # the store's limit
MAX_LISTING_BYTES = 8 << 20  # some ten thousand keys
ValueT = TypeVar("ValueT")

STORE_CONNECTIONS = 16  # calls at the same time, a waiting watch included
REVISION_HEADER = b"x-revision"
WATCH_MARGIN_SECONDS = 2.0


StoreFault = CallFault


@dataclass(frozen=True, slots=True)
class Entry:
    """A value with the revision at which it was written. Revision 0 means absent."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A compare-and-swap that was refused, with the entry that stands."""

    current: Entry


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance in the platform's list."""

    name: str
    failure_domain: str
    address: str
    peer_address: str
    leaving: bool = False


class StoreClient:
    """Speaks HTTP with the key-value service."""

    def __init__(self, address: Address, timeout: float) -> None:
        """Create a client whose calls take at most ``timeout`` seconds."""
        self._caller = HttpCaller("store", address, STORE_CONNECTIONS, timeout, MAX_LISTING_BYTES)
        self._timeout = timeout

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self._caller.calls

    async def get(self, key: str) -> Result[Entry, StoreFault]:
        """Read a key; an absent key gives an entry of revision 0."""
        answer = await self._call("GET", f"/v1/kv/{key}", b"", self._timeout)
        return answer.map(_entry_of)

    async def watch(self, key: str, after: int, wait: float) -> Result[Entry, StoreFault]:
        """Wait up to ``wait`` seconds for a revision above ``after``; return the entry then."""
        path = f"/v1/watch/{key}?after={after}&wait={wait:g}"
        answer = await self._call("GET", path, b"", wait + WATCH_MARGIN_SECONDS)
        return answer.map(_entry_of)

    async def put_if(
        self, key: str, value: bytes, expected: int, lease: str = ""
    ) -> Result[Entry, StoreFault | Conflict]:
        """Write a key if its revision is ``expected``; 0 means that it must be absent."""
        path = f"/v1/kv/{key}?expected={expected}"
        if lease:
            path += f"&lease={lease}"
        answer = await self._call("PUT", path, value, self._timeout)
        if isinstance(answer, Err):
            return Err(answer.err_value)
        head, body = answer.ok_value
        if head.status == 409:
            return Err(Conflict(_entry_of((head, body))))
        return Ok(Entry(value, _revision_of(head)))

    async def grant_lease(self, seconds: float) -> Result[str, StoreFault]:
        """Create a lease; keys written with it vanish when it lapses."""
        answer = await self._call("POST", f"/v1/leases?ttl={seconds:g}", b"", self._timeout)
        return answer.map(lambda pair: pair[1].decode())

    async def list_keys(self, prefix: str) -> Result[list[str], StoreFault]:
        """List the keys under a prefix."""
        answer = await self._call("GET", f"/v1/keys/{prefix}", b"", self._timeout)
        return _decoded(answer, list[str])

    async def list_instances(self) -> Result[list[ListedInstance], StoreFault]:
        """Read the platform's lagging list of instances."""
        answer = await self._call("GET", "/v1/instances", b"", self._timeout)
        return _decoded(answer, list[ListedInstance])

    def close(self) -> None:
        """Close idle connections."""
        self._caller.close()

    async def _call(
        self, method: str, path: str, body: bytes, timeout: float
    ) -> Result[tuple[ResponseHead, bytes], StoreFault]:
        answer = await self._caller.call(method, path, body, timeout)
        if isinstance(answer, Err):
            return answer
        status = answer.ok_value[0].status
        if status not in (200, 404, 409):
            return Err(self._caller.fault_of_status(method, path, status))
        return answer


def _entry_of(pair: tuple[ResponseHead, bytes]) -> Entry:
    head, body = pair
    return Entry(body, _revision_of(head))


def _revision_of(head: ResponseHead) -> int:
    return int(head.get(REVISION_HEADER) or b"0")


def _decoded(
    answer: Result[tuple[ResponseHead, bytes], StoreFault], kind: type[ValueT]
) -> Result[ValueT, StoreFault]:
    if isinstance(answer, Err):
        return answer
    try:
        return Ok(msgspec.json.decode(answer.ok_value[1], type=kind))
    except msgspec.DecodeError as error:
        return Err(StoreFault(f"store answer is malformed: {error}", sent=True))
