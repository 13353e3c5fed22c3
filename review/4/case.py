"""DENIED: after one crash of an upstream, a page that many callers read is refused for good."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

import place as places
from place import Answer, Place, RunningUpstream

WORK_MS = 360
LIMIT_MS = 2_000
SLOTS = 12
POPULAR_PER_S = 10.0
OTHERS_PER_S = 40.0
CRASHES_AT = (6.0, 12.0, 18.0)
RUNNING_AT_CRASH = 4  # of the 12 slots; the mean is 3.6
DOWN_SECONDS = 4.5  # largest duration of srv_crash on vdm-lakes
LENGTH_SECONDS = 36.0
POPULAR = "/read/popular"
# Eight, so that a crash takes an eighth of the service; srv_crash on vdm-lakes takes 0.14.
UPSTREAM_ZONES = ("erie-a", "huron-a", "superior-a", "erie-b") * 2
DENIED_FLOOR = 5
DENIED_SHARE = 1 / 500


async def send_all(
    place: Place, per_second: float, fronts: list[tuple[str, int]], *, popular: bool
) -> list[Answer]:
    """Send reads at random times, each from a caller of its own, through the given instances."""
    running: list[asyncio.Task[Answer]] = []
    count = 0
    while time.monotonic() - place.started_at < LENGTH_SECONDS:
        await asyncio.sleep(random.expovariate(per_second))
        count += 1
        path = POPULAR if popular else f"/read/page-{count % 200}"
        key = "popular" if popular else f"page-{count % 200}"
        address = random.choice(fronts)
        running.append(asyncio.create_task(places.ask(address, path, key, LIMIT_MS)))
    return list(await asyncio.gather(*running))


def running_popular(upstream: RunningUpstream) -> int:
    """Return how many requests for the popular page run on an upstream."""
    if upstream.is_killed:
        return 0
    counts = Counter(e["event"] for e in upstream.events if e.get("path") == POPULAR)
    return counts["runs"] - counts["answers"]


async def crash_in_turn(place: Place) -> None:
    """Kill the upstream that serves the popular page, and start it again; several times."""
    for crash_at in CRASHES_AT:
        await asyncio.sleep(place.started_at + crash_at - time.monotonic())
        for _ in range(100):
            if max(map(running_popular, place.upstreams)) >= RUNNING_AT_CRASH:
                break
            await asyncio.sleep(0.02)
        alive = [upstream for upstream in place.upstreams if not upstream.is_killed]
        busiest = max(alive, key=running_popular)
        place.crash_upstream(busiest)
        await asyncio.sleep(DOWN_SECONDS)
        await place.start_upstream(busiest.zone, cold_seconds=3.0, slots=SLOTS, work_ms=WORK_MS)


def summarise(place: Place, name: str, answers: list[Answer]) -> list[Answer]:
    """Record the answers of a kind by second; return those that the system denied itself."""
    for start in range(0, int(LENGTH_SECONDS), 2):
        begin = place.started_at + start
        by_result: dict[str, int] = {}
        for answer in answers:
            if begin <= answer.sent_at < begin + 2:
                result = str(answer.status or answer.fault)
                by_result[result] = by_result.get(result, 0) + 1
        place.note(f"{name} sent from {start} s to {start + 2} s: {by_result}")
    return [
        a
        for a in answers
        if a.status is not None
        and 300 <= a.status < 500
        and a.status not in (408, 421, 429)
        and not a.has_stamp
    ]


async def case(place: Place) -> bool:
    """Return whether no more proper requests were denied than the rule allows."""
    await place.start_store()
    place.plan_instances(3)
    for zone in UPSTREAM_ZONES:
        await place.start_upstream(zone, slots=SLOTS, work_ms=WORK_MS)
    for zone in ("erie-a", "huron-a", "superior-a"):
        await place.start_instance(zone)
    place.started_at = time.monotonic()
    near = await place.directory(place.instances[0], "erie", "erie-a")
    place.note(f"the directory names {near} to callers of erie-a")
    crash = place.spawn(crash_in_turn(place)) if places.has_trouble() else None
    popular, others = await asyncio.gather(
        send_all(place, POPULAR_PER_S, [places.parse(a) for a in near], popular=True),
        send_all(place, OTHERS_PER_S, [i.front for i in place.instances], popular=False),
    )
    if crash is not None:
        await crash
    denied = summarise(place, "popular page", popular) + summarise(place, "other pages", others)
    total = len(popular) + len(others)
    allowed = DENIED_FLOOR + DENIED_SHARE * total
    last = max((a.sent_at for a in denied), default=place.started_at) - place.started_at
    place.note(
        f"{len(denied)} of {total} proper requests got a 4xx of the system's own; {allowed:.1f} are"
        f" allowed; the last was sent at {last:.1f} s"
    )
    return len(denied) <= allowed


if __name__ == "__main__":
    places.main(case)
