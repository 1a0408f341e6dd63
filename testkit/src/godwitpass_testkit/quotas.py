"""Rate limits of many daemons in virtual time, with faults of messages and processes."""

import heapq
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from godwitpass.ids import Address, CustomerName, Version
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.quotas.asker import (
    AskerEvent,
    CallArrived,
    CoordinatorsChanged,
    Decide,
    PermitReleased,
    QuotaAsker,
)
from godwitpass.internal.quotas.buckets import RateLimit
from godwitpass.internal.quotas.interface import Permit, QuotaAdmitted, QuotaDecision
from godwitpass.internal.quotas.messages import Ask, Message, decode_message, encode_message
from godwitpass.internal.quotas.owner import DaemonsCounted, LimitsChanged, OwnerEvent, QuotaOwner
from godwitpass.internal.quotas.settings import QuotaSettings

MAX_SESSION = 2**62


class NetworkConditions(msgspec.Struct):
    """Delays in seconds, and the shares of messages that are lost, doubled or late by `late_s`."""

    delay_s: tuple[float, float] = (0.001, 0.004)
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    late_s: float = 2.0


class Outcome(msgspec.Struct):
    """What became of one call."""

    customer: CustomerName
    daemon: Address
    arrived_at: float
    decided_at: float = -1.0
    decision: QuotaDecision | None = None
    is_released: bool = False

    @property
    def is_used(self) -> bool:
        """Return whether the call was admitted and reached an upstream."""
        return isinstance(self.decision, QuotaAdmitted) and not self.is_released


class SimulatedDaemon:
    """Asker and owner of one daemon, with a clock of its own that runs through pauses."""

    def __init__(self, fleet: "SimulatedFleet", address: Address) -> None:
        self.address = address
        self.is_alive = False
        self.paused_until = 0.0
        self._fleet = fleet
        self._clock_offset = fleet.rng.uniform(0, 1e6)
        self._clock_rate = 1 + fleet.rng.uniform(-5e-5, 5e-5)
        self._process = 0
        self._calls: dict[int, Outcome] = {}
        self.asker: QuotaAsker | None = None
        self.owner: QuotaOwner | None = None

    def read_clock(self) -> float:
        """Return CLOCK_BOOTTIME of the machine."""
        return self._clock_offset + self._fleet.now * self._clock_rate

    def start(
        self,
        version: Version,
        limits: Mapping[CustomerName, RateLimit],
        coordinators: tuple[Address, ...],
        count: int,
    ) -> None:
        """Start a process with the given view of the fleet."""
        rng, now = self._fleet.rng, self.read_clock()
        self.is_alive, self.paused_until = True, 0.0
        self._process += 1
        self._calls = {}
        settings, session = self._fleet.settings, rng.randrange(MAX_SESSION)
        self.asker = QuotaAsker(session, settings, random.Random(rng.random()), now)
        self.owner = QuotaOwner(self.address, session, settings, now)
        self.change_view(coordinators, count)
        self.change_limits(version, limits)

    def kill(self) -> None:
        """End the process; its calls are lost."""
        self.is_alive = False
        self._process += 1

    def change_view(self, coordinators: tuple[Address, ...], count: int) -> None:
        """Report the coordinators and the number of daemons."""
        self._tell_owner(DaemonsCounted(count))
        self._tell_asker(CoordinatorsChanged(coordinators, count))

    def change_limits(self, version: Version, limits: Mapping[CustomerName, RateLimit]) -> None:
        """Put other limits in force."""
        event = LimitsChanged(version, limits)
        self._tell_owner(event)
        self._tell_asker(event)

    def run(self, callback: Callable[[], None], process: int | None = None) -> None:
        """Run `callback` in this process, after a pause if there is one."""
        process = self._process if process is None else process
        if not self.is_alive or process != self._process:
            return
        if self.paused_until > self._fleet.now:
            self._fleet.schedule(self.paused_until, lambda: self.run(callback, process))
        else:
            callback()

    def call(self, customer: CustomerName) -> None:
        """Let a call arrive."""
        outcome = Outcome(customer, self.address, self._fleet.now)
        self._fleet.outcomes.append(outcome)
        call_id = len(self._fleet.outcomes)
        self._calls[call_id] = outcome
        self._tell_asker(CallArrived(call_id, customer))

    def receive(self, sender: Address, message: Message) -> None:
        """Handle a message."""
        if isinstance(message, Ask):
            self._tell_owner(MessageReceived(sender, message))
        else:
            self._tell_asker(MessageReceived(sender, message))

    def release(self, customer: CustomerName, permit: Permit) -> None:
        """Return the token of a call that reached no upstream."""
        self._tell_asker(PermitReleased(customer, permit))

    def _tell_owner(self, event: OwnerEvent) -> None:
        assert self.owner is not None
        for action in self.owner.handle(event, self.read_clock()):
            self._fleet.send(self.address, action.to, action.message)

    def _tell_asker(self, event: AskerEvent) -> None:
        assert self.asker is not None
        for action in self.asker.handle(event, self.read_clock()):
            if isinstance(action, Send):
                self._fleet.send(self.address, action.to, action.message)
            elif isinstance(action, SetTimer):
                self._set_timer(action.at)
            elif isinstance(action, Decide):
                self._decide(action)
            elif isinstance(action, RecordEvent):
                self._fleet.events.append((self._fleet.now, self.address, action))

    def _set_timer(self, at: float) -> None:
        wait_s = max(0.0, (at - self.read_clock()) / self._clock_rate)
        process = self._process
        self._fleet.schedule(
            self._fleet.now + wait_s + 1e-6,
            lambda: self.run(lambda: self._tell_asker(TimerFired()), process),
        )

    def _decide(self, action: Decide) -> None:
        outcome = self._calls.pop(action.call_id)
        outcome.decided_at, outcome.decision = self._fleet.now, action.decision
        if self._fleet.on_decision is not None:
            self._fleet.on_decision(self, outcome)


