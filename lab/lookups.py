"""Measures look-ups per second in one process without network, and how many blocks move.

A block is a network of callers that gets the same look-up answer.
"""

from __future__ import annotations

import json
import random
import time

from dnslib import EDNS0, DNSRecord, EDNSOption

from cassiashore._internal.catalogue.index import build_catalogue
from cassiashore._internal.catalogue.schema import CatalogueSpec
from cassiashore._internal.dns.server import DnsServer
from cassiashore._internal.peers.gossip import OwnState
from cassiashore._internal.peers.membership import Membership
from cassiashore._internal.peers.messages import DomainDigest, Gateway, Identity, ServiceLoad
from cassiashore._internal.routing.domains import DomainTable
from cassiashore._internal.routing.lookup import LookupService, weighted_rendezvous
from lab.demo import EXAMPLES
from lab.deployment import load_catalogue

REGIONS = 15
DOMAINS = 56
BLOCKS = 520_000
SITES = 210
LOOKUPS = 20_000
DNS_LOOKUPS = 5_000
SAMPLED_BLOCKS = 20_000
GATEWAYS = 4
SEED = 3


def target_catalogue() -> dict[str, object]:
    """Build a catalogue with the planned number of regions and failure domains."""
    catalogue = load_catalogue(EXAMPLES / "vandermolen.yaml")
    catalogue["regions"] = [{"name": f"r{n}", "latency_ms": {}} for n in range(REGIONS)]
    catalogue["failure_domains"] = [
        {"name": f"d{n}", "region": f"r{n % REGIONS}"} for n in range(DOMAINS)
    ]
    catalogue["networks"] = []
    for service in catalogue["services"]:
        for number, target in enumerate(service["targets"]):
            target["failure_domain"] = f"d{number % DOMAINS}"
    return dict(catalogue)


def block_address(number: int) -> str:
    """Return an address in the numbered /24 block."""
    return f"{20 + (number >> 16)}.{(number >> 8) & 255}.{number & 255}.1"


def identity(domain: str, number: int) -> Identity:
    """Build the identity of an instance."""
    incarnation = f"{number:024x}"
    return Identity(f"{domain}-{number}", incarnation, domain, f"127.0.0.1:{1000 + number}", "")


def build_service() -> LookupService:
    """Build the look-up service of an instance that has a digest of every failure domain."""
    spec = CatalogueSpec.model_validate(target_catalogue())
    catalogue = build_catalogue(spec, 1)
    rng = random.Random(SEED)
    own = identity("d0", 1)
    domains = DomainTable("d0")
    loads = [ServiceLoad(s.name, 50, 100, 0, 5.0) for s in spec.services]
    for number in range(1, DOMAINS):
        name = f"d{number}"
        gateways = [Gateway(identity(name, k), 0, True, False) for k in range(GATEWAYS)]
        domains.merge(DomainDigest(name, 1, 0, gateways, loads), time.monotonic())
    state = OwnState(False, True, True, 1, 0, 0, loads)
    membership = Membership(own, 4.0)
    service = LookupService(own, lambda: state, membership, domains, time.monotonic, rng)
    service.catalogue = catalogue
    return service


def look_ups_per_second(service: LookupService) -> float:
    """Measure look-ups from random blocks."""
    rng = random.Random(SEED)
    clients = [block_address(rng.randrange(BLOCKS)) for _ in range(LOOKUPS)]
    started = time.perf_counter()
    for client in clients:
        service.answer("catalogue", client)
    return LOOKUPS / (time.perf_counter() - started)


def dns_look_ups_per_second(service: LookupService) -> float:
    """Measure DNS look-ups, including parsing and encoding."""
    server = DnsServer(service.answer, lambda: True)
    query = DNSRecord.question("catalogue.services", "A")
    query.add_ar(EDNS0(opts=[EDNSOption(8, b"\x00\x01\x18\x00" + bytes([20, 1, 2]))]))
    data = query.pack()
    started = time.perf_counter()
    for _ in range(DNS_LOOKUPS):
        server.answer(data, "127.0.0.1")
    return DNS_LOOKUPS / (time.perf_counter() - started)


def moved_share() -> tuple[float, float]:
    """Return the share of blocks that move when one site is removed, and the minimum possible."""
    weights = {f"site{n}": 1.0 for n in range(SITES)}
    before = [weighted_rendezvous(str(n), weights) for n in range(SAMPLED_BLOCKS)]
    removed_weight = weights.pop("site7")
    after = [weighted_rendezvous(str(n), weights) for n in range(SAMPLED_BLOCKS)]
    moved = sum(
        before_name != after_name for before_name, after_name in zip(before, after, strict=True)
    )
    needed = sum(before_name == "site7" for before_name in before)
    assert removed_weight == 1.0
    return moved / SAMPLED_BLOCKS, needed / SAMPLED_BLOCKS


def main() -> None:
    """Print the results as JSON."""
    service = build_service()
    moved, needed = moved_share()
    report = {
        "lookups_per_core_second": round(look_ups_per_second(service)),
        "dns_lookups_per_core_second": round(dns_look_ups_per_second(service)),
        "needed_per_node": 1063,
        "blocks_moved": moved,
        "blocks_that_must_move": needed,
    }
    print(json.dumps(report))


if __name__ == "__main__":
    main()
