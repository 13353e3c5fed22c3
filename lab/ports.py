"""Free ports on loopback, outside the range that outgoing connections use."""

from __future__ import annotations

import random
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000
_allocated: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports that are not in use and were not returned before.

    Outgoing connections cannot take them, since they are outside the ephemeral range.
    """
    candidates = random.SystemRandom().sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT)
    found: list[int] = []
    for port in candidates:
        if len(found) == count:
            break
        if port not in _allocated and _is_free(port):
            found.append(port)
            _allocated.add(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
