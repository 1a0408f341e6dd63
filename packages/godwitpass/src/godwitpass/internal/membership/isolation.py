"""Detects that this daemon is cut off, as opposed to all its peers being dead."""


class IsolationDetector:
    """Suspends suspicions while no message arrives from any daemon, up to a grace period.

    After the grace period suspicions resume, since all others may indeed be dead. Members declared
    dead during an isolation count as alive again when it ends, and are probed anew.
    """

    def __init__(self, silence_s: float, grace_s: float) -> None:
        self._silence_s = silence_s
        self._grace_s = grace_s
        self._last_message_at = 0.0
        self.isolated_since: float | None = None

    def record_message(self, now: float) -> float | None:
        """Record a message received at `now`; return the start of the isolation that it ends."""
        self._last_message_at = now
        isolated_since, self.isolated_since = self.isolated_since, None
        return isolated_since

    def begin_if_silent(self, now: float) -> bool:
        """Start an isolation if nothing has arrived for too long; return whether one started."""
        if self.isolated_since is not None or now - self._last_message_at <= self._silence_s:
            return False
        self.isolated_since = self._last_message_at
        return True

    def suspends_suspicion(self, now: float) -> bool:
        """Return whether suspicions are suspended."""
        return self.isolated_since is not None and now - self.isolated_since <= self._grace_s
