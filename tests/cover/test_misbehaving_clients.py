"""Crowds of clients that send without end and stay open, at each listener of a daemon process."""

import itertools
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import psutil
import pytest
from anyio.from_thread import BlockingPortal, start_blocking_portal

from godwitpass.ids import Address
from godwitpass_daemon.listeners import HttpListener
from godwitpass_platform_stand_ins import (
    StandInServer,
    build_configuration,
    build_route,
    choose_network,
    encode_call,
    exchange,
    wait_until,
)
from godwitpass_platform_stand_ins.client import HOST
from godwitpass_platform_stand_ins.deployment import is_ready
from godwitpass_platform_stand_ins.store import StandInStore
from godwitpass_testkit.misbehaving_clients import Behaviour, Crowd, Target, send_crowd

MEMORY_MB = 128
MAX_FDS = 400
BYTES_PER_MB = 1024 * 1024
CLIENTS = 24
IDLE_CLIENTS = 500
SENT_BYTES = 2 * BYTES_PER_MB
SENDING_S = 4.0
CALL_TIMEOUT_S = 20.0
CALL_ATTEMPTS = 3
"""An ordinary client repeats an idempotent call after a refusal or a closed connection."""

STORE_PORT, INBOUND_PORT, CALLERS_PORT, READINESS_PORT, CONTROL_PORT, SERVER_PORT = range(
    7400, 7406
)
FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT = 7420, 7429
ADMIN_PORT = FIRST_INTERNAL_PORT + 2
METRICS_PORT = 9464
FIRST_NETWORK = 300
_network_numbers = itertools.count(FIRST_NETWORK)


class Machine:
    """A daemon in a process of its own, its server and its store, on one loopback address."""

    def __init__(self, folder: Path) -> None:
        self.ip = f"{choose_network(next(_network_numbers))}.10"
        self.server = StandInServer("i-1", self._address(SERVER_PORT), "vault")
        self._store = StandInStore()
        self._listener = HttpListener(self._store.handle_request, self._address(STORE_PORT))
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None

    def _address(self, port: int) -> Address:
        return Address(f"{self.ip}:{port}")

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """Return the daemon's process."""
        assert self._process is not None
        return self._process

    @asynccontextmanager
    async def run(self) -> AsyncIterator["Machine"]:
        """Run the machine while the context lasts."""
        async with anyio.create_task_group() as tasks:
            await self._listener.start(tasks)
            routes = {"read": build_route("/read/", "vault", timeout="20s")}
            routes["scan"] = build_route("/scan/", "vault", "upload", timeout="20s")
            configuration = build_configuration(1, routes)
            configuration["limits"]["maxBodyBytes"] = 2 * SENT_BYTES
            self._store.write_configuration(configuration)
            await self.server.start()
            self._start_daemon()
            try:
                await wait_until(lambda: is_ready(self._address(READINESS_PORT)))
                await self.server.send_heartbeat(self._address(CONTROL_PORT))
                await wait_until(self.serves_a_call)
                yield self
            finally:
                self.process.kill()
                self.process.wait()
                await self.server.stop()
                self._listener.request_stop()
                tasks.cancel_scope.cancel()

    async def serves_a_call(self) -> bool:
        """Tell whether one ordinary call is served, which is repeated after a refusal."""
        for _ in range(CALL_ATTEMPTS):
            try:
                with anyio.fail_after(CALL_TIMEOUT_S):
                    call = encode_call("/read/x", "ordinary", int(CALL_TIMEOUT_S * 1000))
                    if (await exchange(self._address(CALLERS_PORT), call)).status == 200:
                        return True
            except (OSError, EOFError, TimeoutError):
                # The call is sent again on a new connection.
                pass
            await anyio.sleep(0.2)
        return False

    def list_targets(self) -> dict[str, Target]:
        """Return the listeners of the daemon by their names."""
        attempt = (("X-Godwitpass-Attempt-Id", "crowd"), ("X-Godwitpass-Timeout-Ms", "20000"))
        return {
            "callers": Target(self._address(CALLERS_PORT), "POST", "/scan/x", HOST, attempt),
            "control": Target(
                self._address(CONTROL_PORT), "PUT", "/godwitpass/instances/i-2", self.ip
            ),
            "readiness": Target(
                self._address(READINESS_PORT), "POST", "/godwitpass/readyz", self.ip
            ),
            "metrics": Target(self._address(METRICS_PORT), "POST", "/metrics", self.ip),
            "inbound": Target(self._address(INBOUND_PORT), "POST", "/", self.ip),
            "peers": Target(self._address(FIRST_INTERNAL_PORT), "POST", "/", self.ip),
        }

    def read_peak_memory_mb(self) -> float:
        """Return the highest resident memory that the daemon has had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        return int(fields["VmHWM"].split()[0]) / 1024

    def count_descriptors(self) -> int:
        """Return the number of descriptors that the daemon has open."""
        return int(psutil.Process(self.process.pid).num_fds())

    def _start_daemon(self) -> None:
        settings_path = self._folder / "side.toml"
        settings_path.write_text(f"""
