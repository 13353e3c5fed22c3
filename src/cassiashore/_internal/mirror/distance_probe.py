"""Measures the round trip time to each region by opening a connection to an instance there."""

from __future__ import annotations

import asyncio
import logging
import random
import time

from cassiashore._internal.mirror.instances import InstanceTable
from cassiashore._internal.models.address import Address
from cassiashore._internal.steering.distance import RegionDistances

logger = logging.getLogger(__name__)

INITIAL_ROUNDS = 3  # the shortest of a few measurements is used
INITIAL_INTERVAL_SECONDS = 1.0  # the three initial rounds end before callers arrive
INTERVAL_SECONDS = 20.0  # round trip times change only with network routes, which is rare
CONNECT_TIMEOUT_SECONDS = 1.0  # several times the longest round trip


class DistanceProbe:
    """Periodically measures the round trip time to all regions."""

    def __init__(
        self, instances: InstanceTable, distances: RegionDistances, rng: random.Random
    ) -> None:
        """Create a probe that records the measurements in ``distances``."""
        self._instances = instances
        self._distances = distances
        self._rng = rng

    async def run(self) -> None:
        """Measure all regions periodically, until cancelled."""
        completed_rounds = 0
        while True:
            if await self._measure_all():
                completed_rounds += 1
            is_initial = completed_rounds < INITIAL_ROUNDS
            await asyncio.sleep(INITIAL_INTERVAL_SECONDS if is_initial else INTERVAL_SECONDS)

    async def _measure_all(self) -> bool:
        own = self._instances.own_incarnation
        addresses_by_region: dict[str, list[str]] = {}
        for record in self._instances.records():
            if record.identity.incarnation != own:
                addresses = addresses_by_region.setdefault(record.region, [])
                addresses.append(record.identity.peer_address)
        for region, addresses in addresses_by_region.items():
            await self._measure(region, Address.parse(self._rng.choice(addresses)))
        return bool(addresses_by_region)

    async def _measure(self, region: str, address: Address) -> None:
        started = time.monotonic()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(address.host, address.port)
        except (OSError, TimeoutError) as error:
            logger.debug("measuring the round trip to region %s failed: %s", region, error)
            return
        self._distances.record_round_trip(region, time.monotonic() - started)
        writer.close()
