"""The deadline of one call, and its timers."""

import asyncio
import time
from collections.abc import Callable

NEVER = float("inf")


class CallTimers:
    """A deadline on the monotonic clock, with the timers that watch it and start a hedge."""

    __slots__ = ("_hedge", "_loop", "_timer", "deadline")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.deadline = NEVER
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None
        self._hedge: asyncio.TimerHandle | None = None

    def measure_remaining(self) -> float | None:
        """Return the seconds left until the deadline, None without one."""
        if self.deadline == NEVER:
            return None
        return self.deadline - time.monotonic()

    def watch_deadline(self, expire: Callable[[], None]) -> None:
        """Call `expire` at the deadline, in place of an earlier request."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self.deadline, expire)

    def start_hedge(self, delay: float, hedge: Callable[[], None]) -> None:
        """Call `hedge` after `delay` seconds."""
        self._hedge = self._loop.call_later(delay, hedge)

    def stop(self) -> None:
        """Stop both timers."""
        for timer in (self._timer, self._hedge):
            if timer is not None:
                timer.cancel()
        self._timer = None
        self._hedge = None
