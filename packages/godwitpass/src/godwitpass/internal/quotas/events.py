"""Event kinds of the rate limits of customers."""

from godwitpass.events import EventKind, Level

COORDINATOR_SILENT = EventKind(
    480,
    "quota-coordinator-silent",
    "A coordinator of rate limits doesn't answer; the next-ranked one is asked instead.",
    Level.WARNING,
)
COORDINATOR_BACK = EventKind(
    481, "quota-coordinator-back", "A silent coordinator of rate limits answers again."
)
COORDINATORS_CHANGED = EventKind(
    482, "quota-coordinators-changed", "Other daemons coordinate the rate limits now."
)
CUSTOMER_LIMITED = EventKind(
    483,
    "quota-customer-limited",
    "Calls of a customer were refused because it is beyond its rate limit.",
)
NO_OWNER = EventKind(
    484,
    "quota-no-owner",
    "Calls of a customer with a rate limit were refused because no coordinator granted in time.",
    Level.WARNING,
)
ALL_KINDS = (
    COORDINATOR_SILENT,
    COORDINATOR_BACK,
    COORDINATORS_CHANGED,
    CUSTOMER_LIMITED,
    NO_OWNER,
)
