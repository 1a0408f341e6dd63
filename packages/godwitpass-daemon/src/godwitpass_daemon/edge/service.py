"""The edge as a service of the kernel: two listeners, one for each side of the mesh's border."""

import asyncio
import gc
import random
from collections.abc import Callable, Sequence
from typing import Protocol, runtime_checkable

import anyio
from anyio.abc import TaskGroup

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address, ServiceName
from godwitpass.internal.calls import events as kinds
from godwitpass.internal.calls.dispatcher import DaemonLocation
from godwitpass.internal.routing.table import Listener
from godwitpass.mesh import Member, Upstream
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.edge.callers import CallerConnection
from godwitpass_daemon.edge.core import EdgeCore
from godwitpass_daemon.edge.guards import ClaimGuard, CrashGuard
from godwitpass_daemon.edge.limits import SWEEP_INTERVAL_S
from godwitpass_daemon.kernel import Kernel

DEFAULT_GRACE_S = 30.0
COALESCE_S = 0.05
"""Membership changes are taken in together after this time."""

LISTEN_BACKLOG = 512
COLLECTOR_THRESHOLDS = (20_000, 20, 50)
"""Allocations between collections of each generation; the defaults collect every few calls."""


@runtime_checkable
class Distribution(Protocol):
    """What the edge needs of the service "distribution"."""

    def snapshot(self) -> Snapshot | None:
        """Return the snapshot in force, None while there is none."""
        ...

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Call `callback` with each later snapshot."""
        ...


@runtime_checkable
class Membership(Protocol):
    """What the edge needs of the service "membership"."""

    def members(self) -> Sequence[Member]:
        """Return the known daemons."""
        ...

    def upstreams(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the known upstreams of a service."""
        ...

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
        ...


@runtime_checkable
class Events(Protocol):
    """What the edge needs of the service "events"."""

    def emit(self, kind: EventKind, **fields: FieldValue) -> None:
        """Record an event."""
        ...


class EdgeService:
    """Takes calls from outside on `outer` and from inside the mesh on `inner`.

    `grace_s` bounds how long `stop` waits for calls in progress.
    """

    def __init__(
        self,
        kernel: Kernel,
        outer: Address,
        inner: Address,
        place: DaemonLocation,
        grace_s: float = DEFAULT_GRACE_S,
    ) -> None:
        self._kernel = kernel
        self._addresses = {Listener.OUTER: outer, Listener.INNER: inner}
        self._place = place
        self._grace_s = grace_s
        self._servers: list[asyncio.Server] = []
        self._core: EdgeCore | None = None
        self._membership_changed = anyio.Event()

    @property
    def core(self) -> EdgeCore:
        """The shared state; exists once the service was started."""
        assert self._core is not None, "start the service first"
        return self._core

    @property
    def bound_addresses(self) -> tuple[Address, Address]:
        """The outer and inner addresses in use, also where the settings leave the port open."""
        outer, inner = (server.sockets[0].getsockname() for server in self._servers)
        return Address(f"{outer[0]}:{outer[1]}"), Address(f"{inner[0]}:{inner[1]}")

    async def start(self, tasks: TaskGroup) -> None:
        """Open both listeners; calls are answered "not run" until there is a snapshot."""
        distribution = self._kernel.find("distribution", Distribution)  # type: ignore[type-abstract]
        membership = self._kernel.find("membership", Membership)  # type: ignore[type-abstract]
        events = self._kernel.find("events", Events)  # type: ignore[type-abstract]
        loop = asyncio.get_running_loop()
        core = EdgeCore(
            loop,
            self._place,
            random.Random(self._place.instance),
            list_upstreams=lambda service: tuple(membership.upstreams(service)),
            count_daemons=lambda: max(1, len(membership.members())),
            emit=lambda kind, fields: events.emit(kind, **fields),
        )
        self._core = core
        core.claim_guard = self._find_claim_guard()
        core.crash_guard = self._find_crash_guard()
        snapshot = distribution.snapshot()
        if snapshot is not None:
            core.apply_snapshot(snapshot)
        distribution.subscribe(core.apply_snapshot)
        membership.subscribe(self._note_membership)
        await self._listen(loop, core)
        _relieve_collector()
        tasks.start_soon(self._sweep)
        tasks.start_soon(self._follow_membership)

    async def stop(self) -> None:
        """Refuse new connections, let calls in progress end, close the rest after the grace."""
        core = self.core
        core.draining = True
        core.report(kinds.DRAIN_STARTED, {"calls": core.calls_in_progress})
        for server in self._servers:
            server.close()
        for connection in core.connections:
            connection.close_if_idle()
        with anyio.move_on_after(self._grace_s):
            await core.wait_until_unconnected()
        cut = core.calls_in_progress
        for connection in core.connections:
            connection.break_off()
        core.pool.close_all()
        core.report(kinds.DRAIN_ENDED, {"cut": cut})

    async def _listen(self, loop: asyncio.AbstractEventLoop, core: EdgeCore) -> None:
        for listener, address in self._addresses.items():
            host, _, port = address.rpartition(":")

            def accept(listener: Listener = listener) -> CallerConnection:
                return CallerConnection(core, listener)

            server = await loop.create_server(
                accept, host.strip("[]"), int(port), backlog=LISTEN_BACKLOG
            )
            self._servers.append(server)
            core.report(kinds.LISTENING, {"listener": listener.value, "address": address})

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.core.sweep()

    def _note_membership(self, *_changes: object) -> None:
        self.core.note_membership()
        self._membership_changed.set()

    async def _follow_membership(self) -> None:
        while True:
            await self._membership_changed.wait()
            await anyio.sleep(COALESCE_S)
            self._membership_changed = anyio.Event()
            self.core.update_upstreams()

    def _find_claim_guard(self) -> ClaimGuard | None:
        if not self._kernel.is_registered("claims"):
            return None
        return self._kernel.find("claims", ClaimGuard)  # type: ignore[type-abstract]

    def _find_crash_guard(self) -> CrashGuard | None:
        if not self._kernel.is_registered("crashes"):
            return None
        return self._kernel.find("crashes", CrashGuard)  # type: ignore[type-abstract]


def _relieve_collector() -> None:
    """Keep the collector off modules, which live as long as the process, and off the hot path."""
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
