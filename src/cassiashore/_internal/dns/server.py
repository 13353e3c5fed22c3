"""Answers look-ups over DNS: UDP, address and service records, EDNS client subnet (RFC 7871).

The name of a service is ``NAME.services.``; ``A`` and ``AAAA`` records give the addresses of the
instances, and ``SRV`` records also their ports. Tickets are available over HTTP only.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from ipaddress import ip_address
from typing import cast

from dnslib import (
    AAAA,
    EDNS0,
    QTYPE,
    RCODE,
    RR,
    SRV,
    A,
    DNSError,
    DNSRecord,
    EDNSOption,
)

from cassiashore._internal.models.address import Address
from cassiashore._internal.routing.lookup import LookupAnswer, LookupInstance

logger = logging.getLogger(__name__)

ZONE_SUFFIX = "services"
CLIENT_SUBNET_OPTION = 8  # RFC 7871
MAX_QUERY_BYTES = 4096  # the usual EDNS buffer size
MAX_PLAIN_ANSWER_BYTES = 512  # without EDNS (RFC 1035)
SRV_PRIORITY_STEP = 10  # leaves room between priorities
_BITS_BY_FAMILY = {1: 32, 2: 128}

LookUp = Callable[[str, str], LookupAnswer | None]


class DnsServer(asyncio.DatagramProtocol):
    """Serves queries on one UDP socket."""

    def __init__(self, look_up: LookUp, is_ready: Callable[[], bool]) -> None:
        """Answer queries with ``look_up``; fail them while the instance is not ready."""
        self._look_up = look_up
        self._is_ready = is_ready
        self._transport: asyncio.DatagramTransport | None = None
        self.malformed = 0

    async def start(self, address: Address) -> None:
        """Listen; raise ``OSError`` when the address is in use."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.host, address.port))

    def stop(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer one query; malformed ones are counted and dropped."""
        answer = self.answer(data, addr[0])
        if answer is not None and self._transport is not None:
            self._transport.sendto(answer, addr)

    def answer(self, data: bytes, source: str) -> bytes | None:
        """Return the answer to a query, or None when the bytes are not a valid query."""
        if len(data) > MAX_QUERY_BYTES:
            self.malformed += 1
            return None
        try:
            query = DNSRecord.parse(data)
        except (DNSError, ValueError, IndexError, UnicodeError):
            self.malformed += 1
            return None
        if query.header.qr or len(query.questions) != 1:
            self.malformed += 1
            return None
        try:
            return _encode_within_limit(self._reply(query, source), query)
        except (DNSError, ValueError) as error:
            logger.warning("answering a DNS query failed: %s", error)
            return None

    def _reply(self, query: DNSRecord, source: str) -> DNSRecord:
        reply = query.reply()
        reply.header.aa = 1
        labels = [label.decode("latin-1").lower() for label in query.q.qname.label]
        subnet = client_subnet(query)
        client = subnet[0] if subnet else source
        if not self._is_ready():
            reply.header.rcode = RCODE.SERVFAIL
            return reply
        is_service_name = len(labels) == 2 and labels[1] == ZONE_SUFFIX
        result = self._look_up(labels[0], client) if is_service_name else None
        if result is None:
            reply.header.rcode = RCODE.NXDOMAIN
            return reply
        _add_records(reply, query, result)
        if subnet is not None:
            reply.add_ar(_echo_subnet(subnet[1]))
        return reply


def client_subnet(query: DNSRecord) -> tuple[str, bytes] | None:
    """Return the address in the EDNS client subnet option, and the option's data."""
    for record in query.ar:
        if record.rtype != QTYPE.OPT:
            continue
        for option in record.rdata:
            if option.code == CLIENT_SUBNET_OPTION:
                return _parse_subnet(bytes(option.data))
    return None


def _parse_subnet(data: bytes) -> tuple[str, bytes] | None:
    """Parse family, source prefix and address; return the zero-padded address and the data."""
    if len(data) < 4:
        return None
    bits = _BITS_BY_FAMILY.get(int.from_bytes(data[:2], "big"))
    prefix = data[2]
    if bits is None or prefix > bits or len(data) - 4 != (prefix + 7) // 8:
        return None
    raw = data[4:].ljust(bits // 8, b"\0")
    return str(ip_address(raw)), data


def _echo_subnet(data: bytes) -> RR:
    """Return the option for the reply; its scope is the source prefix, as no block is wider."""
    echoed = data[:3] + data[2:3] + data[4:]
    return EDNS0(opts=[EDNSOption(CLIENT_SUBNET_OPTION, echoed)])


def _add_records(reply: DNSRecord, query: DNSRecord, result: LookupAnswer) -> None:
    qtype = query.q.qtype
    for position, instance in enumerate(result.instances):
        address = Address.parse(instance.address)
        version = ip_address(address.host).version
        if qtype == QTYPE.SRV:
            _add_service_record(reply, query, result, instance, position)
        elif qtype == QTYPE.A and version == 4:
            reply.add_answer(
                RR(query.q.qname, QTYPE.A, ttl=result.ttl_seconds, rdata=A(address.host))
            )
        elif qtype == QTYPE.AAAA and version == 6:
            reply.add_answer(
                RR(query.q.qname, QTYPE.AAAA, ttl=result.ttl_seconds, rdata=AAAA(address.host))
            )


def _add_service_record(
    reply: DNSRecord,
    query: DNSRecord,
    result: LookupAnswer,
    instance: LookupInstance,
    position: int,
) -> None:
    address = Address.parse(instance.address)
    name = f"{instance.instance}.instances."
    priority = (position + 1) * SRV_PRIORITY_STEP
    record = SRV(priority, 0, address.port, name)
    reply.add_answer(RR(query.q.qname, QTYPE.SRV, ttl=result.ttl_seconds, rdata=record))
    is_v4 = ip_address(address.host).version == 4
    rdata = A(address.host) if is_v4 else AAAA(address.host)
    rtype = QTYPE.A if is_v4 else QTYPE.AAAA
    reply.add_ar(RR(name, rtype, ttl=result.ttl_seconds, rdata=rdata))


def _encode_within_limit(reply: DNSRecord, query: DNSRecord) -> bytes:
    """Encode the reply; if it is too long for the caller, encode an empty, truncated one."""
    limit = MAX_PLAIN_ANSWER_BYTES
    for record in query.ar:
        if record.rtype == QTYPE.OPT:
            limit = max(limit, min(record.edns_len, MAX_QUERY_BYTES))
    packed: bytes = reply.pack()
    if len(packed) <= limit:
        return packed
    truncated_reply = query.reply()
    truncated_reply.header.tc = 1
    truncated: bytes = truncated_reply.pack()
    return truncated
