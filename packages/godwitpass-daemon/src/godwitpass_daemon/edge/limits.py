"""Bounds of the edge: sizes in bytes, durations in seconds."""

MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 100
BODY_BUFFER_BYTES = 64 * 1024
"""Part of a request body that is held: the most that can be sent again, and the read-ahead."""

RESPONSE_BUFFER_BYTES = 64 * 1024
MAX_PIPELINED = 16

HEAD_TIMEOUT_S = 10.0
KEEP_ALIVE_S = 75.0
LINGER_S = 2.0
"""How long a refused request's remainder is discarded, so that its sender reads the answer."""

CONNECT_TIMEOUT_S = 1.0
LONGEST_IDLE_S = 3.0
"""Upstreams close idle connections after 5 s; the daemon must be first."""

UNSAFE_IDLE_S = 1.0
"""Calls that can't be sent again use only connections that were in use this recently."""

STALE_AGE_S = 0.25
"""A connection unused for this long that breaks at once was closed before the request came."""

SWEEP_INTERVAL_S = 0.25
STALL_NOTICE_S = 0.5
"""An upload without progress for this long stops counting as a call in flight."""

MAX_CALLER_CONNECTIONS = 1_000
"""Open connections of callers, on each listener."""
