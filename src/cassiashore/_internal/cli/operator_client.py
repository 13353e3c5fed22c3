"""HTTP calls of the command line to an instance."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_client import connect, request_head

CALL_SECONDS = 15.0  # longer than a change may take to be in force
MAX_ANSWER_BYTES = 32 << 20  # a catalogue of the largest size, as text


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The status and the JSON value of an answer."""

    status: int
    value: Any


@dataclass(frozen=True, slots=True)
class InstanceClient:
    """Calls one instance, with the operator key if one was given."""

    address: Address
    key: bytes = b""

    def call(self, method: str, path: str, body: bytes = b"") -> Result[CallAnswer, str]:
        """Make one call; the error says why there is no answer."""
        return asyncio.run(self._call(method, path, body))

    async def _call(self, method: str, path: str, body: bytes) -> Result[CallAnswer, str]:
        opened = await connect(self.address, CALL_SECONDS)
        if isinstance(opened, Err):
            return opened
        connection = opened.ok_value
        headers = [
            (b"host", str(self.address).encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        if self.key:
            headers.append((b"authorization", b"Bearer " + self.key))
        try:
            async with asyncio.timeout(CALL_SECONDS):
                connection.start_exchange(request_head(method, path, headers) + body)
                head = await connection.response_head()
                content = await connection.read_all(MAX_ANSWER_BYTES)
            return Ok(CallAnswer(head.status, msgspec.json.decode(content or b"null")))
        except TimeoutError:
            return Err(f"{self.address} did not answer within {CALL_SECONDS:g} s")
        except (ConnectionLostError, msgspec.DecodeError) as error:
            return Err(f"{self.address}: {error}")
        finally:
            connection.close()


def instance_client(address: str, key_file: str | None) -> InstanceClient:
    """Build a client; raise ``ValueError`` or ``OSError`` for unusable arguments."""
    key = Path(key_file).read_bytes().strip() if key_file else b""
    return InstanceClient(Address.parse(address), key)
