"""One call handed to this daemon: from its frames to the upstream and back."""

import asyncio
from typing import TYPE_CHECKING, Protocol

from godwitpass.internal.relay.frames import (
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
from godwitpass.internal.relay.admission import Ticket
from godwitpass_daemon.relay.upstream_connections import UpstreamConnection
from godwitpass_daemon.relay.headers import AnswerHead, encode_request
from godwitpass_daemon.relay.limits import MAX_HELD_ANSWER_BYTES

if TYPE_CHECKING:
    from godwitpass_daemon.relay.upstream_runner import Host


class Sender(Protocol):
    """The way back to the daemon that handed a call over."""

    def send(self, frame: Frame) -> None:
        """Send a frame."""
        ...

    def forget(self, stream: int) -> None:
        """Drop what is kept of a stream that has ended."""
        ...


class Job:
    """One call handed to this daemon; `body_left` counts the bytes of its body still to come."""

    __slots__ = (
        "_answer",
        "_body",
        "_connecting",
        "_connection",
        "_head",
        "_host",
        "_passing_on",
        "_sender",
        "_sent_at",
        "_was_reused",
        "body_left",
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
        self.body_left = opened.body_bytes - len(opened.body)
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
        return self.body_left <= 0

    @property
    def was_sent(self) -> bool:
        """Whether the upstream may have begun to run the call."""
        return self._sent_at > 0

    def add_body(self, data: bytes) -> None:
        """Take in a part of the request's body."""
        self._body.append(data)
        self.body_left -= len(data)
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
        self._host.log.note_cancelled(self, self._sent_at)
        if not self.opened.idempotent:
            # A call that must not be repeated is not broken off midway either.
            return
        self._drop_connection()
        self._end()

    def refuse(self, reason: Refusal, retry_s: float, arrived: bool = False) -> None:
        """Answer that the call has not run."""
        if not self.done:
            self._host.log.note_refused(self, reason, retry_s)
            load = self._end()
            self._sender.send(
                Refused(self.opened.stream, reason, arrived, int(retry_s * 1000), load)
            )

    def fail(self, reason: Failure) -> None:
        """Answer that the call may have run."""
        if self.done:
            return
        self._host.log.note_failed(self, reason)
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
            self._host.log.note_refusal(head.status)
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
        self._host.log.note_answered(self, head.status, wait_ms, service_ms)
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
            self._host.log.note_unreachable(error)
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
