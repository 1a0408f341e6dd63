"""A late heartbeat makes a restarted daemon use a server again whose leaving was acknowledged."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.deployment import CONTACT_S, CaseError, Deployment, build_route, run_case
from stand_ins.http import exchange

FOLDER = Path(__file__).resolve().parent
DESK, VAULT = "huvo11a", "kafi81c"
DRAIN_S = 2.0
RESTART_DELAY_S = 0.3
HEARTBEAT_DELAY_S = 1.0
SLOTS = 4
LONG_WORK_S, SHORT_WORK_S = 2.5, 0.05
ROUNDS, AT_ONCE = 20, 6
ROUTES = {"r-read": build_route("/lepu270/", VAULT, timeout="4000ms")}


async def play(deployment: Deployment) -> str:
    """Restart the daemon beside a busy server that leaves; then a ready heartbeat arrives late."""
    record, (front, leaving_machine, _) = deployment.record, deployment.machines
    leaving = deployment.servers[1]

    async def is_leaving_used() -> bool:
        await deployment.call(front, "/lepu270/warm")
        return bool(leaving.runs)

    await deployment.wait_for(is_leaving_used, "both servers are used")
    leaving.work_s = deployment.servers[2].work_s = LONG_WORK_S
    busy = [
        asyncio.create_task(deployment.call(front, f"/lepu270/long/{number}", timeout_ms=4000))
        for number in range(3 * SLOTS)
    ]
    await asyncio.sleep(0.3)
    late_heartbeat = leaving.build_heartbeat()
    record.write(f"server {leaving.name} sends a ready heartbeat, which is held up on the way")
    status = await leaving.deregister()
    acknowledged_at = time.monotonic()
    record.write(f"server {leaving.name} says that it is gone; the daemon answers {status}")
    if status != 200:
        raise CaseError("the leaving was not acknowledged")
    if deployment.has_trouble:
        leaving_machine.kill()
        record.write(f"daemon {leaving_machine.name} is killed")
        await asyncio.sleep(RESTART_DELAY_S)
        leaving_machine.start()
        await leaving_machine.wait_until_ready()
    await asyncio.sleep(HEARTBEAT_DELAY_S)
    response = await exchange(leaving_machine.control, late_heartbeat)
    status = response.status if response is not None else 0
    record.write(f"the ready heartbeat arrives late; answered {status}")
    await asyncio.gather(*busy)
    leaving.work_s = deployment.servers[2].work_s = SHORT_WORK_S
    # From here on, all machines are in touch again.
    await asyncio.sleep(CONTACT_S)
    sent: set[str] = set()
    for number in range(ROUNDS):
        # More than one server's slots at a time, so that none is left out.
        calls = (deployment.call(front, f"/lepu270/{number}/{part}") for part in range(AT_ONCE))
        sent.update(request_id for request_id, _ in await asyncio.gather(*calls))
    late = [
        at - acknowledged_at
        for at, request_id in leaving.arrivals
        if request_id in sent and at > acknowledged_at + DRAIN_S
    ]
    if late:
        return (
            f"{len(late)} requests reached {leaving.name}, the last one {late[-1]:.1f} s after"
            f" its leaving was acknowledged; the bound is {DRAIN_S} s"
        )
    return ""


if __name__ == "__main__":
    run_case(FOLDER, (DESK, VAULT, VAULT), ROUTES, play, slots=SLOTS)
