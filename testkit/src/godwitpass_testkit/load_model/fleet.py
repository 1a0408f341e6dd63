"""A fleet of real relays, one beside each simulated upstream, joined by simulated links."""

import random
from collections.abc import Callable
from functools import partial
from typing import cast

import msgspec

from godwitpass.document import Document, Execution, Policy, Route, Service
from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import (
    Address,
    ChangeId,
    ContentHash,
    InstanceId,
    PolicyName,
    RegionId,
    RouteName,
    ServiceName,
    Version,
    ZoneId,
)
from godwitpass.internal.relay.frames import (
    BodyChunk,
    Failed,
    Frame,
    OpenStream,
    Refused,
    Response,
    ResponseAborted,
)
from godwitpass.internal.relay.registration import Heartbeat
from godwitpass.internal.relay.retry_budget import RetryBudgetSettings
from godwitpass.mesh import Upstream, UpstreamState
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.relay.core import RelayCore
from godwitpass_daemon.relay.forwarded_calls import ForwardedCall
from godwitpass_daemon.relay.headers import RequestHead
from godwitpass_daemon.relay.limits import TIMEOUT_CHECK_INTERVAL_S
from godwitpass_daemon.relay.links import Link, StreamHandler, dispatch_frame
from godwitpass_daemon.relay.pipelining import PipelinedRequest
from godwitpass_daemon.relay.upstream_calls import UpstreamCall
from godwitpass_daemon.relay.upstream_connections import UpstreamConnectionPool
from godwitpass_daemon.relay.upstream_runner import UpstreamRunner
from godwitpass_testkit.load_model.experiment import Experiment, ServiceSpec
from godwitpass_testkit.load_model.upstreams import SimulatedPool, SimulatedUpstream
from godwitpass_testkit.load_model.virtual_loop import VirtualLoop
from godwitpass_testkit.relay import HEADER_NAMES

DRAIN_S = 2.0
LINK_BYTES_PER_S = 1e9

HandleAnswer = Callable[[int, float | None], None]
"""Receives the status of a response and its retry-after time in seconds."""


class SimulatedLink:
    """Carries the frames of one daemon's calls to another daemon, with a delay."""

    is_flow_controlled = False

    def __init__(
        self, source: "SimulatedCore", target: "SimulatedDaemon", delay_s: float, loop: VirtualLoop
    ) -> None:
        self._source = source
        self._target = target
        self._delay_s = delay_s
        self._loop = loop
        self._handlers: dict[int, StreamHandler] = {}
        self._calls: dict[int, UpstreamCall] = {}
        self._last_stream_id = 0

    def open(self, handler: StreamHandler, request: OpenStream, body: bytes) -> int:
        """Forward a call and return its stream id."""
        self._last_stream_id += 1
        stream_id = self._last_stream_id
        self._handlers[stream_id] = handler
        whole = msgspec.structs.replace(request, stream_id=stream_id, body=body)
        self._loop.call_later(self._delay_s, self._open_at_target, whole)
        return stream_id

    def cancel(self, stream_id: int) -> None:
        """Cancel a call; its handler receives no further frames."""
        self._handlers.pop(stream_id, None)
        self._loop.call_later(self._delay_s, self._cancel_at_target, stream_id)

    def withdraw(self, stream_id: int) -> None:
        """Take a call back that waits at the target."""
        self._loop.call_later(self._delay_s, self._withdraw_at_target, stream_id)

    def extend_window(self, stream_id: int, size_bytes: int) -> None:
        """Do nothing: responses are short."""

    def send(self, frame: Frame) -> None:
        """Carry a frame of the target back."""
        self._loop.call_later(self._delay_s, self._dispatch, frame)

    def remove_stream(self, stream_id: int) -> None:
        """Remove a stream that has ended."""
        self._calls.pop(stream_id, None)

    def _open_at_target(self, request: OpenStream) -> None:
        call = self._target.runner.open_call(self, request)
        if not call.has_ended:
            self._calls[request.stream_id] = call

    def _cancel_at_target(self, stream_id: int) -> None:
        call = self._calls.pop(stream_id, None)
        if call is not None:
            call.cancel()

    def _withdraw_at_target(self, stream_id: int) -> None:
        call = self._calls.get(stream_id)
        if call is not None:
            call.withdraw()

    def _dispatch(self, frame: Frame) -> None:
        if isinstance(frame, Response | Refused | Failed):
            self._source.record_load(self._target.instance, frame.load)
        if isinstance(frame, Response | BodyChunk | Refused | Failed | ResponseAborted):
            dispatch_frame(self._handlers, frame)


