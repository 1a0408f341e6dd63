"""A whole deployment of real processes on the loopback interface."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import httpcore
import msgspec

from godwitpass.errors import GodwitpassError
from godwitpass.ids import Address, InstanceId, RegionId, ServiceName, ZoneId
from godwitpass_daemon.settings import ListenSettings, Settings, UpstreamSettings
from godwitpass_testkit.ports import AddressAllocator

ADMIN_TOKEN = "experiment-token-not-a-secret"
PEER_KEY = "experiment-peer-key-not-a-secret"
START_LIMIT_S = 60.0
STOP_LIMIT_S = 20.0
POLL_S = 0.05


class ExperimentError(GodwitpassError):
    """A process of an experiment did not do what was waited for."""


class Deployment:
    """Starts a stand-in store, upstreams and daemons, and ends exactly those."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = Address("")
        self.nodes: dict[InstanceId, Settings] = {}
        self._addresses = AddressAllocator()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start_store(self) -> None:
        """Start the stand-in store and wait until it takes calls."""
        self.store = self._addresses.allocate()
        self._spawn("store", "godwitpass_testkit.store", "--listen", self.store)
        self.wait_until("the store listens", lambda: _is_listening(self.store))

    def add_node(
        self, instance: str, zone: str, region: str, service: str, has_upstream: bool = True
    ) -> Settings:
        """Start a daemon, and beside it an upstream of `service`."""
        upstream = None
        if has_upstream:
            address = self._addresses.allocate()
            host, _, port = address.rpartition(":")
            module = "godwitpass_testkit.upstream"
            self._spawn(f"upstream-{instance}", module, port, "--host", host)
            upstream = UpstreamSettings(ServiceName(service), address)
        settings = self._build_settings(instance, zone, region, upstream)
        self.nodes[settings.instance] = settings
        self.start_daemon(settings.instance)
        return settings

    def write_settings(self, instance: str, zone: str, region: str) -> Path:
        """Write the settings of a daemon without upstream that the experiment runs itself."""
        settings = self._build_settings(instance, zone, region, None)
        path = self.folder / f"{instance}.json"
        path.write_bytes(msgspec.json.encode(settings))
        return path

    def start_daemon(self, instance: InstanceId) -> None:
        """Start, or start again, the daemon of a node."""
        path = self.folder / f"{instance}.json"
        path.write_bytes(msgspec.json.encode(self.nodes[instance]))
        self._spawn(f"daemon-{instance}", "godwitpass_daemon", "run", str(path))

    def kill(self, name: str, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to one process of this deployment; wait for its end where it must end."""
        process = self._processes[name]
        process.send_signal(number)
        if number is signal.SIGKILL:
            process.wait()

    def get_process_id(self, name: str) -> int:
        """Return the process id of one process of this deployment."""
        return self._processes[name].pid

    def wait_until(self, what: str, condition: Callable[[], bool]) -> None:
        """Wait for `condition`; raises `ExperimentError` naming `what` after a generous limit."""
        deadline = time.monotonic() + START_LIMIT_S
        while not condition():
            if time.monotonic() > deadline:
                raise ExperimentError(f"gave up waiting until {what}")
            time.sleep(POLL_S)

    def stop(self) -> None:
        """End every process that this deployment started, the store last."""
        store = self._processes.pop("store", None)
        for process in self._processes.values():
            process.terminate()
        deadline = time.monotonic() + STOP_LIMIT_S
        for process in self._processes.values():
            _wait_or_kill(process, deadline - time.monotonic())
        if store is not None:
            # A stand-in keeps nothing, so nothing is lost by ending it at once.
            store.kill()
            store.wait()

    def _build_settings(
        self, instance: str, zone: str, region: str, upstream: UpstreamSettings | None
    ) -> Settings:
        return Settings(
            instance=InstanceId(instance),
            zone=ZoneId(zone),
            region=RegionId(region),
            listen=ListenSettings(*(self._addresses.allocate() for _ in range(4))),
            store=(self.store,),
            admin_token=ADMIN_TOKEN,
            peer_key=PEER_KEY,
            upstream=upstream,
        )

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        with log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=os.environ.copy(),
            )


@contextlib.contextmanager
def run_deployment(folder: Path) -> Iterator[Deployment]:
    """Give a deployment whose processes end with the block."""
    deployment = Deployment(folder)
    try:
        deployment.start_store()
        yield deployment
    finally:
        deployment.stop()


def _wait_or_kill(process: subprocess.Popen[bytes], limit: float) -> None:
    try:
        process.wait(max(0.1, limit))
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


class Answer(msgspec.Struct, frozen=True):
    """What a process answered to a request."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


def request(
    method: str,
    address: Address,
    path: str,
    body: bytes = b"",
    headers: Sequence[tuple[str, str]] = (),
) -> Answer | None:
    """Send one HTTP request; None when nothing answers."""
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                f"http://{address}{path}",
                headers=list(headers),
                content=body,
                extensions={"timeout": dict.fromkeys(("connect", "read", "write"), 10.0)},
            )
            return Answer(response.status, response.content, tuple(response.headers))
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return None


def call_admin(settings: Settings, method: str, path: str, body: bytes = b"") -> Answer | None:
    """Send one authorized request to a daemon's administration API."""
    headers = [("authorization", f"Bearer {ADMIN_TOKEN}")]
    return request(method, settings.listen.admin, path, body, headers)


def _is_listening(address: Address) -> bool:
    return request("GET", address, "/") is not None
