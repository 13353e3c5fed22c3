"""Entries that another writer may leave among those of the targets."""

from __future__ import annotations

import json

from lab.platform_documents import entry

DEPTH = 100_000  # far beyond any recursion limit
MANY_DIGITS = "9" * 5000


def _with(where: str, name: str, raw: str) -> bytes:
    """Return an entry in which a field has a value that is given as JSON text."""
    text = json.dumps(entry(where, **{name: "@"}))
    return text.replace('"@"', raw, 1).encode()


def odd_entries(where: str) -> dict[str, bytes]:
    """Return odd values by name; those that name an address name ``where``."""
    deep_list = "[" * DEPTH + "]" * DEPTH
    deep_object = '{"a":' * DEPTH + "1" + "}" * DEPTH
    plain = json.dumps(entry(where))
    host = where.rpartition(":")[0]
    return {
        "deep-list": f'{{"x":{deep_list},{plain[1:]}'.encode(),
        "deep-object": f'{{"x":{deep_object},{plain[1:]}'.encode(),
        "deep-cut-off": ('{"x":' + "[" * DEPTH).encode(),
        "deep-address": _with(where, "address", deep_list),
        "deep-info": plain.replace(json.dumps(entry(where)["info"]), deep_object).encode(),
        "born-float": _with(where, "born", "1e400"),
        "born-digits": _with(where, "born", MANY_DIGITS),
        "born-65-bits": _with(where, "born", str(2**64)),
        "born-negative": _with(where, "born", "-1"),
        "seq-65-bits": _with(where, "seq", str(2**64)),
        "seq-negative": _with(where, "seq", "-1"),
        "slots-digits": _with(where, "slots", MANY_DIGITS),
        "slots-65-bits": _with(where, "slots", str(2**64)),
        "slots-quintillion": _with(where, "slots", str(10**18)),
        "slots-float": _with(where, "slots", "1e300"),
        "slots-zero": _with(where, "slots", "0"),
        "cold-float": _with(where, "cold-left-s", "1e400"),
        "cold-largest": _with(where, "cold-left-s", "1e308"),
        "port-high": _with(where, "address", f'"{host}:70000"'),
        "port-zero": _with(where, "address", f'"{host}:0"'),
        "port-negative": _with(where, "address", f'"{host}:-1"'),
        "port-digits": _with(where, "address", f'"{host}:{MANY_DIGITS}"'),
        "port-superscript": _with(where, "address", f'"{host}:8²"'),
        "host-empty": _with(where, "address", '":80"'),
        "host-nul": _with(where, "address", '"a\\u0000b:80"'),
        "host-scope": _with(where, "address", '"[fe80::1%a\\u0000b]:80"'),
        "host-surrogate": _with(where, "address", '"\\ud800:80"'),
        "host-unspecified": _with(where, "address", '"0.0.0.0:80"'),
        "host-multicast": _with(where, "address", '"224.0.0.1:80"'),
        "zone-unknown": _with(where, "zone", '"nowhere"'),
        "state-unknown": _with(where, "state", '"asleep"'),
        "not-utf-8": b'{"address":"\xff"}',
        "empty": b"",
        "null": b"null",
        "not-a-number": b'{"x":NaN}',
        "id with space": plain.encode(),
        "id\r\nX-Smuggled: 1": plain.encode(),
        "id-\N{SNOWMAN}": plain.encode(),
        "": plain.encode(),
    }
