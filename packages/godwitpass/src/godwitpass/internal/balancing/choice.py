"""Upstream selection: nearest tier first, power of two choices, spillover under load."""

import random
from collections.abc import Sequence

from godwitpass.ids import InstanceId
from godwitpass.internal.balancing.record import UpstreamRecord

SPILLOVER_RATIO = 3.0
"""A farther upstream is used when the nearer one costs more than this many times as much.

The nearest upstream is used without comparison if its cost itself is at most this.
"""


def choose_upstream(
    tiers: Sequence[Sequence[UpstreamRecord]],
    now: float,
    rng: random.Random,
    is_upload: bool = False,
    avoid: InstanceId | None = None,
) -> UpstreamRecord | None:
    """Return an available upstream, or None; `tiers` holds the records, nearest tier first.

    An upstream with the instance id `avoid` is never chosen.
    """
    chosen: UpstreamRecord | None = None
    for records in tiers:
        candidate = _choose_better_of_two(
            _filter_available(records, now, is_upload, avoid), now, rng
        )
        if candidate is None:
            continue
        if chosen is None:
            chosen = candidate
            if chosen.estimate_cost(now) <= SPILLOVER_RATIO:
                return chosen
        elif chosen.estimate_cost(now) > SPILLOVER_RATIO * candidate.estimate_cost(now):
            chosen = candidate
    return chosen


def _filter_available(
    records: Sequence[UpstreamRecord], now: float, is_upload: bool, avoid: InstanceId | None
) -> list[UpstreamRecord]:
    return [
        record
        for record in records
        if record.is_usable(now)
        and record.has_capacity(is_upload)
        and record.upstream.instance != avoid
    ]


def _choose_better_of_two(
    records: list[UpstreamRecord], now: float, rng: random.Random
) -> UpstreamRecord | None:
    if len(records) <= 1:
        return records[0] if records else None
    # Two calls of `random` are several times faster than one of `Random.sample`.
    first_index = int(rng.random() * len(records))
    second_index = int(rng.random() * (len(records) - 1))
    first, second = records[first_index], records[second_index + (second_index >= first_index)]
    return first if first.estimate_cost(now) <= second.estimate_cost(now) else second
