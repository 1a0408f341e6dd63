"""Limits of the relay: durations in seconds, sizes in bytes."""

MAX_PIPELINED_REQUESTS = 64
"""Requests in progress per caller connection; beyond that, reading is paused."""

READ_BYTES = 8 * 1024
"""Input of callers is read and parsed in parts of this size; limits take effect between them."""

HEAD_READ_BYTES = 2 * 1024
"""The same for the first part of a request; most heads fit."""

MANY_HEADERS = 64
"""Incomplete heads with more lines than this are read in turns."""

RAW_HEAD_RATIO = 5
"""Largest ratio of a head's size on the wire to the counted size, which omits punctuation."""

HEADER_MEMORY_BYTES = 160
"""Memory that a header takes while its head is incomplete, in addition to its text."""

REQUEST_MEMORY_BYTES = 3 * 1024
"""Memory that a request takes in addition to its head and body."""

MAX_FRAMES_PER_TURN = 256
"""Frames of one link that are handled before other connections are read."""

MEMORY_RETRY_AFTER_S = 0.2
"""Retry-after time of a forwarded call that is refused for lack of memory."""

LONG_PARSE_S = 0.002
"""A connection whose input takes longer to parse than this has to wait for a turn."""

MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
"""Responses up to this size are buffered until complete; longer ones are streamed."""

RESPONSE_WINDOW_BYTES = 256 * 1024
"""Part of a streamed response that may be on its way to the caller; at least the first part."""

RESPONSE_GRANT_BYTES = 64 * 1024
"""The window of a streamed response is extended after its caller has taken this much of it."""

WRITE_BUFFER_BYTES = 64 * 1024
LINGERING_CLOSE_S = 1.0
"""Time in which a rejected request's input is discarded, so that its sender reads the response."""

TIMEOUT_CHECK_INTERVAL_S = 0.25
"""Interval at which the timeouts of calls and connections are enforced."""

UPSTREAM_CONNECT_TIMEOUT_S = 0.5
"""An upstream on the same machine that accepts no connection in this time is unreachable."""

PEER_CONNECT_TIMEOUT_S = 1.0
"""Daemons accept within a few milliseconds, behind a saturated link within a few hundred."""

PING_AFTER_S = 0.3
"""Silence after which a daemon with calls in progress is pinged."""

PEER_TIMEOUT_S = 1.5
"""Silence after which a connection is considered dead; even a busy daemon responds to a ping."""

SETTLE_AFTER_S = 0.7
"""Silence after which the daemon is asked on another connection; a ping went out before."""

SETTLEMENT_TIMEOUT_S = 0.7
"""Time in which another daemon has to tell which calls of a silent link have not run."""

LINK_ANSWER_GRACE_S = 0.1
"""Time for an answer on the link itself once the daemon has answered on another connection."""

PEER_IDLE_TIMEOUT_S = 30.0
"""A connection without calls is closed after this time."""

KEEP_ALIVE_MARGIN_S = 1.5
"""An idle connection isn't used in this last part of its announced keep-alive time."""

DEFAULT_KEEP_ALIVE_S = 4.0
"""Keep-alive time of upstreams that announce none."""

MAX_SAFE_IDLE_S = 1.0
"""A connection that was idle for less than this is assumed to be still open at the upstream.

Calls that can't be sent again reuse only such connections. If one is lost, the call that it carried
is assumed to have run.
"""

DEADLINE_MARGIN_S = 0.003
"""The caller gets its response this long before its deadline."""

CANCELLATION_GRACE_S = 0.1
"""A running call is ended this long after its deadline if its caller's daemon hasn't cancelled it.

The deadline is transmitted in whole milliseconds, and a busy daemon cancels late.
"""

MAX_FORWARDS = 3
"""Upper bound of the daemons to which one call is forwarded."""

MAX_NESTED_FORWARDS = 10
"""The same for nested calls, whose refusal wastes the work of the outer call."""

HEARTBEAT_TIMEOUT_S = 6.0
"""Time without a heartbeat after which an upstream is logged as silent."""
