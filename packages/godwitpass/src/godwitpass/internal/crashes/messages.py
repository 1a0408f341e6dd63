"""Messages by which daemons share their crash counts of suspected requests."""

from typing import Annotated

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.crashes.fingerprint import FINGERPRINT_BYTES, Fingerprint

MAX_REPORTS = 16
"""Reports per message, so that a message fits a datagram."""


class CrashCounts(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon observed of a request since it was first suspected.

    An upstream that crashes breaks all its attempts at once: they add to `broken_attempts` one by
    one, but count as a single one of `crashes`.
    """

    crashes: int = 0
    broken_attempts: int = 0
    attempts: int = 0


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """The counts of one daemon; `age_ms` is the time since the request's latest crash."""

    fingerprint: Annotated[
        Fingerprint, msgspec.Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES)
    ]
    reporter: Address
    counts: CrashCounts
    age_ms: int


class SuspectReports(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Message with new or changed reports."""

    reports: Annotated[tuple[SuspectReport, ...], msgspec.Meta(max_length=MAX_REPORTS)]


_DECODER = msgspec.msgpack.Decoder(SuspectReports)


def encode_message(message: SuspectReports) -> bytes:
    """Encode a message for `Channel.CRASHES`."""
    return msgspec.msgpack.encode(message)


def decode_message(payload: bytes) -> SuspectReports:
    """Decode a message; raises `msgspec.DecodeError`."""
    return _DECODER.decode(payload)
