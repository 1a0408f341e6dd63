"""Fetches versions that other daemons are known to hold.

A daemon without a version asks several peers first and fetches the highest version among their
answers, so that a single peer that lags behind doesn't determine the version it starts with.
"""

import math
import random

import msgspec

from godwitpass.events import FieldValue
from godwitpass.ids import NO_VERSION, Address, Version
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.distribution.events import VERSION_AWAITED
from godwitpass.internal.distribution.messages import Announce, Fetch, Message
from godwitpass.internal.distribution.snapshot_cache import SnapshotCache
from godwitpass.internal.distribution.tuning import (
    BOOTSTRAP_PEERS,
    BOOTSTRAP_RETRY_MAX_S,
    BOOTSTRAP_TIMEOUT_S,
)
from godwitpass.internal.distribution.view import View, find_parent_position

FETCH_TIMEOUT_S = 1.5
"""Timeout after which a fetch is sent to another daemon."""

MAX_CANDIDATES = 8

BOOTSTRAP_GRACE_S = 0.1
"""Wait for the remaining peers once one has answered with a version.

Running daemons answer sooner. When all daemons start at once, many of the peers are still down.
"""


AWAITED_REPORT_S = 1.0
"""Time for which a later version is known before the wait for it is reported.

It doubles with each report.
"""

Actions = list[Send[Message] | RecordEvent]


class AwaitedVersion(msgspec.Struct):
    """The newest version that others are known to hold, while this daemon lacks it.

    `known_at` is the time since which no later version has arrived.
    """

    version: Version
    known_at: float
    report_at: float
    search_at: float = math.inf
    searches: int = 0
    fetches: int = 0

    def describe(self, now: float) -> dict[str, FieldValue]:
        """Return log fields: how long the version has been known, and how often it was fetched."""
        return {"known_ms": int((now - self.known_at) * 1000), "fetches": self.fetches}


