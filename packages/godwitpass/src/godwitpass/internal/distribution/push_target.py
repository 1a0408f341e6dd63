"""State that a daemon keeps about another one to which it pushes versions."""

import math
from enum import Enum

from godwitpass.ids import NO_VERSION, Address, InstanceId, ZoneId


class Role(Enum):
    """Relation of a push target to this daemon; `REMOTE` is a member of another zone."""

    CHILD = 0
    PARENT = 1
    REMOTE = 2


class PushTarget:
    """A daemon to which versions are pushed; `position` is its rank in its availability zone.

    If it `is_upward`, versions that came from above in the tree are not pushed to it.
    """

    __slots__ = (
        "address",
        "attempts",
        "deadline",
        "holder_count",
        "is_silent",
        "is_upward",
        "known_version",
        "laggards",
        "position",
        "pushed_version",
        "role",
        "zone",
    )

    def __init__(self, address: Address, role: Role, zone: ZoneId, position: int) -> None:
        self.address = address
        self.role = role
        self.zone = zone
        self.position = position
        self.known_version = NO_VERSION
        self.pushed_version = NO_VERSION
        self.holder_count = 0
        self.laggards: tuple[InstanceId, ...] = ()
        self.attempts = 0
        self.is_silent = False
        self.is_upward = role is Role.PARENT
        self.deadline = math.inf

    @property
    def is_awaited(self) -> bool:
        """Whether the acknowledgement of the version pushed last is outstanding."""
        return self.deadline < math.inf and self.known_version < self.pushed_version

    def copy_state_from(self, previous: "PushTarget | None") -> None:
        """Copy the state of the target for the same daemon in an earlier view, if any."""
        if previous is not None:
            self.known_version, self.holder_count = previous.known_version, previous.holder_count
            self.pushed_version = previous.pushed_version
            self.laggards, self.is_silent = previous.laggards, previous.is_silent
            self.attempts, self.deadline = previous.attempts, previous.deadline
