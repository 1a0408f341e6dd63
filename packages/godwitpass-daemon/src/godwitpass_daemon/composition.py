"""The composition root: wires the services of one daemon."""

from pathlib import Path

from godwitpass.internal.calls.dispatcher import DaemonLocation
from godwitpass_daemon.admin.service import build_admin
from godwitpass_daemon.edge.service import EdgeService
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.kernel import Kernel
from godwitpass_daemon.metrics import collect_services
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
    """Build the kernel of one daemon with all its services, none started."""
    kernel = Kernel()
    kernel.register("events", lambda _: EventLog(settings))
    kernel.register("store", lambda _: StoreClient(settings.store))
    kernel.register(
        "peers",
        lambda found: PeerTransport(
            settings.listen.peer,
            settings.peer_keys,
            found.find("events", EventLog).emit,
            _read_tls(settings.peer_tls),
            advertised=settings.listen.reachable_peer,
        ),
    )
    kernel.register(
        "membership",
        lambda found: MembershipService(
            settings,
            found.find("store", StoreClient),
            found.find("peers", PeerTransport),
            found.find("events", EventLog),
        ),
    )
    kernel.register(
        "acceptance",
        lambda found: AcceptanceService(
            found.find("store", StoreClient),
            found.find("events", EventLog),
            lambda: found.find("distribution", DistributionService).snapshot(),
        ),
    )
    kernel.register(
        "distribution",
        lambda found: DistributionService(
            settings,
            found.find("store", StoreClient),
            found.find("peers", PeerTransport),
            found.find("membership", MembershipService),
            found.find("events", EventLog),
        ),
    )
    kernel.register(
        "claims",
        lambda found: ClaimsService(
            settings.region,
            found.find("store", StoreClient),
            found.find("peers", PeerTransport),
            found.find("membership", MembershipService),
            found.find("events", EventLog),
        ),
    )
    kernel.register(
        "crashes",
        lambda found: CrashesService(
            found.find("peers", PeerTransport),
            found.find("membership", MembershipService),
            found.find("events", EventLog),
        ),
    )
    kernel.register(
        "edge",
        lambda found: EdgeService(
            found,
            settings.listen.outer,
            settings.listen.inner,
            DaemonLocation(settings.instance, settings.zone, settings.region),
        ),
    )
    kernel.register(
        "upstream",
        lambda found: UpstreamService(
            settings.upstream.address if settings.upstream else None,
            found.find("membership", MembershipService),
            found.find("events", EventLog),
        ),
    )
    kernel.register(
        "admin", lambda found: build_admin(found, settings, [lambda: collect_services(found)])
    )
    return kernel


def _read_tls(tls: PeerTlsSettings | None) -> TlsIdentity | None:
    if tls is None:
        return None
    return TlsIdentity(
        Path(tls.certificate_file).read_bytes(),
        Path(tls.private_key_file).read_bytes(),
        Path(tls.authority_file).read_bytes(),
        tls.name,
    )
