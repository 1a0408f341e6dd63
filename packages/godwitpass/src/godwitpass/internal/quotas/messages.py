"""Messages between daemons about the rate limits of customers."""

from typing import Annotated

import msgspec
from msgspec import Meta

from godwitpass.ids import CustomerName

MAX_TOKENS = 4096
"""Tokens that one entry may ask for, grant or return."""

MAX_ENTRIES = 64
ELECTORATE_HASH_BYTES = 4
MAX_ELECTORATE_BYTES = 256 * ELECTORATE_HASH_BYTES

Name = Annotated[CustomerName, Meta(min_length=1, max_length=63)]
Tokens = Annotated[int, Meta(ge=0, le=MAX_TOKENS)]
Number = Annotated[int, Meta(ge=0, le=2**62)]


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """Time of an owner's clock; `session` identifies the owner's process."""

    session: Number
    at_us: Number


class Want(msgspec.Struct, frozen=True, array_like=True):
    """Tokens wanted for calls that wait, and `ahead` for expected ones."""

    customer: Name
    waiting: Tokens
    ahead: Tokens


class Return(msgspec.Struct, frozen=True, array_like=True):
    """Unused tokens of the grant with number `nonce`."""

    nonce: Number
    customer: Name
    count: Tokens


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Reports a daemon to a coordinator, asks for tokens and returns unused ones.

    `echo` is the latest stamp received from this coordinator and `elapsed_us` the time since its
    receipt: their sum is never later than the moment of sending, on the coordinator's clock. An
    empty `electorate` means that the message is no vote. A vote with a new `start_number` brings
    start credit; 0 is none.
    """

    session: Number
    nonce: Number
    daemon_count: Annotated[int, Meta(ge=1, le=1_000_000)]
    electorate: Annotated[bytes, Meta(max_length=MAX_ELECTORATE_BYTES)]
    start_number: Number
    echo: Stamp | None
    elapsed_us: Number
    wants: Annotated[tuple[Want, ...], Meta(max_length=MAX_ENTRIES)]
    returns: Annotated[tuple[Return, ...], Meta(max_length=MAX_ENTRIES)]


class Granted(msgspec.Struct, frozen=True, array_like=True):
    """Tokens granted; with fewer than wanted, the time after which credit returns.

    `retry_after_ms` is `NO_SHARE_MS` if the daemon that answers has no credit to grant from.
    """

    customer: Name
    count: Tokens
    retry_after_ms: Annotated[int, Meta(ge=-1, le=3_600_000)]


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers the `Ask` with the same session and nonce, by the limits of document `version`."""

    session: Number
    nonce: Number
    stamp: Stamp
    version: Number
    grants: Annotated[tuple[Granted, ...], Meta(max_length=MAX_ENTRIES)]


NO_SHARE_MS = -1

Message = Ask | Answer
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message for `Channel.QUOTAS`."""
    return msgspec.msgpack.encode(message)


def decode_message(payload: bytes) -> Message:
    """Decode a message; raises `msgspec.DecodeError`."""
    return _DECODER.decode(payload)
