"""Model of network latency, which is added to latencies measured on loopback.

Queues and limits are real; only the latency between caller, instance and target is modelled, from
the one-way latencies of the catalogue.
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
    """Regions of callers, instances and targets, and the latency between regions."""

    latency_ms: dict[tuple[str, str], float]
    client_ms: float
    region_by_source: dict[str, str]
    region_by_instance_address: dict[str, str]
    region_by_target: dict[str, str]

    def round_trip_ms(self, source: str, instance_address: str, target: str) -> float:
        """Return the round-trip time from a caller through an instance to a target."""
        caller_region = self.region_by_source.get(source, "")
        instance_region = self.region_by_instance_address.get(instance_address, caller_region)
        target_region = self.region_by_target.get(target, instance_region)
        outer = self.client_ms + self._one_way(caller_region, instance_region)
        return 2 * (outer + self._one_way(instance_region, target_region))

    def _one_way(self, source_region: str, destination_region: str) -> float:
        if source_region == destination_region:
            return 0.0
        return self.latency_ms.get((source_region, destination_region), SAME_REGION_MS)


def network_of(deployment: Deployment, firm: str, sources: tuple[str, ...]) -> NetworkModel:
    """Build the network model of a deployment."""
    catalogue: dict[str, Any] = deployment.catalogue
    region_by_domain = {d["name"]: d["region"] for d in catalogue["failure_domains"]}
    return NetworkModel(
        latency_ms={
            (region["name"], destination_region): ms
            for region in catalogue["regions"]
            for destination_region, ms in region["latency_ms"].items()
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
