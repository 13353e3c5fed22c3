"""Components for embedding in other programs, each usable without ``cassiashore entry``.

=========================  =====================================================================
component                  purpose
=========================  =====================================================================
``AdmissionRights``        at most one holder of each resource among members, without consensus
``preferred_holder``       the member that should hold a resource, by rendezvous hashing
``Membership``             the state of each member: alive, suspected, lost, left or dead
``SlidingWindow``          a limit on events that holds in every window of a given length
``TokenBucket``            a rate limit that allows bursts
``divide_by_weight``       divides a limit by weight into integers that add up to it
``KeyLedger``              the state of request keys; each is dispatched at most once
``RequestKey``             a key bound to one run of an instance; ``new_ticket`` issues prefixes
``RetryBudget``            limits retries to a share of first attempts
``PauseGuard``             detects that its own process was paused
``VersionedCatalogue``     activates whole versions, and never an older one
``policy_by_name``         policies for choosing targets; the decorator ``policy`` adds one
=========================  =====================================================================
"""

from cassiashore._internal.admission.pause import PauseGuard
from cassiashore._internal.admission.rights import (
    AdmissionRights,
    GivenRights,
    preferred_holder,
)
from cassiashore._internal.admission.window import SlidingWindow, TokenBucket
from cassiashore._internal.catalogue.index import divide_by_weight
from cassiashore._internal.catalogue.versioned import VersionedCatalogue
from cassiashore._internal.models.incarnation import new_incarnation
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.peers.membership import Evidence, Member, Membership, MemberState
from cassiashore._internal.requests.keys import RequestKey, new_ticket
from cassiashore._internal.requests.ledger import KeyLedger, Known, Started, StoredResponse
from cassiashore._internal.requests.retry import RetryBudget
from cassiashore._internal.routing.policies import policy, policy_by_name

__all__ = [
    "AdmissionRights",
    "Evidence",
    "Failure",
    "GivenRights",
    "KeyLedger",
    "Known",
    "Member",
    "MemberState",
    "Membership",
    "Outcome",
    "PauseGuard",
    "Reason",
    "RequestKey",
    "RetryBudget",
    "SlidingWindow",
    "Started",
    "StoredResponse",
    "TokenBucket",
    "VersionedCatalogue",
    "divide_by_weight",
    "new_incarnation",
    "new_ticket",
    "policy",
    "policy_by_name",
    "preferred_holder",
]
