"""Targets that drain, shed, fail, report false health, or crash on a request."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

import pytest

from lab.client import Reply
from lab.deployment import Deployment, DeploymentOptions
from lab.processes import wait_until
from tests.lib import builders
from tests.lib.steps import (
    ERIE_CALLER,
    BackgroundLoad,
    get,
    in_domain,
    post,
    runs_of,
    set_all_targets,
    ticket_of,
    total,
)

DRAIN_SECONDS = 5.0
START_AGAIN_SECONDS = 5.0  # after a crash


@pytest.fixture(scope="module")
def running() -> Iterator[Deployment]:
    options = DeploymentOptions(instances_per_domain=1)
    with Deployment(builders.small_deployment_document(), options) as deployment:
        yield deployment


@pytest.fixture(autouse=True)
def healthy_targets(running: Deployment) -> Iterator[None]:
    yield
    set_all_targets(
        running,
        shed=False,
        error_share=0.0,
        draining=False,
        truncate=False,
        chunked=False,
        crash_on="",
        lose_on="",
        health_lies=False,
        service_ms=5.0,
    )
    time.sleep(0.8)


def all_targets_listen(running: Deployment) -> bool:
    try:
        running.all_counts()
    except OSError:
        return False
    return True


def started(running: Deployment, target: dict[str, Any]) -> int:
    count: int = running.target_counts(target["address"])["started"]
    return count


def assert_no_new_requests(running: Deployment, target: dict[str, Any]) -> None:
    """Wait for the time that a drain may take, then assert that no new request starts."""
    instances = in_domain(running, "erie-a")
    with BackgroundLoad(lambda n, t: get(instances[0], f"/{n}/{t}"), threads=4) as load:
        time.sleep(DRAIN_SECONDS)
        before = started(running, target)
        time.sleep(1.0)
        after = started(running, target)
    assert before == after
    assert {reply.outcome for reply in load.replies} == {"ran"}


def test_a_target_that_reports_draining_gets_no_new_requests(running: Deployment) -> None:
    target = running.targets("stock", "erie-a")[0]
    running.set_target(target["address"], draining=True)
    assert_no_new_requests(running, target)


def test_a_target_drained_by_operators_gets_no_new_requests(running: Deployment) -> None:
    target = running.targets("stock", "erie-a")[1]
    drains = [{"kind": "target", "name": target["name"], "service": "stock"}]
    assert running.publish({**running.catalogue, "drains": drains}).status == 200
    assert_no_new_requests(running, target)
    assert running.publish({**running.catalogue, "drains": []}).status == 200
    seen = started(running, target)
    entry = in_domain(running, "erie-a")[0]
    assert wait_until(
        lambda: get(entry, "/back").outcome == "ran" and started(running, target) > seen, 10.0
    )


def test_requests_to_a_draining_failure_domain_are_forwarded(running: Deployment) -> None:
    drains = [{"kind": "failure_domain", "name": "erie-a"}]
    assert running.publish({**running.catalogue, "drains": drains}).status == 200
    for target in running.targets("stock", "erie-a"):
        assert_no_new_requests(running, target)
    assert running.publish({**running.catalogue, "drains": []}).status == 200
    assert wait_until(running.all_targets_admitted, 15.0, 0.2)


def test_shed_requests_are_retried_on_other_targets(running: Deployment) -> None:
    for target in running.targets("stock", "erie-a"):
        running.set_target(target["address"], shed=True)
    entry = in_domain(running, "erie-a")[0]
    replies = [get(entry, f"/{n}") for n in range(10)]
    assert [reply.outcome for reply in replies].count("ran") >= 9


def test_a_request_refused_as_not_run_never_runs(running: Deployment) -> None:
    set_all_targets(running, shed=True)
    entry = in_domain(running, "erie-a")[0]
    headers = {"cassiashore-request-key": ticket_of(running, entry) + ".1"}
    headers["x-request-id"] = "refused"
    reply = post(entry, b"pay", headers)
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert "retry-after" in reply.headers
    set_all_targets(running, shed=False)
    time.sleep(2.5)
    again = post(entry, b"pay", headers)
    assert again.outcome == "not-run"
    assert runs_of(running, "refused") == 0


@pytest.mark.parametrize("chunked", [False, True])
def test_a_truncated_response_is_never_forwarded_as_complete(
    running: Deployment, chunked: bool
) -> None:
    set_all_targets(running, truncate=True, chunked=chunked)
    entry = in_domain(running, "erie-a")[0]
    for number in range(5):
        try:
            reply: Reply | None = get(entry, f"/{number}")
        except OSError:
            reply = None
        assert reply is None or reply.status >= 500


def test_a_failing_target_is_ejected_although_its_probe_reports_healthy(
    running: Deployment,
) -> None:
    bad = running.targets("stock", "erie-a")[0]
    running.set_target(bad["address"], error_share=1.0, health_lies=True)
    entry = in_domain(running, "erie-a")[0]
    statuses = [get(entry, f"/{number}").status for number in range(60)]
    assert statuses[-10:].count(500) <= 1
    assert statuses.count(500) <= 12


def test_a_request_that_crashes_targets_is_refused(running: Deployment) -> None:
    set_all_targets(running, crash_on="boom")
    crashes = total(running, "crashes")
    entries = running.running()
    outcomes = []
    for number in range(12):
        entry = entries[number % len(entries)]
        key = f"{ticket_of(running, entry)}.{number}"
        outcomes.append(post(entry, b"boom", {"cassiashore-request-key": key}))
    assert wait_until(lambda: all_targets_listen(running), START_AGAIN_SECONDS)
    hit = total(running, "crashes") - crashes
    assert hit <= 3
    assert {reply.reason for reply in outcomes[-6:]} == {"poisonous"}
    assert {get(entry, "/healthy").outcome for entry in entries} == {"ran"}


def test_requests_whose_answers_are_lost_are_not_refused(running: Deployment) -> None:
    """Lost answers counted as crashes, although the targets ran on."""
    set_all_targets(running, lose_on="lost")
    lost = total(running, "lost")
    entries = running.running()
    replies = []
    for number in range(12):
        entry = entries[number % len(entries)]
        key = f"{ticket_of(running, entry)}.lost-{number}"
        replies.append(post(entry, b"lost", {"cassiashore-request-key": key}))
    assert {reply.reason for reply in replies} == {"target-failed"}
    assert total(running, "lost") - lost == len(replies)


def test_slots_and_connections_hold_under_overload(running: Deployment) -> None:
    set_all_targets(running, service_ms=40)
    entries = running.running()
    with BackgroundLoad(lambda n, t: get(entries[n % 3], f"/{n}/{t}"), threads=60) as load:
        time.sleep(3.0)
    outcomes = {reply.outcome for reply in load.replies}
    assert outcomes <= {"ran", "not-run"}
    assert total(running, "over_slots") == 0


def test_a_callers_cancellation_reaches_the_target(running: Deployment) -> None:
    import socket

    set_all_targets(running, service_ms=900)
    entry = in_domain(running, "erie-a")[0]
    host, _, port = entry.address.rpartition(":")
    cancelled = total(running, "cancelled")
    with socket.create_connection((host, int(port)), source_address=(ERIE_CALLER, 0)) as caller:
        caller.sendall(b"GET /services/stock/slow HTTP/1.1\r\nhost: x\r\n\r\n")
        time.sleep(0.3)
    assert wait_until(lambda: total(running, "cancelled") > cancelled, 0.5)


def test_a_deadline_is_kept(running: Deployment) -> None:
    from lab.client import call

    set_all_targets(running, service_ms=900)
    entry = in_domain(running, "erie-a")[0]
    headers = {"cassiashore-deadline-ms": "200"}
    reply = call(entry.address, "GET", "/services/stock/x", None, headers, ERIE_CALLER)
    assert (reply.status, reply.outcome, reply.reason) == (504, "unknown", "deadline")
