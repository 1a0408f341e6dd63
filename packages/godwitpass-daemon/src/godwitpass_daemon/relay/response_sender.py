"""Sends large responses to the daemons that forwarded the calls, at the rate of the link."""

from collections.abc import Callable

import msgspec

from godwitpass.internal.relay.frames import BodyChunk, Response, ResponseAborted
from godwitpass.internal.relay.outbound_flow_control import OutboundFlowControl, Permit
from godwitpass_daemon.relay.upstream_calls import ReplyChannel


class _Transfer:
    """A response on its way; `head` is its first frame until that is sent."""

    __slots__ = (
        "channel",
        "deadline",
        "head",
        "is_complete",
        "stream_id",
        "unconfirmed_bytes",
        "unsent",
    )

    def __init__(self, channel: ReplyChannel, head: Response, deadline: float) -> None:
        self.channel = channel
        self.head: Response | None = head
        self.stream_id = head.stream_id
        self.deadline = deadline
        self.unsent = bytearray()
        self.unconfirmed_bytes = 0
        self.is_complete = False


class ResponseSender:
    """Holds the responses whose bytes wait for the link, also after their calls have ended."""

    def __init__(self, flow_control: OutboundFlowControl, now: Callable[[], float]) -> None:
        self.flow_control = flow_control
        self._now = now
        self._transfers: dict[int, _Transfer] = {}
        self._call_ids: dict[tuple[ReplyChannel, int], int] = {}

    def __len__(self) -> int:
        """Return the number of responses that aren't delivered yet."""
        return len(self._transfers)

    def start(
        self, call_id: int, channel: ReplyChannel, head: Response, body: bytes, deadline: float
    ) -> None:
        """Send a response, or its first part; `head` is its first frame without a body."""
        self._transfers[call_id] = _Transfer(channel, head, deadline)
        self._call_ids[channel, head.stream_id] = call_id
        self.append(call_id, body)

    def append(self, call_id: int, data: bytes) -> None:
        """Send the next part of a response."""
        transfer = self._transfers.get(call_id)
        if transfer is not None:
            transfer.unsent += data
            transfer.unconfirmed_bytes += len(data)
            self._send(self.flow_control.open(call_id, len(data), self._now()))

    def finish(self, call_id: int) -> None:
        """Mark a response as complete."""
        transfer = self._transfers.get(call_id)
        if transfer is None:
            return
        transfer.is_complete = True
        if not transfer.unsent:
            transfer.channel.send(BodyChunk(transfer.stream_id, b"", is_last=True))
        if not transfer.unconfirmed_bytes:
            self._drop(call_id)

    def abort(self, call_id: int) -> None:
        """End a response that can't be completed."""
        transfer = self._transfers.get(call_id)
        if transfer is not None:
            self._drop(call_id)
            transfer.channel.send(ResponseAborted(transfer.stream_id))

    def record_received(self, channel: ReplyChannel, stream_id: int, size_bytes: int) -> None:
        """Record that the forwarding daemon has received `size_bytes` of a response."""
        call_id = self._call_ids.get((channel, stream_id))
        if call_id is None:
            return
        transfer = self._transfers[call_id]
        transfer.unconfirmed_bytes -= size_bytes
        self._send(self.flow_control.record_received(call_id, size_bytes, self._now()))
        if transfer.is_complete and transfer.unconfirmed_bytes <= 0:
            self._drop(call_id)

    def cancel(self, channel: ReplyChannel, stream_id: int) -> None:
        """Drop a response that its caller no longer waits for."""
        call_id = self._call_ids.get((channel, stream_id))
        if call_id is not None:
            self._drop(call_id)

    def drop_channel(self, channel: ReplyChannel) -> None:
        """Drop all responses to a daemon whose connection has ended."""
        for owner, stream_id in list(self._call_ids):
            if owner is channel:
                self.cancel(owner, stream_id)

    def release(self, call_id: int) -> None:
        """Give up what is reserved for a call that has ended, unless its response is being sent."""
        if call_id not in self._transfers:
            self._send(self.flow_control.close(call_id, self._now()))

    def check_timeouts(self) -> None:
        """Drop responses past their deadline, and skip receivers that confirm nothing."""
        now = self._now()
        for call_id, transfer in list(self._transfers.items()):
            if now >= transfer.deadline:
                self._drop(call_id)
        self._send(self.flow_control.skip_stalled(now))

    def _send(self, permits: list[Permit]) -> None:
        for permit in permits:
            transfer = self._transfers.get(permit.call_id)
            if transfer is None:
                continue
            data = bytes(transfer.unsent[: permit.size_bytes])
            del transfer.unsent[: permit.size_bytes]
            head, transfer.head = transfer.head, None
            if head is not None:
                transfer.channel.send(msgspec.structs.replace(head, body=data))
                continue
            is_last = transfer.is_complete and not transfer.unsent
            transfer.channel.send(BodyChunk(transfer.stream_id, data, is_last))

    def _drop(self, call_id: int) -> None:
        transfer = self._transfers.pop(call_id)
        del self._call_ids[transfer.channel, transfer.stream_id]
        self._send(self.flow_control.close(call_id, self._now()))
