"""Catalogue versions: bundles, activation, and the regions of client addresses."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import ValidationError

from cassiashore._internal.catalogue.bundle import decode_bundle, make_bundle
from cassiashore._internal.catalogue.manifest import Bundle
from cassiashore._internal.catalogue.versioned import VersionedCatalogue
from cassiashore._internal.peers import messages
from tests.lib import builders


def bundle(version: int, mbit: int = 4000) -> Bundle:
    return make_bundle(builders.spec(link_mbit=mbit), version, f"change-{version}", "op")


def test_an_older_version_is_not_activated() -> None:
    versioned_catalogue = VersionedCatalogue()
    assert versioned_catalogue.activate(bundle(3)).ok_value is True
    assert versioned_catalogue.activate(bundle(2)).ok_value is False
    assert versioned_catalogue.activate(bundle(3, mbit=5)).ok_value is False
    assert versioned_catalogue.version == 3


def test_a_version_with_a_missing_or_changed_part_is_rejected() -> None:
    versioned_catalogue = VersionedCatalogue()
    versioned_catalogue.activate(bundle(1))
    valid = bundle(2, mbit=5)
    digest = valid.manifest.parts["base"]
    missing = Bundle(valid.manifest, {k: v for k, v in valid.part_by_digest.items() if k != digest})
    changed = Bundle(valid.manifest, {**valid.part_by_digest, digest: b"{}"})
    for invalid in (missing, changed):
        assert versioned_catalogue.activate(invalid).is_err()
        assert versioned_catalogue.version == 1
    assert versioned_catalogue.activate(valid).ok_value is True


def test_parts_keep_their_digest_when_another_part_changes() -> None:
    first, second = bundle(1).manifest.parts, bundle(2, mbit=5).manifest.parts
    assert first["service/orders"] == second["service/orders"]
    assert first["base"] != second["base"]


def test_a_decoded_bundle_gives_the_same_catalogue() -> None:
    decoded = decode_bundle(bundle(1)).ok_value
    assert decoded is not None
    assert decoded.service_by_name["orders"].target_by_name["a1"].slots == 3


@pytest.mark.parametrize(
    "changes",
    [
        {"drains": [{"kind": "target", "name": "a1"}]},
        {"drains": [{"kind": "failure_domain", "name": "nowhere"}]},
        {"networks": [{"cidr": "127.1.0.1/16", "region": "erie"}]},
        {"services": [builders.service_document(limits={"max_deadline_ms": 1})]},
    ],
)
def test_an_invalid_catalogue_is_rejected(changes: dict[str, object]) -> None:
    with pytest.raises(ValidationError):
        builders.spec(**changes)


def test_the_innermost_network_gives_the_region() -> None:
    catalogue = builders.catalogue(
        networks=[
            {"cidr": "10.0.0.0/8", "region": "erie"},
            {"cidr": "10.9.0.0/16", "region": "huron"},
        ]
    )
    assert catalogue.region_of_client("10.9.1.1") == "huron"
    assert catalogue.region_of_client("10.10.1.1") == "erie"
    assert catalogue.region_of_client("11.0.0.1") is None


@given(st.binary(max_size=400))
def test_the_message_decoder_accepts_or_rejects_any_bytes(payload: bytes) -> None:
    try:
        message = messages.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return
    assert messages.decode(messages.encode(message)) == message
