"""Measurements of traffic and of members' views that the membership experiments share."""

import statistics
from collections.abc import Callable, Iterable

import msgspec

from godwitpass.events import EventKind
from godwitpass.ids import Address
from godwitpass.internal.membership import Membership
from godwitpass.internal.membership.messages import hash_instance
from godwitpass.mesh import UpstreamState
from godwitpass_testkit.experiments.membership_mesh import (
    DaemonSpec,
    SimulatedMesh,
)
from godwitpass_testkit.measurements import Param, Row
from godwitpass_testkit.virtual import Link

WARM_UP_S = 30.0
STEP_S = 0.25
PROPAGATION_LIMIT_S = 60.0


class Traffic(msgspec.Struct, frozen=True):
    """Totals of bytes sent and received and of messages sent, over all daemons."""

    sent_bytes: int
    received_bytes: int
    messages: int


def read_traffic(mesh: SimulatedMesh) -> Traffic:
    """Return the totals of `mesh` until now."""
    queue = mesh.queue
    return Traffic(
        sum(queue.sent_bytes.values()),
        sum(queue.received_bytes.values()),
        sum(queue.message_counts.values()),
    )


def measure_traffic(
    name: str, mesh: SimulatedMesh, members: int, run: Callable[[], None]
) -> list[Row]:
    """Return bytes and messages per second and daemon during `run`."""
    before, start = read_traffic(mesh), mesh.queue.now
    run()
    after, duration_s = read_traffic(mesh), mesh.queue.now - start
    per_daemon_second = 1 / (duration_s * members)
    params: dict[str, Param] = {"members": members, "seconds": duration_s}
    return [
        Row(
            f"{name} sent",
            params,
            (after.sent_bytes - before.sent_bytes) * per_daemon_second,
            "B/s",
        ),
        Row(
            f"{name} received",
            params,
            (after.received_bytes - before.received_bytes) * per_daemon_second,
            "B/s",
        ),
        Row(
            f"{name} messages sent",
            params,
            (after.messages - before.messages) * per_daemon_second,
            "1/s",
        ),
    ]


def count_events(mesh: SimulatedMesh, kind: EventKind) -> int:
    """Return how many events of `kind` all daemons recorded."""
    return sum(event.kind is kind for _, _, event in mesh.queue.recorded_events)


def is_known_alive(node: Membership, spec: DaemonSpec) -> bool:
    """Tell whether `node` considers the daemon of `spec` alive."""
    return hash_instance(spec.instance) in node._state.table.live_peers


def is_known_ready(node: Membership, spec: DaemonSpec) -> bool:
    """Tell whether `node` lists the upstream of `spec` as ready for calls."""
    return any(
        upstream.instance == spec.instance and upstream.state is UpstreamState.READY
        for upstream in node.upstreams(spec.service)
    )


def measure_propagation(
    mesh: SimulatedMesh, viewers: Iterable[Address], has_old_view: Callable[[Membership], bool]
) -> list[float]:
    """Return the seconds until `has_old_view` is false at each viewer; infinite past the limit."""
    start = mesh.queue.now
    outdated = list(viewers)
    times_s: list[float] = []
    while outdated and mesh.queue.now < start + PROPAGATION_LIMIT_S:
        mesh.queue.run(mesh.queue.now + STEP_S)
        still_outdated = [address for address in outdated if has_old_view(mesh.find_node(address))]
        times_s += [mesh.queue.now - start] * (len(outdated) - len(still_outdated))
        outdated = still_outdated
    return times_s + [float("inf")] * len(outdated)


def summarize_times(name: str, times_s: list[float], members: int) -> list[Row]:
    """Return rows with the median, the 99th percentile and the maximum of `times_s`."""
    percentiles = statistics.quantiles(times_s, n=100, method="inclusive")
    params: dict[str, Param] = {"members": members, "samples": len(times_s)}
    return [
        Row(f"{name} p50", params, percentiles[49], "s"),
        Row(f"{name} p99", params, percentiles[98], "s"),
        Row(f"{name} max", params, max(times_s), "s"),
    ]


def start_region(
    members: int, seed: int, link: Link | None = None
) -> tuple[SimulatedMesh, list[Address]]:
    """Start a region of daemons that know each other and run it through the warm-up."""
    mesh = SimulatedMesh(seed, members, link)
    addresses = mesh.start_converged(members)
    mesh.queue.run(WARM_UP_S)
    return mesh, addresses
