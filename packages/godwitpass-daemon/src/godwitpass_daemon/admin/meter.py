"""Metrics of the process and of requests to the administration API."""

import resource
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path

from hdrh.histogram import HdrHistogram

from godwitpass.snapshot import Snapshot
from godwitpass_daemon.admin.metrics import Label, Metric, MetricKind, Sample, build_summary_metric

MAX_DURATION_US = 60_000_000
"""Longer requests are recorded with this duration."""

HISTOGRAM_SIGNIFICANT_DIGITS = 2
SECONDS_PER_US = 1e-6
STATM_PATH = Path("/proc/self/statm")


class RequestMeter:
    """Counts the requests to the administration API and measures their duration."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self._durations_us = HdrHistogram(1, MAX_DURATION_US, HISTOGRAM_SIGNIFICANT_DIGITS)
        self._counts_by_status: Counter[int] = Counter()

    def record(self, status: int, duration_s: float) -> None:
        """Count one request that was answered with HTTP `status`."""
        duration_us = min(max(int(duration_s / SECONDS_PER_US), 1), MAX_DURATION_US)
        self._durations_us.record_value(duration_us)
        self._counts_by_status[status] += 1

    def collect(self) -> list[Metric]:
        """Return the metrics of the requests recorded so far."""
        samples = [
            Sample(count, (Label("status", str(status)),))
            for status, count in sorted(self._counts_by_status.items())
        ]
        name = "godwitpass_admin_requests_total"
        return [
            Metric(name, "Administration requests.", MetricKind.COUNTER, tuple(samples)),
            build_summary_metric(
                "godwitpass_admin_request_seconds",
                "Time to answer an administration request.",
                self._durations_us,
                SECONDS_PER_US,
            ),
        ]


def collect_process_metrics(get_snapshot: Callable[[], Snapshot | None]) -> Sequence[Metric]:
    """Return the metrics of the process and of the version it holds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    snapshot = get_snapshot()
    return [
        _build_single_sample_metric(
            "godwitpass_process_cpu_seconds_total",
            "Processor time of the process.",
            MetricKind.COUNTER,
            usage.ru_utime + usage.ru_stime,
        ),
        _build_single_sample_metric(
            "godwitpass_process_resident_bytes",
            "Memory that the process holds.",
            MetricKind.GAUGE,
            read_resident_bytes(),
        ),
        _build_single_sample_metric(
            "godwitpass_version",
            "Version of the configuration in force; 0 for none.",
            MetricKind.GAUGE,
            0 if snapshot is None else snapshot.version,
        ),
    ]


def _build_single_sample_metric(
    name: str, help_text: str, kind: MetricKind, value: float
) -> Metric:
    return Metric(name, help_text, kind, (Sample(value),))


def read_resident_bytes() -> int:
    """Return the resident set size of this process."""
    pages = int(STATM_PATH.read_text().split()[1])
    return pages * resource.getpagesize()
