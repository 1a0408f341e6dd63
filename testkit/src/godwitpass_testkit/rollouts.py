"""Virtual time for roll-outs: agents, controllers, senders, servers and a store with faults."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from godwitpass.ids import (
    Address,
    InstanceId,
    RegionId,
    Revision,
    RouteName,
    ServiceName,
    SoftwareVersion,
    ZoneId,
)
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.relay.canary_share import CanaryShares
from godwitpass.internal.requests import (
    EntriesRead,
    EntryRead,
    Get,
    List,
    Put,
    Request,
    RequestFailed,
    WriteDone,
)
from godwitpass.internal.rollouts.agent import (
    Agent,
    AvailabilityChanged,
    MembersChanged,
    UpstreamChanged,
)
from godwitpass.internal.rollouts.candidates import list_readers, rank_candidates
from godwitpass.internal.rollouts.controller import Controller, ReaderChanged
from godwitpass.internal.rollouts.messages import Answer, decode_message, encode_message
from godwitpass.internal.rollouts.records import (
    InvalidOrder,
    Order,
    Phase,
    Record,
    RolloutSource,
)
from godwitpass.mesh import Member, MemberState, Upstream, UpstreamState
from godwitpass_testkit.store.state import StoreState

SERVICE = ServiceName("desk")
OLD, NEW = SoftwareVersion("v1"), SoftwareVersion("v2")
ROUTES = (RouteName("read"), RouteName("list"), RouteName("write"))
WORK_S = 0.15
GOSSIP_S = 0.3
MESSAGE_LOSS = 0.01
STORE_TIMEOUT_S = 1.5
MAX_FORWARDS = 4

Behaviour = Callable[[float, RouteName, int, random.Random], tuple[bool, float]]
"""Returns whether a response fails and its duration, from the seconds since the order, the route
and the calls in progress at the server."""


def behave_well(_: float, __: RouteName, ___: int, rng: random.Random) -> tuple[bool, float]:
    """Respond after the usual time; one response in a thousand fails."""
    return rng.random() < 0.001, WORK_S * rng.uniform(0.6, 1.6)


def decode_order(service: ServiceName, value: bytes, revision: Revision) -> Order:
    """Decode an order as `order` writes it."""
    try:
        target, duration_s = msgspec.json.decode(value, type=tuple[str, float])
    except msgspec.MsgspecError as error:
        raise InvalidOrder(str(error)) from error
    return Order(service, SoftwareVersion(target), duration_s, revision)


SOURCE = RolloutSource(
    "op/", "status/", decode_order, msgspec.json.Decoder(Record).decode, msgspec.json.encode
)


class Machine:
    """A daemon, its server and the callers that use it.

    `is_cut`: no message, call or store request passes. `skew_s` is the daemon's clock minus the
    world's, as machines boot at different times. `candidates` replaces the common ranking, and
    `orders_delay_s` delays what the daemon reads of the orders.
    """

    def __init__(self, world: "World", number: int, version: SoftwareVersion) -> None:
        self.world = world
        self.name = InstanceId(f"m-{number}")
        self.address = Address(f"10.0.{number // 250}.{number % 250 + 1}:7000")
        self.zone = ZoneId(f"z{number % 3}")
        self.version = version
        self.skew_s = world.rng.uniform(0, 1000)
        self.is_up = self.is_cut = self.is_store_cut = False
        self.paused_until = 0.0
        self.candidates: tuple[Address, ...] = ()
        self.orders_delay_s = 0.0
        self.announced = Upstream(
            self.name,
            SERVICE,
            self.address,
            self.zone,
            RegionId("r"),
            UpstreamState.STARTING,
            8,
            version,
        )
        self.incarnation = 0
        self.in_progress = 0
        self.start()

    def now(self) -> float:
        """Return the time on this machine's clock."""
        return self.world.now + self.skew_s

    def start(self) -> None:
        """Start a daemon that knows nothing."""
        world = self.world
        self.is_up = True
        self.incarnation += 1
        self.in_progress = 0
        rng = random.Random(world.rng.random())
        self.agent = Agent(
            self.name, rng, lambda: self.in_progress, lambda _: world.candidates(self)
        )
        self.controller = Controller(
            self.address, 0.1, SOURCE, rng, lambda: world.members, lambda _: world.candidates(self)
        )
        self.announced = msgspec.structs.replace(
            self.announced, state=UpstreamState.STARTING, canary_share=0.0
        )
        self.senders = [CanaryShares(rng) for _ in range(world.senders)]
        world.publish(self)
        world.at(
            0.1, self.after_start(lambda: self.feed_agent(UpstreamChanged(SERVICE, self.version)))
        )
        world.at(
            rng.uniform(0.2, 1.0),
            self.after_start(lambda: self.feed_controller(ReaderChanged(world.is_reader(self)))),
        )

    def after_start(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Return a callback that does nothing once the daemon has restarted."""
        incarnation = self.incarnation

        def run() -> None:
            if self.incarnation != incarnation or not self.is_up:
                return
            if self.paused_until > self.world.now:
                self.world.at(self.paused_until - self.world.now, run)
            else:
                callback()

        return run

    def kill(self) -> None:
        """End daemon and server at once; the members lose it after 2 s."""
        self.is_up = False
        self.incarnation += 1
        self.world.at(2.0, self.world.refresh_members)

    def feed_agent(self, event: Any) -> None:
        """Give an event to the agent."""
        self.perform(self.agent.handle(event, self.now()), self.feed_agent)

    def feed_controller(self, event: Any) -> None:
        """Give an event to the controller."""
        self.perform(self.controller.handle(event, self.now()), self.feed_controller)

    def perform(self, actions: list[Any], feed: Callable[[Any], None]) -> None:
        """Perform the actions of a decision object."""
        world = self.world
        for action in actions:
            match action:
                case Send(to, message):
                    world.counts["messages"] += 1
                    world.send(self, to, encode_message(message))
                case SetTimer(at):
                    delay_s = max(0.0, at - self.now()) + 1e-6
                    world.at(delay_s, self.after_start(lambda: feed(TimerFired())))
                case RecordEvent(kind, fields):
                    world.events.append((world.now, self.name, kind.name, fields))
                case AvailabilityChanged():
                    state = UpstreamState.READY if action.is_open else UpstreamState.STARTING
                    self.announced = msgspec.structs.replace(
                        self.announced, state=state, canary_share=action.share
                    )
                    world.publish(self)
                case _:
                    world.counts["requests"] += 1
                    world.request(self, action)

    def run_call(self, route: RouteName, on_end: Callable[[bool], None]) -> bool:
        """Run a call on the server; returns False if the daemon refuses it."""
        world = self.world
        self.agent.record_arrival(self.now())
        if not self.agent.may_run(self.now()):
            return False
        world.record_run(self)
        self.in_progress += 1
        since_order_s = world.now - world.ordered_at
        has_failed, duration_s = world.behaviours.get(self.version, behave_well)(
            since_order_s, route, self.in_progress, world.rng
        )
        incarnation = self.incarnation

        def end() -> None:
            if self.incarnation != incarnation:
                return
            self.in_progress -= 1
            is_bad = has_failed or duration_s > 4 * WORK_S
            if self.version == NEW and is_bad:
                world.bad_at.append(world.now)
            actions = self.agent.record_response(route, duration_s, has_failed, False, self.now())
            self.perform(actions, self.feed_agent)
            on_end(has_failed)

        world.at(duration_s, self.after_start(end))
        return True


class World:
    """Machines of one service, a store, and `rate` calls a second from all machines."""

    def __init__(
        self, old: int = 16, new: int = 16, rate: float = 200.0, senders: int = 8, seed: int = 1
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.rate = rate
        self.senders = senders
        self.store = StoreState(seed)
        self.is_store_down = False
        self.loses_answers = False
        self.write_delay_s = 0.0
        self.behaviours: dict[SoftwareVersion, Behaviour] = {}
        self.members: tuple[Member, ...] = ()
        self.visible: dict[InstanceId, Upstream] = {}
        self.ordered_at = 0.0
        self.deadline = 0.0
        self.calls = 0
        self.runs: Counter[SoftwareVersion] = Counter()
        self.calls_in_order = self.target_runs_in_order = 0
        self.refused = 0
        self.bad_at: list[float] = []
        self.last_target_run_at = 0.0
        self.late_old_runs = 0
        self.events: list[tuple[float, str, str, dict[str, Any]]] = []
        self.statuses: list[tuple[float, Record]] = []
        self.counts: Counter[str] = Counter()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._readers: tuple[Address, ...] = ()
        self.machines: list[Machine] = []
        self.add(OLD, old)
        self.add(NEW, new)
        self.at(0.01, self._call)

    @property
    def record(self) -> Record | None:
        """Return the record that the store holds."""
        entry = self.store.get("status/desk", self.now)
        return None if entry.value is None else SOURCE.decode_record(entry.value)

    @property
    def phase(self) -> Phase:
        """Return the phase of the record."""
        record = self.record
        return record.phase if record else Phase.NONE

    def old(self) -> list[Machine]:
        """Return the machines of the old version."""
        return [machine for machine in self.machines if machine.version == OLD]

    def new(self) -> list[Machine]:
        """Return the machines of the target version."""
        return [machine for machine in self.machines if machine.version == NEW]

    def controllers(self) -> list[Machine]:
        """Return the machines that control the service."""
        return [
            machine
            for machine in self.machines
            if machine.is_up and any(is_acting for _, is_acting in machine.controller.rollouts)
        ]

    def add(self, version: SoftwareVersion, count: int) -> None:
        """Start further machines."""
        for _ in range(count):
            self.machines.append(Machine(self, len(self.machines), version))
        self.refresh_members()

    def order(self, target: SoftwareVersion = NEW, duration_s: float = 12.0) -> None:
        """Write an order."""
        if not self.deadline:
            self.ordered_at = self.now
        self.deadline = self.ordered_at + duration_s
        self.store.put("op/desk", msgspec.json.encode((target, duration_s)), None, None, self.now)

    def at(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run `callback` after `delay_s`."""
        heapq.heappush(self._queue, (self.now + delay_s, next(self._order), callback))

    def run(self, duration_s: float) -> None:
        """Advance the time."""
        end = self.now + duration_s
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end

    def run_until(self, condition: Callable[[], bool], timeout_s: float = 20.0) -> None:
        """Advance the time until `condition` holds."""
        end = self.now + timeout_s
        while not condition():
            assert self.now < end, "the condition has not come about"
            self.run(0.02)

    def publish(self, machine: Machine) -> None:
        """Make an announcement visible to all after a while."""
        announced = machine.announced

        def show() -> None:
            if not machine.is_cut and machine.announced is announced:
                self.visible[machine.name] = announced
                self.refresh_members()

        self.at(GOSSIP_S * self.rng.uniform(0.5, 1.0), show)

    def refresh_members(self) -> None:
        """Tell all daemons who is there."""
        self.members = tuple(
            Member(
                machine.name,
                machine.zone,
                RegionId("r"),
                machine.address,
                1,
                1,
                MemberState.ALIVE,
                self.visible.get(machine.name),
            )
            for machine in self.machines
            if machine.is_up
        )
        self._readers = list_readers(self.members)
        upstreams = [member.upstream for member in self.members if member.upstream is not None]
        for machine in self.machines:
            if machine.is_up and machine.paused_until <= self.now:
                others = [item for item in upstreams if item.instance != machine.name]
                machine.feed_agent(MembersChanged(tuple(others)))

    def candidates(self, machine: Machine) -> tuple[Address, ...]:
        """Return the candidates by rank, as `machine` sees them."""
        return machine.candidates or rank_candidates(self._readers, SERVICE)

    def is_reader(self, machine: Machine) -> bool:
        """Return whether a daemon reads the store."""
        return machine.address in self._readers

    def send(self, sender: Machine, to: Address, payload: bytes) -> None:
        """Deliver a message, unless it is lost."""
        receiver = next((item for item in self.machines if item.address == to), None)
        if receiver is None or self.rng.random() < MESSAGE_LOSS:
            return
        incarnation = receiver.incarnation

        def deliver() -> None:
            if sender.is_cut or receiver.is_cut or receiver.incarnation != incarnation:
                return
            if receiver.paused_until > self.now:
                self.at(receiver.paused_until - self.now, deliver)
                return
            message = decode_message(payload)
            event = MessageReceived(sender.address, message)
            receiver.feed_agent(event)
            if not isinstance(message, Answer):
                receiver.feed_controller(event)

        self.at(self.rng.uniform(0.001, 0.01), deliver)

    def request(self, machine: Machine, request: Request) -> None:
        """Perform a store request."""
        feed = machine.after_start

        def fail(is_outcome_unknown: bool) -> None:
            answer = RequestFailed(request.tag, is_outcome_unknown, "no answer")
            self.at(STORE_TIMEOUT_S, feed(lambda: machine.feed_controller(answer)))

        if machine.is_cut or machine.is_store_cut or self.is_store_down:
            fail(False)
            return
        if isinstance(request, Put) and (self.write_delay_s or self.loses_answers):
            self.at(self.write_delay_s, lambda: self._execute(request))
            fail(True)
            return
        if not isinstance(request, Get | List | Put):
            self._watch(machine, request, self.now + request.timeout_s)  # type: ignore[union-attr]
            return
        answer = self._execute(request)
        delay_s = machine.orders_delay_s if isinstance(request, List) else 0.0
        self.at(0.02 + delay_s, feed(lambda: machine.feed_controller(answer)))

    def _execute(self, request: Request) -> Any:
        match request:
            case Get():
                return EntryRead(request.tag, self.store.get(request.key, self.now))
            case List():
                return EntriesRead(request.tag, self.store.list(request.prefix, self.now))
            case Put():
                result = self.store.put(
                    request.key, request.value, request.expected, None, self.now
                )
                if result.written:
                    self.statuses.append((self.now, SOURCE.decode_record(request.value)))
                return WriteDone(request.tag, result)

    def _watch(self, machine: Machine, request: Any, until: float) -> None:
        result = self.store.list_changes(request.prefix, request.after, self.now)
        if not result.entries and self.now < until:
            self.at(0.05, lambda: self._watch(machine, request, until))
            return
        answer: Any = EntriesRead(request.tag, result)
        if machine.is_store_cut or machine.is_cut or self.is_store_down:
            answer = RequestFailed(request.tag, False, "no answer")
        self.at(
            machine.orders_delay_s, machine.after_start(lambda: machine.feed_controller(answer))
        )

    # Calls.

    def _call(self) -> None:
        self.at(self.rng.expovariate(self.rate), self._call)
        up = [item for item in self.machines if item.is_up and not item.is_cut]
        machine = self.rng.choice(up) if up else None
        if machine is None or machine.paused_until > self.now:
            return
        self.calls += 1
        if self.ordered_at <= self.now < self.deadline:
            self.calls_in_order += 1
        shares = self.rng.choice(machine.senders)
        route = self.rng.choices(ROUTES, (6, 3, 1))[0]
        self._forward(shares, route, 0, set())

    def _forward(
        self, shares: CanaryShares, route: RouteName, attempts: int, excluded: set[InstanceId]
    ) -> None:
        ready = [
            member.upstream
            for member in self.members
            if member.upstream is not None
            and member.upstream.state is UpstreamState.READY
            and member.instance not in excluded
        ]
        group: Any = [item for item in ready if not item.canary_share]
        canaries = [(item, item) for item in ready if item.canary_share]
        if canaries:
            group = shares.choose_group(SERVICE, group, canaries, attempts > 0)
        if not group or attempts >= MAX_FORWARDS:
            self.refused += 1
            return
        chosen = self.rng.choice(group)
        target = next(item for item in self.machines if item.name == chosen.instance)
        excluded.add(chosen.instance)

        def arrive() -> None:
            is_reachable = target.is_up and not target.is_cut and target.paused_until <= self.now
            if not is_reachable or not target.run_call(route, on_end):
                self._forward(shares, route, attempts + 1, excluded)

        def on_end(has_failed: bool) -> None:
            if has_failed:
                self._forward(shares, route, attempts + 1, excluded)

        self.at(self.rng.uniform(0.001, 0.005), arrive)

    def record_run(self, machine: Machine) -> None:
        """Count a call that reaches a server."""
        self.runs[machine.version] += 1
        if machine.version == NEW:
            self.last_target_run_at = self.now
            if self.ordered_at <= self.now < self.deadline:
                self.target_runs_in_order += 1
        elif self.statuses and self.statuses[-1][1].phase is Phase.COMPLETED:
            self.late_old_runs += 1
