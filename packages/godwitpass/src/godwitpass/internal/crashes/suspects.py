"""Counts of suspected requests, bounded in number and in time."""

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.crashes.fingerprint import HEAD_PRINT_BYTES, Fingerprint, HeadPrint
from godwitpass.internal.crashes.messages import Counts, SuspectReport

MAX_CRASHES = 3
"""Crashes after which a request is refused."""

MIN_BROKEN_SHARE = 0.5
"""Share of a request's attempts that must have broken off before it is refused."""

FORGET_S = 600.0
"""Time since its latest crash after which a request is forgotten."""

SAME_CRASH_S = 0.1
"""Reports of one daemon closer than this count as one crash: an upstream ends all its calls."""

MAX_SUSPECTS = 256
MAX_REPORTERS = 16


class Suspect(msgspec.Struct):
    """One suspected request: each daemon's counts and the time of the latest crash."""

    crashed_at: float
    counts: dict[Address, Counts] = {}
    was_reported: bool = False

    def sum_counts(self) -> Counts:
        """Return what all known daemons saw together."""
        parts = tuple(self.counts.values())
        return Counts(
            sum(part.crashes for part in parts),
            sum(part.broken for part in parts),
            sum(part.attempts for part in parts),
        )

    @property
    def is_refused(self) -> bool:
        """Whether the request crashed often enough, and seldom ended well."""
        total = self.sum_counts()
        often = total.crashes >= MAX_CRASHES
        return often and total.broken >= MIN_BROKEN_SHARE * total.attempts


class Suspects:
    """At most `MAX_SUSPECTS` requests; the one whose crash is oldest makes room."""

    def __init__(self, own: Address) -> None:
        self._own = own
        self._suspects: dict[Fingerprint, Suspect] = {}
        self._heads: frozenset[bytes] = frozenset()

    def __len__(self) -> int:
        return len(self._suspects)

    def may_hold(self, head: HeadPrint) -> bool:
        """Tell whether a request with this head may be suspected; False is certain."""
        return head in self._heads

    def find(self, fingerprint: Fingerprint, now: float) -> Suspect | None:
        """Return the suspect, unless it is to be forgotten by now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and now - suspect.crashed_at >= FORGET_S:
            del self._suspects[fingerprint]
            return None
        return suspect

    def count_attempt(self, fingerprint: Fingerprint, now: float) -> None:
        """Count an attempt if the request is suspected; others hear of it with a crash."""
        suspect = self.find(fingerprint, now)
        if suspect is not None:
            own = suspect.counts.get(self._own, Counts())
            suspect.counts[self._own] = Counts(own.crashes, own.broken, own.attempts + 1)

    def count_crash(self, fingerprint: Fingerprint, now: float) -> bool:
        """Count a broken attempt; False when it belongs to the crash just counted."""
        suspect = self.find(fingerprint, now) or self._add(fingerprint, now)
        own = suspect.counts.get(self._own, Counts())
        is_same = own.crashes > 0 and now - suspect.crashed_at < SAME_CRASH_S
        crashes, broken = own.crashes + (not is_same), own.broken + 1
        # An attempt from before the request was suspected was not counted.
        suspect.counts[self._own] = Counts(crashes, broken, max(own.attempts, broken))
        if not is_same:
            suspect.crashed_at = now
        return not is_same

    def merge(self, report: SuspectReport, now: float) -> bool:
        """Take in what another daemon saw; False when it is known already."""
        crashed_at = now - report.age_ms / 1000
        if now - crashed_at >= FORGET_S:
            return False
        suspect = self.find(report.fingerprint, now) or self._add(report.fingerprint, crashed_at)
        known = suspect.counts.get(report.reporter)
        if known is None and len(suspect.counts) >= MAX_REPORTERS:
            return False
        known, told = known or Counts(), report.counts
        merged = Counts(
            max(known.crashes, told.crashes),
            max(known.broken, told.broken),
            max(known.attempts, told.attempts),
        )
        suspect.crashed_at = max(suspect.crashed_at, crashed_at)
        suspect.counts[report.reporter] = merged
        return merged != known

    def _add(self, fingerprint: Fingerprint, crashed_at: float) -> Suspect:
        if len(self._suspects) >= MAX_SUSPECTS:
            oldest = min(self._suspects, key=lambda each: self._suspects[each].crashed_at)
            del self._suspects[oldest]
        suspect = self._suspects[fingerprint] = Suspect(crashed_at)
        # Heads of forgotten suspects stay until the next one comes; they cost a hash each.
        self._heads = frozenset(known[:HEAD_PRINT_BYTES] for known in self._suspects)
        return suspect
