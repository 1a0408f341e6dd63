"""Ejection of failing upstreams, with a floor on how many stay."""

import random
from collections.abc import Collection

from godwitpass.internal.balancing.record import UpstreamRecord

FAILURE_RATE = 0.5
FAILURE_EXCESS = 0.2
"""Failures that all upstreams share come from the calls, so that ejecting one helps nobody."""

MIN_SAMPLES = 5
MAX_EJECTED_SHARE = 0.5
"""At most this share of a service's upstreams is ejected at the same time."""

FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0


def eject_failing(
    record: UpstreamRecord, records: Collection[UpstreamRecord], now: float, rng: random.Random
) -> bool:
    """Eject `record` if its calls fail and enough others stay; True when it was ejected."""
    if record.samples < MIN_SAMPLES or record.failure_rate < FAILURE_RATE:
        return False
    others = [other.failure_rate for other in records if other is not record]
    if others and record.failure_rate < sum(others) / len(others) + FAILURE_EXCESS:
        return False
    return _eject(record, records, now, rng)


def eject_unreachable(
    record: UpstreamRecord, records: Collection[UpstreamRecord], now: float, rng: random.Random
) -> bool:
    """Eject `record`, to which no connection could be made; True when it was ejected."""
    return _eject(record, records, now, rng)


def _eject(
    record: UpstreamRecord, records: Collection[UpstreamRecord], now: float, rng: random.Random
) -> bool:
    if now < record.ejected_until:
        return False
    ejected = sum(now < other.ejected_until for other in records)
    if ejected + 1 > len(records) * MAX_EJECTED_SHARE:
        return False
    duration = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**record.ejections)
    record.ejected_until = now + duration * rng.uniform(0.75, 1.25)
    record.ejections += 1
    record.failure_rate = FAILURE_RATE / 2
    record.limit.restart()
    return True
