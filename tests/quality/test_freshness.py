"""Guards against calls that are permitted by a proof which is newer than the truth.

Each history runs a few nodes and a store in virtual time. Messages are late, lost, doubled and
replayed; processes are paused and restarted, and machines reboot, which sets their clock to zero.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import pytest

from godwitpass.ids import Address, InstanceId, RegionId, Revision, Version, ZoneId
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.distribution.view import build_view
from godwitpass.internal.freshness.messages import decode_message, encode_message
from godwitpass.internal.freshness.node import (
    FreshnessNode,
    HolderFound,
    MembersChanged,
    ReadStore,
    VersionHeld,
    VersionRead,
)
from godwitpass.internal.freshness.settings import FreshnessSettings
from godwitpass.internal.requests import Confirm, Confirmed, RequestFailed
from godwitpass.mesh import Member, MemberState

REVOKE_S, APPLY_S = 5.0, 2.5
SETTINGS = FreshnessSettings(APPLY_S, REVOKE_S)
DURATION_S = 14.0
ZONES = [ZoneId("a"), ZoneId("a"), ZoneId("a"), ZoneId("b"), ZoneId("b")]
ADDRESSES = [Address(f"10.0.0.{number}:1") for number in range(len(ZONES))]
MEMBERS = [
    Member(InstanceId(address), zone, RegionId("r"), address, 0, 0, MemberState.ALIVE)
    for address, zone in zip(ADDRESSES, ZONES, strict=True)
]


class Host:
    """A machine with one node; `clock_offset` is its boot clock less the true time."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number, self.address = world, number, ADDRESSES[number]
        self.view = build_view(MEMBERS, ZONES[number])
        self.is_reader = self.view.is_reader(self.address)
        self.paused_until = 0.0
        self.generation = 0
        self.start()

    def start(self) -> None:
        """Start a process that holds nothing, after a reboot or not."""
        rng = self.world.rng
        self.generation += 1
        self.clock_offset = rng.uniform(-1000.0, 1000.0)
        self.version = Version(0)
        self.read_version = Version(0)
        generator = random.Random(rng.getrandbits(32))
        self.node = FreshnessNode(self.address, "key", SETTINGS, generator)
        self.handle(MembersChanged(self.view))
        self.world.after(rng.random(), lambda: self.read() if self.is_reader else None)
        self.world.after(rng.random(), lambda: self.hold(self.world.read_store()))

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` later, unless the process ends before; at the earliest after a pause."""
        generation = self.generation

        def run() -> None:
            if generation != self.generation:
                return
            if self.world.now < self.paused_until:
                self.schedule(self.paused_until - self.world.now, callback)
            else:
                callback()

        self.world.after(delay_s, run)

    def hold(self, version: Version) -> None:
        if version > self.version:
            self.version = version
            self.handle(VersionHeld(version, True))

    def read(self) -> None:
        version = self.world.read_store()
        self.read_version = version
        self.schedule(self.world.draw_delay(), lambda: self.finish_read(version))

    def finish_read(self, version: Version) -> None:
        self.hold(version)
        self.handle(VersionRead(Revision(version), version))

    def handle(self, event: Any) -> None:
        world = self.world
        for action in self.node.handle(event, world.now + self.clock_offset):
            match action:
                case Send(to, message):
                    world.send(self.address, to, encode_message(message))
                case SetTimer(at):
                    delay_s = max(0.0, at - self.clock_offset - world.now) + 1e-6
                    self.schedule(delay_s, lambda: self.handle(TimerFired()))
                case Confirm():
                    self.confirm(action)
                case ReadStore():
                    self.read()
                case HolderFound(address, _):
                    self.fetch(world.hosts[ADDRESSES.index(address)])
                case RecordEvent():
                    pass

    def fetch(self, holder: "Host") -> None:
        self.schedule(self.world.draw_delay(), lambda: self.hold(holder.version))

    def confirm(self, request: Confirm) -> None:
        """Compare at some moment between request and answer, either of which may be lost."""
        world = self.world

        def compare() -> None:
            answer: Confirmed | RequestFailed = Confirmed(
                request.tag, Revision(world.versions) == request.revision
            )
            if world.is_faulty and world.rng.random() < 0.2:
                answer = RequestFailed(request.tag)
            self.schedule(world.draw_delay(), lambda: self.handle(answer))

        world.after(world.draw_delay(), compare)

    def permits(self, bound_s: float) -> bool:
        age_s = self.node.compute_age(self.version, self.world.now + self.clock_offset)
        return self.version > 0 and age_s is not None and age_s < bound_s


class World:
    def __init__(self, seed: int, is_faulty: bool) -> None:
        self.rng = random.Random(seed)
        self.is_faulty = is_faulty
        self.now = 0.0
        self.versions = 1
        self.acknowledged_at: dict[int, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._sent: list[tuple[Address, Address, bytes]] = []
        self.hosts = [Host(self, number) for number in range(len(ADDRESSES))]

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), callback))

    def draw_delay(self) -> float:
        if self.is_faulty and self.rng.random() < 0.15:
            return self.rng.uniform(0.0, 4.0)
        return self.rng.uniform(0.001, 0.05)

    def read_store(self) -> Version:
        return Version(self.versions)

    def write_version(self) -> None:
        """Store a version that withdraws the keys of the last one; acknowledge it later."""
        self.versions += 1
        number = self.versions

        def acknowledge() -> None:
            self.acknowledged_at[number] = self.now

        self.after(self.draw_delay(), acknowledge)

    def send(self, sender: Address, to: Address, payload: bytes) -> None:
        self._sent.append((sender, to, payload))
        if self.is_faulty and self.rng.random() < 0.15:
            return
        self.deliver(sender, to, payload)
        if self.is_faulty and self.rng.random() < 0.1:
            self.deliver(sender, to, payload)

    def deliver(self, sender: Address, to: Address, payload: bytes) -> None:
        host = self.hosts[ADDRESSES.index(to)]
        event: MessageReceived[Any] = MessageReceived(sender, decode_message(payload))
        # A message reaches whatever process is there, also one that was started after it was sent.
        self.after(self.draw_delay(), lambda: host.schedule(0.0, lambda: host.handle(event)))

    def add_fault(self) -> None:
        rng, host = self.rng, self.rng.choice(self.hosts)
        fault = rng.random()
        if fault < 0.3:
            host.paused_until = self.now + rng.uniform(0.1, 6.0)
        elif fault < 0.5:
            host.paused_until = 0.0
            host.start()
        elif self._sent:
            self.deliver(*rng.choice(self._sent))

    def run(self, check: Callable[[Host], None]) -> None:
        rng = self.rng
        for _ in range(rng.randint(1, 3)):
            self.after(rng.uniform(1.0, DURATION_S - 6.0), self.write_version)
        if self.is_faulty:
            for _ in range(rng.randint(2, 12)):
                self.after(rng.uniform(0.5, DURATION_S), self.add_fault)
        while self._events and self._events[0][0] < DURATION_S:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
            for host in self.hosts:
                if self.now >= host.paused_until:
                    check(host)


def run_histories(seeds: range) -> int:
    """Run faulty histories and return how often a call was permitted."""
    permitted = 0
    for seed in seeds:
        world = World(seed, is_faulty=True)

        def check(host: Host, world: World = world, seed: int = seed) -> None:
            nonlocal permitted
            if not host.permits(SETTINGS.permission_life_s or 0.0):
                return
            permitted += 1
            # A request that is sent and admitted now, with the key of the version held.
            for version, acknowledged_at in world.acknowledged_at.items():
                is_late = version > host.version and world.now > acknowledged_at + APPLY_S
                assert not is_late, f"seed {seed}: {host.address} at {world.now}"

        world.run(check)
    return permitted


def test_no_key_is_accepted_later_than_the_bound_after_its_withdrawal() -> None:
    assert run_histories(range(600)) > 100_000


@pytest.mark.nightly
@pytest.mark.parametrize("first", range(0, 10_000, 1_000))
def test_no_key_is_accepted_late_in_10000_histories(first: int) -> None:
    assert run_histories(range(first, first + 1_000)) > 100_000


def test_proofs_stay_valid_while_the_store_and_all_links_work() -> None:
    """A proof that lapses in a healthy mesh refuses calls for no reason."""
    for seed in range(60):
        world = World(seed, is_faulty=False)

        def check(host: Host, world: World = world, seed: int = seed) -> None:
            if world.now > 2.0 and host.version == world.versions:
                assert host.permits(
                    SETTINGS.permission_life_s or 0.0
                ), f"seed {seed}: {host.address} at {world.now}"

        world.run(check)
        assert all(host.version == world.versions for host in world.hosts)
