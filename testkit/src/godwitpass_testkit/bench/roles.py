"""The roles that daemons take, for the capacity page."""

import msgspec

from godwitpass_testkit.bench.target import TARGET


class Role(msgspec.Struct, frozen=True):
    """What one kind of work keeps and sends, and the mechanism that carries it."""

    name: str
    who: str
    state: str
    messages: str
    mechanism: str


ROLES = (
    Role(
        "member",
        "every daemon",
        f"its region in full ({TARGET.daemons_per_region} records), sums of the others",
        "a probe a second; news rides on the probes",
        "probes with suspicion and incarnations",
    ),
    Role(
        "holder",
        "every daemon",
        "the version in force and a few bases for deltas",
        "now and then a digest to a random peer; one update a version",
        "tree of the availability zone, repaired by digests",
    ),
    Role(
        "reader",
        "2 an availability zone",
        "the revision of the root record that it saw",
        "one waiting watch",
        "rendezvous ranking, no lease",
    ),
    Role(
        "delegate",
        "3 a region",
        "sums of the other regions",
        "changed sums, beats",
        "rendezvous ranking",
    ),
    Role(
        "seed keeper",
        "2 an availability zone",
        "8 addresses",
        "now and then a compare-and-swap",
        "records of bounded size in the store",
    ),
    Role(
        "claim holder",
        "one a shard of claims",
        "the shard's live claims",
        "batches of claims",
        "compare-and-swap of the shard's head",
    ),
    Role(
        "edge",
        "every daemon",
        "routing table, own measurements of upstreams",
        "none for control",
        "one hop, choice by own measurements",
    ),
)


def render_roles() -> str:
    """Return the roles as a Markdown table."""
    head = "| Role | Who | State | Messages | Carried by |\n|---|---|---|---|---|\n"
    return head + "".join(f"| {' | '.join(msgspec.structs.astuple(role))} |\n" for role in ROLES)
