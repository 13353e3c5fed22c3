"""Faults that the soak injects, each with its end."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

from lab.soak.proxy import Harm
from lab.soak.world import Instance, TargetHandle, World

Fault = Callable[[World], Coroutine[Any, Any, None]]
fault_by_name: dict[str, Fault] = {}
LAPSE_SECONDS = 3.0  # three reports missed: then a target's entry is removed
GRACE_SECONDS = 6.0  # as in the settings
OUTAGE_SECONDS = (0.5, 5.0)  # shorter and longer than a lease


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under a name."""

    def register(function: Fault) -> Fault:
        fault_by_name[name] = function
        return function

    return register


def _any_instance(world: World) -> Instance:
    return world.rng.choice(list(world.instance_by_name.values()))


def _any_target(world: World) -> TargetHandle | None:
    """Return a target whose service keeps others in use."""
    handles = [h for h in world.target_by_id.values() if h.target.state == "ready"]
    chosen = world.rng.choice(handles)
    peers = [h for h in handles if h.target.service == chosen.target.service]
    return chosen if len(peers) > 3 else None


async def _kill(world: World, instances: list[Instance]) -> None:
    for instance in instances:
        instance.disturbed_at = time.monotonic()
        instance.signal(signal.SIGKILL)
    world.disturb(1.0)
    await asyncio.sleep(world.rng.uniform(0.1, 2.0))
    for instance in instances:
        if not instance.is_running:
            world.start_instance(instance)
    for instance in instances:
        await world.wait_listening(instance)
        instance.disturbed_at = time.monotonic()
    world.disturb(1.0)


@fault("kill")
async def kill(world: World) -> None:
    """Kill an instance and start it again."""
    await _kill(world, [_any_instance(world)])


