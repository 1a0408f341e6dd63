"""Paths of calls that an upstream has completed lately, whatever their queries were."""

from collections import OrderedDict

from godwitpass.internal.crashes.fingerprint import remove_query

MAX_COMPLETED_PATHS = 2048
COMPLETED_PATH_TTL_S = 60.0


class CompletedPaths:
    """The paths completed last, at most `MAX_COMPLETED_PATHS`.

    On such a path, a call that crashes the upstream says nothing about calls with other queries.
    """

    def __init__(self) -> None:
        self._completed_at: OrderedDict[tuple[str, bytes, bytes], float] = OrderedDict()

    def record(self, service: str, method: bytes, target: bytes, now: float) -> None:
        """Record a call that the upstream has completed."""
        key = (service, method, remove_query(target))
        self._completed_at[key] = now
        self._completed_at.move_to_end(key)
        if len(self._completed_at) > MAX_COMPLETED_PATHS:
            self._completed_at.popitem(last=False)

    def contains(self, service: str, method: bytes, target: bytes, now: float) -> bool:
        """Return whether a call with this path was completed lately."""
        completed_at = self._completed_at.get((service, method, remove_query(target)))
        return completed_at is not None and now - completed_at < COMPLETED_PATH_TTL_S
