"""Protection against replayed frames, with bounded memory."""

from godwitpass_daemon.peers.frames import US_PER_SECOND, DropReason, Frame

FRESHNESS_WINDOW_S = 30
"""Largest difference between a frame's time and the receiver's clock.

It covers clock skew and network delay together.
"""

MAX_RECENT_TAGS = 32_768
"""Tags kept in one generation; further frames are dropped, as they could not be checked."""


class ReplayGuard:
    """Admits each frame once.

    Tags are kept in two generations that each span twice `FRESHNESS_WINDOW_S`, so a tag is
    forgotten only after its frame has become stale.
    """

    def __init__(self) -> None:
        self._recent: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._rotated_us = 0

    def admit(self, frame: Frame, now_us: int) -> DropReason | None:
        """Return why `frame` must be dropped, or None if it is fresh and new."""
        if abs(now_us - frame.sent_us) > FRESHNESS_WINDOW_S * US_PER_SECOND:
            return DropReason.STALE
        self._rotate(now_us)
        if frame.tag in self._recent or frame.tag in self._previous:
            return DropReason.REPLAYED
        if len(self._recent) >= MAX_RECENT_TAGS:
            return DropReason.OVERLOAD
        self._recent.add(frame.tag)
        return None

    def _rotate(self, now_us: int) -> None:
        if now_us - self._rotated_us < 2 * FRESHNESS_WINDOW_S * US_PER_SECOND:
            return
        self._previous, self._recent = self._recent, set()
        self._rotated_us = now_us
