"""Channels of the peer transport: each belongs to one service of the daemon."""

from collections.abc import Callable
from enum import IntEnum

from godwitpass.ids import Address


class Channel(IntEnum):
    """The service that receives a message; the values are part of the wire format."""

    MEMBERSHIP = 1
    DISTRIBUTION = 2
    CLAIMS = 3
    CRASHES = 4
    FRESHNESS = 5
    QUOTAS = 6
    ROLLOUTS = 7


Handler = Callable[[Address, bytes], None]
"""Called with the sender's address and an authenticated payload."""
