"""Track the highest generation of each shard, to detect a store restored to an older state.

The generation of a shard grows with each write of its head.
"""

from godwitpass.internal.claims.keys import ShardId

ANNOUNCEMENT_INTERVAL_S = 1.0
"""Minimum time between two announcements of a shard's generation."""


class GenerationTracker:
    """Highest generation of each shard seen in any message or write."""

    def __init__(self) -> None:
        self._highest: dict[ShardId, int] = {}
        self._announced: dict[ShardId, int] = {}
        self._next_announcement_at: dict[ShardId, float] = {}

    def get_highest(self, shard: ShardId) -> int:
        """Return the highest generation of `shard` seen so far, or 0."""
        return self._highest.get(shard, 0)

    def record(self, shard: ShardId, generation: int) -> int:
        """Record a generation and return the highest one seen so far."""
        highest = max(generation, self.get_highest(shard))
        self._highest[shard] = highest
        return highest

    def take_announcement(self, shard: ShardId, now: float) -> int | None:
        """Return the generation to announce now, or None if it is not new or not due yet."""
        highest = self.get_highest(shard)
        due_at = self._next_announcement_at.get(shard, now)
        if highest == self._announced.get(shard, 0) or now < due_at:
            return None
        self._announced[shard] = highest
        self._next_announcement_at[shard] = now + ANNOUNCEMENT_INTERVAL_S
        return highest
