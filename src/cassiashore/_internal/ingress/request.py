"""A request as the server passes it to its handler."""

from __future__ import annotations

from dataclasses import dataclass

from cassiashore._internal.ingress.body import RequestBody
from cassiashore._internal.net.http_client import Headers


@dataclass(slots=True)
class IngressRequest:
    """A request whose head has been received. Header names are in lower case."""

    method: str
    target: str
    headers: Headers
    body: RequestBody
    keep_alive: bool
    version: str
    received_at: float

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None
