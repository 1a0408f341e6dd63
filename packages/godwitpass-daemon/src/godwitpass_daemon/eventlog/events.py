"""Events of the process itself, numbers 100 to 199."""

from godwitpass.events import EventKind, Level

STARTED = EventKind(100, "process-started", "The process has read its settings and is starting.")
STOPPING = EventKind(101, "process-stopping", "The process was asked to stop.")
SUPPRESSED = EventKind(
    102,
    "events-suppressed",
    "`count` events of kind `number` were left out, since more than its share came in a second.",
    Level.WARNING,
)
