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
from cassiashore._internal.cli.operator_client import CallAnswer, InstanceClient, instance_client
from cassiashore._internal.cli.output import (
    EXIT_UNKNOWN,
    EXIT_USAGE,
    fail,
    format_table,
    print_json,
    progress,
    say,
)
from cassiashore._internal.exceptions import InvalidFileError

CHANGE_ID_BYTES = 8  # no two changes of a day share an id
REACH_POLL_SECONDS = 0.5  # a person waits
REACH_SECONDS = 12.0  # in which a change is in force everywhere
_EXIT_BY_VERDICT = {"conflict": 1, "rejected": 2, "unknown": EXIT_UNKNOWN}


class CatalogueCommands:
    """Show, compare and change the catalogue through an instance."""

    def __init__(self, instance: str, key_file: str) -> None:
        """Use the instance at IP:PORT, with the operator key in a file."""
        self._client = checked_client(instance, key_file)

    def show(self, json: bool = False) -> None:
        """Print the catalogue in force."""
        spec, version = fetch_catalogue(self._client)
        document = as_document(spec)
        if json:
            print_json({"version": version, "catalogue": document})
            return
        say(f"# version {version}")
        say(to_yaml(document))

    def diff(self, file: str, json: bool = False) -> None:
        """Compare a file with the catalogue in force; exit with 1 when they differ."""
        spec, version = fetch_catalogue(self._client)
        wanted = checked_catalogue(file)
        lines = list(
            difflib.unified_diff(
                to_yaml(as_document(spec)).splitlines(),
                to_yaml(as_document(wanted)).splitlines(),
                f"version {version}",
                file,
                lineterm="",
            )
        )
        if json:
            print_json({"version": version, "differs": bool(lines), "diff": lines})
        else:
            say("\n".join(lines) if lines else f"{file} is the same as version {version}")
        if lines:
            raise SystemExit(1)

    def apply(self, file: str, base: int | None = None, change: str = "") -> None:
        """Put a file in force; `base` is the version that it was made from."""
        spec = checked_catalogue(file)
        if base is None:
            base = current_version(self._client)
        publish_and_report(self._client, spec, base, change)

    def history(self, json: bool = False) -> None:
        """List the latest changes."""
        answer = checked_call(self._client, "GET", "/v1/catalogue/history")
        manifest = msgspec.convert(answer.value, Manifest | None)
        changes = manifest.changes if manifest else []
        if json:
            print_json(msgspec.to_builtins(changes))
            return
        rows = [
            [c.version, c.change_id, c.author, time.strftime("%F %TZ", time.gmtime(c.at))]
            for c in changes
        ]
        say(format_table(["version", "change", "author", "time"], rows))


def checked_client(instance: str, key_file: str | None) -> InstanceClient:
    """Build a client, or exit when an argument cannot be used."""
    try:
        return instance_client(instance, key_file)
    except (ValueError, OSError) as error:
        fail(str(error), EXIT_USAGE)


def checked_catalogue(file: str) -> CatalogueSpec:
    """Read a catalogue file, or exit with its faults."""
    try:
        return load_catalogue(file)
    except InvalidFileError as error:
        fail("\n".join(error.faults), EXIT_USAGE)


def checked_call(client: InstanceClient, method: str, path: str, body: bytes = b"") -> CallAnswer:
    """Call an instance, or exit when there is no answer or the key is refused."""
    answer = client.call(method, path, body)
    if isinstance(answer, Err):
        fail(answer.err_value, EXIT_UNKNOWN)
    if answer.ok_value.status == 401:
        fail(f"{client.address} refused the operator key")
    return answer.ok_value


def fetch_catalogue(client: InstanceClient) -> tuple[CatalogueSpec, int]:
    """Read the catalogue in force and its version."""
    answer = checked_call(client, "GET", "/v1/catalogue")
    if answer.value is None:
        fail(f"{client.address} has no catalogue in force")
    bundle = msgspec.convert(answer.value, Bundle, builtin_types=(bytes,), strict=False)
    opened = decode_spec(bundle)
    if isinstance(opened, Err):
        fail("\n".join(opened.err_value.faults))
    return opened.ok_value, bundle.manifest.version


def current_version(client: InstanceClient) -> int:
    """Return the version that stands in the store, 0 before the first."""
    answer = checked_call(client, "GET", "/v1/catalogue/history")
    if answer.status != 200:
        fail(f"the store does not answer: {answer.value['error']}", EXIT_UNKNOWN)
    return int(answer.value["version"]) if answer.value else 0


def as_document(spec: CatalogueSpec) -> dict[str, Any]:
    """Return a catalogue as plain values."""
    return spec.model_dump(mode="json", by_alias=True)


def to_yaml(document: dict[str, Any]) -> str:
    """Format a catalogue as YAML."""
    text: str = yaml.safe_dump(document, sort_keys=False, width=100)
    return text.rstrip()


def publish_and_report(
    client: InstanceClient, spec: CatalogueSpec, base: int, change: str = ""
) -> None:
    """Publish a change, say what became of it, and follow its reach."""
    change_id = change or secrets.token_hex(CHANGE_ID_BYTES)
    author = quote(getpass.getuser())
    path = f"/v1/catalogue?base={base}&change={quote(change_id)}&author={author}"
    progress(f"publishing change {change_id} on version {base}")
    body = spec.model_dump_json(by_alias=True).encode()
    answer = client.call("PUT", path, body)
    if isinstance(answer, Err):
        detail = f'look for change "{change_id}" in `cassiashore catalogue history`'
        fail(f"unknown: {answer.err_value}; {detail}", EXIT_UNKNOWN)
    report = answer.ok_value.value
    if answer.ok_value.status == 401:
        fail(f"{client.address} refused the operator key")
    verdict = report.get("verdict", "rejected")
    if verdict != "accepted":
        detail = report.get("detail") or report.get("error", "")
        fail(f"{verdict}: {detail}", _EXIT_BY_VERDICT.get(verdict, 1))
    version = int(report["version"])
    say(f"accepted: version {version}")
    _follow_reach(client, version)


def _follow_reach(client: InstanceClient, version: int) -> None:
    """Wait until every failure domain has the version, and name those that do not."""
    deadline = time.monotonic() + REACH_SECONDS
    behind: list[str] = []
    while time.monotonic() < deadline:
        reach = checked_call(client, "GET", "/v1/status").value["reach"]
        behind = sorted(n for n, r in reach.items() if (r["version"] or 0) < version)
        if not behind:
            say(f"in force in all {len(reach)} failure domains")
            return
        progress(f"waiting for {', '.join(behind)}")
        time.sleep(REACH_POLL_SECONDS)
    say(f"accepted, but not yet known to be in force in: {', '.join(behind)}")
