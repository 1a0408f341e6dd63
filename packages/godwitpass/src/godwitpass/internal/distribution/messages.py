"""Messages that daemons exchange to distribute versions, and their encoding."""

from typing import Annotated

import msgspec
from msgspec import Meta

from godwitpass.ids import ChangeId, InstanceId, Version, ZoneId
from godwitpass.internal.codec import HASH_BYTES

MAX_BASES = 8
MAX_LAGGARDS = 8
MAX_ZONES = 256
MAX_RETRY_S = 60.0


VersionNumber = Annotated[Version, Meta(ge=0)]
Digest = Annotated[bytes, Meta(max_length=HASH_BYTES)]
Count = Annotated[int, Meta(ge=0)]
Bases = Annotated[tuple[Version, ...], Meta(max_length=MAX_BASES)]
Laggards = Annotated[tuple[InstanceId, ...], Meta(max_length=MAX_LAGGARDS)]


class Announce(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Tells that the sender holds `version`; `wants_reply` requests a reply.

    Without `wants_reply`, a receiver that holds the same version does not reply. The store last
    answered a reader `store_age_ms` ago, as far as the sender knows.
    """

    version: VersionNumber
    digest: Digest
    wants_reply: bool = False
    store_age_ms: Annotated[int, Meta(ge=0)] | None = None


class Update(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Carries a version, as a delta from version `base` or as a full document if `base` is 0."""

    version: VersionNumber
    change: ChangeId
    digest: Digest
    base: VersionNumber
    body: bytes


class SubtreeHoldings(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The sender and `holder_count - 1` daemons below it hold `version` or a later one."""

    version: VersionNumber
    holder_count: Count
    laggards: Laggards = ()


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Requests the receiver's version; `bases` are the versions that a delta may be based on."""

    bases: Bases = ()


class Busy(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Rejects a `Fetch`: the sender serves no more full versions for `retry_s` seconds."""

    retry_s: Annotated[float, Meta(ge=0, le=MAX_RETRY_S)]


class ZoneHoldings(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Tells how many of the daemons of an availability zone hold `version`."""

    zone: ZoneId
    version: VersionNumber
    holder_count: Count
    daemon_count: Count
    laggards: Laggards = ()


class HoldingsRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Requests the holdings of all availability zones from the root of the tree."""


class HoldingsResponse(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answers a `HoldingsRequest`."""

    zones: Annotated[tuple[ZoneHoldings, ...], Meta(max_length=MAX_ZONES)]


class Handover(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Tells that the sender, a reader, can't reach the store; the receiver reads in its place."""


Message = (
    Announce
    | Update
    | SubtreeHoldings
    | Fetch
    | Busy
    | ZoneHoldings
    | HoldingsRequest
    | HoldingsResponse
    | Handover
)

_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode `message`."""
    return msgspec.msgpack.encode(message)


def decode_message(payload: bytes) -> Message:
    """Decode a message from a peer; raises `msgspec.MsgspecError` if it is malformed."""
    return _decoder.decode(payload)
