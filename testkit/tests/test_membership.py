import random
from collections.abc import Callable
from functools import partial

import msgspec
import pytest

from godwitpass.events import EventKind
from godwitpass.ids import Address
from godwitpass.internal.actions import MessageReceived
from godwitpass.internal.membership import Announce, Membership, Start
from godwitpass.internal.membership import events as kinds
from godwitpass.internal.membership.messages import DAEMON_SERVICE, Gossip
from godwitpass.internal.membership.tuning import DEFAULT_TUNING
from godwitpass.mesh import MemberState, UpstreamState
from godwitpass_testkit.bench.bounds import Bound, find_breaches
from godwitpass_testkit.experiments.membership_bounds import (
    FAULT_BOUNDS,
    HERD_BOUNDS,
    LOSS_BOUNDS,
    TRAFFIC_BOUNDS,
)
from godwitpass_testkit.experiments.membership_faults import (
    measure_faults,
    measure_herd,
    measure_idle_and_churn,
    measure_loss,
)
from godwitpass_testkit.experiments.membership_mesh import (
    START_TIME_S,
    SimulatedMesh,
    build_identity,
    build_member_update,
    build_spec,
)
from godwitpass_testkit.measurements import Row
from godwitpass_testkit.virtual import Link

DETECTION_LIMIT_S = 30.0
REJOIN_LIMIT_S = 5.0
"""A third of the time in which a deployment must have recovered."""


def count_ready(mesh: SimulatedMesh, address: Address, viewers: list[Address]) -> int:
    spec = mesh.specs[address]
    return sum(
        upstream.instance == spec.instance and upstream.state is UpstreamState.READY
        for viewer in viewers
        for upstream in mesh.find_node(viewer).upstreams(spec.service)
    )


def count_reports(mesh: SimulatedMesh, kind: EventKind) -> int:
    return sum(report.kind is kind for _, _, report in mesh.queue.recorded_events)


def join(seed: int, count: int, link: Link | None = None) -> tuple[SimulatedMesh, list[Address]]:
    mesh = SimulatedMesh(seed, count, link)
    addresses = mesh.start_converged(count)
    mesh.queue.run(5)
    assert mesh.is_converged()
    return mesh, addresses


class TestDiscovery:
    def test_a_herd_without_any_list_finds_itself_with_one_read_each(self) -> None:
        mesh = SimulatedMesh(1, 60)
        addresses = mesh.start_many(range(60))
        assert mesh.run_until_converged(60) is not None
        # One list each, as a single read tells of all availability zones at once.
        assert mesh.store.calls["Get"] == 0
        # Each availability zone's record takes a few writers; the rest only read.
        assert mesh.store.calls["Put"] <= 3 * 12
        assert mesh.store.calls["List"] <= 60 + 12
        assert all(len(mesh.find_node(address).members()) == 60 for address in addresses)

    @pytest.mark.parametrize("seed", range(12))
    def test_daemons_that_restart_at_different_moments_form_no_islands(self, seed: int) -> None:
        tuning = msgspec.structs.replace(DEFAULT_TUNING, join_jitter_s=0.5)
        mesh = SimulatedMesh(seed, 14, tuning=tuning)
        mesh.start_many(range(14))
        assert mesh.run_until_converged(30) is not None
        for address in mesh.queue.addresses():
            mesh.kill(address)
        mesh.queue.run(mesh.queue.now + 1)
        rng = random.Random(seed)

        def start(number: int) -> None:
            mesh.start(number)

        for number in range(14):
            mesh.queue.call_at(mesh.queue.now + rng.uniform(0, 0.7), partial(start, number))
        mesh.queue.run(mesh.queue.now + 0.8)
        assert mesh.run_until_converged(REJOIN_LIMIT_S) is not None

    def test_idle_store_calls_do_not_grow_with_the_daemons(self) -> None:
        calls = []
        for count in (12, 60):
            mesh, _ = join(2, count)
            mesh.queue.run(60)
            before = sum(mesh.store.calls.values())
            mesh.queue.run(360)
            calls.append(sum(mesh.store.calls.values()) - before)
        assert calls[1] <= 1.2 * calls[0]
        assert calls[1] <= 300 / 30 * 6 * 1.4

    def test_a_daemon_restarted_at_its_address_is_found_while_the_store_is_away(self) -> None:
        mesh, addresses = join(3, 30)
        mesh.store.set_down(True)
        mesh.kill(addresses[4])
        mesh.queue.run(mesh.queue.now + 2)
        mesh.start(4)
        assert mesh.run_until_converged(DETECTION_LIMIT_S) is not None

    def test_after_a_store_outage_at_the_start_all_daemons_meet(self) -> None:
        mesh = SimulatedMesh(4, 20)
        mesh.store.set_down(True)
        mesh.start_many(range(20))
        mesh.queue.run(40)
        mesh.store.set_down(False)
        assert mesh.run_until_converged(90) is not None

    def test_records_full_of_dead_addresses_are_replaced(self) -> None:
        mesh = SimulatedMesh(5, 100)
        old = mesh.start_many(range(30))
        assert mesh.run_until_converged(60) is not None
        for address in old:
            mesh.kill(address)
        new = mesh.start_many(range(30, 60))
        assert mesh.run_until_converged(120) is not None
        mesh.queue.run(mesh.queue.now + 120)
        written = b"".join(entry.value or b"" for entry in mesh.store.memory.entries.values())
        assert not any(address.encode() in written for address in old)
        assert any(address.encode() in written for address in new)


