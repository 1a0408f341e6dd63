"""Control the stand-in store while it runs: faults, counters, backups and expiry of leases."""

from collections.abc import Callable

import msgspec

from godwitpass.ids import Revision
from godwitpass_testkit.store.faults import Counts, Faults
from godwitpass_testkit.store.state import Backup, StoreState

CONTROL_PATH = "/control"


class Control(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Request to the control endpoint, in JSON.

    `faults` replaces all current faults, `lapse_leases` expires all leases, `save` replaces the
    backup and `restore` goes back to it. They are applied in this order.
    """

    faults: Faults | None = None
    lapse_leases: bool = False
    save: bool = False
    restore: bool = False


class Description(msgspec.Struct, frozen=True):
    """Current revision, faults and counters of the store."""

    revision: Revision
    faults: Faults
    counts: Counts


class Controller:
    """Applies control requests and holds the only backup, at first that of the initial state."""

    def __init__(self, state: StoreState, clock: Callable[[], float]) -> None:
        self._state = state
        self._clock = clock
        self._backup: Backup = state.save()

    def describe(self) -> Description:
        """Return the current revision, faults and counters."""
        return Description(self._state.revision, self._state.faults, self._state.counts)

    def apply(self, body: bytes) -> Description:
        """Apply a `Control` in JSON; raises `msgspec.DecodeError` when it is malformed."""
        control = msgspec.json.decode(body, type=Control)
        if control.faults is not None:
            self._state.faults = control.faults
        if control.lapse_leases:
            self._state.expire_all_leases(self._clock())
        if control.save:
            self._backup = self._state.save()
        if control.restore:
            self._state.restore(self._backup)
        return self.describe()
