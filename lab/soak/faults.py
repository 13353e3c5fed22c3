"""Faults that the soak test injects; each function also ends its fault."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

from lab.soak.environment import Instance, SoakEnvironment, TargetHandle
from lab.soak.proxy import LinkFault

Fault = Callable[[SoakEnvironment], Coroutine[Any, Any, None]]
fault_by_name: dict[str, Fault] = {}
ENTRY_EXPIRY_SECONDS = 3.0  # a target's entry is removed after three missed reports
GRACE_SECONDS = 6.0  # as in the settings
OUTAGE_SECONDS = (0.5, 5.0)  # shorter and longer than a lease
COPY_AGE_SECONDS = (0.2, 4.0)  # of the copy that the store returns to
REWRITE_SECONDS = 1.5  # until operators and targets write again, less than the removal delay


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under a name."""

    def register(function: Fault) -> Fault:
        fault_by_name[name] = function
        return function

    return register


def _any_instance(environment: SoakEnvironment) -> Instance:
    return environment.rng.choice(list(environment.instance_by_name.values()))


def _any_target(environment: SoakEnvironment) -> TargetHandle | None:
    """Return a random target if its service has enough other ones, else None."""
    handles = [h for h in environment.target_by_id.values() if h.target.state == "ready"]
    chosen = environment.rng.choice(handles)
    peers = [h for h in handles if h.target.service == chosen.target.service]
    return chosen if len(peers) > 3 else None


async def _kill(environment: SoakEnvironment, instances: list[Instance]) -> None:
    for instance in instances:
        instance.disturbed_at = time.monotonic()
        instance.signal(signal.SIGKILL)
    environment.mark_disturbed(1.0)
    await asyncio.sleep(environment.rng.uniform(0.1, 2.0))
    for instance in instances:
        if not instance.is_running:
            environment.start_instance(instance)
    for instance in instances:
        await environment.wait_listening(instance)
        instance.disturbed_at = time.monotonic()
    environment.mark_disturbed(1.0)


@fault("kill")
async def kill(environment: SoakEnvironment) -> None:
    """Kill an instance and start it again."""
    await _kill(environment, [_any_instance(environment)])


