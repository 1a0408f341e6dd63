"""Events of the upstream beside a daemon, in the membership range."""

from godwitpass.events import EventKind, Level

UPSTREAM_READY = EventKind(350, "upstream-ready", "The upstream accepts connections; announced.")
UPSTREAM_WITHDRAWN = EventKind(
    351,
    "upstream-withdrawn",
    "The upstream refuses connections; it gets no new calls.",
    Level.WARNING,
)
UPSTREAM_DRAINING = EventKind(
    352, "upstream-draining", "The upstream is leaving; it gets no new calls."
)
