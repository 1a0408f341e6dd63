"""Run the edge of one daemon in front of stand-in upstreams, for tests and experiments."""

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
from godwitpass.internal.calls.events import UPSTREAMS_CHANGED
from godwitpass.mesh import Member, MemberState, Upstream, UpstreamState
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.edge.service import DEFAULT_RESOURCES, EdgeService
from godwitpass_daemon.kernel import Kernel
from godwitpass_daemon.kernel import Service as KernelService
from godwitpass_daemon.resources import Resources
from godwitpass_testkit.caller import Answer, request
from godwitpass_testkit.upstream import StandInUpstream, UpstreamOptions

STOP_GRACE_S = 2.0
TEST_TIMEOUT_S = 30.0
"""A test that runs longer waits for something that never happens."""

ZONE, REGION = ZoneId("bergen"), RegionId("vest")
LOCATION = DaemonLocation(InstanceId("d1"), ZONE, REGION)
SHOP, PAYROLL = ServiceName("stoffbok"), ServiceName("payroll")
READ_POLICY, WRITE_POLICY, ONCE_POLICY = PolicyName("read"), PolicyName("write"), PolicyName("once")
DOCUMENT = Document(
    1,
    services=(Service(SHOP), Service(PAYROLL, internal=True)),
    routes=(
        Route(RouteName("books"), "/books", SHOP, policy=READ_POLICY),
        Route(RouteName("scans"), "/scans", SHOP, policy=WRITE_POLICY),
        Route(RouteName("orders"), "/orders", SHOP, policy=ONCE_POLICY),
        Route(RouteName("payroll"), "/payroll", PAYROLL, policy=READ_POLICY),
    ),
    policies=(
        Policy(READ_POLICY, execution=Execution.IDEMPOTENT, timeout_ms=2_000, attempts=2),
        Policy(WRITE_POLICY, execution=Execution.UNSAFE, timeout_ms=2_000, stall_timeout_ms=700),
        Policy(ONCE_POLICY, execution=Execution.ONCE, timeout_ms=2_000),
    ),
)


def build_snapshot(document: Document = DOCUMENT, version: int = 1) -> Snapshot:
    """Return a snapshot of `document`."""
    return Snapshot(Version(version), ChangeId("c"), ContentHash("h"), document)


