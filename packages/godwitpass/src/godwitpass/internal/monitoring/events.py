"""Events of the upstream beside a daemon; their numbers are in the range of membership."""

from godwitpass.events import EventKind, Level

UPSTREAM_READY = EventKind(
    350, "upstream-ready", "The upstream accepts connections and is announced as ready."
)
UPSTREAM_WITHDRAWN = EventKind(
    351,
    "upstream-withdrawn",
    "The upstream accepts no connections; it gets no new calls.",
    Level.WARNING,
)
UPSTREAM_DRAINING = EventKind(
    352, "upstream-draining", "The upstream is draining; it gets no new calls."
)
