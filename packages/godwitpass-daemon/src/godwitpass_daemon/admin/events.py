"""Events of the administration API, numbers 600 to 699."""

from godwitpass.events import EventKind, Level

UNAUTHORIZED = EventKind(
    600, "admin-unauthorized", "A request without the token was refused.", Level.WARNING
)
DOCUMENT_REFUSED = EventKind(
    601, "document-refused", "A document was refused for `findings` findings.", Level.WARNING
)
DOCUMENT_WRITTEN = EventKind(
    602, "document-written", "Change `change` was accepted as version `accepted`."
)
CONFLICT = EventKind(
    603, "document-conflict", "Change `change` lost to version `current`.", Level.WARNING
)
DRAIN_REQUESTED = EventKind(604, "drain-requested", "An operator asked to drain the upstream.")
FAILED = EventKind(
    605, "admin-failed", "A request failed for a fault of the daemon: `error`.", Level.ERROR
)
