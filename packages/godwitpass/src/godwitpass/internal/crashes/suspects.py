"""Crash counts of suspects: requests during which an upstream's connection broke.

The counts are bounded in number and lifetime.
"""

import math
from enum import Enum

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.crashes.fingerprint import (
    HEAD_FINGERPRINT_BYTES,
    Fingerprint,
    HeadFingerprint,
)
from godwitpass.internal.crashes.messages import CrashCounts, SuspectReport
from godwitpass.internal.crashes.release import TRIAL_TIMEOUT_S, compute_trial_delay_s

MAX_CRASHES = 3
"""Crashes, over all daemons, after which a request is refused."""

MIN_BROKEN_SHARE = 0.5
"""Share of a request's attempts that must have broken for it to be refused."""

SUSPECT_TTL_S = 600.0
"""Time since its latest crash after which a request is no longer suspected."""

SHARED_S = 0.9 * SUSPECT_TTL_S
"""Time since its latest crash for which other daemons are told of a suspect.

It is shorter than the lifetime, so that no daemon learns again of a suspect that has expired there.
"""

CRASH_DEDUPLICATION_S = 0.1
"""Attempts that break within this time at one daemon count as one crash.

A crashing upstream breaks all its attempts at once.
"""

BURST_S = 0.5
"""Time between two crashes from which they belong to different bursts.

One call that is retried beside a crashing request can break at several upstreams at once, so a
request with a single burst is tried again soon.
"""

MAX_SUSPECTS = 256
MAX_REPORTERS = 16
"""Daemons whose counts are kept for one suspect."""


class Admission(Enum):
    """Why a suspected request is admitted."""

    FEW_CRASHES = "few crashes"
    TRIAL = "trial after a single burst"
    SURVIVED_TRIAL = "a trial succeeded"
    ATTEMPTS_SUCCEED = "attempts succeed"


class Suspect(msgspec.Struct):
    """A suspected request: the counts by daemon, and the times of the latest crashes.

    `crashed_at` is the latest crash at any daemon, `own_crashed_at` the latest one at this daemon.
    `reported_admission_crashes` is the number of crashes at the latest report that the request is
    admitted in spite of them. `trial_ends_at` is when the running trial no longer prevents the next
    one, and `rank` the cached rank of this daemon among those that can try the request.
    """

    crashed_at: float
    own_crashed_at: float | None = None
    counts: dict[Address, CrashCounts] = {}
    total: CrashCounts = CrashCounts()
    is_refusal_reported: bool = False
    reported_admission_crashes: int = 0
    bursts: int = 1
    trial_ends_at: float = -math.inf
    rank: int | None = None

    def set_counts(self, reporter: Address, counts: CrashCounts) -> None:
        """Replace the counts of one daemon, and update the sum over all daemons."""
        previous = self.counts.get(reporter, CrashCounts())
        self.counts[reporter] = counts
        self.total = CrashCounts(
            self.total.crashes + counts.crashes - previous.crashes,
            self.total.broken_attempts + counts.broken_attempts - previous.broken_attempts,
            self.total.attempts + counts.attempts - previous.attempts,
            self.total.survived_trials + counts.survived_trials - previous.survived_trials,
        )

    def record_crash_time(self, crashed_at: float) -> None:
        """Record when a crash happened; crashes of one moment are one burst."""
        if crashed_at >= self.crashed_at + BURST_S:
            self.bursts += 1
        self.crashed_at = max(self.crashed_at, crashed_at)

    def find_admission(
        self, now: float, rank: int = 0, is_forwarding: bool = False
    ) -> Admission | None:
        """Return why the daemon of `rank` admits the request, or None if it is refused.

        With `is_forwarding`, another daemon decides whether the request is tried.
        """
        total = self.total
        if total.crashes < MAX_CRASHES:
            return Admission.FEW_CRASHES
        if self.bursts == 1:
            if total.survived_trials:
                return Admission.SURVIVED_TRIAL
            has_waited = now - self.crashed_at >= compute_trial_delay_s(rank)
            if has_waited and (is_forwarding or now >= self.trial_ends_at):
                return Admission.TRIAL
        if total.broken_attempts < MIN_BROKEN_SHARE * total.attempts:
            return Admission.ATTEMPTS_SUCCEED
        return None


