"""Messages of the distribution channel between daemons."""

from typing import Annotated

import msgspec
from msgspec import Meta

from godwitpass.ids import ChangeId, InstanceId, Version, ZoneId
from godwitpass.internal.codec import HASH_BYTES

MAX_BASES = 8
MAX_LAGGARDS = 8
MAX_ZONES = 256
MAX_RETRY_S = 60.0


Number = Annotated[Version, Meta(ge=0)]
Digest = Annotated[bytes, Meta(max_length=HASH_BYTES)]
Count = Annotated[int, Meta(ge=0)]
Bases = Annotated[tuple[Version, ...], Meta(max_length=MAX_BASES)]
Laggards = Annotated[tuple[InstanceId, ...], Meta(max_length=MAX_LAGGARDS)]


class Announce(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The sender holds `version`; `acknowledge` asks for an answer even when that is no news."""

    version: Number
    digest: Digest
    acknowledge: bool = False


class Update(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A version as a delta from version `base`, or whole when `base` is 0."""

    version: Number
    change: ChangeId
    digest: Digest
    base: Number
    body: bytes


class SubtreeHoldings(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The sender and `holders - 1` daemons below it hold `version` or a later one."""

    version: Number
    holder_count: Count
    laggards: Laggards = ()


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks for the receiver's version; `bases` are the versions that a delta may start from."""

    bases: Bases = ()


class Busy(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The receiver of a `Fetch` serves no more whole versions for `retry_s` seconds."""

    retry_s: Annotated[float, Meta(ge=0, le=MAX_RETRY_S)]


class ZoneHoldings(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """How many of the daemons of an availability zone hold `version`."""

    zone: ZoneId
    version: Number
    holder_count: Count
    daemon_count: Count
    laggards: Laggards = ()


class HoldingsRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks the root of the tree for the holdings of all availability zones."""


class HoldingsResponse(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answers `HoldingsRequest`."""

    zones: Annotated[tuple[ZoneHoldings, ...], Meta(max_length=MAX_ZONES)]


Message = Announce | Update | SubtreeHoldings | Fetch | Busy | ZoneHoldings | HoldingsRequest | HoldingsResponse

_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode `message`."""
    return msgspec.msgpack.encode(message)


def decode_message(payload: bytes) -> Message:
    """Decode a peer's message; raises `msgspec.MsgspecError`."""
    return _decoder.decode(payload)
