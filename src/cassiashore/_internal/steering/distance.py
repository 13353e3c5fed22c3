"""Round trip times to the regions, measured by opening connections to instances there."""

from __future__ import annotations

# Round trips that are assumed until they have been measured.
OWN_REGION_SECONDS = 0.002
OTHER_REGION_SECONDS = 0.08
# For rounding, so that instances of a region agree although their measurements differ.
STEPS_PER_OCTAVE = 2
# The minimum may rise by this fraction per sample, so that it follows a path that became longer.
GROWTH_PER_SAMPLE = 0.05
MIN_RELATIVE_CHANGE = 0.1  # of a round trip; smaller changes do not increase the version


class RegionDistances:
    """Round trip times in seconds from the own region to each region."""

    def __init__(self, own_region: str) -> None:
        """Start with assumed round trips.

        ``version`` increases whenever a round trip changes by more than ``MIN_RELATIVE_CHANGE``.
        """
        self.version = 0
        self._own_region = own_region
        self._seconds_by_region: dict[str, float] = {}
        self._seconds_at_version: dict[str, float] = {}

    def record_round_trip(self, region: str, seconds: float) -> None:
        """Record how long it took to open a connection; the estimate follows the minimum."""
        estimate = self._seconds_by_region.get(region)
        if estimate is None or seconds < estimate:
            self._seconds_by_region[region] = seconds
        else:
            self._seconds_by_region[region] = min(seconds, estimate * (1 + GROWTH_PER_SAMPLE))
        current = self._seconds_by_region[region]
        previous = self._seconds_at_version.get(region)
        if previous is None or abs(current - previous) > MIN_RELATIVE_CHANGE * previous:
            self._seconds_at_version[region] = current
            self.version += 1

    def round_trip(self, region: str) -> float:
        """Return the round trip to a region in seconds."""
        estimate = self._seconds_by_region.get(region)
        if estimate is not None:
            return estimate
        return OWN_REGION_SECONDS if region == self._own_region else OTHER_REGION_SECONDS
