"""Size limits and timeouts of the edge."""

MAX_HEAD_BYTES = 32 * 1024
"""Bytes that a caller may send between two points of progress.

These are a complete head, a byte of a body and the end of a request.
"""

PARSED_SLICE_BYTES = 1024
"""Bytes that are parsed at once; the state of the connection is checked after each slice."""

MAX_SLICE_COST = 96
"""Cost of a slice, in header lines, above which its connection waits for a turn."""

BODY_PART_COST = 2
REQUEST_COST = 16
"""Costs of a part of a body and of a request, in header lines."""

RECEIVE_BUFFER_BYTES = 16 * 1024
"""Bytes that are read at once, and the most that a connection keeps unparsed."""

REQUEST_OBJECTS_BYTES = 1024
"""Memory of the objects that describe a queued request."""

HEADERS_KEPT_AS_OBJECTS = 64
"""Further header lines of an incomplete head are kept as bytes, which take less memory."""

MAX_RESPONSE_HEADERS = 100
"""Header lines in the head of an upstream's response."""

BODY_BUFFER_BYTES = 64 * 1024
"""Size of the buffer for a request body: bounds the read-ahead and the bodies sent again."""

RESPONSE_BUFFER_BYTES = 64 * 1024
"""With more than this unsent to a caller, its next requests are neither read nor answered."""

MAX_PIPELINED_REQUESTS = 16

HEAD_TIMEOUT_S = 10.0
KEEP_ALIVE_TIMEOUT_S = 75.0
UNREAD_RESPONSES_TIMEOUT_S = 75.0
"""How long a caller may read nothing of complete responses."""

LINGERING_CLOSE_S = 2.0
"""How long the rest of a refused request is discarded, so that the caller reads the response."""

LINGERING_BYTES = 1024 * 1024
"""Bytes that are discarded after a refusal; more are left unread until the connection closes."""

CONNECT_TIMEOUT_S = 1.0
MAX_UPSTREAM_IDLE_S = 3.0
"""Upstreams close idle connections after 5 s; the daemon must close them earlier."""

MAX_NON_IDEMPOTENT_IDLE_S = 1.0
"""Calls that can't be sent again reuse only connections that were idle for less than this."""

MIN_STALE_IDLE_S = 0.25
"""A connection reused after this idle time may break because the upstream had closed it.

If it breaks before any data arrives, that isn't counted as a failure of the upstream.
"""

TIMEOUT_CHECK_INTERVAL_S = 0.25
UPLOAD_STALL_S = 0.5
"""An upload without progress for this long no longer counts as a call in flight."""
