"""The relay as a service of the kernel, with its listeners for callers and other daemons."""

import asyncio
import gc
import random
import time
from collections.abc import Callable, Iterable

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitpass.administration import CustomersStatus
from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address, InstanceId, ServiceName, ZoneId
from godwitpass.internal.distribution.reader import RejectedDocument
from godwitpass.internal.freshness.settings import FreshnessSettings
from godwitpass.internal.quotas.settings import QuotaSettings
from godwitpass.internal.relay import events as kinds
from godwitpass.internal.relay.frames import Refusal
from godwitpass.internal.relay.registration import (
    MAX_AHEAD_MS,
    Deregistration,
    Heartbeat,
    UpdateOutcome,
    may_be_same_incarnation,
)
from godwitpass.internal.relay.retry_budget import RetryBudgetSettings
from godwitpass.internal.relay.routes import RelayTable
from godwitpass.internal.rollouts.settings import RolloutSettings
from godwitpass.mesh import UpstreamState
from godwitpass.snapshot import Snapshot
from godwitpass.store import Store
from godwitpass_daemon.admin.metrics import Metric, render_metrics
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.listeners import split_address
from godwitpass_daemon.relay.call_admission import ProofSource
from godwitpass_daemon.relay.core import RelayCore
from godwitpass_daemon.relay.crash_guard import CrashGuard
from godwitpass_daemon.relay.customers_status import build_customers_status
from godwitpass_daemon.relay.headers import HeaderNames
from godwitpass_daemon.relay.identifier import UpstreamIdentifier
from godwitpass_daemon.relay.inbound_peers import InboundPeerConnection
from godwitpass_daemon.relay.ingress import CallerConnection
from godwitpass_daemon.relay.limits import TIMEOUT_CHECK_INTERVAL_S
from godwitpass_daemon.relay.metrics import (
    ConfigurationState,
    build_identity_check_counter,
    collect_relay_metrics,
)
from godwitpass_daemon.relay.probe import Health, probe_health
from godwitpass_daemon.relay.quota_metrics import collect_quota_metrics
from godwitpass_daemon.relay.shutdown import close_caller_connections, count_unfinished
from godwitpass_daemon.relay.upstream_records import (
    UpstreamRecord,
    UpstreamRecords,
    build_claim,
    build_record,
)
from godwitpass_daemon.relay.upstream_runner import UpstreamRunner
from godwitpass_daemon.resources import DEFAULT_RESOURCES, Resources
from godwitpass_daemon.services.distribution import DistributionService
from godwitpass_daemon.services.freshness import FreshnessService
from godwitpass_daemon.services.membership import MembershipService
from godwitpass_daemon.services.quotas import QuotaService
from godwitpass_daemon.services.rollouts import RolloutsService

LISTEN_BACKLOG = 1024
GC_THRESHOLDS = (20_000, 20, 50)
"""Thresholds of the garbage collector's generations; the defaults collect every few calls."""

READINESS_PROPAGATION_S = 2.2
"""Callers use other daemons after two failed readiness checks, which are a second apart."""

SHUTDOWN_MARGIN_S = 0.7
"""Calls must end this long before the end of the grace period; closing down takes 0.4 s."""

ACCEPT_LONG_CALLS_S = 3.0
"""Time in which a stopping daemon takes calls whatever their deadline is; callers leave before."""

MAX_ACCEPT_LONG_CALLS_SHARE = 0.5
"""The same as a share of the grace period, for deployments with a short one."""

ACCEPT_PEERS_WHILE_STOPPING_S = 1.0
"""Time in which a stopping daemon still runs calls that other daemons forward."""

DRAIN_POLL_S = 0.05
MAX_IDENTIFICATION_WAIT_S = 0.1
"""Time that calls wait for the local upstream after they waited for the first configuration."""

NS_PER_MS = 1_000_000


