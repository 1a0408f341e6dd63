"""A queue of updates to gossip, each a limited number of times."""

import math
from collections.abc import Hashable

from godwitpass.internal.membership.messages import Update
from godwitpass.internal.membership.wire import measure_update

CONGESTION_THRESHOLD = 64
"""Queue length above which each update is sent at most `MAX_CONGESTED_SENDS` times.

Anti-entropy repairs what that misses.
"""

MAX_CONGESTED_SENDS = 4
MIN_UPDATE_BYTES = 12
"""No update is smaller, so a smaller remaining budget ends the search."""

MAX_OVERSIZED_SKIPS = 8
"""The search ends once more updates than this were too large for the remaining budget."""

MAX_QUEUED = 256
"""A full queue drops one of the updates sent most often; anti-entropy repairs what that misses."""


class BroadcastQueue:
    """Hands out queued updates, those sent least often first.

    A newer update of a subject replaces an older one. Each is sent `factor * log10(members + 1)`
    times, rounded up, after which about one in `members` hasn't received it.
    """

    def __init__(self, factor: float) -> None:
        self._factor = factor
        self._by_send_count: list[dict[Hashable, tuple[Update, int]]] = []
        self._send_count_by_subject: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._send_count_by_subject)

    def add(self, subject: Hashable, update: Update) -> None:
        """Queue `update` about `subject`."""
        self.discard(subject)
        if len(self) >= MAX_QUEUED:
            entries = next(entries for entries in reversed(self._by_send_count) if entries)
            self.discard(next(iter(entries)))
        self._insert(0, subject, (update, measure_update(update)))

    def discard(self, subject: Hashable) -> None:
        """Remove the update about `subject` from the queue."""
        send_count = self._send_count_by_subject.pop(subject, None)
        if send_count is not None:
            del self._by_send_count[send_count][subject]

    def take(self, budget_bytes: int, members: int) -> list[Update]:
        """Return updates of at most `budget_bytes` in total, and count each as sent once more.

        `members` is the size of the region, on which the number of sends depends.
        """
        sent: list[tuple[int, Hashable]] = []
        updates: list[Update] = []
        skipped = 0
        for send_count, entries in enumerate(self._by_send_count):
            for subject, (update, size_bytes) in entries.items():
                if budget_bytes < MIN_UPDATE_BYTES or skipped > MAX_OVERSIZED_SKIPS:
                    break
                if size_bytes > budget_bytes:
                    skipped += 1
                    continue
                budget_bytes -= size_bytes
                updates.append(update)
                sent.append((send_count, subject))
        send_limit = self._compute_send_limit(members)
        for send_count, subject in sent:
            self._count_send(send_count, subject, send_limit)
        return updates

    def _compute_send_limit(self, members: int) -> int:
        limit = max(1, math.ceil(self._factor * math.log10(members + 1)))
        return min(limit, MAX_CONGESTED_SENDS) if len(self) > CONGESTION_THRESHOLD else limit

    def _count_send(self, send_count: int, subject: Hashable, send_limit: int) -> None:
        entry = self._by_send_count[send_count].pop(subject)
        del self._send_count_by_subject[subject]
        if send_count + 1 < send_limit:
            self._insert(send_count + 1, subject, entry)

    def _insert(self, send_count: int, subject: Hashable, entry: tuple[Update, int]) -> None:
        while len(self._by_send_count) <= send_count:
            self._by_send_count.append({})
        self._by_send_count[send_count][subject] = entry
        self._send_count_by_subject[subject] = send_count
