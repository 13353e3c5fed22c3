"""Client of the platform's key-value service.

Every call returns a ``Result``. ``StoreFault.sent`` tells whether the request may have reached the
service; if it is set after a write, the write may have taken effect.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.models.address import Address
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.net.http_call import CallFault, HttpCaller
from cassiashore._internal.net.http_client import ResponseHead

MAX_VALUE_BYTES = 1 << 20  # limit of the store
MAX_LISTING_BYTES = 8 << 20  # some ten thousand keys
ValueT = TypeVar("ValueT")

STORE_CONNECTIONS = 16  # concurrent calls, including waiting watches
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
    """A compare-and-swap that was refused, with the current entry."""

    current: Entry


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance in the list of the platform."""

    name: str
    failure_domain: str
    address: str
    peer_address: str
    leaving: bool = False


class StoreClient:
    """HTTP client of the key-value service."""

    def __init__(self, address: Address, timeout: float) -> None:
        """Create a client whose calls, except watches, take at most ``timeout`` seconds."""
        self._caller = HttpCaller("store", address, STORE_CONNECTIONS, timeout, MAX_LISTING_BYTES)
        self._timeout = timeout

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self._caller.calls

    async def get(self, key: str) -> Result[Entry, StoreFault]:
        """Read a key; the entry of an absent key has revision 0."""
        response = await self._call("GET", f"/v1/kv/{key}", b"", self._timeout)
        return response.map(_entry_of)

    async def watch(self, key: str, after: int, wait: float) -> Result[Entry, StoreFault]:
        """Wait up to ``wait`` seconds for a revision above ``after``, and return the entry."""
        path = f"/v1/watch/{key}?after={after}&wait={wait:g}"
        response = await self._call("GET", path, b"", wait + WATCH_MARGIN_SECONDS)
        return response.map(_entry_of)

    async def put_if(
        self, key: str, value: bytes, expected: int, lease: str = ""
    ) -> Result[Entry, StoreFault | Conflict]:
        """Write a key if its revision is ``expected``; 0 means that the key must be absent."""
        path = f"/v1/kv/{key}?expected={expected}"
        if lease:
            path += f"&lease={lease}"
        response = await self._call("PUT", path, value, self._timeout)
        if isinstance(response, Err):
            return Err(response.err_value)
        head, body = response.ok_value
        if head.status == 409:
            return Err(Conflict(_entry_of((head, body))))
        return Ok(Entry(value, _revision_of(head)))

    async def grant_lease(self, seconds: float) -> Result[str, StoreFault]:
        """Create a lease; keys written with it are removed when it expires."""
        response = await self._call("POST", f"/v1/leases?ttl={seconds:g}", b"", self._timeout)
        return response.map(lambda pair: pair[1].decode())

    async def list_keys(self, prefix: str) -> Result[list[str], StoreFault]:
        """List the keys under a prefix."""
        response = await self._call("GET", f"/v1/keys/{prefix}", b"", self._timeout)
        return _decoded(response, list[str])

    async def list_instances(self) -> Result[list[ListedInstance], StoreFault]:
        """Read the list of instances of the platform, which may lag behind."""
        response = await self._call("GET", "/v1/instances", b"", self._timeout)
        return _decoded(response, list[ListedInstance])

    def close(self) -> None:
        """Close idle connections."""
        self._caller.close()

    async def _call(
        self, method: str, path: str, body: bytes, timeout: float
    ) -> Result[tuple[ResponseHead, bytes], StoreFault]:
        response = await self._caller.call(method, path, body, timeout)
        if isinstance(response, Err):
            return response
        status = response.ok_value[0].status
        if status not in (200, 404, 409):
            return Err(self._caller.fault_of_status(method, path, status))
        return response


def _entry_of(response: tuple[ResponseHead, bytes]) -> Entry:
    head, body = response
    return Entry(body, _revision_of(head))


def _revision_of(head: ResponseHead) -> int:
    return int(head.get(REVISION_HEADER) or b"0")


def _decoded(
    response: Result[tuple[ResponseHead, bytes], StoreFault], value_type: type[ValueT]
) -> Result[ValueT, StoreFault]:
    if isinstance(response, Err):
        return response
    try:
        return Ok(msgspec.json.decode(response.ok_value[1], type=value_type))
    except DECODE_ERRORS as error:
        return Err(StoreFault(f"store answer is malformed: {error}", sent=True))
