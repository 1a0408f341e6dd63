"""What operators see of the customers at one daemon."""

from collections import Counter

from godwitpass.administration import CustomersStatus, CustomerStatus
from godwitpass.ids import NO_VERSION, CustomerName, InstanceId
from godwitpass_daemon.relay.core import RelayCore

FINGERPRINT_CHARS = 8
"""Enough to tell the keys of a deployment apart; too few to search for a key by trial."""


def build_customers_status(core: RelayCore, instance: InstanceId) -> CustomersStatus:
    """Describe the customers of the version in force, and their requests at this daemon."""
    table, admission, now = core.table, core.admission, core.now()
    counts: dict[CustomerName, Counter[str]] = {}
    for (name, event), count in admission.counts.totals.items():
        counts.setdefault(name, Counter())[event.value] += count
    customers = table.customers.by_name.values() if table is not None else ()
    statuses = tuple(
        CustomerStatus(
            customer.name,
            customer.priority,
            customer.rate_per_s,
            customer.burst,
            tuple(digest[:FINGERPRINT_CHARS] for digest in customer.key_digests),
            round(admission.counts.compute_rate_per_s(customer.name, now), 2),
            dict(counts.pop(customer.name, Counter())),
        )
        for customer in customers
    )
    return CustomersStatus(
        instance,
        table.version if table is not None else NO_VERSION,
        round(admission.compute_proof_age_s(table), 3),
        statuses,
        dict(sum(counts.values(), Counter())),
    )
