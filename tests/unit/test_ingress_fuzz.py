"""Fuzzing of the ingress with malformed requests, from fixed seeds."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lib.ingress import request, start_ingress, start_targets
from tests.lib.steering_builders import build_response, header_of, route, table

IDLE_SECONDS = 0.3  # Time to wait for responses to malformed input.
STATUSES = {200, 400, 404, 408, 411, 413, 414, 431, 501, 503, 505}

heads = st.sampled_from(
    [
        b"GET /a/1 HTTP/1.1\r\n",
        b"POST /a/1 HTTP/1.1\r\n",
        b"GET /a/1 HTTP/1.0\r\n",
        b"GET  /a/1 HTTP/1.1\r\n",
        b"get /a/1 http/1.1\r\n",
        b"GET /a/\x00 HTTP/1.1\r\n",
    ]
)
fields = st.lists(
    st.sampled_from(
        [
            b"Host: shop.example\r\n",
            b"Host : shop.example\r\n",
            b"Content-Length: 3\r\n",
            b"Content-Length: 5\r\n",
            b"Content-Length: +3\r\n",
            b"Content-Length: 99999999999999999999\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: xchunked\r\n",
            b"Transfer-Encoding : chunked\r\n",
            b"X-Cassiashore-Request-Id: fuzz\r\n",
            b"X-Cassiashore-Deadline-Ms: -1\r\n",
            b" folded\r\n",
            b"Connection: close\r\n",
            b"\x80: x\r\n",
        ]
    ),
    max_size=6,
).map(b"".join)
bodies = st.one_of(
    st.binary(max_size=40),
    st.sampled_from([b"abc", b"3\r\nabc\r\n0\r\n\r\n", b"3;x\r\nabc\r\n0\r\n\r\n", b"-1\r\n"]),
)
messages = st.builds(lambda head, rest, body: head + rest + b"\r\n" + body, heads, fields, bodies)


async def _statuses(address: tuple[str, int], data: bytes) -> list[int]:
    """Send bytes and return the status of each response, which must be well-formed."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    writer.write_eof()
    received = b""
    try:
        async with asyncio.timeout(IDLE_SECONDS):
            while chunk := await reader.read(65_536):
                received += chunk
    except (TimeoutError, ConnectionError):
        pass
    finally:
        writer.close()
    statuses = []
    while received:
        head, separator, received = received.partition(b"\r\n\r\n")
        assert separator, head
        lines = head.split(b"\r\n")
        assert lines[0].startswith(b"HTTP/1.1 "), lines[0]
        statuses.append(int(lines[0].split(b" ")[1]))
        named = dict(line.lower().split(b": ", 1) for line in lines[1:])
        size = int(named.get(b"content-length", b"0"))
        assert len(received) >= size
        received = received[size:]
    return statuses


@settings(max_examples=60, derandomize=True, deadline=None)
@given(data=st.one_of(messages, st.lists(messages, min_size=2, max_size=3).map(b"".join)))
def test_any_input_gets_well_formed_responses_and_does_not_affect_other_callers(
    data: bytes,
) -> None:
    async def test() -> None:
        async def respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
        ) -> None:
            writer.write(build_response(head))

        ingress = await start_ingress(table(route()))
        (target,) = await start_targets(ingress, respond)
        statuses = await _statuses(ingress.address, data)
        assert set(statuses) <= STATUSES
        # Each request that reached the target was one of the sent ones, with its request id.
        assert {header_of(head, b"x-cassiashore-request-id") for head in target.heads} <= {b"fuzz"}
        assert statuses.count(200) <= len(target.heads) <= data.count(b" /a/1 HTTP/1.")
        assert (await ingress.ask(request(request_id="sound")))[0] == 200

    asyncio.run(test())
