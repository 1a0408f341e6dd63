"""Event kinds of calls."""

from godwitpass.events import EventKind, Level

LISTENING = EventKind(400, "calls.listening", "The listeners for calls are open.")
TABLE_COMPILED = EventKind(401, "calls.table-compiled", "Calls now follow a new version.")
UPSTREAM_EJECTED = EventKind(
    402, "calls.upstream-ejected", "An upstream failed calls and rests for a while.", Level.WARNING
)
UPSTREAM_READMITTED = EventKind(403, "calls.upstream-readmitted", "A rested upstream is tried.")
SHEDDING = EventKind(
    404, "calls.shedding", "Calls to a service are refused as not run.", Level.WARNING
)
SHEDDING_ENDED = EventKind(405, "calls.shedding-ended", "Calls to a service are admitted again.")
DRAIN_STARTED = EventKind(406, "calls.drain-started", "No new calls; those in progress go on.")
DRAIN_ENDED = EventKind(407, "calls.drain-ended", "The listeners are closed.")
UPSTREAMS_CHANGED = EventKind(
    408, "calls.upstreams-changed", "The upstreams that this daemon uses changed.", Level.DEBUG
)
CALL_BROKEN_OFF = EventKind(
    409, "calls.broken-off", "An answer was cut short and its caller told so.", Level.WARNING
)
