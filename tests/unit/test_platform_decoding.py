"""Decoding of the platform's wire: what is wrong is named and changes nothing."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from result import Err, Ok

from cassiashore._internal.exceptions import InvalidFileError
from cassiashore._internal.steering.routes import RequestKind, SplitPart
from cassiashore.platform.decoding import ConfigurationDecoder, decode_target
from cassiashore.platform.settings import decode_settings
from tests.lib import platform_builders as build

ZONES = {"erie-a": "erie", "huron-a": "huron"}


def decode_configuration(content: bytes) -> Any:
    return ConfigurationDecoder().decode(content)


def encoded(value: object) -> bytes:
    return json.dumps(value).encode()


def test_a_manifest_becomes_a_table_of_routes() -> None:
    split = [{"service": "stock", "weight": 90}, {"service": "orders", "weight": 10}]
    document = build.manifest(
        12, kind="unsafe", **{"traffic-split": split, "home-regions": ["erie"]}
    )
    decoded = decode_configuration(encoded(document))
    assert isinstance(decoded, Ok)
    table = decoded.ok_value
    route = table.match("shop.example", "/a/1")
    assert table.version == 12 and route is not None
    assert route.kind is RequestKind.NON_IDEMPOTENT
    assert route.parts == (SplitPart("stock", 90), SplitPart("orders", 10))
    assert (route.timeout, route.objective, route.max_attempts) == (2.5, 0.4, 2)
    assert table.home_regions_of("shop.example") == {"erie"}
    assert table.rule_by_service["stock"].cold_rate == 14.0
    assert table.limits.idle_seconds == 15


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"kind": "odd"}, 'unknown kind "odd"'),
        ({"service": "nowhere"}, 'unknown service "nowhere"'),
        ({"service": None}, "names no service"),
        ({"path-prefix": "a"}, 'prefix "a"'),
        ({"timeout-s": 0}, "no positive timeout"),
        ({"timeout-s": "soon"}, "timeout-s"),
        ({"max-attempts": 0}, "number of attempts"),
        ({"traffic-split": [{"service": "stock"}]}, "weight"),
    ],
)
def test_a_wrong_manifest_names_its_fault(changes: dict[str, Any], named: str) -> None:
    decoded = decode_configuration(encoded(build.manifest(**changes)))
    assert isinstance(decoded, Err) and named in decoded.err_value


def test_unchanged_routes_are_taken_over_and_checked_against_the_new_services() -> None:
    decoder = ConfigurationDecoder()
    first = decoder.decode(encoded(build.manifest(1))).unwrap()
    second = decoder.decode(encoded(build.manifest(2))).unwrap()
    assert second.match("shop.example", "/a/") is first.match("shop.example", "/a/")
    third = build.manifest(3)
    del third["services"]["stock"]
    assert isinstance(decoder.decode(encoded(third)), Err)
    fourth = decoder.decode(encoded(build.manifest(4, **{"timeout-s": 1}))).unwrap()
    assert fourth.match("shop.example", "/a/").timeout == 1


def test_an_entry_becomes_a_report() -> None:
    document = build.entry("10.0.0.1:80", state="draining", seq=4, **{"cold-left-s": 1.5})
    decoded = decode_target("i-1", encoded(document), ZONES)
    assert isinstance(decoded, Ok)
    report = decoded.ok_value
    assert report.is_draining and report.order == (1_700_000_000_000, 4)
    assert report.cold_seconds == 1.5 and report.failure_domain == "erie-a"


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "gone"},
        {"seq": "4"},
        {"slots": 0},
        {"slots": True},
        {"zone": "nowhere"},
        {"service": 7},
        {"born": 1.5},
        {"address": "nowhere"},
        {"address": None},
    ],
)
def test_a_wrong_entry_names_no_target(changes: dict[str, Any]) -> None:
    assert isinstance(decode_target("i", encoded(build.entry("10.0.0.1:80") | {}), ZONES), Ok)
    wrong = build.entry("10.0.0.1:80", **changes)
    assert isinstance(decode_target("i", encoded(wrong), ZONES), Err)


@seed(7)
@settings(max_examples=500, deadline=None, database=None)
@given(st.binary(max_size=300))
def test_bytes_that_cannot_be_read_are_faults(content: bytes) -> None:
    assert isinstance(decode_target("i", content, ZONES), Err)
    assert isinstance(decode_configuration(content), Err)


@seed(8)
@settings(max_examples=300, deadline=None, database=None)
@given(st.data())
def test_documents_with_any_field_of_another_type_never_raise(data: st.DataObject) -> None:
    odd = st.sampled_from([None, 1, -1, 1.5, "x", [], {}, True, [1], {"a": 1}])
    for document, decode in (
        (build.entry("10.0.0.1:80"), lambda c: decode_target("i", c, ZONES)),
        (build.manifest(), decode_configuration),
    ):
        places = [(document, key) for key in document]
        for value in document.values():
            if isinstance(value, dict):
                places += [(value, key) for key in value]
        place, key = data.draw(st.sampled_from(places))
        place[key] = data.draw(odd)
        assert isinstance(decode(encoded(document)), Ok | Err)  # type: ignore[no-untyped-call]


def test_wrong_settings_name_the_field() -> None:
    document = build.settings("127.0.0.1:1")
    document["self"]["zone"] = 5
    with pytest.raises(InvalidFileError, match=r"self\.zone"):
        decode_settings(encoded(document), "node.json")
