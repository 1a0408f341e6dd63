"""Events of the process itself, numbers 100 to 199."""

from godwitpass.events import EventKind, Level

PROCESS_STARTED = EventKind(
    100, "process-started", "The process has read its settings and is starting."
)
PROCESS_STOPPING = EventKind(
    101, "process-stopping", "The process was asked to stop and is stopping."
)
EVENTS_SUPPRESSED = EventKind(
    102,
    "events-suppressed",
    "`count` events of kind `number` were dropped because they exceeded the limit per second.",
    Level.WARNING,
)
