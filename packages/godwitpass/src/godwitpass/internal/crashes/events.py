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
RECORD_FAILED = EventKind(
    554,
    "crash-record-failed",
    "A record of crashes could not be read or written; if it was a call of the store, it is tried "
    "again.",
    Level.WARNING,
)
RECORD_WRITTEN = EventKind(
    555, "crash-record-written", "The crashes that this daemon has seen are recorded in the store."
)
RECORDS_READ = EventKind(
    556, "crash-records-read", "The records of crashes in the store were read after the start."
)
ALL_KINDS = (
    REQUEST_SUSPECTED,
    REQUEST_REFUSED,
    REPORT_MERGED,
    REQUEST_ADMITTED,
    RECORD_FAILED,
    RECORD_WRITTEN,
    RECORDS_READ,
)
