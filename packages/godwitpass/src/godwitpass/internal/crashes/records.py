"""Records of crash counts in the store, where they outlive all daemons."""

from typing import Annotated

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.crashes.messages import SuspectReport

PREFIX = "crashes/"
MAX_RECORDED_REPORTS = 32
"""Reports per record; those of the requests with most crashes go first."""

MAX_RECORD_BYTES = 16 * 1024
NS_PER_MS = 1_000_000


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon knows of the requests that crashed its upstream.

    `written_ms` is the time of the write in Unix milliseconds, to which the ages in the reports
    refer.
    """

    written_ms: Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
    reports: Annotated[tuple[SuspectReport, ...], msgspec.Meta(max_length=MAX_RECORDED_REPORTS)]


_decoder = msgspec.msgpack.Decoder(CrashRecord)


def build_key(address: Address) -> str:
    """Return the key of the record of the daemon at `address`.

    >>> build_key(Address("10.0.0.1:7000"))
    'crashes/10.0.0.1:7000'
    """
    return PREFIX + address


def encode_record(reports: tuple[SuspectReport, ...], now_ms: int) -> bytes:
    """Encode a record that is written at `now_ms`."""
    return msgspec.msgpack.encode(CrashRecord(now_ms, reports))


def decode_record(value: bytes, now_ms: int) -> tuple[SuspectReport, ...]:
    """Return the reports of a record with their ages at `now_ms`; raises `ValueError`.

    A record from the future, by a clock that was set back, counts as written now.

    >>> from godwitpass.internal.crashes.fingerprint import Fingerprint
    >>> from godwitpass.internal.crashes.messages import CrashCounts
    >>> reporter, counts = Address("10.0.0.1:7000"), CrashCounts(3, 3, 3)
    >>> report = SuspectReport(Fingerprint(bytes(16)), reporter, counts, age_ms=500)
    >>> [each.age_ms for each in decode_record(encode_record((report,), 1_000), 3_000)]
    [2500]
    """
    if len(value) > MAX_RECORD_BYTES:
        raise ValueError(f"a record of {len(value)} bytes")
    try:
        record = _decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f"no record of crashes: {error}") from error
    elapsed_ms = max(0, now_ms - record.written_ms)
    return tuple(
        msgspec.structs.replace(report, age_ms=max(0, report.age_ms) + elapsed_ms)
        for report in record.reports
    )
