"""Messages by which daemons pass freshness proofs on, and their encoding."""

import math
from typing import Annotated

import msgspec
from msgspec import Meta

from godwitpass.ids import Version

MAX_AGE_MS = 60_000
"""Age that stands for any higher one and for no proof; proofs expire long before."""

Nonce = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class ProofRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a proof that is newer than the sender's own, which is `age_ms` old.

    With `may_wait`, the receiver answers as soon as it has such a proof, else at once or never.
    """

    nonce: Nonce
    age_ms: Annotated[int, Meta(ge=0, le=MAX_AGE_MS)]
    may_wait: bool


class ProofResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Tells that `version` was the newest in the store `age_ms` before the request arrived.

    The age is negative if the sender obtained the proof while the request waited.
    """

    nonce: Nonce
    version: Annotated[Version, Meta(ge=0)]
    age_ms: Annotated[int, Meta(ge=-MAX_AGE_MS, le=MAX_AGE_MS)]


Message = ProofRequest | ProofResponse

_decoder = msgspec.msgpack.Decoder(Message)


def convert_age_ms(age_s: float) -> int:
    """Return an age in whole milliseconds, rounded up so that a proof never becomes newer.

    >>> convert_age_ms(0.0101), convert_age_ms(-0.0101), convert_age_ms(1e9)
    (11, -10, 60000)
    """
    return max(-MAX_AGE_MS, min(MAX_AGE_MS, math.ceil(age_s * 1000)))


def encode_message(message: Message) -> bytes:
    """Encode `message`."""
    return msgspec.msgpack.encode(message)


def decode_message(payload: bytes) -> Message:
    """Decode a message from a peer; raises `msgspec.MsgspecError` if it is malformed."""
    return _decoder.decode(payload)
