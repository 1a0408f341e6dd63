"""The relay as a service of the kernel: listeners for callers and for other daemons."""

import asyncio
import gc
import random

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address, InstanceId, ServiceName, ZoneId
from godwitpass.internal.relay import events as kinds
from godwitpass.internal.relay.retry_budget import RetryBudgetSettings
from godwitpass.internal.relay.registration import Deregistration, Heartbeat, Verdict
from godwitpass_daemon.admin.metrics import render_metrics
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.listeners import split_address
from godwitpass_daemon.relay.core import RelayCore
from godwitpass_daemon.relay.headers import HeaderNames
from godwitpass_daemon.relay.upstream_runner import Host
from godwitpass_daemon.relay.ingress import CallerConnection
from godwitpass_daemon.relay.limits import SWEEP_INTERVAL_S
from godwitpass_daemon.relay.metrics import collect_relay
from godwitpass_daemon.relay.probe import probe_upstream
from godwitpass_daemon.relay.inbound_peers import Reception
from godwitpass_daemon.services.distribution import DistributionService
from godwitpass_daemon.services.membership import MembershipService

LISTEN_BACKLOG = 1024
COLLECTOR_THRESHOLDS = (20_000, 20, 50)
"""Allocations between collections of each generation; the defaults collect every few calls."""

UNREADY_PROBES_S = 2.2
"""Callers go elsewhere after two failed readiness checks, a second apart."""

STOP_MARGIN_S = 0.7
"""The calls must have ended this much before the grace is over; the rest takes 0.4 s."""

TAKE_WHILE_STOPPING_S = 3.0
"""Later calls might not end within the grace, so they are refused and go elsewhere."""

MAX_TAKE_SHARE = 0.5
"""The same as a share of the grace, for deployments with a short one."""

ACCEPT_WHILE_STOPPING_S = 1.0
"""Time in which a stopping daemon still lets its upstream run calls of other daemons."""

DRAIN_POLL_S = 0.05
FEWEST_SLOTS = 4
"""Slots of an upstream that has not told how many it has, where no other of its service has."""


class RelaySettings(msgspec.Struct, frozen=True):
    """What the deployment asks of the relay; durations in seconds.

    `upstream` is where the upstream beside the daemon listens, `drain_s` how long a leaving one
    still takes calls, `grace_s` the time between the request to stop and the end of the process,
    `bytes_per_s` the rate of the instance's link.
    """

    callers: Address
    peers: Address
    instance: InstanceId
    zone: ZoneId
    service: ServiceName
    upstream: Address
    drain_s: float
    grace_s: float
    bytes_per_s: float
    budget: RetryBudgetSettings


