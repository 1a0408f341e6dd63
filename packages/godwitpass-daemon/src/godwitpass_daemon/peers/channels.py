"""Channels: which service of a daemon a peer message is for."""

from collections.abc import Callable
from enum import IntEnum

from godwitpass.ids import Address


class Channel(IntEnum):
    """The receiving service; the numbers are part of the wire format."""

    MEMBERSHIP = 1
    DISTRIBUTION = 2
    CLAIMS = 3
    CRASHES = 4


Handler = Callable[[Address, bytes], None]
"""Takes the sender's address and an authenticated payload."""
