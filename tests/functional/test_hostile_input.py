"""Malformed and hostile input from callers and peers."""

from __future__ import annotations

import os
import random
import socket
import struct
import threading
import time

import pytest

from lab.client import call
from lab.deployment import Deployment, InstanceHandle
from tests.lib.steps import get

HEAD_LIMIT_BYTES = 16_384


def send_raw(address: str, data: bytes, seconds: float = 8.0) -> bytes:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=seconds) as sock:
        sock.sendall(data)
        received = b""
        try:
            while chunk := sock.recv(65536):
                received += chunk
                if b"\r\n\r\n" in received:
                    break
        except (TimeoutError, ConnectionResetError):
            pass
        return received


def status(response: bytes) -> int:
    return int(response.split(b" ", 2)[1]) if response.startswith(b"HTTP/1.1 ") else 0


POST = b"POST /services/stock/x HTTP/1.1\r\nhost: a\r\n"

AMBIGUOUS_REQUESTS = {
    "two lengths": POST + b"content-length: 5\r\ncontent-length: 6\r\n\r\nhello",
    "the same length twice": POST + b"content-length: 5\r\ncontent-length: 5\r\n\r\nhello",
    "length and chunks": POST + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "two encodings": POST
    + b"transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n\r\n0\r\n\r\n",
    "unknown encoding": POST + b"transfer-encoding: gzip\r\n\r\n",
    "signed length": POST + b"content-length: +5\r\n\r\nhello",
    "list of lengths": POST + b"content-length: 5, 5\r\n\r\nhello",
    "space before colon": POST + b"content-length : 5\r\n\r\nhello",
    "bare line feed in value": POST + b"x: a\nb: c\r\n\r\n",
    "folded header": POST + b"x: a\r\n b\r\n\r\n",
    "no version": b"GET /services/stock/x\r\n\r\n",
    "garbage": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
}


@pytest.mark.parametrize("name", AMBIGUOUS_REQUESTS)
def test_ambiguous_requests_are_refused(deployment: Deployment, name: str) -> None:
    assert status(send_raw(deployment.any_running().address, AMBIGUOUS_REQUESTS[name])) == 400


def test_a_malformed_chunk_closes_the_connection_without_running_the_request(
    deployment: Deployment,
) -> None:
    data = POST + b"transfer-encoding: chunked\r\nx-request-id: broken\r\n\r\n5\r\nhello\r\nzz\r\n"
    response = send_raw(deployment.any_running().address, data)
    assert status(response) in (0, 400)
    assert all("broken" not in c["runs"] for c in deployment.all_counts().values())


def test_a_large_head_is_refused(deployment: Deployment) -> None:
    data = b"GET / HTTP/1.1\r\nx: " + b"a" * (2 * HEAD_LIMIT_BYTES) + b"\r\n\r\n"
    assert status(send_raw(deployment.any_running().address, data)) == 431


def test_a_large_body_is_refused_as_not_run(deployment: Deployment) -> None:
    data = POST + b"content-length: 99999999999\r\n\r\n"
    response = send_raw(deployment.any_running().address, data)
    assert status(response) == 413
    assert b"cassiashore-outcome: not-run" in response


def test_a_slow_request_head_times_out_without_affecting_other_requests(
    deployment: Deployment,
) -> None:
    entry = deployment.any_running()
    responses: list[bytes] = []
    threads = [
        threading.Thread(target=lambda: responses.append(send_raw(entry.address, b"GET / HT")))
        for _ in range(50)
    ]
    for thread in threads:
        thread.start()
    for number in range(20):
        assert get(entry, f"/{number}").outcome == "ran"
    for thread in threads:
        thread.join()
    assert {status(response) for response in responses} == {408}


def test_a_forged_hop_is_refused(deployment: Deployment) -> None:
    headers = {"cassiashore-hop": "execute;a;erie;erie-a;127.0.0.1;" + "0" * 32}
    reply = call(deployment.any_running().address, "GET", "/services/stock/x", None, headers)
    assert (reply.status, reply.reason) == (403, "hop-refused")


def test_a_malformed_request_key_is_refused(deployment: Deployment) -> None:
    headers = {"cassiashore-request-key": "not a key"}
    entry = deployment.any_running()
    reply = call(entry.address, "POST", "/services/orders/x", b"a", headers)
    assert (reply.status, reply.outcome, reply.reason) == (400, "not-run", "key-malformed")


def send_to_peer_port(instance: InstanceHandle, data: bytes) -> None:
    host, _, port = instance.peer_address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        try:
            sock.sendall(data)
            sock.settimeout(0.2)
            sock.recv(65536)
        except OSError:
            pass


def test_invalid_bytes_on_the_peer_port_do_no_harm(deployment: Deployment) -> None:
    entry = deployment.any_running()
    rng = random.Random(7)
    for _ in range(30):
        send_to_peer_port(entry, rng.randbytes(rng.randrange(1, 4000)))
    send_to_peer_port(entry, struct.pack(">I", 0xFFFFFFFF) + b"x" * 100)
    send_to_peer_port(entry, struct.pack(">I", 3) + b"\x93\x01\x01")
    assert get(entry, "/after-garbage").outcome == "ran"
    assert deployment.all_targets_admitted()


def test_invalid_bytes_on_the_dns_port_do_no_harm(deployment: Deployment) -> None:
    entry = deployment.any_running()
    host, _, port = entry.dns_address.rpartition(":")
    rng = random.Random(8)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(200):
            sock.sendto(rng.randbytes(rng.randrange(0, 600)), (host, int(port)))
    time.sleep(0.2)
    assert get(entry, "/after-garbage").outcome == "ran"


def test_dns_answers_with_the_instances_of_the_client_subnet(deployment: Deployment) -> None:
    from dnslib import EDNS0, DNSRecord, EDNSOption

    entry = deployment.any_running()
    query = DNSRecord.question("stock.services", "SRV")
    option = EDNSOption(8, b"\x00\x01\x18\x00" + bytes([127, 2, 9]))
    query.add_ar(EDNS0(udp_len=1232, opts=[option]))
    host, _, port = entry.dns_address.rpartition(":")
    response = DNSRecord.parse(query.send(host, int(port), timeout=3))
    names = [str(record.rdata.target) for record in response.rr]
    assert names[0].startswith("huron")
    assert {record.ttl for record in response.rr} == {1}
    missing = DNSRecord.question("nothing.services", "A")
    assert DNSRecord.parse(missing.send(host, int(port), timeout=3)).header.rcode == 3


def test_the_entry_process_has_no_child_and_no_io_uring(deployment: Deployment) -> None:
    process = deployment.any_running().process
    assert process is not None
    with open(f"/proc/{process.pid}/task/{process.pid}/children") as children:
        assert children.read().strip() == ""
    folder = f"/proc/{process.pid}/fd"
    links = [os.readlink(f"{folder}/{name}") for name in os.listdir(folder)]
    assert not [link for link in links if "io_uring" in link]
