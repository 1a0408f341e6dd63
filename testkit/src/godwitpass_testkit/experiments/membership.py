"""Measures membership: bytes, messages, detection, drains, a herd, processor time and memory."""

import argparse
import math
import statistics
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
import psutil

from godwitpass.events import EventKind
from godwitpass.ids import Address, RegionId, ServiceName, ZoneId
from godwitpass.internal.actions import Received, Send
from godwitpass.internal.membership import Membership
from godwitpass.internal.membership.events import MEMBER_DEAD, MEMBER_SUSPECTED
from godwitpass.internal.membership.messages import SumUpdate, hash_instance
from godwitpass.internal.membership.wire import decode_message, encode_message
from godwitpass.mesh import UpstreamState
from godwitpass_testkit.experiments.membership_mesh import (
    Mesh,
    Place,
    build_member_update,
    build_sum_updates,
    place,
)
from godwitpass_testkit.measurements import Param, Row, write_rows
from godwitpass_testkit.virtual import Link

WARM_UP_S = 30.0
OBSERVED_S = 60.0
STEP_S = 0.25
FAULT_LIMIT_S = 60.0
HERD_LIMIT_S = 180.0
FAULTS = 8
LOSS = 0.02
REGIONS = 9
APART_S = 180.0
CHURN_INTERVAL_S = 10.0
"""One daemon is killed and started again in each; the target has one in eleven minutes."""

TARGET_UPSTREAMS = 13_000
TARGET_SERVICES = 2_500
TARGET_REGION = 1_450
MIB = 1 << 20


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
        sum(queue.messages.values()),
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
    return sum(report.kind is kind for _, _, report in mesh.queue.reports)


def holds(node: Membership, where: Place) -> bool:
    """Tell whether `node` believes that the daemon at `where` lives."""
    return hash_instance(where.instance) in node._state.table.others


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


def measure_idle_and_churn(members: int) -> list[Row]:
    """Measure traffic without and with daemons that die and return."""
    mesh, _ = join(members, seed=1)

    def idle() -> None:
        mesh.queue.run(mesh.queue.now + OBSERVED_S)

    def churn() -> None:
        end = mesh.queue.now + OBSERVED_S
        number = 0
        while mesh.queue.now < end:
            mesh.kill(place(number, members).address)
            mesh.queue.run(mesh.queue.now + CHURN_INTERVAL_S)
            mesh.start(number)
            number += 1

    rows = measure_traffic("idle", mesh, members, idle)
    return rows + measure_traffic("churn, one restart in 10 s", mesh, members, churn)


