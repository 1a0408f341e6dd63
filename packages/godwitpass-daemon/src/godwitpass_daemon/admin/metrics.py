"""Metric types and their rendering in the Prometheus text format."""

from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec
from hdrh.histogram import HdrHistogram

QUANTILES = (0.5, 0.9, 0.99, 0.999)
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricKind(Enum):
    """Metric type that is declared to the scraper."""

    COUNTER = "counter"
    GAUGE = "gauge"
    SUMMARY = "summary"


class Label(msgspec.Struct, frozen=True):
    """Name and value that distinguish the samples of one metric."""

    name: str
    value: str


class Sample(msgspec.Struct, frozen=True):
    """One value; `suffix` is appended to the name of the metric."""

    value: float
    labels: tuple[Label, ...] = ()
    suffix: str = ""


class Metric(msgspec.Struct, frozen=True):
    """Samples that share a name, which includes the unit, and a help text."""

    name: str
    help_text: str
    kind: MetricKind
    samples: tuple[Sample, ...]


def build_summary_metric(
    name: str, help_text: str, histogram: HdrHistogram, scale: float, labels: Sequence[Label] = ()
) -> Metric:
    """Return the quantiles, sum and count of `histogram`, with its values multiplied by `scale`."""
    shared_labels = tuple(labels)
    samples = [
        Sample(
            histogram.get_value_at_percentile(quantile * 100) * scale,
            (*shared_labels, Label("quantile", f"{quantile:g}")),
        )
        for quantile in QUANTILES
    ]
    count = histogram.get_total_count()
    total = histogram.get_mean_value() * count * scale if count else 0.0
    samples += [Sample(total, shared_labels, "_sum"), Sample(count, shared_labels, "_count")]
    return Metric(name, help_text, MetricKind.SUMMARY, tuple(samples))


def render_metrics(metrics: Iterable[Metric]) -> str:
    r"""Return `metrics` in the Prometheus text format, one sample per line.

    >>> sample = Sample(2, (Label("path", 'a"b'),))
    >>> print(render_metrics([Metric("calls_total", "Calls.", MetricKind.COUNTER, (sample,))]))
    # HELP calls_total Calls.
    # TYPE calls_total counter
    calls_total{path="a\"b"} 2
    <BLANKLINE>
    """
    lines: list[str] = []
    for metric in metrics:
        lines.append(f"# HELP {metric.name} {metric.help_text}")
        lines.append(f"# TYPE {metric.name} {metric.kind.value}")
        for sample in metric.samples:
            labels = ",".join(f'{label.name}="{_escape(label.value)}"' for label in sample.labels)
            braces = f"{{{labels}}}" if labels else ""
            lines.append(f"{metric.name}{sample.suffix}{braces} {sample.value:.15g}")
    return "".join(f"{line}\n" for line in lines)


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
