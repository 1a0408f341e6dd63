"""Stand-in for the platform's key-value store: in memory, with faults that tests switch on."""

from godwitpass_testkit.store.fake import FakeStore
from godwitpass_testkit.store.faults import Counts, Faults
from godwitpass_testkit.store.state import Backup, StoreState

__all__ = ["Backup", "Counts", "FakeStore", "Faults", "StoreState"]
