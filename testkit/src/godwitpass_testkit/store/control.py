"""Control of the stand-in store while it runs: faults, counts, backups, lapsing leases."""

from collections.abc import Callable

import msgspec

from godwitpass.ids import Revision
from godwitpass_testkit.store.faults import Counts, Faults
from godwitpass_testkit.store.state import Backup, StoreState

CONTROL_PATH = "/control"


class Control(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A change, in JSON: `faults` replaces all faults; `save` before `restore`."""

    faults: Faults | None = None
    lapse_leases: bool = False
    save: bool = False
    restore: bool = False


class Description(msgspec.Struct, frozen=True):
    """Present revision, faults and counts."""

    revision: Revision
    faults: Faults
    counts: Counts


class Console:
    """Carries out control requests; keeps the one backup."""

    def __init__(self, state: StoreState, clock: Callable[[], float]) -> None:
        self._state = state
        self._clock = clock
        self._backup: Backup = state.save()

    def describe(self) -> Description:
        """Return the present revision, faults and counts."""
        return Description(self._state.revision, self._state.faults, self._state.counts)

    def carry_out(self, body: bytes) -> Description:
        """Carry out a `Control` in JSON; raises `msgspec.DecodeError` when it is malformed."""
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
