"""Benchmark of packed store snapshots and of directory responses: ``scripts/bench feed``."""

from __future__ import annotations

import json
import random
import time

from cassiashore._internal.cli.output import format_table
from cassiashore._internal.mirror.instances import InstanceRecord, InstanceTable, encode_record
from cassiashore._internal.peers.messages import Identity, pack, unpack
from cassiashore._internal.steering.directory import instances_for_caller
from cassiashore._internal.store.events import Change, ChangeBatch, Snapshot

KEYS = (52, 278, 672, 5000)  # of the known deployments, and of a larger one
ROUNDS = 20  # of packing and unpacking, of which the mean is printed
FIRST_REVISION = 100  # of the entries
INSTANCES, DOMAINS, REGIONS = 1600, 56, 15  # the size to be supported
LOOKUPS = 20_000  # timed look-ups
# Look-ups between two starts, ends or load changes of instances: one every tenth of a second.
LOOKUPS_PER_CHANGE = 100


def _entry(number: int, rng: random.Random) -> Change:
    """Return the entry of a target, as it is on the platform of the users."""
    value = {
        "address": f"10.{rng.randrange(9)}.64.{rng.randrange(250)}:8166",
        "born": 1_783_524_230_000 + rng.randrange(100_000),
        "info": {"service": "cuxa29a", "version": "v1", "zone": "erie-a", "slots": 6},
        "status": {"state": "ready", "seq": rng.randrange(30), "cold-left-s": 0},
    }
    key = f"servers/i-{rng.getrandbits(40):010x}"
    return Change(key, FIRST_REVISION + number, json.dumps(value).encode())


def _milliseconds(seconds: float) -> float:
    return round(seconds / ROUNDS * 1000, 2)


def _responses_per_second() -> float:
    """Return the directory responses per CPU second with ``INSTANCES`` instances."""
    rng = random.Random(2)
    identities = [
        Identity(f"i{n}", f"run-{n}", f"d{n % DOMAINS}", f"10.0.{n % 250}.1:{8000 + n}", "")
        for n in range(INSTANCES)
    ]
    records = [
        InstanceRecord(identity, f"r{n % DOMAINS % REGIONS}", 600.0)
        for n, identity in enumerate(identities)
    ]
    instances = InstanceTable(records[0])
    for record in records:
        instances.apply_registration(record.identity.incarnation, encode_record(record))
    started_at = time.process_time()
    for number in range(LOOKUPS):
        if number % LOOKUPS_PER_CHANGE == 0:
            instances.apply_load("run-1", None)
        domain = number % DOMAINS
        active = instances.active_instances(without_own=False)
        region = f"r{domain % REGIONS}"
        instances_for_caller(region, f"d{domain}", frozenset(), active, lambda name: 0.0, rng)
    return LOOKUPS / (time.process_time() - started_at)


def main() -> None:
    """Print a row for a snapshot of each size, the size of two changes, and directory responses."""
    rng = random.Random(1)
    rows = []
    for count in KEYS:
        copy = Snapshot(FIRST_REVISION, [_entry(number, rng) for number in range(count)])
        started_at = time.process_time()
        for _ in range(ROUNDS):
            packed = pack(copy)
        packing = time.process_time() - started_at
        for _ in range(ROUNDS):
            unpack(packed, Snapshot)
        unpacking = time.process_time() - started_at - packing
        size = len(packed)
        rows.append(
            [count, size, round(size / count, 1), _milliseconds(packing), _milliseconds(unpacking)]
        )
    print(format_table(["keys", "bytes", "bytes a key", "pack ms", "unpack ms"], rows))
    batch = ChangeBatch(1, 2, [_entry(number, rng) for number in range(2)])
    print(f"two changes: {len(pack(batch))} bytes")
    print(
        f"directory answers with {INSTANCES} instances: {_responses_per_second():.0f} a core-second"
    )


if __name__ == "__main__":
    main()
