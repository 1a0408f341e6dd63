"""Runs calls at the upstream beside this daemon, within its slots."""

from collections import Counter
from collections.abc import Callable

from godwitpass.ids import ServiceName
from godwitpass.internal.relay.frames import BODY_CHUNK_BYTES, Load, Open, Refusal
from godwitpass.internal.relay.flow_control import Grant, Inbound
from godwitpass.internal.relay.registration import Registration
from godwitpass.internal.relay.admission import Decision, Slots, Ticket
from godwitpass_daemon.relay.upstream_connections import UpstreamPool
from godwitpass_daemon.relay.headers import HeaderNames
from godwitpass_daemon.relay.upstream_calls import Job, Sender
from godwitpass_daemon.relay.limits import HEARTBEAT_LOST_S
from godwitpass_daemon.relay.call_log import Emit, RunLog


class Host:
    """Holds the upstream's registration, its slots and its connections."""

    def __init__(
        self,
        names: HeaderNames,
        now: Callable[[], float],
        emit: Emit,
        drain_s: float,
        bytes_per_s: float,
    ) -> None:
        self.names = names
        self.now = now
        self.registration = Registration()
        self.slots = Slots()
        self.inbound = Inbound(bytes_per_s, BODY_CHUNK_BYTES)
        self.pool = UpstreamPool(names, now)
        self.stopping = False
        self.log = RunLog(self, emit)
        self.drain_s = drain_s
        self._jobs: dict[int, Job] = {}
        self._running: Counter[str] = Counter()
        self._next = 0

    @property
    def jobs_in_progress(self) -> int:
        """Return the number of calls at this daemon."""
        return len(self._jobs)

    def is_running(self, request_id: str) -> bool:
        """Tell whether the upstream runs the request with this id now."""
        return bool(request_id) and request_id in self._running

    def load(self) -> Load:
        """Return what other daemons are told."""
        slots = self.slots
        return Load(
            len(slots.running),
            len(slots.waiting),
            slots.limit,
            int(self.inbound.backlog_s * 1000),
            max(1, int(self.inbound.bytes_per_s / 1000)),
        )

    def accepts(self, service: ServiceName) -> bool:
        """Tell whether a call to `service` may be sent to the upstream now."""
        registration = self.registration
        current = registration.current
        if current is None or current.service != service:
            return False
        drained_at = registration.drained_at
        return drained_at is None or self.now() < drained_at + self.drain_s

    def open(self, sender: Sender, opened: Open) -> Job:
        """Take in a call."""
        self._next += 1
        job = Job(self, sender, opened, self._next)
        self._jobs[job.number] = job
        self._running[opened.request_id] += 1
        if job.is_complete:
            self.admit(job)
            return job
        # What will not be run must not take the link.
        reason = self._find_refusal(opened)
        transfer_s = self.inbound.expect_transfer(job.body_left)
        if reason is not None:
            job.refuse(reason, 0.0)
        elif self.slots.is_hopeless(job.ticket, self.now() + transfer_s):
            job.refuse(Refusal.NO_ROOM, self.inbound.backlog_s)
        else:
            self.proceed(self.inbound.open(job.number, job.body_left))
        return job

    def proceed(self, grants: list[Grant]) -> None:
        """Let the senders of bodies send on."""
        for grant in grants:
            job = self._jobs.get(grant.number)
            if job is not None:
                job.proceed(grant.size)

    def admit(self, job: Job) -> None:
        """Let a call whose body is whole run, wait or be refused."""
        reason = self._find_refusal(job.opened)
        if reason is not None:
            job.refuse(reason, 0.0)
            return
        self._perform(self.slots.offer(job.ticket, self.now()))

    def end(self, job: Job, completed: bool) -> Load:
        """Free what a call took and let the next one run."""
        self._jobs.pop(job.number, None)
        self.proceed(self.inbound.close(job.number))
        request_id = job.opened.request_id
        self._running[request_id] -= 1
        if not self._running[request_id]:
            del self._running[request_id]
        now = self.now()
        if self.slots.withdraw(job.number):
            return self.load()
        decision = self.slots.finish(job.number, now, completed)
        load = self.load()
        self._perform(decision)
        return load

    def sweep(self) -> None:
        """Refuse calls that became hopeless and end those whose time is over."""
        now = self.now()
        self.pool.sweep()
        self._perform(self.slots.review(now))
        for job in [job for job in self._jobs.values() if now >= job.deadline]:
            job.expire()
        if not self._may_wait():
            for ticket in self.slots.clear_waiting():
                self._refuse(ticket, Refusal.DRAINING, 0.0)

    def note_registration(self) -> None:
        """Take in that the upstream's registration changed."""
        current = self.registration.current
        if current is None:
            return
        self.pool.set_address(current.address)
        self.slots.limit = max(1, current.slots)
        self._perform(self.slots.review(self.now()))

    def is_silent(self) -> bool:
        """Tell whether heartbeats have been missing for long."""
        registration = self.registration
        if registration.current is None:
            return True
        return self.now() - registration.heard_at > HEARTBEAT_LOST_S

    def _may_wait(self) -> bool:
        current = self.registration.current
        return current is not None and self.accepts(current.service)

    def _find_refusal(self, opened: Open) -> Refusal | None:
        current = self.registration.current
        if current is None:
            return Refusal.NO_UPSTREAM
        if current.service != opened.service:
            return Refusal.WRONG_SERVICE
        if self.stopping or not self.accepts(opened.service):
            return Refusal.DRAINING
        return None

    def _perform(self, decision: Decision) -> None:
        for ticket, retry_s in decision.refuse:
            self._refuse(ticket, Refusal.NO_ROOM, retry_s)
        for ticket in decision.start:
            job = self._jobs.get(ticket.number)
            if job is None:
                self.slots.finish(ticket.number, self.now(), completed=False)
            else:
                job.start()

    def _refuse(self, ticket: Ticket, reason: Refusal, retry_s: float) -> None:
        job = self._jobs.get(ticket.number)
        if job is not None:
            job.refuse(reason, retry_s)
