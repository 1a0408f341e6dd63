"""The kernel service "events"."""

import contextlib
import sys
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import msgspec
from anyio.abc import TaskGroup
from loguru import logger

from godwitpass.events import EventKind, FieldValue, TimelineEvent, list_levels
from godwitpass.ids import NO_VERSION
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.eventlog.events import STARTED, STOPPING, SUPPRESSED
from godwitpass_daemon.eventlog.limiter import EventLimiter
from godwitpass_daemon.eventlog.line_writer import NonBlockingLineWriter
from godwitpass_daemon.settings import LogFormat, LogOutput, Settings

if TYPE_CHECKING:
    from loguru import Record

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {message}"
MICROSECONDS = 1_000_000


class EventLog:
    """Numbers, logs and keeps the events of one process."""

    def __init__(self, settings: Settings, clock: Callable[[], float] = time.time) -> None:
        self._settings = settings
        self._clock = clock
        self._version = NO_VERSION
        # Starting at the time keeps the order across restarts of an instance.
        self._sequence = int(clock() * MICROSECONDS)
        self._ring: deque[TimelineEvent] = deque(maxlen=settings.tuning.timeline_events)
        self._limiter = EventLimiter()
        self._logger = logger.bind(event_log=id(self))
        self._sinks: list[int] = []
        self.stdout_writer: NonBlockingLineWriter | None = None
        self._logged = frozenset(list_levels(settings.log_level))

    async def start(self, tasks: TaskGroup) -> None:
        """Open the log."""
        as_json = self._settings.log_format is LogFormat.JSON
        self._add_sink(self._open_output(), as_json)
        if self._settings.log_file is not None:
            self.add_log_file(self._settings.log_file)
        self.emit(STARTED)

    def _open_output(self) -> object:
        if self._settings.log_output is LogOutput.STDERR:
            return sys.stderr
        self.stdout_writer = NonBlockingLineWriter(sys.stdout.fileno())
        return self.stdout_writer.write

    async def stop(self) -> None:
        """Close the log; the ring stays readable."""
        self.emit(STOPPING)
        for sink in self._sinks:
            logger.remove(sink)
        self._sinks.clear()

    def add_log_file(self, path: str) -> None:
        """Write all further events to the file at `path` too, as JSON lines."""
        self._add_sink(path, as_json=True)

    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        """Add an event; past a bound of events of one kind a second it is only counted."""
        now = self._clock()
        admission = self._limiter.admit(kind.number, now)
        if not admission.admitted:
            return
        if admission.suppressed:
            self._record(SUPPRESSED, now, {"number": kind.number, "count": admission.suppressed})
        self._record(kind, now, fields)

    def update_version(self, snapshot: Snapshot) -> None:
        """Make the version of `snapshot` the one that events carry; subscribe it to versions."""
        self._version = snapshot.version

    def list_events(self, after: int = 0) -> Sequence[TimelineEvent]:
        """Return the kept events with a sequence later than `after`, oldest first."""
        return [event for event in self._ring if event.sequence > after]

    def _record(self, kind: EventKind, now: float, fields: dict[str, FieldValue]) -> None:
        self._sequence += 1
        settings = self._settings
        event = TimelineEvent(
            now,
            self._sequence,
            kind.number,
            kind.name,
            settings.instance,
            settings.zone,
            settings.region,
            self._version,
            fields,
            kind.level,
        )
        self._ring.append(event)
        if self._sinks and kind.level in self._logged:
            self._logger.bind(event=event).log(kind.level.value, render_event(event))

    def _add_sink(self, target: object, as_json: bool) -> None:
        def accept(record: "Record") -> bool:
            return record["extra"].get("event_log") == id(self)

        def format_json(record: "Record") -> str:
            record["extra"]["line"] = msgspec.json.encode(record["extra"]["event"]).decode()
            return "{extra[line]}\n"

        with contextlib.suppress(ValueError):
            # The library's own sink; another event log may have removed it.
            logger.remove(0)
        # The library would otherwise print local variables, secrets among them.
        options = {"filter": accept, "level": 0, "diagnose": False, "backtrace": False}
        form = format_json if as_json else TEXT_FORMAT
        self._sinks.append(logger.add(target, format=form, **options))  # type: ignore[call-overload]


def render_event(event: TimelineEvent) -> str:
    """Return `event` as one line for people, without its time.

    >>> render_event(TimelineEvent(0, 1, 201, "version-applied", "i", "z", "r", 7, {"ms": 3}))
    '201 version-applied instance=i zone=z version=7 ms=3'
    """
    fields = "".join(f" {name}={value}" for name, value in event.fields.items())
    place = f"instance={event.instance} zone={event.zone} version={event.version}"
    return f"{event.number} {event.name} {place}{fields}"
