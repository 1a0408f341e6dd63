"""The roles that daemons take on, as shown on the capacity page."""

import msgspec

from godwitpass_testkit.bench.target import TARGET


class Role(msgspec.Struct, frozen=True):
    """What a daemon in one role stores and sends, and the mechanism behind it."""

    name: str
    held_by: str
    state: str
    messages: str
    mechanism: str


ROLES = (
    Role(
        "member",
        "every daemon",
        f"all records of its region ({TARGET.daemons_per_region}), summaries of the others",
        "one probe per second, which also carries updates",
        "probes with suspicion and incarnation numbers",
    ),
    Role(
        "holder",
        "every daemon",
        "the version in force and a few base versions for deltas",
        "occasional digests to random peers; one update per version",
        "tree over the availability zone, repaired by digests",
    ),
    Role(
        "reader",
        "2 per availability zone",
        "the last revision seen of the root record",
        "one pending watch",
        "rendezvous hashing, no lease",
    ),
    Role(
        "delegate",
        "3 per region",
        "summaries of the other regions",
        "changed summaries, heartbeats",
        "rendezvous hashing",
    ),
    Role(
        "seed keeper",
        "2 per availability zone",
        "8 addresses",
        "an occasional compare-and-swap",
        "records of bounded size in the store",
    ),
    Role(
        "shard owner",
        "one per shard of claims",
        "the shard's live claims",
        "batches of claims",
        "compare-and-swap of the shard's head",
    ),
    Role(
        "upstream record",
        "every daemon",
        "one record in the store",
        "one cached read at its start, one write for each new start of its upstream",
        "last write wins; a hint that a health check confirms",
    ),
    Role(
        "crash record",
        "the daemon beside an upstream that crashed",
        "one record in the store, under a lease of 540 s",
        "two cached reads at the start of each daemon, one write and one lease call for a crash",
        "last write wins; counts are merged by maximum",
    ),
    Role(
        "edge",
        "every daemon",
        "routing table, its own measurements of upstreams",
        "none for control",
        "one hop, upstream selection by its own measurements",
    ),
)


def render_roles() -> str:
    """Return the roles as a Markdown table."""
    head = "| Role | Held by | State | Messages | Mechanism |\n|---|---|---|---|---|\n"
    return head + "".join(f"| {' | '.join(msgspec.structs.astuple(role))} |\n" for role in ROLES)
