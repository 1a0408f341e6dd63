"""A set that gives random elements in constant time."""

import random


class KeySet:
    """Member keys in arbitrary order."""

    def __init__(self) -> None:
        self._keys: list[int] = []
        self._positions: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, key: int) -> bool:
        return key in self._positions

    def add(self, key: int) -> None:
        """Add `key` unless present."""
        if key not in self._positions:
            self._positions[key] = len(self._keys)
            self._keys.append(key)

    def discard(self, key: int) -> None:
        """Remove `key` if present."""
        position = self._positions.pop(key, None)
        if position is None:
            return
        last = self._keys.pop()
        if last != key:
            self._keys[position] = last
            self._positions[last] = position

    def choose(self, rng: random.Random, count: int, without: int = 0) -> list[int]:
        """Return up to `count` different keys other than `without`."""
        found = rng.sample(self._keys, min(count + 1, len(self._keys)))
        return [key for key in found if key != without][:count]
