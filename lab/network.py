"""Network time that loopback does not have, added to measured latencies.

Queues and limits are real; only the travel between caller, instance and target is modelled, from
the catalogue's one-way latencies.
"""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address, ip_network
from typing import Any

from lab.deployment import Deployment

SAME_REGION_MS = 1.0
CLIENT_MS_BY_FIRM = {"vandermolen": 3.0, "harrowfield": 1.0}


@dataclass(frozen=True, slots=True)
class NetworkModel:
    """Regions of callers, instances and targets, and the time between regions."""

    latency_ms: dict[tuple[str, str], float]
    client_ms: float
    region_by_source: dict[str, str]
    region_by_instance_address: dict[str, str]
    region_by_target: dict[str, str]

    def round_trip_ms(self, source: str, instance_address: str, target: str) -> float:
        """Return the travel time of a request from a caller over an instance to a target."""
        home = self.region_by_source.get(source, "")
        entry = self.region_by_instance_address.get(instance_address, home)
        place = self.region_by_target.get(target, entry)
        outer = self.client_ms + self._one_way(home, entry)
        return 2 * (outer + self._one_way(entry, place))

    def _one_way(self, one: str, other: str) -> float:
        if one == other:
            return 0.0
        return self.latency_ms.get((one, other), SAME_REGION_MS)


def network_of(deployment: Deployment, firm: str, sources: tuple[str, ...]) -> NetworkModel:
    """Build the model of a deployment's network."""
    catalogue: dict[str, Any] = deployment.catalogue
    region_by_domain = {d["name"]: d["region"] for d in catalogue["failure_domains"]}
    return NetworkModel(
        latency_ms={
            (region["name"], other): ms
            for region in catalogue["regions"]
            for other, ms in region["latency_ms"].items()
        },
        client_ms=CLIENT_MS_BY_FIRM[firm],
        region_by_source={source: _region_of(catalogue, source) for source in sources},
        region_by_instance_address={
            i.address: region_by_domain[i.failure_domain]
            for i in deployment.instance_by_name.values()
        },
        region_by_target={
            target["name"]: region_by_domain[target["failure_domain"]]
            for service in catalogue["services"]
            for target in service["targets"]
        },
    )


def _region_of(catalogue: dict[str, Any], source: str) -> str:
    for network in catalogue["networks"]:
        if ip_address(source) in ip_network(network["cidr"]):
            return str(network["region"])
    return ""
