"""Counts of the refusals and failures that daemons logged."""

from collections.abc import Callable, Iterable

import msgspec

from godwitpass.events import TimelineEvent
from godwitpass.internal.relay import events as kinds

FAILURE_KINDS = (
    kinds.REQUEST_REFUSED,
    kinds.CALL_FAILED,
    kinds.RUN_REFUSED,
    kinds.RUN_FAILED,
)
SUPPRESSED_EVENTS_NAME = "events-suppressed"
"""Name of the event that counts what a daemon didn't log."""


class FailureCount(msgspec.Struct, frozen=True):
    """Number of equal failures at one place; times are in seconds since the epoch.

    `event` is the name of the event, and `reason` its field `reason` or `outcome`.
    """

    event: str
    place: str
    route: str
    reason: str
    count: int
    first_at: float
    last_at: float


class FailureSummary(msgspec.Struct, frozen=True):
    """Counts in descending order, and the number of failures that were not logged."""

    counts: tuple[FailureCount, ...]
    suppressed: int


def summarize_failures(
    events: Iterable[TimelineEvent], get_place: Callable[[TimelineEvent], str]
) -> FailureSummary:
    """Count the failures in `events` by event, place, route and reason.

    >>> refused = TimelineEvent(
    ...     7.0, 1, 435, "relay.run-refused", "i", "z", "r", 1, {"route": "a", "reason": "no_room"}
    ... )
    >>> summarize_failures([refused], lambda event: event.zone).counts[0].place
    'z'
    """
    names = {kind.name for kind in FAILURE_KINDS}
    numbers = {kind.number for kind in FAILURE_KINDS}
    times: dict[tuple[str, str, str, str], list[float]] = {}
    suppressed = 0
    for event in events:
        fields = event.fields
        if event.name in names:
            reason = str(fields.get("reason", fields.get("outcome", "")))
            key = (event.name, get_place(event), str(fields.get("route", "")), reason)
            times.setdefault(key, []).append(event.time)
        elif event.name == SUPPRESSED_EVENTS_NAME and fields.get("number") in numbers:
            suppressed += int(fields.get("count", 0))
    counts = [
        FailureCount(*key, len(occurrences), min(occurrences), max(occurrences))
        for key, occurrences in times.items()
    ]
    counts.sort(key=lambda count: (-count.count, count.event, count.place, count.route))
    return FailureSummary(tuple(counts), suppressed)
