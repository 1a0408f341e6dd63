"""What the measurements of membership have in common: traffic, and who believes what."""

import statistics
from collections.abc import Callable, Iterable

import msgspec

from godwitpass.events import EventKind
from godwitpass.ids import Address
from godwitpass.internal.membership import Membership
from godwitpass.internal.membership.messages import hash_instance
from godwitpass.mesh import UpstreamState
from godwitpass_testkit.experiments.membership_mesh import (
    Mesh,
    Place,
)
from godwitpass_testkit.measurements import Param, Row
from godwitpass_testkit.virtual import Link

WARM_UP_S = 30.0
STEP_S = 0.25
FAULT_LIMIT_S = 60.0


class Traffic(msgspec.Struct, frozen=True):
    """Bytes sent and received and messages sent until now, over all daemons."""

    sent_bytes: int
    received_bytes: int
    messages: int


def read_traffic(mesh: Mesh) -> Traffic:
    """Read the counters of `mesh`."""
    queue = mesh.queue
    return Traffic(
        sum(queue.sent_bytes.values()),
        sum(queue.received_bytes.values()),
        sum(queue.message_counts.values()),
    )


def measure_traffic(name: str, mesh: Mesh, members: int, run: Callable[[], None]) -> list[Row]:
    """Return bytes and messages a second of the mean daemon during `run`."""
    before, start = read_traffic(mesh), mesh.queue.now
    run()
    after, seconds = read_traffic(mesh), mesh.queue.now - start
    share = 1 / (seconds * members)
    params: dict[str, Param] = {"members": members, "seconds": seconds}
    return [
        Row(f"{name} sent", params, (after.sent_bytes - before.sent_bytes) * share, "B/s"),
        Row(
            f"{name} received",
            params,
            (after.received_bytes - before.received_bytes) * share,
            "B/s",
        ),
        Row(f"{name} messages sent", params, (after.messages - before.messages) * share, "1/s"),
    ]


def count_reports(mesh: Mesh, kind: EventKind) -> int:
    """Return how many events of `kind` all daemons reported."""
    return sum(report.kind is kind for _, _, report in mesh.queue.recorded_events)


def holds(node: Membership, where: Place) -> bool:
    """Tell whether `node` believes that the daemon at `where` lives."""
    return hash_instance(where.instance) in node._state.table.live_peers


def holds_ready(node: Membership, where: Place) -> bool:
    """Tell whether `node` would send calls to the upstream at `where`."""
    return any(
        upstream.instance == where.instance and upstream.state is UpstreamState.READY
        for upstream in node.upstreams(where.service)
    )


def time_spread(
    mesh: Mesh, viewers: Iterable[Address], believes: Callable[[Membership], bool]
) -> list[float]:
    """Return after how many seconds each viewer no longer `believes`."""
    start = mesh.queue.now
    waiting = list(viewers)
    times: list[float] = []
    while waiting and mesh.queue.now < start + FAULT_LIMIT_S:
        mesh.queue.run(mesh.queue.now + STEP_S)
        still = [address for address in waiting if believes(mesh.node(address))]
        times += [mesh.queue.now - start] * (len(waiting) - len(still))
        waiting = still
    return times + [float("inf")] * len(waiting)


def summarize(name: str, times: list[float], members: int) -> list[Row]:
    """Return the median, the 99th percentile and the maximum of `times`."""
    percentiles = statistics.quantiles(times, n=100, method="inclusive")
    params: dict[str, Param] = {"members": members, "samples": len(times)}
    return [
        Row(f"{name} p50", params, percentiles[49], "s"),
        Row(f"{name} p99", params, percentiles[98], "s"),
        Row(f"{name} max", params, max(times), "s"),
    ]


def join(members: int, seed: int, link: Link | None = None) -> tuple[Mesh, list[Address]]:
    """Return a region of daemons that know one another and have been running for a while."""
    mesh = Mesh(seed, members, link)
    addresses = mesh.start_joined(members)
    mesh.queue.run(WARM_UP_S)
    return mesh, addresses