@fault("herd-kill")
async def herd_kill(world: World) -> None:
    """Kill half of the instances, or all, at the same moment."""
    instances = list(world.instance_by_name.values())
    count = world.rng.choice((len(instances) // 2, len(instances)))
    await _kill(world, world.rng.sample(instances, count))


@fault("roll")
async def roll(world: World) -> None:
    """Stop one or two instances gracefully and start them again."""
    for instance in world.rng.sample(list(world.instance_by_name.values()), 2):
        instance.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_SECONDS
        while instance.is_running and time.monotonic() < until:
            await asyncio.sleep(0.05)
        if instance.is_running:
            instance.disturbed_at = time.monotonic()
            instance.signal(signal.SIGKILL)
            await asyncio.sleep(0.1)
        world.disturb(0.5)  # the store may still name the instance to others
        world.start_instance(instance)
        await world.wait_listening(instance)


@fault("pause")
async def pause(world: World) -> None:
    """Freeze an instance, at times for longer than its lease lasts."""
    instance = _any_instance(world)
    seconds = world.rng.choice((0.3, 1.5, 5.0))
    instance.disturbed_at = time.monotonic() + seconds
    world.disturb(seconds)
    instance.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    instance.signal(signal.SIGCONT)


@fault("reload")
async def reload(world: World) -> None:
    """Change settings of an instance, with a signal or without."""
    instance = _any_instance(world)
    world.write_settings(instance, **{"max-shift": world.rng.random()})
    if world.rng.random() < 0.7:
        instance.signal(signal.SIGHUP)


async def _outage(world: World, begin: Callable[[], None], end: Callable[[], None]) -> None:
    seconds = world.rng.uniform(*OUTAGE_SECONDS)
    world.disturb(seconds)
    begin()
    await asyncio.sleep(seconds)
    end()
    world.disturb(0.0)


@fault("store-down")
async def store_down(world: World) -> None:
    """Let the store refuse all calls; at times leases run out meanwhile."""
    faults = world.store.faults

    def end() -> None:
        faults.is_down = False
        if world.rng.random() < 0.5:
            world.store.expire_leases(all_leases=True)

    await _outage(world, lambda: setattr(faults, "is_down", True), end)


@fault("store-loses-answers")
async def store_loses_answers(world: World) -> None:
    """Let writes or leases take effect without an answer."""
    faults = world.store.faults
    call = world.rng.choice(("kv-txn", "kv-lease", "kv-keep"))
    await _outage(
        world,
        lambda: setattr(faults, "drops_responses_of", call),
        lambda: setattr(faults, "drops_responses_of", ""),
    )


@fault("store-forgets")
async def store_forgets(world: World) -> None:
    """Drop the store's history."""
    world.store.drop_history()


@fault("store-cut")
async def store_cut(world: World) -> None:
    """Harm the connections of some instances to the store."""
    some = world.rng.sample(list(world.instance_by_name.values()), world.rng.randint(1, 3))
    harm = world.rng.choice([h for h in Harm if h is not Harm.NONE])

    def begin() -> None:
        for instance in some:
            instance.store_proxy.set_harm(harm)

    def end() -> None:
        for instance in some:
            instance.store_proxy.set_harm(Harm.NONE)
            instance.store_proxy.reset_all()

    await _outage(world, begin, end)


@fault("target-link")
async def target_link(world: World) -> None:
    """Delay, cut or silence the connections to a target."""
    handle = _any_target(world)
    if handle is None:
        return
    seconds = world.rng.uniform(0.5, 3.0)
    handle.disturbed_at = time.monotonic() + seconds
    handle.proxy.set_harm(world.rng.choice([h for h in Harm if h is not Harm.NONE]))
    await asyncio.sleep(seconds)
    handle.proxy.set_harm(Harm.NONE)


@fault("target-resets")
async def target_resets(world: World) -> None:
    """Reset all connections to some targets, a few times."""
    for _ in range(3):
        for handle in world.rng.sample(list(world.target_by_id.values()), 3):
            handle.disturbed_at = time.monotonic()
            handle.proxy.reset_all()
        await asyncio.sleep(0.4)


@fault("target-trouble")
async def target_trouble(world: World) -> None:
    """Make a target slow, and let it lose answers."""
    handle = _any_target(world)
    if handle is None:
        return
    seconds = world.rng.uniform(1.0, 4.0)
    handle.disturbed_at = time.monotonic() + seconds
    handle.target.slowness = world.rng.choice((1.0, 8.0))
    handle.target.loses_answers = world.rng.choice((0.1, 0.5))
    await asyncio.sleep(seconds)
    handle.target.slowness, handle.target.loses_answers = 1.0, 0.0


@fault("target-endless")
async def target_endless(world: World) -> None:
    """Let a target send a part of its answers without end."""
    handle = _any_target(world)
    if handle is None:
        return
    seconds = world.rng.uniform(1.0, 3.0)
    handle.disturbed_at = time.monotonic() + seconds
    handle.target.endless_answers = 0.2
    await asyncio.sleep(seconds)
    handle.target.endless_answers = 0.0


@fault("target-crash")
async def target_crash(world: World) -> None:
    """Crash a target; its entry lapses, and another one comes, at times at its address."""
    handle = _any_target(world)
    if handle is None:
        return
    handle.target.state = "crashed"
    handle.disturbed_at = time.monotonic() + LAPSE_SECONDS
    handle.target.close()
    handle.proxy.reset_all()
    await asyncio.sleep(LAPSE_SECONDS)
    world.forget(handle)
    await _replace(world, handle)


@fault("drain")
async def drain(world: World) -> None:
    """Let a target leave as planned; another one comes, at times at its address."""
    handle = _any_target(world)
    if handle is None:
        return
    handle.target.state = "draining"
    world.register(handle)
    handle.leaving_at = time.monotonic()
    await asyncio.sleep(4.0)
    handle.disturbed_at = time.monotonic()
    world.forget(handle)
    handle.target.close()
    handle.proxy.reset_all()
    await _replace(world, handle)


async def _replace(world: World, handle: TargetHandle) -> None:
    """Start a target in the place of one that ended, at times of the other service."""
    await asyncio.sleep(world.rng.uniform(0.0, 2.0))
    proxy = handle.proxy if world.rng.random() < 0.5 else None
    await world.add_target(handle.target.service, handle.target.failure_domain, proxy)


@fault("manifest")
async def manifest(world: World) -> None:
    """Publish manifests in quick succession."""
    for _ in range(world.rng.randint(1, 4)):
        world.publish()
        await asyncio.sleep(world.rng.uniform(0.1, 1.0))


@fault("evacuate")
async def evacuate(world: World) -> None:
    """Empty a failure domain and take it back."""
    if world.evacuated_at:
        return
    domain = world.rng.choice(sorted({i.failure_domain for i in world.instance_by_name.values()}))
    world.store.put_json(f"op/evacuate/{domain}", {})
    world.evacuated_at[domain] = time.monotonic()
    await asyncio.sleep(7.0)
    del world.evacuated_at[domain]
    world.store.delete(f"op/evacuate/{domain}")
