"""Selection of the active instances, those of each failure domain that the directory returns.

Consider 60 small instances in front of 280 targets, with 30 requests per second at each instance.
If all instances were active, each pair of instance and target would see one request in ten seconds:
connections would be closed before they are reused, load reports would be outdated when they are
needed, and the few requests that a cold target can handle would be divided among many senders. If
only the few instances with the most capacity are active, the same requests find open connections
and recent reports.

The number of active instances grows with the load. Callers choose among the active instances at
random, so the capacity of the smallest one limits the load of each. The selection uses registered
values only, so all instances compute the same one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cassiashore._internal.models.hashing import hash64

# Per failure domain; one may stop while another one is being replaced.
MIN_ACTIVE_INSTANCES = 3
MAX_UTILISATION = 0.7  # of an active instance; above it, requests wait for the processor
REQUESTS_PER_CORE_SECOND = 700.0  # a request takes 1 to 1.4 ms of processor time in production
# In one direction of the link: the request and its response, with headers.
BYTES_PER_REQUEST = 4000.0
MIN_PUBLISHED_LOAD = 10.0  # requests per second, below which a load of 0 is published
# Ratio of adjacent published loads; few steps save writes, since each change is one to the store.
PUBLISHED_LOAD_STEP = 1.5
BITS_PER_MEGABIT = 1e6
BITS_PER_BYTE = 8


@dataclass(frozen=True, slots=True)
class InstanceInfo:
    """The properties of an instance that the selection of instances uses.

    ``address`` is where callers connect, and does not change with a restart. ``capacity`` is how
    many requests per second the instance can handle, ``load`` how many it published to have.
    """

    incarnation: str
    failure_domain: str
    region: str
    address: str = ""
    capacity: float = 1.0
    load: float = 0.0


def capacity_of(cores: float, link_mbps: float) -> float:
    """Return how many requests per second a machine can handle; a link of 0 is unknown.

    >>> capacity_of(0.5, 0.0), capacity_of(2.0, 8.0)
    (350.0, 250.0)
    """
    cpu_capacity = cores * REQUESTS_PER_CORE_SECOND
    if link_mbps <= 0:
        return cpu_capacity
    return min(cpu_capacity, link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE / BYTES_PER_REQUEST)


def load_to_publish(measured: float, published: float) -> float:
    """Return the load to publish, which changes only if the measured load left its step.

    >>> [load_to_publish(measured, 0.0) for measured in (4.0, 12.0)]
    [0.0, 15.0]
    >>> [load_to_publish(measured, 15.0) for measured in (14.0, 6.0)]
    [15.0, 0.0]
    """
    if published / PUBLISHED_LOAD_STEP**2 <= measured <= published:
        return published
    if measured < MIN_PUBLISHED_LOAD:
        return 0.0
    return MIN_PUBLISHED_LOAD * PUBLISHED_LOAD_STEP ** math.ceil(
        math.log(measured / MIN_PUBLISHED_LOAD, PUBLISHED_LOAD_STEP)
    )


def select_active(instances: Sequence[InstanceInfo]) -> list[InstanceInfo]:
    """Return the active instances of a failure domain, the largest first."""
    ordered = sorted(instances, key=lambda i: (-i.capacity, hash64(i.address)))
    load = sum(instance.load for instance in instances)
    count = MIN_ACTIVE_INSTANCES
    while count < len(ordered) and count * ordered[count - 1].capacity * MAX_UTILISATION < load:
        count += 1
    return ordered[:count]


def select_active_per_domain(instances: Iterable[InstanceInfo]) -> list[InstanceInfo]:
    """Return the active instances of all failure domains."""
    by_domain: dict[str, list[InstanceInfo]] = {}
    for instance in instances:
        by_domain.setdefault(instance.failure_domain, []).append(instance)
    return [active for members in by_domain.values() for active in select_active(members)]
