"""Simulated instances whose lists of each other are outdated, cut off, lapsed or just read."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiashore._internal.steering.active_instances import InstanceInfo
from cassiashore._internal.steering.senders import RecentInstances
from tests.lib.steering_builders import Clock

STEP_SECONDS = 0.05
MAX_DELAY_SECONDS = 1.5  # until a change of the list reaches an instance
MAX_REJOIN_SECONDS = 2.0  # until an instance is registered again after its lease lapsed
LEASE_SECONDS = 5.5


@dataclass(eq=False)
class SimulatedInstance:
    """One run of an instance, with the list that it has."""

    info: InstanceInfo
    clock: Clock
    delay: float
    listed: tuple[InstanceInfo, ...] = ()
    is_isolated: bool = False
    recent: RecentInstances = field(init=False)

    def __post_init__(self) -> None:
        self.recent = RecentInstances(
            self.info.incarnation, lambda: self.listed, lambda: self.is_isolated, self.clock
        )


class InstanceSimulation:
    """Instances, the store's list of them, and its changes on their way to each instance."""

    def __init__(self, count: int, seed: int, on_start: Callable[[SimulatedInstance], None]):
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.instance_by_address: dict[str, SimulatedInstance] = {}
        self.is_store_away = False
        self._on_start = on_start
        self._runs = 0
        self._sent_at: deque[float] = deque()
        self._registered: dict[str, InstanceInfo] = {}
        self._lists: list[tuple[float, tuple[InstanceInfo, ...]]] = [(0.0, ())]
        self._register_at: dict[str, float] = {}
        self._lapse_at: dict[str, float] = {}
        for number in range(count):
            self.start(f"10.0.{number // 200}.{number % 200}:80")

    def start(self, address: str) -> None:
        """Start an instance, or start it again without what it knew."""
        number = int(address.split(".")[2]) * 200 + int(address.split(".")[3][:-3])
        self._runs += 1
        info = InstanceInfo(
            f"run-{self._runs}", f"zone-{number % 9}", f"region-{number % 3}", address
        )
        old = self.instance_by_address.get(address)
        if old is not None:
            self._lapse_at[old.info.incarnation] = self.clock.now + LEASE_SECONDS
        delay = self.rng.uniform(0.05, MAX_DELAY_SECONDS)
        instance = SimulatedInstance(info, self.clock, delay, self._lists[-1][1])
        self.instance_by_address[address] = instance
        self._register_at[address] = self.clock.now + self.rng.uniform(0.1, 0.5)
        self._on_start(instance)

    def cut(self, address: str) -> None:
        """Cut an instance off from the store and the others; its lease ends."""
        instance = self.instance_by_address[address]
        instance.is_isolated = True
        self._lapse_at[instance.info.incarnation] = self.clock.now + LEASE_SECONDS

    def heal(self, address: str) -> None:
        """Connect an instance again; it is registered soon."""
        self.instance_by_address[address].is_isolated = False
        self._register_at[address] = self.clock.now + self.rng.uniform(0.1, MAX_REJOIN_SECONDS)

    def end_outage_with_lapsed_leases(self) -> None:
        """Let the store return without any registration; all instances register again."""
        self.is_store_away = False
        self._registered.clear()
        for address in self.instance_by_address:
            self._register_at[address] = self.clock.now + self.rng.uniform(0, MAX_REJOIN_SECONDS)
        self._publish()

    def step(self) -> list[SimulatedInstance]:
        """Advance the clock and the lists; return the instances in random order."""
        self.clock.now += STEP_SECONDS
        if not self.is_store_away:
            self._write_registrations()
        instances = list(self.instance_by_address.values())
        for instance in instances:
            if not instance.is_isolated:
                instance.listed = self._list_at(self.clock.now - instance.delay)
            instance.recent.update()
        self.rng.shuffle(instances)
        return instances

    def most_in_window(
        self, sends: Callable[[SimulatedInstance], bool], *, seconds: float, window: float
    ) -> int:
        """Let every instance send as much as it may; return the most sends in any window.

        Sends of earlier calls count in the first windows.
        """
        end = self.clock.now + seconds
        sent = self._sent_at
        most = 0
        while self.clock.now < end:
            for instance in self.step():
                while sends(instance):
                    sent.append(self.clock.now)
            while sent and sent[0] <= self.clock.now - window:
                sent.popleft()
            most = max(most, len(sent))
        return most

    def _write_registrations(self) -> None:
        now, changed = self.clock.now, False
        for address in [a for a, at in self._register_at.items() if at <= now]:
            instance = self.instance_by_address[address]
            if instance.is_isolated:
                continue
            del self._register_at[address]
            self._registered[instance.info.incarnation] = instance.info
            self._lapse_at.pop(instance.info.incarnation, None)
            changed = True
        for incarnation in [i for i, at in self._lapse_at.items() if at <= now]:
            del self._lapse_at[incarnation]
            changed = self._registered.pop(incarnation, None) is not None or changed
        if changed:
            self._publish()

    def _publish(self) -> None:
        self._lists.append((self.clock.now, tuple(self._registered.values())))

    def _list_at(self, time: float) -> tuple[InstanceInfo, ...]:
        return next((instances for at, instances in reversed(self._lists) if at <= time), ())
