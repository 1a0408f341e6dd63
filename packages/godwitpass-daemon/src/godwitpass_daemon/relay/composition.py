"""The composition root of a daemon that relays calls between daemons."""

from collections.abc import Callable
from typing import Protocol

import msgspec
from anyio.abc import TaskGroup

from godwitpass.ids import Address
from godwitpass.internal.distribution.reader import DocumentSource
from godwitpass.store import Store
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.kernel import Kernel, Service
from godwitpass_daemon.listeners import Application, HttpListener
from godwitpass_daemon.peers import PeerTransport
from godwitpass_daemon.relay.headers import HeaderNames
from godwitpass_daemon.relay.service import RelayService, RelaySettings
from godwitpass_daemon.services.distribution import DistributionService
from godwitpass_daemon.services.membership import MembershipService
from godwitpass_daemon.settings import Settings

BuildApplication = Callable[[Callable[[], RelayService]], Application]


class StoreService(Store, Service, Protocol):
    """A client of the store that the kernel starts and stops."""


class RelayDependencies(msgspec.Struct, frozen=True):
    """What the deployment brings: its store, its names and its own listeners."""

    store: StoreService
    source: DocumentSource
    names: HeaderNames
    terms: RelaySettings
    seeds: tuple[Address, ...]
    listeners: tuple[tuple[str, Address, BuildApplication], ...]


class ListenerService:
    """Serves an application on one address."""

    def __init__(self, application: Application, address: Address) -> None:
        self._application = application
        self._address = address
        self._listener: HttpListener | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Listen."""
        self._listener = HttpListener(self._application, self._address)
        await self._listener.start(tasks)

    async def stop(self) -> None:
        """Stop listening in the background; the process ends soon."""
        if self._listener is not None:
            self._listener.request_stop()


def build_relay_kernel(settings: Settings, parts: RelayDependencies) -> Kernel:
    """Build the kernel of one daemon with all its services, none started."""
    kernel = Kernel()
    kernel.register("events", lambda _: EventLog(settings))
    kernel.register("store", lambda _: parts.store)
    kernel.register(
        "peers",
        lambda found: PeerTransport(
            settings.listen.peer,
            settings.peer_keys,
            found.find("events", EventLog).emit,
            advertised=settings.listen.reachable_peer,
        ),
    )
    kernel.register(
        "membership",
        lambda found: MembershipService(
            settings,
            parts.store,
            found.find("peers", PeerTransport),
            found.find("events", EventLog),
            parts.seeds,
        ),
    )
    kernel.register(
        "distribution",
        lambda found: DistributionService(
            settings,
            parts.store,
            found.find("peers", PeerTransport),
            found.find("membership", MembershipService),
            found.find("events", EventLog),
            parts.source,
        ),
    )
    # Registered before the relay, so that they still answer while it finishes its calls.
    for name, address, build in parts.listeners:
        _register_listener(kernel, name, address, build)
    kernel.register(
        "relay",
        lambda found: RelayService(
            parts.terms,
            parts.names,
            found.find("distribution", DistributionService),
            found.find("membership", MembershipService),
            found.find("events", EventLog),
        ),
    )
    return kernel


def _register_listener(
    kernel: Kernel, name: str, address: Address, build: BuildApplication
) -> None:
    application = build(lambda: kernel.find("relay", RelayService))
    kernel.register(name, lambda _: ListenerService(application, address))
