"""Events of the administration API, numbers 600 to 699."""

from godwitpass.events import EventKind, Level

REQUEST_UNAUTHORIZED = EventKind(
    600,
    "admin-unauthorized",
    "A request with a missing or wrong token was rejected.",
    Level.WARNING,
)
DOCUMENT_REFUSED = EventKind(
    601, "document-refused", "A document with `findings` findings was rejected.", Level.WARNING
)
DOCUMENT_WRITTEN = EventKind(
    602, "document-written", "Change `change` was accepted as version `accepted`."
)
DOCUMENT_CONFLICT = EventKind(
    603,
    "document-conflict",
    "Change `change` was rejected because version `current` was accepted first.",
    Level.WARNING,
)
DRAIN_REQUESTED = EventKind(604, "drain-requested", "An operator asked to drain the upstream.")
REQUEST_FAILED = EventKind(
    605,
    "admin-failed",
    "A request failed with an internal error of the daemon: `error`.",
    Level.ERROR,
)
