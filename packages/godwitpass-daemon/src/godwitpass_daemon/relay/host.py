"""Runs calls at the upstream beside this daemon, within its slots."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from godwitpass.events import EventKind, Field
from godwitpass.ids import ServiceName
from godwitpass.internal.relay import events as kinds
from godwitpass.internal.relay.frames import (
    BODY_CHUNK_BYTES,
    Answered,
    Body,
    Cut,
    Failed,
    Failure,
    Frame,
    Load,
    Open,
    Proceed,
    Refusal,
    Refused,
)
from godwitpass.internal.relay.inbound import Grant, Inbound
from godwitpass.internal.relay.registration import Registration
from godwitpass.internal.relay.sampling import is_sampled
from godwitpass.internal.relay.slots import Decision, Slots, Ticket
from godwitpass_daemon.relay.connections import UpstreamConnection, UpstreamPool
from godwitpass_daemon.relay.headers import AnswerHead, HeaderNames, encode_request
from godwitpass_daemon.relay.limits import (
    HEARTBEAT_LOST_S,
    MAX_HELD_ANSWER_BYTES,
)

Emit = Callable[[EventKind, dict[str, Field]], None]


class Sender(Protocol):
    """The way back to the daemon that handed a call over."""

    def send(self, frame: Frame) -> None:
        """Send a frame."""
        ...

    def forget(self, stream: int) -> None:
        """Drop what is kept of a stream that has ended."""
        ...


class Job:
    """One call handed to this daemon."""

    __slots__ = (
        "_answer",
        "_body",
        "_body_left",
        "_connecting",
        "_connection",
        "_head",
        "_host",
        "_passing_on",
        "_sender",
        "_sent_at",
        "_was_reused",
        "deadline",
        "done",
        "number",
        "opened",
        "ticket",
    )

    def __init__(self, host: "Host", sender: Sender, opened: Open, number: int) -> None:
        now = host.now()
        self.opened = opened
        self.number = number
        self.deadline = now + opened.left_ms / 1000
        self.ticket = Ticket(
            number,
            opened.route,
            opened.rank,
            now + opened.objective_ms / 1000,
            self.deadline,
            now,
        )
        self.done = False
        self._host = host
        self._sender = sender
        self._body = [opened.body] if opened.body else []
        self._body_left = opened.body_bytes - len(opened.body)
        self._connecting: asyncio.Task[None] | None = None
        self._connection: UpstreamConnection | None = None
        self._was_reused = False
        self._sent_at = 0.0
        self._head: AnswerHead | None = None
        self._answer: list[bytes] = []
        self._passing_on = False

    @property
    def is_complete(self) -> bool:
        """Whether the whole body of the request has come."""
        return self._body_left <= 0

    @property
    def body_left(self) -> int:
        """The bytes of the request's body that are still to come."""
        return self._body_left

    @property
    def was_sent(self) -> bool:
        """Whether the upstream may have begun to run the call."""
        return self._sent_at > 0

    def add_body(self, data: bytes) -> None:
        """Take in a part of the request's body."""
        self._body.append(data)
        self._body_left -= len(data)
        self._host.proceed(self._host.inbound.receive(self.number, len(data), self._host.now()))
        if self.is_complete and not self.done:
            self._host.admit(self)

    def proceed(self, size: int) -> None:
        """Let the sender send on."""
        if not self.done:
            self._sender.send(Proceed(self.opened.stream, size))

    def cancel(self) -> None:
        """End the call; the upstream sees the connection close."""
        if self.done:
            return
        if not self.was_sent:
            self.refuse(Refusal.CANCELLED, 0.0)
            return
        self._host.note_cancelled(self, self._sent_at)
        if not self.opened.idempotent:
            # A call that must not be repeated is not broken off midway either.
            return
        self._drop_connection()
        self._end()

    def refuse(self, reason: Refusal, retry_s: float, arrived: bool = False) -> None:
        """Answer that the call has not run."""
        if not self.done:
            self._host.note_refused(self, reason, retry_s)
            load = self._end()
            self._sender.send(
                Refused(self.opened.stream, reason, arrived, int(retry_s * 1000), load)
            )

    def fail(self, reason: Failure) -> None:
        """Answer that the call may have run."""
        if self.done:
            return
        self._host.note_failed(self, reason)
        self._drop_connection()
        if self._passing_on:
            self._end()
            self._sender.send(Cut(self.opened.stream))
            return
        load = self._end()
        self._sender.send(Failed(self.opened.stream, reason, load))

    def start(self) -> None:
        """Send the request to the upstream."""
        connection = self._host.pool.take(single_use=not self.opened.idempotent)
        if connection is None:
            self._connect()
        else:
            self._use(connection)

    def expire(self) -> None:
        """End a call whose time is over."""
        if self.was_sent:
            self.fail(Failure.TIMEOUT)
        else:
            self.refuse(Refusal.TOO_LATE, 0.0)

    # Called by the connection.

    def take_head(self, head: AnswerHead) -> None:
        """Keep the answer's head."""
        self._head = head

    def take_body(self, data: bytes) -> None:
        """Keep a part of the answer, or pass it on if the answer is long."""
        if self.done:
            return
        if self._passing_on:
            self._sender.send(Body(self.opened.stream, data))
            return
        self._answer.append(data)
        held = sum(len(part) for part in self._answer)
        head = self._head
        if held > MAX_HELD_ANSWER_BYTES and head is not None and self._is_sound(head):
            self._passing_on = True
            self._send_answer(head, last=False)

    def take_end(self) -> None:
        """Pass the whole answer on, or say that there is none."""
        self._connection = None
        head = self._head
        if self.done or head is None:
            return
        if self._passing_on:
            self._end(completed=True)
            self._sender.send(Body(self.opened.stream, b"", last=True))
        elif head.not_run or head.status == 421:
            self._host.note_refusal(head.status)
            self.refuse(Refusal.UPSTREAM_REFUSED, 0.0, arrived=True)
        elif not self._is_sound(head):
            self.fail(Failure.INVALID)
        else:
            self._send_answer(head, last=True)

    def take_loss(self, received: bool, invalid: bool) -> None:
        """Say that the call has no whole answer, or send it again where that is safe."""
        self._connection = None
        if self.done:
            return
        if self._was_reused and not received and self.opened.idempotent:
            # The upstream closed an idle connection in the moment of sending.
            self._was_reused = False
            self._connect()
            return
        self.fail(Failure.INVALID if invalid else Failure.RESET)

    def _is_sound(self, head: AnswerHead) -> bool:
        """Tell whether an answer can be the upstream's own; a success bears its seal."""
        if head.encoded_content:
            return False
        return head.sealed or not 200 <= head.status < 300

    def _send_answer(self, head: AnswerHead, last: bool) -> None:
        now = self._host.now()
        wait_ms = int((self.ticket.started_at - self.ticket.arrived_at) * 1000)
        service_ms = int((now - self._sent_at) * 1000)
        self._host.note_answered(self, head.status, wait_ms, service_ms)
        body = b"".join(self._answer)
        self._answer.clear()
        load = self._end(completed=head.status < 500) if last else self._host.load()
        self._sender.send(
            Answered(
                self.opened.stream,
                head.status,
                head.encoded,
                body,
                len(body) if last else head.body_bytes,
                last,
                wait_ms,
                service_ms,
                load,
            )
        )

    def _connect(self) -> None:
        self._connecting = asyncio.get_running_loop().create_task(self._open_connection())

    async def _open_connection(self) -> None:
        try:
            connection = await self._host.pool.connect()
        except (OSError, TimeoutError) as error:
            self._connecting = None
            if self.done:
                return
            self._host.note_unreachable(error)
            if self.was_sent:
                self.fail(Failure.RESET)
            else:
                self.refuse(Refusal.UNREACHABLE, 0.0)
            return
        self._connecting = None
        if self.done:
            self._host.pool.put(connection)
            return
        self._use(connection)

    def _use(self, connection: UpstreamConnection) -> None:
        host = self._host
        now = host.now()
        left_ms = int((self.deadline - now) * 1000)
        target = host.registration.current
        if left_ms <= 0 or target is None or not host.accepts(self.opened.service):
            host.pool.put(connection)
            self.refuse(Refusal.TOO_LATE if left_ms <= 0 else Refusal.DRAINING, 0.0)
            return
        self._connection = connection
        self._was_reused = connection.is_reused
        self._sent_at = now
        opened = self.opened
        head = encode_request(
            opened.head, host.names, left_ms, target.upstream.encode(), opened.body_bytes
        )
        method = opened.head.partition(b" ")[0]
        request_id = opened.request_id.encode("latin-1")
        connection.send(self, method, request_id, b"".join([head, *self._body]))

    def _drop_connection(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _end(self, completed: bool = False) -> Load:
        """Free the slot and return the load that is left."""
        self.done = True
        self._body.clear()
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        self._sender.forget(self.opened.stream)
        return self._host.end(self, completed)


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
        self.counts: Counter[str] = Counter()
        self._emit = emit
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

    def note_refused(self, job: Job, reason: Refusal, retry_s: float) -> None:
        """Count and log a call that was not run, with what decided it."""
        self.counts[f"refused-{reason.name.lower()}"] += 1
        now, slots = self.now(), self.slots
        self._emit(
            kinds.RUN_REFUSED,
            {
                "request": job.opened.request_id,
                "route": job.opened.route,
                "reason": reason.name.lower(),
                "running": len(slots.running),
                "waiting": len(slots.waiting),
                "slots": slots.limit,
                "work_ms": int(slots.expect_work(job.opened.route) * 1000),
                "inbound_ms": int(self.inbound.backlog_s * 1000),
                "left_ms": int((job.deadline - now) * 1000),
                "waited_ms": int((now - job.ticket.arrived_at) * 1000),
                "retry_ms": int(retry_s * 1000),
            },
        )

    def note_failed(self, job: Job, reason: Failure) -> None:
        """Count and log a call that has no whole answer."""
        self.counts[f"failed-{reason.name.lower()}"] += 1
        self._emit(kinds.RUN_FAILED, self._describe(job, reason.name.lower()))

    def note_cancelled(self, job: Job, sent_at: float) -> None:
        """Count and log a call whose sender gave it up while it ran."""
        self.counts["cancelled"] += 1
        fields = self._describe(job, "cancelled")
        fields["ran_ms"] = int((self.now() - sent_at) * 1000)
        fields["running"], fields["slots"] = len(self.slots.running), self.slots.limit
        self._emit(kinds.RUN_CANCELLED, fields)

    def note_answered(self, job: Job, status: int, wait_ms: int, service_ms: int) -> None:
        """Count an answer and log some."""
        self.counts[f"answered-{status}"] += 1
        if status >= 500 or is_sampled(job.opened.request_id):
            fields = self._describe(job, f"status-{status}")
            self._emit(kinds.RUN_ENDED, {**fields, "wait_ms": wait_ms, "service_ms": service_ms})

    def _describe(self, job: Job, outcome: str) -> dict[str, Field]:
        current = self.registration.current
        return {
            "request": job.opened.request_id,
            "route": job.opened.route,
            "outcome": outcome,
            "upstream": current.upstream if current else "",
            "heard_ms_ago": int((self.now() - self.registration.heard_at) * 1000),
            "left_ms": int((job.deadline - self.now()) * 1000),
        }

    def note_refusal(self, status: int) -> None:
        """Count a refusal by the upstream itself."""
        self.counts[f"upstream-refused-{status}"] += 1

    def note_unreachable(self, error: Exception) -> None:
        """Report that the upstream accepts no connection."""
        self.counts["upstream-unreachable"] += 1
        self._emit(kinds.UPSTREAM_UNREACHABLE, {"error": repr(error)})

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
