"""The kernel service `events`, which records the events of the process."""

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
from godwitpass_daemon.eventlog.events import EVENTS_SUPPRESSED, PROCESS_STARTED, PROCESS_STOPPING
from godwitpass_daemon.eventlog.limiter import EventLimiter
from godwitpass_daemon.eventlog.line_writer import NonBlockingLineWriter
from godwitpass_daemon.settings import LogFormat, LogOutput, Settings

if TYPE_CHECKING:
    from loguru import Record

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {message}"
MICROSECONDS_PER_SECOND = 1_000_000


class EventLog:
    """Numbers and logs the events of one process, and keeps the most recent ones.

    `stdout_writer` is None unless the log goes to standard output.
    """

    def __init__(self, settings: Settings, clock: Callable[[], float] = time.time) -> None:
        self._settings = settings
        self._clock = clock
        self._version = NO_VERSION
        # Starting at the current time keeps sequence numbers increasing across restarts.
        self._sequence = int(clock() * MICROSECONDS_PER_SECOND)
        self._recent_events: deque[TimelineEvent] = deque(maxlen=settings.tuning.timeline_events)
        self._limiter = EventLimiter()
        self._logger = logger.bind(event_log=id(self))
        self._sink_ids: list[int] = []
        self.stdout_writer: NonBlockingLineWriter | None = None
        self._logged_levels = frozenset(list_levels(settings.log_level))

    async def start(self, tasks: TaskGroup) -> None:
        """Open the configured log outputs and record the start of the process."""
        as_json = self._settings.log_format is LogFormat.JSON
        self._add_sink(self._open_standard_stream(), as_json)
        if self._settings.log_file is not None:
            self.add_log_file(self._settings.log_file)
        self.emit(PROCESS_STARTED)

    def _open_standard_stream(self) -> object:
        if self._settings.log_output is LogOutput.STDERR:
            return sys.stderr
        self.stdout_writer = NonBlockingLineWriter(sys.stdout.fileno())
        return self.stdout_writer.write

    async def stop(self) -> None:
        """Close the log outputs; the kept events stay readable."""
        self.emit(PROCESS_STOPPING)
        for sink_id in self._sink_ids:
            logger.remove(sink_id)
        self._sink_ids.clear()

    def add_log_file(self, path: str) -> None:
        """Also write further events to the file at `path`, as JSON lines."""
        self._add_sink(path, as_json=True)

    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        """Record an event of `kind`; one beyond the rate limit is only counted."""
        now = self._clock()
        admission = self._limiter.admit(kind.number, now)
        if not admission.is_admitted:
            return
        if admission.suppressed_count:
            self._record(
                EVENTS_SUPPRESSED, now, {"number": kind.number, "count": admission.suppressed_count}
            )
        self._record(kind, now, fields)

    def update_version(self, snapshot: Snapshot) -> None:
        """Record later events with the version of `snapshot`; called at each new version."""
        self._version = snapshot.version

    def list_events(self, after: int = 0) -> Sequence[TimelineEvent]:
        """Return the kept events with a sequence number above `after`, oldest first."""
        return [event for event in self._recent_events if event.sequence > after]

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
        self._recent_events.append(event)
        if self._sink_ids and kind.level in self._logged_levels:
            self._logger.bind(event=event).log(kind.level.value, render_event(event))

    def _add_sink(self, target: object, as_json: bool) -> None:
        def belongs_to_log(record: "Record") -> bool:
            return record["extra"].get("event_log") == id(self)

        def format_as_json(record: "Record") -> str:
            record["extra"]["line"] = msgspec.json.encode(record["extra"]["event"]).decode()
            return "{extra[line]}\n"

        with contextlib.suppress(ValueError):
            # Loguru's default sink, which another event log may have removed already.
            logger.remove(0)
        # Loguru would otherwise print local variables, which may hold secrets.
        options = {"filter": belongs_to_log, "level": 0, "diagnose": False, "backtrace": False}
        line_format = format_as_json if as_json else TEXT_FORMAT
        self._sink_ids.append(logger.add(target, format=line_format, **options))  # type: ignore[call-overload]


def render_event(event: TimelineEvent) -> str:
    """Return `event` as one line of text, without its time.

    >>> render_event(TimelineEvent(0, 1, 201, "version-applied", "i", "z", "r", 7, {"ms": 3}))
    '201 version-applied instance=i zone=z version=7 ms=3'
    """
    fields = "".join(f" {name}={value}" for name, value in event.fields.items())
    origin = f"instance={event.instance} zone={event.zone} version={event.version}"
    return f"{event.number} {event.name} {origin}{fields}"
