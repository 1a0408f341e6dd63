"""Events of the membership protocol."""

from godwitpass.events import EventKind, Level

MEMBERSHIP_JOINED = EventKind(
    300, "membership-joined", "This daemon reached the first other daemon of its region."
)
MEMBER_SUSPECTED = EventKind(
    301,
    "member-suspected",
    "A daemon answered no direct or indirect probe; it has a few seconds to refute the suspicion.",
)
MEMBER_DEAD = EventKind(
    302,
    "member-dead",
    "A daemon suspected by this daemon did not refute the suspicion and is declared dead.",
)
SUSPICION_REFUTED = EventKind(
    303,
    "suspicion-refuted",
    "Other daemons suspected this daemon or had a newer record of it; it sent a still newer one.",
)
REGION_LOST = EventKind(
    304,
    "region-lost",
    "No heartbeat of another region arrived for a while; its upstreams are not used.",
    Level.WARNING,
)
REGION_FOUND = EventKind(
    305, "region-found", "A heartbeat arrived from a region that is new or was lost."
)
ISOLATED = EventKind(
    306,
    "membership-isolated",
    "No message arrived from any daemon for a while; suspicions are suspended for a grace period.",
    Level.WARNING,
)
RECONNECTED = EventKind(
    307,
    "membership-reconnected",
    "A message arrived after an isolation; daemons declared dead meanwhile count as alive again.",
)
PAUSE_NOTICED = EventKind(
    308,
    "membership-pause-noticed",
    "This process was paused; the timeouts of its pending suspicions start again.",
    Level.WARNING,
)
SEEDS_UNAVAILABLE = EventKind(
    309,
    "membership-seeds-unavailable",
    "A read or write of seed records in the store failed; daemons that remember this daemon's "
    "address may still find it.",
    Level.WARNING,
)
SEEDS_UNREADABLE = EventKind(
    310,
    "membership-seeds-unreadable",
    "A seed record in the store is malformed; it counts as empty and is replaced.",
    Level.WARNING,
)
