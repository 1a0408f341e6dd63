"""Event kinds that the relay emits."""

from godwitpass.events import EventKind, Level

RELAY_LISTENING = EventKind(
    420, "relay.listening", "The relay listens for callers and for other daemons."
)
ROUTES_COMPILED = EventKind(421, "relay.table-compiled", "New calls are routed by a new version.")
UPSTREAM_REGISTERED = EventKind(
    422,
    "relay.upstream-registered",
    "A heartbeat registered the upstream beside this daemon or changed its state.",
)
UPSTREAM_DRAINING = EventKind(
    423,
    "relay.upstream-draining",
    "The upstream beside this daemon is draining and will soon accept no new calls.",
)
UPSTREAM_UNREACHABLE = EventKind(
    424,
    "relay.upstream-unreachable",
    "The upstream beside this daemon accepts no connection.",
    Level.WARNING,
)
HEARTBEAT_DROPPED = EventKind(
    425,
    "relay.heartbeat-dropped",
    "A heartbeat was outdated, unconfirmed or invalid and is ignored.",
)
PEER_LOST = EventKind(
    426, "relay.peer-lost", "A connection to another daemon failed or timed out.", Level.WARNING
)
CALL_ENDED = EventKind(427, "relay.call-ended", "A call ended with a success; one in 16 is logged.")
CALL_RETRIED = EventKind(428, "relay.call-retried", "A call is forwarded to another upstream.")
RELAY_STOPPING = EventKind(
    429, "relay.draining", "This daemon is stopping; calls in progress continue."
)
RELAY_STOPPED = EventKind(
    430, "relay.drained", "This daemon has closed its connections after stopping."
)
REQUEST_REFUSED = EventKind(
    431, "relay.request-refused", "A request was rejected before it was routed."
)
UPSTREAM_SILENT = EventKind(
    432,
    "relay.upstream-silent",
    "The upstream beside this daemon sends no heartbeats.",
    Level.WARNING,
)
CALL_FAILED = EventKind(
    433,
    "relay.call-failed",
    "A call ended without a success, or with a response of the daemon itself.",
    Level.WARNING,
)
RUN_ENDED = EventKind(
    434,
    "relay.run-ended",
    "The upstream beside this daemon responded; server errors and one in 16 others are logged.",
)
RUN_REFUSED = EventKind(
    435, "relay.run-refused", "A call forwarded to this daemon was refused without being run."
)
RUN_FAILED = EventKind(
    436,
    "relay.run-failed",
    "The upstream beside this daemon sent no complete response.",
    Level.WARNING,
)
SETTINGS_RELOADED = EventKind(437, "relay.settings-reloaded", "The settings file was reloaded.")
SETTINGS_REFUSED = EventKind(
    438,
    "relay.settings-refused",
    "The changed settings file is invalid; the previous settings stay in force.",
    Level.ERROR,
)
UPSTREAM_LIMITED = EventKind(
    440,
    "relay.upstream-limited",
    "The upstream beside this daemon named a limit for its requests, or lifted it.",
)
EXTRA_REQUEST_SENT = EventKind(
    441, "relay.extra-request", "A slow call is sent to a second upstream as well."
)
ATTEMPT_ENDED = EventKind(
    442,
    "relay.attempt-ended",
    "One of the two attempts of a call ended without a good response; the other goes on.",
)
RUN_CANCELLED = EventKind(
    439, "relay.run-cancelled", "A call was cancelled by its sender while the upstream ran it."
)
UPSTREAM_CHECKED = EventKind(
    444,
    "relay.upstream-checked",
    "Connections to the upstream broke during calls; whether it has ended was checked.",
)
LINK_SETTLED = EventKind(
    445,
    "relay.link-settled",
    "Another daemon has ended a silent or lost link and told which of its calls have not run.",
)
LINK_NOT_SETTLED = EventKind(
    446,
    "relay.link-not-settled",
    "Another daemon has not told about a silent or lost link, or the link carries answers again.",
)
NESTED_CALLS_REFUSED = EventKind(
    443,
    "relay.nested-calls-refused",
    "A call was not started, since most calls on its route fail by refused nested calls.",
)
UPSTREAM_RECORD_FAILED = EventKind(
    448,
    "relay.upstream-record-failed",
    "The record by which a restarted daemon identifies its upstream was not read or written.",
)
UPSTREAM_IDENTITY_CHECKED = EventKind(
    447,
    "relay.upstream-identity-checked",
    "After a start of this daemon, a health check asked which upstream is at the address.",
)
CLIENT_LIMITED = EventKind(
    449,
    "relay.client-limited",
    "A client met a limit on memory, time or connections; logged once a minute for each address.",
)
