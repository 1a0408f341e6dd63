"""Turns in which connections with costly input are read, so that others don't wait for them."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

COSTLY_INPUT_SHARE = 0.25
"""Share of the time that the parsing of costly input may take for long."""

COSTLY_INPUT_BURST_S = 1.0
"""Time that the parsing of costly input may take beyond its share at first."""

MAX_DEBT_S = 0.05
"""Time beyond the share that is made up for; input that is read without a turn may exceed it."""

TURN_S = 0.00025
"""Time that one turn is expected to take."""

MAX_TURNS = 4
"""Turns in one iteration of the event loop."""


class Reader(Protocol):
    """A connection whose reading can be deferred."""

    def take_turn(self) -> bool:
        """Read the next part of the input; return False if there is nothing to read."""
        ...


class InputTurns:
    """Defers the reading of costly input, and resumes it in the order of the requests for a turn.

    `clock` returns the time in seconds. The time that turns may take is a token bucket.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self._loop = loop
        self._clock = clock
        self._level_s = COSTLY_INPUT_BURST_S
        self._refilled_at = clock()
        self._waiting: deque[Reader] = deque()
        self._is_scheduled = False

    @property
    def waiting_count(self) -> int:
        """Return how many connections wait for a turn."""
        return len(self._waiting)

    def defer(self, reader: Reader, spent_s: float) -> None:
        """Let `reader`, whose last part took `spent_s`, wait for a turn."""
        self._level_s = max(-MAX_DEBT_S, self._level_s - max(0.0, spent_s - TURN_S))
        self._waiting.append(reader)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._give_turns)

    def _give_turns(self) -> None:
        self._is_scheduled = False
        now = self._clock()
        refill_s = (now - self._refilled_at) * COSTLY_INPUT_SHARE
        self._refilled_at = now
        self._level_s = min(COSTLY_INPUT_BURST_S, self._level_s + refill_s)
        turns = 0
        while self._waiting and self._level_s > 0 and turns < MAX_TURNS:
            if self._waiting.popleft().take_turn():
                turns += 1
                self._level_s -= TURN_S
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            if self._level_s > 0:
                self._loop.call_soon(self._give_turns)
            else:
                delay_s = (TURN_S - self._level_s) / COSTLY_INPUT_SHARE
                self._loop.call_later(delay_s, self._give_turns)
