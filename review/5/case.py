"""A late heartbeat of the server that had the address before changes the caller service."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.deployment import Deployment, build_route, run_case
from stand_ins.http import exchange
from stand_ins.server import Server

FOLDER = Path(__file__).resolve().parent
DESK, VAULT = "huvo11a", "kafi81c"
REUSE_AFTER_S = 2.0
CALLS = 12
CALL_INTERVAL_S = 0.1


async def play(deployment: Deployment) -> str:
    """Let a machine's address go from the service `DESK` to `VAULT`, then restart its daemon."""
    record, (front, _) = deployment.record, deployment.machines
    former, successor_name = deployment.servers[0], "i-9"

    async def is_served() -> bool:
        return (await deployment.call(front, "/lepu270/warm"))[1] == 200

    await deployment.wait_for(is_served, "the route is served")
    late_heartbeat = former.build_heartbeat()
    former.stop()
    record.write(f"server {former.name} ({DESK}) crashes; its last heartbeat is held up on the way")
    await asyncio.sleep(REUSE_AFTER_S)
    front.service = VAULT
    front.write_settings()
    successor = Server(record, successor_name, VAULT, front.app, front.control)
    deployment.servers.append(successor)
    await successor.start()
    record.write(f"server {successor_name} ({VAULT}) starts at its address; the settings say so")
    await asyncio.sleep(2.5)
    await deployment.wait_for(is_served, "the route is served after the change")
    # The platform restarts the daemon at a random moment between two heartbeats of the server.
    await successor.wait_for_heartbeat()
    if deployment.has_trouble:
        front.kill()
        record.write(f"daemon {front.name} is killed")
        front.start()
        await front.wait_until_ready()
        await asyncio.sleep(0.3)
    response = await exchange(front.control, late_heartbeat)
    status = response.status if response is not None else 0
    record.write(f"late heartbeat of {former.name} ({DESK}) arrives; answered {status}")
    first_run = {server.name: len(server.runs) for server in deployment.servers}
    for number in range(CALLS):
        await deployment.call(front, f"/lepu270/{number}")
        await asyncio.sleep(CALL_INTERVAL_S)
    wrong = [
        request.headers.get("x-godwitpass-caller-service")
        for server in deployment.servers
        for _, _, request in server.runs[first_run[server.name] :]
        if request.headers.get("x-godwitpass-caller-service") != VAULT
    ]
    if wrong:
        return f"{len(wrong)} of {CALLS} requests ran with caller service {wrong[0]!r}, not {VAULT}"
    return ""


if __name__ == "__main__":
    run_case(FOLDER, (DESK, VAULT), {"r-read": build_route("/lepu270/", VAULT)}, play)
