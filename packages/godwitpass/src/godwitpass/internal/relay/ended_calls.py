"""Calls that ended here while their upstream may still have been running them."""

NESTED_CALL_MEMORY_S = 15.0
"""Time in which a call that has ended may still make nested calls: the default call timeout."""

MAX_ENDED_CALLS = 4096
"""Bound on the ids held; a daemon aborts far fewer calls in `NESTED_CALL_MEMORY_S`."""


class EndedCalls:
    """Recent ids of calls that ended without a complete response.

    Their upstream may still make nested calls, which carry no key and must not be answered like
    requests that lack one.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._ended_at: dict[str, float] = {}

    def record(self, request_id: str, now: float) -> None:
        """Record the end of a call."""
        self._ended_at.pop(request_id, None)
        self._ended_at[request_id] = now
        while len(self._ended_at) > MAX_ENDED_CALLS:
            del self._ended_at[next(iter(self._ended_at))]

    def may_contain(self, request_id: str, now: float) -> bool:
        """Tell whether an upstream may still run the call.

        In its first seconds a daemon doesn't know the calls that its predecessor forwarded.
        """
        if now < self._started_at + NESTED_CALL_MEMORY_S:
            return True
        ended_at = self._ended_at.get(request_id)
        return ended_at is not None and now < ended_at + NESTED_CALL_MEMORY_S
