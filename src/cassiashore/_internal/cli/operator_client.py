"""HTTP client of the command line, for calls to an instance."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.address import Address
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.net.http_client import connect, request_head

CALL_SECONDS = 15.0  # longer than publishing a change may take
MAX_RESPONSE_BYTES = 32 << 20  # enough for the largest catalogue as JSON


@dataclass(frozen=True, slots=True)
class CallResponse:
    """The status and the decoded JSON body of a response."""

    status: int
    value: Any


@dataclass(frozen=True, slots=True)
class InstanceClient:
    """Calls one instance, authenticated by the operator key if there is one."""

    address: Address
    key: bytes = b""

    def call(self, method: str, path: str, body: bytes = b"") -> Result[CallResponse, str]:
        """Make one call; return an error when there is no valid response."""
        return asyncio.run(self._call(method, path, body))

    async def _call(self, method: str, path: str, body: bytes) -> Result[CallResponse, str]:
        opened = await connect(self.address, CALL_SECONDS)
        if isinstance(opened, Err):
            return Err(opened.err_value.detail)
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
                content = await connection.read_all(MAX_RESPONSE_BYTES)
            return Ok(CallResponse(head.status, msgspec.json.decode(content or b"null")))
        except TimeoutError:
            return Err(f"{self.address} did not answer within {CALL_SECONDS:g} s")
        except (ConnectionLostError, *DECODE_ERRORS) as error:
            return Err(f"{self.address}: {error}")
        finally:
            connection.close()


def instance_client(address: str, key_file: str | None) -> InstanceClient:
    """Build a client; raise ``ValueError`` or ``OSError`` for invalid arguments."""
    key = Path(key_file).read_bytes().strip() if key_file else b""
    return InstanceClient(Address.parse(address), key)
