"""Outcomes of attempts to run a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """What is known about whether a request ran."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request was refused or its outcome is unknown."""

    NO_CAPACITY = "no-capacity"
    SHIFT_CAP = "shift-cap"
    TARGET_SHED = "target-shed"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_FAILED = "target-failed"
    CONNECTION_DROPPED = "connection-dropped"
    BODY_CUT_OFF = "body-cut-off"
    DEADLINE = "deadline"
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_FAILED = "peer-failed"
    OWNER_GONE = "owner-gone"
    KEY_EXPIRED = "key-expired"
    KEY_MISMATCH = "key-mismatch"
    KEY_IN_USE = "key-in-use"
    KEY_MALFORMED = "key-malformed"
    ANSWER_NOT_KEPT = "answer-not-kept"
    KEYS_EXHAUSTED = "keys-exhausted"
    STORE_UNREACHABLE = "store-unreachable"
    CLAIM_BUDGET = "claim-budget"
    POISONOUS = "poisonous"
    UNKNOWN_SERVICE = "unknown-service"
    BODY_TOO_LARGE = "body-too-large"
    NOT_READY = "not-ready"
    HOP_REFUSED = "hop-refused"
    TURNED_AWAY = "turned-away"
    REPEAT_BUDGET = "repeat-budget"
    UNKNOWN_ROUTE = "unknown-route"
    UNREADABLE_ROUTE = "unreadable-route"
    ANOTHER_TARGET = "another-target"
    BAD_ANSWER = "bad-answer"
    NO_TARGET = "no-target"
    MALFORMED = "malformed"
    STOPPING = "stopping"
    API_KEY_MISSING = "api-key-missing"
    API_KEY_MALFORMED = "api-key-malformed"
    API_KEY_UNKNOWN = "api-key-unknown"
    API_KEY_SHARED = "api-key-shared"
    API_KEY_REVOKED = "api-key-revoked"
    UNREADABLE_WORKSPACE = "unreadable-workspace"
    NO_HOME_REGION = "no-home-region"
    WORKSPACE_LIMIT = "workspace-limit"


@dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that ended without a response.

    ``outcome`` is ``NOT_RUN`` only when no byte of the request can have reached a target.
    """

    outcome: Outcome
    reason: Reason
    detail: str = ""

    @classmethod
    def not_run(cls, reason: Reason, detail: str = "") -> Failure:
        """Build a failure after which the request is certain not to have run."""
        return cls(Outcome.NOT_RUN, reason, detail)

    @classmethod
    def unknown(cls, reason: Reason, detail: str = "") -> Failure:
        """Build a failure after which the request may have run."""
        return cls(Outcome.UNKNOWN, reason, detail)
