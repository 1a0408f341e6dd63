"""Counts and latencies of the calls of one daemon."""

from collections import Counter

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
SAMPLE_EVERY = 16
"""One answer in so many is recorded with its latency."""


class EdgeStatistics:
    """Counts by outcome, and a histogram of latencies in microseconds."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.latency_us = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record_response(self, seconds: float) -> None:
        """Count a whole answer."""
        answered = self.counts["answered"] + 1
        self.counts["answered"] = answered
        if answered % SAMPLE_EVERY == 0:
            self.latency_us.record_value(max(MIN_LATENCY_US, int(seconds * 1_000_000)))
