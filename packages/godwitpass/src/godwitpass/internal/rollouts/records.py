"""Orders and records of roll-outs, as the store holds them."""

from collections.abc import Callable
from enum import Enum

import msgspec

from godwitpass.errors import GodwitpassError
from godwitpass.ids import NO_REVISION, Revision, ServiceName, SoftwareVersion


class InvalidOrder(GodwitpassError):
    """An order or a record in the store can't be used."""


class Phase(Enum):
    """State of a roll-out; the last two are final. `NONE`: the store holds no record."""

    NONE = 0
    RUNNING = 1
    COMPLETED = 2
    ROLLED_BACK = 3

    @property
    def is_final(self) -> bool:
        """Return whether the roll-out has ended."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


class Step(Enum):
    """Step of a running roll-out: a share of the calls, or all of them, go to the target."""

    CANARY = "canary"
    SWITCHING = "switching"


class Order(msgspec.Struct, frozen=True):
    """The operator's order to move `service` to `target` within `duration_s`."""

    service: ServiceName
    target: SoftwareVersion
    duration_s: float
    revision: Revision = NO_REVISION


class Record(msgspec.Struct, frozen=True):
    """What the store says about the last roll-out of a service.

    `order` is the revision of the order with which the roll-out began; together with `target` it
    identifies the roll-out.
    """

    phase: Phase
    target: SoftwareVersion
    step: Step = Step.CANARY
    order: Revision = NO_REVISION
    reason: str = ""


class RolloutSource(msgspec.Struct, frozen=True):
    """Where and how another system stores orders and records, each below a prefix and by service.

    The two functions that decode raise `InvalidOrder`. `decode_order` takes the service, the value
    and the revision of the entry.
    """

    order_prefix: str
    record_prefix: str
    decode_order: Callable[[ServiceName, bytes, Revision], Order]
    decode_record: Callable[[bytes], Record]
    encode_record: Callable[[Record], bytes]
