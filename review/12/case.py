"""Machines are killed while upstreams are replaced; others go on using upstreams that have left."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support-3"))

import small_deployment as small

SERVICES = ["catalogue", "orders", "turnery", "prickings"]
ZONES = ["erie-a", "huron-a", "superior-a", "erie-b", "huron-b", "superior-b"]
MACHINE_ZONES = [*ZONES, *ZONES[:4]]  # ten, as at the site
UPSTREAMS = 6  # of each service
WORK_SECONDS = 0.05
CLIENTS = 6  # at each machine
GAP_SECONDS = 0.1  # between the requests of a client
PLAY_SECONDS = 60.0
RELEASE_GAP = 1.0  # one upstream of each service is replaced in each
WITHOUT_REPORT = 0.3  # share of the upstreams that never report draining
SERVES_ON_SECONDS = 7.5  # drain-s and some seconds
FIRST_KILL = 6.0
KILL_GAP = 6.5
KILLED_SHARE = 0.55
DOWN_SECONDS = 0.5
DRAIN_SECONDS = small.BOUNDS["drain-s"]
STABLE_SECONDS = small.BOUNDS["stable-window-s"]
HEARTBEAT_SECONDS = 1.5
ENOUGH = 5  # late requests, after which the play ends


@dataclass
class Play:
    """What the clients, the upstreams and the platform have seen."""

    deployment: small.Deployment
    rng: random.Random = field(default_factory=lambda: random.Random(11))
    ready: dict[str, list[small.Upstream]] = field(default_factory=dict)
    leaving_at: dict[str, float] = field(default_factory=dict)
    restarted_at: dict[str, float] = field(default_factory=dict)
    node_by_request: dict[str, tuple[str, float]] = field(default_factory=dict)
    answers: Counter[str] = field(default_factory=Counter)
    late: list[str] = field(default_factory=list)
    started: int = 0
    beats: list[asyncio.Task[None]] = field(default_factory=list)

    async def start_upstream(self, service: str, cold_s: float) -> None:
        """Start an upstream, which writes its entry at each heartbeat."""
        self.started += 1
        name = f"i-{service}-{self.started:03d}"
        zone = ZONES[self.started % len(ZONES)]
        upstream = Watched(self, name, service, zone)
        await upstream.start(f"{self.deployment.net}.200")
        self.deployment.upstreams.append(upstream)
        self.ready[service].append(upstream)
        self.deployment.store.put(f"servers/{name}", upstream.entry(cold_left_s=cold_s))
        beat = asyncio.create_task(self.beat(upstream, time.monotonic() + cold_s))
        self.beats.append(beat)

    async def beat(self, upstream: small.Upstream, warm_at: float) -> None:
        """Write the entry again until the upstream leaves."""
        while upstream.name not in self.leaving_at:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if upstream.name not in self.leaving_at:
                cold = round(max(0.0, warm_at - time.monotonic()), 2)
                entry = upstream.entry(cold_left_s=cold)
                self.deployment.store.put(f"servers/{upstream.name}", entry)

    async def replace_one(self, service: str) -> None:
        """Start a new upstream, and take away the oldest one."""
        await self.start_upstream(service, 3.0)
        old = self.ready[service].pop(0)
        reports = self.rng.random() >= WITHOUT_REPORT
        key = f"servers/{old.name}"
        if reports:
            self.deployment.store.put(key, old.entry("draining"))
        else:
            self.deployment.store.delete(key)
        self.leaving_at[old.name] = time.monotonic()
        what = "reports draining" if reports else "leaves, its entry is removed"
        self.deployment.record.write(f"{old.name} {what}")
        await asyncio.sleep(SERVES_ON_SECONDS)
        if reports:
            self.deployment.store.delete(key)
        old.stop()
        self.deployment.record.write(f"{old.name} exits")

    async def release(self) -> None:
        """Replace the upstreams of each service one after the other."""
        tasks = []
        while True:
            for service in SERVICES:
                tasks.append(asyncio.create_task(self.replace_one(service)))
                await asyncio.sleep(RELEASE_GAP / len(SERVICES))

    async def kill_some(self) -> None:
        """Kill a share of the machines' processes at once; they start again after a delay.

        Among them are all but one of those that read the store, and the other seeds.
        """
        nodes = self.deployment.nodes
        seeds = nodes[: small.SEEDS]
        readers = [node for node in nodes if reads_store(node)]
        spared = next((node for node in readers if node in seeds), readers[0] if readers else None)
        first = [node for node in nodes if node is not spared and node in [*readers, *seeds]]
        others = [node for node in nodes if node is not spared and node not in first]
        self.rng.shuffle(others)
        killed = [*first, *others][: int(KILLED_SHARE * len(nodes))]
        names = ", ".join(node.name for node in killed)
        self.deployment.record.write(f"SIGKILL of {names}")
        for node in killed:
            self.restarted_at[node.name] = float("inf")
            node.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_SECONDS)
        for node in killed:
            assert node.process is not None
            await node.process.wait()
            await self.deployment.start_node(node)
            self.restarted_at[node.name] = time.monotonic()

    @property
    def is_decided(self) -> bool:
        """Return whether enough has been seen to end the play."""
        return len(self.late) >= ENOUGH

    def is_in_touch(self, node_name: str, moment: float) -> bool:
        """Return whether the process of a machine ran undisturbed for the stable window."""
        return moment - self.restarted_at[node_name] > STABLE_SECONDS

    def record_arrival(self, upstream: small.Upstream, request: small.Request) -> None:
        """Check a request that has reached an upstream."""
        left_at = self.leaving_at.get(upstream.name)
        if left_at is None or request.at - left_at <= DRAIN_SECONDS:
            return
        node_name, sent_at = self.node_by_request.get(request.id, ("", 0.0))
        if node_name and sent_at > left_at and self.is_in_touch(node_name, sent_at):
            self.late.append(node_name)
            self.deployment.record.write(
                f"request {request.id}, sent to {node_name}, reaches {upstream.name} "
                f"{request.at - left_at:.3f} s after the store confirmed that it leaves, "
                f"{DRAIN_SECONDS} allowed; the machine's process has run for "
                f"{sent_at - self.restarted_at[node_name]:.1f} s"
            )

    async def send_requests(self, node: small.Node, number: int, stop: float) -> None:
        """Send requests one after the other on a kept connection."""
        host, port = small.split_address(node.listen["front"])
        rng = random.Random(f"{node.name}-{number}")
        writer: asyncio.StreamWriter | None = None
        while time.monotonic() < stop and not self.is_decided:
            await asyncio.sleep(GAP_SECONDS)
            request_id = small.new_id()
            service = rng.choice(SERVICES)
            headers = [
                f"X-Cassiashore-Request-Id: {request_id}",
                f"Cookie: X-Cassiashore-Affinity-Key={rng.randrange(30)}",
                "X-Cassiashore-Deadline-Ms: 2000",
            ]
            try:
                async with asyncio.timeout(2.5):
                    if writer is None:
                        reader, writer = await asyncio.open_connection(host, port)
                    self.node_by_request[request_id] = (node.name, time.monotonic())
                    writer.write(small.request_bytes("GET", f"/{service}/1", headers))
                    status, answer, _ = await small.read_response(reader)
                outcome = str(status)
                is_closed = answer.get("connection") == "close"
            except (OSError, EOFError, TimeoutError) as error:
                outcome = type(error).__name__
                is_closed = True
            self.answers[outcome] += 1
            if is_closed and writer is not None:
                writer.transport.abort()
                writer = None
        if writer is not None:
            writer.transport.abort()


def reads_store(node: small.Node) -> bool:
    """Return whether a machine reads the store, by the last word of its process on that."""
    is_reader = False
    for line in node.log.read_text().splitlines():
        if "reads the store" in line:
            is_reader = "no longer" not in line
    return is_reader


class Watched(small.Upstream):
    """An upstream that reports each request which reaches it."""

    def __init__(self, play: Play, name: str, service: str, zone: str) -> None:
        """Create an upstream that does not listen yet."""
        super().__init__(play.deployment.record, name, service, zone, WORK_SECONDS)
        self.play = play
        self.logs_runs = False
        self.slots = 20

    async def _respond(self, request: small.Request) -> bytes:
        expected = request.headers.get("x-cassiashore-expect-instance")
        if request.target != "/health" and expected in (None, self.name):
            self.play.record_arrival(self, request)
        return await super()._respond(request)


async def case(deployment: small.Deployment, is_troubled: bool) -> bool:
    """Replace upstreams while machines are killed, and look for requests that come too late."""
    routes = {
        f"{service}-read": {
            "path-prefix": f"/{service}/",
            "kind": "safe",
            "timeout-s": 2.0,
            "target-latency-s": 0.25,
            "priority": 1,
            "service": service,
            "max-attempts": 2,
            "session-affinity": True,
            "home-regions": [],
        }
        for service in SERVICES
    }
    deployment.put_manifest(routes, SERVICES)
    play = Play(deployment)
    for service in SERVICES:
        play.ready[service] = []
        for _ in range(UPSTREAMS):
            await play.start_upstream(service, 0.0)
    for zone in MACHINE_ZONES:
        deployment.add_node(zone)
    await deployment.start_nodes()
    for node in deployment.nodes:
        play.restarted_at[node.name] = time.monotonic()
    await asyncio.sleep(STABLE_SECONDS)
    started = time.monotonic()
    stop = started + PLAY_SECONDS
    clients = [
        asyncio.create_task(play.send_requests(node, number, stop))
        for node in deployment.nodes
        for number in range(CLIENTS)
    ]
    release = asyncio.create_task(play.release())
    due = FIRST_KILL
    while is_troubled and due < PLAY_SECONDS - 4:
        await asyncio.sleep(max(0.0, started + due - time.monotonic()))
        if play.is_decided:
            break
        await play.kill_some()
        due += KILL_GAP
    await asyncio.gather(*clients)
    release.cancel()
    summary = (
        f"answers {dict(play.answers)}; upstreams that left: {len(play.leaving_at)}; requests that "
        f"reached one of them too late: {len(play.late)}, by machine {dict(Counter(play.late))}; "
        "none allowed"
    )
    deployment.record.write(summary)
    print(summary)
    return not play.late


if __name__ == "__main__":
    small.main(case, __file__.rpartition("/")[0] or ".")
