"""Number of daemons among which the credit of a customer is divided."""

from collections.abc import Iterable

from godwitpass.ids import Address


class DaemonCount:
    """Counts each daemon until it has been missing for `hold_s`.

    A daemon that is missing may run beyond a partition and entrust its share to another owner.
    """

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        self._seen_at: dict[Address, float] = {}

    def update(self, members: Iterable[Address], now: float) -> int:
        """Return the number of daemons, of which `members` are known now."""
        for address in members:
            self._seen_at[address] = now
        self._seen_at = {
            address: seen_at
            for address, seen_at in self._seen_at.items()
            if now < seen_at + self._hold_s
        }
        return max(1, len(self._seen_at))
