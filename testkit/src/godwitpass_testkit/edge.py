"""One daemon's edge in front of stand-in upstreams, for tests and experiments."""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from functools import wraps

import anyio
import typer
from anyio.abc import TaskGroup

from godwitpass.document import Document, Execution, Policy, Route, Service
from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import (
    Address,
    ChangeId,
    ContentHash,
    InstanceId,
    PolicyName,
    RegionId,
    RouteName,
    ServiceName,
    Version,
    ZoneId,
)
from godwitpass.internal.calls.dispatcher import DaemonLocation
from godwitpass.mesh import Member, Upstream, UpstreamState
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.edge.service import EdgeService
from godwitpass_daemon.kernel import Kernel
from godwitpass_daemon.kernel import Service as KernelService
from godwitpass_testkit.caller import Answer, request
from godwitpass_testkit.upstream import StandInUpstream, UpstreamOptions

GRACE_S = 2.0
TEST_LIMIT_S = 30.0
"""A test that waits longer waits for something that won't come."""

ZONE, REGION = ZoneId("bergen"), RegionId("vest")
PLACE = DaemonLocation(InstanceId("d1"), ZONE, REGION)
SHOP, PAYROLL = ServiceName("stoffbok"), ServiceName("payroll")
READ_POLICY, WRITE, ONCE = PolicyName("read"), PolicyName("write"), PolicyName("once")
DOCUMENT = Document(
    1,
    services=(Service(SHOP), Service(PAYROLL, internal=True)),
    routes=(
        Route(RouteName("books"), "/books", SHOP, policy=READ_POLICY),
        Route(RouteName("scans"), "/scans", SHOP, policy=WRITE),
        Route(RouteName("orders"), "/orders", SHOP, policy=ONCE),
        Route(RouteName("payroll"), "/payroll", PAYROLL, policy=READ_POLICY),
    ),
    policies=(
        Policy(READ_POLICY, execution=Execution.IDEMPOTENT, timeout_ms=2_000, attempts=2),
        Policy(WRITE, execution=Execution.UNSAFE, timeout_ms=2_000, stall_timeout_ms=700),
        Policy(ONCE, execution=Execution.ONCE, timeout_ms=2_000),
    ),
)


def build_snapshot(document: Document = DOCUMENT, version: int = 1) -> Snapshot:
    """Return a snapshot of `document`."""
    return Snapshot(Version(version), ChangeId("c"), ContentHash("h"), document)


class FakeServices:
    """Distribution, membership and events in one; what they say is set by hand."""

    def __init__(self, snapshot: Snapshot | None) -> None:
        self.held = snapshot
        self.upstreams_by_service: dict[ServiceName, list[Upstream]] = {}
        self.emitted: list[str] = []
        self._callbacks: list[Callable[..., None]] = []

    async def start(self, tasks: TaskGroup) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def snapshot(self) -> Snapshot | None:
        """Return the snapshot that was set."""
        return self.held

    def members(self) -> Sequence[Member]:
        """Return no daemons."""
        return ()

    def upstreams(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the upstreams that were set."""
        return self.upstreams_by_service.get(service, [])

    def subscribe(self, callback: Callable[..., None]) -> None:
        """Keep `callback` for `publish` and `change`."""
        self._callbacks.append(callback)

    def publish(self, snapshot: Snapshot) -> None:
        """Put `snapshot` in force."""
        self.held = snapshot
        self._callbacks[0](snapshot)

    def set_upstreams(self, service: ServiceName, upstreams: list[Upstream]) -> None:
        """Set the upstreams of a service."""
        self.upstreams_by_service[service] = upstreams
        self._callbacks[1]()

    def emit(self, kind: EventKind, **fields: FieldValue) -> None:
        """Keep the event's name."""
        self.emitted.append(kind.name)


class Mesh:
    """One daemon's edge in front of stand-in upstreams."""

    def __init__(
        self, edge: EdgeService, peers: FakeServices, upstreams: list[StandInUpstream]
    ) -> None:
        self.edge = edge
        self.services = services
        self.upstreams = upstreams
        self.outer_address, self.inner_address = edge.bound_addresses

    async def get(self, path: str, **headers: str) -> Answer:
        """Send a GET to the inner listener; underscores in names of headers become hyphens."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return await request(self.inner_address, path, headers=named)

    def count_runs(self, request_id: str) -> int:
        """Return how often upstreams ran the request."""
        return sum(upstream.runs[request_id.encode()] for upstream in self.upstreams)


def build_upstream(index: int, address: Address, service: ServiceName = SHOP) -> Upstream:
    """Return a ready upstream in the daemon's availability zone."""
    instance = InstanceId(f"u{index}")
    return Upstream(instance, service, address, ZONE, REGION, UpstreamState.READY, 12)


@asynccontextmanager
async def run_mesh(
    upstream_count: int = 1,
    snapshot: Snapshot | None = None,
    options: UpstreamOptions | None = None,
    services: dict[str, KernelService] | None = None,
    is_configured: bool = True,
) -> AsyncIterator[Mesh]:
    """Run an edge; `services` adds guards to its kernel by name."""
    peers = FakeServices((snapshot or build_snapshot()) if is_configured else None)
    stand_ins = [StandInUpstream(options) for _ in range(upstream_count)]
    for index, stand_in in enumerate(stand_ins):
        found = build_upstream(index, await stand_in.start())
        peers.upstreams_by_service.setdefault(SHOP, []).append(found)
    peers.upstreams_by_service[PAYROLL] = peers.upstreams_by_service.get(SHOP, [])
    kernel = Kernel()
    for name in ("distribution", "membership", "events"):
        kernel.register(name, lambda _: peers)
    for name, service in (services or {}).items():
        _register(kernel, name, service)
    listen = Address("127.0.0.1:0")
    edge = EdgeService(kernel, listen, listen, PLACE, grace_s=GRACE_S)
    async with anyio.create_task_group() as tasks:
        await edge.start(tasks)
        try:
            yield Mesh(edge, peers, stand_ins)
        finally:
            with anyio.CancelScope(shield=True):
                await edge.stop()
            for stand_in in stand_ins:
                stand_in.close()
            tasks.cancel_scope.cancel()


def _register(kernel: Kernel, name: str, service: KernelService) -> None:
    kernel.register(name, lambda _: service)


def run_async(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Let a test method run on a loop as the daemon's own."""

    @wraps(test)
    def run(self: object) -> None:
        anyio.run(_run_bounded, test, self, backend_options={"use_uvloop": True})

    return run


async def _run_bounded(test: Callable[..., Awaitable[None]], subject: object) -> None:
    with anyio.fail_after(TEST_LIMIT_S):
        await test(subject)


async def serve_edge(upstreams: Sequence[Address]) -> None:
    """Serve an edge in front of running upstreams; prints its inner address."""
    peers = FakeServices(build_snapshot())
    peers.upstreams_by_service[SHOP] = [build_upstream(at, found) for at, found in enumerate(upstreams)]
    kernel = Kernel()
    for name in ("distribution", "membership", "events"):
        kernel.register(name, lambda _: peers)
    listen = Address("127.0.0.1:0")
    edge = EdgeService(kernel, listen, listen, PLACE)
    async with anyio.create_task_group() as tasks:
        await edge.start(tasks)
        print(edge.bound_addresses[1], flush=True)
        await anyio.sleep_forever()


def main(upstreams: list[str]) -> None:
    """Serve an edge in front of the given upstreams until the process is ended."""
    addresses = [Address(found) for found in upstreams]
    anyio.run(serve_edge, addresses, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    typer.run(main)