class FakeServices:
    """Fake of the services distribution, membership and events, controlled by the test."""

    def __init__(self, snapshot: Snapshot | None) -> None:
        self.current = snapshot
        self.upstreams_by_service: dict[ServiceName, list[Upstream]] = {}
        self.emitted_names: list[str] = []
        self.member_count = 0
        self.used_upstreams = 0
        self._callbacks: list[Callable[..., None]] = []

    async def start(self, tasks: TaskGroup) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def snapshot(self) -> Snapshot | None:
        """Return the snapshot that the test has set."""
        return self.current

    def members(self) -> Sequence[Member]:
        """Return as many members as the test has set."""
        return [
            Member(InstanceId(f"d{number}"), ZONE, REGION, Address(""), 0, 0, MemberState.ALIVE)
            for number in range(self.member_count)
        ]

    def upstreams(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the upstreams that the test has set."""
        return self.upstreams_by_service.get(service, [])

    def subscribe(self, callback: Callable[..., None]) -> None:
        """Register `callback`; the edge subscribes to distribution first, then to membership."""
        self._callbacks.append(callback)

    def publish(self, snapshot: Snapshot) -> None:
        """Put `snapshot` in force and notify the edge."""
        self.current = snapshot
        self._callbacks[0](snapshot)

    def set_upstreams(self, service: ServiceName, upstreams: list[Upstream]) -> None:
        """Set the upstreams of a service and notify the edge."""
        self.upstreams_by_service[service] = upstreams
        self._callbacks[1]()

    def emit(self, kind: EventKind, **fields: FieldValue) -> None:
        """Record the name of the event, and how many upstreams the edge uses."""
        self.emitted_names.append(kind.name)
        if kind is UPSTREAMS_CHANGED and fields["service"] == SHOP:
            self.used_upstreams = int(str(fields["upstreams"]))


class Mesh:
    """A mesh of one daemon's edge and stand-in upstreams, with the addresses of its listeners."""

    def __init__(
        self, edge: EdgeService, services: FakeServices, upstreams: list[StandInUpstream]
    ) -> None:
        self.edge = edge
        self.services = services
        self.upstreams = upstreams
        self.outer_address, self.inner_address = edge.bound_addresses

    async def get(self, path: str, **headers: str) -> Answer:
        """Send a GET request to the inner listener; `_` in a header name stands for `-`."""
        encoded = {name.replace("_", "-"): value for name, value in headers.items()}
        return await request(self.inner_address, path, headers=encoded)

    def count_runs(self, request_id: str) -> int:
        """Return how often the upstreams ran the request with this `x-request` header."""
        return sum(upstream.runs[request_id.encode()] for upstream in self.upstreams)


def build_upstream(index: int, address: Address, service: ServiceName = SHOP) -> Upstream:
    """Return the record of a ready upstream in the daemon's availability zone."""
    instance = InstanceId(f"u{index}")
    return Upstream(instance, service, address, ZONE, REGION, UpstreamState.READY, 12)


@asynccontextmanager
async def run_mesh(
    upstream_count: int = 1,
    snapshot: Snapshot | None = None,
    options: UpstreamOptions | None = None,
    extra_services: dict[str, KernelService] | None = None,
    is_configured: bool = True,
    resources: Resources = DEFAULT_RESOURCES,
) -> AsyncIterator[Mesh]:
    """Run an edge and `upstream_count` stand-in upstreams while the block runs.

    `extra_services` are registered with the kernel by name, such as guards. Without
    `is_configured` the edge has no snapshot.
    """
    fakes = FakeServices((snapshot or build_snapshot()) if is_configured else None)
    stand_ins = [StandInUpstream(options) for _ in range(upstream_count)]
    for index, stand_in in enumerate(stand_ins):
        upstream = build_upstream(index, await stand_in.start())
        fakes.upstreams_by_service.setdefault(SHOP, []).append(upstream)
    fakes.upstreams_by_service[PAYROLL] = fakes.upstreams_by_service.get(SHOP, [])
    kernel = Kernel()
    for name in ("distribution", "membership", "events"):
        kernel.register(name, lambda _: fakes)
    for name, service in (extra_services or {}).items():
        _register(kernel, name, service)
    listen_address = Address("127.0.0.1:0")
    edge = EdgeService(
        kernel,
        listen_address,
        listen_address,
        LOCATION,
        grace_s=STOP_GRACE_S,
        resources=resources,
    )
    async with anyio.create_task_group() as tasks:
        await edge.start(tasks)
        try:
            yield Mesh(edge, fakes, stand_ins)
        finally:
            with anyio.CancelScope(shield=True):
                await edge.stop()
            for stand_in in stand_ins:
                stand_in.close()
            tasks.cancel_scope.cancel()


def _register(kernel: Kernel, name: str, service: KernelService) -> None:
    kernel.register(name, lambda _: service)


def run_async(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an async test method on uvloop, as the daemon does, with a timeout."""

    @wraps(test)
    def run_test(self: object) -> None:
        anyio.run(_run_with_timeout, test, self, backend_options={"use_uvloop": True})

    return run_test


async def _run_with_timeout(test: Callable[..., Awaitable[None]], instance: object) -> None:
    with anyio.fail_after(TEST_TIMEOUT_S):
        await test(instance)


async def serve_edge(upstreams: Sequence[Address]) -> None:
    """Serve an edge in front of running upstreams and print the address of its inner listener."""
    fakes = FakeServices(build_snapshot())
    fakes.upstreams_by_service[SHOP] = [
        build_upstream(index, address) for index, address in enumerate(upstreams)
    ]
    kernel = Kernel()
    for name in ("distribution", "membership", "events"):
        kernel.register(name, lambda _: fakes)
    listen_address = Address("127.0.0.1:0")
    edge = EdgeService(kernel, listen_address, listen_address, LOCATION)
    async with anyio.create_task_group() as tasks:
        await edge.start(tasks)
        print(edge.bound_addresses[1], flush=True)
        await anyio.sleep_forever()


def main(upstreams: list[str]) -> None:
    """Serve an edge in front of the given upstreams until the process is ended."""
    addresses = [Address(upstream) for upstream in upstreams]
    anyio.run(serve_edge, addresses, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    typer.run(main)
