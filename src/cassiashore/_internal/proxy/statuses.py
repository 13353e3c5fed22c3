"""HTTP status codes of failure reasons."""

from __future__ import annotations

from cassiashore._internal.models.outcome import Reason

_STATUS_BY_REASON: dict[Reason, int] = {
    Reason.NO_CAPACITY: 503,
    Reason.SHIFT_CAP: 503,
    Reason.TARGET_SHED: 503,
    Reason.TARGET_UNREACHABLE: 503,
    Reason.TARGET_FAILED: 502,
    Reason.CONNECTION_DROPPED: 502,
    Reason.BODY_CUT_OFF: 502,
    Reason.DEADLINE: 504,
    Reason.PEER_UNREACHABLE: 503,
    Reason.PEER_FAILED: 502,
    Reason.OWNER_GONE: 504,
    Reason.KEY_EXPIRED: 410,
    Reason.KEY_MISMATCH: 422,
    Reason.KEY_IN_USE: 409,
    Reason.KEY_MALFORMED: 400,
    Reason.ANSWER_NOT_KEPT: 409,
    Reason.KEYS_EXHAUSTED: 503,
    Reason.STORE_UNREACHABLE: 503,
    Reason.CLAIM_BUDGET: 429,
    Reason.POISONOUS: 422,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BODY_TOO_LARGE: 413,
    Reason.NOT_READY: 503,
    Reason.HOP_REFUSED: 403,
    Reason.TURNED_AWAY: 503,
    Reason.REPEAT_BUDGET: 503,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.UNREADABLE_ROUTE: 503,
    Reason.ANOTHER_TARGET: 503,
    Reason.BAD_ANSWER: 502,
    Reason.NO_TARGET: 503,
    Reason.MALFORMED: 400,
    Reason.STOPPING: 503,
    Reason.API_KEY_MISSING: 401,
    Reason.API_KEY_MALFORMED: 401,
    Reason.API_KEY_UNKNOWN: 401,
    Reason.API_KEY_SHARED: 401,
    Reason.API_KEY_REVOKED: 401,
    Reason.UNREADABLE_WORKSPACE: 503,
    Reason.NO_HOME_REGION: 503,
    Reason.WORKSPACE_LIMIT: 429,
}


def status_of(reason: Reason) -> int:
    """Return the HTTP status code of a reason."""
    return _STATUS_BY_REASON[reason]
