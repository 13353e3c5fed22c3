"""Odd values that another writer leaves in the store: instances skip them and follow the rest."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import pytest

from lab.client import call
from lab.deployment import Deployment
from lab.processes import wait_until as wait_until_true
from tests.functional.test_platform_node import (
    filled_store,
    request_front,
    respond_at_once,
    run,
)
from tests.lib.ingress import request
from tests.lib.odd_entries import odd_entries
from tests.lib.platform_builders import manifest, running_node, settings, wait_until
from tests.lib.steering_builders import FakeTarget
from tests.lib.steps import get, in_domain

REQUESTS = 20
START_TIMEOUT_SECONDS = 20.0


def test_odd_entries_among_the_targets_are_skipped(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Deep ones raised, too large numbers drew all requests, an id could end its header line."""

    async def test() -> None:
        store, address, _ = await filled_store()
        odd_target = await FakeTarget(respond_at_once).start()
        odd = odd_entries(odd_target.address)
        for name, value in odd.items():
            store.put(f"servers/{name}", value)
        async with running_node(tmp_path, settings(address)) as node:
            for name, value in odd.items():
                store.put(f"servers/{name}", b"")
                store.put(f"servers/{name}", value)
            store.put_json("op/config", manifest(5))
            await wait_until(lambda: node.forwarder.table and node.forwarder.table.version == 5)
            assert list(node.registry.target_by_id) == ["i-1"]
            for number in range(REQUESTS):
                data = request(f"/a/{number}", request_id=f"id-{number}", key=f"{number}")
                assert await request_front(node, data) == 200
            assert not node.tasks.has_failed
        assert odd_target.heads == []

    with caplog.at_level(logging.WARNING):
        run(test)
    assert not [record.exc_info for record in caplog.records if record.exc_info]
    ignored = [record for record in caplog.records if "ignored" in record.getMessage()]
    assert len(ignored) >= 2 * len(odd_entries("127.0.0.1:1"))


@pytest.mark.parametrize(
    "key",
    [
        "op/config",
        "op/evacuate/nowhere",
        "cassiashore/instances/other",
        "cassiashore/load/other",
        "cassiashore/balance/erie",
        "cassiashore/losses/other",
        "elsewhere/key",
    ],
)
def test_odd_values_under_any_key_are_skipped(
    key: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        store, address, _ = await filled_store()
        deep_array = b"\x91" * 100_000 + b"\xc0"
        values = [*odd_entries("127.0.0.1:1").values(), deep_array, b"\x94" + deep_array]
        async with running_node(tmp_path, settings(address)) as node:
            for value in values:
                store.put(key, value)
            await asyncio.sleep(0)
            store.put_json("op/config", manifest(5))
            await wait_until(lambda: node.forwarder.table and node.forwarder.table.version == 5)
            assert await request_front(node, request()) == 200
            assert not node.tasks.has_failed

    with caplog.at_level(logging.WARNING):
        run(test)
    assert not [record.exc_info for record in caplog.records if record.exc_info]


@pytest.mark.parametrize("name", ["deep-list", "born-float", "port-high", "empty", "not-utf-8"])
def test_odd_registrations_do_not_end_an_instance_of_the_daemon(
    name: str, deployment: Deployment
) -> None:
    """Each start of an instance read the entry again, and ended."""
    value = odd_entries("127.0.0.1:1")[name]
    path = f"/v1/kv/instances/erie-a/odd-{name}?expected=0"
    assert call(deployment.store_address, "PUT", path, value).status == 200
    started = in_domain(deployment, "erie-a")[0]
    assert started.process is not None
    started.process.kill()
    deployment.start_instance(started.name)
    deployment.wait_listening()
    log = deployment.folder / f"{started.name}.log"
    assert wait_until_true(lambda: f"odd-{name}" in log.read_text(), START_TIMEOUT_SECONDS)
    assert wait_until_true(
        lambda: get(started, "/after-start").outcome == "ran", START_TIMEOUT_SECONDS
    )
    assert "a task failed" not in log.read_text()
