"""Events of membership."""

from godwitpass.events import EventKind, Level

MEMBERSHIP_JOINED = EventKind(
    300, "membership-joined", "This daemon reached the first other daemon of its region."
)
MEMBER_SUSPECTED = EventKind(
    301,
    "member-suspected",
    "A daemon answered neither this daemon nor its helpers; it has a few seconds to refute.",
)
MEMBER_DEAD = EventKind(
    302, "member-dead", "A daemon suspected by this daemon did not refute and counts as dead."
)
SUSPICION_REFUTED = EventKind(
    303, "suspicion-refuted", "This daemon was suspected by others and raised its incarnation."
)
REGION_LOST = EventKind(
    304,
    "region-lost",
    "Nothing was heard of another region for a while; its upstreams are left out.",
    Level.WARNING,
)
REGION_FOUND = EventKind(305, "region-found", "A region that was lost, or is new, was heard of.")
ISOLATED = EventKind(
    306,
    "membership-isolated",
    "No daemon was heard for a while; nobody is suspected until one is.",
    Level.WARNING,
)
RECONNECTED = EventKind(
    307, "membership-reconnected", "A daemon was heard again; beliefs formed meanwhile are undone."
)
PAUSE_NOTICED = EventKind(
    308,
    "membership-pause-noticed",
    "This process stood still; its pending suspicions start anew.",
    Level.WARNING,
)
SEEDS_UNAVAILABLE = EventKind(
    309,
    "membership-seeds-unavailable",
    "The store's records of first contacts could not be read; peers that remember this daemon's "
    "address may still find it.",
    Level.WARNING,
)
SEEDS_UNREADABLE = EventKind(
    310,
    "membership-seeds-unreadable",
    "A record of first contacts in the store is malformed; it counts as empty and is replaced.",
    Level.WARNING,
)