class RelayService:
    """Takes calls of callers, hands them to other daemons and runs those handed over."""

    def __init__(
        self,
        terms: RelaySettings,
        names: HeaderNames,
        distribution: DistributionService,
        membership: MembershipService,
        events: EventLog,
    ) -> None:
        self._terms = terms
        self._names = names
        self._distribution = distribution
        self._membership = membership
        self._events = events
        self._servers: list[asyncio.Server] = []
        self._core: RelayCore | None = None
        self._silent = False

    @property
    def core(self) -> RelayCore:
        """The shared state; exists once the service was started."""
        assert self._core is not None, "start the service first"
        return self._core

    @property
    def is_started(self) -> bool:
        """Whether heartbeats can be taken."""
        return self._core is not None

    @property
    def is_ready(self) -> bool:
        """Whether calls can be taken: a configuration is held and the daemon goes on."""
        core = self._core
        return core is not None and core.table is not None and not core.stopping

    async def start(self, tasks: TaskGroup) -> None:
        """Open the listeners; calls are refused until a configuration is held."""
        loop = asyncio.get_running_loop()
        terms = self._terms

        def emit(kind: EventKind, fields: dict[str, FieldValue]) -> None:
            self._events.emit(kind, **fields)

        host = Host(self._names, loop.time, emit, terms.drain_s, terms.bytes_per_s)
        core = RelayCore(
            loop,
            host,
            terms.instance,
            terms.zone,
            self._names,
            terms.budget,
            random.Random(),
            self._membership.upstreams,
            lambda: max(1, len(self._membership.members())),
            emit,
        )
        core.caller_service = terms.service.encode()
        self._core = core
        snapshot = self._distribution.snapshot()
        if snapshot is not None:
            core.apply_snapshot(snapshot)
        self._distribution.subscribe(core.apply_snapshot)
        self._membership.subscribe(core.update_upstreams)
        await self._listen(loop, core)
        gc.freeze()
        gc.set_threshold(*COLLECTOR_THRESHOLDS)
        tasks.start_soon(self._sweep)
        tasks.start_soon(self._identify_upstream)

    async def stop(self) -> None:
        """Let callers and other daemons go elsewhere, finish calls in progress, then close."""
        core = self.core
        loop = asyncio.get_running_loop()
        began = loop.time()
        core.stopping = True
        self._events.emit(
            kinds.RELAY_DRAINING, calls=core.exchanges, jobs=core.host.jobs_in_progress
        )
        grace_s = self._terms.grace_s
        end = began + grace_s - STOP_MARGIN_S
        refuse_at = began + min(TAKE_WHILE_STOPPING_S, MAX_TAKE_SHARE * grace_s)
        while loop.time() < end:
            if not core.host.stopping and loop.time() - began > ACCEPT_WHILE_STOPPING_S:
                self._withdraw(core)
            core.refusing = loop.time() >= refuse_at
            busy = core.exchanges or core.host.jobs_in_progress
            if not busy and loop.time() - began > UNREADY_PROBES_S:
                break
            await anyio.sleep(DRAIN_POLL_S)
        for server in self._servers:
            server.close()
        cut = core.exchanges
        core.refusing = True
        for caller in list(core.callers):
            caller.close_if_idle()
        core.close_links()
        for reception in list(core.receptions):
            reception.close()
        core.host.pool.close_all()
        self._events.emit(kinds.RELAY_DRAINED, cut=cut)

    def _withdraw(self, core: RelayCore) -> None:
        """Let other daemons hand nothing more to this one."""
        core.host.stopping = True
        self._membership.announce_draining()
        for reception in list(core.receptions):
            reception.announce_leaving()

    def apply_settings(self, terms: RelaySettings) -> None:
        """Use new times and budgets from now on; addresses and names need a restart."""
        previous = self._terms
        self._terms = msgspec.structs.replace(
            previous, drain_s=terms.drain_s, grace_s=terms.grace_s, budget=terms.budget
        )
        core = self.core
        core.host.drain_s = terms.drain_s
        core.apply_budget(terms.budget)
        wanted = msgspec.structs.asdict(terms)
        held = msgspec.structs.asdict(self._terms)
        waiting = sorted(name for name, value in wanted.items() if value != held[name])
        self._events.emit(
            kinds.SETTINGS_RELOADED,
            changed=self._terms != previous,
            needs_restart=",".join(waiting),
        )

    def report_invalid_settings(self, reason: str) -> None:
        """Log that changed settings can't be used."""
        self._events.emit(kinds.SETTINGS_REFUSED, reason=reason)

    def render_metrics(self) -> str:
        """Return the metrics as text."""
        return render_metrics(collect_relay(self.core, self._events))

    def apply_heartbeat(self, heartbeat: Heartbeat) -> Verdict:
        """Take in what the upstream beside this daemon says of itself."""
        core = self.core
        registration = core.host.registration
        before = (registration.current and registration.current.upstream, registration.state)
        verdict = registration.take(heartbeat, core.now())
        if verdict is not Verdict.TAKEN:
            self._events.emit(
                kinds.HEARTBEAT_DROPPED, upstream=heartbeat.upstream, reason=verdict.value
            )
            return verdict
        core.caller_service = heartbeat.service.encode()
        core.host.note_registration()
        self._announce()
        if before != (heartbeat.upstream, registration.state):
            self._events.emit(
                kinds.UPSTREAM_REGISTERED,
                upstream=heartbeat.upstream,
                service=heartbeat.service,
                state=registration.state.name.lower(),
                slots=heartbeat.slots,
                sequence=heartbeat.sequence,
                started_ms=heartbeat.started_ms,
            )
        return verdict

    def apply_deregistration(self, departure: Deregistration) -> Verdict:
        """Take in that an upstream leaves."""
        core = self.core
        verdict = core.host.registration.depart(departure, core.now())
        self._events.emit(
            kinds.UPSTREAM_DRAINING, upstream=departure.upstream, verdict=verdict.value
        )
        self._announce()
        return verdict

    def report_invalid_heartbeat(self, reason: str) -> None:
        """Log a heartbeat that names no upstream to use."""
        self._events.emit(kinds.HEARTBEAT_DROPPED, upstream="", reason=reason)

    def _announce(self) -> None:
        registration = self.core.host.registration
        current = registration.current
        if current is not None and not self.core.stopping:
            self._membership.announce(registration.state, current.slots, current.service)

    async def _listen(self, loop: asyncio.AbstractEventLoop, core: RelayCore) -> None:
        terms = self._terms
        for address, build in (
            (terms.callers, lambda: CallerConnection(core)),
            (terms.peers, lambda: Reception(core.host, core.receptions)),
        ):
            ip, port = split_address(address)
            server = await loop.create_server(build, ip, port, backlog=LISTEN_BACKLOG)
            self._servers.append(server)
        self._events.emit(kinds.RELAY_LISTENING, callers=terms.callers, peers=terms.peers)

    async def _identify_upstream(self) -> None:
        """Learn who the upstream is, unless a heartbeat tells before."""
        core, terms = self.core, self._terms
        while core.table is None:  # noqa: ASYNC110 - the table is no event
            await anyio.sleep(DRAIN_POLL_S)
        service = core.table.services.get(terms.service)
        if core.host.registration.current is not None or service is None:
            return
        if not service.health_path:
            return
        core.host.pool.set_address(terms.upstream)
        health = await probe_upstream(core.host.pool, service.health_path, terms.upstream)
        if health is None or core.host.registration.current is not None:
            return
        core.host.registration.doubted = not health.well
        if not health.well or not health.upstream:
            return
        known = [upstream.slots for upstream in self._membership.upstreams(terms.service)]
        slots = min(known, default=FEWEST_SLOTS)
        # Any heartbeat of the upstream is newer than this.
        self.apply_heartbeat(
            Heartbeat(
                InstanceId(health.upstream), terms.service, terms.upstream, slots, False, 0, 0
            )
        )

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.core.sweep()
            silent = self.core.host.is_silent()
            if silent and not self._silent:
                self._events.emit(kinds.UPSTREAM_SILENT)
            self._silent = silent
