"""Bounded queue of attempts that wait for an upstream, fair between callers."""

from collections import OrderedDict, deque
from collections.abc import Iterator

from godwitpass.internal.calls.messages import AttemptArrived, AttemptId, CallerKey

MAX_QUEUED_ATTEMPTS = 128
"""Attempts of one service that may wait in one daemon."""


class FairQueue:
    """Round robin over callers; first in, first out within one caller."""

    def __init__(self, limit: int = MAX_QUEUED_ATTEMPTS) -> None:
        self._limit = limit
        self._by_caller: OrderedDict[CallerKey, deque[AttemptArrived]] = OrderedDict()
        self._caller_by_attempt: dict[AttemptId, CallerKey] = {}

    def __len__(self) -> int:
        return len(self._caller_by_attempt)

    def __iter__(self) -> Iterator[AttemptArrived]:
        for queued in self._by_caller.values():
            yield from queued

    def push(self, attempt: AttemptArrived) -> AttemptArrived | None:
        """Add an attempt; return the one evicted when the queue is full, possibly the same one."""
        evicted = None
        if len(self) >= self._limit:
            busiest_caller = max(self._by_caller, key=lambda key: len(self._by_caller[key]))
            if busiest_caller == attempt.caller or len(self._by_caller[busiest_caller]) <= 1:
                return attempt
            evicted = self._by_caller[busiest_caller][-1]
            self.remove(evicted.attempt_id)
        self._by_caller.setdefault(attempt.caller, deque()).append(attempt)
        self._caller_by_attempt[attempt.attempt_id] = attempt.caller
        return evicted

    def pop(self) -> AttemptArrived:
        """Remove and return the oldest attempt of the caller whose turn it is."""
        caller, queued = next(iter(self._by_caller.items()))
        attempt = queued.popleft()
        del self._caller_by_attempt[attempt.attempt_id]
        if queued:
            self._by_caller.move_to_end(caller)
        else:
            del self._by_caller[caller]
        return attempt

    def push_front(self, attempt: AttemptArrived) -> None:
        """Put a popped attempt that could not start back at the front of the queue."""
        self._by_caller.setdefault(attempt.caller, deque()).appendleft(attempt)
        self._by_caller.move_to_end(attempt.caller, last=False)
        self._caller_by_attempt[attempt.attempt_id] = attempt.caller

    def remove(self, attempt_id: AttemptId) -> bool:
        """Remove an attempt; return False when it isn't queued."""
        caller = self._caller_by_attempt.pop(attempt_id, None)
        if caller is None:
            return False
        kept = deque(
            queued for queued in self._by_caller[caller] if queued.attempt_id != attempt_id
        )
        if kept:
            self._by_caller[caller] = kept
        else:
            del self._by_caller[caller]
        return True
