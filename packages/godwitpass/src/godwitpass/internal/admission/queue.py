"""A short queue of waiting calls, served in turn over the callers."""

from collections import OrderedDict, deque
from collections.abc import Iterator

from godwitpass.internal.calls.messages import AttemptArrived, CallerKey, AttemptId

MAX_WAITING = 128
"""Calls of one service that wait in one daemon."""


class FairQueue:
    """First come, first served for one caller; callers take turns."""

    def __init__(self, capacity: int = MAX_WAITING) -> None:
        self._capacity = capacity
        self._by_caller: OrderedDict[CallerKey, deque[AttemptArrived]] = OrderedDict()
        self._callers: dict[AttemptId, CallerKey] = {}

    def __len__(self) -> int:
        return len(self._callers)

    def __iter__(self) -> Iterator[AttemptArrived]:
        for waiting in self._by_caller.values():
            yield from waiting

    def push(self, call: AttemptArrived) -> AttemptArrived | None:
        """Add `call`; when full, return the call that must leave, which may be the same one."""
        evicted = None
        if len(self) >= self._capacity:
            greediest = max(self._by_caller, key=lambda key: len(self._by_caller[key]))
            if greediest == call.caller or len(self._by_caller[greediest]) <= 1:
                return call
            evicted = self._by_caller[greediest][-1]
            self.remove(evicted.call)
        self._by_caller.setdefault(call.caller, deque()).append(call)
        self._callers[call.call] = call.caller
        return evicted

    def pop(self) -> AttemptArrived:
        """Take the oldest call of the caller whose turn it is."""
        caller, waiting = next(iter(self._by_caller.items()))
        call = waiting.popleft()
        del self._callers[call.call]
        if waiting:
            self._by_caller.move_to_end(caller)
        else:
            del self._by_caller[caller]
        return call

    def push_back(self, call: AttemptArrived) -> None:
        """Return a call that was popped but could not start to the front."""
        self._by_caller.setdefault(call.caller, deque()).appendleft(call)
        self._by_caller.move_to_end(call.caller, last=False)
        self._callers[call.call] = call.caller

    def remove(self, call: AttemptId) -> bool:
        """Drop a call wherever it waits; False when it doesn't."""
        caller = self._callers.pop(call, None)
        if caller is None:
            return False
        kept = deque(waiting for waiting in self._by_caller[caller] if waiting.call != call)
        if kept:
            self._by_caller[caller] = kept
        else:
            del self._by_caller[caller]
        return True
