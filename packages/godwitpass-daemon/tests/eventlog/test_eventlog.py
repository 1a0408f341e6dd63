"""Tests of the event log and of merging the events of several processes."""

import json
from pathlib import Path

import anyio
import msgspec
import pytest

from godwitpass.document import Document
from godwitpass.events import EventKind, Level, TimelineEvent
from godwitpass.ids import Address, ChangeId, ContentHash, InstanceId, RegionId, Version, ZoneId
from godwitpass.snapshot import Snapshot
from godwitpass.timeline import InvalidTimeline, merge_timelines, parse_timeline
from godwitpass_daemon.eventlog.limiter import MAX_EVENTS_ALL_KINDS, MAX_EVENTS_PER_KIND
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.settings import ListenSettings, LogFormat, Settings

APPLIED = EventKind(201, "version-applied", "A version is in force.", Level.WARNING)
LISTEN = ListenSettings(*(Address(f"127.0.0.1:{port}") for port in range(7001, 7005)))


def build_settings(instance: str, **changes: object) -> Settings:
    settings = Settings(
        InstanceId(instance),
        ZoneId("lakes-a"),
        RegionId("great-lakes"),
        LISTEN,
        (Address("127.0.0.1:1"),),
        "t" * 16,
        "k" * 16,
    )
    return msgspec.structs.replace(settings, **changes)


class TestEventLog:
    def test_the_log_file_holds_the_kept_events_of_its_own_process_only(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "one.log"
        first_log = EventLog(build_settings("one", log_file=str(path)))
        second_log = EventLog(build_settings("two"))

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                await first_log.start(tasks)
                await second_log.start(tasks)
            first_log.update_version(
                Snapshot(Version(7), ChangeId("c"), ContentHash("00"), Document(1))
            )
            first_log.emit(APPLIED, service="{maal}\n<red>")
            second_log.emit(APPLIED)
            await first_log.stop()
            await second_log.stop()

        anyio.run(run)
        events = parse_timeline(path.read_bytes(), "one.log")
        assert events == list(first_log.list_events())
        assert [event.name for event in events][1:-1] == ["version-applied"]
        assert (events[1].version, events[1].fields) == (7, {"service": "{maal}\n<red>"})

    def test_json_lines_go_to_standard_error_if_configured(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        log = EventLog(build_settings("one", log_format=LogFormat.JSON))

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                await log.start(tasks)
            await log.stop()

        anyio.run(run)
        names = [json.loads(line)["name"] for line in capsys.readouterr().err.splitlines()]
        assert names == ["process-started", "process-stopping"]

    def test_a_burst_of_one_kind_is_counted_and_leaves_room_for_other_kinds(self) -> None:
        now = 10.0
        log = EventLog(build_settings("one"), clock=lambda: now)
        for _ in range(MAX_EVENTS_PER_KIND + 30):
            log.emit(APPLIED)
        log.emit(EventKind(202, "other", "Another."))
        assert len(log.list_events()) == MAX_EVENTS_PER_KIND + 1
        now = 11.5
        log.emit(APPLIED)
        assert log.list_events()[-2].fields == {"number": 201, "count": 30}

    def test_many_kinds_together_stay_within_the_limit_of_all_kinds(self) -> None:
        log = EventLog(build_settings("one"), clock=lambda: 10.0)
        for number in range(400):
            log.emit(EventKind(number, f"kind-{number}", "One of many."))
        assert len(log.list_events()) == MAX_EVENTS_ALL_KINDS

    def test_events_below_the_log_level_are_kept_but_not_logged(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        log = EventLog(build_settings("one", log_level=Level.WARNING))

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                await log.start(tasks)
            log.emit(APPLIED)
            await log.stop()

        anyio.run(run)
        assert len(log.list_events()) == 3
        (line,) = capsys.readouterr().err.splitlines()
        assert "201 version-applied" in line

    def test_events_are_listed_from_after_a_sequence_number(self) -> None:
        log = EventLog(build_settings("one"))
        log.emit(APPLIED)
        log.emit(APPLIED)
        earlier, later = log.list_events()
        assert log.list_events(after=earlier.sequence) == [later]


def build_event(instance: str, time: float, sequence: int) -> TimelineEvent:
    origin = (InstanceId(instance), ZoneId("z"), RegionId("r"), Version(1))
    return TimelineEvent(time, sequence, 201, "version-applied", *origin)


class TestTimelineMerge:
    def test_events_of_processes_interleave_by_time_and_keep_the_order_within_each_process(
        self,
    ) -> None:
        first_events = [
            build_event("one", 5.0, 1),
            build_event("one", 2.0, 2),
            build_event("one", 9.0, 3),
        ]
        second_events = [build_event("two", 4.0, 8), build_event("two", 6.0, 9)]
        merged = merge_timelines([reversed(first_events), second_events, first_events[:2]])
        assert [(event.instance, event.sequence) for event in merged] == [
            ("two", 8),
            ("one", 1),
            ("one", 2),
            ("two", 9),
            ("one", 3),
        ]

    def test_a_line_truncated_by_a_crash_is_skipped(self) -> None:
        complete_line = msgspec.json.encode(build_event("one", 5.0, 1))
        assert len(parse_timeline(complete_line + b"\n" + complete_line[:20], "x")) == 1

    def test_a_text_log_is_refused_with_file_and_line(self) -> None:
        with pytest.raises(InvalidTimeline, match=r"x\.log:2: not an event"):
            parse_timeline(b"\n201 version-applied\n", "x.log")
