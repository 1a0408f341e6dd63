"""Measures the cost of at-most-once claims, in batches and with one store write per call.

Run `python -m godwitpass_testkit.experiments.claims --output claims.json`. Latencies and counts
come from virtual time and are exactly reproducible; the rows named `lookup` are CPU time.
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
SETTLE_S = 5
"""Time for the last requests to be answered."""

STORE_DELAY_S = 0.005
SINGLE_WRITES_PER_S = 100.0
STORE_BURST_WRITES = 100
"""Writes that the store admits at once at first: those of one second at the limited rate."""

LOOKUP_TABLE_ROWS = (10_000, 100_000, 225_000)
LOOKUPS = 2_000


def measure_batched(rate: int, seed: int) -> list[Row]:
    """Claim `rate` new keys per second, spread over all daemons."""
    addresses = [Address(f"10.0.{number % 3}.{number}:7000") for number in range(DAEMONS)]
    simulation = ClaimsSimulation(seed, addresses)
    simulation.conditions.store_delay_s = STORE_DELAY_S
    simulation.conditions.cancelled_call_rate = simulation.conditions.unanswered_call_rate = 0.0
    rng = random.Random(seed)
    arrived_at = 0.0
    while (arrived_at := arrived_at + rng.expovariate(rate)) < DURATION_S:
        digest = rng.randbytes(DIGEST_BYTES)
        address = rng.choice(addresses)
        simulation.call_at(arrived_at, partial(_send_request, simulation, digest, address))
    simulation.run(DURATION_S)
    writes_in_duration = simulation.store.counts.writes
    simulation.run(DURATION_S + SETTLE_S)
    requests = list(simulation.requests.values())
    granted = [request for request in requests if request.outcome is ClaimOutcome.GRANTED]
    latencies_s = [(request.resolved_at or 0.0) - request.sent_at for request in granted]
    params: dict[str, Param] = {"way": "batched", "rate": rate}
    counts = simulation.store.counts
    return [
        Row("granted_share", params, len(granted) / len(requests), "1"),
        Row("writes_per_claim", params, counts.writes / len(requests), "1"),
        Row("writes_per_s", params, writes_in_duration / DURATION_S, "1/s"),
        Row("store_bytes_per_claim", params, counts.bytes_in / len(requests), "B"),
        Row("peer_bytes_per_claim", params, simulation.peer_bytes / len(requests), "B"),
        *_describe_latencies(latencies_s, params),
    ]


def measure_single(rate: int, seed: int) -> list[Row]:
    """Write each claim under a key of its own at `rate` claims per second.

    Neither the deletion of the keys, for which a lease would be used, nor the recording of outcomes
    is included.
    """
    state = StoreState(seed)
    state.faults = Faults(write_rate=SINGLE_WRITES_PER_S)
    rng = random.Random(seed)
    arrived_at, sent_count, granted = 0.0, 0, 0
    # The store first admits a burst of writes, which would hide the limit. It is used up here; the
    # batched writes are limited to a burst of only a few.
    for _ in range(STORE_BURST_WRITES):
        state.put("warm", b"", None, None, 0.0)
    while (arrived_at := arrived_at + rng.expovariate(rate)) < DURATION_S:
        sent_count += 1
        granted += _write_single_claim(state, rng.randbytes(DIGEST_BYTES), arrived_at)
    params: dict[str, Param] = {"way": "single", "rate": rate}
    return [
        Row("granted_share", params, granted / sent_count, "1"),
        Row("writes_per_claim", params, 1.0, "1"),
        *_describe_latencies([STORE_DELAY_S] * max(granted, 1), params),
    ]


def measure_lookup(rows: int, seed: int) -> list[Row]:
    """Measure lookups of new keys in a shard that holds `rows` sealed claims."""
    rng = random.Random(seed)
    segments = {}
    for start in range(0, rows, MAX_SEGMENT_ROWS):
        count = min(MAX_SEGMENT_ROWS, rows - start)
        digests = (Digest(rng.randbytes(DIGEST_BYTES)) for _ in range(count))
        segments[str(start)] = build_segment(SegmentRow(digest, 0) for digest in digests)
    references = tuple(SegmentReference(name, 1) for name in segments)
    table = ShardTable(Head(HEAD_FORMAT, 1, 0, 1, (), references), Revision(1), segments)
    new_digests = [Digest(rng.randbytes(DIGEST_BYTES)) for _ in range(LOOKUPS)]
    started_at = time.process_time()
    found_count = sum(table.find(digest) is not None for digest in new_digests)
    spent_s = time.process_time() - started_at
    assert found_count == 0, "a new digest was found: random digests must not collide"
    params: dict[str, Param] = {"rows": rows}
    size_bytes = sum(len(segment.packed) for segment in segments.values())
    return [
        Row("lookup", params, spent_s / LOOKUPS * 1e6, "us"),
        Row("shard_memory", params, float(size_bytes), "B"),
    ]


def _send_request(simulation: ClaimsSimulation, digest: bytes, address: Address) -> None:
    simulation.send(simulation.make_key(digest), address)


def _write_single_claim(state: StoreState, digest: bytes, now: float) -> bool:
    try:
        return state.put(f"claims/{digest.hex()}", b"", Revision(0), None, now).written
    except StoreUnavailable:
        return False


def _describe_latencies(latencies_s: list[float], params: dict[str, Param]) -> list[Row]:
    ordered = sorted(latencies_s)
    return [
        Row(f"latency_p{percentile}", params, ordered[len(ordered) * percentile // 100] * 1e3, "ms")
        for percentile in (50, 99)
    ]


def main() -> None:
    """Measure both ways at all rates and lookups at all sizes, and write the rows."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--output", type=Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    rows: list[Row] = []
    for rate in RATES_PER_S:
        rows += measure_batched(rate, arguments.seed)
        rows += measure_single(rate, arguments.seed)
    for count in LOOKUP_TABLE_ROWS:
        rows += measure_lookup(count, arguments.seed)
    write_rows(arguments.output, rows)
    for row in rows:
        print(f"{row.name:24} {row.params!s:36} {row.value:12.3f} {row.unit}")


if __name__ == "__main__":
    main()
