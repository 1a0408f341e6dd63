"""Memory that the requests and unsent responses of all callers may take together."""

from collections.abc import Callable, Iterable
from typing import Protocol

SMALL_REQUEST_BYTES = 8 * 1024
"""A connection that holds no more isn't counted, so that it always finds room."""

RECLAIMED_SHARE = 0.125
"""Share of the budget that is freed once it is used up."""


class Holder(Protocol):
    """A connection that holds memory."""

    @property
    def held_bytes(self) -> int:
        """Return how much it holds."""
        ...

    @property
    def progress_at(self) -> float:
        """Return when its request or response last made progress."""
        ...

    @property
    def is_reclaimable(self) -> bool:
        """Whether it waits for its caller, to send or to read."""
        ...

    def reclaim(self) -> None:
        """Refuse or end what holds the memory."""
        ...


class BufferBudget:
    """Counts the memory that connections hold; when it is used up, the slowest ones give way."""

    def __init__(self, total_bytes: int, list_holders: Callable[[], Iterable[Holder]]) -> None:
        self.taken_bytes = 0
        self._total_bytes = total_bytes
        self._list_holders = list_holders
        self._is_reclaiming = False

    def change(self, difference_bytes: int) -> None:
        """Count that a connection holds more or less than before."""
        self.taken_bytes += difference_bytes
        if self.taken_bytes > self._total_bytes and not self._is_reclaiming:
            self._is_reclaiming = True
            try:
                self._reclaim()
            finally:
                self._is_reclaiming = False

    def _reclaim(self) -> None:
        target_bytes = int(self._total_bytes * (1 - RECLAIMED_SHARE))
        holders = [
            holder for holder in self._list_holders() if holder.held_bytes and holder.is_reclaimable
        ]
        holders.sort(key=lambda holder: (int(holder.progress_at), -holder.held_bytes))
        for holder in holders:
            if self.taken_bytes <= target_bytes:
                return
            holder.reclaim()


def round_held_bytes(held_bytes: int) -> int:
    """Return how much counts of what a connection holds."""
    return held_bytes if held_bytes > SMALL_REQUEST_BYTES else 0
