"""Deadlines and call depth, as they propagate from a call to the calls that it causes."""

import msgspec

MAX_TIMEOUT_MS = 600_000
"""Longer timeouts of callers are reduced to this."""

MAX_DEPTH = 14
"""Calls at this depth or deeper are refused."""

HOP_MARGIN_MS = 1
"""Deducted at each hop, so that the deeper hop times out first and its response still arrives."""


class InvalidDeadline(ValueError):
    """A deadline or depth header isn't a decimal number in the accepted range."""


class CallContext(msgspec.Struct, frozen=True):
    """Properties that a call inherits from its caller; `timeout_ms` is None without a deadline."""

    timeout_ms: int | None = None
    depth: int = 0
    is_retry: bool = False


def parse_timeout_ms(value: bytes) -> int:
    """Parse a deadline header into milliseconds; raises `InvalidDeadline`.

    >>> parse_timeout_ms(b"99999999")
    600000
    """
    if not value.isdigit() or len(value) > 12 or int(value) == 0:
        raise InvalidDeadline(
            f"deadline {value!r}: send a whole number of milliseconds above 0, in at most 12 digits"
        )
    return min(int(value), MAX_TIMEOUT_MS)


def parse_depth(value: bytes) -> int:
    """Parse a depth header; raises `InvalidDeadline`."""
    if not value.isdigit() or len(value) > 3:
        raise InvalidDeadline(
            f"depth {value!r}: forward the incoming call's depth, a number of at most 3 digits"
        )
    return int(value)


def compute_forwarded_timeout_ms(remaining_s: float) -> int:
    """Return the milliseconds to send to the next hop; 0 means that no time is left."""
    return max(0, int(remaining_s * 1000) - HOP_MARGIN_MS)
