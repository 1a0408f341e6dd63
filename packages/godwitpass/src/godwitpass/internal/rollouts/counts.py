"""Counts of the responses of the local server by route."""

import math

from godwitpass.ids import RouteName
from godwitpass.internal.rollouts.messages import BUCKET_COUNT, MAX_ROUTES, RouteCounts

MIN_DURATION_S = 0.001
BUCKETS_PER_OCTAVE = 2
OTHER_ROUTES = RouteName("")


def find_bucket(duration_s: float) -> int:
    """Return the bucket of a duration; each spans half an octave.

    >>> [find_bucket(duration_s) for duration_s in (0.0, 0.001, 0.002, 0.1, 0.8, 10_000.0)]
    [0, 0, 2, 13, 19, 39]
    """
    octaves = math.log2(max(duration_s, MIN_DURATION_S) / MIN_DURATION_S)
    return min(BUCKET_COUNT - 1, int(octaves * BUCKETS_PER_OCTAVE))


class ResponseCounter:
    """Counts responses, failures and durations by route, cumulatively."""

    def __init__(self) -> None:
        self._counts: dict[RouteName, list[int]] = {}
        self._histograms: dict[RouteName, list[int]] = {}

    def record(self, route: RouteName, duration_s: float, has_failed: bool) -> None:
        """Count one response."""
        if route not in self._counts and len(self._counts) >= MAX_ROUTES:
            route = OTHER_ROUTES
        counts = self._counts.setdefault(route, [0, 0])
        counts[0] += 1
        counts[1] += has_failed
        if not has_failed:
            # A failure's duration says nothing about the speed of the version.
            histogram = self._histograms.setdefault(route, [])
            bucket = find_bucket(duration_s)
            histogram.extend([0] * (bucket + 1 - len(histogram)))
            histogram[bucket] += 1

    def list_counts(self) -> tuple[RouteCounts, ...]:
        """Return the counts of all routes."""
        return tuple(
            RouteCounts(route, counts[0], counts[1], tuple(self._histograms.get(route, ())))
            for route, counts in self._counts.items()
        )


def subtract_counts(newer: RouteCounts, older: RouteCounts | None) -> RouteCounts:
    """Return what was counted between two reports of one epoch."""
    if older is None:
        return newer
    padding = (0,) * max(0, len(newer.histogram) - len(older.histogram))
    return RouteCounts(
        newer.route,
        max(0, newer.responses - older.responses),
        max(0, newer.failures - older.failures),
        tuple(
            max(0, count - earlier)
            for count, earlier in zip(newer.histogram, older.histogram + padding, strict=False)
        ),
    )
