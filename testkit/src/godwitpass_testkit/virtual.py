"""Discrete-event simulation: deliver the actions of decision objects as events in virtual time.

Messages take a random delay from a seeded generator and may be lost, duplicated or reordered.
Hosts and workloads are not modelled.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired

DATAGRAM_OVERHEAD_BYTES = 64
"""IP, UDP and authentication overhead of each message."""

MAX_DATAGRAM_BYTES = 1200 + DATAGRAM_OVERHEAD_BYTES
"""Larger messages take a connection."""


class Node(Protocol):
    """Decision object: takes events and returns actions, without I/O of its own."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle `event` at virtual time `now` in seconds and return the actions."""
        ...


class Link(msgspec.Struct, frozen=True):
    """Delay, loss and duplication of messages between two addresses.

    Each message takes its own delay, so that messages may arrive out of order. `loss` and
    `duplication` are probabilities.
    """

    min_delay_s: float = 0.001
    max_delay_s: float = 0.005
    loss: float = 0.0
    duplication: float = 0.0


DEFAULT_LINK = Link()


class _Attachment:
    """A node from `attach` to `detach`; a node attached later at the address is another one."""

    __slots__ = ("address", "held_events", "is_attached", "is_paused", "node")

    def __init__(self, address: Address, node: Node) -> None:
        self.address = address
        self.node = node
        self.is_attached = True
        self.is_paused = False
        self.held_events: deque[Any] = deque()


PerformAction = Callable[["VirtualQueue", Address, Any], None]


def ignore_action(queue: "VirtualQueue", address: Address, action: Any) -> None:
    """Ignore an action, where a test has no use for other actions than messages and timers."""


class VirtualQueue:
    """Event queue that delivers the events of many nodes in the order of virtual time.

    `choose_link` returns the link between two addresses, `is_blocked` tells whether messages
    between them are dropped, `is_silent` whether only those too large for a datagram are, and
    `alter_message` may replace a message on its way. All four may be replaced while the queue
    runs. Actions other than `Send`, `SetTimer` and `RecordEvent` go
    to `perform`. `after_event` is called with the address of each node that has handled an event.
    `now` is the virtual time in seconds.
    """

    def __init__(
        self, seed: int, link: Link = DEFAULT_LINK, perform: PerformAction = ignore_action
    ) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.choose_link: Callable[[Address, Address], Link] = lambda sender, to: link
        self.is_blocked: Callable[[Address, Address], bool] = lambda sender, to: False
        self.is_silent: Callable[[Address, Address], bool] = lambda sender, to: False
        self.alter_message: Callable[[Any], Any] = lambda message: message
        self.perform = perform
        self.after_event: Callable[[Address], None] = lambda address: None
        self.recorded_events: list[tuple[float, Address, RecordEvent]] = []
        self.sent_bytes: Counter[Address] = Counter()
        self.received_bytes: Counter[Address] = Counter()
        self.message_counts: Counter[str] = Counter()
        self.message_bytes: Counter[str] = Counter()
        self._attachments: dict[Address, _Attachment] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._last_measured: Any = None
        self._last_measured_bytes = 0

    def attach(self, address: Address, node: Node) -> None:
        """Start delivering events to `node` at `address`."""
        assert address not in self._attachments, f"{address} is in use; detach it first"
        self._attachments[address] = _Attachment(address, node)

    def detach(self, address: Address) -> None:
        """Remove the node at `address`; its timers and pending events are dropped."""
        self._attachments.pop(address).is_attached = False

    def pause(self, address: Address) -> None:
        """Hold back all events of the node at `address` until `resume`."""
        self._attachments[address].is_paused = True

    def resume(self, address: Address) -> None:
        """Deliver the events held back since `pause`, in their original order."""
        attachment = self._attachments[address]
        attachment.is_paused = False
        while attachment.held_events and attachment.is_attached:
            self._handle(attachment, attachment.held_events.popleft())

    def __len__(self) -> int:
        return len(self._attachments)

    def addresses(self) -> list[Address]:
        """Return the addresses of all attached nodes."""
        return list(self._attachments)

    def node(self, address: Address) -> Any:
        """Return the node attached at `address`."""
        return self._attachments[address].node

    def is_alive(self, address: Address) -> bool:
        """Return whether a node is attached at `address`."""
        return address in self._attachments

    def call_at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` at virtual time `time_s`, or now if that has passed."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(time_s, self.now), self._sequence, callback))

    def post(self, address: Address, event: Any) -> None:
        """Deliver `event` to the node at `address` now; without a node there, drop it."""
        attachment = self._attachments.get(address)
        if attachment is not None:
            self._deliver(attachment, event)

    def post_at(self, time_s: float, address: Address, event: Any) -> None:
        """Deliver `event` at `time_s` to the node now at `address`, unless that is detached."""
        attachment = self._attachments.get(address)
        if attachment is not None:
            self.call_at(time_s, lambda: self._deliver(attachment, event))

    def run(self, until_s: float) -> None:
        """Process all events up to virtual time `until_s`."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until_s

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Process events until `condition` holds, at most up to virtual time `limit_s`.

        Returns whether the condition holds.
        """
        while not condition():
            if not self._heap or self._heap[0][0] > limit_s:
                return False
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        return True

    def _deliver(self, attachment: _Attachment, event: Any) -> None:
        if not attachment.is_attached:
            return
        if attachment.is_paused:
            attachment.held_events.append(event)
            return
        self._handle(attachment, event)

    def _handle(self, attachment: _Attachment, event: Any) -> None:
        for action in attachment.node.handle(event, self.now):
            self._perform(attachment, action)
        self.after_event(attachment.address)

    def _perform(self, attachment: _Attachment, action: Any) -> None:
        if isinstance(action, Send):
            self._send(attachment.address, action)
        elif isinstance(action, SetTimer):
            self.call_at(action.at, lambda: self._deliver(attachment, TimerFired()))
        elif isinstance(action, RecordEvent):
            self.recorded_events.append((self.now, attachment.address, action))
        else:
            self.perform(self, attachment.address, action)

    def _measure_bytes(self, message: Any) -> int:
        if message is not self._last_measured:
            self._last_measured = message
            self._last_measured_bytes = (
                len(msgspec.msgpack.encode(message)) + DATAGRAM_OVERHEAD_BYTES
            )
        return self._last_measured_bytes

    def _send(self, sender: Address, action: Send[Any]) -> None:
        size_bytes = self._measure_bytes(action.message)
        self.sent_bytes[sender] += size_bytes
        self.message_counts[type(action.message).__name__] += 1
        self.message_bytes[type(action.message).__name__] += size_bytes
        link = self.choose_link(sender, action.to)
        copies = 2 if link.duplication and self.random.random() < link.duplication else 1
        for _ in range(copies):
            self._transmit(sender, action, link, size_bytes)

    def _transmit(self, sender: Address, action: Send[Any], link: Link, size_bytes: int) -> None:
        if self.is_blocked(sender, action.to) or (link.loss and self.random.random() < link.loss):
            return
        if size_bytes > MAX_DATAGRAM_BYTES and self.is_silent(sender, action.to):
            return
        delay_s = self.random.uniform(link.min_delay_s, link.max_delay_s)
        message = self.alter_message(action.message)
        self.call_at(
            self.now + delay_s, lambda: self._receive(sender, action.to, message, size_bytes)
        )

    def _receive(self, sender: Address, to: Address, message: Any, size_bytes: int) -> None:
        attachment = self._attachments.get(to)
        if attachment is not None:
            self.received_bytes[to] += size_bytes
            self._deliver(attachment, MessageReceived(sender, message))
