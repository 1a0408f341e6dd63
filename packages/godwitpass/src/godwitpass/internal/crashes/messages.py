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
    one, but count as a single one of `crashes`. `survived_trials` is 1 once an attempt has
    succeeded after a single burst of crashes, for which the request was refused.
    """

    crashes: int = 0
    broken_attempts: int = 0
    attempts: int = 0
    survived_trials: int = 0


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """The counts of one daemon.

    `age_ms` is the time since the request's latest crash, `bursts` the number of its bursts.
    """

    fingerprint: Annotated[
        Fingerprint, msgspec.Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES)
    ]
    reporter: Address
    counts: CrashCounts
    age_ms: int
    bursts: int = 1


class SuspectReports(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Message with reports: new ones, ones that may have been lost, or the answer to a request."""

    reports: Annotated[tuple[SuspectReport, ...], msgspec.Meta(max_length=MAX_REPORTS)]
    is_answer: bool = False


class SuspectsRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks for reports after a start; the answer may be empty."""


CrashesMessage = SuspectReports | SuspectsRequest

_DECODER = msgspec.msgpack.Decoder(CrashesMessage)


def encode_message(message: CrashesMessage) -> bytes:
    """Encode a message for `Channel.CRASHES`."""
    return msgspec.msgpack.encode(message)


def decode_message(payload: bytes) -> CrashesMessage:
    """Decode a message; raises `msgspec.DecodeError`."""
    return _DECODER.decode(payload)
