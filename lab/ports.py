"""Free ports on loopback, outside the range that outgoing connections use."""

from __future__ import annotations

import random
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000
_given_out: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now and that were not returned before.

    No outgoing connection will take them.
    """
    candidates = random.SystemRandom().sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT)
    found: list[int] = []
    for port in candidates:
        if len(found) == count:
            break
        if port not in _given_out and _is_free(port):
            found.append(port)
            _given_out.add(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
