"""Event kinds of the edge and its calls."""

from godwitpass.events import EventKind, Level

LISTENING = EventKind(400, "calls.listening", "A listener for calls is open.")
TABLE_COMPILED = EventKind(
    401, "calls.table-compiled", "New calls use the routes of a new version."
)
UPSTREAM_EJECTED = EventKind(
    402,
    "calls.upstream-ejected",
    "An upstream failed and receives no calls for a while.",
    Level.WARNING,
)
SHEDDING = EventKind(
    404,
    "calls.shedding",
    "Calls to a service are refused without being run, for lack of capacity.",
    Level.WARNING,
)
SHEDDING_ENDED = EventKind(405, "calls.shedding-ended", "Calls to a service are admitted again.")
DRAIN_STARTED = EventKind(
    406, "calls.drain-started", "New calls are refused; those in progress continue."
)
DRAIN_ENDED = EventKind(
    407, "calls.drain-ended", "The listeners and all connections of callers are closed."
)
UPSTREAMS_CHANGED = EventKind(
    408, "calls.upstreams-changed", "The upstreams that this daemon uses changed.", Level.DEBUG
)
CLIENT_STOPPED = EventKind(
    411,
    "calls.client-stopped",
    "Bytes of a caller were not read further, or its connection was closed, to keep within the "
    "daemon's resources; `reason` tells why. At most one event per caller and minute.",
    Level.WARNING,
)
CALL_BROKEN_OFF = EventKind(
    409,
    "calls.broken-off",
    "A response was aborted; the caller's connection was closed before its end.",
    Level.WARNING,
)
