"""Network addresses."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

MAX_PORT = 65535  # 16 bits


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address with a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``; raise ``ValueError`` unless the host is an IP address.

        >>> Address.parse("127.0.0.1:8080")
        Address(host='127.0.0.1', port=8080)
        >>> str(Address.parse("[::1]:53"))
        '[::1]:53'
        """
        host, separator, port_text = text.rpartition(":")
        if not separator or not port_text.isdigit():
            raise ValueError(f'address "{text}" is not of the form IP:PORT')
        port = int(port_text)
        if not 0 < port <= MAX_PORT:
            raise ValueError(f'address "{text}" has a port outside 1..{MAX_PORT}')
        host = host.removeprefix("[").removesuffix("]")
        ipaddress.ip_address(host)
        return cls(host, port)

    def __str__(self) -> str:
        """Format as ``host:port``, with brackets around an IPv6 host."""
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"
