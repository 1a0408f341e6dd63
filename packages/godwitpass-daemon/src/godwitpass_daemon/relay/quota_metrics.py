"""Metrics of the rate limits of customers, collected on each scrape."""

from collections.abc import Iterator

from godwitpass.ids import CustomerName
from godwitpass.internal.quotas.asker import CustomerCounts
from godwitpass_daemon.admin.metrics import Label, Metric, MetricKind, Sample
from godwitpass_daemon.services.quotas import QuotaService

MAX_CUSTOMERS = 100
"""Customers with a label of their own, those with the most calls first; the others are one."""

OTHER_CUSTOMERS = CustomerName("_other")
"""Label of the other customers; no customer can have this name."""


def collect_quota_metrics(quotas: QuotaService) -> Iterator[Metric]:
    """Yield the calls by customer and decision, and this daemon's part in the limits of others."""
    decisions: list[Sample] = []
    waiting: list[Sample] = []
    for name, counts in _choose_customers(quotas):
        label = Label("customer", name)
        for decision, count in (
            ("granted", counts.granted),
            ("over_limit", counts.over_limit),
            ("no_owner", counts.no_owner),
        ):
            decisions.append(Sample(count, (label, Label("decision", decision))))
        waiting.append(Sample(counts.waiting, (label,)))
    yield Metric(
        "godwitpass_quota_calls_total",
        "Calls of customers with a rate limit, by decision.",
        MetricKind.COUNTER,
        tuple(decisions),
    )
    yield Metric(
        "godwitpass_quota_calls_waiting",
        "Calls that wait for a decision on the rate limit.",
        MetricKind.GAUGE,
        tuple(waiting),
    )
    yield Metric(
        "godwitpass_quota_requests_total",
        "Requests sent to the coordinators of rate limits.",
        MetricKind.COUNTER,
        (Sample(quotas.messages_sent),),
    )
    owner = quotas.owner
    for part, help_text, value in (
        ("votes", "Daemons that vote for this one as coordinator.", owner.vote_count),
        ("daemons", "Daemons among which rate limits are divided.", owner.daemon_count),
    ):
        samples = (Sample(value),)
        yield Metric(f"godwitpass_quota_{part}", help_text, MetricKind.GAUGE, samples)


def _choose_customers(quotas: QuotaService) -> Iterator[tuple[CustomerName, CustomerCounts]]:
    ranked = sorted(
        quotas.list_counts(),
        key=lambda item: (-item[1].granted - item[1].over_limit - item[1].no_owner, item[0]),
    )
    yield from ranked[:MAX_CUSTOMERS]
    others = [counts for _, counts in ranked[MAX_CUSTOMERS:]]
    if others:
        yield OTHER_CUSTOMERS, CustomerCounts(
            sum(counts.granted for counts in others),
            sum(counts.over_limit for counts in others),
            sum(counts.no_owner for counts in others),
            sum(counts.waiting for counts in others),
        )