[self]
nodeName = "side"
ip = "{self.ip}"
zone = "a"
region = "r"
appAddr = "{self.server.address}"
service = "vault"
[self.limits]
memoryMb = {MEMORY_MB}
maxFds = {MAX_FDS}
[network]
internalPorts = [{FIRST_INTERNAL_PORT}, {LAST_INTERNAL_PORT}]
[network.listen]
inbound = "{self.ip}:{INBOUND_PORT}"
outbound = "{self.ip}:{CALLERS_PORT}"
readinessAddr = "{self.ip}:{READINESS_PORT}"
control = "{self.ip}:{CONTROL_PORT}"
[platform.platform]
address = "{self._address(STORE_PORT)}"
""")
        with (self._folder / "side.log").open("ab") as log_file:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "godwitpass_platform"],
                env=os.environ | {"GODWITPASS_NODE_FILE": str(settings_path)},
                stdout=log_file,
                stderr=log_file,
            )


@pytest.fixture
def portal() -> Iterator[BlockingPortal]:
    with start_blocking_portal(backend_options={"use_uvloop": True}) as blocking_portal:
        yield blocking_portal


class TestCrowds:
    @staticmethod
    async def check(folder: Path, listener: str, crowd: Crowd) -> None:
        async with Machine(folder).run() as machine:
            clients = await send_crowd(machine.list_targets()[listener], crowd)
            try:
                is_served = await machine.serves_a_call()
                assert machine.process.poll() is None, "the daemon has ended"
                assert machine.count_descriptors() <= MAX_FDS
                assert machine.read_peak_memory_mb() <= MEMORY_MB
                assert is_served, "an ordinary call is not served"
            finally:
                for client in clients:
                    client.close()

    @pytest.mark.parametrize(
        "behaviour", [item for item in Behaviour if item is not Behaviour.IDLE]
    )
    def test_callers_that_send_without_end_leave_room_for_ordinary_calls(
        self, portal: BlockingPortal, tmp_path: Path, behaviour: Behaviour
    ) -> None:
        portal.call(
            self.check, tmp_path, "callers", Crowd(behaviour, CLIENTS, SENT_BYTES, SENDING_S)
        )

    @pytest.mark.parametrize("listener", ["control", "readiness", "metrics", "inbound", "peers"])
    @pytest.mark.parametrize(
        "behaviour", [Behaviour.ENDLESS_HEAD, Behaviour.ENDLESS_CHUNKS, Behaviour.PIPELINED]
    )
    def test_clients_of_other_listeners_leave_room_for_ordinary_calls(
        self, portal: BlockingPortal, tmp_path: Path, listener: str, behaviour: Behaviour
    ) -> None:
        portal.call(
            self.check, tmp_path, listener, Crowd(behaviour, CLIENTS, SENT_BYTES, SENDING_S)
        )

    @pytest.mark.parametrize(
        "listener", ["callers", "control", "readiness", "metrics", "inbound", "peers"]
    )
    def test_idle_connections_leave_descriptors_for_ordinary_calls(
        self, portal: BlockingPortal, tmp_path: Path, listener: str
    ) -> None:
        crowd = Crowd(Behaviour.IDLE, IDLE_CLIENTS, 0, SENDING_S)
        portal.call(self.check, tmp_path, listener, crowd)