class Suspects:
    """At most `MAX_SUSPECTS` requests.

    Those with too few crashes to be refused are evicted first, then the one with the oldest crash.
    """

    def __init__(self, own_address: Address) -> None:
        self._own_address = own_address
        self._suspects: dict[Fingerprint, Suspect] = {}
        self._head_fingerprints: frozenset[bytes] = frozenset()
        self._lowest: tuple[Fingerprint, tuple[bool, float]] | None = None

    def __len__(self) -> int:
        return len(self._suspects)

    def may_contain(self, head_fingerprint: HeadFingerprint) -> bool:
        """Return False only if no request with this head is a suspect."""
        return head_fingerprint in self._head_fingerprints

    def find(self, fingerprint: Fingerprint, now: float) -> Suspect | None:
        """Return the suspect, or None if it is unknown or expired; an expired one is removed."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and now - suspect.crashed_at >= SUSPECT_TTL_S:
            del self._suspects[fingerprint]
            return None
        return suspect

    def list_shared(self, now: float) -> list[tuple[Fingerprint, Suspect]]:
        """Remove the expired suspects, and return those to tell others of, most crashes first."""
        for fingerprint in tuple(self._suspects):
            self.find(fingerprint, now)
        earliest = now - SHARED_S
        shared = [item for item in self._suspects.items() if item[1].crashed_at > earliest]
        return sorted(shared, key=lambda item: -item[1].total.crashes)

    def count_attempt(self, fingerprint: Fingerprint, now: float) -> None:
        """Count an attempt if the request is suspected.

        Other daemons receive the count with the report of the next crash.
        """
        suspect = self.find(fingerprint, now)
        if suspect is not None:
            own_counts = suspect.counts.get(self._own_address, CrashCounts())
            suspect.set_counts(
                self._own_address,
                msgspec.structs.replace(own_counts, attempts=own_counts.attempts + 1),
            )

    def end_attempt(self, fingerprint: Fingerprint, now: float, has_succeeded: bool) -> bool:
        """End a trial of a request; return whether it is the first one that succeeded."""
        suspect = self.find(fingerprint, now)
        if suspect is None:
            return False
        suspect.trial_ends_at = min(suspect.trial_ends_at, now)
        is_on_trial = suspect.bursts == 1 and suspect.total.crashes >= MAX_CRASHES
        if not has_succeeded or not is_on_trial or suspect.total.survived_trials:
            return False
        own_counts = suspect.counts.get(self._own_address, CrashCounts())
        suspect.set_counts(
            self._own_address, msgspec.structs.replace(own_counts, survived_trials=1)
        )
        return True

    def start_trial(self, fingerprint: Fingerprint, now: float) -> None:
        """Let no further attempt start until the trial ends."""
        suspect = self.find(fingerprint, now)
        if suspect is not None:
            suspect.trial_ends_at = now + TRIAL_TIMEOUT_S

    def count_crash(self, fingerprint: Fingerprint, now: float, crashed_at: float) -> bool:
        """Count a broken attempt; return False when it belongs to the crash counted last."""
        suspect = self.find(fingerprint, now) or self._add_suspect(fingerprint, crashed_at)
        own_counts = suspect.counts.get(self._own_address, CrashCounts())
        own_crashed_at = suspect.own_crashed_at
        is_same_crash = (
            own_crashed_at is not None and abs(crashed_at - own_crashed_at) < CRASH_DEDUPLICATION_S
        )
        crashes, broken_attempts = (
            own_counts.crashes + (not is_same_crash),
            own_counts.broken_attempts + 1,
        )
        # Attempts made before the request became a suspect were not counted.
        suspect.set_counts(
            self._own_address,
            msgspec.structs.replace(
                own_counts,
                crashes=crashes,
                broken_attempts=broken_attempts,
                attempts=max(own_counts.attempts, broken_attempts),
            ),
        )
        if not is_same_crash:
            suspect.own_crashed_at = crashed_at
            suspect.record_crash_time(crashed_at)
        return not is_same_crash

    def merge(self, report: SuspectReport, now: float) -> bool:
        """Merge another daemon's counts; return whether they contain a crash or success."""
        crashed_at = now - report.age_ms / 1000
        if now - crashed_at >= SUSPECT_TTL_S:
            return False
        suspect = self.find(report.fingerprint, now)
        if suspect is None:
            if not self._has_room((report.counts.crashes >= MAX_CRASHES, crashed_at)):
                return False
            suspect = self._add_suspect(report.fingerprint, crashed_at)
        known = suspect.counts.get(report.reporter)
        if known is None and len(suspect.counts) >= MAX_REPORTERS:
            return False
        known, reported = known or CrashCounts(), report.counts
        merged = CrashCounts(
            max(known.crashes, reported.crashes),
            max(known.broken_attempts, reported.broken_attempts),
            max(known.attempts, reported.attempts),
            max(known.survived_trials, reported.survived_trials),
        )
        has_new_crash = merged.crashes > known.crashes
        if has_new_crash:
            # Repeated reports are older than they say, by the time that they took to arrive.
            suspect.record_crash_time(crashed_at)
        suspect.bursts = max(suspect.bursts, report.bursts)
        suspect.set_counts(report.reporter, merged)
        return has_new_crash or merged.survived_trials > known.survived_trials

    def _has_room(self, rank: tuple[bool, float]) -> bool:
        """Tell whether a suspect of this rank would not be the first one to be evicted."""
        return len(self._suspects) < MAX_SUSPECTS or rank > _rank(
            self._suspects[self._find_lowest()]
        )

    def _find_lowest(self) -> Fingerprint:
        """Return the suspect that is evicted first.

        Ranks never fall, so the one found before is still the lowest if its own has not changed.
        """
        if self._lowest is not None:
            fingerprint, rank = self._lowest
            suspect = self._suspects.get(fingerprint)
            if suspect is not None and _rank(suspect) == rank:
                return fingerprint
        fingerprint = min(self._suspects, key=lambda each: _rank(self._suspects[each]))
        self._lowest = fingerprint, _rank(self._suspects[fingerprint])
        return fingerprint

    def _add_suspect(self, fingerprint: Fingerprint, crashed_at: float) -> Suspect:
        if len(self._suspects) >= MAX_SUSPECTS:
            del self._suspects[self._find_lowest()]
        suspect = self._suspects[fingerprint] = Suspect(crashed_at)
        if self._lowest is not None and _rank(suspect) < self._lowest[1]:
            self._lowest = fingerprint, _rank(suspect)
        # An expired suspect stays in this set until the next addition. Until then, a request with
        # such a head costs the computation of its full fingerprint.
        self._head_fingerprints = frozenset(
            known[:HEAD_FINGERPRINT_BYTES] for known in self._suspects
        )
        return suspect


def _rank(suspect: Suspect) -> tuple[bool, float]:
    """Return the order in which suspects are evicted, first the lowest."""
    return suspect.total.crashes >= MAX_CRASHES, suspect.crashed_at
