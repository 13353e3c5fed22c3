"""Measures the distance to each region by opening a connection to an instance there."""

from __future__ import annotations

import asyncio
import logging
import random
import time

from cassiashore._internal.mirror.instances import InstanceTable
from cassiashore._internal.models.address import Address
from cassiashore._internal.steering.distance import RegionDistances

logger = logging.getLogger(__name__)

FIRST_ROUNDS = 3  # soon after the start, to have the least of a few
FIRST_INTERVAL_SECONDS = 1.0  # three rounds end before callers come
INTERVAL_SECONDS = 20.0  # distances change with the routes of the network, seldom
CONNECT_SECONDS = 1.0  # several times the longest round trip


class DistanceProbe:
    """The task that measures."""

    def __init__(
        self, instances: InstanceTable, distances: RegionDistances, rng: random.Random
    ) -> None:
        """Keep the parts."""
        self._instances = instances
        self._distances = distances
        self._rng = rng

    async def run(self) -> None:
        """Measure each region again and again, until cancelled."""
        rounds = 0
        while True:
            if await self._round():
                rounds += 1
            first = rounds < FIRST_ROUNDS
            await asyncio.sleep(FIRST_INTERVAL_SECONDS if first else INTERVAL_SECONDS)

    async def _round(self) -> bool:
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
            async with asyncio.timeout(CONNECT_SECONDS):
                _, writer = await asyncio.open_connection(address.host, address.port)
        except (OSError, TimeoutError) as error:
            logger.debug("distance to region %s not measured: %s", region, error)
            return
        self._distances.record_round_trip(region, time.monotonic() - started)
        writer.close()
