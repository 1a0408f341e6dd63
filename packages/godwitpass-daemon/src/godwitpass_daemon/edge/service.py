"""Kernel service of the edge: one listener for outside callers, one for callers in the mesh."""

import asyncio
import gc
import random
from collections.abc import Callable, Sequence
from typing import Protocol, runtime_checkable

import anyio
from anyio.abc import TaskGroup

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address, ServiceName
from godwitpass.internal.calls import events as call_events
from godwitpass.internal.calls.dispatcher import DaemonLocation
from godwitpass.internal.routing.table import Listener
from godwitpass.mesh import Member, Upstream
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.edge.callers import CallerConnection
from godwitpass_daemon.edge.core import EdgeCore
from godwitpass_daemon.edge.guards import ClaimGuard, CrashGuard
from godwitpass_daemon.edge.limits import TIMEOUT_CHECK_INTERVAL_S
from godwitpass_daemon.kernel import Kernel
from godwitpass_daemon.resources import Resources

DEFAULT_GRACE_S = 30.0
MEMBERSHIP_BATCH_DELAY_S = 0.05
"""Membership changes within this time are processed together."""

MAX_LISTEN_BACKLOG = 512
DEFAULT_RESOURCES = Resources()
GC_THRESHOLDS = (20_000, 20, 50)
"""Thresholds of each generation for `gc.set_threshold`; the defaults collect every few calls."""


@runtime_checkable
class Distribution(Protocol):
    """The part of the kernel service "distribution" that the edge uses."""

    def snapshot(self) -> Snapshot | None:
        """Return the snapshot in force, None while there is none."""
        ...

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Call `callback` with each later snapshot."""
        ...


@runtime_checkable
class Membership(Protocol):
    """The part of the kernel service "membership" that the edge uses."""

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
    """The part of the kernel service "events" that the edge uses."""

    def emit(self, kind: EventKind, **fields: FieldValue) -> None:
        """Record an event."""
        ...


class EdgeService:
    """Serves calls from outside the mesh on `outer` and from inside on `inner`.

    `grace_s` bounds how long `stop` waits for calls in progress.
    """

    def __init__(
        self,
        kernel: Kernel,
        outer: Address,
        inner: Address,
        location: DaemonLocation,
        grace_s: float = DEFAULT_GRACE_S,
        resources: Resources = DEFAULT_RESOURCES,
    ) -> None:
        self._kernel = kernel
        self._addresses = {Listener.OUTER: outer, Listener.INNER: inner}
        self._location = location
        self._grace_s = grace_s
        self._resources = resources
        self._servers: list[asyncio.Server] = []
        self._core: EdgeCore | None = None
        self._membership_changed = anyio.Event()

    @property
    def core(self) -> EdgeCore:
        """The shared state; available after `start`."""
        assert self._core is not None, "start the service first"
        return self._core

    @property
    def bound_addresses(self) -> tuple[Address, Address]:
        """The outer and inner addresses in use, with the ports chosen by the system."""
        outer, inner = (server.sockets[0].getsockname() for server in self._servers)
        return Address(f"{outer[0]}:{outer[1]}"), Address(f"{inner[0]}:{inner[1]}")

    async def start(self, tasks: TaskGroup) -> None:
        """Open both listeners; until there is a snapshot, calls are refused as not run."""
        distribution = self._kernel.find("distribution", Distribution)  # type: ignore[type-abstract]
        membership = self._kernel.find("membership", Membership)  # type: ignore[type-abstract]
        events = self._kernel.find("events", Events)  # type: ignore[type-abstract]
        loop = asyncio.get_running_loop()
        core = EdgeCore(
            loop,
            self._location,
            random.Random(self._location.instance),
            list_upstreams=lambda service: tuple(membership.upstreams(service)),
            count_daemons=lambda: max(1, len(membership.members())),
            emit=lambda kind, fields: events.emit(kind, **fields),
            resources=self._resources,
        )
        self._core = core
        core.claim_guard = self._find_claim_guard()
        core.crash_guard = self._find_crash_guard()
        snapshot = distribution.snapshot()
        if snapshot is not None:
            core.apply_snapshot(snapshot)
        distribution.subscribe(core.apply_snapshot)
        membership.subscribe(self._handle_membership_change)
        await self._listen(loop, core)
        _configure_garbage_collector()
        tasks.start_soon(self._check_timeouts)
        tasks.start_soon(self._refresh_upstreams_on_change)

    async def stop(self) -> None:
        """Close the listeners, wait up to `grace_s` for calls in progress, then abort the rest."""
        core = self.core
        core.is_draining = True
        core.emit(call_events.DRAIN_STARTED, {"calls": core.calls_in_progress})
        for server in self._servers:
            server.close()
        for connection in core.connections:
            connection.close_if_idle()
        with anyio.move_on_after(self._grace_s):
            await core.wait_until_disconnected()
        aborted_calls = core.calls_in_progress
        for connection in core.connections:
            connection.abort()
        core.pool.close_all()
        core.emit(call_events.DRAIN_ENDED, {"cut": aborted_calls})

    async def _listen(self, loop: asyncio.AbstractEventLoop, core: EdgeCore) -> None:
        for listener, address in self._addresses.items():
            host, _, port = address.rpartition(":")

            def accept(listener: Listener = listener) -> CallerConnection:
                return CallerConnection(core, listener)

            # The event loop accepts the whole backlog before one above the bound is closed.
            backlog = min(MAX_LISTEN_BACKLOG, self._resources.caller_connections)
            server = await loop.create_server(accept, host.strip("[]"), int(port), backlog=backlog)
            self._servers.append(server)
            core.emit(call_events.LISTENING, {"listener": listener.value, "address": address})

    async def _check_timeouts(self) -> None:
        while True:
            await anyio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            self.core.check_timeouts()

    def _handle_membership_change(self, *_changes: object) -> None:
        self.core.mark_upstreams_stale()
        self._membership_changed.set()

    async def _refresh_upstreams_on_change(self) -> None:
        while True:
            await self._membership_changed.wait()
            await anyio.sleep(MEMBERSHIP_BATCH_DELAY_S)
            self._membership_changed = anyio.Event()
            self.core.refresh_stale_upstreams()

    def _find_claim_guard(self) -> ClaimGuard | None:
        if not self._kernel.is_registered("claims"):
            return None
        return self._kernel.find("claims", ClaimGuard)  # type: ignore[type-abstract]

    def _find_crash_guard(self) -> CrashGuard | None:
        if not self._kernel.is_registered("crashes"):
            return None
        return self._kernel.find("crashes", CrashGuard)  # type: ignore[type-abstract]


def _configure_garbage_collector() -> None:
    """Exclude loaded modules, which are never freed, and collect less often to speed up calls."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
