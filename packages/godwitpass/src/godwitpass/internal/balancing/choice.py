"""Choice of an upstream: nearest first, the better of two, spilling by load."""

import random
from collections.abc import Sequence

from godwitpass.ids import InstanceId
from godwitpass.internal.balancing.record import UpstreamRecord

SPILL_RATIO = 3.0
"""A farther upstream is taken when it is expected to be this many times better."""


def choose_upstream(
    tiers: Sequence[Sequence[UpstreamRecord]],
    now: float,
    rng: random.Random,
    upload: bool = False,
    avoid: InstanceId | None = None,
) -> UpstreamRecord | None:
    """Return an upstream with room, or None; `tiers` holds the records, nearest tier first."""
    chosen: UpstreamRecord | None = None
    for records in tiers:
        rival = _choose_of_two(_list_open(records, now, upload, avoid), now, rng)
        if rival is None:
            continue
        if chosen is None:
            chosen = rival
            if chosen.estimate_cost(now) <= SPILL_RATIO:
                return chosen
        elif chosen.estimate_cost(now) > SPILL_RATIO * rival.estimate_cost(now):
            chosen = rival
    return chosen


def _list_open(
    records: Sequence[UpstreamRecord], now: float, upload: bool, avoid: InstanceId | None
) -> list[UpstreamRecord]:
    return [
        record
        for record in records
        if record.is_usable(now) and record.has_room(upload) and record.upstream.instance != avoid
    ]


def _choose_of_two(
    records: list[UpstreamRecord], now: float, rng: random.Random
) -> UpstreamRecord | None:
    if len(records) <= 1:
        return records[0] if records else None
    # `Random.sample` costs several times as much.
    one = int(rng.random() * len(records))
    other = int(rng.random() * (len(records) - 1))
    first, second = records[one], records[other + (other >= one)]
    return first if first.estimate_cost(now) <= second.estimate_cost(now) else second
