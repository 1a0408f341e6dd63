"""State shared by all connections: routing table, dispatchers, calls and connection pool."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable

import anyio

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import ServiceName
from godwitpass.internal.actions import RecordEvent, SetTimer
from godwitpass.internal.admission.concurrency_limit import ConcurrencyLimit
from godwitpass.internal.balancing.highest_count import HighestCount
from godwitpass.internal.balancing.subset import compute_idle_timeout_s
from godwitpass.internal.calls import events
from godwitpass.internal.calls.dispatcher import DaemonLocation, Dispatcher
from godwitpass.internal.calls.messages import (
    AttemptEnded,
    AttemptId,
    AttemptResult,
    CallerKey,
    Event,
    RefuseAttempt,
    StartAttempt,
    Tick,
    UpstreamsChanged,
)
from godwitpass.internal.calls.outcomes import Reason
from godwitpass.internal.routing.table import (
    CompiledRoute,
    Listener,
    Mismatch,
    RoutingTable,
    compile_table,
)
from godwitpass.mesh import Upstream
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.edge.attempts import Attempt
from godwitpass_daemon.edge.bodies import RequestBody
from godwitpass_daemon.edge.buffer_budget import BufferBudget
from godwitpass_daemon.edge.callers import CallerConnection
from godwitpass_daemon.edge.calls import Call
from godwitpass_daemon.edge.guards import ClaimGuard, CrashGuard
from godwitpass_daemon.edge.heads import RequestHead
from godwitpass_daemon.edge.limits import (
    MAX_UPSTREAM_IDLE_S,
    RECEIVE_BUFFER_BYTES,
    TIMEOUT_CHECK_INTERVAL_S,
)
from godwitpass_daemon.edge.parsing_turns import ParsingTurns
from godwitpass_daemon.edge.statistics import EdgeStatistics
from godwitpass_daemon.edge.stopped_clients import StoppedClients, StopReason
from godwitpass_daemon.edge.upstreams import ConnectionPool
from godwitpass_daemon.resources import Resources

ListUpstreams = Callable[[ServiceName], tuple[Upstream, ...]]
CountDaemons = Callable[[], int]
EmitEvent = Callable[[EventKind, dict[str, FieldValue]], None]

DAEMON_HOLD_S = 60.0
"""Time for which daemons that are out of sight still count.

