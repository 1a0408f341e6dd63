"""A daemon that starts while it is cut off grants a tenant's whole rate limit again."""

import asyncio
import os
from bisect import bisect_left

from stand_ins_3.configuration import build_configuration, build_route, encode_request
from stand_ins_3.http import Message, exchange
from stand_ins_3.machines import Machine, choose_network, wait_until_ready
from stand_ins_3.proxy import Cut
from stand_ins_3.record import BROKEN, HELD, NOT_RUN, Run, run_case
from stand_ins_3.server import Server
from stand_ins_3.store import Store

BOUNDS = """revokeStrict = true
revoke = "5000ms"
quotaWindow = "5s"
quotaOverage = 0.1
quotaSlack = 20"""
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
RATE_PER_S, BURST = 40.0, 0.0
KEY = "k3y7f0a1"
REQUESTS_PER_S = 60.0
"""Requests of the one tenant at each of the three machines."""

CALM_S, CUT_S, AFTER_S = 8.0, 12.0, 3.0


async def check(run: Run) -> int:
    """Press a tenant's limit at three machines, one of which is added behind a cut."""
    record, network, cut = run.record, choose_network(), Cut()
    loop = asyncio.get_running_loop()
    store = Store()
    await store.start(f"{network}.9:7309")
    tenants = {"acme": {"apiKeys": [KEY], "priority": 1, "ratePerS": RATE_PER_S, "burst": BURST}}
    routes = {"read": build_route("/read/", "vault", "safe")}
    store.write("op/config", build_configuration(1, routes, tenants))
    sent_at: dict[str, float] = {}
    runs: list[tuple[float, float]] = []
    runs_by_server: dict[str, int] = {}

    def record_run(server: Server, request: Message) -> None:
        runs.append((sent_at[request.attempt_id], loop.time()))
        runs_by_server[server.name] = runs_by_server.get(server.name, 0) + 1
        record.add(f"server {server.name} runs {request.attempt_id}")

    for number in range(3):
        machine = Machine(run.folder, network, number, "vault", BOUNDS, cut=cut)
        run.machines.append(machine)
        machine.server.on_run = record_run
    *first, added = run.machines
    for machine in first:
        await machine.start()
    if not await wait_until_ready(first):
        return NOT_RUN
    await asyncio.sleep(3.0)

    async def send(machine: Machine, attempt_id: str) -> None:
        sent_at[attempt_id] = loop.time()
        data = encode_request(f"/read/{attempt_id}", attempt_id, key=KEY)
        response = await exchange(machine.outbound, data)
        status = response.status if response is not None else "no answer"
        record.add(f"client at {machine.name} gets {status} for {attempt_id}")

    async def press(machine: Machine) -> None:
        async with asyncio.TaskGroup() as tasks:
            number = 0
            while True:
                number += 1
                tasks.create_task(send(machine, f"{machine.name}-{number}"))
                await asyncio.sleep(1 / REQUESTS_PER_S)

    pressing = [asyncio.create_task(press(machine)) for machine in first]
    await asyncio.sleep(CALM_S)
    added_at = loop.time()
    if run.has_trouble:
        cut.hosts.add(added.ip)
    record.add(f"{added.name} is added" + (", cut off from the others" if cut.hosts else ""))
    await added.start()
    if not await wait_until_ready([added]):
        return NOT_RUN
    record.add(f"the daemon of {added.name} is ready, and clients use it")
    pressing.append(asyncio.create_task(press(added)))
    await asyncio.sleep(added_at + CUT_S - loop.time())
    cut.heal()
    record.add("the cut has healed")
    await asyncio.sleep(AFTER_S)
    for task in pressing:
        task.cancel()
    await asyncio.gather(*pressing, return_exceptions=True)

    bound = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
    most = find_most_runs(runs)
    record.add(f"runs by server: {runs_by_server}")
    record.add(f"most runs of the tenant in {WINDOW_S} s: {most}; the bound is {bound:.0f}")
    if most < RATE_PER_S * WINDOW_S / 2:
        return NOT_RUN
    return BROKEN if most > bound else HELD


def find_most_runs(runs: list[tuple[float, float]]) -> int:
    """Return the most runs whose sending and arrival both lie in one window."""
    starts = sorted({sent_at for sent_at, _ in runs})
    by_arrival = sorted(runs, key=lambda item: item[1])
    arrivals = [arrived_at for _, arrived_at in by_arrival]
    most = 0
    for start in starts:
        end = bisect_left(arrivals, start + WINDOW_S)
        begin = bisect_left(arrivals, start)
        most = max(most, sum(sent_at >= start for sent_at, _ in by_arrival[begin:end]))
    return most


if __name__ == "__main__":
    run_case(check, has_trouble=os.environ["TROUBLE"] != "0")
