"""Which instances of a failure domain its callers are told to use.

Load pattern: 60 small instances before 280 targets, 30 requests a second at each instance. Spread
over all instances, a pair of instance and target sees one request in ten seconds: connections are
closed before they are used again, load reports are old when they count, and the few requests that a
cold target tolerates must be divided among many. Concentrated on the few instances with the most
room, the same requests find open connections and fresh reports.

With more callers, more instances carry them. Callers choose among the named instances at random,
so the smallest one bounds what the others can take. The choice follows from what instances
register, so all of them agree on it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cassiashore._internal.models.hashing import hash64

MIN_ACTIVE_INSTANCES = 3  # of a failure domain: one may end and one be replaced at the same time
UTILISATION = 0.7  # of a carrier; above it requests wait for the processor
REQUESTS_PER_CORE_SECOND = 700.0  # processor time of a request on the users' machines: 1 to 1.4 ms
BYTES_PER_REQUEST = 4000.0  # on a link in one direction: the request and its answer, with headers
LEAST_LOAD = 10.0  # requests a second, below which an instance tells no load
LOAD_STEP = 1.5  # ratio of neighbouring loads that are told: each is a write to the store
BITS_PER_MEGABIT = 1e6
BITS_PER_BYTE = 8


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """What choices among instances go by.

    ``address`` is where callers connect, which is the same after a restart. ``capacity`` is the
    requests a second that the instance can carry, ``load`` those that it told to have.
    """

    incarnation: str
    failure_domain: str
    region: str
    address: str = ""
    capacity: float = 1.0
    load: float = 0.0


def capacity_of(cores: float, link_mbps: float) -> float:
    """Return the requests a second that a machine can carry; a link of 0 is not known.

    >>> capacity_of(0.5, 0.0), capacity_of(2.0, 8.0)
    (350.0, 250.0)
    """
    by_processor = cores * REQUESTS_PER_CORE_SECOND
    if link_mbps <= 0:
        return by_processor
    return min(by_processor, link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE / BYTES_PER_REQUEST)


def load_to_publish(measured: float, told: float) -> float:
    """Return the load to tell, which changes only when the measured one left its step.

    >>> [load_to_publish(measured, 0.0) for measured in (4.0, 12.0)]
    [0.0, 15.0]
    >>> [load_to_publish(measured, 15.0) for measured in (14.0, 6.0)]
    [15.0, 0.0]
    """
    if told / LOAD_STEP**2 <= measured <= told:
        return told
    if measured < LEAST_LOAD:
        return 0.0
    return LEAST_LOAD * LOAD_STEP ** math.ceil(math.log(measured / LEAST_LOAD, LOAD_STEP))


def select_active(instances: Sequence[InstanceInfo]) -> list[InstanceInfo]:
    """Return the instances of a failure domain that take its callers, the largest first."""
    ordered = sorted(instances, key=lambda i: (-i.capacity, hash64(i.address)))
    load = sum(instance.load for instance in instances)
    count = MIN_ACTIVE_INSTANCES
    while count < len(ordered) and count * ordered[count - 1].capacity * UTILISATION < load:
        count += 1
    return ordered[:count]


def select_active_per_domain(instances: Iterable[InstanceInfo]) -> list[InstanceInfo]:
    """Return the carriers of each failure domain."""
    by_domain: dict[str, list[InstanceInfo]] = {}
    for instance in instances:
        by_domain.setdefault(instance.failure_domain, []).append(instance)
    return [carrier for members in by_domain.values() for carrier in select_active(members)]
