"""Metrics of the HTTP listeners, collected on each scrape."""

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import TypeVar

from godwitpass_daemon.admin.metrics import Label, Metric, MetricKind, Sample
from godwitpass_daemon.http.connections import Connections

Reason = TypeVar("Reason", bound=Enum)


def collect_listener_metrics(connections_by_name: Mapping[str, Connections]) -> Iterator[Metric]:
    """Yield the metrics of the connections and requests of each listener."""
    yield Metric(
        "godwitpass_http_connections",
        "Open connections of the HTTP listener.",
        MetricKind.GAUGE,
        tuple(
            Sample(connections.open_count, (Label("listener", name),))
            for name, connections in connections_by_name.items()
        ),
    )
    yield Metric(
        "godwitpass_http_connections_opened_total",
        "Connections accepted by the HTTP listener, also those closed unread.",
        MetricKind.COUNTER,
        tuple(
            Sample(connections.counts.opened, (Label("listener", name),))
            for name, connections in connections_by_name.items()
        ),
    )
    yield Metric(
        "godwitpass_http_connections_closed_total",
        "Connections of the HTTP listener that were closed, by reason.",
        MetricKind.COUNTER,
        _list_samples({name: item.counts.closed for name, item in connections_by_name.items()}),
    )
    yield Metric(
        "godwitpass_http_requests_refused_total",
        "Requests that the HTTP listener refused, by reason.",
        MetricKind.COUNTER,
        _list_samples({name: item.counts.refused for name, item in connections_by_name.items()}),
    )


def _list_samples(counts_by_name: Mapping[str, Mapping[Reason, int]]) -> tuple[Sample, ...]:
    return tuple(
        Sample(count, (Label("listener", name), Label("reason", reason.value)))
        for name, counts in counts_by_name.items()
        for reason, count in sorted(counts.items(), key=lambda item: str(item[0].value))
    )
