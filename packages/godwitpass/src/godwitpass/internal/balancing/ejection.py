"""Outlier ejection: takes failing upstreams out of load balancing for a time."""

import random
from collections.abc import Collection

from godwitpass.internal.balancing.record import UpstreamRecord

MIN_FAILURE_RATE = 0.5
MIN_FAILURE_RATE_EXCESS = 0.2
"""Required difference to the other upstreams' mean failure rate.

When all upstreams fail alike, the calls are the cause and an ejection would not help.
"""

MIN_SAMPLES = 5
"""Number of measured calls below which a failing upstream isn't ejected."""

MAX_EJECTED_SHARE = 0.5
"""Largest share of a service's upstreams that is ejected at a time."""

BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
"""Each further ejection without a response in between lasts twice as long, up to the maximum."""


def eject_failing(
    record: UpstreamRecord, records: Collection[UpstreamRecord], now: float, rng: random.Random
) -> bool:
    """Eject the upstream of `record` if it fails more often than the others.

    Returns whether it was ejected.
    """
    if record.sample_count < MIN_SAMPLES or record.failure_rate < MIN_FAILURE_RATE:
        return False
    others = [other.failure_rate for other in records if other is not record]
    if others and record.failure_rate < sum(others) / len(others) + MIN_FAILURE_RATE_EXCESS:
        return False
    return _eject(record, records, now, rng)


def eject_unreachable(
    record: UpstreamRecord, records: Collection[UpstreamRecord], now: float, rng: random.Random
) -> bool:
    """Eject the upstream of `record` after a failed connect; return whether it was ejected."""
    return _eject(record, records, now, rng)


def _eject(
    record: UpstreamRecord, records: Collection[UpstreamRecord], now: float, rng: random.Random
) -> bool:
    if now < record.ejected_until:
        return False
    ejected = sum(now < other.ejected_until for other in records)
    if ejected + 1 > len(records) * MAX_EJECTED_SHARE:
        return False
    duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2.0**record.ejection_count)
    record.ejected_until = now + duration_s * rng.uniform(0.75, 1.25)
    record.ejection_count += 1
    # After its ejection, the upstream starts at half the rate that allows the next one.
    record.failure_rate = MIN_FAILURE_RATE / 2
    record.limit.reset_to_minimum()
    return True
