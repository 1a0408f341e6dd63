"""Metrics of the daemon's services, collected at each scrape."""

from collections import Counter
from collections.abc import Iterator

from godwitpass.mesh import UpstreamState
from godwitpass_daemon.admin.metrics import Label, Metric, MetricKind, Sample, build_summary_metric
from godwitpass_daemon.edge.service import EdgeService
from godwitpass_daemon.edge.stopped_clients import StopReason
from godwitpass_daemon.kernel import Kernel
from godwitpass_daemon.peers import PeerTransport
from godwitpass_daemon.services.claims import ClaimsService
from godwitpass_daemon.services.distribution import DistributionService
from godwitpass_daemon.services.membership import MembershipService
from godwitpass_daemon.services.store import StoreClient

SECONDS_PER_US = 1e-6


def collect_service_metrics(kernel: Kernel) -> Iterator[Metric]:
    """Yield the metrics of the services in `kernel` that have any."""
    yield from _collect_members(kernel.find("membership", MembershipService))
    yield from _collect_peers(kernel.find("peers", PeerTransport))
    yield from _collect_store(kernel.find("store", StoreClient))
    distribution = kernel.find("distribution", DistributionService)
    yield _build_store_age(distribution)
    yield _build_version_lag(distribution)
    yield from _collect_edge(kernel.find("edge", EdgeService))
    yield from _collect_claims(kernel.find("claims", ClaimsService))


def _collect_members(membership: MembershipService) -> Iterator[Metric]:
    members = membership.members()
    counts_by_state = Counter(
        member.upstream.state for member in members if member.upstream is not None
    )
    yield Metric(
        "godwitpass_members",
        "Daemons known and not known to be gone.",
        MetricKind.GAUGE,
        (Sample(len(members)),),
    )
    yield Metric(
        "godwitpass_upstreams",
        "Upstreams known beside those daemons, by announced state.",
        MetricKind.GAUGE,
        tuple(
            Sample(counts_by_state[state], (Label("state", state.name.lower()),))
            for state in UpstreamState
        ),
    )


def _collect_peers(peers: PeerTransport) -> Iterator[Metric]:
    traffic_by_direction = {"sent": peers.sent, "received": peers.received}
    byte_samples = []
    message_samples = []
    for direction, traffic_by_channel in traffic_by_direction.items():
        for channel, traffic in traffic_by_channel.items():
            labels = (
                Label("channel", channel.name.lower()),
                Label("direction", direction),
            )
            byte_samples.append(Sample(traffic.bytes, labels))
            message_samples.append(Sample(traffic.messages, labels))
    yield Metric(
        "godwitpass_peer_bytes_total",
        "Frame bytes exchanged with other daemons, without IP headers.",
        MetricKind.COUNTER,
        tuple(byte_samples),
    )
    yield Metric(
        "godwitpass_peer_messages_total",
        "Messages exchanged with other daemons.",
        MetricKind.COUNTER,
        tuple(message_samples),
    )
    yield Metric(
        "godwitpass_peer_refused_total",
        "Received messages that were dropped, by reason.",
        MetricKind.COUNTER,
        tuple(
            Sample(count, (Label("reason", reason),))
            for reason, count in sorted(peers.dropped_incoming.totals.items())
        ),
    )


def _collect_store(store: StoreClient) -> Iterator[Metric]:
    counts = store.counts
    counts_by_kind = {
        "read": counts.reads,
        "write": counts.writes,
        "watch": counts.watches,
        "held-back": counts.held_back,
        "unavailable": counts.unavailable,
        "unknown": counts.unknown,
    }
    yield Metric(
        "godwitpass_store_calls_total",
        "Calls to the store, by kind or failure.",
        MetricKind.COUNTER,
        tuple(Sample(count, (Label("kind", kind),)) for kind, count in counts_by_kind.items()),
    )


def _build_store_age(distribution: DistributionService) -> Metric:
    return Metric(
        "godwitpass_store_age_seconds",
        "Time since an answer of the store to any reader that is known here.",
        MetricKind.GAUGE,
        (Sample(distribution.compute_store_age()),),
    )


def _build_version_lag(distribution: DistributionService) -> Metric:
    return Metric(
        "godwitpass_version_lag_seconds",
        "Time for which other daemons are known to hold a later version; 0 if none does.",
        MetricKind.GAUGE,
        (Sample(distribution.compute_version_lag()),),
    )


def _collect_edge(edge: EdgeService) -> Iterator[Metric]:
    statistics = edge.core.statistics
    yield Metric(
        "godwitpass_calls_total",
        "Calls, by outcome.",
        MetricKind.COUNTER,
        tuple(
            Sample(count, (Label("outcome", outcome),))
            for outcome, count in sorted(statistics.counts.items())
        ),
    )
    yield Metric(
        "godwitpass_calls_in_progress",
        "Calls that were begun and not ended.",
        MetricKind.GAUGE,
        (Sample(edge.core.calls_in_progress),),
    )
    yield Metric(
        "godwitpass_clients_stopped_total",
        "Callers that were stopped to keep within the daemon's resources, by reason.",
        MetricKind.COUNTER,
        tuple(
            Sample(edge.core.stopped_clients.counts[reason], (Label("reason", reason.value),))
            for reason in StopReason
        ),
    )
    yield build_summary_metric(
        "godwitpass_call_seconds",
        "Time from a request's head to the end of its answer.",
        statistics.latency_us,
        SECONDS_PER_US,
    )


def _collect_claims(claims: ClaimsService) -> Iterator[Metric]:
    yield Metric(
        "godwitpass_claims_total",
        "At-most-once calls with a key, by the outcome of their claim.",
        MetricKind.COUNTER,
        tuple(
            Sample(count, (Label("outcome", outcome),))
            for outcome, count in sorted(claims.counts.items())
        ),
    )
