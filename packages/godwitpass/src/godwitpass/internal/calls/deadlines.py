"""Deadlines and depth as they pass from call to call."""

import msgspec

MAX_DEADLINE_MS = 600_000
"""Longer deadlines of callers are shortened to this."""

MAX_DEPTH = 14
DEADLINE_MARGIN_MS = 1
"""Taken off at each hop, so that the deeper hop gives up first and its answer still arrives."""


class InvalidDeadline(ValueError):
    """A deadline or depth header was not a plain positive number."""


class CallContext(msgspec.Struct, frozen=True):
    """What a call inherits from the call that caused it; `timeout_ms` is None when unbounded."""

    timeout_ms: int | None = None
    depth: int = 0
    is_retry: bool = False


def parse_timeout(value: bytes) -> int:
    """Read a deadline header in milliseconds; raises `InvalidDeadline`.

    >>> parse_timeout(b"99999999")
    600000
    """
    if not value.isdigit() or len(value) > 12 or int(value) == 0:
        raise InvalidDeadline("send a whole number of milliseconds above 0")
    return min(int(value), MAX_DEADLINE_MS)


def parse_depth(value: bytes) -> int:
    """Read a depth header; raises `InvalidDeadline`."""
    if not value.isdigit() or len(value) > 3:
        raise InvalidDeadline("send the depth that the call came with")
    return int(value)


def shrink_timeout(remaining_s: float) -> int:
    """Return the milliseconds to pass on; 0 means that there is no time left."""
    return max(0, int(remaining_s * 1000) - DEADLINE_MARGIN_MS)
