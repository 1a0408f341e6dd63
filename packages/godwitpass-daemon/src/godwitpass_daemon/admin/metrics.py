"""Metrics in the text form that existing scrapers read."""

from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec
from hdrh.histogram import HdrHistogram

QUANTILES = (0.5, 0.9, 0.99, 0.999)
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricKind(Enum):
    """How a scraper reads the samples."""

    COUNTER = "counter"
    GAUGE = "gauge"
    SUMMARY = "summary"


class Label(msgspec.Struct, frozen=True):
    """One name and value that tell samples apart."""

    name: str
    value: str


class Sample(msgspec.Struct, frozen=True):
    """One number; `suffix` follows the metric's name."""

    value: float
    labels: tuple[Label, ...] = ()
    suffix: str = ""


class Metric(msgspec.Struct, frozen=True):
    """Numbers with one name, unit in the name, and meaning."""

    name: str
    summary: str
    kind: MetricKind
    samples: tuple[Sample, ...]


def build_summary_metric(
    name: str, summary: str, histogram: HdrHistogram, unit: float, labels: Sequence[Label] = ()
) -> Metric:
    """Return the quantiles of `histogram`, whose values are multiplied by `unit`."""
    shared = tuple(labels)
    samples = [
        Sample(
            histogram.get_value_at_percentile(quantile * 100) * unit,
            (*shared, Label("quantile", f"{quantile:g}")),
        )
        for quantile in QUANTILES
    ]
    count = histogram.get_total_count()
    total = histogram.get_mean_value() * count * unit if count else 0.0
    samples += [Sample(total, shared, "_sum"), Sample(count, shared, "_count")]
    return Metric(name, summary, MetricKind.SUMMARY, tuple(samples))


def render_metrics(metrics: Iterable[Metric]) -> str:
    r"""Return `metrics` as text, one sample a line.

    >>> sample = Sample(2, (Label("path", 'a"b'),))
    >>> print(render_metrics([Metric("calls_total", "Calls.", MetricKind.COUNTER, (sample,))]))
    # HELP calls_total Calls.
    # TYPE calls_total counter
    calls_total{path="a\"b"} 2
    <BLANKLINE>
    """
    lines: list[str] = []
    for metric in metrics:
        lines.append(f"# HELP {metric.name} {metric.summary}")
        lines.append(f"# TYPE {metric.name} {metric.kind.value}")
        for sample in metric.samples:
            labels = ",".join(f'{label.name}="{_escape(label.value)}"' for label in sample.labels)
            braces = f"{{{labels}}}" if labels else ""
            lines.append(f"{metric.name}{sample.suffix}{braces} {sample.value:.15g}")
    return "".join(f"{line}\n" for line in lines)


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
