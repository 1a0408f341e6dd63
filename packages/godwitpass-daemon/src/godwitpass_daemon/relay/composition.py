"""Composition root of a daemon that relays calls."""

from collections.abc import Callable, Iterator, Sequence
from typing import Protocol

import msgspec
from anyio.abc import TaskGroup

from godwitpass.ids import Address
from godwitpass.internal.distribution.reader import DocumentSource
from godwitpass.internal.rollouts.records import RolloutSource
from godwitpass.store import Store
from godwitpass_daemon.admin.metrics import Metric
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.http.connections import Connections
from godwitpass_daemon.http.limits import HttpLimits
from godwitpass_daemon.http.metrics import collect_listener_metrics
from godwitpass_daemon.kernel import Kernel, Service
from godwitpass_daemon.listeners import Application, HttpListener
from godwitpass_daemon.peers import PeerTransport
from godwitpass_daemon.relay.headers import HeaderNames
from godwitpass_daemon.relay.service import RelayService, RelaySettings
from godwitpass_daemon.services.crashes import CrashesService
from godwitpass_daemon.services.distribution import DistributionService
from godwitpass_daemon.services.freshness import FreshnessService
from godwitpass_daemon.services.membership import MembershipService
from godwitpass_daemon.services.quotas import QuotaService
from godwitpass_daemon.services.rollouts import RolloutsService
from godwitpass_daemon.settings import Settings

BuildApplication = Callable[[Callable[[], RelayService]], Application]


class StoreService(Store, Service, Protocol):
    """A store client that the kernel starts and stops."""


class RelayDependencies(msgspec.Struct, frozen=True):
    """What a deployment provides: its store, header names, settings and additional listeners."""

    store: StoreService
    source: DocumentSource
    header_names: HeaderNames
    settings: RelaySettings
    seeds: tuple[Address, ...]
    listeners: tuple[tuple[str, Address, BuildApplication], ...]
    rollout_source: RolloutSource | None = None


class ListenerService:
    """Serves an application on one address."""

    def __init__(
        self,
        name: str,
        application: Application,
        address: Address,
        max_connections: int,
        events: EventLog,
    ) -> None:
        self._name = name
        self._application = application
        self._address = address
        self._limits = HttpLimits(max_connections)
        self._events = events
        self._listener: HttpListener | None = None

    @property
    def connections(self) -> Connections | None:
        """The open connections and their counts; None before the start."""
        return None if self._listener is None else self._listener.connections

    async def start(self, tasks: TaskGroup) -> None:
        """Start listening."""
        self._listener = HttpListener(
            self._application,
            self._address,
            self._name,
            self._limits,
            lambda kind, fields: self._events.emit(kind, **fields),
        )
        await self._listener.start(tasks)

    async def stop(self) -> None:
        """Stop listening without waiting, because the process ends soon."""
        if self._listener is not None:
            self._listener.request_stop()


def build_relay_kernel(settings: Settings, dependencies: RelayDependencies) -> Kernel:
    """Register all services of a daemon; none is started."""
    kernel = Kernel()
    kernel.register("events", lambda _: EventLog(settings))
    kernel.register("store", lambda _: dependencies.store)
    kernel.register(
        "peers",
        lambda services: PeerTransport(
            settings.listen.peer,
            settings.peer_keys,
            services.find("events", EventLog).emit,
            advertised=settings.listen.reachable_peer,
            resources=settings.resources,
        ),
    )
    kernel.register(
        "membership",
        lambda services: MembershipService(
            settings,
            dependencies.store,
            services.find("peers", PeerTransport),
            services.find("events", EventLog),
            dependencies.seeds,
        ),
    )
    kernel.register(
        "distribution",
        lambda services: DistributionService(
            settings,
            dependencies.store,
            services.find("peers", PeerTransport),
            services.find("membership", MembershipService),
            services.find("events", EventLog),
            dependencies.source,
        ),
    )
    relay_settings = dependencies.settings
    freshness_settings = relay_settings.freshness
    if freshness_settings is not None:
        kernel.register(
            "freshness",
            lambda services: FreshnessService(
                freshness_settings,
                dependencies.source.key,
                relay_settings.rollouts is not None,
                dependencies.store,
                services.find("peers", PeerTransport),
                services.find("membership", MembershipService),
                services.find("distribution", DistributionService),
                services.find("events", EventLog),
            ),
        )
    quota_settings = relay_settings.quotas
    if quota_settings is not None:
        kernel.register(
            "quotas",
            lambda services: QuotaService(
                quota_settings,
                services.find("peers", PeerTransport),
                services.find("membership", MembershipService),
                services.find("distribution", DistributionService),
                services.find("events", EventLog),
            ),
        )
    kernel.register(
        "crashes",
        lambda services: CrashesService(
            services.find("peers", PeerTransport),
            services.find("membership", MembershipService),
            services.find("events", EventLog),
            dependencies.store,
        ),
    )
    has_rollouts = _register_rollouts(kernel, settings, dependencies)
    # Registered before the relay, so that they still respond while it finishes its calls.
    for name, address, build in dependencies.listeners:
        _register_listener(kernel, settings, name, address, build)
    kernel.register(
        "relay",
        lambda services: RelayService(
            dependencies.settings,
            dependencies.header_names,
            services.find("distribution", DistributionService),
            services.find("membership", MembershipService),
            services.find("events", EventLog),
            services.find("crashes", CrashesService),
            services.find("rollouts", RolloutsService) if has_rollouts else None,
            services.find("freshness", FreshnessService) if freshness_settings else None,
            services.find("quotas", QuotaService) if quota_settings else None,
            dependencies.store,
            lambda: _collect_listener_metrics(
                services, [name for name, _, _ in dependencies.listeners]
            ),
            settings.resources,
        ),
    )
    return kernel


def _register_rollouts(kernel: Kernel, settings: Settings, dependencies: RelayDependencies) -> bool:
    """Register the roll-outs if the settings ask for them; return whether they do."""
    rollouts, source = dependencies.settings.rollouts, dependencies.rollout_source
    if rollouts is None or source is None:
        return False
    kernel.register(
        "rollouts",
        lambda services: RolloutsService(
            settings,
            rollouts,
            source,
            dependencies.store,
            services.find("peers", PeerTransport),
            services.find("membership", MembershipService),
            services.find("events", EventLog),
        ),
    )
    return True


def _register_listener(
    kernel: Kernel, settings: Settings, name: str, address: Address, build: BuildApplication
) -> None:
    application = build(lambda: kernel.find("relay", RelayService))
    kernel.register(
        name,
        lambda services: ListenerService(
            name,
            application,
            address,
            settings.resources.service_connections,
            services.find("events", EventLog),
        ),
    )


def _collect_listener_metrics(kernel: Kernel, names: Sequence[str]) -> Iterator[Metric]:
    connections_by_name = {name: kernel.find(name, ListenerService).connections for name in names}
    return collect_listener_metrics(
        {name: item for name, item in connections_by_name.items() if item is not None}
    )