class SimulatedCore(RelayCore):
    """The relay's state, with simulated links in place of connections to other daemons."""

    open_simulated_link: Callable[[InstanceId], SimulatedLink]

    def get_link(self, upstream: Upstream, body_bytes: float) -> Link:
        """Return the link to the daemon of `upstream`."""
        if upstream.instance == self._own_instance:
            return self._local_link
        return cast(Link, self.open_simulated_link(upstream.instance))


class SimulatedRequest:
    """Stands for a caller's request; it reports the status of the response."""

    is_chunked = False

    def __init__(self, arrived_at: float, handle_answer: HandleAnswer) -> None:
        self.arrived_at = arrived_at
        self._handle_answer = handle_answer

    def decide_close(self) -> bool:
        """Keep the connection."""
        return False

    def abort(self) -> None:
        """Report a closed connection as a failure."""
        self._handle_answer(502, None)

    def write_response(self, data: bytes, is_last: bool) -> None:
        """Report the status and the retry-after time of a response's head."""
        status = int(data.split(b" ", 2)[1])
        _, found, rest = data.partition(b"retry-after: ")
        retry_after_s = float(rest.split(b"\r\n", 1)[0]) if found else None
        self._handle_answer(status, retry_after_s)


class SimulatedDaemon:
    """A relay and the upstream beside it."""

    def __init__(
        self,
        instance: InstanceId,
        service: ServiceName,
        zone: ZoneId,
        runner: UpstreamRunner,
        core: SimulatedCore,
        upstream: SimulatedUpstream,
        loop: VirtualLoop,
    ) -> None:
        self.instance = instance
        self.service = service
        self.zone = zone
        self.runner = runner
        self.core = core
        self.upstream = upstream
        self._loop = loop

    def start_call(
        self,
        class_name: str,
        request_id: str,
        timeout_s: float,
        handle_answer: HandleAnswer,
    ) -> Callable[[], None]:
        """Start a call as a caller does, and return what cancels it."""
        path = f"/{class_name}/{request_id}"
        table = self.core.table
        assert table is not None
        route = table.find("", path)
        assert route is not None, f"no route for {path}"
        request = SimulatedRequest(self._loop.time(), handle_answer)
        head = RequestHead(
            method=b"GET",
            host="",
            path=path,
            encoded=f"GET {path} HTTP/1.1\r\n".encode(),
            request_id=request_id,
            timeout_ms=int(timeout_s * 1000),
            expects_continue=False,
        )
        call = ForwardedCall(self.core, cast(PipelinedRequest, request), head, route)
        call.start(b"")
        return call.cancel

    def start_nested_call(
        self, class_name: str, request_id: str, timeout_s: float, finish: Callable[[int], None]
    ) -> None:
        """Start a call of the upstream beside this daemon."""
        self.start_call(class_name, request_id, timeout_s, lambda status, _: finish(status))

    def check_timeouts(self) -> None:
        """Check timeouts now and at the usual interval."""
        self.core.check_timeouts()
        self._loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self.check_timeouts)


def build_fleet(experiment: Experiment, loop: VirtualLoop, seed: int) -> list[SimulatedDaemon]:
    """Build the daemons of `experiment`; each knows all upstreams and holds the configuration."""
    rng = random.Random(seed)
    snapshot = _build_snapshot(experiment)
    placements = [
        (service, number) for service in experiment.services for number in range(service.instances)
    ]
    rng.shuffle(placements)
    upstreams_by_service: dict[ServiceName, list[Upstream]] = {}
    daemons: dict[InstanceId, SimulatedDaemon] = {}
    for position, (service, number) in enumerate(placements):
        zone = ZoneId(experiment.zones[position % len(experiment.zones)])
        daemon = _build_daemon(
            experiment, loop, rng, service, number, zone, upstreams_by_service, len(placements)
        )
        daemons[daemon.instance] = daemon
        upstreams_by_service.setdefault(daemon.service, []).append(
            Upstream(
                daemon.instance,
                daemon.service,
                Address(f"{daemon.instance}:1"),
                zone,
                RegionId("r"),
                UpstreamState.READY,
                service.slots,
            )
        )
    for daemon in daemons.values():
        links: dict[InstanceId, SimulatedLink] = {}
        daemon.core.open_simulated_link = partial(
            _open_link, experiment, loop, daemon, daemons, links
        )
        daemon.core.apply_snapshot(snapshot)
        loop.call_later(rng.random() * TIMEOUT_CHECK_INTERVAL_S, daemon.check_timeouts)
    return list(daemons.values())


