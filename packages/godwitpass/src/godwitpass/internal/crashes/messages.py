"""Messages between daemons about suspected requests."""

from typing import Annotated

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.crashes.fingerprint import FINGERPRINT_BYTES, Fingerprint

MAX_REPORTS = 16
"""Reports in one message, which then fits a datagram."""


class Counts(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon saw of a request since it was first suspected.

    `broken` attempts that an upstream ended at once are one of `crashes`.
    """

    crashes: int = 0
    broken: int = 0
    attempts: int = 0


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """One daemon's counts; `age_ms` is the time since the request's latest crash."""

    fingerprint: Annotated[
        Fingerprint, msgspec.Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES)
    ]
    reporter: Address
    counts: Counts
    age_ms: int


class SuspectReports(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """News for other daemons."""

    reports: Annotated[tuple[SuspectReport, ...], msgspec.Meta(max_length=MAX_REPORTS)]


_DECODER = msgspec.msgpack.Decoder(SuspectReports)


def encode_message(message: SuspectReports) -> bytes:
    """Encode a message for the channel of crashes."""
    return msgspec.msgpack.encode(message)


def decode_message(payload: bytes) -> SuspectReports:
    """Decode a message; raises `msgspec.DecodeError`."""
    return _DECODER.decode(payload)
