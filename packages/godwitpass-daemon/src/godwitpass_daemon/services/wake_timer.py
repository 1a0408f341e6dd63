"""The timer that a service keeps for its decision object."""

import math
from collections.abc import Callable

import anyio


class WakeTimer:
    """Calls `ring` with the earliest time that was set, once `clock` has reached it.

    Setting a time that is later than the one in force changes nothing, as an earlier request of a
    decision object stays in force.
    """

    def __init__(self, clock: Callable[[], float], ring: Callable[[float], None]) -> None:
        self._clock = clock
        self._ring = ring
        self._at = math.inf
        self._changed = anyio.Event()

    def set(self, at: float) -> None:
        """Ring at time `at` if nothing earlier is set."""
        if at < self._at:
            self._at = at
            self._changed.set()

    async def run(self) -> None:
        """Ring until cancelled."""
        while True:
            with anyio.move_on_after(max(0.0, self._at - self._clock())):
                await self._changed.wait()
            self._changed = anyio.Event()
            if self._clock() >= self._at:
                due, self._at = self._at, math.inf
                self._ring(due)
