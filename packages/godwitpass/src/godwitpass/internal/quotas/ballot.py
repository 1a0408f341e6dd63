"""Decides for which electorate a daemon votes, and never for two at once."""

import math
from collections.abc import Sequence

from godwitpass.ids import Address
from godwitpass.internal.quotas.electorate import encode_electorate
from godwitpass.internal.quotas.tuning import SETTLING_S, VOTE_LIFE_S, VOTE_PAUSE_S

NO_VOTE = b""


class Ballot:
    """The electorate that a daemon votes for: the coordinators that it takes for alive.

    A vote counts for at most `VOTE_LIFE_S` after it was sent. The first one for another electorate
    follows after `VOTE_PAUSE_S`, which lets two electorates count it for the rest; again within
    `repeat_s` it waits for the whole life of the last vote. A change brings start credit unless one
    did shortly before, or this process is younger than that, as its predecessor may have.
    """

    def __init__(self, repeat_s: float, now: float) -> None:
        self._repeat_s = repeat_s
        self._settled_at = now + SETTLING_S
        self._electorate = NO_VOTE
        self._wanted = NO_VOTE
        self._last_vote_at = -math.inf
        self._overlapped_at = -math.inf
        self._start_number = 0
        self._started_at = now
        self._has_start_credit = False

    @property
    def votes_from(self) -> float:
        """Return the time from which this daemon may vote for the electorate it wants."""
        if self._wanted == self._electorate:
            return self._settled_at
        pause_s = VOTE_PAUSE_S
        if self._last_vote_at + VOTE_PAUSE_S < self._overlapped_at + self._repeat_s:
            pause_s = VOTE_LIFE_S
        return max(self._settled_at, self._last_vote_at + pause_s)

    def choose(self, coordinators: Sequence[Address]) -> None:
        """Want an electorate of `coordinators`."""
        self._wanted = encode_electorate(coordinators)

    def cast(self, now: float) -> bytes:
        """Return the electorate that a message sent now may vote for."""
        if now < self.votes_from:
            return NO_VOTE
        if self._wanted != self._electorate:
            if now < self._last_vote_at + VOTE_LIFE_S:
                self._overlapped_at = now
            self._electorate = self._wanted
            # The credit may arrive for two lives of a vote: sent again, and then late.
            self._has_start_credit = now >= self._started_at + self._repeat_s + 2 * VOTE_LIFE_S
            if self._has_start_credit:
                self._start_number += 1
                self._started_at = now
        self._last_vote_at = now
        return self._electorate

    def get_start_number(self, now: float) -> int:
        """Return the number of the start credit that a vote sent now brings, or 0."""
        is_due = self._has_start_credit and now < self._started_at + VOTE_LIFE_S
        return self._start_number if is_due else 0
