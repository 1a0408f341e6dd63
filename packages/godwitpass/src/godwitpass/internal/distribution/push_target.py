"""What one daemon knows of another that it tells of new versions."""

import math
from enum import Enum

from godwitpass.ids import NO_VERSION, Address, InstanceId, ZoneId


class Role(Enum):
    """Why a daemon is told of new versions."""

    CHILD = 0
    PARENT = 1
    ZONE = 2


class PushTarget:
    """A daemon that is told of new versions; `position` is its rank in its availability zone.

    One that is `upwards` is told only of versions that didn't come from above in the tree.
    """

    __slots__ = (
        "address",
        "deadline",
        "held",
        "holder_count",
        "laggards",
        "position",
        "role",
        "silent",
        "tries",
        "upwards",
        "zone",
    )

    def __init__(self, address: Address, role: Role, zone: ZoneId, position: int) -> None:
        self.address = address
        self.role = role
        self.zone = zone
        self.position = position
        self.held = NO_VERSION
        self.holder_count = 0
        self.laggards: tuple[InstanceId, ...] = ()
        self.tries = 0
        self.silent = False
        self.upwards = role is Role.PARENT
        self.deadline = math.inf

    def inherit(self, earlier: "Target | None") -> None:
        """Take over what was known of the same daemon in an earlier view."""
        if earlier is not None:
            self.held, self.holder_count = earlier.held, earlier.holder_count
            self.laggards, self.silent = earlier.laggards, earlier.silent
            self.tries, self.deadline = earlier.tries, earlier.deadline
