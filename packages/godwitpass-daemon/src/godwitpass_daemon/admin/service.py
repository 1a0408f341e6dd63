"""The kernel service `admin`, which serves the administration API."""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, runtime_checkable

from anyio.abc import TaskGroup

from godwitpass.administration import Spread
from godwitpass.internal.validation.text import MAX_TEXT_BYTES
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.admin.application import build_application
from godwitpass_daemon.admin.handlers import ApiContext
from godwitpass_daemon.admin.http import LISTENER_BODY_TIMEOUT_S
from godwitpass_daemon.admin.meter import RequestMeter, collect_process_metrics
from godwitpass_daemon.admin.metrics import Metric
from godwitpass_daemon.admin.ports import Acceptance, Events, Ports
from godwitpass_daemon.http.limits import BODY_BUFFER_BYTES, HttpLimits
from godwitpass_daemon.http.metrics import collect_listener_metrics
from godwitpass_daemon.kernel import Kernel
from godwitpass_daemon.listeners import HttpListener
from godwitpass_daemon.settings import Settings

LISTENER_NAME = "admin"

MetricSource = Callable[[], Iterable[Metric]]


@runtime_checkable
class Distribution(Protocol):
    """The methods of the service `distribution` that the API uses."""

    def snapshot(self) -> Snapshot | None:
        """Return the active version, or None if the daemon holds none."""
        ...

    def status(self) -> Spread:
        """Return how many daemons hold the newest known version."""
        ...


@runtime_checkable
class Upstream(Protocol):
    """The methods of the service `upstream` that the API uses."""

    def drain(self) -> None:
        """Announce that the upstream accepts no new calls."""
        ...


class AdminService:
    """Serves the administration API on the admin address only."""

    def __init__(self, settings: Settings, ports: Ports, meter: RequestMeter) -> None:
        self._address = settings.listen.admin
        self._application = build_application(ApiContext(settings, ports), meter)
        self._limits = HttpLimits(
            settings.resources.service_connections,
            MAX_TEXT_BYTES + BODY_BUFFER_BYTES,
            body_timeout_s=LISTENER_BODY_TIMEOUT_S,
        )
        self._events = ports.events
        self._listener: HttpListener | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Start listening on the admin address."""
        self._listener = HttpListener(
            self._application,
            self._address,
            LISTENER_NAME,
            self._limits,
            lambda kind, fields: self._events.emit(kind, **fields),
        )
        await self._listener.start(tasks)

    def collect_metrics(self) -> Iterable[Metric]:
        """Return the metrics of the listener."""
        if self._listener is None or self._listener.connections is None:
            return ()
        return collect_listener_metrics({LISTENER_NAME: self._listener.connections})

    async def stop(self) -> None:
        """Stop listening once the requests in progress are answered."""
        if self._listener is not None:
            await self._listener.stop()


def build_admin_service(
    kernel: Kernel, settings: Settings, metric_sources: Sequence[MetricSource] = ()
) -> AdminService:
    """Build the service from those in `kernel`; `metric_sources` yield further metrics."""
    distribution = kernel.find("distribution", Distribution)  # type: ignore[type-abstract]
    upstream = kernel.find("upstream", Upstream)  # type: ignore[type-abstract]
    meter = RequestMeter()

    def collect_metrics() -> list[Metric]:
        metrics = [*collect_process_metrics(distribution.snapshot), *meter.collect()]
        for metric_source in metric_sources:
            metrics.extend(metric_source())
        metrics.extend(service.collect_metrics())
        return metrics

    ports = Ports(
        kernel.find("acceptance", Acceptance),  # type: ignore[type-abstract]
        kernel.find("events", Events),  # type: ignore[type-abstract]
        distribution.snapshot,
        distribution.status,
        upstream.drain,
        collect_metrics,
    )
    service = AdminService(settings, ports, meter)
    return service
