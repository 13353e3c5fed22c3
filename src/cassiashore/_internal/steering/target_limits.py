"""Rate limit of requests to targets that name one, which holds for all instances together.

A target in need names in its responses how many requests per second it accepts from all instances.
If each instance kept to that rate on its own, the target would get a multiple of it.

Only a few instances, the senders, use the limit, in equal parts; rendezvous hashing selects the
same ones on every instance. Each sender has a token bucket, so the requests are spread over time.
All others send only one request at long intervals, to learn when the limit has ended. An interval
ends whether or not there was a request in it, so that these do not add up to a burst.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cassiashore._internal.admission.window import TokenBucket
from cassiashore._internal.steering.active_instances import InstanceInfo
from cassiashore._internal.steering.registry import RegisteredTarget
from cassiashore._internal.steering.senders import MAX_SENDERS, senders_to

CHECK_SHARE = 0.2  # of a limit, for all instances that are no senders
# Requests per second of all instances that are no senders, for limits near zero.
MIN_CHECK_RATE = 0.1
CHECK_WINDOW_SECONDS = 1.0  # at the start of each interval, in which its request may be sent
BURST_SECONDS = 0.5  # of a sender's part of the limit, beyond one request
UNKNOWN_RETRY_SECONDS = 1.0  # part of the time until other instances know this one
MAX_PROMISED_SECONDS = 2.0  # callers wait for at most a third of their remaining time


@dataclass(slots=True)
class _Sending:
    """What this instance may send to a target, at its ``rate`` and for these ``instances``.

    A sender has a bucket. Any other instance has none and sends one check in each interval, which
    is infinite while it may use no part of the limit.
    """

    rate: float
    instances: Sequence[InstanceInfo]
    bucket: TokenBucket | None
    check_interval: float = 0.0
    next_check_at: float = 0.0
    promised_until: float = 0.0


class TargetRateLimits:
    """Decides whether this instance may send another request to a target that names a limit."""

    def __init__(
        self,
        own_incarnation: str,
        instances: Callable[[], Sequence[InstanceInfo]],
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Divide limits among ``instances``, which is empty if this instance may use no part."""
        self._own = own_incarnation
        self._instances = instances
        self._monotonic = monotonic
        self._rng = rng
        self._sending_by_target: dict[str, _Sending] = {}

    def try_admit(self, target: RegisteredTarget) -> bool:
        """Count a request to a target if its limit allows it, and return whether it does."""
        sending = self._sending(target)
        if sending is None:
            return True
        now = self._monotonic()
        if sending.bucket is not None:
            return sending.bucket.try_take(1.0, now)
        return self._try_check(sending, now)

    def retry_after(self, targets: Sequence[RegisteredTarget]) -> float:
        """Return the seconds until one of the targets, all with a limit, may get another request.

        Each call returns a later time, so that rejected callers return one after the other.
        """
        now = self._monotonic()
        sendings = [s for target in targets if (s := self._sending(target)) is not None]
        paced = [s for s in sendings if s.bucket is not None and s.bucket.rate > 0]
        if not paced:
            return UNKNOWN_RETRY_SECONDS
        soonest = min(paced, key=lambda sending: self._next_free_at(sending, now))
        soonest.promised_until = self._next_free_at(soonest, now)
        return min(MAX_PROMISED_SECONDS, soonest.promised_until - now)

    def _next_free_at(self, sending: _Sending, now: float) -> float:
        """Return when a request may be sent that was not promised to an earlier caller."""
        bucket = sending.bucket
        assert bucket is not None
        return max(now + bucket.seconds_until(1.0, now), sending.promised_until + 1 / bucket.rate)

    def remove_target(self, target_id: str) -> None:
        """Remove the state of a target that no longer exists."""
        self._sending_by_target.pop(target_id, None)

    def _sending(self, target: RegisteredTarget) -> _Sending | None:
        """Return the part of this instance, or None if the target names no limit."""
        rate = target.rate_limit
        if rate is None:
            self._sending_by_target.pop(target.target_id, None)
            return None
        instances = self._instances()
        known = self._sending_by_target.get(target.target_id)
        if known is None or known.rate != rate or known.instances is not instances:
            known = self._divide(target, rate, instances, known)
            self._sending_by_target[target.target_id] = known
        return known

    def _divide(
        self,
        target: RegisteredTarget,
        rate: float,
        instances: Sequence[InstanceInfo],
        previous: _Sending | None,
    ) -> _Sending:
        now = self._monotonic()
        sender_count = min(MAX_SENDERS, len(instances))
        domain = target.report.failure_domain
        senders = senders_to(target.target_id, domain, target.region, instances, sender_count)
        others = len(instances) - sender_count
        if self._own in senders:
            share = rate * (1 - CHECK_SHARE if others else 1.0) / sender_count
            burst = 1 + share * BURST_SECONDS
            if previous is None or previous.bucket is None:
                return _Sending(rate, instances, TokenBucket(share, burst, now, tokens=0.0))
            previous.bucket.set_rate(share, burst, now)
            return _Sending(
                rate, instances, previous.bucket, promised_until=previous.promised_until
            )
        if not instances:
            return _Sending(rate, instances, None, float("inf"), float("inf"))
        interval = others / max(MIN_CHECK_RATE, rate * CHECK_SHARE)
        if previous is not None and previous.check_interval == interval:
            return _Sending(rate, instances, None, interval, previous.next_check_at)
        return _Sending(rate, instances, None, interval, now + interval * self._rng.random())

    def _try_check(self, sending: _Sending, now: float) -> bool:
        if now < sending.next_check_at:
            return False
        is_open = now < sending.next_check_at + CHECK_WINDOW_SECONDS
        missed = (now - sending.next_check_at) // sending.check_interval
        sending.next_check_at += sending.check_interval * (missed + 1)
        return is_open
