"""Coordination parts for embedding, each usable without the entry daemon.

=========================  =====================================================================
part                       what it does
=========================  =====================================================================
``AdmissionRights``        at most one holder of each resource among members, without consensus
``preferred_holder``       the member that should hold a resource (rendezvous hashing)
``Membership``             members told apart: alive, suspected, lost, left, dead
``SlidingWindow``          a limit that holds in every window
``TokenBucket``            a rate with a burst
``divide_by_weight``       whole parts of a limit that add up to it
``KeyLedger``              what is known of request keys; each is dispatched at most once
``RequestKey``             a key bound to one run of one instance; ``new_ticket`` issues prefixes
``RetryBudget``            retries as a share of first tries
``PauseGuard``             notices that the own process stood still
``VersionedCatalogue``     whole versions, activated only upward
``policy_by_name``         choice of places and targets; ``policy`` adds one
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