Those beyond a partition keep their connections to the upstreams.
"""


class EdgeCore:
    """Holds the state of the edge and performs the actions of the dispatchers.

    Not thread-safe: it runs on one event loop.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        location: DaemonLocation,
        rng: random.Random,
        list_upstreams: ListUpstreams,
        count_daemons: CountDaemons,
        emit: EmitEvent,
        resources: Resources,
    ) -> None:
        self.loop = loop
        self.now = time.monotonic  # the event loop's clock has a resolution of 1 ms
        self.pool = ConnectionPool(loop)
        self.statistics = EdgeStatistics()
        self.claim_guard: ClaimGuard | None = None
        self.crash_guard: CrashGuard | None = None
        self.is_draining = False
        self.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.emit = emit
        self.stopped_clients = StoppedClients(self._report_stop)
        self.turns = ParsingTurns(loop, self.now)
        self.buffers = BufferBudget(resources.buffer_bytes, lambda: self.connections)
        self._max_connections = resources.caller_connections
        self._location = location
        self._rng = rng
        self._list_upstreams = list_upstreams
        self._count_daemons = count_daemons
        self._daemon_count = HighestCount(DAEMON_HOLD_S)
        self._table: RoutingTable | None = None
        self._dispatchers: dict[ServiceName, Dispatcher] = {}
        self._stale_services: set[ServiceName] = set()
        self._concurrency_limit = ConcurrencyLimit()
        self._calls: set[Call] = set()
        self._attempts: dict[AttemptId, Attempt] = {}
        self._last_check_at = self.now()
        self._connections: dict[Listener, set[CallerConnection]] = {
            listener: set() for listener in Listener
        }
        self._all_disconnected = anyio.Event()
        self._last_attempt_id = 0
        self._global_id_prefix = secrets.token_hex(6)

    @property
    def calls_in_progress(self) -> int:
        """Number of calls started and not ended."""
        return len(self._calls)

    @property
    def connections(self) -> list[CallerConnection]:
        """The open connections of callers."""
        return [
            connection for connections in self._connections.values() for connection in connections
        ]

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Use `snapshot` for new calls; calls in progress keep the table they started with.

        A snapshot older than the current one is ignored.
        """
        table = compile_table(snapshot)
        if self._table is not None and table.version < self._table.version:
            return
        self._table = table
        kept_dispatchers = {
            name: dispatcher
            for name, dispatcher in self._dispatchers.items()
            if name in table.services
        }
        self._dispatchers = kept_dispatchers
        self._stale_services.intersection_update(kept_dispatchers)
        for name in kept_dispatchers:
            self._refresh_upstreams(name)
        self.emit(events.TABLE_COMPILED, {"routes_version": table.version})

    def mark_upstreams_stale(self) -> None:
        """Mark the upstreams of all services as stale; a service's next call refreshes its own."""
        self._stale_services = set(self._dispatchers)

    def refresh_stale_upstreams(self) -> None:
        """Refresh the upstreams that are still marked as stale."""
        for name in list(self._stale_services):
            self._refresh_upstreams(name)

    def admit(
        self,
        connection: CallerConnection,
        listener: Listener,
        caller: CallerKey,
        head: RequestHead,
    ) -> CompiledRoute | Reason:
        """Return the route of a request, or the reason to refuse it; an admitted one is counted."""
        table = self._table
        if table is None:
            return Reason.NO_CONFIGURATION
        route = table.find_route(head.target, head.method, listener)
        if isinstance(route, Mismatch):
            return Reason.METHOD if route is Mismatch.METHOD else Reason.NO_ROUTE
        if not self._concurrency_limit.acquire(route.service.name):
            return Reason.OVERLOADED
        return route

    def create_call(
        self,
        connection: CallerConnection,
        caller: CallerKey,
        head: RequestHead,
        body: RequestBody,
        route: CompiledRoute,
    ) -> Call:
        """Create the call of an admitted request, and the service's dispatcher if needed."""
        name = route.service.name
        dispatcher = self._dispatchers.get(name)
        if dispatcher is None:
            dispatcher = self._dispatchers[name] = Dispatcher(name, self._location, self._rng)
            self._refresh_upstreams(name)
        elif name in self._stale_services:
            self._refresh_upstreams(name)
        call = Call(self, connection, caller, head, body, route, dispatcher)
        self._calls.add(call)
        return call

    def remove_call(self, call: Call) -> None:
        """Remove an ended call and count it no longer."""
        self._calls.remove(call)
        self._concurrency_limit.release(call.route.service.name)

    def create_attempt_id(self) -> AttemptId:
        """Return an attempt id that is unique within this process."""
        self._last_attempt_id += 1
        return AttemptId(self._last_attempt_id)

    def create_global_attempt_id(self, attempt_id: AttemptId) -> bytes:
        """Return an attempt id that is unique among all daemons."""
        return f"{self._global_id_prefix}{attempt_id:x}".encode()

    def register_attempt(self, attempt: Attempt) -> None:
        """Register `attempt` for the dispatcher's decision."""
        self._attempts[attempt.attempt_id] = attempt

    def unregister_attempt(self, attempt: Attempt) -> None:
        """Ignore any later decision about `attempt`."""
        self._attempts.pop(attempt.attempt_id, None)

    def dispatch(self, dispatcher: Dispatcher, event: Event) -> None:
        """Pass an event to a dispatcher and perform the resulting actions."""
        for action in dispatcher.handle(event, self.now()):
            match action:
                case StartAttempt():
                    self._start(dispatcher, action)
                case RefuseAttempt():
                    self._refuse(action)
                case SetTimer():
                    self.loop.call_at(action.at, self.dispatch, dispatcher, Tick())
                case RecordEvent():
                    self.emit(action.kind, action.fields)

    def _start(self, dispatcher: Dispatcher, action: StartAttempt) -> None:
        attempt = self._attempts.pop(action.attempt_id, None)
        if attempt is None:
            # The call ended while an earlier action of the same batch was performed.
            self.dispatch(dispatcher, AttemptEnded(action.attempt_id, AttemptResult.CANCELLED, 0.0))
        else:
            attempt.start(action.upstream)

    def _refuse(self, action: RefuseAttempt) -> None:
        attempt = self._attempts.pop(action.attempt_id, None)
        if attempt is not None:
            attempt.call.refuse_attempt(attempt, action.reason, action.retry_after_s)

    def add_connection(self, connection: CallerConnection, listener: Listener) -> bool:
        """Add a caller's connection; return False if there are too many to add one.

        Beyond the bound, the connection without a call that made no progress for longest is closed.
        """
        connections = self._connections
        if sum(len(others) for others in connections.values()) >= self._max_connections:
            unused = [other for other in self.connections if other.is_unused]
            if not unused:
                connection.record_stop(StopReason.CONNECTIONS)
                return False
            longest_unused = min(unused, key=lambda other: (not other.is_idle, other.progress_at))
            longest_unused.record_stop(StopReason.IDLE)
            longest_unused.abort()
            for others in connections.values():
                others.discard(longest_unused)
        connections[listener].add(connection)
        return True

    def remove_connection(self, connection: CallerConnection, listener: Listener) -> None:
        """Remove a caller's connection."""
        self._connections[listener].discard(connection)
        if not any(self._connections.values()):
            self._all_disconnected.set()

    async def wait_until_disconnected(self) -> None:
        """Wait until no caller is connected."""
        if any(self._connections.values()):
            self._all_disconnected = anyio.Event()
            await self._all_disconnected.wait()

    def check_timeouts(self) -> None:
        """Time out transfers, request heads and idle connections."""
        now = self.now()
        late_s = max(0.0, now - self._last_check_at - TIMEOUT_CHECK_INTERVAL_S)
        self._last_check_at = now
        for call in list(self._calls):
            call.check_timeouts(now, late_s)
        for connection in self.connections:
            connection.check_timeouts(now)
        self.pool.close_expired(now)

    def _report_stop(self, caller: CallerKey, reason: StopReason) -> None:
        self.emit(events.CLIENT_STOPPED, {"caller": str(caller), "reason": reason.value})

    def count(self, outcome: str) -> None:
        """Count a call or a hedge under the label `outcome`."""
        self.statistics.counts[outcome] += 1

    def record_response(self, arrived_at: float) -> None:
        """Record a complete response to a call that arrived at `arrived_at`."""
        self.statistics.record_response(self.now() - arrived_at)

    def _refresh_upstreams(self, name: ServiceName) -> None:
        assert self._table is not None
        self._stale_services.discard(name)
        upstreams = self._list_upstreams(name)
        daemons = self._daemon_count.update(self._count_daemons(), self.now())
        connections = self._table.services[name].connections
        idle_s = compute_idle_timeout_s(len(upstreams), daemons, connections, MAX_UPSTREAM_IDLE_S)
        for upstream in upstreams:
            self.pool.set_idle_timeout(upstream.address, idle_s)
        changed = UpstreamsChanged(upstreams, daemons, connections)
        self.dispatch(self._dispatchers[name], changed)
