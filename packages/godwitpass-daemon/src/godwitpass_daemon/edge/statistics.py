"""Statistics of the calls of one daemon, the source of its call metrics."""

from collections import Counter

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
RESPONSES_PER_LATENCY_SAMPLE = 16
"""The latency of one response in this many is recorded."""


class EdgeStatistics:
    """Call counts by outcome, and a sampled latency histogram in microseconds."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.latency_us = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record_response(self, latency_s: float) -> None:
        """Count a complete response and sample its latency."""
        answered_count = self.counts["answered"] + 1
        self.counts["answered"] = answered_count
        if answered_count % RESPONSES_PER_LATENCY_SAMPLE == 0:
            self.latency_us.record_value(max(MIN_LATENCY_US, int(latency_s * 1_000_000)))
