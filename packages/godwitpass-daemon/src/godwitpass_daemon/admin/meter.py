"""Metrics of the process and of the administration API itself."""

import resource
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path

from hdrh.histogram import HdrHistogram

from godwitpass.snapshot import Snapshot
from godwitpass_daemon.admin.metrics import Label, Metric, MetricKind, Sample, build_summary_metric

MAX_DURATION_US = 60_000_000
SIGNIFICANT_DIGITS = 2
SECONDS_PER_US = 1e-6
STATM = Path("/proc/self/statm")


class RequestMeter:
    """Counts the requests of the administration API and times them."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self._durations = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
        self._counts: Counter[int] = Counter()

    def record(self, status: int, seconds: float) -> None:
        """Add one answered request."""
        duration = min(max(int(seconds / SECONDS_PER_US), 1), MAX_DURATION_US)
        self._durations.record_value(duration)
        self._counts[status] += 1

    def collect(self) -> list[Metric]:
        """Return the metrics of the requests so far."""
        samples = [
            Sample(count, (Label("status", str(status)),))
            for status, count in sorted(self._counts.items())
        ]
        name = "godwitpass_admin_requests_total"
        return [
            Metric(name, "Administration requests.", MetricKind.COUNTER, tuple(samples)),
            build_summary_metric(
                "godwitpass_admin_request_seconds",
                "Time to answer an administration request.",
                self._durations,
                SECONDS_PER_US,
            ),
        ]


def collect_process(snapshot: Callable[[], Snapshot | None]) -> Sequence[Metric]:
    """Return the metrics of the process and the version it holds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    held = snapshot()
    return [
        _build_single(
            "godwitpass_process_cpu_seconds_total",
            "Processor time of the process.",
            MetricKind.COUNTER,
            usage.ru_utime + usage.ru_stime,
        ),
        _build_single(
            "godwitpass_process_resident_bytes",
            "Memory that the process holds.",
            MetricKind.GAUGE,
            read_resident_bytes(),
        ),
        _build_single(
            "godwitpass_version",
            "Version of the configuration in force; 0 for none.",
            MetricKind.GAUGE,
            0 if held is None else held.version,
        ),
    ]


def _build_single(name: str, summary: str, kind: MetricKind, value: float) -> Metric:
    return Metric(name, summary, kind, (Sample(value),))


def read_resident_bytes() -> int:
    """Return the memory that this process holds."""
    pages = int(STATM.read_text().split()[1])
    return pages * resource.getpagesize()
