"""Names of the headers that callers and targets exchange with the ingress."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case; a deployment sets them.

    ``stamp`` marks an answer that a target made. ``not_run`` marks an answer of a target that did
    not run the request. ``expect_target`` names the target that a request is meant for.
    """

    request_id: bytes
    deadline_ms: bytes
    affinity_cookie: bytes
    stamp: bytes
    expect_target: bytes
    load: bytes
    not_run: bytes
    cold_ms: bytes
