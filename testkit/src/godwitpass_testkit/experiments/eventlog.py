"""Measures the cost of events for a daemon, and of merging the events of many daemons.

Run `python -m godwitpass_testkit.experiments.eventlog --output eventlog.json`. Times are CPU
times.
"""

import argparse
import tempfile
import time
import tracemalloc
from pathlib import Path

import anyio
import msgspec

from godwitpass.events import EventKind, TimelineEvent
from godwitpass.ids import Address, InstanceId, RegionId, Version, ZoneId
from godwitpass.timeline import merge_timelines
from godwitpass_daemon.eventlog.limiter import MAX_EVENTS_PER_KIND
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.settings import PROFILES, Profile, Settings
from godwitpass_testkit.administration import build_settings
from godwitpass_testkit.measurements import Row, write_rows

EMITTED_EVENTS = 5_000
DAEMON_COUNTS = (10, 100, 1_000)
EVENTS_PER_DAEMON = 100
MICROSECONDS_PER_S = 1e6
MEASURED_KIND = EventKind(999, "measured", "Emitted by this experiment only.")


def measure_emit(log_file: str | None) -> list[Row]:
    """Measure emitting events that pass the rate limiter, and as many that it suppresses."""
    settings = msgspec.structs.replace(build_settings(Address("127.0.0.1:1")), log_file=log_file)
    passing_s, suppressed_s = anyio.run(_time_emits, settings)
    way = "ring" if log_file is None else "ring-and-file"
    return [
        Row("emit_cpu", {"way": way}, passing_s * MICROSECONDS_PER_S / EMITTED_EVENTS, "us"),
        Row(
            "held_back_cpu", {"way": way}, suppressed_s * MICROSECONDS_PER_S / EMITTED_EVENTS, "us"
        ),
    ]


async def _time_emits(settings: Settings) -> tuple[float, float]:
    now = 0.0
    log = EventLog(settings, clock=lambda: now)
    if settings.log_file is not None:
        log.add_log_file(settings.log_file)
    started_at = time.process_time()
    for number in range(EMITTED_EVENTS):
        now += 1.0 / MAX_EVENTS_PER_KIND
        log.emit(MEASURED_KIND, service="status-desk", attempt=number)
    passing_s = time.process_time() - started_at
    started_at = time.process_time()
    for number in range(EMITTED_EVENTS):
        log.emit(MEASURED_KIND, service="status-desk", attempt=number)
    suppressed_s = time.process_time() - started_at
    await log.stop()
    return passing_s, suppressed_s


def measure_ring(profile: Profile) -> list[Row]:
    """Measure the memory of a full ring buffer of events with `profile`."""
    settings = msgspec.structs.replace(build_settings(Address("127.0.0.1:1")), profile=profile)
    tracemalloc.start()
    now = 0.0
    log = EventLog(settings, clock=lambda: now)
    for number in range(PROFILES[profile].timeline_events):
        now += 1.0
        log.emit(MEASURED_KIND, service="status-desk", attempt=number)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [Row("ring_memory", {"profile": profile.value}, held_bytes, "B")]


def measure_merge(daemons: int) -> list[Row]:
    """Measure merging the timelines of `daemons` daemons."""
    location = (ZoneId("z"), RegionId("r"), Version(1))
    timelines = [
        [
            TimelineEvent(
                float(number), number, 210, "version-activated", InstanceId(f"i{daemon}"), *location
            )
            for number in range(EVENTS_PER_DAEMON)
        ]
        for daemon in range(daemons)
    ]
    started_at = time.process_time()
    merged = merge_timelines(timelines)
    assert len(merged) == daemons * EVENTS_PER_DAEMON
    return [Row("merge_cpu", {"daemons": daemons}, time.process_time() - started_at, "s")]


def main() -> None:
    """Measure everything and write the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path)
    arguments = parser.parse_args()
    rows = measure_emit(None)
    with tempfile.TemporaryDirectory() as folder:
        rows += measure_emit(str(Path(folder) / "events.log"))
    rows += [row for profile in Profile for row in measure_ring(profile)]
    rows += [row for daemons in DAEMON_COUNTS for row in measure_merge(daemons)]
    for row in rows:
        print(f"{row.name:14} {row.params} {row.value:.4g} {row.unit}")
    if arguments.output is not None:
        write_rows(arguments.output, rows)


if __name__ == "__main__":
    main()
