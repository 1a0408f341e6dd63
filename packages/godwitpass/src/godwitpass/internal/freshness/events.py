"""Event kinds of freshness proofs."""

from godwitpass.events import EventKind, Level

PROOF_EXPIRED = EventKind(
    230,
    "proof-expired",
    "It is not known whether the version held is still the newest; calls with a key are refused.",
    Level.WARNING,
)
PROOF_RENEWED = EventKind(
    231, "proof-renewed", "The version held is known to have been the newest a moment ago."
)
