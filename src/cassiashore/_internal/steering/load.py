"""What one instance knows of the load of one target."""

from __future__ import annotations

from dataclasses import dataclass

OTHERS_WEIGHT = 0.4  # of a new report, which is one moment of a load that varies
# A queue is over within a few answers: an old report says little. While a target is taken for busy,
# nothing is sent to it, and no newer report comes.
OTHERS_HALF_LIFE_ANSWERS = 2.0
MIN_HALF_LIFE_SECONDS = 0.1  # a report travels between regions meanwhile
MAX_HALF_LIFE_SECONDS = 1.5  # callers come and go within seconds
SLOWNESS_WEIGHT = 0.15  # of one answer: the mean of some seven at one target
SLOWNESS_HALF_LIFE_SECONDS = 2.0  # without an answer: a slow target may be as fast as before


@dataclass(slots=True)
class TargetLoad:
    """Requests at a target: this instance's own, and an estimate of those of other instances.

    ``slowness`` is the ratio of its answer times to the usual ones.

    Targets report their load with their answers. Between reports the part of the other instances
    is an average that fades, since it is not known whether they still send.
    """

    in_flight: int = 0
    others: float = 0.0
    reported_at: float = float("-inf")
    slowness: float = 1.0
    answered_at: float = float("-inf")
    others_half_life: float = MAX_HALF_LIFE_SECONDS

    def report(self, busy: int, now: float) -> None:
        """Take in a target's own count of requests running and waiting, the answered one gone."""
        sample = max(0.0, busy - self.in_flight)
        current = self.others_at(now)
        self.others = current + OTHERS_WEIGHT * (sample - current)
        self.reported_at = now

    def expect_answers_within(self, seconds: float) -> None:
        """Take in how long answers of the service usually take."""
        half_life = OTHERS_HALF_LIFE_ANSWERS * seconds
        self.others_half_life = min(MAX_HALF_LIFE_SECONDS, max(MIN_HALF_LIFE_SECONDS, half_life))

    def others_at(self, now: float) -> float:
        """Return the estimated requests of other instances."""
        age = now - self.reported_at
        if age <= 0 or self.others == 0.0:
            return self.others
        return float(self.others * 0.5 ** (age / self.others_half_life))

    def busy(self, now: float) -> float:
        """Return the estimated requests at the target."""
        return self.in_flight + self.others_at(now)

    def slowness_at(self, now: float) -> float:
        """Return the slowness, which fades while no answers come.

        Otherwise a target that was slow for a while would get nothing for good.
        """
        idle = max(0.0, now - self.answered_at)
        return float(1.0 + (self.slowness - 1.0) * 0.5 ** (idle / SLOWNESS_HALF_LIFE_SECONDS))

    def answered(self, seconds: float, usual: float, now: float) -> None:
        """Take in the time of an answer for a kept object, and the usual one (0: unknown).

        An object that is made anew takes several times as long at any target.
        """
        if usual > 0.0:
            known = self.slowness_at(now)
            self.slowness = known + SLOWNESS_WEIGHT * (seconds / usual - known)
            self.answered_at = now
