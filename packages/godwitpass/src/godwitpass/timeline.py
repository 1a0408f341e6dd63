"""Merging of the events of several processes into one timeline.

The clocks of machines differ, so events of two processes that are closer together than the
offset between their clocks may be in the wrong order. Events of one process never are.
"""

import heapq
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from godwitpass.errors import GodwitpassError
from godwitpass.events import TimelineEvent
from godwitpass.ids import InstanceId


class InvalidTimeline(GodwitpassError):
    """A file does not consist of events, one JSON object per line."""


def merge_timelines(sources: Iterable[Iterable[TimelineEvent]]) -> list[TimelineEvent]:
    """Return the distinct events of all `sources` by time, keeping the order of each process.

    >>> early = TimelineEvent(1.0, 1, 201, "a", "i", "z", "r", 0)
    >>> stepped_back = TimelineEvent(0.5, 2, 201, "b", "i", "z", "r", 0)
    >>> [event.name for event in merge_timelines([[stepped_back, early], [early]])]
    ['a', 'b']
    """
    processes: dict[InstanceId, dict[int, TimelineEvent]] = defaultdict(dict)
    for source in sources:
        for event in source:
            processes[event.instance][event.sequence] = event
    ordered = (_order_process(events) for events in processes.values())
    return [event for _, _, _, event in heapq.merge(*ordered)]


def concerns_request(event: TimelineEvent, request: str) -> bool:
    """Return whether `event` is about `request` or about a call made while running it.

    >>> made = TimelineEvent(1.0, 1, 433, "a", "i", "z", "r", 0, {"request": "9c41.7f"})
    >>> concerns_request(made, "9c41"), concerns_request(made, "9c4")
    (True, False)
    """
    event_request = str(event.fields.get("request", ""))
    return event_request == request or event_request.startswith(f"{request}.")


def parse_timeline(content: bytes, source: str, text: str = "") -> list[TimelineEvent]:
    """Parse a log of JSON lines; an incomplete last line is ignored.

    With `text`, only the first line and those that contain it are parsed, which is much faster.
    Raises `InvalidTimeline`, which names `source` and the line.
    """
    encoded_text = msgspec.json.encode(text)[1:-1]
    *lines, incomplete = content.split(b"\n")
    assert b"\n" not in incomplete
    return [
        _parse_line(line, f"{source}:{line_number}")
        for line_number, line in enumerate(lines, 1)
        if line.strip() and (line_number == 1 or encoded_text in line)
    ]


_SortableEvent = tuple[float, InstanceId, int, TimelineEvent]


def _order_process(events: dict[int, TimelineEvent]) -> list[_SortableEvent]:
    """Sort by sequence number, and replace each time that is earlier than the one before it."""
    latest = 0.0
    ordered: list[_SortableEvent] = []
    for sequence in sorted(events):
        event = events[sequence]
        latest = max(latest, event.time)
        ordered.append((latest, event.instance, sequence, event))
    return ordered


def _parse_line(line: bytes, location: str) -> TimelineEvent:
    try:
        return msgspec.json.decode(line, type=TimelineEvent)
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidTimeline(
            f"{location}: not an event ({error}); use a log in JSON format"
        ) from error
