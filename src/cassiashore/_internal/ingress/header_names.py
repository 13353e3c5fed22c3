"""Names of the headers that the ingress exchanges with callers and targets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case, which depend on the deployment.

    ``stamp`` marks responses that were made by a target, and ``not_run`` responses of targets that
    did not run the request. ``expect_target`` names the target that a request is meant for.
    ``rate_limit`` lists the spellings of the header in which a target names how many requests per
    second it accepts from all instances together. ``credentials`` carries the key of a caller, and
    ``workspace`` tells a target the name of the workspace that the key belongs to.
    """

    request_id: bytes
    deadline_ms: bytes
    affinity_cookie: bytes
    stamp: bytes
    expect_target: bytes
    load: bytes
    not_run: bytes
    cold_ms: bytes
    rate_limit: tuple[bytes, ...]
    credentials: bytes
    workspace: bytes
