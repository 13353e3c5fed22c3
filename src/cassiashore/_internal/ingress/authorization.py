"""Authorization: from a request and its route to a workspace, or to the reason for a refusal.

A key is only held by the request that carries it and is looked up by its digest. Nothing in this
module writes it to a log, a message or an exception.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err, Ok, Result

from cassiashore._internal.ingress.header_names import HeaderNames
from cassiashore._internal.models.outcome import Failure, Reason
from cassiashore._internal.net.http_client import Headers
from cassiashore._internal.steering.routes import Route
from cassiashore._internal.steering.workspaces import (
    KeyFault,
    KeyRefusal,
    Workspace,
    WorkspaceTable,
    key_digest,
)

_SCHEME = b"bearer"
UNREADABLE_RETRY_SECONDS = 2.0  # operators take longer to correct a configuration
_FAILURE_BY_KEY_FAULT = {
    KeyFault.UNKNOWN: Failure.not_run(
        Reason.API_KEY_UNKNOWN, "the key does not belong to a workspace"
    ),
    # The caller is not told that others hold the key.
    KeyFault.SHARED: Failure.not_run(
        Reason.API_KEY_SHARED, "the key does not belong to a workspace"
    ),
    KeyFault.UNREADABLE_WORKSPACE: Failure.not_run(
        Reason.UNREADABLE_WORKSPACE, "the workspace of the key cannot be read"
    ),
    KeyFault.UNREADABLE_TABLE: Failure.not_run(
        Reason.UNREADABLE_WORKSPACE, "the table of workspaces cannot be read"
    ),
}
_MISSING = Failure.not_run(Reason.API_KEY_MISSING, "a key is required")
_MALFORMED = Failure.not_run(
    Reason.API_KEY_MALFORMED, "exactly one key in the form of a bearer token is required"
)
_REVOKED = Failure.not_run(Reason.API_KEY_REVOKED, "the key was revoked")
_NO_HOME_REGION = Failure.not_run(
    Reason.NO_HOME_REGION, "route and workspace have no home region in common"
)


@dataclass(frozen=True, slots=True)
class Credential:
    """The digest of the key that a request carries, or why it carries none."""

    digest: Result[bytes, Failure] = field(repr=False)


@dataclass(frozen=True, slots=True)
class Authorization:
    """What a request may use, under one version of the configuration.

    ``workspace`` is None on public routes and if the configuration has no workspaces; only in the
    latter case ``hides_credentials`` is false. If ``home_regions`` is empty, the request may run in
    every region.
    """

    workspace: Workspace | None
    home_regions: frozenset[str]
    priority: int
    hides_credentials: bool


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and the name of its workspace if that is known."""

    failure: Failure
    workspace_name: str | None = None
    retry_after: float = 0.0


def read_credential(headers: Headers, header_names: HeaderNames) -> Credential:
    """Return the digest of the key in the headers of a request."""
    values = [value for name, value in headers if name == header_names.credentials]
    if not values:
        return Credential(Err(_MISSING))
    key = _bearer_token(values[0]) if len(values) == 1 else None
    return Credential(Err(_MALFORMED) if key is None else Ok(key_digest(key)))


def _bearer_token(value: bytes) -> bytes | None:
    """Return the token of a header value, or None if it is malformed.

    The token may have any visible characters, also outside ASCII, because keys of operators do.

    >>> _bearer_token(b"bEARER  k-1 "), _bearer_token(b"Bearer k 1"), _bearer_token(b"Basic k-1")
    (b'k-1', None, None)
    """
    scheme, separator, rest = value.strip(b" \t").partition(b" ")
    token = rest.lstrip(b" ")
    if scheme.lower() != _SCHEME or not separator or not is_sendable_key(token):
        return None
    return token


def is_sendable_key(key: bytes) -> bool:
    """Return whether a key can be sent as a bearer token: visible characters without spaces."""
    return bool(key) and all(byte > 0x20 and byte != 0x7F for byte in key)


def find_workspace(
    table: WorkspaceTable | None, route: Route | None, credential: Credential
) -> Result[Workspace | None, Refusal]:
    """Return the workspace of a request, which may be None only on a public route.

    ``table`` is None if the configuration has no workspaces, and ``route`` if none matches.
    """
    if table is None:
        return Ok(None)
    found = _look_up(table, credential)
    if isinstance(found, Err) and route is not None and route.is_public:
        return Ok(None)
    return found


def _look_up(table: WorkspaceTable, credential: Credential) -> Result[Workspace | None, Refusal]:
    if not table.is_readable:
        return Err(_refusal_of(KeyRefusal(KeyFault.UNREADABLE_TABLE)))
    if isinstance(credential.digest, Err):
        return Err(Refusal(credential.digest.err_value))
    found = table.find(credential.digest.ok_value)
    if isinstance(found, Err):
        return Err(_refusal_of(found.err_value))
    return Ok(found.ok_value)


def _refusal_of(key_refusal: KeyRefusal) -> Refusal:
    failure = _FAILURE_BY_KEY_FAULT[key_refusal.fault]
    return Refusal(failure, key_refusal.workspace_name, UNREADABLE_RETRY_SECONDS)


def authorize(
    table: WorkspaceTable | None, route: Route, credential: Credential
) -> Result[Authorization, Refusal]:
    """Decide whether a request may use a route, and where and with which priority."""
    found = find_workspace(table, route, credential)
    if isinstance(found, Err):
        return found
    workspace = found.ok_value
    if workspace is None:
        return Ok(Authorization(None, route.home_regions, route.priority, table is not None))
    homes = _common_regions(route.home_regions, workspace.home_regions)
    if homes is None:
        return Err(Refusal(_NO_HOME_REGION, workspace.name, UNREADABLE_RETRY_SECONDS))
    priority = route.priority if workspace.priority is None else workspace.priority
    return Ok(Authorization(workspace, homes, priority, True))


def reauthorize(
    table: WorkspaceTable | None,
    route: Route,
    credential: Credential,
    previous: Authorization,
) -> Result[Authorization, Refusal]:
    """Authorize a request again, under the version that is in force before an attempt."""
    outcome = authorize(table, route, credential)
    if isinstance(outcome, Ok) or previous.workspace is None:
        return outcome
    if outcome.err_value.failure.reason is not Reason.API_KEY_UNKNOWN:
        return outcome
    return Err(Refusal(_REVOKED, previous.workspace.name))


def _common_regions(first: frozenset[str], second: frozenset[str]) -> frozenset[str] | None:
    """Return the regions allowed by both sets, or None if there is none; an empty set allows all.

    >>> _common_regions(frozenset(), frozenset({"erie"}))
    frozenset({'erie'})
    >>> _common_regions(frozenset({"huron"}), frozenset({"erie"})) is None
    True
    """
    if not first or not second:
        return first or second
    return first & second or None


def without_identity(headers: Headers, header_names: HeaderNames) -> Headers:
    """Drop the key, and every header by which a caller could name a workspace to a target.

    Underscores count as hyphens, since many servers treat both alike in header names.
    """
    hidden = (header_names.credentials, header_names.workspace)
    return [pair for pair in headers if pair[0].replace(b"_", b"-") not in hidden]


def headers_for_target(
    headers: Headers, authorization: Authorization, header_names: HeaderNames
) -> Headers:
    """Return the headers of a request with the name of its workspace and without its key."""
    if not authorization.hides_credentials:
        return headers
    kept = without_identity(headers, header_names)
    if authorization.workspace is not None:
        kept.append((header_names.workspace, authorization.workspace.name.encode()))
    return kept
