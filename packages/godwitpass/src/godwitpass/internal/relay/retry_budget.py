"""Bounds repeated sends over all daemons without talk: each spends a part of one budget."""

from collections import deque

import msgspec

BUCKET_S = 0.5
SAFETY = 0.6
"""Part of the budget that is used: calls that a repeated run makes count as repeats too."""


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """At most `ratio` repeats for each first send in any `window_s` seconds, and `slack` more.

    The slack is for all daemons together.
    """

    ratio: float
    window_s: float
    slack: float


class _Bucket:
    __slots__ = ("begun", "firsts", "repeats")

    def __init__(self, begun: float) -> None:
        self.begun = begun
        self.firsts = 0
        self.repeats = 0


class RepeatBudget:
    """Counts the sends of one daemon to one service in a sliding window."""

    def __init__(self, terms: RetryBudgetSettings) -> None:
        self._terms = terms
        self._buckets: deque[_Bucket] = deque()
        self._firsts = 0
        self._repeats = 0

    def count_first(self, now: float) -> None:
        """Count the first send of a call."""
        self._advance(now).firsts += 1
        self._firsts += 1

    def try_repeat(self, now: float, daemons: int) -> bool:
        """Count a further send of a call if the own part of the budget allows it."""
        bucket = self._advance(now)
        terms = self._terms
        allowed = SAFETY * (terms.ratio * self._firsts + terms.slack / max(1, daemons))
        if self._repeats + 1 > allowed:
            return False
        bucket.repeats += 1
        self._repeats += 1
        return True

    def _advance(self, now: float) -> _Bucket:
        buckets = self._buckets
        while buckets and buckets[0].begun < now - self._terms.window_s:
            oldest = buckets.popleft()
            self._firsts -= oldest.firsts
            self._repeats -= oldest.repeats
        if not buckets or now - buckets[-1].begun >= BUCKET_S:
            buckets.append(_Bucket(now))
        return buckets[-1]
