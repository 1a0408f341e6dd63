"""Uploads whose bodies take some seconds, while the daemons are stopped and started in turn."""

import asyncio
import random
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

import fleet  # noqa: E402

GRACE_S, TIMEOUT_S, LOSS_SLACK_S = 6.0, 4.0, 0.2
CLIENTS_PER_MACHINE = 6
BODY_BYTES, BODY_PARTS = 120_000, 40
MIN_SENDING_S, MAX_SENDING_S = 1.0, 3.4
STOPS = 8
ROUTES: dict[str, object] = {
    "r-upload": {
        "host": "grants.example",
        "pathPrefix": "/budget/",
        "type": "upload",
        "timeout": "4000ms",
        "targetLatency": "600ms",
        "priority": 1,
        "service": "vault",
        "maxAttempts": 2,
    }
}


@dataclass
class Upload:
    """One request, as its client sees it."""

    request_id: str
    machine: int
    sent_at: float
    sent_whole_at: float | None = None
    ended_at: float = 0.0
    outcome: str = ""


class Platform:
    """Probes the daemons, and tells which machines receive new work."""

    def __init__(self, deployment: fleet.Fleet) -> None:
        self._deployment = deployment
        self.misses = [0] * len(deployment.daemons)

    async def probe(self, machine: int) -> None:
        """Probe one daemon each second until cancelled."""
        address = f"{self._deployment.daemons[machine].ip}:{fleet.READINESS}"
        while True:
            status = await fleet.send(address, "GET", "/godwitpass/readyz")
            self.misses[machine] = 0 if status == 200 else self.misses[machine] + 1
            await asyncio.sleep(1.0)


async def send_upload(
    deployment: fleet.Fleet, machine: int, request_id: str, rng: random.Random
) -> Upload:
    """Send one upload at an even pace and read its response."""
    record = deployment.record
    upload = Upload(request_id, machine, time.monotonic())
    sending_s = rng.uniform(MIN_SENDING_S, MAX_SENDING_S)
    writer = None
    try:
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                deployment.daemons[machine].ip, fleet.OUTBOUND
            )
            head = [
                f"POST /budget/{request_id} HTTP/1.1",
                "Host: grants.example",
                f"X-Godwitpass-Attempt-Id: {request_id}",
                f"X-Godwitpass-Timeout-Ms: {int(TIMEOUT_S * 1000)}",
                f"Content-Length: {BODY_BYTES}",
            ]
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
            for part in range(1, BODY_PARTS + 1):
                due_at = upload.sent_at + sending_s * part / BODY_PARTS
                await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                writer.write(b"x" * (BODY_BYTES // BODY_PARTS))
                await writer.drain()
            upload.sent_whole_at = time.monotonic()
            record.write(f"client of machine {machine} has sent {request_id} whole")
            answer = await fleet.read_head(reader)
            if answer is None:
                upload.outcome = "closed without an answer"
            else:
                await fleet.read_body(reader, answer[1])
                sealed = "x-godwitpass-response-seal" in answer[1]
                upload.outcome = f"{answer[0].split(' ')[1]}{' of the server' if sealed else ''}"
    except (OSError, asyncio.IncompleteReadError) as error:
        upload.outcome = f"lost: {error!r}"
    except TimeoutError:
        upload.outcome = "deadline"
    finally:
        upload.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
    record.write(f"client of machine {machine}, {request_id}: {upload.outcome}")
    return upload


async def send_uploads(
    deployment: fleet.Fleet, platform: Platform, machine: int, client: int, uploads: list[Upload]
) -> None:
    """Send one upload after the other while the machine receives work; run until cancelled."""
    rng = random.Random(f"{machine} {client}")
    await asyncio.sleep(rng.uniform(0.0, MAX_SENDING_S))
    number = 0
    while True:
        if platform.misses[machine] >= 2:
            await asyncio.sleep(0.1)
            continue
        number += 1
        uploads.append(
            await send_upload(deployment, machine, f"u-{machine}-{client}-{number}", rng)
        )
        await asyncio.sleep(0.05)


def find_broken(
    deployment: fleet.Fleet, uploads: list[Upload], stops: list[tuple[int, float]]
) -> list[Upload]:
    """Return the uploads that a stopping daemon broke off although a server was at work on them.

    Left out are those past the route's timeout, and those in the last sixth of the grace period.
    """
    runs = {run.request_id: run for server in deployment.servers for run in server.runs}
    broken = []
    for upload in uploads:
        run = runs.get(upload.request_id)
        if upload.outcome == "200 of the server" or upload.sent_whole_at is None or run is None:
            continue
        if upload.ended_at - upload.sent_at >= TIMEOUT_S - LOSS_SLACK_S:
            continue
        for machine, stopped_at in stops:
            since_stop_s = upload.ended_at - stopped_at
            if machine == upload.machine and 0.0 <= since_stop_s < GRACE_S * 5 / 6:
                deployment.record.write(
                    f"BROKEN: {upload.request_id}, {upload.outcome}, {since_stop_s:.2f} s after "
                    f"the SIGTERM; its server began {upload.ended_at - run.started_at:.2f} s before"
                )
                broken.append(upload)
    return broken


async def check(record: fleet.Record, has_trouble: bool) -> int:
    """Run the case."""
    deployment = fleet.Fleet(record)
    uploads: list[Upload] = []
    stops: list[tuple[int, float]] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start(["vault"] * 4, fleet.build_configuration(7, ROUTES, ["vault"]))
        platform = Platform(deployment)
        for machine in range(len(deployment.daemons)):
            tasks.append(asyncio.create_task(platform.probe(machine)))
            for client in range(CLIENTS_PER_MACHINE):
                work = send_uploads(deployment, platform, machine, client, uploads)
                tasks.append(asyncio.create_task(work))
        await asyncio.sleep(5.0)
        for number in range(STOPS):
            if has_trouble:
                machine = number % len(deployment.daemons)
                daemon = deployment.daemons[machine]
                assert daemon.process is not None, "the daemon runs"
                record.write(f"SIGTERM to {daemon.name}")
                stops.append((machine, time.monotonic()))
                daemon.signal(signal.SIGTERM)
                await daemon.process.wait()
                record.write(f"{daemon.name} has ended")
                await daemon.start()
                await daemon.wait_until_ready()
            await asyncio.sleep(4.0)
        broken = find_broken(deployment, uploads, stops)
        outcomes = sorted({upload.outcome for upload in uploads})
        for outcome in outcomes:
            record.write(f"{sum(upload.outcome == outcome for upload in uploads)} x {outcome}")
        if not any(upload.outcome == "200 of the server" for upload in uploads):
            return fleet.NOT_RUN
        if not has_trouble and not set(outcomes) <= {"200 of the server", "deadline"}:
            return fleet.BROKEN
        return fleet.BROKEN if broken else fleet.HELD
    finally:
        for task in tasks:
            task.cancel()
        await deployment.stop()


if __name__ == "__main__":
    fleet.run_case(check, FOLDER / "record.txt")
