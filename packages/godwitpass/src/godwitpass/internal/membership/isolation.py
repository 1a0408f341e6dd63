"""Tells a daemon that is cut off from one whose peers are dead."""


class Isolation:
    """Withholds suspicions while nobody at all is heard, up to a grace period.

    After the grace period suspicions go on, since all others may indeed be dead; what they led to
    is undone when somebody is heard again, and has to be found anew.
    """

    def __init__(self, after_s: float, grace_s: float) -> None:
        self._after_s = after_s
        self._grace_s = grace_s
        self._heard_at = 0.0
        self.since: float | None = None

    def hear(self, now: float) -> float | None:
        """Note that a message came; return when the isolation that it ends began."""
        self._heard_at = now
        since, self.since = self.since, None
        return since

    def begins(self, now: float) -> bool:
        """Tell whether an isolation begins now."""
        if self.since is not None or now - self._heard_at <= self._after_s:
            return False
        self.since = self._heard_at
        return True

    def withholds(self, now: float) -> bool:
        """Tell whether suspicions must wait."""
        return self.since is not None and now - self.since <= self._grace_s
