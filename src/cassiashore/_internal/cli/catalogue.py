"""``cassiashore catalogue``: shows, compares and changes the catalogue."""

from __future__ import annotations

import difflib
import getpass
import secrets
import time
from typing import Any
from urllib.parse import quote

import msgspec
import yaml
from result import Err

from cassiashore._internal.catalogue.bundle import decode_spec
from cassiashore._internal.catalogue.manifest import Bundle, Manifest
from cassiashore._internal.catalogue.schema import CatalogueSpec
from cassiashore._internal.cli.check import load_catalogue
from cassiashore._internal.cli.operator_client import CallResponse, InstanceClient, instance_client
from cassiashore._internal.cli.output import (
    EXIT_UNKNOWN,
    EXIT_USAGE,
    fail,
    format_table,
    print_json,
    print_line,
    print_progress,
)
from cassiashore._internal.exceptions import InvalidFileError

CHANGE_ID_BYTES = 8  # so many that no two changes of a day share an id
ROLLOUT_POLL_SECONDS = 0.5  # short, since a person is waiting
ROLLOUT_TIMEOUT_SECONDS = 12.0  # usually enough for a change to be in force everywhere
_EXIT_CODE_BY_VERDICT = {"conflict": 1, "rejected": 2, "unknown": EXIT_UNKNOWN}


class CatalogueCommands:
    """Show, compare and change the catalogue through an instance."""

    def __init__(self, instance: str, key_file: str) -> None:
        """Call the instance at IP:PORT, with the operator key from a file."""
        self._client = client_or_exit(instance, key_file)

    def show(self, json: bool = False) -> None:
        """Print the catalogue in force."""
        spec, version = fetch_catalogue(self._client)
        document = to_document(spec)
        if json:
            print_json({"version": version, "catalogue": document})
            return
        print_line(f"# version {version}")
        print_line(to_yaml(document))

    def diff(self, file: str, json: bool = False) -> None:
        """Compare a file with the catalogue in force; exit with 1 when they differ."""
        spec, version = fetch_catalogue(self._client)
        wanted = catalogue_or_exit(file)
        lines = list(
            difflib.unified_diff(
                to_yaml(to_document(spec)).splitlines(),
                to_yaml(to_document(wanted)).splitlines(),
                f"version {version}",
                file,
                lineterm="",
            )
        )
        if json:
            print_json({"version": version, "differs": bool(lines), "diff": lines})
        else:
            print_line("\n".join(lines) if lines else f"{file} is the same as version {version}")
        if lines:
            raise SystemExit(1)

    def apply(self, file: str, base: int | None = None, change: str = "") -> None:
        """Publish a file; `base` is the version that it was made from."""
        spec = catalogue_or_exit(file)
        if base is None:
            base = fetch_stored_version(self._client)
        publish_and_report(self._client, spec, base, change)

    def history(self, json: bool = False) -> None:
        """List the latest changes."""
        response = call_or_exit(self._client, "GET", "/v1/catalogue/history")
        manifest = msgspec.convert(response.value, Manifest | None)
        changes = manifest.changes if manifest else []
        if json:
            print_json(msgspec.to_builtins(changes))
            return
        rows = [
            [c.version, c.change_id, c.author, time.strftime("%F %TZ", time.gmtime(c.at))]
            for c in changes
        ]
        print_line(format_table(["version", "change", "author", "time"], rows))


def client_or_exit(instance: str, key_file: str | None) -> InstanceClient:
    """Build a client; exit when an argument is invalid."""
    try:
        return instance_client(instance, key_file)
    except (ValueError, OSError) as error:
        fail(str(error), EXIT_USAGE)


def catalogue_or_exit(file: str) -> CatalogueSpec:
    """Read a catalogue file; print its faults and exit when it is invalid."""
    try:
        return load_catalogue(file)
    except InvalidFileError as error:
        fail("\n".join(error.faults), EXIT_USAGE)


def call_or_exit(client: InstanceClient, method: str, path: str, body: bytes = b"") -> CallResponse:
    """Call an instance; exit when it does not respond or refuses the key."""
    response = client.call(method, path, body)
    if isinstance(response, Err):
        fail(response.err_value, EXIT_UNKNOWN)
    if response.ok_value.status == 401:
        fail(f"{client.address} refused the operator key")
    return response.ok_value


def fetch_catalogue(client: InstanceClient) -> tuple[CatalogueSpec, int]:
    """Fetch the catalogue in force and its version."""
    response = call_or_exit(client, "GET", "/v1/catalogue")
    if response.value is None:
        fail(f"{client.address} has no catalogue in force")
    bundle = msgspec.convert(response.value, Bundle, builtin_types=(bytes,), strict=False)
    opened = decode_spec(bundle)
    if isinstance(opened, Err):
        fail("\n".join(opened.err_value.faults))
    return opened.ok_value, bundle.manifest.version


def fetch_stored_version(client: InstanceClient) -> int:
    """Fetch the latest version in the store; 0 if there is none yet."""
    response = call_or_exit(client, "GET", "/v1/catalogue/history")
    if response.status != 200:
        fail(f"the store does not answer: {response.value['error']}", EXIT_UNKNOWN)
    return int(response.value["version"]) if response.value else 0


def to_document(spec: CatalogueSpec) -> dict[str, Any]:
    """Convert a catalogue to plain values."""
    return spec.model_dump(mode="json", by_alias=True)


def to_yaml(document: dict[str, Any]) -> str:
    """Format a catalogue as YAML."""
    text: str = yaml.safe_dump(document, sort_keys=False, width=100)
    return text.rstrip()


def publish_and_report(
    client: InstanceClient, spec: CatalogueSpec, base: int, change: str = ""
) -> None:
    """Publish a change, print the result, and wait until it is in force everywhere."""
    change_id = change or secrets.token_hex(CHANGE_ID_BYTES)
    author = quote(getpass.getuser())
    path = f"/v1/catalogue?base={base}&change={quote(change_id)}&author={author}"
    print_progress(f"publishing change {change_id} on version {base}")
    body = spec.model_dump_json(by_alias=True).encode()
    response = client.call("PUT", path, body)
    if isinstance(response, Err):
        detail = f'look for change "{change_id}" in `cassiashore catalogue history`'
        fail(f"unknown: {response.err_value}; {detail}", EXIT_UNKNOWN)
    report = response.ok_value.value
    if response.ok_value.status == 401:
        fail(f"{client.address} refused the operator key")
    verdict = report.get("verdict", "rejected")
    if verdict != "accepted":
        detail = report.get("detail") or report.get("error", "")
        fail(f"{verdict}: {detail}", _EXIT_CODE_BY_VERDICT.get(verdict, 1))
    version = int(report["version"])
    print_line(f"accepted: version {version}")
    _wait_for_rollout(client, version)


def _wait_for_rollout(client: InstanceClient, version: int) -> None:
    """Wait until every failure domain has the version; print those that do not in time."""
    deadline = time.monotonic() + ROLLOUT_TIMEOUT_SECONDS
    behind: list[str] = []
    while time.monotonic() < deadline:
        reach = call_or_exit(client, "GET", "/v1/status").value["reach"]
        behind = sorted(n for n, r in reach.items() if (r["version"] or 0) < version)
        if not behind:
            print_line(f"in force in all {len(reach)} failure domains")
            return
        print_progress(f"waiting for {', '.join(behind)}")
        time.sleep(ROLLOUT_POLL_SECONDS)
    print_line(f"accepted, but not yet known to be in force in: {', '.join(behind)}")
