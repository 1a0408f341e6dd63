"""Measures what events cost a daemon, and how long merging those of many takes.

Run `python -m godwitpass_testkit.experiments.eventlog --output eventlog.json`. Times are the
processor's.
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

EVENTS = 5_000
DAEMONS = (10, 100, 1_000)
EVENTS_PER_DAEMON = 100
MICROSECONDS = 1e6
KIND = EventKind(999, "measured", "Not in the catalogue.")


def measure_emit(log_file: str | None) -> list[Row]:
    """Emit events that pass the limiter, and as many that don't."""
    settings = msgspec.structs.replace(build_settings(Address("127.0.0.1:1")), log_file=log_file)
    passing, held_back = anyio.run(_emit, settings)
    way = "ring" if log_file is None else "ring-and-file"
    return [
        Row("emit_cpu", {"way": way}, passing * MICROSECONDS / EVENTS, "us"),
        Row("held_back_cpu", {"way": way}, held_back * MICROSECONDS / EVENTS, "us"),
    ]


async def _emit(settings: Settings) -> tuple[float, float]:
    now = 0.0
    log = EventLog(settings, clock=lambda: now)
    if settings.log_file is not None:
        log.add_log_file(settings.log_file)
    began = time.process_time()
    for number in range(EVENTS):
        now += 1.0 / MAX_EVENTS_PER_KIND
        log.emit(KIND, service="status-desk", attempt=number)
    passing = time.process_time() - began
    began = time.process_time()
    for number in range(EVENTS):
        log.emit(KIND, service="status-desk", attempt=number)
    held_back = time.process_time() - began
    await log.stop()
    return passing, held_back


def measure_ring(profile: Profile) -> list[Row]:
    """Fill the ring of a profile."""
    settings = msgspec.structs.replace(build_settings(Address("127.0.0.1:1")), profile=profile)
    tracemalloc.start()
    now = 0.0
    log = EventLog(settings, clock=lambda: now)
    for number in range(PROFILES[profile].timeline_events):
        now += 1.0
        log.emit(KIND, service="status-desk", attempt=number)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [Row("ring_memory", {"profile": profile.value}, held, "B")]


def measure_merge(daemons: int) -> list[Row]:
    """Merge the rings of `daemons` daemons."""
    place = (ZoneId("z"), RegionId("r"), Version(1))
    rings = [
        [
            TimelineEvent(float(at), at, 210, "version-activated", InstanceId(f"i{n}"), *place)
            for at in range(EVENTS_PER_DAEMON)
        ]
        for n in range(daemons)
    ]
    began = time.process_time()
    merged = merge_timelines(rings)
    assert len(merged) == daemons * EVENTS_PER_DAEMON
    return [Row("merge_cpu", {"daemons": daemons}, time.process_time() - began, "s")]


def main() -> None:
    """Measure everything and write the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path)
    arguments = parser.parse_args()
    rows = measure_emit(None)
    with tempfile.TemporaryDirectory() as folder:
        rows += measure_emit(str(Path(folder) / "events.log"))
    rows += [row for profile in Profile for row in measure_ring(profile)]
    rows += [row for daemons in DAEMONS for row in measure_merge(daemons)]
    for row in rows:
        print(f"{row.name:14} {row.params} {row.value:.4g} {row.unit}")
    if arguments.output is not None:
        write_rows(arguments.output, rows)


if __name__ == "__main__":
    main()
