"""Event kinds of the rate limits of customers."""

from godwitpass.events import EventKind, Level

COORDINATOR_SILENT = EventKind(
    460,
    "quota-coordinator-silent",
    "A coordinator of rate limits doesn't answer; the next-ranked one is asked instead.",
    Level.WARNING,
)
COORDINATOR_BACK = EventKind(
    461, "quota-coordinator-back", "A silent coordinator of rate limits answers again."
)
COORDINATORS_CHANGED = EventKind(
    462, "quota-coordinators-changed", "Other daemons coordinate the rate limits now."
)
CUSTOMER_LIMITED = EventKind(
    463,
    "quota-customer-limited",
    "Calls of a customer were refused because it is beyond its rate limit.",
)
NO_OWNER = EventKind(
    464,
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