@fault("herd-kill")
async def herd_kill(environment: SoakEnvironment) -> None:
    """Kill half of the instances, or all, at the same moment."""
    instances = list(environment.instance_by_name.values())
    count = environment.rng.choice((len(instances) // 2, len(instances)))
    await _kill(environment, environment.rng.sample(instances, count))


@fault("restart-of-all")
async def restart_of_all(environment: SoakEnvironment) -> None:
    """Kill all instances at the same moment, and publish manifests while they start again."""
    publishing = asyncio.create_task(_publish_repeatedly(environment))
    await _kill(environment, list(environment.instance_by_name.values()))
    await publishing


async def _publish_repeatedly(environment: SoakEnvironment) -> None:
    for _ in range(8):
        environment.publish_manifest()
        await asyncio.sleep(0.6)


@fault("roll")
async def roll(environment: SoakEnvironment) -> None:
    """Stop one or two instances gracefully and start them again."""
    for instance in environment.rng.sample(list(environment.instance_by_name.values()), 2):
        instance.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_SECONDS
        while instance.is_running and time.monotonic() < until:
            await asyncio.sleep(0.05)
        if instance.is_running:
            instance.disturbed_at = time.monotonic()
            instance.signal(signal.SIGKILL)
            await asyncio.sleep(0.1)
        environment.mark_disturbed(0.5)  # the store may still list the instance
        environment.start_instance(instance)
        await environment.wait_listening(instance)


@fault("pause")
async def pause(environment: SoakEnvironment) -> None:
    """Pause an instance, at times for longer than its lease."""
    instance = _any_instance(environment)
    seconds = environment.rng.choice((0.3, 1.5, 5.0))
    instance.disturbed_at = time.monotonic() + seconds
    environment.mark_disturbed(seconds)
    instance.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    instance.signal(signal.SIGCONT)


@fault("reload")
async def reload(environment: SoakEnvironment) -> None:
    """Change the settings of an instance, with or without a signal."""
    instance = _any_instance(environment)
    environment.write_settings(instance, **{"max-shift": environment.rng.random()})
    if environment.rng.random() < 0.7:
        instance.signal(signal.SIGHUP)


async def _outage(
    environment: SoakEnvironment, begin: Callable[[], None], end: Callable[[], None]
) -> None:
    seconds = environment.rng.uniform(*OUTAGE_SECONDS)
    environment.mark_disturbed(seconds)
    begin()
    await asyncio.sleep(seconds)
    end()
    environment.mark_disturbed(0.0)


@fault("store-down")
async def store_down(environment: SoakEnvironment) -> None:
    """Let the store refuse all calls; at times leases expire meanwhile."""
    faults = environment.store.faults

    def end() -> None:
        faults.is_down = False
        if environment.rng.random() < 0.5:
            environment.store.expire_leases(all_leases=True)

    await _outage(environment, lambda: setattr(faults, "is_down", True), end)


@fault("store-loses-answers")
async def store_loses_answers(environment: SoakEnvironment) -> None:
    """Let writes or lease calls take effect without a response."""
    faults = environment.store.faults
    call = environment.rng.choice(("kv-txn", "kv-lease", "kv-keep"))
    await _outage(
        environment,
        lambda: setattr(faults, "drops_responses_of", call),
        lambda: setattr(faults, "drops_responses_of", ""),
    )


@fault("store-forgets")
async def store_forgets(environment: SoakEnvironment) -> None:
    """Drop the store's history."""
    environment.store.drop_history()


@fault("store-restore")
async def store_restore(environment: SoakEnvironment) -> None:
    """Restore the store from older copies, at times twice or after an outage."""
    rng, store = environment.rng, environment.store
    for _ in range(rng.choice((1, 1, 2))):
        copy = store.copy()
        await asyncio.sleep(rng.uniform(*COPY_AGE_SECONDS))
        outage_seconds = rng.choice((0.0, rng.uniform(0.1, 2.0)))
        environment.mark_disturbed(outage_seconds + REWRITE_SECONDS)
        store.faults.is_down = outage_seconds > 0
        await asyncio.sleep(outage_seconds)
        store.restore_copy(copy)
        store.faults.is_down = False
        await asyncio.sleep(rng.uniform(0.0, REWRITE_SECONDS))
        environment.write_again()
        environment.mark_disturbed(0.0)


@fault("store-cut")
async def store_cut(environment: SoakEnvironment) -> None:
    """Impair the connections of some instances to the store."""
    affected = environment.rng.sample(
        list(environment.instance_by_name.values()), environment.rng.randint(1, 3)
    )
    link_fault = environment.rng.choice([h for h in LinkFault if h is not LinkFault.NONE])

    def begin() -> None:
        for instance in affected:
            instance.store_proxy.set_link_fault(link_fault)

    def end() -> None:
        for instance in affected:
            instance.store_proxy.set_link_fault(LinkFault.NONE)
            instance.store_proxy.reset_all()

    await _outage(environment, begin, end)


@fault("target-link")
async def target_link(environment: SoakEnvironment) -> None:
    """Delay, cut or silence the connections to a target."""
    handle = _any_target(environment)
    if handle is None:
        return
    seconds = environment.rng.uniform(0.5, 3.0)
    handle.disturbed_at = time.monotonic() + seconds
    handle.proxy.set_link_fault(
        environment.rng.choice([h for h in LinkFault if h is not LinkFault.NONE])
    )
    await asyncio.sleep(seconds)
    handle.proxy.set_link_fault(LinkFault.NONE)


@fault("target-resets")
async def target_resets(environment: SoakEnvironment) -> None:
    """Reset all connections to some targets, a few times."""
    for _ in range(3):
        for handle in environment.rng.sample(list(environment.target_by_id.values()), 3):
            handle.disturbed_at = time.monotonic()
            handle.proxy.reset_all()
        await asyncio.sleep(0.4)


@fault("target-trouble")
async def target_trouble(environment: SoakEnvironment) -> None:
    """Make a target slow and lose some of its responses."""
    handle = _any_target(environment)
    if handle is None:
        return
    seconds = environment.rng.uniform(1.0, 4.0)
    handle.disturbed_at = time.monotonic() + seconds
    handle.target.slowdown_factor = environment.rng.choice((1.0, 8.0))
    handle.target.lost_response_share = environment.rng.choice((0.1, 0.5))
    await asyncio.sleep(seconds)
    handle.target.slowdown_factor, handle.target.lost_response_share = 1.0, 0.0


@fault("answers-lost")
async def answers_lost(environment: SoakEnvironment) -> None:
    """Let most targets lose many of their responses, while they run on."""
    seconds = environment.rng.uniform(2.0, 4.0)
    handles = list(environment.target_by_id.values())
    lossy = environment.rng.sample(handles, round(0.6 * len(handles)))
    for handle in lossy:
        handle.disturbed_at = time.monotonic() + seconds
        handle.target.lost_response_share = environment.rng.choice((0.4, 1.0))
    await asyncio.sleep(seconds)
    for handle in lossy:
        handle.target.lost_response_share = 0.0


@fault("target-endless")
async def target_endless(environment: SoakEnvironment) -> None:
    """Let some responses of a target never end."""
    handle = _any_target(environment)
    if handle is None:
        return
    seconds = environment.rng.uniform(1.0, 3.0)
    handle.disturbed_at = time.monotonic() + seconds
    handle.target.endless_response_share = 0.2
    await asyncio.sleep(seconds)
    handle.target.endless_response_share = 0.0


@fault("target-crash")
async def target_crash(environment: SoakEnvironment) -> None:
    """Crash a target; its entry expires, and another replaces it, at times at its address."""
    handle = _any_target(environment)
    if handle is None:
        return
    handle.target.state = "crashed"
    handle.disturbed_at = time.monotonic() + ENTRY_EXPIRY_SECONDS
    handle.target.close()
    handle.proxy.reset_all()
    await asyncio.sleep(ENTRY_EXPIRY_SECONDS)
    environment.unregister(handle)
    await _replace(environment, handle)


@fault("drain")
async def drain(environment: SoakEnvironment) -> None:
    """Drain a target; another replaces it, at times at its address."""
    handle = _any_target(environment)
    if handle is None:
        return
    handle.target.state = "draining"
    environment.register(handle)
    handle.leaving_at = time.monotonic()
    await asyncio.sleep(4.0)
    handle.disturbed_at = time.monotonic()
    environment.unregister(handle)
    handle.target.close()
    handle.proxy.reset_all()
    await _replace(environment, handle)


async def _replace(environment: SoakEnvironment, handle: TargetHandle) -> None:
    """Start a replacement for a target that ended, at times at its address."""
    await asyncio.sleep(environment.rng.uniform(0.0, 2.0))
    proxy = handle.proxy if environment.rng.random() < 0.5 else None
    await environment.add_target(handle.target.service, handle.target.failure_domain, proxy)


@fault("manifest")
async def manifest(environment: SoakEnvironment) -> None:
    """Publish manifests in quick succession."""
    for _ in range(environment.rng.randint(1, 4)):
        environment.publish_manifest()
        await asyncio.sleep(environment.rng.uniform(0.1, 1.0))


@fault("evacuate")
async def evacuate(environment: SoakEnvironment) -> None:
    """Evacuate a failure domain and later end the evacuation."""
    if environment.evacuated_at:
        return
    domain = environment.rng.choice(
        sorted({i.failure_domain for i in environment.instance_by_name.values()})
    )
    environment.store.put_json(f"op/evacuate/{domain}", {})
    environment.evacuated_at[domain] = time.monotonic()
    await asyncio.sleep(7.0)
    del environment.evacuated_at[domain]
    environment.store.delete(f"op/evacuate/{domain}")
