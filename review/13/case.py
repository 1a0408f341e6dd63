"""A daemon that starts while it is cut off completes a roll-out that another one controls."""

import asyncio
import os

from stand_ins_3.configuration import build_configuration, build_route, encode_request
from stand_ins_3.http import Message, exchange
from stand_ins_3.machines import Machine, choose_network, wait_until_ready
from stand_ins_3.proxy import Cut
from stand_ins_3.record import BROKEN, HELD, NOT_RUN, Run, run_case
from stand_ins_3.server import Server
from stand_ins_3.store import Store

EXPOSE_SHARE, EXPOSE_SLACK = 0.1, 50
BOUNDS = f"""exposeShare = {EXPOSE_SHARE}
exposeSlack = {EXPOSE_SLACK}
rollback = "5000ms\""""
REQUESTS_PER_S = 100.0
DURATION_S = 12.0
ANSWERS_FOR_ONE_FAILURE = 14
"""One in so many answers of the new version is a failure."""

START_BEFORE_ORDER_S, CUT_S = 1.0, 12.0
CALM_S, AFTER_S = 4.0, 16.0
ROLLBACK_S, COUNTED_BAD_ANSWERS = 5.0, 50


async def check(run: Run) -> int:
    """Order a roll-out while a machine with a new server starts behind a cut."""
    record, network, cut = run.record, choose_network(), Cut()
    loop = asyncio.get_running_loop()
    store = Store()
    await store.start(f"{network}.9:7309")
    routes = {"read": build_route("/read/", "vault", "safe")}
    store.write("op/config", build_configuration(1, routes))
    ordered_at: list[float] = []
    sent_at: dict[str, float] = {}
    runs: list[tuple[float, float, str]] = []
    bad_answers: list[float] = []
    answers = 0

    def record_run(server: Server, request: Message) -> None:
        runs.append((sent_at[request.attempt_id], loop.time(), server.version))
        record.add(f"server {server.name} of {server.version} runs {request.attempt_id}")

    def choose_status(request: Message) -> int:
        """Fail a portion of the requests."""
        nonlocal answers
        answers += 1
        if answers % ANSWERS_FOR_ONE_FAILURE:
            return 200
        bad_answers.append(loop.time())
        return 500

    versions = ("v1", "v1", "v1", "v2", "v2")
    for number, version in enumerate(versions):
        service = "vault" if number else "desk"
        machine = Machine(run.folder, network, number, service, BOUNDS, version, cut)
        run.machines.append(machine)
        machine.server.on_run = record_run
        if version == "v2":
            machine.server.choose_status = choose_status
    front, old, target, lone = (
        run.machines[0],
        run.machines[1:3],
        run.machines[3],
        run.machines[4],
    )
    for machine in (front, *old, target):
        await machine.start()
    if not await wait_until_ready([front, *old, target]):
        return NOT_RUN
    await asyncio.sleep(CALM_S)

    async def send(number: int) -> None:
        sent_at[str(number)] = loop.time()
        data = encode_request(f"/read/{number}", str(number))
        response = await exchange(front.outbound, data)
        status = response.status if response is not None else "no answer"
        record.add(f"client at {front.name} gets {status} for {number}")

    async def press() -> None:
        async with asyncio.TaskGroup() as tasks:
            number = 0
            while True:
                number += 1
                tasks.create_task(send(number))
                await asyncio.sleep(1 / REQUESTS_PER_S)

    async def follow_rollout() -> None:
        """Stop the old servers on `completed`, as the platform does."""
        last = None
        while True:
            state = store.read("status/rollout/vault")
            if state != last:
                last = state
                record.add(f"status/rollout/vault is {state}")
                if state is not None and state["phase"] == "completed":
                    for machine in old:
                        machine.server.stop()
                    record.add("the platform has stopped the old servers")
            await store.wait_for_change(1.0)

    following = asyncio.create_task(follow_rollout())
    pressing = asyncio.create_task(press())
    await asyncio.sleep(2.0)
    cut_at = loop.time()
    if run.has_trouble:
        cut.hosts.add(lone.ip)
        record.add(f"{lone.name} starts, cut off from the other machines")
    await lone.start()
    await asyncio.sleep(START_BEFORE_ORDER_S)
    ordered_at.append(loop.time())
    record.add("the operator orders the roll-out of v2")
    order = {"service": "vault", "targetVersion": "v2", "duration": f"{DURATION_S:.0f}s"}
    store.write("op/rollout/vault", order)
    await asyncio.sleep(cut_at + CUT_S - loop.time())
    cut.heal()
    record.add("the cut has healed")
    await asyncio.sleep(ordered_at[0] + DURATION_S + AFTER_S - loop.time())
    pressing.cancel()
    following.cancel()
    await asyncio.gather(pressing, following, return_exceptions=True)

    until = ordered_at[0] + DURATION_S
    counted = [version for _, at, version in runs if ordered_at[0] <= at <= until]
    exposed = counted.count("v2")
    bound = EXPOSE_SHARE * len(counted) + EXPOSE_SLACK
    record.add(f"requests between order and deadline: {len(counted)}")
    record.add(f"of them {exposed} at the bad version; the bound is {bound:.0f}")
    late = 0
    if len(bad_answers) >= COUNTED_BAD_ANSWERS:
        rolled_back_by = bad_answers[COUNTED_BAD_ANSWERS - 1] + ROLLBACK_S
        late = sum(sent > rolled_back_by and version == "v2" for sent, _, version in runs)
    record.add(
        f"bad answers: {len(bad_answers)}; requests that came too late after the 50th: {late}"
    )
    if len(runs) < REQUESTS_PER_S * DURATION_S / 2:
        return NOT_RUN
    return BROKEN if exposed > bound or late else HELD


if __name__ == "__main__":
    run_case(check, has_trouble=os.environ["TROUBLE"] != "0")