class TestFailureDetection:
    def test_a_dead_daemon_disappears_everywhere_and_a_restarted_one_returns(self) -> None:
        mesh, addresses = join(6, 40)
        mesh.kill(addresses[7])
        assert mesh.run_until_converged(DETECTION_LIMIT_S) is not None
        mesh.start(7)
        assert mesh.run_until_converged(DETECTION_LIMIT_S) is not None

    def test_a_restart_with_a_clock_set_back_still_wins(self) -> None:
        mesh, addresses = join(7, 40)
        mesh.kill(addresses[7])
        mesh.queue.run(mesh.queue.now + 1)
        mesh.start(7, started_s=START_TIME_S - 3_600)
        mesh.queue.run(mesh.queue.now + 1)
        assert mesh.run_until_converged(60) is not None
        assert count_ready(mesh, addresses[7], addresses) == 40

    def test_a_paused_daemon_that_wakes_buries_nobody_and_is_not_buried(self) -> None:
        mesh, addresses = join(8, 40)
        mesh.queue.pause(addresses[3])
        mesh.queue.run(mesh.queue.now + DETECTION_LIMIT_S)
        others = [address for address in addresses if address != addresses[3]]
        assert mesh.count_viewers(addresses[3], others) == 0
        mesh.queue.resume(addresses[3])
        assert count_reports(mesh, kinds.PAUSE_NOTICED) == 1
        assert len(mesh.find_node(addresses[3]).members()) == 40
        assert mesh.run_until_converged(DETECTION_LIMIT_S) is not None

    def test_loss_buries_no_living_daemon(self) -> None:
        mesh, _ = join(9, 40, Link(loss=0.02, duplication=0.02))
        mesh.queue.run(300)
        assert count_reports(mesh, kinds.MEMBER_DEAD) == 0
        assert mesh.run_until_converged(10) is not None

    def test_two_daemons_with_one_instance_id_disturb_the_others_little(self) -> None:
        mesh, _ = join(17, 30)
        twin = msgspec.structs.replace(
            build_identity(build_spec(3, 30)), address=Address("10.9.9.9:70")
        )
        mesh.queue.attach(twin.address, Membership(twin, random.Random(17)))
        mesh.queue.post(twin.address, Start())
        before = sum(mesh.queue.sent_bytes.values())
        mesh.queue.run(mesh.queue.now + 60)
        assert count_reports(mesh, kinds.SUSPICION_REFUTED) <= 2 * 2 * 60
        assert sum(mesh.queue.sent_bytes.values()) - before < 31 * 60 * 3_000

    def test_a_daemon_cut_off_for_minutes_starts_no_storm_when_it_returns(self) -> None:
        mesh, addresses = join(10, 40)
        alone = addresses[3]
        mesh.queue.is_blocked = lambda sender, to: alone in (sender, to)
        mesh.queue.run(mesh.queue.now + 180)
        refuted = count_reports(mesh, kinds.SUSPICION_REFUTED)
        mesh.queue.is_blocked = lambda sender, to: False
        assert mesh.run_until_converged(60) is not None
        assert count_reports(mesh, kinds.RECONNECTED) == 1
        assert count_reports(mesh, kinds.SUSPICION_REFUTED) - refuted <= 3


