"""Turns of connections whose bytes are costly to parse, within a share of the loop's time."""

import asyncio
from collections import deque
from collections.abc import Callable

TURN_S = 0.002
"""Time after which the turns of one iteration of the event loop end."""

MAX_LOOP_SHARE = 0.25
"""Share of the event loop's time that turns take while others wait."""


class ParsingTurns:
    """Runs the waiting connections in the order of their arrival."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: Callable[[], float]) -> None:
        self._loop = loop
        self._now = now
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False
        self._next_at = 0.0

    def add(self, parse: Callable[[], None]) -> None:
        """Call `parse` at its turn, never before this iteration of the event loop has ended."""
        self._waiting.append(parse)
        self._schedule()

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        wait_s = self._next_at - self._now()
        if wait_s > 0:
            self._loop.call_later(wait_s, self._run)
        else:
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        started_at = self._now()
        ends_at = started_at + TURN_S
        now = started_at
        for _ in range(len(self._waiting)):
            self._waiting.popleft()()
            now = self._now()
            if now > ends_at:
                break
        self._next_at = now + (now - started_at) * (1 / MAX_LOOP_SHARE - 1)
        self._is_scheduled = False
        if self._waiting:
            self._schedule()
