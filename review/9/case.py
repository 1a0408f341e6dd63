"""A request that crashes its servers comes again after all daemons were killed at once."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

import fleet  # noqa: E402

CONTACT_S, MAX_RETRIES, CRASHES = 3.0, 3, 3
MACHINES = 6
SERVER_BACK_S = 3.0
POISON_INTERVAL_S = 3.5
FIRST_KILL_S, KILL_INTERVAL_S, KILLS = 14.0, 16.0, 2
DAEMON_BACK_S = 0.5
DURATION_S = FIRST_KILL_S + KILLS * KILL_INTERVAL_S
POISON_PATH = "/lookup/poison"
ROUTES: dict[str, object] = {
    "r-lookup": {
        "host": "status.example",
        "pathPrefix": "/lookup/",
        "type": "safe",
        "timeout": "1200ms",
        "targetLatency": "600ms",
        "priority": 1,
        "service": "desk",
        "maxAttempts": 2,
    }
}


class CrashingServer(fleet.Server):
    """A server that ends when it begins to run one request, and is back after some seconds."""

    crashed_at: list[float]
    restarts: set[asyncio.Task[None]]

    async def _handle(
        self,
        first: str,
        headers: fleet.Headers,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if POISON_PATH not in first:
            return await super()._handle(first, headers, reader, writer)
        request_id = headers["x-godwitpass-attempt-id"]
        self.record.write(f"server {self.name} begins {request_id} and crashes")
        self.crashed_at.append(time.monotonic())
        await self.crash()
        self.restarts.add(asyncio.create_task(self._restart()))
        return False

    async def _restart(self) -> None:
        await asyncio.sleep(SERVER_BACK_S)
        self.born_ms, self.sequence = 0, 0
        await self.start()
        self.is_down = False
        self.record.write(f"server {self.name} is back")


async def send_request(deployment: fleet.Fleet, machine: int, path: str, request_id: str) -> str:
    """Send one request on a new connection and return its outcome."""
    writer = None
    try:
        async with asyncio.timeout(3.0):
            reader, writer = await asyncio.open_connection(
                deployment.daemons[machine].ip, fleet.OUTBOUND
            )
            head = [
                f"GET {path} HTTP/1.1",
                "Host: status.example",
                f"X-Godwitpass-Attempt-Id: {request_id}",
                "X-Godwitpass-Timeout-Ms: 2500",
            ]
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
            answer = await fleet.read_head(reader)
            if answer is None:
                return "closed"
            await fleet.read_body(reader, answer[1])
            return answer[0].split(" ")[1]
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return repr(error)
    finally:
        if writer is not None:
            writer.close()


async def send_others(deployment: fleet.Fleet, outcomes: list[str]) -> None:
    """Send ordinary requests until cancelled."""
    number = 0
    while True:
        number += 1
        machine = number % MACHINES
        outcomes.append(
            await send_request(deployment, machine, f"/lookup/{number}", f"other-{number}")
        )
        await asyncio.sleep(0.05)


async def send_poison(deployment: fleet.Fleet) -> None:
    """Send the request that crashes servers to one machine after the other, until cancelled."""
    number = 0
    while True:
        machine, request_id = number % MACHINES, f"poison-{number}"
        deployment.record.write(f"client of machine {machine} sends {request_id}")
        outcome = await send_request(deployment, machine, POISON_PATH, request_id)
        deployment.record.write(f"client of machine {machine}, {request_id}: {outcome}")
        number += 1
        await asyncio.sleep(POISON_INTERVAL_S)


async def kill_all(deployment: fleet.Fleet) -> float:
    """Kill all daemons at the same moment; return when the last one was started again."""
    deployment.record.write("SIGKILL to all daemons")
    for daemon in deployment.daemons:
        daemon.signal(signal.SIGKILL)
    await asyncio.sleep(DAEMON_BACK_S)
    for daemon in deployment.daemons:
        assert daemon.process is not None, "the daemon was started"
        await daemon.process.wait()
        await daemon.start()
    deployment.record.write("all daemons are started again")
    return time.monotonic()


def count_retries(crashes: list[float], restarts: list[tuple[float, float]]) -> int:
    """Count the arrivals later than `contact` after the third crash, by machines in touch.

    Each entry of `restarts` holds when all daemons were killed and when all had started again.
    """
    if len(crashes) < CRASHES:
        return 0
    counted_from = crashes[CRASHES - 1] + CONTACT_S
    return sum(
        crashed_at > counted_from
        and not any(killed <= crashed_at < back + CONTACT_S for killed, back in restarts)
        for crashed_at in crashes
    )


async def check(record: fleet.Record, has_trouble: bool) -> int:
    """Run the case."""
    deployment = fleet.Fleet(record, server_type=CrashingServer)
    outcomes: list[str] = []
    restarts: list[tuple[float, float]] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start(["desk"] * MACHINES, fleet.build_configuration(7, ROUTES, ["desk"]))
        for server in deployment.servers:
            server.crashed_at, server.restarts = [], set()
        tasks = [
            asyncio.create_task(send_others(deployment, outcomes)),
            asyncio.create_task(send_poison(deployment)),
        ]
        started_at = time.monotonic()
        for number in range(KILLS):
            kill_at = started_at + FIRST_KILL_S + number * KILL_INTERVAL_S
            await asyncio.sleep(kill_at - time.monotonic())
            if has_trouble:
                killed_at = time.monotonic()
                restarts.append((killed_at, await kill_all(deployment)))
        await asyncio.sleep(started_at + DURATION_S - time.monotonic())
        crashes = sorted(at for server in deployment.servers for at in server.crashed_at)
        retries = count_retries(crashes, restarts)
        served = outcomes.count("200")
        record.write(f"{served} of {len(outcomes)} other requests were served")
        record.write(f"{len(crashes)} servers crashed; {retries} retries count, 3 are allowed")
        if len(crashes) < CRASHES or not served:
            return fleet.NOT_RUN
        return fleet.BROKEN if retries > MAX_RETRIES else fleet.HELD
    finally:
        for task in tasks:
            task.cancel()
        await deployment.stop()


if __name__ == "__main__":
    fleet.run_case(check, FOLDER / "record.txt")
