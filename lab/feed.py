"""Size and processor time of what instances pass on of the store: ``scripts/bench feed``."""

from __future__ import annotations

import json
import random
import time

from cassiashore._internal.cli.output import table
from cassiashore._internal.peers.messages import pack, unpack
from cassiashore._internal.store.events import Change, ChangeBatch, Snapshot

KEYS = (52, 278, 672, 5000)  # entries of the deployments at hand, and of a larger one
ROUNDS = 20
FIRST_REVISION = 100


def _entry(number: int, rng: random.Random) -> Change:
    """Return the entry of a target, as such entries are on the users' platform."""
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


def main() -> None:
    """Print a row for a copy of each size, and the size of a batch of two changes."""
    rng = random.Random(1)
    rows = []
    for count in KEYS:
        copy = Snapshot(FIRST_REVISION, [_entry(number, rng) for number in range(count)])
        begun = time.process_time()
        for _ in range(ROUNDS):
            packed = pack(copy)
        packing = time.process_time() - begun
        for _ in range(ROUNDS):
            unpack(packed, Snapshot)
        unpacking = time.process_time() - begun - packing
        size = len(packed)
        rows.append(
            [count, size, round(size / count, 1), _milliseconds(packing), _milliseconds(unpacking)]
        )
    print(table(["keys", "bytes", "bytes a key", "pack ms", "unpack ms"], rows))
    batch = ChangeBatch(1, 2, [_entry(number, rng) for number in range(2)])
    print(f"two changes: {len(pack(batch))} bytes")


if __name__ == "__main__":
    main()
