"""What the relay asks about the software version of the local upstream."""

from typing import Protocol

from godwitpass.ids import RouteName


class VersionGate(Protocol):
    """Decides whether calls may run on the local upstream's version, and counts their outcomes."""

    def may_run(self) -> bool:
        """Return whether a call may be handed to the local upstream now."""
        ...

    def record_arrival(self) -> None:
        """Note that another daemon, or this one, has forwarded a call to the local upstream."""
        ...

    def record_outcome(
        self, route: RouteName, duration_s: float, has_failed: bool, is_reset: bool
    ) -> None:
        """Count a call that was handed to the local upstream and has ended."""
        ...
