"""Rate limits that targets name in their responses: decoding, log lines."""

from __future__ import annotations

import asyncio
import logging

import pytest
import uvloop
from result import Err, Ok

from cassiashore._internal.ingress.rate_limit_header import NamedRateLimit, named_rate_limit
from cassiashore._internal.net.http_client import Headers, ResponseHead
from cassiashore._internal.observability.logs import DECISION_LOGGER
from cassiashore.platform.wire import EDGE_HEADERS
from tests.lib.ingress import request, start_ingress, start_targets
from tests.lib.steering_builders import build_response, route, table

NAME = EDGE_HEADERS.rate_limit[0]


@pytest.mark.parametrize("value", [b"5", b"5.6", b"0", b"0.25", b"12.", b" 5.6 "])
def test_a_decimal_number_is_read(value: bytes) -> None:
    expected = NamedRateLimit(float(value), NAME.decode())
    assert named_rate_limit(ResponseHead(200, [(NAME, value)]), EDGE_HEADERS) == Ok(expected)


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"inf", b"1e3", b"5,6", b"0x5", b"5 6", b"9" * 40, b"\xff"]
)
def test_anything_else_is_an_error_that_quotes_the_value(value: bytes) -> None:
    outcome = named_rate_limit(ResponseHead(200, [(NAME, value)]), EDGE_HEADERS)
    assert isinstance(outcome, Err)
    assert len(outcome.err_value) < 200


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ([], None),
        ([(b"x-other", b"5")], None),
        ([(NAME, b"7"), (NAME, b"5")], NamedRateLimit(5.0, NAME.decode())),
    ],
)
def test_the_lowest_limit_counts(headers: Headers, expected: NamedRateLimit | None) -> None:
    assert named_rate_limit(ResponseHead(200, headers), EDGE_HEADERS) == Ok(expected)


def test_the_log_tells_when_a_target_names_and_drops_a_limit(
    caplog: pytest.LogCaptureFixture,
) -> None:
    high = b"900000.5"  # not reached by the requests of this test
    limits = [high, high, None, b"odd"]

    async def responds(_: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes) -> None:
        limit = limits.pop(0)
        extra = b"%b: %b\r\n" % (NAME, limit) if limit is not None else b""
        writer.write(build_response(head, extra=extra))

    async def test() -> None:
        ingress = await start_ingress(table(route()))
        await start_targets(ingress, responds)
        client = await ingress.open()
        for number in range(4):
            client.send(request(request_id=f"id-{number}"))
            assert (await client.receive())[0] == 200

    with caplog.at_level(logging.INFO, logger=DECISION_LOGGER):
        uvloop.run(test())
    lines = [record.fields for record in caplog.records if record.msg == "target-limit"]
    assert [(line["before"], line["requests_per_s"]) for line in lines] == [
        (None, 900000.5),
        (900000.5, None),
    ]
