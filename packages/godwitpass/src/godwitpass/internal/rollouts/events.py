"""Events of roll-outs, numbers 460 to 479."""

from godwitpass.events import EventKind, Level

ORDER_SEEN = EventKind(460, "rollout.order-seen", "The store holds a new or changed order.")
ORDER_INVALID = EventKind(
    461, "rollout.order-invalid", "An order or a record in the store is ignored.", Level.ERROR
)
CONTROL_STARTED = EventKind(
    462, "rollout.control-started", "This daemon controls the roll-outs of a service."
)
CONTROL_ENDED = EventKind(
    463, "rollout.control-ended", "This daemon no longer controls the roll-outs of a service."
)
RECORD_WRITTEN = EventKind(
    464, "rollout.record-written", "This daemon wrote the record of a roll-out."
)
RECORD_ADOPTED = EventKind(
    465, "rollout.record-adopted", "This daemon uses a record that another one wrote."
)
RECORD_NOT_WRITTEN = EventKind(
    466,
    "rollout.record-not-written",
    "A write of the record failed; the record is read again.",
    Level.WARNING,
)
TARGET_JUDGED_BAD = EventKind(
    467,
    "rollout.target-judged-bad",
    "The target version fails more often or is slower than the version in service.",
    Level.WARNING,
)
COMPLETION_DELAYED = EventKind(
    468,
    "rollout.completion-delayed",
    "A step of a roll-out waits; the reason is repeated only when it changes.",
)
VERSION_OPENED = EventKind(
    470, "rollout.version-opened", "The local server's version may run calls."
)
VERSION_CLOSED = EventKind(
    471, "rollout.version-closed", "The local server's version may run no calls."
)
TARGET_STOPPED = EventKind(
    472,
    "rollout.target-stopped",
    "The local server of the target version fails most calls and gets none until the controller "
    "answers.",
    Level.WARNING,
)
ORDERS_LOST = EventKind(
    473, "rollout.orders-unreadable", "The orders can't be read from the store.", Level.WARNING
)
ORDERS_REGAINED = EventKind(
    474, "rollout.orders-readable", "The orders can be read from the store again."
)