def _build_daemon(
    experiment: Experiment,
    loop: VirtualLoop,
    rng: random.Random,
    service: ServiceSpec,
    number: int,
    zone: ZoneId,
    upstreams_by_service: dict[ServiceName, list[Upstream]],
    daemon_count: int,
) -> SimulatedDaemon:
    instance, service_name = InstanceId(f"{service.name}-{number}"), ServiceName(service.name)
    runner = UpstreamRunner(HEADER_NAMES, loop.time, _ignore_event, DRAIN_S, LINK_BYTES_PER_S)
    core = SimulatedCore(
        loop,  # type: ignore[arg-type]  # the relay uses only its time and its timers
        runner,
        instance,
        zone,
        HEADER_NAMES,
        RetryBudgetSettings(
            experiment.retry_ratio, experiment.retry_window_s, experiment.retry_slack
        ),
        random.Random(rng.random()),
        lambda name: upstreams_by_service.get(name, ()),
        lambda: daemon_count,
        _ignore_event,
        experiment.extra_request_share,
    )
    faults = [
        fault
        for fault in experiment.faults
        if fault.service == service.name and number < round(fault.share * service.instances)
    ]
    daemon: SimulatedDaemon

    def start_nested_call(
        class_name: str, request_id: str, timeout_s: float, finish: Callable[[int], None]
    ) -> None:
        daemon.start_nested_call(class_name, request_id, timeout_s, finish)

    upstream = SimulatedUpstream(
        loop,
        random.Random(rng.random()),
        service,
        service.speeds[number % len(service.speeds)],
        {spec.name: spec for spec in experiment.classes},
        faults,
        start_nested_call,
    )
    daemon = SimulatedDaemon(instance, service_name, zone, runner, core, upstream, loop)
    runner.pool = cast(UpstreamConnectionPool, SimulatedPool(upstream))
    runner.registration.apply(
        Heartbeat(instance, service_name, Address("upstream:1"), service.slots, False, 1, 1), 0.0
    )
    runner.apply_registration()
    return daemon


def _open_link(
    experiment: Experiment,
    loop: VirtualLoop,
    source: SimulatedDaemon,
    daemons: dict[InstanceId, SimulatedDaemon],
    links: dict[InstanceId, SimulatedLink],
    instance: InstanceId,
) -> SimulatedLink:
    link = links.get(instance)
    if link is None:
        target = daemons[instance]
        is_same_zone = target.zone == source.zone
        delay_s = experiment.zone_delay_s if is_same_zone else experiment.cross_zone_delay_s
        link = links[instance] = SimulatedLink(source.core, target, delay_s, loop)
    return link


def _build_snapshot(experiment: Experiment) -> Snapshot:
    document = Document(
        1,
        tuple(Service(ServiceName(service.name)) for service in experiment.services),
        tuple(
            Route(
                RouteName(spec.name),
                f"/{spec.name}",
                ServiceName(spec.service),
                policy=PolicyName(spec.name),
            )
            for spec in experiment.classes
        ),
        tuple(
            Policy(
                PolicyName(spec.name),
                execution=Execution.IDEMPOTENT if spec.is_idempotent else Execution.UNSAFE,
                timeout_ms=int((spec.timeout_s or spec.deadline_s) * 1000),
                attempts=spec.attempts,
                objective_ms=int(spec.objective_s * 1000),
                priority=spec.priority,
            )
            for spec in experiment.classes
        ),
    )
    return Snapshot(Version(1), ChangeId("load-model"), ContentHash("00"), document)


def _ignore_event(kind: EventKind, fields: dict[str, FieldValue]) -> None:
    """Ignore an event; the report counts outcomes."""
