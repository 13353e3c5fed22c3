"""The platform's names for headers and paths, and for the keys of operators and targets."""

from __future__ import annotations

from cassiashore._internal.ingress.header_names import HeaderNames

EDGE_HEADERS = HeaderNames(
    request_id=b"x-cassiashore-request-id",
    deadline_ms=b"x-cassiashore-deadline-ms",
    affinity_cookie=b"x-cassiashore-affinity-key",
    stamp=b"x-cassiashore-response-stamp",
    # "Instance" is the platform's word for one run of a target.
    expect_target=b"x-cassiashore-expect-instance",
    load=b"x-cassiashore-server-load",
    not_run=b"x-cassiashore-not-executed",
    cold_ms=b"x-cassiashore-cold-ms",
    # The platform's pages give the name without the prefix of its other headers.
    rate_limit=(b"x-cassiashore-server-limit", b"server-limit"),
    credentials=b"authorization",
    # "Tenant" is the platform's word for a workspace.
    workspace=b"x-cassiashore-tenant",
)

READY_PATH = "/cassiashore/ready"
RESOLVE_PATH = "/cassiashore/resolve"

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
