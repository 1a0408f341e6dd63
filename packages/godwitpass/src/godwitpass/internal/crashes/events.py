"""Event kinds of requests that are suspected or refused because upstreams crashed on them."""

from godwitpass.events import EventKind, Level

REQUEST_SUSPECTED = EventKind(
    550, "crash-request-suspected", "An upstream's connection broke while it ran a request."
)
REQUEST_REFUSED = EventKind(
    551,
    "crash-request-refused",
    "A request crashed too many upstreams; it is refused until its suspicion expires.",
    Level.WARNING,
)
ALL_KINDS = (REQUEST_SUSPECTED, REQUEST_REFUSED)
