"""Blocking JSON calls for experiments and tests."""

from __future__ import annotations

import http.client
import json
import socket
import struct
from dataclasses import dataclass
from typing import Any

CALL_SECONDS = 10.0
# Sockets in TIME_WAIT keep their ports for a minute: seconds of load would use up all of them.
_CLOSE_WITHOUT_WAITING = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Reply:
    """Status, headers (lower-case names) and body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decode the body."""
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        """Return what cassiashore says of the request."""
        return self.headers.get("cassiashore-outcome", "")

    @property
    def reason(self) -> str:
        """Return the reason of a failure."""
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
    """Make one call on a connection of its own; raise ``OSError`` when it fails."""
    host, _, port = address.rpartition(":")
    source_address = (source, 0) if source else None
    connection = http.client.HTTPConnection(
        host, int(port), timeout=seconds, source_address=source_address
    )
    try:
        connection.connect()
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _CLOSE_WITHOUT_WAITING)
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        content = answer.read()
    except http.client.HTTPException as error:
        raise OSError(f"{method} {address}{path}: {error!r}") from error
    finally:
        connection.close()
    named = {name.lower(): value for name, value in answer.getheaders()}
    return Reply(answer.status, named, content)
