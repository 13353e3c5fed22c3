"""Experiments on a whole deployment: every policy, both firms, several scenarios."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from dataclasses import asdict, dataclass
from itertools import combinations
from pathlib import Path
from typing import Any

import uvloop

from cassiashore._internal.cli.output import format_table
from cassiashore._internal.routing.policies import policy_by_name
from lab.client import call
from lab.demo import DEPLOYMENTS, EXAMPLES, WRITING_SERVICES
from lab.deployment import Deployment, DeploymentOptions, load_catalogue
from lab.load import Flow, LoadResult, drive
from lab.network import network_of
from lab.plots import plot_policies

SHARE_BY_NETWORK = {1: 0.42, 2: 0.33, 3: 0.25}
BLOCKS_PER_NETWORK = 8
SOURCE_SHARES = {
    f"127.{network}.{block}.1": share / BLOCKS_PER_NETWORK
    for network, share in SHARE_BY_NETWORK.items()
    for block in range(BLOCKS_PER_NETWORK)
}
SERVICE_MS = 200.0
STEADY_UTILISATION = 0.55
LOAD_STEP_UTILISATION = 0.9
PHASE_SECONDS = 5.0
SAMPLE_SECONDS = 0.25
WINDOW_SECONDS = 1.0
SEED = 11


@dataclass(frozen=True, slots=True)
class PhaseReport:
    """Figures of one policy in one scenario."""

    firm: str
    policy: str
    scenario: str
    requests: int
    served_weight: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    not_run: int
    unknown: int
    wrong: int
    worst_region_headroom: float
    over_slots: int
    most_moved: int
    cap: int
    duplicates: int
    tries_per_request: float


class Sampler:
    """Samples headroom and moved requests while load runs."""

    def __init__(self, deployment: Deployment) -> None:
        """Create a sampler that takes no samples until ``run``."""
        self.min_headroom = 1.0
        self.moved: list[tuple[float, int]] = []
        self._deployment = deployment

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await asyncio.to_thread(self._sample)
            await asyncio.sleep(SAMPLE_SECONDS)

    def max_moved_in_window(self) -> int:
        """Return the maximum of requests moved between two samples at most a window apart."""
        return max(
            (
                later - earlier
                for (start, earlier), (end, later) in combinations(self.moved, 2)
                if end - start <= WINDOW_SECONDS
            ),
            default=0,
        )

    def _sample(self) -> None:
        region_by_domain = {
            d["name"]: d["region"] for d in self._deployment.catalogue["failure_domains"]
        }
        started = time.monotonic()
        free: dict[str, int] = {}
        total: dict[str, int] = {}
        moved = 0
        for instance in self._deployment.running():
            text = call(instance.address, "GET", "/metrics").body.decode()
            region = region_by_domain[instance.failure_domain]
            free[region] = free.get(region, 0) + _metric(text, "cassiashore_slots", "free")
            total[region] = total.get(region, 0) + _metric(text, "cassiashore_slots", "total")
            moved += _metric(text, "cassiashore_moved_requests_total")
        self.moved.append((started, moved))
        for region, slots in total.items():
            if slots:
                self.min_headroom = min(self.min_headroom, free[region] / slots)


def _metric(text: str, name: str, part: str = "") -> int:
    lines = [x for x in text.splitlines() if x.startswith(name) and part in x]
    return int(sum(float(line.rpartition(" ")[2]) for line in lines))


def make_flows(catalogue: dict[str, Any], utilisation: float) -> list[Flow]:
    """Build flows that use a share of each service's slots, distributed unevenly over regions."""
    flows = []
    for service in catalogue["services"]:
        slots = sum(target["slots"] for target in service["targets"])
        rate = utilisation * slots / (SERVICE_MS / 1000)
        method = "POST" if service["name"] in WRITING_SERVICES else "GET"
        weight = service.get("weight", 1.0)
        for source, share in SOURCE_SHARES.items():
            flows.append(Flow(service["name"], source, rate * share, method, weight))
    return flows


def run_policy(firm: str, policy: str) -> list[PhaseReport]:
    """Run every scenario for one policy on a new deployment."""
    options = DeploymentOptions(
        extra_instances=2, behaviour={"service_ms": SERVICE_MS}, policy=policy
    )
    with Deployment(load_catalogue(EXAMPLES / f"{firm}.yaml"), options) as deployment:
        reports = [_run_phase(deployment, firm, policy, "steady", STEADY_UTILISATION)]
        reports.append(_run_phase(deployment, firm, policy, "load step", LOAD_STEP_UTILISATION))
        slow_target = deployment.targets(deployment.catalogue["services"][0]["name"])[0]
        deployment.set_target(slow_target["address"], service_ms=5 * SERVICE_MS, reported_load=0.0)
        reports.append(
            _run_phase(deployment, firm, policy, "slow, lying target", STEADY_UTILISATION)
        )
        deployment.set_target(slow_target["address"], service_ms=SERVICE_MS)
        _drain_region(deployment)
        reports.append(_run_phase(deployment, firm, policy, "region emptied", STEADY_UTILISATION))
    return reports


