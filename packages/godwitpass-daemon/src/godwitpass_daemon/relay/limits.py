"""Bounds of the relay: durations in seconds, sizes in bytes."""

MAX_HEADERS = 100
MAX_PIPELINED_REQUESTS = 64
"""Unanswered requests on one caller's connection; more are left unread."""

MAX_BUFFERED_BODY_BYTES = 48 * 1024 * 1024
"""Request bodies that one daemon holds; a caller beyond that is refused."""

MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
"""An answer up to this size is held until it is whole; a longer one is passed on as it comes."""

WRITE_BUFFER_BYTES = 64 * 1024
LINGER_S = 1.0
"""How long the rest of a refused request is discarded, so that its sender reads the answer."""

SWEEP_INTERVAL_S = 0.25
UPSTREAM_CONNECT_TIMEOUT_S = 0.5
"""An upstream on the same machine that accepts no connection for this long is not reachable."""

PEER_CONNECT_TIMEOUT_S = 1.0
"""Daemons answer within a few milliseconds, behind a full link within some hundred."""

PING_AFTER_S = 0.3
"""Silence of a daemon that owes answers, after which it is asked for a sign of life."""

PEER_TIMEOUT_S = 1.5
"""Silence after which a connection counts as dead; a busy daemon still answers a ping."""

PEER_IDLE_TIMEOUT_S = 30.0
"""A connection without calls is closed after this time."""

KEEP_ALIVE_MARGIN_S = 1.5
"""An idle connection is not used in the last part of the time that the upstream announced."""

DEFAULT_KEEP_ALIVE_S = 4.0
"""Idle time for upstreams that announce none."""

RECENT_USE_S = 1.0
"""Calls that can't be sent again use only connections that were in use this recently."""

DEADLINE_MARGIN_S = 0.003
"""The caller's answer is sent this much before its time is over."""

MAX_FORWARDS = 3
"""Daemons to which one call is handed before it is refused."""

HEARTBEAT_TIMEOUT_S = 6.0
"""Silence of an upstream after which the log says that its heartbeats are missing."""
