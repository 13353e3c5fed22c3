"""Rate limit of each workspace, which holds for all instances together.

Each instance counts the requests that it admitted in the last window, and admits more up to its
part. The parts of all instances add up to less than what may arrive in one window, and each
instance computes its own part from what it knows of the others (see ``RecentInstances``), so no
request waits for another instance or for the store.

A part consists of one request, so that an instance with little traffic admits single requests, and
of a share of the rest. Shares follow demand (see ``demand_weights``). An instance that the
directory does not name to callers still gets some of them, while others fail or stop. So it counts
as a fiftieth of one that is named. A part that grows does so at
its rate, in a token bucket from which nothing is taken: requests that an instance admitted in the
last window count beside those of the instance that has its part now.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cassiashore._internal.admission.window import SlidingWindow, TokenBucket
from cassiashore._internal.models.hashing import HASH_RANGE, hash64
from cassiashore._internal.steering.active_instances import InstanceInfo
from cassiashore._internal.steering.demand_meter import DemandMeter
from cassiashore._internal.steering.demand_weights import DemandWeights
from cassiashore._internal.steering.senders import SETTLE_SECONDS
from cassiashore._internal.steering.workspaces import Workspace

# Requests wait for different times between their admission and their arrival at a target, so a
# window at the targets can hold those of a slightly longer time.
ARRIVAL_VARIATION_SECONDS = 0.15
# Of the limit, for instances that the others may not know yet.
UNKNOWN_RESERVE = 0.1
# Each instance that the others may not know uses this part of the reserve, or less if it knows of
# more instances. If 200 start at the same time and know nobody, they use four times the reserve in
# one window, while no other part is in use yet.
MIN_UNKNOWN_INSTANCES = 50
# An instance that left the list keeps its part for this time, since callers still use it. The
# others count it for ``RETENTION_SECONDS`` and learn of it at most ``SETTLE_SECONDS`` earlier.
LEAVING_SECONDS = 2.0
# Share of an instance that the directory does not name, relative to one that it names.
STANDBY_SHARE = 0.02
# Most of a limit that is divided into one request for each instance. In the replay of
# ``lab/workspace_load.py``, 0.8 and two requests each rejected more requests of small workspaces
# whose callers use few instances, and no fewer of others.
SINGLES_PART = 0.7
# Without a decision or an update for this time, the process was suspended: others may have taken
# over its part. It is more than any pause of a busy process.
MAX_PAUSE_SECONDS = 2.0
GROWN_WINDOWS = 2  # after which a part has grown to its size
MIN_LOGGED_CHANGE = 1.5  # ratio of a share to the one last logged
LOG_INTERVAL_SECONDS = 5.0  # for all workspaces together; all shares change at the same time
UNKNOWN_RETRY_SECONDS = 1.0  # part of the time until other instances know this one


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """The agreed bound: ``(rate * window_seconds + burst) * (1 + overshoot) + slack``."""

    window_seconds: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    def most(self, workspace: Workspace) -> float:
        """Return how many requests of a workspace may arrive at targets in one window."""
        limit = workspace.rate * self.window_seconds + workspace.burst
        return limit * (1 + self.overshoot) + self.slack


@dataclass(frozen=True, slots=True)
class Part:
    """The part of a limit that one instance may use.

    ``requests`` may be admitted in a window; a part grows by ``growth`` requests per second.
    """

    growth: float
    requests: float


def known_part(
    workspace: Workspace, terms: QuotaTerms, users: int, share: float, *, is_standby: bool = False
) -> Part:
    """Return the part of one of the instances that use a limit, given its share.

    Each of the ``users`` may admit one request; the share is of the rest. An instance on standby is
    none of the users.
    """
    divided = known_requests(workspace, terms) - users
    growth = min(workspace.rate, divided / terms.window_seconds)
    single = 0 if is_standby else 1
    return Part(growth * share + single / terms.window_seconds, divided * share + single)


def known_requests(workspace: Workspace, terms: QuotaTerms) -> float:
    """Return the requests in a window of all instances that know each other."""
    return _usable(workspace, terms) * (1 - UNKNOWN_RESERVE)


def unknown_part(workspace: Workspace, terms: QuotaTerms, sharing: int) -> Part:
    """Return the part of an instance that the others may not know, one of at most ``sharing``."""
    return Part(0.0, _usable(workspace, terms) * UNKNOWN_RESERVE / sharing)


def _usable(workspace: Workspace, terms: QuotaTerms) -> float:
    return terms.most(workspace) - workspace.rate * ARRIVAL_VARIATION_SECONDS


NO_PART = Part(0.0, 0.0)


@dataclass(slots=True)
class _Admission:
    """The part of a workspace's limit, its use, and what the part was computed from.

    ``users`` are the instances that have a part, ``is_user`` tells whether this one has. A part is
    no whole number: ``rounding`` from 0 to 1, by hash, is added before it is rounded down, so that
    the rounded parts of all instances add up to about the sum of the parts.
    """

    workspace: Workspace
    instances: Sequence[InstanceInfo]
    window: SlidingWindow
    part: TokenBucket
    weights_version: int = -1
    users: int = 0
    is_user: bool = False
    is_standby: bool = False
    rounding: float = 0.0
    logged_share: float = 0.0
    promised_until: float = 0.0


class WorkspaceLimits:
    """Decides whether this instance may serve another request of a workspace."""

    def __init__(
        self,
        own_incarnation: str,
        instances: Callable[[], Sequence[InstanceInfo]],
        monotonic: Callable[[], float],
        terms: QuotaTerms | None = None,
        is_isolated: Callable[[], bool] = lambda: False,
        registered_count: Callable[[], int] = lambda: 0,
        standby: Callable[[], Sequence[InstanceInfo]] = lambda: (),
        active_count: Callable[[], int] = lambda: 0,
    ) -> None:
        """Divide limits among ``instances``, which is empty if this instance may use no part.

        ``standby`` returns all registered instances, also those that the directory does not name,
        and is empty while the others may not know this one; ``active_count`` counts those that it
        names. ``is_isolated`` tells whether this instance reaches neither the store nor another
        instance, ``registered_count`` how many instances are registered.
        """
        self.weights = DemandWeights(own_incarnation)
        self.meter = DemandMeter(monotonic())
        self.on_share_change: Callable[[str, float], None] = lambda workspace, share: None
        self._own = own_incarnation
        self._instances = instances
        self._monotonic = monotonic
        self._terms = terms or QuotaTerms()
        self._is_isolated = is_isolated
        self._registered_count = registered_count
        self._standby = standby
        self._active_count = active_count
        self._standby_list: Sequence[InstanceInfo] = ()
        self._updated_at = monotonic()
        self._paused_until = float("-inf")
        self._log_at = float("-inf")
        self._admission_by_workspace: dict[str, _Admission] = {}
        self._last_known: Sequence[InstanceInfo] = ()
        self._known_at = float("-inf")
        self._known_since = monotonic()
        self._is_known = False

    def try_admit(self, workspace: Workspace) -> bool:
        """Count a request of a workspace if its limit allows it, and return whether it does."""
        if workspace.rate <= 0:
            return True
        self.meter.count(workspace)
        admission = self._admission(workspace)
        now = self._monotonic()
        return admission.window.try_add(now, int(admission.part.tokens(now) + admission.rounding))

    def retry_after(self, workspace: Workspace) -> float:
        """Return the seconds until a rejected request of a workspace may be sent again.

        Each call returns a later time, so that rejected callers return one after the other.
        """
        admission = self._admission(workspace)
        now = self._monotonic()
        part = admission.part
        if part.tokens(now) < 1:
            free_at = now + min(UNKNOWN_RETRY_SECONDS, part.seconds_until(1.0, now))
            gap = 1 / workspace.rate
        else:
            free_at = now + admission.window.seconds_until_fewer(now)
            gap = self._terms.window_seconds / part.tokens(now)
        promised_until = max(free_at, admission.promised_until + gap)
        admission.promised_until = min(promised_until, now + self._terms.window_seconds)
        return admission.promised_until - now

    def keep_only(self, names: set[str]) -> None:
        """Remove the state of workspaces that no longer exist."""
        for name in self._admission_by_workspace.keys() - names:
            del self._admission_by_workspace[name]

    def update(self) -> None:
        """Apply what changes with time; call it several times within ``MAX_PAUSE_SECONDS``."""
        now = self._monotonic()
        if now - self._updated_at > MAX_PAUSE_SECONDS:
            self._paused_until = now + SETTLE_SECONDS
            self._admission_by_workspace.clear()
        self._updated_at = now
        self.weights.update(now)
        self._follow_instances(now)

    def _admission(self, workspace: Workspace) -> _Admission:
        self.update()
        instances, now = self._last_known or self._standby_list, self._monotonic()
        admission = self._admission_by_workspace.get(workspace.name)
        if admission is None:
            window = SlidingWindow(self._terms.window_seconds)
            admission = _Admission(workspace, (), window, TokenBucket(0.0, 0.0, now))
            admission.rounding = hash64(f"{workspace.name}\n{self._own}") / HASH_RANGE
            self._admission_by_workspace[workspace.name] = admission
            self._find_users(admission, workspace, instances)
            part = self._part(admission)
            tokens = self._first_tokens(part, is_known=bool(instances))
            admission.part = TokenBucket(part.growth, part.requests, now, tokens)
        has_changed = (
            admission.workspace is not workspace
            or admission.instances is not instances
            or admission.weights_version < 0
        )
        if has_changed:
            self._find_users(admission, workspace, instances)
        if has_changed or (self._is_known and admission.weights_version != self.weights.version):
            self._divide(admission, now)
        return admission

    def _follow_instances(self, now: float) -> None:
        """Follow the instances that divide limits.

        For ``LEAVING_SECONDS`` after this instance left their list, these are those of before.
        """
        is_usable = now >= self._paused_until
        instances = self._instances() if is_usable else ()
        was_known = bool(self._last_known or self._standby_list)
        self._standby_list = self._standby() if is_usable and not self._is_isolated() else ()
        self._is_known = bool(instances or self._standby_list)
        if self._is_known and not was_known:
            self._known_since = now
        if instances:
            self._last_known, self._known_at = instances, now
        elif now - self._known_at >= LEAVING_SECONDS or self._is_isolated():
            self._last_known = ()

    def _find_users(
        self, admission: _Admission, workspace: Workspace, instances: Sequence[InstanceInfo]
    ) -> None:
        """Find which instances have a part: all, or the first ones by hash."""
        admission.workspace, admission.instances = workspace, instances
        admission.is_standby = bool(instances) and not self._last_known
        if admission.is_standby:
            admission.users, admission.is_user = self._active_count(), True
            return
        most_users = int(known_requests(workspace, self._terms) * SINGLES_PART)
        admission.users = min(len(instances), most_users)
        admission.is_user = len(instances) <= most_users or (
            _rank(workspace.name, self._own, instances) < most_users
        )

    def _first_tokens(self, part: Part, *, is_known: bool) -> float:
        """Return what may be admitted of a workspace that had no request here yet.

        It is what its part would have grown to by now. An instance that is not known has all at
        once, since its part is no other instance's.
        """
        now = self._monotonic()
        if not is_known:
            return part.requests if now >= self._paused_until else 0.0
        known_seconds = now - self._known_since
        if known_seconds >= GROWN_WINDOWS * self._terms.window_seconds:
            return part.requests
        return min(part.requests, part.growth * known_seconds)

    def _divide(self, admission: _Admission, now: float) -> None:
        part = self._part(admission)
        admission.part.set_rate(part.growth, part.requests, now)

    def _part(self, admission: _Admission) -> Part:
        workspace, users = admission.workspace, admission.users
        admission.weights_version = self.weights.version
        if not admission.instances:
            sharing = max(MIN_UNKNOWN_INSTANCES, self._registered_count())
            return unknown_part(workspace, self._terms, sharing)
        if not admission.is_user:
            return NO_PART
        share = self._share(admission)
        self._log_share(admission, share, self._monotonic())
        is_standby = admission.is_standby
        return known_part(workspace, self._terms, users, share, is_standby=is_standby)

    def _share(self, admission: _Admission) -> float:
        users = admission.users
        if not admission.is_standby and users < len(admission.instances):
            return 1 / users
        on_standby = max(0, len(self._standby_list) - users)
        counted = max(1.0, users + STANDBY_SHARE * on_standby)
        own = STANDBY_SHARE if admission.is_standby else 1.0
        return self.weights.share(admission.workspace.name, counted, own)

    def _log_share(self, admission: _Admission, share: float, now: float) -> None:
        previous = admission.logged_share
        if previous / MIN_LOGGED_CHANGE <= share <= previous * MIN_LOGGED_CHANGE:
            return
        if now - self._log_at < LOG_INTERVAL_SECONDS:
            return
        self._log_at = now
        admission.logged_share = share
        self.on_share_change(admission.workspace.name, share)


def _rank(name: str, own_incarnation: str, instances: Sequence[InstanceInfo]) -> int:
    """Return the position of an instance in an order by hash that differs between workspaces."""

    def key(instance: InstanceInfo) -> int:
        return hash64(f"{name}\n{instance.address or instance.incarnation}")

    own = next((key(i) for i in instances if i.incarnation == own_incarnation), None)
    if own is None:
        return len(instances)
    return sum(key(instance) < own for instance in instances)