def _drain_region(deployment: Deployment) -> None:
    region = deployment.catalogue["regions"][-1]["name"]
    drains = [
        {"kind": "failure_domain", "name": domain["name"]}
        for domain in deployment.catalogue["failure_domains"]
        if domain["region"] == region
    ]
    deployment.publish({**deployment.catalogue, "drains": drains})


def _run_phase(
    deployment: Deployment, firm: str, policy: str, scenario: str, utilisation: float
) -> PhaseReport:
    print(f"{firm} {policy}: {scenario}", file=sys.stderr)
    network = network_of(deployment, firm, tuple(SOURCE_SHARES))
    result = LoadResult(name=scenario, network=network)
    cpu_before = _cpu_seconds(deployment)
    sampler = Sampler(deployment)
    counts_before = deployment.all_counts()
    uvloop.run(_load(deployment, result, sampler, utilisation))
    counts_after = deployment.all_counts()
    cpu_used = _cpu_seconds(deployment) - cpu_before
    print(f"  entry CPU s: {cpu_used:.1f}; reasons: {dict(result.reasons)}", file=sys.stderr)
    runs: dict[str, int] = {}
    for counts in counts_after.values():
        for request_id, number in counts["runs"].items():
            runs[request_id] = runs.get(request_id, 0) + number
    return PhaseReport(
        firm=firm,
        policy=policy,
        scenario=scenario,
        requests=result.requests,
        served_weight=round(result.served_weight / result.offered_weight, 4),
        p50_ms=round(result.percentile_ms(50), 1),
        p99_ms=round(result.percentile_ms(99), 1),
        p999_ms=round(result.percentile_ms(99.9), 1),
        not_run=result.not_run,
        unknown=result.unknown,
        wrong=result.wrong,
        worst_region_headroom=round(sampler.min_headroom, 3),
        over_slots=sum(
            counts_after[k]["over_slots"] - counts_before[k]["over_slots"] for k in counts_after
        ),
        most_moved=sampler.max_moved_in_window(),
        cap=deployment.catalogue["shift_cap"]["requests"],
        duplicates=sum(1 for number in runs.values() if number > 1),
        tries_per_request=round(result.tries / max(1, result.requests), 3),
    )


def _cpu_seconds(deployment: Deployment) -> float:
    return sum(i.process.cpu_seconds() for i in deployment.running() if i.process)


async def _load(
    deployment: Deployment, result: LoadResult, sampler: Sampler, utilisation: float
) -> None:
    sampling = asyncio.create_task(sampler.run())
    entry_points = [instance.address for instance in deployment.running()]
    flows = make_flows(deployment.catalogue, utilisation)
    await drive(flows, entry_points, PHASE_SECONDS, SEED, result=result)
    sampling.cancel()


def print_reports(reports: list[PhaseReport]) -> None:
    """Print a table of all reports."""
    header = [
        "firm", "scenario", "policy", "served", "p50", "p99", "p99.9", "not run", "unknown",
        "headroom", "over", "moved/cap", "dup", "tries",
    ]  # fmt: skip
    rows = [
        [
            r.firm, r.scenario, r.policy, r.served_weight, r.p50_ms, r.p99_ms, r.p999_ms, r.not_run,
            r.unknown, r.worst_region_headroom, r.over_slots, f"{r.most_moved}/{r.cap}",
            r.duplicates, r.tries_per_request,
        ]
        for r in sorted(reports, key=lambda r: (r.firm, r.scenario, -r.served_weight))
    ]  # fmt: skip
    print(format_table(header, rows))


def main() -> None:
    """Run the experiments; print a table and write JSON lines and plots."""
    parser = argparse.ArgumentParser(prog="scripts/bench policies", description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS)
    parser.add_argument("--policy", choices=sorted(policy_by_name))
    parser.add_argument("--out", default="results")
    arguments = parser.parse_args()
    firms = [arguments.deployment] if arguments.deployment else list(DEPLOYMENTS)
    policies = [arguments.policy] if arguments.policy else sorted(policy_by_name)
    folder = Path(arguments.out)
    folder.mkdir(parents=True, exist_ok=True)
    reports = []
    with (folder / "policies.jsonl").open("w") as lines:
        for firm in firms:
            for policy in policies:
                for report in run_policy(firm, policy):
                    reports.append(report)
                    lines.write(json.dumps(asdict(report)) + "\n")
    print_reports(reports)
    plot_policies([asdict(report) for report in reports], folder / "policies.svg")


if __name__ == "__main__":
    main()
