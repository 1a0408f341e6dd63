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
REPORT_MERGED = EventKind(
    552, "crash-report-merged", "Counts of a suspected request arrived that are new to this daemon."
)
REQUEST_ADMITTED = EventKind(
    553,
    "crash-request-admitted",
    "A request crashed enough upstreams to be refused, but is admitted for the given reason.",
)
ALL_KINDS = (REQUEST_SUSPECTED, REQUEST_REFUSED, REPORT_MERGED, REQUEST_ADMITTED)