class SimulatedFleet:
    """Daemons, the network between them, and all calls with their decisions."""

    def __init__(
        self, seed: int, count: int, settings: QuotaSettings, network: NetworkConditions
    ) -> None:
        self.rng = random.Random(seed)
        self.settings = settings
        self.network = network
        self.now = 0.0
        self.message_count = 0
        self.outcomes: list[Outcome] = []
        self.events: list[tuple[float, Address, RecordEvent]] = []
        self.cut: set[tuple[Address, Address]] = set()
        self.on_decision: Callable[[SimulatedDaemon, Outcome], None] | None = None
        self.daemons = {
            address: SimulatedDaemon(self, address)
            for address in (Address(f"10.0.0.{number}:7") for number in range(count))
        }
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def schedule(self, at: float, callback: Callable[[], None]) -> None:
        """Call `callback` at time `at`."""
        self._sequence += 1
        heapq.heappush(self._queue, (at, self._sequence, callback))

    def run_until(self, end: float) -> None:
        """Advance the virtual time."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end

    def send(self, sender: Address, to: Address, message: Message) -> None:
        """Deliver a message under the conditions of the network."""
        self.message_count += 1
        network, rng = self.network, self.rng
        payload = encode_message(message)
        if (sender, to) in self.cut or (sender != to and rng.random() < network.lost):
            return
        copies = 2 if rng.random() < network.doubled else 1
        for _ in range(copies):
            delay_s = rng.uniform(*network.delay_s) if sender != to else 0.0
            if rng.random() < network.late:
                delay_s += rng.uniform(0, network.late_s)
            self.schedule(self.now + delay_s, lambda: self._deliver(sender, to, payload))

    def _deliver(self, sender: Address, to: Address, payload: bytes) -> None:
        daemon = self.daemons.get(to)
        if daemon is not None:
            daemon.run(lambda: daemon.receive(sender, decode_message(payload)))

    def partition(self, side: Iterable[Address]) -> None:
        """Cut all links between `side` and the others, both ways."""
        inside = set(side)
        outside = set(self.daemons) - inside
        self.cut = {pair for a in inside for b in outside for pair in ((a, b), (b, a))}


class LimitsInForce(msgspec.Struct):
    """Limits that some daemon used from `start` to `end`."""

    start: float
    end: float
    limits: Mapping[CustomerName, RateLimit]


def find_excess(
    outcomes: Iterable[Outcome], in_force: Sequence[LimitsInForce], settings: QuotaSettings
) -> tuple[float, CustomerName | None]:
    """Return the largest excess of any customer over its bound in any window (negative: room).

    A window is bound by the highest limit that any daemon used in it.
    """
    worst, worst_customer = -math.inf, None
    windows: dict[CustomerName, deque[float]] = defaultdict(deque)
    used = (item for item in outcomes if item.is_used)
    for outcome in sorted(used, key=lambda item: item.decided_at):
        window, end = windows[outcome.customer], outcome.decided_at
        window.append(end)
        while window[0] < end - settings.window_s:
            window.popleft()
        bound = max(
            _compute_bound(item.limits.get(outcome.customer), settings)
            for item in in_force
            if item.start <= end and item.end >= end - settings.window_s
        )
        excess = len(window) - bound
        if excess > worst:
            worst, worst_customer = excess, outcome.customer
    return worst, worst_customer


def _compute_bound(limit: RateLimit | None, settings: QuotaSettings) -> float:
    if limit is None:
        return math.inf
    calls = limit.rate_per_s * settings.window_s + limit.burst
    return calls * (1 + settings.overage) + settings.slack