class TestLargeFaults:
    def test_a_lost_zone_is_found_without_a_storm(self) -> None:
        mesh, addresses = join(11, 90)
        lost = [address for address in addresses if mesh.specs[address].zone == "zone-01"]
        for address in lost:
            mesh.kill(address)
        start, before = mesh.queue.now, sum(mesh.queue.sent_bytes.values())
        assert mesh.run_until_converged(60) is not None
        seconds = mesh.queue.now - start
        sent = sum(mesh.queue.sent_bytes.values()) - before
        assert sent / seconds / (90 - len(lost)) < 3_000
        # One suspicion a probe at most, and the living suspect nobody else.
        assert count_reports(mesh, kinds.MEMBER_SUSPECTED) <= seconds * 60
        assert count_reports(mesh, kinds.SUSPICION_REFUTED) == 0

    def test_two_halves_of_a_region_that_lost_each_other_join_again(self) -> None:
        mesh, addresses = join(12, 40)
        left = set(addresses[:20])
        mesh.queue.is_blocked = lambda sender, to: (sender in left) != (to in left)
        mesh.queue.run(mesh.queue.now + 120)
        assert all(len(node.members()) == 20 for node in mesh.list_nodes())
        mesh.queue.is_blocked = lambda sender, to: False
        assert mesh.run_until_converged(60) is not None

    @pytest.mark.parametrize("seed", range(5))
    def test_after_random_faults_exactly_the_living_are_known(self, seed: int) -> None:
        mesh, addresses = join(seed, 24, Link(loss=0.01))
        faults = random.Random(seed)
        dead: list[int] = []
        paused: list[Address] = []
        for _ in range(15):
            mesh.queue.run(mesh.queue.now + faults.uniform(0, 10))
            number = faults.randrange(24)
            address = addresses[number]
            if number in dead:
                dead.remove(number)
                mesh.start(number, started_s=START_TIME_S + faults.randrange(-100, 100))
            elif address in paused:
                paused.remove(address)
                mesh.queue.resume(address)
            elif faults.random() < 0.5:
                dead.append(number)
                mesh.kill(address)
            else:
                paused.append(address)
                mesh.queue.pause(address)
        for address in paused:
            mesh.queue.resume(address)
        assert mesh.run_until_converged(120) is not None


