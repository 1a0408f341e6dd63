"""Measures what at-most-once claims cost, in batches and with one write a call.

Run `python -m godwitpass_testkit.experiments.claims --output claims.json`. Latencies and counts
are of virtual time and repeat exactly; the rows named `lookup` are of the processor's time.
"""

import argparse
import random
import time
from functools import partial
from pathlib import Path

from godwitpass.errors import StoreUnavailable
from godwitpass.ids import Address, Revision
from godwitpass.internal.claims.keys import DIGEST_BYTES, Digest
from godwitpass.internal.claims.messages import ClaimOutcome
from godwitpass.internal.claims.segment import Row as SegmentRow
from godwitpass.internal.claims.segment import SegmentReference, build_segment
from godwitpass.internal.claims.table import HEAD_FORMAT, MAX_SEGMENT_ROWS, Head, ShardTable
from godwitpass_testkit.experiments.claims_simulation import ClaimsSimulation
from godwitpass_testkit.measurements import Param, Row, write_rows
from godwitpass_testkit.store import Faults, StoreState

DAEMONS = 12
RATES_PER_S = (1, 10, 30, 100, 300, 1000, 3000)
DURATION_S = 10.0
STORE_DELAY_S = 0.005
WRITES_PER_S = 100.0
BURST_WRITES = 100
LOOKUP_ROWS = (10_000, 100_000, 225_000)
LOOKUPS = 2_000


def measure_batched(rate: int, seed: int) -> list[Row]:
    """Let callers claim `rate` new keys a second over all daemons."""
    addresses = [Address(f"10.0.{n % 3}.{n}:7000") for n in range(DAEMONS)]
    world = ClaimsSimulation(seed, addresses)
    world.conditions.store_delay_s = STORE_DELAY_S
    world.conditions.cancelled_call_rate = world.conditions.unanswered_call_rate = 0.0
    rng = random.Random(seed)
    arrived = 0.0
    while (arrived := arrived + rng.expovariate(rate)) < DURATION_S:
        digest = rng.randbytes(DIGEST_BYTES)
        address = rng.choice(addresses)
        world.call_at(arrived, partial(_send, world, digest, address))
    world.run(DURATION_S)
    writes_in_time = world.store.counts.writes
    world.run(DURATION_S + 5)
    requests = list(world.requests.values())
    granted = [s for s in sendings if s.outcome is ClaimOutcome.GRANTED]
    latencies = [(s.resolved_at or 0.0) - s.asked_at for s in granted]
    params: dict[str, Param] = {"way": "batched", "rate": rate}
    counts = world.store.counts
    return [
        Row("granted_share", params, len(granted) / len(sendings), "1"),
        Row("writes_per_claim", params, counts.writes / len(sendings), "1"),
        Row("writes_per_s", params, writes_in_time / DURATION_S, "1/s"),
        Row("store_bytes_per_claim", params, counts.bytes_in / len(sendings), "B"),
        Row("peer_bytes_per_claim", params, world.peer_bytes / len(sendings), "B"),
        *_describe_latencies(latencies, params),
    ]


def measure_single(rate: int, seed: int) -> list[Row]:
    """Write each claim under a key of its own; leases delete them, outcomes are not recorded."""
    state = StoreState(seed)
    state.faults = Faults(write_rate=WRITES_PER_S)
    rng = random.Random(seed)
    arrived, asked, granted = 0.0, 0, 0
    # The burst is used up first, as the batched way's is a few writes only.
    for _ in range(BURST_WRITES):
        state.put("warm", b"", None, None, 0.0)
    while (arrived := arrived + rng.expovariate(rate)) < DURATION_S:
        asked += 1
        granted += _write_single(state, rng.randbytes(DIGEST_BYTES), arrived)
    params: dict[str, Param] = {"way": "single", "rate": rate}
    return [
        Row("granted_share", params, granted / asked, "1"),
        Row("writes_per_claim", params, 1.0, "1"),
        *_describe_latencies([STORE_DELAY_S] * max(granted, 1), params),
    ]


def measure_lookup(rows: int, seed: int) -> list[Row]:
    """Look up new keys in a shard that holds `rows` sealed claims."""
    rng = random.Random(seed)
    segments = {}
    for start in range(0, rows, MAX_SEGMENT_ROWS):
        count = min(MAX_SEGMENT_ROWS, rows - start)
        digests = (Digest(rng.randbytes(DIGEST_BYTES)) for _ in range(count))
        segments[str(start)] = build_segment(SegmentRow(digest, 0) for digest in digests)
    references = tuple(SegmentReference(name, 1) for name in segments)
    table = ShardTable(Head(HEAD_FORMAT, 1, 0, 1, (), references), Revision(1), segments)
    absent = [Digest(rng.randbytes(DIGEST_BYTES)) for _ in range(LOOKUPS)]
    began = time.process_time()
    found = sum(table.find(digest) is not None for digest in absent)
    spent = time.process_time() - began
    assert found == 0, "random digests don't collide"
    params: dict[str, Param] = {"rows": rows}
    size = sum(len(segment.packed) for segment in segments.values())
    return [
        Row("lookup", params, spent / LOOKUPS * 1e6, "us"),
        Row("shard_memory", params, float(size), "B"),
    ]


def _send(world: ClaimsSimulation, digest: bytes, address: Address) -> None:
    world.send(world.make_key(digest), address)


def _write_single(state: StoreState, digest: bytes, now: float) -> bool:
    try:
        return state.put(f"claims/{digest.hex()}", b"", Revision(0), None, now).written
    except StoreUnavailable:
        return False


def _describe_latencies(latencies: list[float], params: dict[str, Param]) -> list[Row]:
    ordered = sorted(latencies)
    return [
        Row(f"latency_p{share}", params, ordered[len(ordered) * share // 100] * 1e3, "ms")
        for share in (50, 99)
    ]


def main() -> None:
    """Measure both ways at all rates and write the rows."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--output", type=Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    rows: list[Row] = []
    for rate in RATES_PER_S:
        rows += measure_batched(rate, arguments.seed)
        rows += measure_single(rate, arguments.seed)
    for count in LOOKUP_ROWS:
        rows += measure_lookup(count, arguments.seed)
    write_rows(arguments.output, rows)
    for row in rows:
        print(f"{row.name:24} {row.params!s:36} {row.value:12.3f} {row.unit}")


if __name__ == "__main__":
    main()
