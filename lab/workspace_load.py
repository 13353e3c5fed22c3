"""Replays the load of workspaces on simulated instances, and prints which share is admitted.

73 workspaces with Zipf sizes and limits of 1.6 times their usual rate. Callers of a failure domain
choose among its instances with uneven weights; the callers of every fourth workspace are in one
failure domain only. One workspace sends 7.5 times its usual rate for a while. Printed for each
phase: the rejected requests of workspaces below their limit, the part of its limit that the other
one used, and the highest ratio of the requests in a window to what is allowed.

Usage: python -m lab.workspace_load [--instances 1 10 60 195] [--requests 300]
"""

from __future__ import annotations

import argparse
import random
from dataclasses import dataclass, field

from cassiashore._internal.steering.workspaces import Workspace
from tests.lib.instance_simulation import STEP_SECONDS
from tests.lib.workspace_simulation import WorkspaceSimulation

WORKSPACES = 73
ZIPF_EXPONENT = 1.2
LIMIT_FACTOR = 1.6
EXCESS_FACTOR = 7.5
EXCESSIVE = 4  # index of the workspace that sends more
LOCAL_EVERY = 4  # each such workspace has all its callers in one failure domain
DOMAINS = 9  # of the simulated instances
CARRIERS = 3  # active instances of a failure domain


@dataclass(slots=True)
class Phase:
    """What was sent and admitted in a phase, by kind of workspace."""

    sent: dict[str, int] = field(default_factory=dict)
    admitted: dict[str, int] = field(default_factory=dict)

    def count(self, kind: str, is_admitted: bool) -> None:
        """Count a request."""
        self.sent[kind] = self.sent.get(kind, 0) + 1
        self.admitted[kind] = self.admitted.get(kind, 0) + is_admitted

    def rejected_share(self, kind: str) -> float:
        """Return the share of requests of a kind that was rejected."""
        sent = self.sent.get(kind, 0)
        return 1 - self.admitted.get(kind, 0) / sent if sent else 0.0


class Replay:
    """The load on one deployment."""

    def __init__(self, instances: int, requests_per_second: float, seed: int) -> None:
        """Create a deployment of ``instances``, of which only the active ones are simulated."""
        self.rng = random.Random(seed)
        # Instances that are not active have no part and no callers.
        active = min(instances, DOMAINS * CARRIERS)
        self.simulation = WorkspaceSimulation(active, seed)
        sizes = [(rank + 1) ** -ZIPF_EXPONENT for rank in range(WORKSPACES)]
        self.usual = [requests_per_second * size / sum(sizes) for size in sizes]
        self.workspaces = [
            Workspace(f"w-{n}", rate=LIMIT_FACTOR * rate, burst=LIMIT_FACTOR * rate)
            for n, rate in enumerate(self.usual)
        ]
        self.addresses = list(self.simulation.instances.instance_by_address)
        self.weight = {a: self.rng.uniform(0.5, 1.5) for a in self.addresses}

    def kind_of(self, number: int) -> str:
        """Return the kind of a workspace, under which its requests are counted."""
        if number == EXCESSIVE:
            return "excessive"
        place = "local" if number % LOCAL_EVERY == 1 else "spread"
        size = "large" if number < 10 else "small"
        return f"{place} {size}"

    def run(self, seconds: float, *, excess: bool, restart_every: float = 0.0) -> Phase:
        """Send the load for some seconds; restart an instance at intervals."""
        phase = Phase()
        end, restart_at = self.simulation.now + seconds, self.simulation.now + restart_every
        while self.simulation.now < end:
            self.simulation.step()
            if restart_every and self.simulation.now >= restart_at:
                restart_at += restart_every
                self.simulation.instances.start(self.rng.choice(self.addresses))
            for number, workspace in enumerate(self.workspaces):
                factor = EXCESS_FACTOR if excess and number == EXCESSIVE else 1.0
                for _ in range(self._arrivals(self.usual[number] * factor * STEP_SECONDS)):
                    admitted = self.simulation.send(self._choose(number), workspace)
                    phase.count(self.kind_of(number), admitted)
        return phase

    def _arrivals(self, mean: float) -> int:
        count = int(mean)
        # At most one more in each step, which is close to a Poisson process for short steps.
        return count + (self.rng.random() < mean - count)

    def _choose(self, number: int) -> str:
        if number % LOCAL_EVERY == 1 and len(self.addresses) > DOMAINS:
            candidates = self.addresses[number % DOMAINS :: DOMAINS]
        else:
            candidates = self.addresses
        return self.rng.choices(candidates, [self.weight[a] for a in candidates])[0]

    def highest_ratio(self) -> float:
        """Return the most requests in a window, by what is allowed, of any workspace."""
        terms = self.simulation.terms
        windows = self.simulation.window_by_workspace
        return max(windows[w.name].most / terms.most(w) for w in self.workspaces)


def main() -> None:
    """Print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--instances", type=int, nargs="+", default=[1, 10, 60, 195])
    parser.add_argument("--requests", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    phases = [
        ("first 30 s", 30.0, False, 0.0),
        ("calm", 60.0, False, 0.0),
        ("one excessive", 40.0, True, 0.0),
        ("restarts", 60.0, True, 15.0),
    ]
    for instances in options.instances:
        replay = Replay(instances, options.requests, options.seed)
        for name, seconds, excess, restart_every in phases:
            published = replay.simulation.published
            phase = replay.run(seconds, excess=excess, restart_every=restart_every)
            kinds = sorted(k for k in phase.sent if k != "excessive")
            rejected = ", ".join(f"{k} {phase.rejected_share(k):.2%}" for k in kinds)
            limit = replay.workspaces[EXCESSIVE].rate * seconds
            used = phase.admitted.get("excessive", 0) / limit
            writes = (replay.simulation.published - published) / len(replay.addresses)
            print(
                f"{instances} instances, {name}: rejected {rejected}; excessive one used "
                f"{used:.0%} of its limit; {writes / seconds * 60:.1f} writes a minute each; "
                f"highest window {replay.highest_ratio():.0%}"
            )


if __name__ == "__main__":
    main()
