"""Requests and look-ups through real processes, without faults."""

from __future__ import annotations

import json

from lab.client import call
from lab.deployment import Deployment
from lab.processes import wait_until

ERIE_CALLER = "127.1.0.1"
HURON_CALLER = "127.2.0.1"


def test_lookup_names_instances_of_the_callers_region(deployment: Deployment) -> None:
    entry = deployment.any_running()
    for caller, region in ((ERIE_CALLER, "erie"), (HURON_CALLER, "huron")):
        found = call(entry.address, "GET", "/v1/lookup/stock", source=caller).json()
        assert found["region"] == region
        assert found["instances"][0]["region"] == region


def test_the_response_of_a_target_is_returned(deployment: Deployment) -> None:
    entry = deployment.any_running()
    reply = call(entry.address, "GET", "/services/stock/a/b?c=d", source=ERIE_CALLER)
    assert (reply.status, reply.outcome) == (200, "ran")
    assert reply.json()["path"] == "/a/b"


def test_each_routing_decision_is_logged_with_its_candidates(deployment: Deployment) -> None:
    entry = deployment.any_running()
    assert call(entry.address, "GET", "/services/stock/log", source=ERIE_CALLER).status == 200
    log = deployment.folder / f"{entry.name}.log"

    def decisions() -> list[dict[str, object]]:
        lines = [json.loads(line) for line in log.read_text().splitlines()]
        return [line for line in lines if line["event"] == "route"]

    assert wait_until(lambda: len(decisions()) > 0, 5.0)
    last = decisions()[-1]
    assert last["place"] in list(last["candidates"])  # type: ignore[call-overload]
    assert last["version"] == deployment.version


def test_a_large_body_streams_to_the_target(deployment: Deployment) -> None:
    entry = deployment.any_running()
    body = b"x" * 1_000_000
    reply = call(entry.address, "POST", "/services/stock/up", body, source=ERIE_CALLER)
    assert (reply.status, reply.outcome) == (200, "ran")


def test_an_unknown_service_is_refused_as_not_run(deployment: Deployment) -> None:
    reply = call(deployment.any_running().address, "GET", "/services/nothing/")
    assert (reply.status, reply.outcome, reply.reason) == (404, "not-run", "unknown-service")


def test_a_retry_through_any_instance_returns_the_first_answer(deployment: Deployment) -> None:
    entry = deployment.any_running()
    ticket = call(entry.address, "GET", "/v1/lookup/orders", source=ERIE_CALLER).json()[
        "instances"
    ][0]["ticket"]
    headers = {"cassiashore-request-key": f"{ticket}.1", "x-request-id": "resend"}
    for instance in deployment.running():
        reply = call(
            instance.address, "POST", "/services/orders/p", b"pay", headers, source=ERIE_CALLER
        )
        assert (reply.status, reply.outcome) == (200, "ran")
    runs = [counts["runs"].get("resend", 0) for counts in deployment.all_counts().values()]
    assert sum(runs) == 1


def test_a_callers_idempotency_key_runs_once_through_any_instance(deployment: Deployment) -> None:
    headers = {"idempotency-key": "order-7", "x-request-id": "claimed"}
    for instance in deployment.running():
        reply = call(
            instance.address, "POST", "/services/orders/p", b"pay", headers, source=ERIE_CALLER
        )
        assert (reply.status, reply.outcome) == (200, "ran")
    runs = [counts["runs"].get("claimed", 0) for counts in deployment.all_counts().values()]
    assert sum(runs) == 1
