"""Highest generation seen of each shard, by which a store that went back is recognised."""

from godwitpass.internal.claims.keys import ShardId

SPREAD_INTERVAL_S = 1.0


class Generations:
    """Remembers the highest generation of each shard that any message or write showed."""

    def __init__(self) -> None:
        self._highest: dict[ShardId, int] = {}
        self._spread: dict[ShardId, int] = {}
        self._spread_at: dict[ShardId, float] = {}

    def highest(self, shard: ShardId) -> int:
        """Return the highest generation seen of `shard`, or 0."""
        return self._highest.get(shard, 0)

    def record(self, shard: ShardId, generation: int) -> int:
        """Take note of a generation; returns the highest seen."""
        highest = max(generation, self.highest(shard))
        self._highest[shard] = highest
        return highest

    def take_spread(self, shard: ShardId, now: float) -> int | None:
        """Return what to tell the daemons next in line; None while they know enough."""
        highest = self.highest(shard)
        due_at = self._spread_at.get(shard, now)
        if highest == self._spread.get(shard, 0) or now < due_at:
            return None
        self._spread[shard] = highest
        self._spread_at[shard] = now + SPREAD_INTERVAL_S
        return highest
