"""Determines which software version serves while no order is known."""

import math
import re
from collections import Counter
from collections.abc import Iterable, Set

from godwitpass.ids import SoftwareVersion
from godwitpass.mesh import Upstream, UpstreamState

SETTLE_S = 1.0
"""Time without a new upstream of the service after which the members count as known."""

STICKY_S = 10.0
"""A version that served this long serves until none of its upstreams is left.

An order's target may have more servers by then.
"""

MAX_WAIT_S = 3.0
"""Longest wait for the members and the record, for a daemon that can't reach either."""


def sort_key(version: SoftwareVersion) -> list[tuple[int, int | str]]:
    """Return a key that sorts versions with numbers by their values.

    >>> sorted([SoftwareVersion("v10"), SoftwareVersion("v9"), SoftwareVersion("")], key=sort_key)
    ['', 'v9', 'v10']
    """
    parts = re.findall(r"\d+|\D+", version)
    return [(0, int(part)) if part.isdecimal() else (1, part) for part in parts]


class EstablishedVersion:
    """Knows the version that was there before, from the members of one service.

    `has_record` is set once the controller has said what the store holds.
    """

    def __init__(self, now: float) -> None:
        self.has_record = False
        self._started_at = now
        self._changed_at = now
        self._known: frozenset[str] = frozenset()
        self._current: SoftwareVersion | None = None
        self._current_since = now
        self._own: SoftwareVersion | None = None
        self._all: Counter[SoftwareVersion] = Counter()
        self._ready: Counter[SoftwareVersion] = Counter()

    @property
    def has_ready(self) -> bool:
        """Return whether any other upstream is ready and no canary."""
        return bool(self._ready)

    @property
    def version_count(self) -> int:
        """Return the number of versions among all upstreams, in any state."""
        return len(self._all)

    def is_contested(self, version: SoftwareVersion) -> bool:
        """Return whether another version is announced as being in service."""
        return any(other != version for other in self._ready)

    def update(self, own: SoftwareVersion, others: Iterable[Upstream], now: float) -> None:
        """Set the own version and the other upstreams of the service."""
        self._own = own
        known = [item for item in others if item.state is not UpstreamState.DRAINING]
        instances = frozenset(upstream.instance for upstream in known)
        if instances - self._known:
            self._changed_at = now
        self._known = instances
        self._all = Counter(upstream.software_version for upstream in known)
        self._all[own] += 1
        self._ready = Counter(
            upstream.software_version
            for upstream in known
            if upstream.state is UpstreamState.READY and not upstream.canary_share
        )

    def set(self, version: SoftwareVersion) -> None:
        """Use the version to which the service has moved by a roll-out."""
        self._current, self._current_since = version, -math.inf

    def find(self, excluded: Set[SoftwareVersion], now: float) -> SoftwareVersion | None:
        """Return the version in service, None while it isn't known."""
        current = self._current
        is_left = current is not None and current in self._all and current not in excluded
        if is_left and now - self._current_since >= STICKY_S:
            return current
        ready = self._ready.copy()
        if current is not None and current == self._own:
            # Two daemons that see only each other must come to the same choice.
            ready[current] += 1
        chosen = _choose(ready, excluded)
        if chosen is None and is_left:
            chosen = current
        if chosen is None and self._is_settled(now):
            chosen = _choose(self._all, excluded)
        if chosen != current:
            self._current, self._current_since = chosen, now
        return chosen

    def next_due_at(self) -> float:
        """Return when the members may count as known."""
        return min(self._changed_at + SETTLE_S, self._started_at + MAX_WAIT_S)

    def wait_is_over(self, now: float) -> bool:
        """Return whether the daemon decides without the record."""
        return now - self._started_at >= MAX_WAIT_S

    def _is_settled(self, now: float) -> bool:
        if self.wait_is_over(now):
            return True
        return self.has_record and now - self._changed_at >= SETTLE_S


def _choose(
    counts: Counter[SoftwareVersion], excluded: Set[SoftwareVersion]
) -> SoftwareVersion | None:
    """Return the most frequent version, among equals the smallest; None without any."""
    versions = [version for version in counts if version not in excluded]
    return min(versions, key=lambda version: (-counts[version], sort_key(version)), default=None)
