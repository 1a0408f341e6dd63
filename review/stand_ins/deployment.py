"""A small deployment: a store, and machines that each have a server and a daemon."""

import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from stand_ins.http import Message, encode, exchange
from stand_ins.machine import STORE, Machine, choose_base_port, choose_network
from stand_ins.record import Record
from stand_ins.server import DEFAULT_SLOTS, Server
from stand_ins.store import Store

HOST = "jepu9.example"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_RUN_S = 115.0
WAIT_TIMEOUT_S = 15.0
CONTACT_S = 3.0
"""The bound `contact`: after this time without disruption a machine is in touch."""


class CaseError(Exception):
    """The case could not run as planned."""


def build_route(prefix: str, service: str, kind: str = "safe", **fields: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "type": kind,
        "timeout": "2000ms",
        "targetLatency": "600ms",
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }


class Deployment:
    """The stand-ins and daemons of one run; `has_trouble` tells whether to disrupt it."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        services: Sequence[str],
        bounds: dict[str, object] | None = None,
        slots: int = DEFAULT_SLOTS,
        has_seeds: bool = True,
    ) -> None:
        self.record = record
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.network = choose_network()
        self.base_port = choose_base_port(self.network)
        self.store = Store()
        self.store_address = f"{self.network}.9:{self.base_port + STORE}"
        self.machines = [
            Machine(
                record,
                folder,
                self.network,
                self.base_port,
                number,
                service,
                bounds,
                has_seeds=has_seeds,
            )
            for number, service in enumerate(services, 1)
        ]
        self.servers = [
            Server(record, f"i-{number}", machine.service, machine.app, machine.control, slots)
            for number, machine in enumerate(self.machines, 1)
        ]
        self._version = 0
        self._last_request = 0

    def write_configuration(self, routes: dict[str, Any], **fields: Any) -> None:
        """Write the next version of the configuration, as the operator does."""
        self._version += 1
        services = sorted({machine.service for machine in self.machines})
        service = {"healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}
        configuration = {
            "version": f"{self._version:08x}",
            "routes": routes,
            "services": dict.fromkeys(services, service),
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
            **fields,
        }
        self.store.put("op/config", json.dumps(configuration).encode())
        self.record.write(f"operator writes version {self._version}; the store acknowledges it")

    async def start(self) -> None:
        """Start all, and wait until the daemons are ready and in touch."""
        await self.store.start(self.store_address)
        for server in self.servers:
            await server.start()
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.wait_until_ready()
        await asyncio.sleep(CONTACT_S)

    def stop(self) -> None:
        """End all processes that were started."""
        for machine in self.machines:
            machine.kill()
        for server in self.servers:
            server.stop()
        self.store.stop()

    async def call(
        self,
        machine: Machine,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        timeout_ms: int = 2000,
        headers: dict[str, str] | None = None,
    ) -> tuple[str, int]:
        """Send one request of a client on a machine; return its id and status, 0 if none came."""
        self._last_request += 1
        request_id = f"{self._last_request:016x}"
        all_headers = {
            "Host": HOST,
            "X-Godwitpass-Attempt-Id": request_id,
            "X-Godwitpass-Timeout-Ms": str(timeout_ms),
            **(headers or {}),
        }
        self.record.write(f"client on {machine.name} sends {request_id}: {method} {path}")
        response: Message | None = None
        try:
            data = encode(f"{method} {path} HTTP/1.1", all_headers, body)
            response = await exchange(machine.outbound, data, timeout_ms / 1000 + 1.0)
        except (OSError, TimeoutError) as error:
            self.record.write(f"client gets no answer to {request_id}: {error!r}")
        status = response.status if response is not None else 0
        text = response.body[:80].decode("latin-1") if response is not None else ""
        self.record.write(f"client gets {status} for {request_id}: {text}")
        return request_id, status

    async def wait_for(
        self, condition: Callable[[], Awaitable[bool]], what: str, interval_s: float = 0.05
    ) -> None:
        """Wait until a condition holds; without it the case can't run."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not await condition():
            if time.monotonic() > deadline:
                raise CaseError(f"waited in vain until {what}")
            await asyncio.sleep(interval_s)


Case = Callable[[Deployment], Awaitable[str]]
"""Plays the case; returns what broke the rule, or an empty text if it held."""


def run_case(
    folder: Path,
    services: Sequence[str],
    routes: dict[str, Any],
    play: Case,
    bounds: dict[str, object] | None = None,
    slots: int = DEFAULT_SLOTS,
    has_seeds: bool = True,
    **configuration: Any,
) -> None:
    """Run a case, write its record, and exit with 1 if the rule was broken, else with 0 or 2.

    `routes` and `configuration` are the first configuration.
    """
    with Record(folder / "record.txt") as record, tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(record, Path(temporary), services, bounds, slots, has_seeds)
        deployment.write_configuration(routes, **configuration)
        exit_code = asyncio.run(_run(deployment, play))
        _copy_logs(Path(temporary))
    sys.exit(exit_code)


async def _run(deployment: Deployment, play: Case) -> int:
    record = deployment.record
    try:
        async with asyncio.timeout(MAX_RUN_S):
            await deployment.start()
            broken = await play(deployment)
    except (CaseError, OSError, TimeoutError, RuntimeError) as error:
        record.write(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        for machine in deployment.machines:
            if machine.exit_code is not None:
                record.write(f"daemon {machine.name} had ended with {machine.exit_code}")
        deployment.stop()
    record.write(f"RULE BROKEN: {broken}" if broken else "the rule held")
    return BROKEN if broken else HELD


def _copy_logs(folder: Path) -> None:
    """Keep the daemons' logs in the folder that `KEEP_LOGS` names, if it is set."""
    target = os.environ.get("KEEP_LOGS")
    if target:
        for log in folder.glob("*.log"):
            (Path(target) / log.name).write_bytes(log.read_bytes())
