import random

import msgspec
import pytest

from godwitpass.ids import Address
from godwitpass.internal.crashes.fingerprint import compute_fingerprint
from godwitpass.internal.crashes.messages import CrashCounts, SuspectReport
from godwitpass.internal.crashes.node import (
    AttemptEnded,
    CrashesNode,
    ReportsChanged,
    ReportsRestored,
    UpstreamCrashed,
)
from godwitpass.internal.crashes.records import (
    MAX_RECORD_BYTES,
    MAX_RECORDED_REPORTS,
    decode_record,
    encode_record,
)
from godwitpass.internal.crashes.suspects import MAX_CRASHES, SUSPECT_TTL_S

CRASHING_REQUEST = compute_fingerprint("maal", "POST", b"/scans", b"poison")
HARMLESS_REQUEST = compute_fingerprint("maal", "GET", b"/patterns", b"")
ADDRESSES = tuple(Address(f"10.0.0.{host}:7000") for host in range(MAX_CRASHES))
CRASH_INTERVAL_S = 1.0
RESTARTED_AT = 100.0
NOW_MS = 1_800_000_000_000


def build_node(address: Address, start: str) -> CrashesNode:
    return CrashesNode(address, random.Random(1), start)


def record_crashes(start: str) -> list[bytes]:
    """Let one upstream of each daemon crash, and return the records of the daemons."""
    records = []
    for number, address in enumerate(ADDRESSES):
        node, crashed_at = build_node(address, start), number * CRASH_INTERVAL_S
        assert ReportsChanged() in node.handle(UpstreamCrashed(CRASHING_REQUEST), crashed_at)
        records.append(encode_record(node.list_recorded_reports(crashed_at), NOW_MS))
    return records


def restore(node: CrashesNode, records: list[bytes], age_ms: int, now: float) -> None:
    for record in records:
        node.handle(ReportsRestored(decode_record(record, NOW_MS + age_ms)), now)


class TestRestoredReports:
    def test_a_daemon_that_reads_the_records_of_all_refuses_the_request(self) -> None:
        # Guards against counts that are gone when all daemons end at once.
        node = build_node(ADDRESSES[0], "second")
        assert not node.is_refused(CRASHING_REQUEST, RESTARTED_AT)
        restore(node, record_crashes("first"), 500, RESTARTED_AT)
        assert node.is_refused(CRASHING_REQUEST, RESTARTED_AT)
        assert not node.is_refused(HARMLESS_REQUEST, RESTARTED_AT)

    def test_reading_them_twice_counts_no_crash_twice(self) -> None:
        node = build_node(ADDRESSES[0], "second")
        for _ in range(3):
            restore(node, record_crashes("first")[1:], 500, RESTARTED_AT)
        assert not node.is_refused(CRASHING_REQUEST, RESTARTED_AT)

    def test_they_expire_as_the_counts_do(self) -> None:
        node = build_node(ADDRESSES[0], "second")
        restore(node, record_crashes("first"), int(SUSPECT_TTL_S * 1000), RESTARTED_AT)
        assert not node.is_refused(CRASHING_REQUEST, RESTARTED_AT)
        assert not node.has_suspects

    def test_a_clock_that_was_set_back_makes_them_no_younger_than_they_were(self) -> None:
        node = build_node(ADDRESSES[0], "second")
        restore(node, record_crashes("first"), -3_600_000, RESTARTED_AT)
        assert node.is_refused(CRASHING_REQUEST, RESTARTED_AT)
        assert not node.is_refused(CRASHING_REQUEST, RESTARTED_AT + SUSPECT_TTL_S)

    def test_a_later_record_holds_what_an_earlier_process_of_the_daemon_saw(self) -> None:
        # Guards against counts that are lost in the second of two restarts.
        second = build_node(ADDRESSES[0], "second")
        restore(second, record_crashes("first"), 500, RESTARTED_AT)
        record = encode_record(second.list_recorded_reports(RESTARTED_AT), NOW_MS)
        third = build_node(ADDRESSES[1], "third")
        restore(third, [record], 500, RESTARTED_AT)
        assert third.is_refused(CRASHING_REQUEST, RESTARTED_AT)

    def test_a_request_that_survived_its_trial_is_admitted_after_a_restart(self) -> None:
        first = build_node(ADDRESSES[0], "first")
        for number in range(MAX_CRASHES):
            first.handle(UpstreamCrashed(CRASHING_REQUEST), 0.15 * number)
        ended = first.handle(AttemptEnded(CRASHING_REQUEST, has_succeeded=True), 10.0)
        assert ReportsChanged() in ended
        record = encode_record(first.list_recorded_reports(10.0), NOW_MS)
        second = build_node(ADDRESSES[0], "second")
        restore(second, [record], 0, RESTARTED_AT)
        assert not second.is_refused(CRASHING_REQUEST, RESTARTED_AT)


class TestBounds:
    def test_a_record_holds_the_requests_with_most_crashes(self) -> None:
        node = build_node(ADDRESSES[0], "first")
        for number in range(2 * MAX_RECORDED_REPORTS):
            other = compute_fingerprint("maal", "GET", b"/patterns/%d" % number, b"")
            node.handle(UpstreamCrashed(other), 0.0)
        for number in range(MAX_CRASHES):
            node.handle(UpstreamCrashed(CRASHING_REQUEST), 1.0 + number)
        reports = node.list_recorded_reports(5.0)
        assert len(reports) == MAX_RECORDED_REPORTS
        assert reports[0].fingerprint == CRASHING_REQUEST
        assert len(encode_record(reports, NOW_MS)) < MAX_RECORD_BYTES

    def test_only_requests_that_crashed_the_own_upstream_are_recorded(self) -> None:
        node = build_node(ADDRESSES[0], "second")
        restore(node, record_crashes("first")[1:], 500, RESTARTED_AT)
        assert not node.list_recorded_reports(RESTARTED_AT)


class TestOddRecords:
    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"\xc1",
            b"\x91" * 10_000,
            b"\x00" * (MAX_RECORD_BYTES + 1),
            msgspec.msgpack.encode([-1, []]),
            msgspec.msgpack.encode([2**63, []]),
            msgspec.msgpack.encode([0, [[b"short", "a", [1, 1, 1, 0], 0, 1]]]),
        ],
        ids=["empty", "invalid", "nested", "large", "negative", "late", "fingerprint"],
    )
    def test_they_are_recognised(self, value: bytes) -> None:
        with pytest.raises(ValueError, match="record"):
            decode_record(value, NOW_MS)

    def test_a_report_of_the_future_counts_from_now(self) -> None:
        report = SuspectReport(CRASHING_REQUEST, ADDRESSES[0], CrashCounts(3, 3, 3), -5_000)
        (decoded,) = decode_record(encode_record((report,), NOW_MS), NOW_MS)
        assert decoded.age_ms == 0