class RelaySettings(msgspec.Struct, frozen=True):
    """Settings of the relay, with durations in seconds.

    `upstream` is the address of the local upstream, `drain_s` is how long a draining upstream still
    accepts calls, `grace_s` the time from the request to stop until the process ends, and
    `bytes_per_s` the nominal rate of the instance's link. Freshness proofs, rate limits and
    roll-outs are off while their settings are None. `extra_request_share` is the share of calls
    that may get an extra request when the first one is slow.
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
    freshness: FreshnessSettings | None = None
    quotas: QuotaSettings | None = None
    rollouts: RolloutSettings | None = None
    extra_request_share: float = 0.0


class Readiness(msgspec.Struct, frozen=True):
    """Whether a daemon takes calls, the version in force (0: none), and what it can't use.

    `rejected` is set while the newest document in the store can't be used by this daemon, which
    then stays ready with the version that it holds.
    """

    ready: bool
    version: int
    rejected: RejectedDocument | None


class RelayService:
    """Accepts calls, forwards them to other daemons and runs forwarded ones at the upstream."""

    def __init__(
        self,
        settings: RelaySettings,
        header_names: HeaderNames,
        distribution: DistributionService,
        membership: MembershipService,
        events: EventLog,
        crash_guard: CrashGuard | None = None,
        rollouts: RolloutsService | None = None,
        freshness: FreshnessService | None = None,
        quotas: QuotaService | None = None,
        store: Store | None = None,
        collect_listener_metrics: Callable[[], Iterable[Metric]] = tuple,
        resources: Resources = DEFAULT_RESOURCES,
    ) -> None:
        self._collect_listener_metrics = collect_listener_metrics
        self._resources = resources
        self._crash_guard = crash_guard
        self._rollouts = rollouts
        self._freshness = freshness
        self._quotas = quotas
        self._settings = settings
        self._header_names = header_names
        self._distribution = distribution
        self._membership = membership
        self._events = events
        self._servers: list[asyncio.Server] = []
        self._is_listening = False
        self._core: RelayCore | None = None
        self._is_upstream_silent = False
        self._identifier = UpstreamIdentifier(
            lambda: asyncio.get_running_loop().time(),
            lambda claim: bool(self._find_health_path(claim)),
            self._check_health,
            self._register,
            self._is_foreign,
            self._emit,
        )
        self._has_table = anyio.Event()
        self._records = (
            None
            if store is None
            else UpstreamRecords(
                store, settings.upstream, self._count_daemons, random.Random(), self._emit
            )
        )
        self._record: UpstreamRecord | None = None
        self._former_upstream: Heartbeat | None = None

    @property
    def core(self) -> RelayCore:
        """Return the shared state, which exists once the service is started."""
        assert self._core is not None, "start the service first"
        return self._core

    @property
    def is_started(self) -> bool:
        """Return whether heartbeats can be accepted."""
        return self._core is not None

    @property
    def is_ready(self) -> bool:
        """Return whether calls are accepted, a configuration is held and no stop is in progress."""
        core = self._core
        has_table = core is not None and core.table is not None
        return self._is_listening and has_table and not self.core.is_stopping

    def describe_readiness(self) -> Readiness:
        """Return what a readiness probe reports."""
        table = self._get_table()
        return Readiness(
            self.is_ready,
            table.version if table is not None else 0,
            self._distribution.rejected_document(),
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Open the listeners; without a configuration, calls wait briefly and are then refused."""
        loop = asyncio.get_running_loop()
        settings = self._settings
        runner = UpstreamRunner(
            self._header_names,
            loop.time,
            self._emit,
            settings.drain_s,
            settings.bytes_per_s,
            self._crash_guard,
            self._resources,
        )
        core = RelayCore(
            loop,
            runner,
            settings.instance,
            settings.zone,
            self._header_names,
            settings.budget,
            random.Random(),
            self._membership.upstreams,
            self._count_daemons,
            self._emit,
            settings.extra_request_share,
            self._resources,
        )
        core.caller_service = settings.service.encode()
        core.admission.quota_gate = self._quotas
        freshness = self._freshness
        if freshness is not None:
            core.admission.proofs = ProofSource(
                freshness.settings, freshness.compute_age, freshness.needs_always
            )
        runner.on_upstream_leaving = self._handle_leaving_response
        if self._rollouts is not None:
            runner.version_gate = self._rollouts
            self._rollouts.attach(lambda: runner.calls_in_progress, self._handle_version_change)
        self._core = core
        snapshot = self._distribution.snapshot()
        if snapshot is not None:
            self._apply_snapshot(snapshot)
        self._distribution.subscribe(self._apply_snapshot)
        self._membership.subscribe(core.update_upstreams)
        await self._listen(loop, core)
        self._is_listening = True
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        tasks.start_soon(self._check_timeouts)
        tasks.start_soon(self._identifier.run)
        tasks.start_soon(self._resume_waiting_requests)
        if self._records is not None:
            tasks.start_soon(self._read_record, self._records)
            tasks.start_soon(self._records.run)

    def _count_daemons(self) -> int:
        return max(1, len(self._membership.members()))

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        is_first = self.core.table is None
        self.core.apply_snapshot(snapshot)
        if is_first:
            self._identifier.discard_foreign_claims()
            self._has_table.set()

    async def _resume_waiting_requests(self) -> None:
        """Route the calls that wait for the first configuration, once their upstream is known."""
        await self._has_table.wait()
        with anyio.move_on_after(MAX_IDENTIFICATION_WAIT_S):
            await self._identifier.wait_until_checked()
        # Membership notifies its subscribers with a delay.
        self.core.update_upstreams()
        self.core.resume_waiting_requests()

    async def _read_record(self, records: UpstreamRecords) -> None:
        """Claim the upstream that an earlier process of this daemon has recorded."""
        record = await records.read()
        if record is None or self._identifier.is_complete:
            return
        latest_start_ms = time.time_ns() // NS_PER_MS + MAX_AHEAD_MS
        # The address may have gone to another service since.
        if record.service != self._settings.service or record.started_ms > latest_start_ms:
            return
        self._record = record
        self.apply_heartbeat(build_claim(record, self._settings.upstream))

    def _emit(self, kind: EventKind, fields: dict[str, FieldValue]) -> None:
        self._events.emit(kind, **fields)

    async def stop(self) -> None:
        """Let callers and other daemons turn to other instances, finish the calls, then close."""
        core = self.core
        loop = asyncio.get_running_loop()
        stopping_since = loop.time()
        core.is_stopping = True
        self._events.emit(kinds.RELAY_STOPPING, **msgspec.structs.asdict(count_unfinished(core)))
        grace_s = self._settings.grace_s
        core.finish_by = stopping_since + grace_s - SHUTDOWN_MARGIN_S
        core.refuse_long_at = stopping_since + min(
            ACCEPT_LONG_CALLS_S, MAX_ACCEPT_LONG_CALLS_SHARE * grace_s
        )
        while loop.time() < core.finish_by:
            if (
                not core.runner.is_stopping
                and loop.time() - stopping_since > ACCEPT_PEERS_WHILE_STOPPING_S
            ):
                self._stop_accepting_peer_calls(core)
            has_propagated = loop.time() - stopping_since > READINESS_PROPAGATION_S
            if has_propagated and count_unfinished(core).is_empty:
                break
            await anyio.sleep(DRAIN_POLL_S)
        for server in self._servers:
            server.close()
        unfinished, waited_s = count_unfinished(core), loop.time() - stopping_since
        core.is_refusing = True
        if not core.runner.is_stopping:
            self._stop_accepting_peer_calls(core)
        core.refuse_waiting_requests()
        for caller_connection in list(core.caller_connections):
            caller_connection.end_calls()
        unclosed_count = await close_caller_connections(core)
        core.close_links()
        for inbound_peer in list(core.inbound_links.connections):
            inbound_peer.close()
        core.runner.pool.close_all()
        self._events.emit(
            kinds.RELAY_STOPPED,
            cut=unfinished.calls,
            receiving=unfinished.receiving,
            waiting=unfinished.waiting,
            unsent=unfinished.unsent,
            unclosed=unclosed_count,
            waited_ms=int(waited_s * 1000),
        )

    def _stop_accepting_peer_calls(self, core: RelayCore) -> None:
        """Tell other daemons to forward no further calls to this one."""
        core.runner.is_stopping = True
        self._membership.announce_draining()
        for inbound_peer in list(core.inbound_links.connections):
            inbound_peer.send_go_away()

    def apply_settings(self, settings: RelaySettings) -> None:
        """Apply changed durations, retry budget and service; other settings need a restart."""
        previous = self._settings
        self._settings = msgspec.structs.replace(
            previous,
            drain_s=settings.drain_s,
            grace_s=settings.grace_s,
            budget=settings.budget,
            service=settings.service,
        )
        core = self._core
        # Before the start there is no core, and `start` uses the changed settings.
        if core is not None:
            if settings.service != previous.service:
                # The machine has got an upstream of another service, which has not reported yet.
                core.caller_service = settings.service.encode()
                registered = core.runner.registration.current
                is_former = registered is not None and registered.service != settings.service
                self._former_upstream = registered if is_former else None
            core.runner.drain_s = settings.drain_s
            core.set_retry_budget(settings.budget)
        requested = msgspec.structs.asdict(settings)
        current = msgspec.structs.asdict(self._settings)
        changed_names = sorted(name for name, value in requested.items() if value != current[name])
        self._events.emit(
            kinds.SETTINGS_RELOADED,
            changed=self._settings != previous,
            needs_restart=",".join(changed_names),
        )

    def report_invalid_settings(self, reason: str) -> None:
        """Log that changed settings are invalid."""
        self._events.emit(kinds.SETTINGS_REFUSED, reason=reason)

    def describe_customers(self) -> CustomersStatus:
        """Return what operators see of the customers at this daemon."""
        return build_customers_status(self.core, self._settings.instance)

    def render_metrics(self) -> str:
        """Return the metrics as text."""
        configuration = ConfigurationState(
            self._distribution.rejected_document() is not None,
            self._distribution.compute_store_age(),
            self._distribution.compute_version_lag(),
        )
        metrics = [*collect_relay_metrics(self.core, self._events, configuration)]
        metrics.append(build_identity_check_counter(self._identifier.check_counts))
        if self._quotas is not None:
            metrics += collect_quota_metrics(self._quotas)
        if self._rollouts is not None:
            metrics += self._rollouts.collect_metrics()
        metrics += self._collect_listener_metrics()
        return render_metrics(metrics)

    def apply_heartbeat(self, heartbeat: Heartbeat) -> UpdateOutcome:
        """Apply a heartbeat of the local upstream, and announce the new state."""
        if self._is_foreign(heartbeat):
            return self._drop_heartbeat(heartbeat, UpdateOutcome.FOREIGN)
        has_health_check = self._find_health_path(heartbeat) != ""
        if not self._identifier.receive(heartbeat, has_health_check):
            return self._drop_heartbeat(heartbeat, UpdateOutcome.UNCONFIRMED)
        return self._register(heartbeat)

    def _drop_heartbeat(self, heartbeat: Heartbeat, outcome: UpdateOutcome) -> UpdateOutcome:
        self._events.emit(
            kinds.HEARTBEAT_DROPPED, upstream=heartbeat.upstream, reason=outcome.value
        )
        return outcome

    def _register(self, heartbeat: Heartbeat) -> UpdateOutcome:
        """Apply a confirmed heartbeat, and announce the new state."""
        core = self.core
        registration = core.runner.registration
        previous_state = (
            registration.current and registration.current.upstream,
            registration.state,
        )
        outcome = registration.apply(heartbeat, core.now())
        if outcome is not UpdateOutcome.ACCEPTED:
            return self._drop_heartbeat(heartbeat, outcome)
        self._identifier.finish()
        self._update_record(heartbeat)
        if not self._is_of_former_upstream(heartbeat):
            self._former_upstream = None
            core.caller_service = heartbeat.service.encode()
        core.runner.apply_registration()
        if self._rollouts is not None:
            version = heartbeat.software_version or None
            self._rollouts.update_upstream(heartbeat.service, version)
        self._announce_upstream()
        if previous_state != (heartbeat.upstream, registration.state):
            self._events.emit(
                kinds.UPSTREAM_REGISTERED,
                upstream=heartbeat.upstream,
                service=heartbeat.service,
                state=registration.state.name.lower(),
                slots=heartbeat.slots,
                sequence=heartbeat.sequence,
                started_ms=heartbeat.started_ms,
            )
        return outcome

    def _is_of_former_upstream(self, heartbeat: Heartbeat) -> bool:
        """Tell whether the settings have named another service since this upstream reported."""
        former = self._former_upstream
        return former is not None and may_be_same_incarnation(former, heartbeat)

    def _update_record(self, heartbeat: Heartbeat) -> None:
        path = self._find_health_path(heartbeat)
        if self._records is not None and path:
            self._records.update(build_record(heartbeat, path))

    def _get_table(self) -> RelayTable | None:
        return self._core.table if self._core is not None else None

    def _is_foreign(self, heartbeat: Heartbeat) -> bool:
        """Tell whether a heartbeat describes no upstream that can stand beside this daemon.

        Before the first configuration, the services are not known, and nothing is registered.
        """
        host = self._settings.upstream.rpartition(":")[0]
        if heartbeat.address.rpartition(":")[0] != host:
            return True
        table = self._get_table()
        return table is not None and heartbeat.service not in table.services

    def apply_deregistration(self, deregistration: Deregistration) -> UpdateOutcome:
        """Apply the deregistration of an upstream, and announce the new state."""
        core = self.core
        self._identifier.withdraw(deregistration.upstream)
        outcome = core.runner.registration.deregister(deregistration, core.now())
        self._events.emit(
            kinds.UPSTREAM_DRAINING, upstream=deregistration.upstream, verdict=outcome.value
        )
        self._announce_upstream()
        return outcome

    def _handle_leaving_response(self) -> None:
        """Announce that the upstream leaves, as one of its responses says."""
        current = self.core.runner.registration.current
        self._events.emit(
            kinds.UPSTREAM_DRAINING,
            upstream=current.upstream if current else "",
            verdict="named in a response",
        )
        self._announce_upstream()

    def report_invalid_heartbeat(self, reason: str) -> None:
        """Log a heartbeat that can't be used."""
        self._events.emit(kinds.HEARTBEAT_DROPPED, upstream="", reason=reason)

    def _announce_upstream(self) -> None:
        registration = self.core.runner.registration
        current = registration.current
        if current is None or self.core.is_stopping:
            return
        state, share = registration.state, 0.0
        if self._rollouts is not None:
            share = self._rollouts.share
            if state is UpstreamState.READY and not self._rollouts.is_open:
                # Nobody selects an upstream that is starting.
                state = UpstreamState.STARTING
        self._membership.announce(
            state, current.slots, current.service, current.software_version, share
        )

    def _handle_version_change(self) -> None:
        """Announce whether the local version takes calls, and refuse waiting ones if it doesn't."""
        if self._rollouts is not None and not self._rollouts.is_open:
            self.core.runner.refuse_waiting(Refusal.VERSION_CLOSED)
        self._announce_upstream()

    async def _listen(self, loop: asyncio.AbstractEventLoop, core: RelayCore) -> None:
        settings = self._settings
        for address, build in (
            (settings.callers, lambda: CallerConnection(core)),
            (settings.peers, lambda: InboundPeerConnection(core.runner, core.inbound_links)),
        ):
            ip, port = split_address(address)
            server = await loop.create_server(build, ip, port, backlog=LISTEN_BACKLOG)
            self._servers.append(server)
        self._events.emit(kinds.RELAY_LISTENING, callers=settings.callers, peers=settings.peers)

    def _find_health_path(self, claim: Heartbeat | None) -> str | None:
        """Return the path of the upstream's health check: empty without one, None if unknown."""
        table, record = self._get_table(), self._record
        service_name = claim.service if claim else self._settings.service
        if table is None:
            return record.health_path if record and record.service == service_name else None
        service = table.services.get(service_name)
        return service.health_path if service is not None else ""

    async def _check_health(self, claim: Heartbeat | None) -> Health | None:
        """Send a health check to the address of a claim, or else to that of the settings."""
        path = self._find_health_path(claim)
        if not path:
            return None
        runner = self.core.runner
        address = claim.address if claim else self._settings.upstream
        runner.pool.set_address(address)
        health = await probe_health(runner.pool, path, address)
        if health is None:
            return None
        # A limit that is only learned from the first call is exceeded by those beside it.
        runner.apply_limit_of_check(health.head)
        if health.head.is_leaving and health.upstream:
            # Its heartbeats may still say that it is ready.
            self.apply_deregistration(
                Deregistration(InstanceId(health.upstream), time.time_ns() // NS_PER_MS)
            )
        return health

    async def _check_timeouts(self) -> None:
        while True:
            await anyio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            self.core.check_timeouts()
            is_silent = self.core.runner.is_upstream_silent()
            if is_silent and not self._is_upstream_silent:
                self._events.emit(kinds.UPSTREAM_SILENT)
            self._is_upstream_silent = is_silent
