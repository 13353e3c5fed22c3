"""Free ports on loopback."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Return ports that are free now; all are held open until the last is found."""
    sockets = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((LOOPBACK, 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports
