"""Votes of daemons that a coordinator counts; the integral of their number is its credit."""

import heapq

import msgspec

from godwitpass.ids import Address


class _Vote(msgspec.Struct):
    electorate: bytes
    valid_until: float


class Votes:
    """Counts the valid votes by electorate.

    `integrals` holds vote-seconds by electorate. `lows` holds the lowest count by electorate since
    the last call of `clear_lows`, because credit must not outlive the votes behind it.
    """

    def __init__(self, now: float) -> None:
        self.counts: dict[bytes, int] = {}
        self.integrals: dict[bytes, float] = {}
        self.lows: dict[bytes, int] = {}
        self._at = now
        self._votes: dict[Address, _Vote] = {}
        self._expirations: list[tuple[float, Address]] = []

    def __len__(self) -> int:
        return len(self._votes)

    def advance(self, now: float) -> None:
        """Integrate until `now`, and drop expired votes at the moment of their expiry."""
        while self._expirations and self._expirations[0][0] <= now:
            expires_at, voter = heapq.heappop(self._expirations)
            vote = self._votes.get(voter)
            if vote is not None and vote.valid_until <= expires_at:
                self._integrate(expires_at)
                del self._votes[voter]
                self._count(vote.electorate, -1)
        self._integrate(now)

    def record(self, voter: Address, electorate: bytes, valid_until: float) -> None:
        """Count the vote of `voter` until `valid_until`; call `advance` first."""
        vote = self._votes.get(voter)
        if vote is None:
            self._votes[voter] = _Vote(electorate, valid_until)
            self._count(electorate, 1)
        else:
            if vote.electorate == electorate:
                if valid_until <= vote.valid_until:
                    return
            else:
                self._count(vote.electorate, -1)
                self._count(electorate, 1)
                vote.electorate = electorate
            vote.valid_until = valid_until
        heapq.heappush(self._expirations, (valid_until, voter))

    def clear_lows(self) -> None:
        """Forget lowest counts, and electorates for which nobody votes any more."""
        self.lows.clear()
        for electorate in [item for item, count in self.counts.items() if count == 0]:
            del self.counts[electorate], self.integrals[electorate]

    def _integrate(self, now: float) -> None:
        elapsed_s = now - self._at
        if elapsed_s > 0:
            self._at = now
            for electorate, count in self.counts.items():
                self.integrals[electorate] += count * elapsed_s

    def _count(self, electorate: bytes, change: int) -> None:
        count = self.counts.get(electorate, 0) + change
        self.counts[electorate] = count
        self.integrals.setdefault(electorate, 0.0)
        if change < 0:
            self.lows[electorate] = min(count, self.lows.get(electorate, count))
