"""Division of a limit among instances whose lists of each other may differ.

A limit that holds for all instances together is divided by what each instance knows of the others,
and lists are outdated for a while when instances start, stop, lose their lease or are cut off. The
parts of all instances add up to no more than the limit if each list contains every instance that
may use a part. So an instance counts others for some seconds after they left its list, and itself
uses no part before the others had time to learn of it, or once they may have given it up.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from cassiashore._internal.models.hashing import hash64
from cassiashore._internal.steering.active_instances import InstanceInfo

MAX_SENDERS = 4  # per target; with more, the part of each would be less than one request
MAX_CONNECTIONS_PER_TARGET = 64  # from one instance; a target's queue is shorter than that
# While an instance does not know how many others there are: several times the slots of a target.
UNKNOWN_SHARE_CONNECTIONS = 16
# An instance that left the list may still send: it stops, or its lease ended while it was cut off.
RETENTION_SECONDS = 5.0
# Time for a new registration to be read and relayed to all instances, with a margin.
SETTLE_SECONDS = 2.5
# An instance without contact stops before its lease has ended and others replace it.
MAX_ISOLATION_SECONDS = 3.0


def senders_to(
    target_id: str,
    failure_domain: str,
    region: str,
    instances: Sequence[InstanceInfo],
    sender_count: int,
) -> list[str]:
    """Return the ``sender_count`` instances that may send to a target that accepts few requests.

    They are ordered by failure domain and region, those of the target first, and then by the hash
    of their address, which does not change with a restart.
    """

    def sort_key(instance: InstanceInfo) -> tuple[bool, bool, int]:
        return (
            instance.failure_domain != failure_domain,
            instance.region != region,
            hash64(f"{target_id}\n{instance.address or instance.incarnation}"),
        )

    return [c.incarnation for c in sorted(instances, key=sort_key)[:sender_count]]


def connection_limit(most_connections: int, instances: int) -> int:
    """Return how many connections an instance may open to a target that accepts a number from all.

    ``instances`` is the number of instances that share it; 0 means that it is not known.

    >>> connection_limit(330, 8), connection_limit(3600, 195), connection_limit(3600, 0)
    (41, 18, 16)
    """
    if instances == 0:
        return min(UNKNOWN_SHARE_CONNECTIONS, max(1, most_connections))
    return max(1, min(MAX_CONNECTIONS_PER_TARGET, most_connections // instances))


class RecentInstances:
    """The instances that may be running: those listed now or within ``RETENTION_SECONDS``.

    ``update`` has to be called several times within ``SETTLE_SECONDS``. Instances are identified
    by their address, so a restart replaces an instance.
    """

    def __init__(
        self,
        own_incarnation: str,
        listed: Callable[[], Sequence[InstanceInfo]],
        is_isolated: Callable[[], bool],
        monotonic: Callable[[], float],
    ) -> None:
        """Follow ``listed``, which returns the same object until the list changes.

        ``is_isolated`` tells whether this instance reaches neither the store nor another instance.
        """
        self._own = own_incarnation
        self._listed = listed
        self._is_isolated = is_isolated
        self._monotonic = monotonic
        self._last_listed: Sequence[InstanceInfo] | None = None
        self._info_by_address: dict[str, InstanceInfo] = {}
        self._gone_at_by_address: dict[str, float] = {}
        self._known_since: float | None = None
        self._isolated_since: float | None = None
        self._instances: tuple[InstanceInfo, ...] = ()

    def instances(self) -> Sequence[InstanceInfo]:
        """Return all instances that may use a part of a limit, this one included.

        It is empty while this instance may use none, since others may not count it.
        """
        self.update()
        since = self._known_since
        if since is None or self._monotonic() - since < SETTLE_SECONDS:
            return ()
        return self._instances

    def count(self) -> int:
        """Return the number of instances among which a limit is divided; 0 means no part."""
        return len(self.instances())

    def update(self) -> None:
        """Apply the current list and forget the instances that left it long ago."""
        now = self._monotonic()
        listed = self._listed()
        if listed is not self._last_listed:
            self._last_listed = listed
            self._apply(listed, now)
        expired = [a for a, at in self._gone_at_by_address.items() if now - at >= RETENTION_SECONDS]
        for address in expired:
            del self._gone_at_by_address[address], self._info_by_address[address]
        if expired:
            self._instances = tuple(self._info_by_address.values())
        self._update_isolation(now)

    def _apply(self, listed: Sequence[InstanceInfo], now: float) -> None:
        present = {instance.address or instance.incarnation: instance for instance in listed}
        own = next((i for i in listed if i.incarnation == self._own), None)
        if own is not None:
            present[own.address or own.incarnation] = own
        if (own is None) != (self._known_since is None):
            self._known_since = now if own is not None else None
        for address in self._info_by_address.keys() - present.keys():
            self._gone_at_by_address.setdefault(address, now)
        for address in present:
            self._gone_at_by_address.pop(address, None)
        self._info_by_address.update(present)
        self._instances = tuple(self._info_by_address.values())

    def _update_isolation(self, now: float) -> None:
        if len(self._instances) <= 1 or not self._is_isolated():
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = now
        elif now - self._isolated_since >= MAX_ISOLATION_SECONDS and self._known_since is not None:
            self._known_since = now
