"""Measures membership in one region: traffic, faults, herds and processor time."""

import time
from typing import Any

from godwitpass.internal.actions import MessageReceived, Send
from godwitpass.internal.membership.events import MEMBER_DEAD, MEMBER_SUSPECTED
from godwitpass.internal.membership.wire import decode_message, encode_message
from godwitpass_testkit.experiments.membership_mesh import (
    Mesh,
    place,
)
from godwitpass_testkit.experiments.membership_observation import (
    WARM_UP_S,
    count_reports,
    holds,
    holds_ready,
    join,
    measure_traffic,
    summarize,
    time_spread,
)
from godwitpass_testkit.measurements import Param, Row
from godwitpass_testkit.virtual import Link

OBSERVED_S = 60.0
HERD_LIMIT_S = 180.0
FAULTS = 8
LOSS = 0.02
CHURN_INTERVAL_S = 10.0
"""One daemon is killed and started again in each; the target has one in eleven minutes."""


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
    busiest = max(mesh.store.call_counts_by_second.values())
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
        received = isinstance(event, MessageReceived)
        wire = encode_message(event.message) if received else b""
        start_ns = time.process_time_ns()
        if received:
            event = MessageReceived(event.sender, decode_message(wire))
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
