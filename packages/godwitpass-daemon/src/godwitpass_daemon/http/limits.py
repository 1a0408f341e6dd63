"""Size limits and timeouts of the HTTP listeners."""

import msgspec

SLICE_BYTES = 1024
"""Bytes that are read and parsed at a time; every limit is exact to this size."""

BODY_SLICE_BYTES = 8 * 1024
"""Bytes that are read at a time of a body whose length is declared."""

MAX_HEAD_BYTES = 16 * 1024
"""Bytes without progress: of a head, or of chunk framing and trailers beyond `FRAMING_SHARE`."""

FRAMING_SHARE = 1 / 8
"""Bytes of framing that each byte of a body makes up for."""

MAX_HEADERS = 100
MAX_PIPELINED_REQUESTS = 32
DEFAULT_MAX_BODY_BYTES = 64 * 1024
BODY_BUFFER_BYTES = 16 * 1024
"""Bytes of a body that are held until the application receives them."""

RESPONSE_BUFFER_BYTES = 64 * 1024
MAX_DISCARDED_BYTES = 64 * 1024
"""Bytes that are discarded after a last response, so that the client can read the response."""

DEFAULT_MAX_CONNECTIONS = 100
MAX_CONNECTIONS = 256
"""Connections of a listener, however many descriptors there are; bounds their memory."""

MIN_WAIT_S = 0.02
"""How long a connection may wait for its request before another can take its place."""

HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 60.0
RESPONSE_TIMEOUT_S = 30.0
"""How long a client may leave a response in the buffer."""

LINGERING_CLOSE_S = 2.0
TIMEOUT_CHECK_INTERVAL_S = 0.25

FREE_PARSE_S = 0.0002
"""Parser time of a connection below which it is never delayed."""

PARSE_SHARE = 0.1
"""Share of the loop's time that all connections above `FREE_PARSE_S` have for parsing."""

CONNECTION_PARSE_SHARE = 0.01
"""Share of the loop's time by which the counted parser time of a connection shrinks."""

MIN_DELAY_S = 0.001
MAX_DELAY_S = 1.0
MAX_PIPELINED_COST_S = 0.01
"""Time that a pipelined request counts for at most, since it may have waited for others."""

LOG_INTERVAL_S = 60.0
MAX_LOGGED_CLIENTS = 64
"""Client addresses with a log line in each `LOG_INTERVAL_S`; metrics count all."""


class HttpLimits(msgspec.Struct, frozen=True):
    """Limits of one listener."""

    max_connections: int = DEFAULT_MAX_CONNECTIONS
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    head_timeout_s: float = HEAD_TIMEOUT_S
    body_timeout_s: float = BODY_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    response_timeout_s: float = RESPONSE_TIMEOUT_S
