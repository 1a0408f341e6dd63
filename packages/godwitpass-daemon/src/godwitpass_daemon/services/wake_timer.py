"""Timer with which a service wakes its decision object."""

import math
from collections.abc import Callable

import anyio


class WakeTimer:
    """Calls `callback` with the earliest time that was set, once `clock` has reached it.

    Setting a time later than the one already set has no effect, since a later `SetTimer` of a
    decision object doesn't cancel an earlier one.
    """

    def __init__(self, clock: Callable[[], float], callback: Callable[[float], None]) -> None:
        self._clock = clock
        self._callback = callback
        self._due_at = math.inf
        self._changed = anyio.Event()

    def set(self, at: float) -> None:
        """Fire at time `at`, unless an earlier time is set."""
        if at < self._due_at:
            self._due_at = at
            self._changed.set()

    async def run(self) -> None:
        """Wait for the times that are set and fire at them, until cancelled."""
        while True:
            with anyio.move_on_after(max(0.0, self._due_at - self._clock())):
                await self._changed.wait()
            self._changed = anyio.Event()
            if self._clock() >= self._due_at:
                due_at, self._due_at = self._due_at, math.inf
                self._callback(due_at)
