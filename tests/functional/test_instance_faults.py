"""Killed, paused, restarted and stopped instances, with real processes."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator

import pytest

from lab.client import Reply, call
from lab.deployment import Deployment, DeploymentOptions
from lab.processes import wait_until
from tests.lib import builders
from tests.lib.steps import (
    HURON_CALLER,
    BackgroundLoad,
    get,
    held_by,
    in_domain,
    post,
    runs_of,
    ticket_of,
    total,
)

TAKEOVER_TIMEOUT_SECONDS = 8.0
PAUSE_SECONDS = 2.5


@pytest.fixture
def running() -> Iterator[Deployment]:
    options = DeploymentOptions(instances_per_domain=2, behaviour={"service_ms": 20})
    with Deployment(builders.small_deployment_document(), options) as deployment:
        yield deployment


def domain_targets(deployment: Deployment, domain: str) -> set[str]:
    return {
        f"{service['name']}/{target['name']}"
        for service in deployment.catalogue["services"]
        for target in service["targets"]
        if target["failure_domain"] == domain
    }


def assert_all_ran(replies: list[Reply]) -> None:
    """Assert that every request ran; show the reasons, needed to debug a rare refusal."""
    counts = Counter((reply.outcome, reply.reason) for reply in replies)
    assert set(counts) == {("ran", "")}, counts


def test_a_killed_instances_targets_are_taken_over(running: Deployment) -> None:
    survivor, victim = in_domain(running, "erie-a")
    assert victim.process is not None
    with BackgroundLoad(lambda n, t: get(survivor, f"/{n}/{t}"), threads=8) as load:
        victim.process.kill()
        wanted = domain_targets(running, "erie-a")
        assert wait_until(
            lambda: set(held_by(running, survivor)) == wanted, TAKEOVER_TIMEOUT_SECONDS
        )
        time.sleep(1.5)
    assert_all_ran(load.replies)
    assert total(running, "over_slots") == 0


def test_a_restarted_instance_shares_the_targets_again(running: Deployment) -> None:
    survivor, victim = in_domain(running, "erie-a")
    assert victim.process is not None
    with BackgroundLoad(lambda n, t: get(survivor, f"/{n}/{t}"), threads=8) as load:
        victim.process.kill()
        running.start_instance(victim.name)
        assert wait_until(running.all_targets_admitted, 2 * TAKEOVER_TIMEOUT_SECONDS, 0.2)
    assert_all_ran(load.replies)
    assert total(running, "over_slots") == 0


def test_a_paused_instance_keeps_its_targets_while_it_is_listed(running: Deployment) -> None:
    survivor, paused = in_domain(running, "erie-a")
    assert paused.process is not None
    held = set(held_by(running, paused))
    paused.process.pause()
    try:
        time.sleep(6.0)
        assert not held & set(held_by(running, survivor))
        members = running.status(survivor.name)["members"]
        state_by_name = {member["instance"]: member["state"] for member in members}
        assert state_by_name[paused.name] == "suspected"
        assert get(survivor, "/while-paused").outcome == "ran"
    finally:
        paused.process.resume()
    assert wait_until(running.all_targets_admitted, TAKEOVER_TIMEOUT_SECONDS, 0.2)
    metrics = call(paused.address, "GET", "/metrics").body.decode()
    assert "cassiashore_pauses_total 1.0" in metrics


def test_slots_hold_when_a_paused_and_unlisted_instance_comes_back(running: Deployment) -> None:
    survivor, paused = in_domain(running, "erie-a")
    assert paused.process is not None
    others = [survivor, paused]
    held = set(held_by(running, paused))

    def send(number: int, turn: int) -> Reply:
        return get(others[number % 2], f"/{number}/{turn}")

    with BackgroundLoad(send, threads=16):
        paused.process.pause()
        del running.instance_by_name[paused.name]
        running.list_instances()
        assert wait_until(
            lambda: held <= set(held_by(running, survivor)), 2 * TAKEOVER_TIMEOUT_SECONDS
        )
        time.sleep(1.5)
        running.instance_by_name[paused.name] = paused
        paused.process.resume()
        running.list_instances()
        assert wait_until(running.all_targets_admitted, 2 * TAKEOVER_TIMEOUT_SECONDS, 0.2)
        time.sleep(1.0)
    assert total(running, "over_slots") == 0


def test_a_key_of_a_dead_instance_is_never_run_again(running: Deployment) -> None:
    survivor, victim = in_domain(running, "erie-a")
    assert victim.process is not None
    headers = {"cassiashore-request-key": ticket_of(running, victim) + ".1"}
    headers["x-request-id"] = "orphan"
    victim.process.kill()
    reply = post(survivor, b"pay", headers)
    assert (reply.outcome, reply.reason) in {
        ("unknown", "owner-gone"),
        ("unknown", "peer-unreachable"),
    }
    running.start_instance(victim.name)
    assert wait_until(running.all_targets_admitted, 2 * TAKEOVER_TIMEOUT_SECONDS, 0.2)
    assert post(victim, b"pay", headers).outcome == "unknown"
    assert runs_of(running, "orphan") == 0


def test_a_retry_elsewhere_while_the_owner_is_paused_runs_at_most_once(
    running: Deployment,
) -> None:
    survivor, owner = in_domain(running, "erie-a")
    assert owner.process is not None
    headers = {"cassiashore-request-key": ticket_of(running, owner) + ".1"}
    headers["x-request-id"] = "paused-owner"
    owner.process.pause()
    try:
        first = post(survivor, b"pay", headers)
        assert first.outcome == "unknown"
    finally:
        owner.process.resume()
    assert wait_until(running.all_targets_admitted, TAKEOVER_TIMEOUT_SECONDS, 0.2)
    second = post(survivor, b"pay", headers)
    assert second.outcome in {"ran", "unknown"}
    assert runs_of(running, "paused-owner") <= 1


def test_a_region_keeps_serving_while_the_rest_and_the_store_are_unreachable(
    running: Deployment,
) -> None:
    assert running.store is not None
    remote = in_domain(running, "huron-a")
    silent = [i for i in running.instance_by_name.values() if i not in remote]
    processes = [i.process for i in silent if i.process is not None] + [running.store]
    for process in processes:
        process.pause()
    try:
        time.sleep(8.0)
        for number in range(20):
            for instance in remote:
                reply = get(instance, f"/{number}", source=HURON_CALLER)
                assert reply.outcome == "ran"
        lookup = call(remote[0].address, "GET", "/v1/lookup/stock", source=HURON_CALLER).json()
        names = {x["instance"] for x in lookup["instances"]}
        assert names <= {instance.name for instance in remote}
    finally:
        for process in processes:
            process.resume()


def test_a_planned_stop_cuts_off_nothing(running: Deployment) -> None:
    leaver = in_domain(running, "erie-a")[1]
    assert leaver.process is not None
    for target in running.targets("stock"):
        running.set_target(target["address"], service_ms=600)
    with BackgroundLoad(lambda n, t: get(leaver, f"/{n}/{t}"), threads=6) as load:
        time.sleep(0.8)
        leaver.process.terminate()
        assert leaver.process.wait() == 0
        before = len(load.replies)
    assert before >= 6
    assert_all_ran(load.replies)
    refused = [error for error in load.errors if "refused" not in error]
    assert refused == []
    lines = (running.folder / f"{leaver.name}.log").read_text()
    assert "cuts off" not in lines
