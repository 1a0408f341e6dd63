"""Metrics of the relay, collected on each scrape."""

from collections.abc import Iterator

import msgspec

from godwitpass.mesh import UpstreamState
from godwitpass_daemon.admin.metrics import Label, Metric, MetricKind, Sample, build_summary_metric
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.relay.core import RelayCore

SECONDS_PER_US = 1e-6


class ConfigurationState(msgspec.Struct, frozen=True):
    """What this daemon knows of newer configurations.

    `has_rejected_document` tells that it can't use the newest document in the store, which answered
    a reader `store_age_s` ago. Other daemons are known to hold a later version for `version_lag_s`.
    """

    has_rejected_document: bool
    store_age_s: float
    version_lag_s: float


def collect_relay_metrics(
    core: RelayCore, events: EventLog, configuration: ConfigurationState
) -> Iterator[Metric]:
    """Yield the metrics of the calls accepted and run by this daemon, and of its state."""
    runner, now = core.runner, core.now()
    yield _build_customer_counter(core)
    yield _build_counter("godwitpass_relay_calls_total", "Calls taken here, by event.", core.counts)
    yield _build_counter(
        "godwitpass_relay_runs_total", "Calls run here, by outcome.", runner.call_log.counts
    )
    yield Metric(
        "godwitpass_relay_limited_total",
        "Requests refused and connections closed at a limit for clients, by reason.",
        MetricKind.COUNTER,
        tuple(
            Sample(count, (Label("reason", reason.replace(" ", "-")),))
            for reason, count in sorted(core.intake.limit_log.counts.items())
        ),
    )
    yield build_summary_metric(
        "godwitpass_relay_call_seconds",
        "Time from a request's head to its answer.",
        core.latency_us,
        SECONDS_PER_US,
    )
    gauges = {
        "calls_in_progress": core.calls_in_progress,
        "runs_in_progress": runner.calls_in_progress,
        "slots": runner.scheduler.limit,
        "upstream_limit_per_second": runner.scheduler.rate_limiter.rate_per_s or 0.0,
        "slots_used": len(runner.scheduler.running),
        "runs_waiting": len(runner.scheduler.waiting),
        "caller_connections": len(core.caller_connections),
        "peer_connections": core.open_link_count,
        "held_request_bytes": core.intake.budget.held_bytes,
        "held_forwarded_bytes": runner.budget.held_bytes,
        "inputs_waiting_for_a_turn": core.intake.turns.waiting_count,
        "inbound_backlog_seconds": runner.flow_control.backlog_s,
        "outbound_backlog_seconds": runner.response_sender.flow_control.backlog_s,
        "upstream_connections_opened": runner.pool.opened_count,
        "configuration_version": core.table.version if core.table else 0,
        "configuration_rejected": int(configuration.has_rejected_document),
        "store_age_seconds": configuration.store_age_s,
        "version_lag_seconds": configuration.version_lag_s,
        "heartbeat_age_seconds": now - runner.registration.last_heartbeat_at,
        "upstream_ready": int(runner.registration.state is UpstreamState.READY),
        "proof_age_seconds": core.admission.compute_proof_age_s(core.table),
        "log_lines_dropped": events.stdout_writer.dropped_lines if events.stdout_writer else 0,
    }
    for name, value in gauges.items():
        summary = name.replace("_", " ").capitalize() + "."
        yield Metric(f"godwitpass_relay_{name}", summary, MetricKind.GAUGE, (Sample(value),))


def build_identity_check_counter(counts: dict[str, int]) -> Metric:
    """Build the counter of the health checks that identify the upstream after a start."""
    return _build_counter(
        "godwitpass_relay_identity_checks_total",
        "Health checks that asked which upstream is at the address, by result.",
        counts,
    )


def _build_customer_counter(core: RelayCore) -> Metric:
    samples = tuple(
        Sample(count, (Label("customer", customer), Label("event", event.value)))
        for (customer, event), count in sorted(
            core.admission.counts.totals.items(), key=lambda item: (item[0][0], item[0][1].value)
        )
    )
    return Metric(
        "godwitpass_relay_customer_requests_total",
        "Requests by customer and what became of them at admission.",
        MetricKind.COUNTER,
        samples,
    )


def _build_counter(name: str, summary: str, counts: dict[str, int]) -> Metric:
    samples = tuple(
        Sample(count, (Label("event", event),)) for event, count in sorted(counts.items())
    )
    return Metric(name, summary, MetricKind.COUNTER, samples)
