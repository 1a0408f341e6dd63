"""A set of keys with constant-time random choice."""

import random


class KeySet:
    """Holds member keys in a list, so that random ones are found without a copy of the set."""

    def __init__(self) -> None:
        self._keys: list[int] = []
        self._index_by_key: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, key: int) -> bool:
        return key in self._index_by_key

    def add(self, key: int) -> None:
        """Add `key` unless present."""
        if key not in self._index_by_key:
            self._index_by_key[key] = len(self._keys)
            self._keys.append(key)

    def discard(self, key: int) -> None:
        """Remove `key` if present."""
        index = self._index_by_key.pop(key, None)
        if index is None:
            return
        last = self._keys.pop()
        if last != key:
            self._keys[index] = last
            self._index_by_key[last] = index

    def sample(self, rng: random.Random, count: int, exclude: int = 0) -> list[int]:
        """Return up to `count` distinct random keys other than `exclude`."""
        sampled = rng.sample(self._keys, min(count + 1, len(self._keys)))
        return [key for key in sampled if key != exclude][:count]
