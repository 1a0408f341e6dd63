"""Virtual time: hands the actions of decision objects to one another as events.

Messages take a seeded random delay and may be lost, repeated or overtaken. Nothing here models
hosts or workloads.
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
"""Bytes of IP, UDP and authentication around each message."""


class Node(Protocol):
    """A decision object."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Decide on `event` and return actions."""
        ...


class Link(msgspec.Struct, frozen=True):
    """How one message travels; unequal delays let messages overtake one another."""

    min_delay_s: float = 0.001
    max_delay_s: float = 0.005
    loss: float = 0.0
    duplication: float = 0.0


DEFAULT_LINK = Link()


class _Port:
    """One life of the node at an address."""

    __slots__ = ("address", "alive", "held", "node", "paused")

    def __init__(self, address: Address, node: Node) -> None:
        self.address = address
        self.node = node
        self.alive = True
        self.paused = False
        self.held: deque[Any] = deque()


Perform = Callable[["VirtualQueue", Address, Any], None]


def ignore_action(queue: "VirtualQueue", address: Address, action: Any) -> None:
    """Drop an action that no part of the test performs."""


class VirtualQueue:
    """Runs events of many nodes in the order of virtual time.

    `link` gives the link between two addresses and may be replaced while running, as may
    `blocked`, which tells whether messages between two addresses are dropped. Actions other than
    `Send`, `SetTimer` and `RecordEvent` go to `perform`.
    """

    def __init__(
        self, seed: int, link: Link = DEFAULT_LINK, perform: Perform = ignore_action
    ) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.choose_link: Callable[[Address, Address], Link] = lambda sender, to: choose_link
        self.is_blocked: Callable[[Address, Address], bool] = lambda sender, to: False
        self.alter_message: Callable[[Any], Any] = lambda message: message
        self.perform = perform
        self.after_event: Callable[[Address], None] = lambda address: None
        self.recorded_events: list[tuple[float, Address, RecordEvent]] = []
        self.sent_bytes: Counter[Address] = Counter()
        self.received_bytes: Counter[Address] = Counter()
        self.message_counts: Counter[str] = Counter()
        self.message_bytes: Counter[str] = Counter()
        self._ports: dict[Address, _Port] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._measured: Any = None
        self._measured_bytes = 0

    def attach(self, address: Address, node: Node) -> None:
        """Start the life of `node` at `address`."""
        assert address not in self._ports, f"{address} is in use; detach it first"
        self._ports[address] = _Port(address, node)

    def detach(self, address: Address) -> None:
        """Kill the node at `address`; its timers and the messages to it are lost."""
        self._ports.pop(address).alive = False

    def pause(self, address: Address) -> None:
        """Hold all events of `address` until `resume`."""
        self._ports[address].paused = True

    def resume(self, address: Address) -> None:
        """Deliver the events held since `pause`, late, in their order."""
        port = self._ports[address]
        port.paused = False
        while port.held and port.alive:
            self._handle(port, port.held.popleft())

    def __len__(self) -> int:
        return len(self._ports)

    def addresses(self) -> list[Address]:
        """Return the addresses of all living nodes."""
        return list(self._ports)

    def node(self, address: Address) -> Any:
        """Return the living node at `address`."""
        return self._ports[address].node

    def is_alive(self, address: Address) -> bool:
        """Tell whether a node lives at `address`."""
        return address in self._ports

    def call_at(self, time: float, call: Callable[[], None]) -> None:
        """Run `call` at virtual `time`."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(time, self.now), self._sequence, call))

    def post(self, address: Address, event: Any) -> None:
        """Let the node at `address` handle `event` now; dropped when there is none."""
        port = self._ports.get(address)
        if port is not None:
            self._deliver(port, event)

    def post_at(self, time: float, address: Address, event: Any) -> None:
        """Let this life of the node at `address` handle `event` at `time`."""
        port = self._ports.get(address)
        if port is not None:
            self.call_at(time, lambda: self._deliver(port, event))

    def run(self, until: float) -> None:
        """Run all events up to virtual time `until`."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until

    def run_until(self, reached: Callable[[], bool], limit: float) -> bool:
        """Run until `reached`, at most to time `limit`; tell whether it was reached."""
        while not reached():
            if not self._heap or self._heap[0][0] > limit:
                return False
            self.now, _, call = heapq.heappop(self._heap)
            call()
        return True

    def _deliver(self, port: _Port, event: Any) -> None:
        if not port.alive:
            return
        if port.paused:
            port.held.append(event)
            return
        self._handle(port, event)

    def _handle(self, port: _Port, event: Any) -> None:
        for action in port.node.handle(event, self.now):
            self._perform(port, action)
        self.after_event(port.address)

    def _perform(self, port: _Port, action: Any) -> None:
        if isinstance(action, Send):
            self._send(port.address, action)
        elif isinstance(action, SetTimer):
            self.call_at(action.call_at, lambda: self._deliver(port, TimerFired()))
        elif isinstance(action, RecordEvent):
            self.recorded_events.append((self.now, port.address, action))
        else:
            self.perform(self, port.address, action)

    def _measure(self, message: Any) -> int:
        if message is not self._measured:
            self._measured = message
            self._measured_bytes = len(msgspec.msgpack.encode(message)) + DATAGRAM_OVERHEAD_BYTES
        return self._measured_bytes

    def _send(self, sender: Address, action: Send[Any]) -> None:
        size = self._measure(action.message)
        self.sent_bytes[sender] += size
        self.message_counts[type(action.message).__name__] += 1
        self.message_bytes[type(action.message).__name__] += size
        choose_link = self.choose_link(sender, action.to)
        copies = 2 if link.duplication and self.random.random() < link.duplication else 1
        for _ in range(copies):
            self._carry(sender, action, link, size)

    def _carry(self, sender: Address, action: Send[Any], link: Link, size: int) -> None:
        if self.is_blocked(sender, action.to) or (link.loss and self.random.random() < link.loss):
            return
        delay = self.random.uniform(link.min_delay_s, link.max_delay_s)
        message = self.alter_message(action.message)
        self.call_at(self.now + delay, lambda: self._arrive(sender, action.to, message, size))

    def _arrive(self, sender: Address, to: Address, message: Any, size: int) -> None:
        port = self._ports.get(to)
        if port is not None:
            self.received_bytes[to] += size
            self._deliver(port, MessageReceived(sender, message))
