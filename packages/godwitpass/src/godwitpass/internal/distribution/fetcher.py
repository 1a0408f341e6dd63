"""Fetches versions that other daemons are known to hold.

A daemon that holds nothing asks several peers first and takes the highest version among the
answers, so that one peer that lags behind doesn't decide what it starts with.
"""

import math
import random

from godwitpass.ids import NO_VERSION, Address, Version
from godwitpass.internal.actions import Send
from godwitpass.internal.distribution.snapshot_cache import SnapshotCache
from godwitpass.internal.distribution.messages import Announce, Fetch, Message
from godwitpass.internal.distribution.tuning import (
    BOOTSTRAP_PEERS,
    BOOTSTRAP_TIMEOUT_S,
    STORE_RETRY_MAX_S,
)
from godwitpass.internal.distribution.view import View, find_parent_position

FETCH_TIMEOUT_S = 1.5
"""Time after which an unanswered fetch goes to another daemon."""

MAX_CANDIDATES = 8

BOOTSTRAP_GRACE_S = 0.1
"""Time for the other peers that were asked once a version is known; running daemons answer sooner.

When all daemons start at once, many of those asked are still down.
"""


class Fetcher:
    """Keeps at most one fetch outstanding."""

    def __init__(self, own: Address, contents: SnapshotCache, generator: random.Random) -> None:
        self._own = own
        self._contents = contents
        self._random = generator
        self._candidates: dict[Address, Version] = {}
        self._source: Address | None = None
        self._deadline = math.inf
        self._asked: set[Address] = set()
        self._ask_at = math.inf
        self._backoff_s = BOOTSTRAP_TIMEOUT_S
        self._whole = False

    @property
    def is_bootstrapping(self) -> bool:
        """Tell whether peers were asked and the decision is still to come."""
        return self._ask_at < math.inf

    @property
    def deadline(self) -> float:
        """Return the time of the next step."""
        return min(self._deadline, self._ask_at)

    def start(self, view: View, now: float) -> list[Send[Message]]:
        """Ask several peers what they hold, and decide when all or enough time has answered."""
        self._ask_at = now + self._backoff_s * self._random.uniform(1.5, 2.5)
        if self._source is not None:
            return []
        peers = self._choose_peers(view)
        self._asked = set(peers)
        self._deadline = now + BOOTSTRAP_TIMEOUT_S
        self._backoff_s = min(self._backoff_s * 2, STORE_RETRY_MAX_S)
        return [Send(peer, Announce(NO_VERSION, b"", acknowledge=True)) for peer in peers]

    def run(self, view: View | None, now: float) -> list[Send[Message]]:
        """Take the next step if it is due."""
        actions: list[Send[Message]] = []
        if now >= self._deadline:
            self._asked.clear()
            if self._source is not None:
                self._candidates.pop(self._source, None)
            self._source, self._deadline = None, math.inf
            actions += self._fetch(now)
        if now >= self._ask_at:
            self._ask_at = math.inf
            if self._contents.current is None and view is not None:
                actions += self.start(view, now)
        return actions

    def record_answer(self, sender: Address, version: Version, now: float) -> list[Send[Message]]:
        """Note that `sender` holds `version`; fetch it if it is later than the own."""
        if version > self._contents.version:
            self._candidates[sender] = version
            if len(self._candidates) > MAX_CANDIDATES:
                del self._candidates[next(iter(self._candidates))]
        if self._asked:
            self._asked.discard(sender)
            if self._asked:
                if self._candidates:
                    self._deadline = min(self._deadline, now + BOOTSTRAP_GRACE_S)
                return []
            self._deadline = math.inf
        return self._fetch(now)

    def record_wrong(self, sender: Address, version: Version, now: float) -> list[Send[Message]]:
        """Fetch the whole of `version`, since a delta from `sender` led to wrong content."""
        self._whole = True
        self._source = None
        self._candidates[sender] = version
        return self._fetch(now)

    def record_busy(self, sender: Address, retry_s: float, now: float) -> list[Send[Message]]:
        """Turn to another holder, or wait if there is none."""
        if sender != self._source:
            return []
        version = self._candidates.pop(sender, NO_VERSION)
        self._source = None
        if self._candidates:
            return self._fetch(now)
        self._candidates[sender] = version
        self._deadline = now + retry_s * self._random.uniform(1.0, 2.0)
        return []

    def finish(self) -> None:
        """Forget what has become superfluous with the version now held."""
        held = self._contents.version
        self._candidates = {
            peer: version for peer, version in self._candidates.items() if version > held
        }
        self._source, self._deadline, self._ask_at = None, math.inf, math.inf
        self._asked.clear()
        self._whole = False

    def _fetch(self, now: float) -> list[Send[Message]]:
        if self._source is not None or self._deadline < math.inf or not self._candidates:
            return []
        best = max(self._candidates.values())
        if best <= self._contents.version:
            return []
        holder_count = [peer for peer, version in self._candidates.items() if version == best]
        self._source = self._random.choice(holder_count)
        self._deadline = now + FETCH_TIMEOUT_S
        bases = () if self._whole else self._contents.bases()
        return [Send(self._source, Fetch(bases))]

    def _choose_peers(self, view: View) -> list[Address]:
        chosen: list[Address] = []
        position = view.find_position(self._own)
        parent = find_parent_position(position) if position else None
        if parent is not None:
            chosen.append(view.ranked_members[parent])
        remote = [addresses for addresses in view.remote.values() if addresses]
        if remote:
            chosen.append(self._random.choice(self._random.choice(remote)))
        others = min(len(view.ranked_members), BOOTSTRAP_PEERS + 2)
        chosen += self._random.sample(view.ranked_members, others)
        distinct = [peer for peer in dict.fromkeys(chosen) if peer != self._own]
        return distinct[:BOOTSTRAP_PEERS]
