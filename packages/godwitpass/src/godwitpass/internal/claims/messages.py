"""Messages between daemons about claims, and the outcome of a claim."""

from enum import Enum
from typing import Annotated

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.claims.keys import SHARDS, ClaimKey, ShardId

RELEASED = 1
"""Status of a claim whose call was not sent; 0 is a claim without a mark."""

ANSWERED = 2
"""Status of a call that was answered, where the HTTP status is not told; higher ones are that."""

UNMARKED = 0
LAST_HTTP_STATUS = 599


class ClaimOutcome(Enum):
    """Answer to a claim; only `GRANTED` lets the call be sent.

    `UNAVAILABLE`: nothing is recorded. `UNSETTLED`: the claim may be recorded, and the asker
    releases it. Both mean to the caller that this sending was not run.
    """

    GRANTED = 1
    RAN = 2
    IN_PROGRESS = 3
    UNKNOWN = 4
    EXPIRED = 5
    UNAVAILABLE = 6
    UNSETTLED = 7


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for the right to run a call; `token` is unique to one sending by a caller.

    `generation` is the highest that the asker has seen of the shard. A daemon of another region
    that gets it with `pass_on` sends it on to the holder of that rank.
    """

    token: int
    key: ClaimKey
    generation: int
    asker: Address
    rank: int = 0
    pass_on: bool = False


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a claim; `status` is the HTTP status of a call that ran."""

    token: int
    outcome: ClaimOutcome
    status: int
    generation: int


class Mark(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Tells what became of a granted claim: an HTTP status, or `RELEASED`."""

    token: int
    key: ClaimKey
    status: int
    asker: Address
    pass_on: bool = False


class MarkReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Tells that a mark is recorded, or no longer needed."""

    token: int


class GenerationSeen(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Tells the daemons next in line for a shard how far it has come."""

    shard: Annotated[ShardId, msgspec.Meta(ge=0, lt=SHARDS)]
    generation: int


ClaimMessage = ClaimRequest | ClaimReply | Mark | MarkReply | GenerationSeen

_DECODER: msgspec.msgpack.Decoder[ClaimMessage] = msgspec.msgpack.Decoder(
    ClaimRequest | ClaimReply | Mark | MarkReply | GenerationSeen
)


def encode_message(message: ClaimMessage) -> bytes:
    """Encode a message for the channel of claims."""
    return msgspec.msgpack.encode(message)


def decode_message(payload: bytes) -> ClaimMessage:
    """Decode a message; raises `msgspec.DecodeError`."""
    return _DECODER.decode(payload)
