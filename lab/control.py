"""Measures control traffic and its cost per instance of idle deployments of several sizes."""

from __future__ import annotations

import argparse
import json
import time
from dataclasses import asdict, dataclass

from lab.client import call
from lab.demo import EXAMPLES
from lab.deployment import Deployment, DeploymentOptions, load_catalogue

STARTUP_SECONDS = 6.0
MEASURE_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class ControlCost:
    """Mean values per instance while no requests are served."""

    failure_domains: int
    instances_per_domain: int
    bytes_per_second: float
    messages_per_second: float
    cpu_percent: float
    resident_mb: float
    store_calls_per_second: float


def catalogue_of(domains: int) -> dict[str, object]:
    """Build the example catalogue over a number of failure domains, with rare probes."""
    catalogue = load_catalogue(EXAMPLES / "vandermolen.yaml")
    regions = catalogue["regions"]
    names = [f"d{number:02d}" for number in range(domains)]
    catalogue["failure_domains"] = [
        {"name": name, "region": regions[number % len(regions)]["name"]}
        for number, name in enumerate(names)
    ]
    for service in catalogue["services"]:
        service["probe_seconds"] = 300.0
        for number, target in enumerate(service["targets"]):
            target["failure_domain"] = names[number % domains]
    return dict(catalogue)


def measure(domains: int, per_domain: int) -> ControlCost:
    """Start a deployment and measure it while it is idle."""
    options = DeploymentOptions(instances_per_domain=per_domain)
    with Deployment(catalogue_of(domains), options) as deployment:
        time.sleep(STARTUP_SECONDS)
        before = _totals(deployment)
        time.sleep(MEASURE_SECONDS)
        after = _totals(deployment)
        count = len(deployment.running())
        resident = sum(i.process.resident_kilobytes() for i in deployment.running() if i.process)
    per_second = [(b - a) / MEASURE_SECONDS / count for a, b in zip(before, after, strict=True)]
    return ControlCost(
        domains,
        per_domain,
        round(per_second[0], 1),
        round(per_second[1], 2),
        round(100 * per_second[2], 2),
        round(resident / count / 1024, 1),
        round(per_second[3], 3),
    )


def _totals(deployment: Deployment) -> list[float]:
    bytes_out = messages = calls = cpu = 0.0
    for instance in deployment.running():
        status = deployment.status(instance.name)
        bytes_out += status["control_bytes"]
        messages += status["control_messages"]
        calls += status["store_calls"]
        assert instance.process is not None
        cpu += instance.process.cpu_seconds()
    store = call(deployment.store_address, "GET", "/counts").json()
    assert store["reads"] >= 0
    return [bytes_out, messages, cpu, calls]


def main() -> None:
    """Print one JSON line per deployment size."""
    parser = argparse.ArgumentParser(prog="scripts/bench control", description=__doc__)
    parser.add_argument("--sizes", default="1x2,1x4,1x8,1x16,1x29,2x2,4x2,8x2,16x2")
    for size in parser.parse_args().sizes.split(","):
        domains, _, per_domain = size.partition("x")
        print(json.dumps(asdict(measure(int(domains), int(per_domain)))), flush=True)


if __name__ == "__main__":
    main()
