"""One ordered picture of the events of many processes.

Clocks of different machines differ, so events of two processes that lie closer together than
the difference of their clocks may stand in the wrong order. Events of one process never do.
"""

import heapq
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from godwitpass.errors import GodwitpassError
from godwitpass.events import TimelineEvent
from godwitpass.ids import InstanceId


class InvalidTimeline(GodwitpassError):
    """A file does not hold events, one JSON object a line."""


def merge_timelines(sources: Iterable[Iterable[TimelineEvent]]) -> list[TimelineEvent]:
    """Return the events of all `sources`, each once, by time and in each process's own order.

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
    """Tell whether `event` is about `request` or about a call that its run made.

    >>> made = TimelineEvent(1.0, 1, 433, "a", "i", "z", "r", 0, {"request": "9c41.7f"})
    >>> concerns_request(made, "9c41"), concerns_request(made, "9c4")
    (True, False)
    """
    named = str(event.fields.get("request", ""))
    return named == request or named.startswith(f"{request}.")


def parse_timeline(content: bytes, source: str) -> list[TimelineEvent]:
    """Return the events of a log of JSON lines; a line cut off at the end is left out.

    Raises `InvalidTimeline`, naming `source` and the line.
    """
    *lines, rest = content.split(b"\n")
    assert b"\n" not in rest
    return [_parse_line(line, f"{source}:{at}") for at, line in enumerate(lines, 1) if line.strip()]


_Ordered = tuple[float, InstanceId, int, TimelineEvent]


def _order_process(events: dict[int, TimelineEvent]) -> list[_Ordered]:
    """Sort by sequence, with a time that never steps back."""
    latest = 0.0
    ordered: list[_Ordered] = []
    for sequence in sorted(events):
        event = events[sequence]
        latest = max(latest, event.time)
        ordered.append((latest, event.instance, sequence, event))
    return ordered


def _parse_line(line: bytes, place: str) -> TimelineEvent:
    try:
        return msgspec.json.decode(line, type=TimelineEvent)
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidTimeline(f"{place}: not an event ({error}); use logs in JSON form") from error
