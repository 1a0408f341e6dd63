"""The part of an event loop that the relay uses, in virtual time."""

import heapq
from collections.abc import Callable
from typing import Any


class VirtualHandle:
    """A scheduled callback."""

    __slots__ = ("_arguments", "_callback", "is_cancelled")

    def __init__(self, callback: Callable[..., object], arguments: tuple[Any, ...]) -> None:
        self._callback = callback
        self._arguments = arguments
        self.is_cancelled = False

    def cancel(self) -> None:
        """Don't run the callback."""
        self.is_cancelled = True

    def run(self) -> None:
        """Run the callback unless it was cancelled."""
        if not self.is_cancelled:
            self._callback(*self._arguments)


class VirtualLoop:
    """Runs callbacks in the order of their times; equal times keep the order of scheduling."""

    def __init__(self) -> None:
        self._now = 0.0
        self._heap: list[tuple[float, int, VirtualHandle]] = []
        self._sequence = 0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def call_at(self, when: float, callback: Callable[..., object], *args: Any) -> VirtualHandle:
        """Run `callback` at the time `when`, or now if that is past."""
        handle = VirtualHandle(callback, args)
        self._sequence += 1
        heapq.heappush(self._heap, (max(when, self._now), self._sequence, handle))
        return handle

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: Any
    ) -> VirtualHandle:
        """Run `callback` after `delay` seconds."""
        return self.call_at(self._now + delay, callback, *args)

    def call_soon(self, callback: Callable[..., object], *args: Any) -> VirtualHandle:
        """Run `callback` after those that are due already."""
        return self.call_at(self._now, callback, *args)

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due before `end`."""
        while self._heap and self._heap[0][0] < end:
            self._now, _, handle = heapq.heappop(self._heap)
            handle.run()
        self._now = end
