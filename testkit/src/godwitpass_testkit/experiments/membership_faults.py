"""Measures membership in one region: traffic, faults, mass starts and CPU time."""

import time
from typing import Any

from godwitpass.internal.actions import MessageReceived, Send
from godwitpass.internal.membership.events import MEMBER_DEAD, MEMBER_SUSPECTED
from godwitpass.internal.membership.wire import decode_message, encode_message
from godwitpass_testkit.experiments.membership_mesh import (
    SimulatedMesh,
    build_spec,
)
from godwitpass_testkit.experiments.membership_observation import (
    WARM_UP_S,
    count_events,
    is_known_alive,
    is_known_ready,
    measure_propagation,
    measure_traffic,
    start_region,
    summarize_times,
)
from godwitpass_testkit.measurements import Param, Row
from godwitpass_testkit.virtual import Link

OBSERVATION_S = 60.0
MASS_EVENT_LIMIT_S = 180.0
MAX_FAULTS = 8
LOSS_RATE = 0.02
CHURN_INTERVAL_S = 10.0
"""Time between two restarts of a daemon; at the target size there is one in eleven minutes."""


def measure_idle_and_churn(members: int) -> list[Row]:
    """Measure traffic without faults, and while daemons are killed and restarted in turn."""
    mesh, _ = start_region(members, seed=1)

    def run_idle() -> None:
        mesh.queue.run(mesh.queue.now + OBSERVATION_S)

    def run_with_churn() -> None:
        end_s = mesh.queue.now + OBSERVATION_S
        number = 0
        while mesh.queue.now < end_s:
            mesh.kill(build_spec(number, members).address)
            mesh.queue.run(mesh.queue.now + CHURN_INTERVAL_S)
            mesh.start(number)
            number += 1

    rows = measure_traffic("idle", mesh, members, run_idle)
    return rows + measure_traffic("churn, one restart in 10 s", mesh, members, run_with_churn)


def measure_faults(members: int) -> list[Row]:
    """Measure how long all daemons take to learn of a death and of a drain."""
    mesh, addresses = start_region(members, seed=2)
    death_times_s: list[float] = []
    drain_times_s: list[float] = []
    for number in range(min(MAX_FAULTS, members // 4)):
        spec = build_spec(2 * number, members)
        mesh.kill(spec.address)
        addresses.remove(spec.address)
        death_times_s += measure_propagation(
            mesh, addresses, lambda node, target=spec: is_known_alive(node, target)  # type: ignore[misc]
        )
        spec = build_spec(2 * number + 1, members)
        mesh.drain(spec.address)
        drain_times_s += measure_propagation(
            mesh, addresses, lambda node, target=spec: is_known_ready(node, target)  # type: ignore[misc]
        )
    rows = summarize_times("death known", death_times_s, members)
    return rows + summarize_times("drain known", drain_times_s, members)


def measure_loss(members: int) -> list[Row]:
    """Count living daemons that are suspected or declared dead while messages are lost."""
    mesh, _ = start_region(members, seed=3, link=Link(loss=LOSS_RATE))
    before = count_events(mesh, MEMBER_SUSPECTED), count_events(mesh, MEMBER_DEAD)
    mesh.queue.run(mesh.queue.now + OBSERVATION_S)
    params: dict[str, Param] = {"members": members, "loss": LOSS_RATE, "seconds": OBSERVATION_S}
    suspected = count_events(mesh, MEMBER_SUSPECTED) - before[0]
    dead = count_events(mesh, MEMBER_DEAD) - before[1]
    return [
        Row("false suspicions", params, suspected, "count"),
        Row("living daemons declared dead", params, dead, "count"),
    ]


def measure_herd(members: int) -> list[Row]:
    """Start all daemons at the same time with an empty store and measure until all are known."""
    mesh = SimulatedMesh(4, members)
    mesh.start_many(range(members))

    def run_until_all_known() -> None:
        while mesh.queue.now < MASS_EVENT_LIMIT_S:
            mesh.queue.run(mesh.queue.now + 1)
            if all(len(node.members()) == members for node in mesh.list_nodes()):
                return

    rows = measure_traffic("herd", mesh, members, run_until_all_known)
    params: dict[str, Param] = {"members": members}
    rows.append(Row("herd: all know all", params, mesh.queue.now, "s"))
    max_calls_per_s = max(mesh.store.call_counts_by_second.values())
    rows.append(Row("herd: store calls in the busiest second", params, max_calls_per_s, "1/s"))
    for call, count in sorted(mesh.store.calls.items()):
        rows.append(Row(f"herd: store {call.lower()} calls", params, count, "count"))
    return rows


def measure_zone_loss(members: int) -> list[Row]:
    """Kill all daemons of one availability zone and measure until all survivors know."""
    mesh, addresses = start_region(members, seed=5)
    zone = mesh.specs[addresses[1]].zone
    killed = [address for address in addresses if mesh.specs[address].zone == zone]
    for address in killed:
        mesh.kill(address)
    survivor_count = members - len(killed)

    def run_until_detected() -> None:
        while mesh.queue.now < WARM_UP_S + MASS_EVENT_LIMIT_S:
            mesh.queue.run(mesh.queue.now + 1)
            if all(len(node.members()) == survivor_count for node in mesh.list_nodes()):
                return

    rows = measure_traffic("zone lost", mesh, survivor_count, run_until_detected)
    params: dict[str, Param] = {"members": members, "lost": len(killed)}
    return [*rows, Row("zone lost: all known dead", params, mesh.queue.now - WARM_UP_S, "s")]


def measure_cpu_time(members: int) -> list[Row]:
    """Measure the CPU time of one daemon's decisions, with decoding and encoding of messages."""
    mesh, addresses = start_region(members, seed=6)
    node, measured_address = mesh.find_node(addresses[0]), addresses[0]
    spent_ns, messages = 0, 0
    handle = node.handle

    def handle_timed(event: Any, now: float) -> list[Any]:
        nonlocal spent_ns, messages
        is_received = isinstance(event, MessageReceived)
        encoded = encode_message(event.message) if is_received else b""
        start_ns = time.process_time_ns()
        if is_received:
            event = MessageReceived(event.sender, decode_message(encoded))
        actions = handle(event, now)
        sent = [encode_message(action.message) for action in actions if isinstance(action, Send)]
        spent_ns += time.process_time_ns() - start_ns
        messages += is_received + len(sent)
        return actions

    node.handle = handle_timed  # type: ignore[method-assign]
    start = mesh.queue.now
    for number in range(1, 7):
        mesh.kill(build_spec(number, members).address)
        mesh.queue.run(mesh.queue.now + CHURN_INTERVAL_S)
        mesh.start(number)
    assert mesh.queue.is_alive(measured_address)
    duration_s = mesh.queue.now - start
    params: dict[str, Param] = {"members": members, "messages": messages}
    return [
        Row("processor time a message, sent or received", params, spent_ns / messages / 1e3, "us"),
        Row("share of a core, one restart in 10 s", params, spent_ns / 1e7 / duration_s, "%"),
    ]