def measure_faults(members: int) -> list[Row]:
    """Measure how soon all daemons know of a death and of a drain."""
    mesh, addresses = join(members, seed=2)
    dead: list[float] = []
    drained: list[float] = []
    for number in range(min(FAULTS, members // 4)):
        where = place(2 * number, members)
        mesh.kill(where.address)
        addresses.remove(where.address)
        dead += time_spread(mesh, addresses, lambda node, gone=where: holds(node, gone))  # type: ignore[misc]
        where = place(2 * number + 1, members)
        mesh.drain(where.address)
        drained += time_spread(
            mesh, addresses, lambda node, gone=where: holds_ready(node, gone)  # type: ignore[misc]
        )
    rows = summarize("death known", dead, members)
    return rows + summarize("drain known", drained, members)


def measure_loss(members: int) -> list[Row]:
    """Count suspicions and burials of living daemons while messages are lost."""
    mesh, _ = join(members, seed=3, link=Link(loss=LOSS))
    before = count_reports(mesh, MEMBER_SUSPECTED), count_reports(mesh, MEMBER_DEAD)
    mesh.queue.run(mesh.queue.now + OBSERVED_S)
    params: dict[str, Param] = {"members": members, "loss": LOSS, "seconds": OBSERVED_S}
    suspected = count_reports(mesh, MEMBER_SUSPECTED) - before[0]
    dead = count_reports(mesh, MEMBER_DEAD) - before[1]
    return [
        Row("false suspicions", params, suspected, "count"),
        Row("living daemons declared dead", params, dead, "count"),
    ]


def measure_herd(members: int) -> list[Row]:
    """Start all daemons at the same time with nothing but the empty store."""
    mesh = Mesh(4, members)
    mesh.start_many(range(members))

    def meet() -> None:
        while mesh.queue.now < HERD_LIMIT_S:
            mesh.queue.run(mesh.queue.now + 1)
            if all(len(node.members()) == members for node in mesh.nodes()):
                return

    rows = measure_traffic("herd", mesh, members, meet)
    params: dict[str, Param] = {"members": members}
    rows.append(Row("herd: all know all", params, mesh.queue.now, "s"))
    busiest = max(mesh.store.calls_by_second.values())
    rows.append(Row("herd: store calls in the busiest second", params, busiest, "1/s"))
    for call, count in sorted(mesh.store.calls.items()):
        rows.append(Row(f"herd: store {call.lower()} calls", params, count, "count"))
    return rows


def measure_lost_zone(members: int) -> list[Row]:
    """Kill every daemon of one availability zone."""
    mesh, addresses = join(members, seed=5)
    zone = mesh.places[addresses[1]].zone
    lost = [address for address in addresses if mesh.places[address].zone == zone]
    for address in lost:
        mesh.kill(address)
    left = members - len(lost)

    def find() -> None:
        while mesh.queue.now < WARM_UP_S + HERD_LIMIT_S:
            mesh.queue.run(mesh.queue.now + 1)
            if all(len(node.members()) == left for node in mesh.nodes()):
                return

    rows = measure_traffic("zone lost", mesh, left, find)
    params: dict[str, Param] = {"members": members, "lost": len(lost)}
    return [*rows, Row("zone lost: all known dead", params, mesh.queue.now - WARM_UP_S, "s")]


def measure_processor_time(members: int) -> list[Row]:
    """Time one daemon's decisions together with decoding and encoding."""
    mesh, addresses = join(members, seed=6)
    node, watched = mesh.node(addresses[0]), addresses[0]
    spent_ns, messages = 0, 0
    handle = node.handle

    def handle_timed(event: Any, now: float) -> list[Any]:
        nonlocal spent_ns, messages
        received = isinstance(event, Received)
        wire = encode_message(event.message) if received else b""
        start_ns = time.process_time_ns()
        if received:
            event = Received(event.sender, decode_message(wire))
        actions = handle(event, now)
        sent = [encode_message(action.message) for action in actions if isinstance(action, Send)]
        spent_ns += time.process_time_ns() - start_ns
        messages += received + len(sent)
        return actions

    node.handle = handle_timed  # type: ignore[method-assign]
    start = mesh.queue.now
    for number in range(1, 7):
        mesh.kill(place(number, members).address)
        mesh.queue.run(mesh.queue.now + CHURN_INTERVAL_S)
        mesh.start(number)
    assert mesh.queue.is_alive(watched)
    seconds = mesh.queue.now - start
    params: dict[str, Param] = {"members": members, "messages": messages}
    return [
        Row("processor time a message, sent or received", params, spent_ns / messages / 1e3, "us"),
        Row("share of a core, one restart in 10 s", params, spent_ns / 1e7 / seconds, "%"),
    ]


def measure_memory(full_detail: int) -> list[Row]:
    """Load the target's upstreams into one daemon, `full_detail` of them in its own region."""
    import godwitpass_daemon.main  # noqa: F401 - what a running daemon has imported

    process = psutil.Process()
    before = process.memory_info().rss
    mesh = Mesh(7, TARGET_UPSTREAMS)
    address = mesh.start(0)
    updates = (build_member_update(place_own(number)) for number in range(full_detail))
    sums = build_remote_sums(TARGET_UPSTREAMS - full_detail)
    mesh.introduce(address, map(_copy, updates), map(_copy, sums))
    node = mesh.node(address)
    services = [ServiceName(f"service-{number:04}") for number in range(TARGET_SERVICES)]
    held = sum(len(node.upstreams(service)) for service in services)
    listed = len(node.members())
    after = process.memory_info().rss
    params: dict[str, Param] = {"full_detail": full_detail, "upstreams": held, "members": listed}
    return [
        Row("resident memory with imports", params, before / MIB, "MiB"),
        Row("resident memory with all upstreams", params, after / MIB, "MiB"),
        Row("memory of membership", params, (after - before) / MIB, "MiB"),
    ]


def place_own(number: int) -> Place:
    """Return the place of a daemon in the first region, which has upstreams of all services."""
    service = ServiceName(f"service-{number % TARGET_SERVICES:04}")
    return Place(number, RegionId("region-0"), ZoneId(f"zone-{number % 3:02}"), service)


def place_remote(number: int) -> Place:
    """Return the place of a daemon in one of the eight other regions."""
    region = 1 + number % 8
    zone = ZoneId(f"zone-{region * 3 + number % 3:02}")
    service = ServiceName(f"service-{number % TARGET_SERVICES:04}")
    return Place(number + TARGET_REGION, RegionId(f"region-{region}"), zone, service)


def build_remote_sums(count: int) -> Iterable[SumUpdate]:
    """Yield the sums over `count` daemons in other regions, one at a time."""
    pairs = math.lcm(8, TARGET_SERVICES)
    for first in range(min(count, pairs)):
        places = (place_remote(number) for number in range(first, count, pairs))
        yield from build_sum_updates(places)


def _copy(update: Any) -> Any:
    """Return a copy with strings of its own, as it comes from the wire."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(update), type=type(update))


def measure_all(members: int) -> list[Row]:
    """Run all measurements under virtual time with `members` daemons in one region."""
    rows: list[Row] = []
    for measure in (
        measure_idle_and_churn,
        measure_faults,
        measure_loss,
        measure_lost_zone,
        measure_processor_time,
        measure_herd,
    ):
        for row in measure(members):
            rows.append(row)
            print(f"{row.name}: {row.value:.4g} {row.unit} {row.params}", flush=True)
    return rows


def measure_regions(members: int) -> list[Row]:
    """Run nine regions of `members` daemons, and let one lose the others for minutes."""
    mesh = Mesh(8, members)
    addresses = mesh.start_joined(REGIONS * members)
    mesh.queue.run(4 * WARM_UP_S)
    total = len(addresses)
    rows = measure_traffic(
        "nine regions, idle", mesh, total, lambda: mesh.queue.run(mesh.queue.now + OBSERVED_S)
    )
    drained = [addresses[index] for index in range(0, members, max(1, members // 5))]
    others = addresses[members:]
    times: list[float] = []
    for address in drained[:2]:
        mesh.drain(address)
        gone = mesh.places[address]
        times += time_spread(mesh, others, lambda node, gone=gone: holds_ready(node, gone))  # type: ignore[misc]
    rows += summarize("drain known in other regions", times, total)
    apart = set(addresses[:members])
    mesh.queue.blocked = lambda sender, to: (sender in apart) != (to in apart)
    mesh.queue.run(mesh.queue.now + APART_S)
    for address in drained[2:]:
        mesh.drain(address)
    mesh.queue.run(mesh.queue.now + OBSERVED_S)
    mesh.queue.blocked = lambda sender, to: False
    left = [mesh.places[address] for address in drained[2:]]

    def join_again() -> None:
        start = mesh.queue.now
        rejoined: list[float] = []
        for gone in left:
            rejoined += time_spread(
                mesh, others, lambda node, gone=gone: holds_ready(node, gone)  # type: ignore[misc]
            )
        assert max(rejoined) <= FAULT_LIMIT_S, "the regions have not joined again"
        known_after_s.append(mesh.queue.now - start)
        mesh.queue.run(start + OBSERVED_S)

    known_after_s: list[float] = []
    rows += measure_traffic("nine regions, one joins again", mesh, total, join_again)
    params: dict[str, Param] = {"members": total, "apart_s": APART_S, "changes": len(left)}
    return [*rows, Row("region joined again: all changes known", params, known_after_s[0], "s")]


def main() -> None:
    """Measure and write the rows as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    chosen = parser.add_mutually_exclusive_group(required=True)
    chosen.add_argument("--members", type=int, nargs="+", help="daemons in one region")
    chosen.add_argument("--regions", type=int, nargs="+", help="daemons in each of nine regions")
    chosen.add_argument("--full-detail", type=int, nargs=1, help="of 13,000 upstreams, for memory")
    parser.add_argument("--output", type=Path, required=True)
    options = parser.parse_args()
    if options.members:
        rows = [row for members in options.members for row in measure_all(members)]
    elif options.regions:
        rows = [row for members in options.regions for row in measure_regions(members)]
    else:
        rows = measure_memory(options.full_detail[0])
    write_rows(options.output, rows)


if __name__ == "__main__":
    main()
