"""Claim messages between daemons, claim statuses and claim outcomes."""

from enum import Enum
from typing import Annotated

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.claims.keys import SHARD_COUNT, ClaimKey, ShardId

STATUS_RELEASED = 1
"""Status of a claim whose call was not sent; its key may be claimed again."""

STATUS_ANSWERED = 2
"""Status of a claim whose call was answered with an unknown HTTP status.

Higher values are the HTTP status of the answer.
"""

STATUS_PENDING = 0
"""Status of a claim whose call is not known to have been answered or released."""

MAX_HTTP_STATUS = 599


class ClaimOutcome(Enum):
    """Answer to a claim; the call may be sent only after `GRANTED`.

    `RAN`, `IN_PROGRESS` and `UNKNOWN`: an earlier attempt with the same key was granted; it was
    answered, may still run, or has an unknown result. `EXPIRED`: the key is too old or too far in
    the future. `UNAVAILABLE`: the claim is not recorded. `UNSETTLED`: the claim may be recorded,
    and the requester releases it. After either of the last two the call of this attempt is not
    sent, and the caller is told so.
    """

    GRANTED = 1
    RAN = 2
    IN_PROGRESS = 3
    UNKNOWN = 4
    EXPIRED = 5
    UNAVAILABLE = 6
    UNSETTLED = 7


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Request for the right to run a call; `token` identifies one attempt of a caller.

    `generation` is the highest generation of the shard that the requester has seen. It counts the
    writes of the shard's head. With `should_forward` the receiver, in another region, forwards the
    request to that region's candidate of `rank`.
    """

    token: int
    key: ClaimKey
    generation: int
    requester: Address
    rank: int = 0
    should_forward: bool = False


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to a claim; `status` is the recorded status if the call of the key ran."""

    token: int
    outcome: ClaimOutcome
    status: int
    generation: int


class StatusUpdate(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Result of a claim: `STATUS_RELEASED`, `STATUS_ANSWERED` or an HTTP status."""

    token: int
    key: ClaimKey
    status: int
    requester: Address
    should_forward: bool = False


class StatusUpdateReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Acknowledges that a status update is recorded or no longer needed."""

    token: int


class GenerationAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Announces a shard's generation to the other candidates for serving the shard."""

    shard: Annotated[ShardId, msgspec.Meta(ge=0, lt=SHARD_COUNT)]
    generation: int


ClaimMessage = ClaimRequest | ClaimReply | StatusUpdate | StatusUpdateReply | GenerationAnnouncement

_DECODER: msgspec.msgpack.Decoder[ClaimMessage] = msgspec.msgpack.Decoder(
    ClaimRequest | ClaimReply | StatusUpdate | StatusUpdateReply | GenerationAnnouncement
)


def encode_message(message: ClaimMessage) -> bytes:
    """Encode a message for the claims channel."""
    return msgspec.msgpack.encode(message)


def decode_message(payload: bytes) -> ClaimMessage:
    """Decode a message; raises `msgspec.DecodeError`."""
    return _DECODER.decode(payload)
