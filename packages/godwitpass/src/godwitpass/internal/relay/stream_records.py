"""Which calls of other daemons' links have not run, also after such a link was lost."""

RETENTION_S = 60.0
"""Time for which a link that was lost is remembered, well over `MAX_SETTLED_AGE_S`."""

MAX_LOST_LINKS = 1_024
"""Bound on the links that are remembered."""

MAX_REFUSED_STREAMS = 256
"""Bound on the newest refused streams that are remembered for a link."""

MAX_SETTLED_AGE_S = 20.0
"""Age of a call up to which its caller's daemon asks; all records of it are kept for that long."""

IDLE_AFTER_S = MAX_SETTLED_AGE_S + 1.0
"""A link that had no new call for this long is forgotten at its end, as nobody will ask."""

MAX_STREAM_ID = 2**62
CLOCK_TOLERANCE_S = 0.05
"""Difference by which the clocks of two machines may run apart during a call."""


class StreamRecord:
    """The streams of one link, whose ids increase in the order in which they arrive."""

    __slots__ = ("_refused", "last_opened_at", "last_stream_id")

    def __init__(self, last_stream_id: int = 0) -> None:
        self.last_stream_id = last_stream_id
        self.last_opened_at = 0.0
        self._refused: dict[int, None] = {}

    def record_opened(self, stream_id: int, now: float) -> None:
        """Note that a stream has arrived."""
        self.last_opened_at = now
        self.last_stream_id = max(self.last_stream_id, stream_id)

    def record_refused(self, stream_id: int) -> None:
        """Note that the call of a stream has not reached the upstream and won't."""
        self._refused[stream_id] = None
        if len(self._refused) > MAX_REFUSED_STREAMS:
            del self._refused[next(iter(self._refused))]

    def list_refused(self) -> tuple[int, ...]:
        """Return the newest streams whose calls have not reached the upstream and won't."""
        return tuple(self._refused)


NOTHING_KNOWN = StreamRecord(MAX_STREAM_ID)
"""The record of a link of which nothing is remembered: any of its calls may have run."""


class StreamRecords:
    """The records of all links to this daemon since `started_at`.

    After `settle`, no stream of that link is accepted any more. So what was said not to have run
    won't run, whichever of the link's data still arrives.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._open: dict[int, StreamRecord] = {}
        self._lost: dict[int, tuple[StreamRecord, float]] = {}
        self._forgotten_at: float | None = None

    def open(self, link_id: int) -> StreamRecord | None:
        """Return the record of a new link; None if its id was used before."""
        if link_id in self._open or link_id in self._lost:
            return None
        record = self._open[link_id] = StreamRecord()
        return record

    def close(self, link_id: int, now: float) -> None:
        """Note that a link is lost and that none of its streams waits any more."""
        record = self._open.pop(link_id, None)
        if record is not None and now - record.last_opened_at < IDLE_AFTER_S:
            self._remember(link_id, record, now)

    def settle(self, link_id: int, now: float) -> StreamRecord:
        """Return the record of a lost link; it is closed before if it is still open."""
        assert link_id not in self._open, "a link is closed before its streams are settled"
        if link_id not in self._lost:
            if self._forgotten_at is not None and now - self._forgotten_at < RETENTION_S:
                return NOTHING_KNOWN
            self._remember(link_id, StreamRecord(), now)
        return self._lost[link_id][0]

    def compute_uptime_s(self, now: float) -> float:
        """Return for how long links have been recorded."""
        return now - self._started_at

    def _remember(self, link_id: int, record: StreamRecord, now: float) -> None:
        self._lost[link_id] = record, now
        while self._lost:
            oldest = next(iter(self._lost))
            is_expired = now - self._lost[oldest][1] >= RETENTION_S
            if not is_expired and len(self._lost) <= MAX_LOST_LINKS:
                return
            if not is_expired:
                self._forgotten_at = now
            del self._lost[oldest]


def is_same_process(opened_at: float, answered_at: float, uptime_s: float) -> bool:
    """Tell whether the daemon that answers was already there when a link to it was opened.

    Both times are on the asker's clock; the answer was given at `answered_at` or before.
    """
    return answered_at - uptime_s + CLOCK_TOLERANCE_S <= opened_at
