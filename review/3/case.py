"""A daemon takes a server of another service, which has got the address, for one of its own."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.deployment import Deployment, build_route, run_case
from stand_ins.http import split_address
from stand_ins.server import Server

FOLDER = Path(__file__).resolve().parent
DESK, VAULT = "huvo11a", "kafi81c"
REUSE_AFTER_S = 2.0
KILLED_AFTER_S = 1.8
RESTART_DELAY_S = 0.2
WATCHED_S = 4.0
AT_ONCE = 4
ROUTES = {"r-read": build_route("/lepu270/", VAULT)}


async def is_listening(address: str) -> bool:
    """Tell whether a process accepts connections at an address."""
    try:
        _, writer = await asyncio.open_connection(*split_address(address))
    except OSError:
        return False
    writer.transport.abort()
    return True


async def play(deployment: Deployment) -> str:
    """Give a server's address to another service just after all daemons were killed."""
    record, (front, reused, _) = deployment.record, deployment.machines
    former = deployment.servers[1]

    async def is_served() -> bool:
        return (await deployment.call(front, "/lepu270/warm"))[1] == 200

    await deployment.wait_for(is_served, "the route is served")
    former.stop()
    record.write(f"server {former.name} ({VAULT}) crashes for good")
    await asyncio.sleep(KILLED_AFTER_S)
    if deployment.has_trouble:
        for machine in deployment.machines:
            machine.kill()
        record.write("all daemons are killed")
        await asyncio.sleep(RESTART_DELAY_S)
        for machine in deployment.machines:
            machine.start()
        # The daemon has read the settings once it listens.
        await deployment.wait_for(lambda: is_listening(reused.control), "the daemon listens", 0.01)
    else:
        await asyncio.sleep(REUSE_AFTER_S - KILLED_AFTER_S)
    reused.service = DESK
    reused.write_settings()
    record.write(f"the settings file of {reused.name} says {DESK} now; no signal is sent")
    successor = Server(record, "i-9", DESK, reused.app, reused.control)
    deployment.servers.append(successor)
    await successor.start()
    record.write(f"server {successor.name} ({DESK}) starts at the address of {former.name}")
    loop = asyncio.get_running_loop()
    end = loop.time() + WATCHED_S
    number = 0
    while loop.time() < end:
        number += 1
        calls = (deployment.call(front, f"/lepu270/{number}/{part}") for part in range(AT_ONCE))
        await asyncio.gather(*calls)
        await asyncio.sleep(0.02)
    foreign = [
        request.start_line
        for _, _, request in successor.runs
        if request.start_line.split()[1].startswith("/lepu270/")
    ]
    if foreign:
        return (
            f"{successor.name} of {DESK} ran {len(foreign)} requests of a route that every version"
            f" sends to {VAULT} alone, the first: {foreign[0]}"
        )
    return ""


if __name__ == "__main__":
    run_case(FOLDER, (DESK, VAULT, VAULT), ROUTES, play, has_seeds=False)