class Fetcher:
    """Fetches the newest known version, with at most one fetch in flight."""

    def __init__(
        self, own_address: Address, cache: SnapshotCache, generator: random.Random
    ) -> None:
        self._own_address = own_address
        self._cache = cache
        self._random = generator
        self._candidates: dict[Address, Version] = {}
        self._fetching_from: Address | None = None
        self._deadline = math.inf
        self._awaited_peers: set[Address] = set()
        self._bootstrap_retry_at = math.inf
        self._backoff_s = BOOTSTRAP_TIMEOUT_S
        self._needs_full_version = False
        self._awaited: AwaitedVersion | None = None

    @property
    def is_bootstrapping(self) -> bool:
        """Return whether a bootstrap attempt is pending."""
        return self._bootstrap_retry_at < math.inf

    @property
    def deadline(self) -> float:
        """Return the time at which `run_due` has something to do."""
        report_at = self._awaited.report_at if self._awaited else math.inf
        search_at = self._awaited.search_at if self._awaited and self._lacks_holder else math.inf
        return min(self._deadline, self._bootstrap_retry_at, report_at, search_at)

    @property
    def _lacks_holder(self) -> bool:
        return not self._candidates and self._fetching_from is None

    @property
    def awaited_since(self) -> float | None:
        """Return since when a later version is known without one arriving; None if none is."""
        return self._awaited.known_at if self._awaited else None

    def compute_lag(self, now: float) -> float:
        """Return the seconds for which a later version has been known; 0 if none is."""
        return now - self._awaited.known_at if self._awaited else 0.0

    def describe_wait(self, now: float) -> dict[str, FieldValue]:
        """Return log fields about the wait for a later version, if one is known."""
        return self._awaited.describe(now) if self._awaited else {}

    def start_bootstrap(self, view: View, now: float) -> list[Send[Message]]:
        """Ask several peers for their versions, and fetch when all answered or time is up."""
        self._bootstrap_retry_at = now + self._backoff_s * self._random.uniform(1.5, 2.5)
        if self._fetching_from is not None:
            return []
        peers = self._choose_peers(view)
        self._awaited_peers = set(peers)
        self._deadline = now + BOOTSTRAP_TIMEOUT_S
        self._backoff_s = min(self._backoff_s * 2, BOOTSTRAP_RETRY_MAX_S)
        return [Send(peer, Announce(NO_VERSION, b"", wants_reply=True)) for peer in peers]

    def run_due(self, view: View | None, now: float) -> Actions:
        """Handle the timeouts that are due at `now`."""
        actions: Actions = self._report_wait(now)
        if now >= self._deadline:
            self._awaited_peers.clear()
            if self._fetching_from is not None:
                self._candidates.pop(self._fetching_from, None)
            self._fetching_from, self._deadline = None, math.inf
            actions += self._start_fetch(now)
        actions += self._search_holders(view, now)
        if now >= self._bootstrap_retry_at:
            self._bootstrap_retry_at = math.inf
            if self._cache.current is None and view is not None:
                actions += self.start_bootstrap(view, now)
        return actions

    def record_holder(self, sender: Address, version: Version, now: float) -> list[Send[Message]]:
        """Record that `sender` holds `version`; fetch it if it is later than the current one."""
        if version > self._cache.version:
            self._await(version, now)
            self._candidates[sender] = version
            if len(self._candidates) > MAX_CANDIDATES:
                del self._candidates[next(iter(self._candidates))]
        if self._awaited_peers:
            self._awaited_peers.discard(sender)
            if self._awaited_peers:
                if self._candidates:
                    self._deadline = min(self._deadline, now + BOOTSTRAP_GRACE_S)
                return []
            self._deadline = math.inf
        return self._start_fetch(now)

    def record_invalid_update(
        self, sender: Address, version: Version, now: float
    ) -> list[Send[Message]]:
        """Fetch the full `version`, since an update from `sender` had invalid content."""
        self._needs_full_version = True
        self._fetching_from = None
        self._candidates[sender] = version
        return self._start_fetch(now)

    def record_busy(self, sender: Address, retry_s: float, now: float) -> list[Send[Message]]:
        """Fetch from another holder, or wait if there is none."""
        if sender != self._fetching_from:
            return []
        version = self._candidates.pop(sender, NO_VERSION)
        self._fetching_from = None
        if self._candidates:
            return self._start_fetch(now)
        self._candidates[sender] = version
        self._deadline = now + retry_s * self._random.uniform(1.0, 2.0)
        return []

    def handle_activation(self, now: float) -> None:
        """Discard the state that the newly activated version makes obsolete."""
        held_version = self._cache.version
        self._candidates = {
            peer: version for peer, version in self._candidates.items() if version > held_version
        }
        self._fetching_from, self._deadline, self._bootstrap_retry_at = None, math.inf, math.inf
        self._awaited_peers.clear()
        self._needs_full_version = False
        awaited, self._awaited = self._awaited, None
        if awaited is not None and awaited.version > held_version:
            self._await(awaited.version, now)

    def _await(self, version: Version, now: float) -> None:
        """Remember that others hold `version`, which is later than the current one."""
        if self._awaited is None:
            self._awaited = AwaitedVersion(version, now, now + AWAITED_REPORT_S)
        self._awaited.version = max(self._awaited.version, version)

    def _search_holders(self, view: View | None, now: float) -> Actions:
        """Ask other daemons for their versions once the known holders have not answered."""
        awaited = self._awaited
        if awaited is None or view is None or not self._lacks_holder:
            return []
        if awaited.search_at == math.inf:
            awaited.search_at = now
        if now < awaited.search_at:
            return []
        backoff_s = min(BOOTSTRAP_TIMEOUT_S * 2**awaited.searches, BOOTSTRAP_RETRY_MAX_S)
        awaited.search_at = now + backoff_s
        awaited.searches += 1
        announce = Announce(self._cache.version, self._cache.digest, wants_reply=True)
        return [Send(peer, announce) for peer in self._choose_peers(view)]

    def _report_wait(self, now: float) -> Actions:
        awaited = self._awaited
        if awaited is None or now < awaited.report_at:
            return []
        awaited.report_at = now + (now - awaited.known_at)
        fields: dict[str, FieldValue] = {
            "held": self._cache.version,
            "later": awaited.version,
            **awaited.describe(now),
            "holders": len(self._candidates),
            "fetching_from": self._fetching_from or "",
        }
        return [RecordEvent(VERSION_AWAITED, fields)]

    def _start_fetch(self, now: float) -> list[Send[Message]]:
        if self._fetching_from is not None or self._deadline < math.inf or not self._candidates:
            return []
        newest = max(self._candidates.values())
        if newest <= self._cache.version:
            return []
        holders = [peer for peer, version in self._candidates.items() if version == newest]
        self._fetching_from = self._random.choice(holders)
        self._deadline = now + FETCH_TIMEOUT_S
        if self._awaited is not None:
            self._awaited.fetches += 1
        bases = () if self._needs_full_version else self._cache.list_bases()
        return [Send(self._fetching_from, Fetch(bases))]

    def _choose_peers(self, view: View) -> list[Address]:
        chosen: list[Address] = []
        position = view.find_position(self._own_address)
        parent = find_parent_position(position) if position else None
        if parent is not None:
            chosen.append(view.ranked_members[parent])
        remote_zones = [addresses for addresses in view.remote_members.values() if addresses]
        if remote_zones:
            chosen.append(self._random.choice(self._random.choice(remote_zones)))
        # Two spare members, since the sample may contain this daemon and its parent.
        sample_size = min(len(view.ranked_members), BOOTSTRAP_PEERS + 2)
        chosen += self._random.sample(view.ranked_members, sample_size)
        distinct_peers = [peer for peer in dict.fromkeys(chosen) if peer != self._own_address]
        return distinct_peers[:BOOTSTRAP_PEERS]