class TestUpstreams:
    def test_a_drain_is_known_to_the_whole_region_within_three_seconds(self) -> None:
        mesh, addresses = join(13, 120)
        assert count_ready(mesh, addresses[9], addresses) == 120
        mesh.drain(addresses[9])
        mesh.queue.run(mesh.queue.now + 3)
        assert count_ready(mesh, addresses[9], addresses) == 0

    def test_the_class_of_a_link_is_still_told_after_the_upstream_changed(self) -> None:
        spec = build_spec(0, 3)
        daemon = Membership(
            msgspec.structs.replace(build_identity(spec), link_class=5),
            random.Random(1),
            DEFAULT_TUNING,
        )
        daemon.handle(Start(), 0.0)
        daemon.handle(Announce(UpstreamState.READY, 12), 1.0)
        (own,) = daemon.members()
        assert own.link_class == 5

    def test_a_graceful_stop_is_known_without_a_suspicion(self) -> None:
        mesh, addresses = join(14, 60)
        mesh.leave(addresses[9])
        mesh.queue.run(mesh.queue.now + 2)
        assert mesh.is_converged()
        mesh.queue.run(mesh.queue.now + 20)
        assert mesh.is_converged()
        assert count_reports(mesh, kinds.MEMBER_SUSPECTED) == 0

    def test_a_drain_stays_when_older_news_arrives_late(self) -> None:
        mesh, addresses = join(15, 30, Link(max_delay_s=0.15, duplication=0.3))
        mesh.drain(addresses[9])
        mesh.queue.run(mesh.queue.now + 5)
        late = Gossip((build_member_update(mesh.specs[addresses[9]]),))
        for address in addresses:
            mesh.queue.post(address, MessageReceived(addresses[0], late))
        assert count_ready(mesh, addresses[9], addresses) == 0
        mesh.queue.run(mesh.queue.now + 30)
        assert count_ready(mesh, addresses[9], addresses) == 0


class TestRegions:
    def build(self) -> tuple[SimulatedMesh, list[Address]]:
        mesh = SimulatedMesh(16, 15)
        addresses = mesh.start_converged(45)
        mesh.queue.run(60)
        return mesh, addresses

    def test_sums_and_contacts_of_every_region_reach_every_daemon(self) -> None:
        mesh, addresses = self.build()
        far, near = addresses[40], addresses[0]
        service = mesh.specs[far].service
        for address in addresses:
            found = mesh.find_node(address).upstreams(service)
            assert {upstream.region for upstream in found} == {mesh.specs[far].region}
            counted = {
                total.region: total.ready_count
                for total in mesh.find_node(address).summaries(DAEMON_SERVICE)
            }
            assert counted == {
                f"region-{number}": 15
                for number in range(3)
                if f"region-{number}" != mesh.specs[address].region
            }
        assert len({member.region for member in mesh.find_node(near).members()}) == 3
        mesh.drain(far)
        mesh.queue.run(mesh.queue.now + 8)
        assert count_ready(mesh, far, addresses[:15]) == 0

    def test_a_region_apart_for_minutes_is_left_out_and_joins_again(self) -> None:
        mesh, addresses = self.build()
        apart = set(addresses[:15])
        service = mesh.specs[addresses[0]].service
        mesh.queue.is_blocked = lambda sender, to: (sender in apart) != (to in apart)
        mesh.queue.run(mesh.queue.now + 200)
        assert not mesh.find_node(addresses[20]).upstreams(service)
        assert all(
            member.state is MemberState.ALIVE
            for member in mesh.find_node(addresses[0]).members()
            if member.region == mesh.specs[addresses[0]].region
        )
        mesh.drain(addresses[1])
        mesh.queue.is_blocked = lambda sender, to: False
        before = sum(mesh.queue.sent_bytes.values())
        assert mesh.queue.run_until(
            lambda: all(mesh.find_node(each).upstreams(service) for each in addresses[15:]),
            mesh.queue.now + 60,
        )
        mesh.queue.run(mesh.queue.now + 20)
        assert count_ready(mesh, addresses[1], addresses[15:]) == 0
        assert sum(mesh.queue.sent_bytes.values()) - before < 45 * 3_000 * 80


class TestBounds:
    @pytest.mark.parametrize(
        ("measure", "bounds"),
        [
            (measure_idle_and_churn, TRAFFIC_BOUNDS),
            (measure_faults, FAULT_BOUNDS),
            (measure_loss, LOSS_BOUNDS),
            (measure_herd, HERD_BOUNDS),
        ],
    )
    def test_a_small_region_stays_within_the_target(
        self, measure: Callable[[int], list[Row]], bounds: tuple[Bound, ...]
    ) -> None:
        assert not find_breaches(measure(40), bounds)
