"""Composition root: builds the services of one daemon and connects them."""

from pathlib import Path

from godwitpass.internal.calls.dispatcher import DaemonLocation
from godwitpass_daemon.admin.service import build_admin_service
from godwitpass_daemon.edge.service import EdgeService
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.kernel import Kernel
from godwitpass_daemon.metrics import collect_service_metrics
from godwitpass_daemon.peers import PeerTransport, TlsIdentity
from godwitpass_daemon.services.acceptance import AcceptanceService
from godwitpass_daemon.services.claims import ClaimsService
from godwitpass_daemon.services.crashes import CrashesService
from godwitpass_daemon.services.distribution import DistributionService
from godwitpass_daemon.services.membership import MembershipService
from godwitpass_daemon.services.store import StoreClient
from godwitpass_daemon.services.upstream import UpstreamService
from godwitpass_daemon.settings import PeerTlsSettings, Settings


def build_kernel(settings: Settings) -> Kernel:
    """Build the kernel of one daemon and register all its services without starting them."""
    kernel = Kernel()
    kernel.register("events", lambda _: EventLog(settings))
    kernel.register("store", lambda _: StoreClient(settings.store))
    kernel.register(
        "peers",
        lambda services: PeerTransport(
            settings.listen.peer,
            settings.peer_keys,
            services.find("events", EventLog).emit,
            _load_tls_identity(settings.peer_tls),
            advertised=settings.listen.reachable_peer,
            resources=settings.resources,
        ),
    )
    kernel.register(
        "membership",
        lambda services: MembershipService(
            settings,
            services.find("store", StoreClient),
            services.find("peers", PeerTransport),
            services.find("events", EventLog),
        ),
    )
    kernel.register(
        "acceptance",
        lambda services: AcceptanceService(
            services.find("store", StoreClient),
            services.find("events", EventLog),
            lambda: services.find("distribution", DistributionService).snapshot(),
        ),
    )
    kernel.register(
        "distribution",
        lambda services: DistributionService(
            settings,
            services.find("store", StoreClient),
            services.find("peers", PeerTransport),
            services.find("membership", MembershipService),
            services.find("events", EventLog),
        ),
    )
    kernel.register(
        "claims",
        lambda services: ClaimsService(
            settings.region,
            services.find("store", StoreClient),
            services.find("peers", PeerTransport),
            services.find("membership", MembershipService),
            services.find("events", EventLog),
        ),
    )
    kernel.register(
        "crashes",
        lambda services: CrashesService(
            services.find("peers", PeerTransport),
            services.find("membership", MembershipService),
            services.find("events", EventLog),
            services.find("store", StoreClient),
        ),
    )
    kernel.register(
        "edge",
        lambda services: EdgeService(
            services,
            settings.listen.outer,
            settings.listen.inner,
            DaemonLocation(settings.instance, settings.zone, settings.region),
            resources=settings.resources,
        ),
    )
    kernel.register(
        "upstream",
        lambda services: UpstreamService(
            settings.upstream.address if settings.upstream else None,
            services.find("membership", MembershipService),
            services.find("events", EventLog),
        ),
    )
    kernel.register(
        "admin",
        lambda services: build_admin_service(
            services, settings, [lambda: collect_service_metrics(services)]
        ),
    )
    return kernel


def _load_tls_identity(tls: PeerTlsSettings | None) -> TlsIdentity | None:
    if tls is None:
        return None
    return TlsIdentity(
        Path(tls.certificate_file).read_bytes(),
        Path(tls.private_key_file).read_bytes(),
        Path(tls.authority_file).read_bytes(),
        tls.name,
    )
