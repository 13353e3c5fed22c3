"""Blocking HTTP calls for experiments and tests."""

from __future__ import annotations

import http.client
import json
import socket
import struct
from dataclasses import dataclass
from typing import Any

CALL_SECONDS = 10.0
# Closes with a reset. Sockets in TIME_WAIT would keep their ports for a minute, so that a few
# seconds of load would use up all ports.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Reply:
    """Status, headers (with lower-case names) and body of a response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decode the body as JSON."""
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        """Return the outcome of the request that the instance reports."""
        return self.headers.get("cassiashore-outcome", "")

    @property
    def reason(self) -> str:
        """Return the reason of a failure, or an empty string."""
        return self.headers.get("cassiashore-reason", "")


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    source: str = "",
    seconds: float = CALL_SECONDS,
) -> Reply:
    """Make one call on a new connection; raise ``OSError`` if it fails."""
    host, _, port = address.rpartition(":")
    source_address = (source, 0) if source else None
    connection = http.client.HTTPConnection(
        host, int(port), timeout=seconds, source_address=source_address
    )
    try:
        connection.connect()
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        content = response.read()
    except http.client.HTTPException as error:
        raise OSError(f"{method} {address}{path}: {error!r}") from error
    finally:
        connection.close()
    lower_case_headers = {name.lower(): value for name, value in response.getheaders()}
    return Reply(response.status, lower_case_headers, content)
