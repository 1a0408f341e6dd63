"""Event kinds of the relay."""

from godwitpass.events import EventKind, Level

RELAY_LISTENING = EventKind(420, "relay.listening", "The listeners of the relay are open.")
ROUTES_COMPILED = EventKind(421, "relay.table-compiled", "Calls now follow a new version.")
UPSTREAM_REGISTERED = EventKind(
    422, "relay.upstream-registered", "The upstream beside this daemon has told of itself."
)
UPSTREAM_DRAINING = EventKind(
    423, "relay.upstream-draining", "The upstream beside this daemon takes no new calls soon."
)
UPSTREAM_UNREACHABLE = EventKind(
    424,
    "relay.upstream-unreachable",
    "The upstream beside this daemon accepts no connection.",
    Level.WARNING,
)
HEARTBEAT_DROPPED = EventKind(
    425, "relay.heartbeat-dropped", "A heartbeat was outdated or could not be read."
)
PEER_LOST = EventKind(
    426, "relay.peer-lost", "A connection to another daemon broke or fell silent.", Level.WARNING
)
CALL_ENDED = EventKind(427, "relay.call-ended", "A call has its answer; one in 16 is logged.")
CALL_RETRIED = EventKind(428, "relay.call-retried", "A call is handed to another upstream.")
RELAY_STOPPING = EventKind(429, "relay.draining", "This daemon stops; calls in progress go on.")
RELAY_STOPPED = EventKind(430, "relay.drained", "This daemon has closed its connections.")
REQUEST_REFUSED = EventKind(431, "relay.request-refused", "A request was not routed.")
UPSTREAM_SILENT = EventKind(
    432, "relay.upstream-silent", "Heartbeats of the upstream are missing.", Level.WARNING
)
CALL_FAILED = EventKind(
    433, "relay.call-failed", "A call got no success or an answer of the daemon.", Level.WARNING
)
RUN_ENDED = EventKind(
    434, "relay.run-ended", "The upstream beside this daemon answered; one in 16 is logged."
)
RUN_REFUSED = EventKind(435, "relay.run-refused", "A call handed to this daemon was not run.")
RUN_FAILED = EventKind(
    436, "relay.run-failed", "The upstream beside this daemon gave no whole answer.", Level.WARNING
)
SETTINGS_RELOADED = EventKind(437, "relay.settings-reloaded", "The settings file was read again.")
SETTINGS_REFUSED = EventKind(
    438,
    "relay.settings-refused",
    "The changed settings file can't be used; the earlier settings stay.",
    Level.ERROR,
)
RUN_CANCELLED = EventKind(
    439, "relay.run-cancelled", "A call that the upstream ran was given up by its sender."
)
