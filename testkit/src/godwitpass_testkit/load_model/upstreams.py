"""Simulated upstreams, which run calls and make nested ones."""

import math
import random
from collections.abc import Callable
from functools import partial

from godwitpass_daemon.edge.heads import Framing
from godwitpass_daemon.relay.headers import ResponseHead
from godwitpass_daemon.relay.upstream_connections import ResponseHandler
from godwitpass_testkit.load_model.experiment import ClassSpec, FaultKind, FaultSpec, ServiceSpec
from godwitpass_testkit.load_model.virtual_loop import VirtualHandle, VirtualLoop

REFUSAL_DELAY_S = 0.001
RESET = -1
"""Status of a run whose connection the upstream closes without a response."""

StartNestedCall = Callable[[str, str, float, Callable[[int], None]], None]
"""Starts a call of a class, with a request id and a timeout in seconds, and reports its status."""


class SimulatedUpstream:
    """Runs calls at a speed of its own; `faults` are those that hit it.

    It runs whatever it is sent: that no more calls run than it has slots is up to the daemon.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        rng: random.Random,
        service: ServiceSpec,
        speed: float,
        classes: dict[str, ClassSpec],
        faults: list[FaultSpec],
        start_nested_call: StartNestedCall,
    ) -> None:
        self.loop = loop
        self.slots = service.slots
        self.running_count = 0
        self.most_running = 0
        self.run_count = 0
        self.arrival_count = 0
        self._resets_when_full = service.resets_when_full
        self.close_delay_s = service.close_delay_s
        self._rng = rng
        self._speed = speed
        self._classes = classes
        self._faults = faults
        self._start_nested_call = start_nested_call

    def start_run(self, request_id: str, class_name: str, finish: Callable[[int], None]) -> "Run":
        """Run a call and report its status, `RESET`, or 0 for a refusal before the run."""
        self.arrival_count += 1
        run = Run(self, finish)
        if self._rng.random() < self._find_strength(FaultKind.SHED, 0.0):
            run.schedule(REFUSAL_DELAY_S, run.end, 0)
            return run
        if self._resets_when_full and self.running_count >= self.slots:
            run.schedule(REFUSAL_DELAY_S, run.end, RESET)
            return run
        self.running_count += 1
        self.run_count += 1
        self.most_running = max(self.most_running, self.running_count)
        run.is_running = True
        spec = self._classes[class_name]
        nested = [
            calls.name
            for calls in spec.calls
            if self._rng.random() < calls.share
            for _ in range(calls.times)
        ]
        self._work(run, request_id, spec, nested, 0)
        return run

    def _work(
        self, run: "Run", request_id: str, spec: ClassSpec, nested: list[str], position: int
    ) -> None:
        """Work between two nested calls; the work is divided evenly among them."""
        work_s = self._draw_service_time_s(spec) / (len(nested) + 1)
        run.schedule(work_s, self._continue, run, request_id, spec, nested, position)

    def _continue(
        self, run: "Run", request_id: str, spec: ClassSpec, nested: list[str], position: int
    ) -> None:
        if position == len(nested):
            has_failed = self._rng.random() < self._find_strength(FaultKind.FAIL, 0.0)
            run.end(500 if has_failed else 200)
            return

        def handle_nested_end(status: int) -> None:
            if run.has_ended:
                return
            if status == 200:
                self._work(run, request_id, spec, nested, position + 1)
            else:
                run.end(500)

        name = nested[position]
        timeout_s = min(self._classes[name].deadline_s, spec.deadline_s)
        self._start_nested_call(name, f"{request_id}.{position}", timeout_s, handle_nested_end)

    def _draw_service_time_s(self, spec: ClassSpec) -> float:
        spread = spec.spread
        factor = math.exp(self._rng.gauss(0.0, spread) - spread * spread / 2)
        return spec.service_time_s * factor * self._find_strength(FaultKind.SLOW, 1.0) / self._speed

    def _find_strength(self, kind: FaultKind, default: float) -> float:
        now = self.loop.time()
        return max(
            (
                fault.strength
                for fault in self._faults
                if fault.kind is kind and fault.at_s <= now < fault.at_s + fault.for_s
            ),
            default=default,
        )


class Run:
    """One call that an upstream works on."""

    def __init__(self, upstream: SimulatedUpstream, finish: Callable[[int], None]) -> None:
        self.is_running = False
        self.has_ended = False
        self._upstream = upstream
        self._finish = finish
        self._timer: VirtualHandle | None = None

    def schedule(self, delay_s: float, callback: Callable[..., None], *arguments: object) -> None:
        """Continue after `delay_s`."""
        self._timer = self._upstream.loop.call_later(delay_s, callback, *arguments)

    def end(self, status: int) -> None:
        """End the run and report its status."""
        self.cancel()
        self._finish(status)

    def leave(self) -> None:
        """End the run, whose caller has left, after the time that the upstream needs to notice."""
        self._finish = _ignore_status
        self._upstream.loop.call_later(self._upstream.close_delay_s, self.cancel)

    def cancel(self) -> None:
        """End the run without a response."""
        if self.has_ended:
            return
        self.has_ended = True
        if self._timer is not None:
            self._timer.cancel()
        if self.is_running:
            self._upstream.running_count -= 1


def _ignore_status(status: int) -> None:
    """Ignore the status of a run whose caller has left."""


class SimulatedConnection:
    """Stands for a connection to the upstream; it carries one call."""

    was_idle_for_long = False

    def __init__(self, upstream: SimulatedUpstream) -> None:
        self._upstream = upstream
        self._run: Run | None = None

    def send(self, handler: ResponseHandler, method: bytes, request_id: bytes, data: bytes) -> None:
        """Start the run of a call, whose class is the first segment of its path."""
        class_name = data.split(b" ", 2)[1].split(b"/")[1].decode()
        finish = partial(self._respond, handler)
        self._run = self._upstream.start_run(request_id.decode(), class_name, finish)

    def close(self) -> None:
        """End the run once the upstream notices that its caller's connection has ended."""
        if self._run is not None:
            self._run.leave()

    def pause_reading(self) -> None:
        """Do nothing: responses are short."""

    def resume_reading(self) -> None:
        """Do nothing: responses are short."""

    def _respond(self, handler: ResponseHandler, status: int) -> None:
        if status == RESET:
            handler.handle_loss(False, False)
            return
        handler.handle_head(
            ResponseHead(
                status=status or 503,
                encoded=b"",
                framing=Framing.LENGTH,
                body_bytes=0,
                request_id=b"",
                is_not_run=status == 0,
                has_seal=True,
                has_content_encoding=False,
                is_persistent=True,
                keep_alive_s=None,
                instance=b"",
            )
        )
        handler.handle_end()


class SimulatedPool:
    """Stands for the pool of connections to one upstream."""

    opened_count = 0

    def __init__(self, upstream: SimulatedUpstream) -> None:
        self._upstream = upstream

    def take_idle(self, must_be_recent: bool) -> SimulatedConnection:
        """Return a connection."""
        return SimulatedConnection(self._upstream)

    def release(self, connection: SimulatedConnection) -> None:
        """Do nothing: connections cost nothing here."""

    def set_address(self, address: str) -> None:
        """Do nothing: the upstream has no address."""

    def close_expired(self) -> None:
        """Do nothing: connections cost nothing here."""
