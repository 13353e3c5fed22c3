"""Demo: runs the example deployments of both firms on loopback, under load and with faults."""

from __future__ import annotations

import argparse
import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from cassiashore._internal.cli.output import format_table
from lab.deployment import Deployment, DeploymentOptions, load_catalogue
from lab.load import Flow, LoadResult, drive
from lab.processes import wait_until

EXAMPLES = Path(__file__).parent.parent / "examples"
DEPLOYMENTS = ("vandermolen", "harrowfield")
SECONDS = 8.0
SEED = 1
SOURCES = ("127.1.0.1", "127.2.0.1", "127.3.0.1")
RATE = 25.0
PROPAGATION_SECONDS = 3.0
WRITING_SERVICES = frozenset({"orders", "allocations", "payments"})


@dataclass(frozen=True, slots=True)
class DemoOutcome:
    """Results of one deployment."""

    result: LoadResult
    duplicates: int
    false_refusals: int
    drain_held: bool
    version_reached: bool
    stopped_cleanly: bool


def make_flows(catalogue: dict[str, Any], rate: float) -> list[Flow]:
    """Build a flow for each service and each region of callers."""
    return [
        Flow(
            service["name"],
            source,
            rate,
            "POST" if service["name"] in WRITING_SERVICES else "GET",
            service.get("weight", 1.0),
        )
        for service in catalogue["services"]
        for source in SOURCES
    ]


def run_deployment(name: str) -> DemoOutcome:
    """Run the scenario on one firm's deployment and return its results."""
    print(f"{name}: starting", file=sys.stderr)
    catalogue = load_catalogue(EXAMPLES / f"{name}.yaml")
    with Deployment(catalogue, DeploymentOptions(extra_instances=3)) as deployment:
        return _run_scenario(deployment)


def _run_scenario(deployment: Deployment) -> DemoOutcome:
    service = deployment.catalogue["services"][0]["name"]
    target = deployment.targets(service)[0]
    instance_to_kill, instance_to_stop = list(deployment.instance_by_name.values())[-2:]
    started_before_drain: list[int] = []

    async def drain() -> None:
        changed = {**deployment.catalogue}
        changed["drains"] = [{"kind": "target", "name": target["name"], "service": service}]
        await asyncio.to_thread(deployment.publish, changed)

    async def record_started() -> None:
        counts = await asyncio.to_thread(deployment.target_counts, target["address"])
        started_before_drain.append(counts["started"])

    async def kill() -> None:
        assert instance_to_kill.process is not None
        instance_to_kill.process.kill()

    async def leave() -> None:
        assert instance_to_stop.process is not None
        instance_to_stop.process.terminate()

    async def publish_change() -> None:
        changed = {**deployment.catalogue, "link_mbit": 3_900}
        await asyncio.to_thread(deployment.publish, changed)

    entry_points = [i.address for i in deployment.instance_by_name.values()]
    actions = [
        (1.0, drain),
        (3.0, kill),
        (4.0, leave),
        (4.5, record_started),
        (5.0, publish_change),
    ]
    flows = make_flows(deployment.catalogue, RATE)
    result = uvloop.run(drive(flows, entry_points, SECONDS, SEED, actions))
    return _collect_outcome(
        deployment, result, started_before_drain[0], target["address"], instance_to_stop.name
    )


def _collect_outcome(
    deployment: Deployment, result: LoadResult, started: int, drained: str, instance_to_stop: str
) -> DemoOutcome:
    process = deployment.instance_by_name[instance_to_stop].process
    assert process is not None
    exit_code = process.wait()
    counts = deployment.all_counts()
    runs: dict[str, int] = {}
    for target in counts.values():
        for request_id, number in target["runs"].items():
            runs[request_id] = runs.get(request_id, 0) + number
    reached = wait_until(lambda: _version_is_everywhere(deployment), PROPAGATION_SECONDS)
    return DemoOutcome(
        result=result,
        duplicates=sum(1 for number in runs.values() if number > 1),
        false_refusals=sum(1 for request_id in result.not_run_ids if request_id in runs),
        drain_held=deployment.target_counts(drained)["started"] == started,
        version_reached=reached,
        stopped_cleanly=exit_code == 0,
    )


def _version_is_everywhere(deployment: Deployment) -> bool:
    statuses = [deployment.status(instance.name) for instance in deployment.running()]
    return all(status["version"] == deployment.version for status in statuses)


def _print_outcome(name: str, outcome: DemoOutcome) -> None:
    result = outcome.result
    rows: list[list[object]] = [
        ["requests", result.requests],
        ["answered", result.answered],
        ["not run", result.not_run],
        ["outcome unknown", result.unknown],
        ["wrong answers", result.wrong],
        ["duplicate runs", outcome.duplicates],
        ["refused as not run, but ran", outcome.false_refusals],
        ["p50 / p99 ms", f"{result.percentile_ms(50):.1f} / {result.percentile_ms(99):.1f}"],
        ["no new work on the drained target", outcome.drain_held],
        ["last version in force everywhere", outcome.version_reached],
        ["planned stop was clean", outcome.stopped_cleanly],
    ]
    print(format_table([name, ""], rows))
    for detail in result.wrong_details[:5]:
        print(f"  wrong: {detail}")
    if result.reasons:
        print("  reasons: " + ", ".join(f"{k}={v}" for k, v in result.reasons.most_common()))


def _passed(outcome: DemoOutcome) -> bool:
    result = outcome.result
    return (
        result.wrong == 0
        and outcome.duplicates == 0
        and outcome.false_refusals == 0
        and outcome.drain_held
        and outcome.version_reached
        and outcome.stopped_cleanly
    )


def main() -> None:
    """Run the demo; exit with 0 only if all checks passed."""
    parser = argparse.ArgumentParser(prog="scripts/demo", description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS)
    arguments = parser.parse_args()
    names = [arguments.deployment] if arguments.deployment else list(DEPLOYMENTS)
    outcomes = []
    for name in names:
        outcome = run_deployment(name)
        _print_outcome(name, outcome)
        outcomes.append(outcome)
    passed = all(_passed(outcome) for outcome in outcomes)
    requests = sum(o.result.requests for o in outcomes)
    unknown = sum(o.result.unknown for o in outcomes)
    not_run = sum(o.result.not_run for o in outcomes)
    duplicates = sum(o.duplicates for o in outcomes)
    verdict = "ok" if passed else "FAILED"
    print(
        f"demo: {verdict} requests={requests} failed={unknown} not_run={not_run}"
        f" duplicates={duplicates}"
    )
    raise SystemExit(0 if passed else 1)


if __name__ == "__main__":
    main()
