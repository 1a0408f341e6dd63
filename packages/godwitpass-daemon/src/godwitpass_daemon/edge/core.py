"""What the connections of one daemon share: routing table, dispatchers, calls, pool."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable

import anyio

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import ServiceName
from godwitpass.internal.actions import RecordEvent, SetTimer
from godwitpass.internal.admission.quota import CallQuota
from godwitpass.internal.balancing.subset import plan_idle_seconds
from godwitpass.internal.calls import events as kinds
from godwitpass.internal.calls.dispatcher import Dispatcher, DaemonLocation
from godwitpass.internal.calls.messages import (
    CallerKey,
    AttemptId,
    AttemptEnded,
    Event,
    RefuseAttempt,
    AttemptResult,
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
from godwitpass_daemon.edge.callers import CallerConnection
from godwitpass_daemon.edge.calls import Call
from godwitpass_daemon.edge.guards import ClaimGuard, CrashGuard
from godwitpass_daemon.edge.heads import RequestHead
from godwitpass_daemon.edge.limits import LONGEST_IDLE_S, MAX_CALLER_CONNECTIONS
from godwitpass_daemon.edge.statistics import EdgeStatistics
from godwitpass_daemon.edge.upstreams import ConnectionPool

ListUpstreams = Callable[[ServiceName], tuple[Upstream, ...]]
CountDaemons = Callable[[], int]
EmitEvent = Callable[[EventKind, dict[str, FieldValue]], None]


class EdgeCore:
    """Carries out what the dispatchers decide; everything runs on one loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        place: DaemonLocation,
        rng: random.Random,
        list_upstreams: ListUpstreams,
        count_daemons: CountDaemons,
        emit: EmitEvent,
    ) -> None:
        self.loop = loop
        self.now = time.monotonic  # the loop's own time has a resolution of 1 ms
        self.pool = ConnectionPool(loop)
        self.statistics = EdgeStatistics()
        self.claim_guard: ClaimGuard | None = None
        self.crash_guard: CrashGuard | None = None
        self.draining = False
        self.report = emit
        self._place = place
        self._rng = rng
        self._list_upstreams = list_upstreams
        self._count_daemons = count_daemons
        self._table: RoutingTable | None = None
        self._dispatchers: dict[ServiceName, Dispatcher] = {}
        self._outdated: set[ServiceName] = set()
        self._quota = CallQuota()
        self._calls: set[Call] = set()
        self._attempts: dict[AttemptId, Attempt] = {}
        self._connections: dict[Listener, set[CallerConnection]] = {
            listener: set() for listener in Listener
        }
        self._unconnected = anyio.Event()
        self._numbers = 0
        self._token_prefix = secrets.token_hex(6)

    @property
    def calls_in_progress(self) -> int:
        """Calls that have no answer yet."""
        return len(self._calls)

    @property
    def connections(self) -> list[CallerConnection]:
        """The open connections of callers."""
        return [found for open_ones in self._connections.values() for found in open_ones]

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Let new calls follow `snapshot`; calls in progress keep the table they began with."""
        table = compile_table(snapshot)
        if self._table is not None and table.version < self._table.version:
            return
        self._table = table
        kept = {name: found for name, found in self._dispatchers.items() if name in table.services}
        self._dispatchers = kept
        self._outdated.intersection_update(kept)
        for name in kept:
            self._update_upstreams(name)
        self.report(kinds.TABLE_COMPILED, {"routes_version": table.version})

    def note_membership(self) -> None:
        """Take changed membership in before the next call, or with `update_upstreams`."""
        self._outdated = set(self._dispatchers)

    def update_upstreams(self) -> None:
        """Take in changed membership, for the services that calls went to so far."""
        for name in list(self._outdated):
            self._update_upstreams(name)

    def admit(
        self,
        connection: CallerConnection,
        listener: Listener,
        caller: CallerKey,
        head: RequestHead,
    ) -> CompiledRoute | Reason:
        """Return the route of a request, or why it isn't begun; counts it when it is."""
        table = self._table
        if table is None:
            return Reason.NO_CONFIGURATION
        found = table.find(head.target, head.method, listener)
        if isinstance(found, Mismatch):
            return Reason.METHOD if found is Mismatch.METHOD else Reason.NO_ROUTE
        if not self._quota.take(found.service.name):
            return Reason.OVERLOADED
        return found

    def create_call(
        self,
        connection: CallerConnection,
        caller: CallerKey,
        head: RequestHead,
        body: RequestBody,
        route: CompiledRoute,
    ) -> Call:
        """Create the call of an admitted request."""
        name = route.service.name
        dispatcher = self._dispatchers.get(name)
        if dispatcher is None:
            dispatcher = self._dispatchers[name] = Dispatcher(name, self._place, self._rng)
            self._update_upstreams(name)
        elif name in self._outdated:
            self._update_upstreams(name)
        call = Call(self, connection, caller, head, body, route, dispatcher)
        self._calls.add(call)
        return call

    def end_call(self, call: Call) -> None:
        """Forget a call that ended."""
        self._calls.remove(call)
        self._quota.give_back(call.route.service.name)

    def create_number(self) -> AttemptId:
        """Return a number that no other attempt of this process has."""
        self._numbers += 1
        return AttemptId(self._numbers)

    def create_token(self, number: AttemptId) -> bytes:
        """Return the name of an attempt that no other attempt anywhere has."""
        return f"{self._token_prefix}{number:x}".encode()

    def register(self, attempt: Attempt) -> None:
        """Expect the dispatcher's decision about `attempt`."""
        self._attempts[attempt.number] = attempt

    def forget(self, attempt: Attempt) -> None:
        """Expect no decision any more."""
        self._attempts.pop(attempt.number, None)

    def dispatch(self, dispatcher: Dispatcher, event: Event) -> None:
        """Give an event to a dispatcher and carry its actions out."""
        for action in dispatcher.handle(event, self.now()):
            match action:
                case StartAttempt():
                    self._start(dispatcher, action)
                case RefuseAttempt():
                    self._refuse(action)
                case SetTimer():
                    self.loop.call_at(action.at, self.dispatch, dispatcher, Tick())
                case RecordEvent():
                    self.report(action.kind, action.fields)

    def _start(self, dispatcher: Dispatcher, action: StartAttempt) -> None:
        attempt = self._attempts.pop(action.call, None)
        if attempt is None:
            # Its call ended while an earlier action of the same batch was carried out.
            self.dispatch(dispatcher, AttemptEnded(action.call, AttemptResult.CANCELLED, 0.0))
        else:
            attempt.start(action.upstream)

    def _refuse(self, action: RefuseAttempt) -> None:
        attempt = self._attempts.pop(action.call, None)
        if attempt is not None:
            attempt.call.refuse_attempt(attempt, action.reason, action.retry_after_s)

    def add_connection(self, connection: CallerConnection, listener: Listener) -> bool:
        """Count a caller's connection; False when there are too many."""
        self._connections[listener].add(connection)
        return len(self._connections[listener]) <= MAX_CALLER_CONNECTIONS

    def remove_connection(self, connection: CallerConnection, listener: Listener) -> None:
        """Forget a caller's connection."""
        self._connections[listener].discard(connection)
        if not any(self._connections.values()):
            self._unconnected.set()

    async def wait_until_unconnected(self) -> None:
        """Wait until no caller is connected."""
        if any(self._connections.values()):
            self._unconnected = anyio.Event()
            await self._unconnected.wait()

    def sweep(self) -> None:
        """Look for transfers, heads and idle connections that took too long."""
        now = self.now()
        for call in list(self._calls):
            call.sweep(now)
        for connection in self.connections:
            connection.sweep(now)
        self.pool.close_idle(now)

    def count(self, outcome: str) -> None:
        """Count one event of the statistics."""
        self.statistics.counts[outcome] += 1

    def record_answer(self, arrived_at: float) -> None:
        """Record a whole answer."""
        self.statistics.record_answer(self.now() - arrived_at)

    def _update_upstreams(self, name: ServiceName) -> None:
        assert self._table is not None
        self._outdated.discard(name)
        upstreams = self._list_upstreams(name)
        daemons = self._count_daemons()
        connections = self._table.services[name].connections
        idle_s = plan_idle_seconds(len(upstreams), daemons, connections, LONGEST_IDLE_S)
        for upstream in upstreams:
            self.pool.set_idle_limit(upstream.address, idle_s)
        changed = UpstreamsChanged(upstreams, daemons, connections)
        self.dispatch(self._dispatchers[name], changed)
