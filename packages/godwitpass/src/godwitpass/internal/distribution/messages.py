"""Messages of the distribution channel between daemons."""

import msgspec

from godwitpass.errors import GodwitpassError
from godwitpass.ids import ChangeId, InstanceId, Version, ZoneId

MAX_BASES = 8
MAX_LAGGARDS = 8


class InvalidMessage(GodwitpassError):
    """A peer's message could not be decoded; nothing of it was applied."""


class Announce(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The sender holds `version`; `acknowledge` asks for an answer even when that is no news."""

    version: Version
    digest: bytes
    acknowledge: bool = False


class Update(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A version as a delta from version `base`, or whole when `base` is 0."""

    version: Version
    change: ChangeId
    digest: bytes
    base: Version
    body: bytes


class Holding(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The sender and `holders - 1` daemons below it hold `version` or a later one."""

    version: Version
    holders: int
    laggards: tuple[InstanceId, ...] = ()


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks for the receiver's version; `bases` are the versions that a delta may start from."""

    bases: tuple[Version, ...] = ()


class Busy(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The receiver of a `Fetch` serves no more whole versions for `retry_s` seconds."""

    retry_s: float


class ZoneHoldings(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """How many of the daemons of an availability zone hold `version`."""

    zone: ZoneId
    version: Version
    holders: int
    daemons: int
    laggards: tuple[InstanceId, ...] = ()


class AskHoldings(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks the root of the tree for the holdings of all availability zones."""


class AllHoldings(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answers `AskHoldings`."""

    zones: tuple[ZoneHoldings, ...]


Message = Announce | Update | Holding | Fetch | Busy | ZoneHoldings | AskHoldings | AllHoldings

_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode `message`."""
    return msgspec.msgpack.encode(message)


def decode_message(payload: bytes) -> Message:
    """Decode a peer's message; raises `InvalidMessage`."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise InvalidMessage(str(error)) from error
