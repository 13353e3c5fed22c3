"""An unreachable or slow store, lost responses of the store, and concurrent operators."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from lab.client import Reply, call
from lab.deployment import Deployment, DeploymentOptions
from lab.processes import wait_until
from tests.lib import builders
from tests.lib.steps import get, in_domain, post, runs_of

APPLY_TIMEOUT_SECONDS = 12.0


@pytest.fixture(scope="module")
def running() -> Iterator[Deployment]:
    options = DeploymentOptions(instances_per_domain=2)
    with Deployment(builders.small_deployment_document(), options) as deployment:
        yield deployment


@pytest.fixture(autouse=True)
def healthy_store(running: Deployment) -> Iterator[None]:
    yield
    running.set_store_faults()
    wait_until(lambda: history_answers(running), APPLY_TIMEOUT_SECONDS)


def history_answers(running: Deployment) -> bool:
    reply = running.operate(running.any_running().name, "GET", "/v1/catalogue/history")
    return reply.status == 200


def catalogue_with_link_rate(running: Deployment, mbit: int) -> dict[str, Any]:
    return {**running.catalogue, "link_mbit": mbit}


def versions(running: Deployment) -> set[int]:
    return {running.status(instance.name)["version"] for instance in running.running()}


def test_an_accepted_change_is_applied_by_every_instance(running: Deployment) -> None:
    assert running.publish(catalogue_with_link_rate(running, 3_001)).status == 200
    assert wait_until(lambda: versions(running) == {running.version}, APPLY_TIMEOUT_SECONDS)


def test_one_of_several_concurrent_changes_wins_and_the_others_conflict(
    running: Deployment,
) -> None:
    base = running.version
    replies: list[Reply] = []

    def publish(mbit: int) -> None:
        name = list(running.instance_by_name)[mbit % 2]
        path = f"/v1/catalogue?base={base}&change=race-{base}-{mbit}&author=op{mbit}"
        body = json.dumps(catalogue_with_link_rate(running, mbit)).encode()
        replies.append(running.operate(name, "PUT", path, body))

    threads = [threading.Thread(target=publish, args=(3_100 + n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    verdicts = sorted(reply.json()["verdict"] for reply in replies)
    assert verdicts == ["accepted"] + ["conflict"] * 5
    running.version = base + 1
    assert wait_until(lambda: versions(running) == {base + 1}, APPLY_TIMEOUT_SECONDS)


def test_a_change_whose_response_was_lost_is_accepted_once(running: Deployment) -> None:
    base = running.version
    running.set_store_faults(lose_answers=1, lose_prefix="catalogue/manifest")
    reply = running.publish(catalogue_with_link_rate(running, 3_200))
    assert reply.json()["verdict"] == "accepted"
    assert running.version == base + 1
    name = running.any_running().name
    history = running.operate(name, "GET", "/v1/catalogue/history").json()
    assert [c["version"] for c in history["changes"]].count(base + 1) == 1


def test_while_the_store_is_unreachable_changes_are_rejected_and_requests_served(
    running: Deployment,
) -> None:
    running.set_store_faults(down=True)
    base = running.version
    reply = running.publish(catalogue_with_link_rate(running, 3_300))
    assert reply.json()["verdict"] == "rejected"
    for instance in running.running():
        assert get(instance, "/outage").outcome == "ran"
    assert versions(running) == {base}


def test_an_idempotency_key_is_not_reported_as_not_run_in_an_outage(running: Deployment) -> None:
    running.set_store_faults(down=True)
    headers = {"idempotency-key": "outage-key", "x-request-id": "outage-key"}
    reply = post(running.any_running(), b"pay", headers)
    assert (reply.status, reply.outcome) == (503, "unknown")
    assert runs_of(running, "outage-key") == 0
    running.set_store_faults()
    replies = [post(instance, b"pay", headers) for instance in running.running()]
    assert replies[0].outcome == "ran"
    assert runs_of(running, "outage-key") == 1


def test_a_claim_whose_response_was_lost_is_recognised(running: Deployment) -> None:
    headers = {"idempotency-key": "lost-claim", "x-request-id": "lost-claim"}
    first = running.any_running()
    post(first, b"warm", {"idempotency-key": "warm-up"})
    running.set_store_faults(lose_answers=1, lose_prefix="claims/")
    for instance in running.running():
        assert post(instance, b"pay", headers).outcome == "ran"
    assert runs_of(running, "lost-claim") == 1


def test_an_instance_started_in_an_outage_serves_the_newest_version(running: Deployment) -> None:
    running.publish(catalogue_with_link_rate(running, 3_400))
    assert wait_until(lambda: versions(running) == {running.version}, APPLY_TIMEOUT_SECONDS)
    running.set_store_faults(down=True)
    restarted = in_domain(running, "erie-b")[1]
    assert restarted.process is not None
    restarted.process.kill()
    running.start_instance(restarted.name)

    def serves() -> bool:
        try:
            return running.status(restarted.name)["version"] == running.version
        except OSError:
            return False

    assert wait_until(serves, APPLY_TIMEOUT_SECONDS)
    assert get(restarted, "/newborn").outcome == "ran"


def test_a_slow_store_does_not_slow_requests(running: Deployment) -> None:
    running.set_store_faults(delay_ms=800)
    for instance in running.running():
        started = time.monotonic()
        assert get(instance, "/slow").outcome == "ran"
        assert time.monotonic() - started < 0.8


def test_operator_calls_need_the_key(running: Deployment) -> None:
    address = running.any_running().address
    for method, path in (("GET", "/v1/status"), ("PUT", "/v1/catalogue?base=0")):
        assert call(address, method, path, b"{}").status == 401
