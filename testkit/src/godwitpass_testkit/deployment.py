"""Run a deployment of real processes on the loopback interface."""

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
from godwitpass_daemon.resources import Resources
from godwitpass_daemon.settings import ListenSettings, Settings, UpstreamSettings
from godwitpass_testkit.ports import AddressAllocator

ADMIN_TOKEN = "experiment-token-not-a-secret"
PEER_KEY = "experiment-peer-key-not-a-secret"
WAIT_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
DEFAULT_RESOURCES = Resources()


class ExperimentError(GodwitpassError):
    """A process of an experiment did not reach the expected state in time."""


class Deployment:
    """Processes of a stand-in store, of upstreams and of daemons.

    `store` is the address of the store; `nodes` holds the settings of each daemon. The output of
    each process goes to a log file in `folder`.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = Address("")
        self.nodes: dict[InstanceId, Settings] = {}
        self._addresses = AddressAllocator()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start_store(self) -> None:
        """Start the stand-in store and wait until it serves requests."""
        self.store = self._addresses.allocate()
        self._spawn("store", "godwitpass_testkit.store", "--listen", self.store)
        self.wait_until("the store listens", lambda: _is_listening(self.store))

    def add_node(
        self,
        instance: str,
        zone: str,
        region: str,
        service: str,
        has_upstream: bool = True,
        resources: Resources = DEFAULT_RESOURCES,
    ) -> Settings:
        """Start a daemon with its upstream of `service`, and return the daemon's settings."""
        upstream = None
        if has_upstream:
            address = self._addresses.allocate()
            host, _, port = address.rpartition(":")
            module = "godwitpass_testkit.upstream"
            self._spawn(f"upstream-{instance}", module, port, "--host", host)
            upstream = UpstreamSettings(ServiceName(service), address)
        settings = self._build_settings(instance, zone, region, upstream, resources)
        self.nodes[settings.instance] = settings
        self.start_daemon(settings.instance)
        return settings

    def write_settings(self, instance: str, zone: str, region: str) -> Path:
        """Write settings without an upstream, for a daemon that the experiment starts itself."""
        settings = self._build_settings(instance, zone, region, None, DEFAULT_RESOURCES)
        path = self.folder / f"{instance}.json"
        path.write_bytes(msgspec.json.encode(settings))
        return path

    def start_daemon(self, instance: InstanceId) -> None:
        """Start or restart the daemon of a node."""
        path = self.folder / f"{instance}.json"
        path.write_bytes(msgspec.json.encode(self.nodes[instance]))
        self._spawn(f"daemon-{instance}", "godwitpass_daemon", "run", str(path))

    def kill(self, name: str, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to a process of this deployment; after SIGKILL, wait for its exit."""
        process = self._processes[name]
        process.send_signal(signal_number)
        if signal_number is signal.SIGKILL:
            process.wait()

    def get_process_id(self, name: str) -> int:
        """Return the process id of a process of this deployment."""
        return self._processes[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process of this deployment has not ended."""
        return self._processes[name].poll() is None

    def wait_until(self, expectation: str, condition: Callable[[], bool]) -> None:
        """Wait until `condition` holds.

        Raises `ExperimentError` with `expectation` after `WAIT_TIMEOUT_S` seconds.
        """
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise ExperimentError(
                    f"not reached within {WAIT_TIMEOUT_S:.0f} s: {expectation}; "
                    f"see the logs in {self.folder}"
                )
            time.sleep(POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stop every process that this deployment started, the store last."""
        store = self._processes.pop("store", None)
        for process in self._processes.values():
            process.terminate()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in self._processes.values():
            _wait_or_kill(process, deadline_s - time.monotonic())
        if store is not None:
            # The stand-in keeps its data in memory only; a graceful stop would save nothing.
            store.kill()
            store.wait()

    def _build_settings(
        self,
        instance: str,
        zone: str,
        region: str,
        upstream: UpstreamSettings | None,
        resources: Resources,
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
            memory_mb=resources.memory_mb,
            max_descriptors=resources.descriptors,
        )

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log_file = (self.folder / f"{name}.log").open("ab")
        with log_file:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log_file,
                stderr=log_file,
                stdin=subprocess.DEVNULL,
                env=os.environ.copy(),
            )


@contextlib.contextmanager
def run_deployment(folder: Path) -> Iterator[Deployment]:
    """Yield a deployment with a running store; stop all its processes at the end of the block."""
    deployment = Deployment(folder)
    try:
        deployment.start_store()
        yield deployment
    finally:
        deployment.stop()


def _wait_or_kill(process: subprocess.Popen[bytes], timeout_s: float) -> None:
    try:
        process.wait(max(0.1, timeout_s))
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


class Answer(msgspec.Struct, frozen=True):
    """Response of a process to a request."""

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
    """Send one HTTP request; return None when the connection fails or times out."""
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                f"http://{address}{path}",
                headers=list(headers),
                content=body,
                extensions={
                    "timeout": dict.fromkeys(("connect", "read", "write"), REQUEST_TIMEOUT_S)
                },
            )
            return Answer(response.status, response.content, tuple(response.headers))
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return None


def call_admin(settings: Settings, method: str, path: str, body: bytes = b"") -> Answer | None:
    """Send a request with the administration token to a daemon's administration API."""
    headers = [("authorization", f"Bearer {ADMIN_TOKEN}")]
    return request(method, settings.listen.admin, path, body, headers)


def _is_listening(address: Address) -> bool:
    return request("GET", address, "/") is not None
