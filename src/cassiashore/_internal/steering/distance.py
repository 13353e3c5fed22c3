"""How far away the regions are, from the time that connections to instances there take."""

from __future__ import annotations

OWN_REGION_SECONDS = 0.002  # round trip within a region before it was measured
OTHER_REGION_SECONDS = 0.08  # round trip between regions before it was measured
STEPS_PER_OCTAVE = 2  # instances of a region must agree although they measure apart
GROWTH_PER_SAMPLE = 0.05  # so that a path that became longer is noticed
LEAST_CHANGE = 0.1  # of a round trip, below which what was derived from it may stand


class RegionDistances:
    """Round trip times in seconds from the own region to each region."""

    def __init__(self, own_region: str) -> None:
        """Start with guesses; ``version`` grows when a round trip has changed clearly."""
        self.version = 0
        self._own_region = own_region
        self._seconds_by_region: dict[str, float] = {}
        self._seconds_at_version: dict[str, float] = {}

    def record_round_trip(self, region: str, seconds: float) -> None:
        """Take in the time that opening a connection took; the least ones count."""
        known = self._seconds_by_region.get(region)
        if known is None or seconds < known:
            self._seconds_by_region[region] = seconds
        else:
            self._seconds_by_region[region] = min(seconds, known * (1 + GROWTH_PER_SAMPLE))
        current = self._seconds_by_region[region]
        noted = self._seconds_at_version.get(region)
        if noted is None or abs(current - noted) > LEAST_CHANGE * noted:
            self._seconds_at_version[region] = current
            self.version += 1

    def round_trip(self, region: str) -> float:
        """Return the round trip to a region in seconds."""
        known = self._seconds_by_region.get(region)
        if known is not None:
            return known
        return OWN_REGION_SECONDS if region == self._own_region else OTHER_REGION_SECONDS
