"""Deadline and timers of one call."""

import asyncio
import time
from collections.abc import Callable

NEVER = float("inf")


class CallTimers:
    """A deadline on the monotonic clock, its timer, and the timer that starts a hedge."""

    __slots__ = ("_deadline_timer", "_hedge_timer", "_loop", "deadline")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.deadline = NEVER
        self._loop = loop
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._hedge_timer: asyncio.TimerHandle | None = None

    def compute_remaining_s(self) -> float | None:
        """Return the seconds until the deadline, None without one."""
        if self.deadline == NEVER:
            return None
        return self.deadline - time.monotonic()

    def start_deadline_timer(self, expire: Callable[[], None]) -> None:
        """Call `expire` at the deadline; replaces an earlier deadline timer."""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._deadline_timer = self._loop.call_at(self.deadline, expire)

    def start_hedge_timer(self, delay_s: float, hedge: Callable[[], None]) -> None:
        """Call `hedge` after `delay_s` seconds."""
        self._hedge_timer = self._loop.call_later(delay_s, hedge)

    def stop(self) -> None:
        """Cancel both timers."""
        for timer in (self._deadline_timer, self._hedge_timer):
            if timer is not None:
                timer.cancel()
        self._deadline_timer = None
        self._hedge_timer = None
