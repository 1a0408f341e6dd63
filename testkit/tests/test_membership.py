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

DETECTION_TIMEOUT_S = 30.0
REJOIN_TIMEOUT_S = 5.0
"""A third of the time within which a deployment must have recovered."""


def count_ready(mesh: SimulatedMesh, address: Address, viewers: list[Address]) -> int:
    """Return how many of `viewers` list the upstream at `address` as ready."""
    spec = mesh.specs[address]
    return sum(
        upstream.instance == spec.instance and upstream.state is UpstreamState.READY
        for viewer in viewers
        for upstream in mesh.find_node(viewer).upstreams(spec.service)
    )


def count_events(mesh: SimulatedMesh, kind: EventKind) -> int:
    return sum(event.kind is kind for _, _, event in mesh.queue.recorded_events)


def build_joined_mesh(
    seed: int, daemon_count: int, link: Link | None = None
) -> tuple[SimulatedMesh, list[Address]]:
    mesh = SimulatedMesh(seed, daemon_count, link)
    addresses = mesh.start_converged(daemon_count)
    mesh.queue.run(5)
    assert mesh.is_converged()
    return mesh, addresses


class TestDiscovery:
    def test_many_daemons_that_start_at_once_without_seeds_find_each_other_with_one_read_each(
        self,
    ) -> None:
        mesh = SimulatedMesh(1, 60)
        addresses = mesh.start_many(range(60))
        assert mesh.run_until_converged(60) is not None
        # Each daemon lists the records once; one list returns those of all availability zones.
        assert mesh.store.calls["Get"] == 0
        # Only a few daemons write the record of each availability zone; the others read it.
        assert mesh.store.calls["Put"] <= 3 * 12
        assert mesh.store.calls["List"] <= 60 + 12
        assert all(len(mesh.find_node(address).members()) == 60 for address in addresses)

    @pytest.mark.parametrize("seed", range(12))
    def test_daemons_that_restart_at_different_times_form_one_mesh(self, seed: int) -> None:
        tuning = msgspec.structs.replace(DEFAULT_TUNING, join_jitter_s=0.5)
        mesh = SimulatedMesh(seed, 14, tuning=tuning)
        mesh.start_many(range(14))
        assert mesh.run_until_converged(30) is not None
        for address in mesh.queue.addresses():
            mesh.kill(address)
        mesh.queue.run(mesh.queue.now + 1)
        generator = random.Random(seed)

        def start(number: int) -> None:
            mesh.start(number)

        for number in range(14):
            mesh.queue.call_at(mesh.queue.now + generator.uniform(0, 0.7), partial(start, number))
        mesh.queue.run(mesh.queue.now + 0.8)
        assert mesh.run_until_converged(REJOIN_TIMEOUT_S) is not None

    def test_store_calls_of_an_idle_mesh_do_not_grow_with_the_number_of_daemons(self) -> None:
        call_counts = []
        for daemon_count in (12, 60):
            mesh, _ = build_joined_mesh(2, daemon_count)
            mesh.queue.run(60)
            count_before = sum(mesh.store.calls.values())
            mesh.queue.run(360)
            call_counts.append(sum(mesh.store.calls.values()) - count_before)
        assert call_counts[1] <= 1.2 * call_counts[0]
        assert call_counts[1] <= 300 / 30 * 6 * 1.4

    def test_a_daemon_restarted_at_its_address_is_found_while_the_store_is_down(self) -> None:
        mesh, addresses = build_joined_mesh(3, 30)
        mesh.store.set_down(True)
        mesh.kill(addresses[4])
        mesh.queue.run(mesh.queue.now + 2)
        mesh.start(4)
        assert mesh.run_until_converged(DETECTION_TIMEOUT_S) is not None

    def test_daemons_started_during_a_store_outage_find_each_other_afterwards(self) -> None:
        mesh = SimulatedMesh(4, 20)
        mesh.store.set_down(True)
        mesh.start_many(range(20))
        mesh.queue.run(40)
        mesh.store.set_down(False)
        assert mesh.run_until_converged(90) is not None

    def test_seed_records_that_list_only_dead_daemons_are_replaced(self) -> None:
        mesh = SimulatedMesh(5, 100)
        old_addresses = mesh.start_many(range(30))
        assert mesh.run_until_converged(60) is not None
        for address in old_addresses:
            mesh.kill(address)
        new_addresses = mesh.start_many(range(30, 60))
        assert mesh.run_until_converged(120) is not None
        mesh.queue.run(mesh.queue.now + 120)
        stored = b"".join(entry.value or b"" for entry in mesh.store.memory.entries.values())
        assert not any(address.encode() in stored for address in old_addresses)
        assert any(address.encode() in stored for address in new_addresses)


class TestFailureDetection:
    def test_a_dead_daemon_is_removed_everywhere_and_returns_after_a_restart(self) -> None:
        mesh, addresses = build_joined_mesh(6, 40)
        mesh.kill(addresses[7])
        assert mesh.run_until_converged(DETECTION_TIMEOUT_S) is not None
        mesh.start(7)
        assert mesh.run_until_converged(DETECTION_TIMEOUT_S) is not None

    def test_a_daemon_restarted_with_its_clock_set_back_replaces_its_old_record(self) -> None:
        mesh, addresses = build_joined_mesh(7, 40)
        mesh.kill(addresses[7])
        mesh.queue.run(mesh.queue.now + 1)
        mesh.start(7, started_s=START_TIME_S - 3_600)
        mesh.queue.run(mesh.queue.now + 1)
        assert mesh.run_until_converged(60) is not None
        assert count_ready(mesh, addresses[7], addresses) == 40

    def test_a_daemon_resumed_after_a_pause_declares_no_other_dead_and_rejoins(self) -> None:
        mesh, addresses = build_joined_mesh(8, 40)
        mesh.queue.pause(addresses[3])
        mesh.queue.run(mesh.queue.now + DETECTION_TIMEOUT_S)
        others = [address for address in addresses if address != addresses[3]]
        assert mesh.count_viewers(addresses[3], others) == 0
        mesh.queue.resume(addresses[3])
        assert count_events(mesh, kinds.PAUSE_NOTICED) == 1
        assert len(mesh.find_node(addresses[3]).members()) == 40
        assert mesh.run_until_converged(DETECTION_TIMEOUT_S) is not None

    def test_message_loss_lets_no_running_daemon_be_declared_dead(self) -> None:
        mesh, _ = build_joined_mesh(9, 40, Link(loss=0.02, duplication=0.02))
        mesh.queue.run(300)
        assert count_events(mesh, kinds.MEMBER_DEAD) == 0
        assert mesh.run_until_converged(10) is not None

    def test_two_daemons_with_the_same_instance_id_cause_bounded_traffic(self) -> None:
        mesh, _ = build_joined_mesh(17, 30)
        duplicate = msgspec.structs.replace(
            build_identity(build_spec(3, 30)), address=Address("10.9.9.9:70")
        )
        mesh.queue.attach(duplicate.address, Membership(duplicate, random.Random(17)))
        mesh.queue.post(duplicate.address, Start())
        bytes_before = sum(mesh.queue.sent_bytes.values())
        mesh.queue.run(mesh.queue.now + 60)
        assert count_events(mesh, kinds.SUSPICION_REFUTED) <= 2 * 2 * 60
        assert sum(mesh.queue.sent_bytes.values()) - bytes_before < 31 * 60 * 3_000

    def test_a_daemon_isolated_for_minutes_causes_few_refutations_when_it_reconnects(self) -> None:
        mesh, addresses = build_joined_mesh(10, 40)
        isolated = addresses[3]
        mesh.queue.is_blocked = lambda sender, to: isolated in (sender, to)
        mesh.queue.run(mesh.queue.now + 180)
        refuted_before = count_events(mesh, kinds.SUSPICION_REFUTED)
        mesh.queue.is_blocked = lambda sender, to: False
        assert mesh.run_until_converged(60) is not None
        assert count_events(mesh, kinds.RECONNECTED) == 1
        assert count_events(mesh, kinds.SUSPICION_REFUTED) - refuted_before <= 3


class TestLargeFaults:
    def test_the_loss_of_a_zone_is_detected_with_bounded_traffic(self) -> None:
        mesh, addresses = build_joined_mesh(11, 90)
        killed = [address for address in addresses if mesh.specs[address].zone == "zone-01"]
        for address in killed:
            mesh.kill(address)
        started_s, bytes_before = mesh.queue.now, sum(mesh.queue.sent_bytes.values())
        assert mesh.run_until_converged(60) is not None
        elapsed_s = mesh.queue.now - started_s
        sent_bytes = sum(mesh.queue.sent_bytes.values()) - bytes_before
        assert sent_bytes / elapsed_s / (90 - len(killed)) < 3_000
        # At most one suspicion for each probe, and none of a running daemon.
        assert count_events(mesh, kinds.MEMBER_SUSPECTED) <= elapsed_s * 60
        assert count_events(mesh, kinds.SUSPICION_REFUTED) == 0

    def test_two_halves_of_a_partitioned_region_merge_again(self) -> None:
        mesh, addresses = build_joined_mesh(12, 40)
        first_half = set(addresses[:20])
        mesh.queue.is_blocked = lambda sender, to: (sender in first_half) != (to in first_half)
        mesh.queue.run(mesh.queue.now + 120)
        assert all(len(node.members()) == 20 for node in mesh.list_nodes())
        mesh.queue.is_blocked = lambda sender, to: False
        assert mesh.run_until_converged(60) is not None

    @pytest.mark.parametrize("seed", range(5))
    def test_after_random_faults_exactly_the_running_daemons_are_listed(self, seed: int) -> None:
        mesh, addresses = build_joined_mesh(seed, 24, Link(loss=0.01))
        generator = random.Random(seed)
        killed_numbers: list[int] = []
        paused: list[Address] = []
        for _ in range(15):
            mesh.queue.run(mesh.queue.now + generator.uniform(0, 10))
            number = generator.randrange(24)
            address = addresses[number]
            if number in killed_numbers:
                killed_numbers.remove(number)
                mesh.start(number, started_s=START_TIME_S + generator.randrange(-100, 100))
            elif address in paused:
                paused.remove(address)
                mesh.queue.resume(address)
            elif generator.random() < 0.5:
                killed_numbers.append(number)
                mesh.kill(address)
            else:
                paused.append(address)
                mesh.queue.pause(address)
        for address in paused:
            mesh.queue.resume(address)
        assert mesh.run_until_converged(120) is not None


class TestUpstreams:
    def test_a_drain_reaches_the_whole_region_within_three_seconds(self) -> None:
        mesh, addresses = build_joined_mesh(13, 120)
        assert count_ready(mesh, addresses[9], addresses) == 120
        mesh.drain(addresses[9])
        mesh.queue.run(mesh.queue.now + 3)
        assert count_ready(mesh, addresses[9], addresses) == 0

    def test_the_link_class_is_kept_when_the_upstream_changes(self) -> None:
        spec = build_spec(0, 3)
        daemon = Membership(
            msgspec.structs.replace(build_identity(spec), link_class=5),
            random.Random(1),
            DEFAULT_TUNING,
        )
        daemon.handle(Start(), 0.0)
        daemon.handle(Announce(UpstreamState.READY, 12), 1.0)
        (own_member,) = daemon.members()
        assert own_member.link_class == 5

    def test_a_graceful_stop_reaches_all_daemons_without_a_suspicion(self) -> None:
        mesh, addresses = build_joined_mesh(14, 60)
        mesh.leave(addresses[9])
        mesh.queue.run(mesh.queue.now + 2)
        assert mesh.is_converged()
        mesh.queue.run(mesh.queue.now + 20)
        assert mesh.is_converged()
        assert count_events(mesh, kinds.MEMBER_SUSPECTED) == 0

    def test_a_drain_is_not_undone_by_an_older_update_that_arrives_late(self) -> None:
        mesh, addresses = build_joined_mesh(15, 30, Link(max_delay_s=0.15, duplication=0.3))
        mesh.drain(addresses[9])
        mesh.queue.run(mesh.queue.now + 5)
        outdated = Gossip((build_member_update(mesh.specs[addresses[9]]),))
        for address in addresses:
            mesh.queue.post(address, MessageReceived(addresses[0], outdated))
        assert count_ready(mesh, addresses[9], addresses) == 0
        mesh.queue.run(mesh.queue.now + 30)
        assert count_ready(mesh, addresses[9], addresses) == 0


class TestRegions:
    def build_three_regions(self) -> tuple[SimulatedMesh, list[Address]]:
        mesh = SimulatedMesh(16, 15)
        addresses = mesh.start_converged(45)
        mesh.queue.run(60)
        return mesh, addresses

    def test_summaries_and_contacts_of_every_region_reach_every_daemon(self) -> None:
        mesh, addresses = self.build_three_regions()
        remote, local = addresses[40], addresses[0]
        service = mesh.specs[remote].service
        for address in addresses:
            upstreams = mesh.find_node(address).upstreams(service)
            assert {upstream.region for upstream in upstreams} == {mesh.specs[remote].region}
            ready_counts = {
                summary.region: summary.ready_count
                for summary in mesh.find_node(address).summaries(DAEMON_SERVICE)
            }
            assert ready_counts == {
                f"region-{number}": 15
                for number in range(3)
                if f"region-{number}" != mesh.specs[address].region
            }
        assert len({member.region for member in mesh.find_node(local).members()}) == 3
        mesh.drain(remote)
        mesh.queue.run(mesh.queue.now + 8)
        assert count_ready(mesh, remote, addresses[:15]) == 0

    def test_a_region_partitioned_for_minutes_is_removed_and_returns(self) -> None:
        mesh, addresses = self.build_three_regions()
        partitioned = set(addresses[:15])
        service = mesh.specs[addresses[0]].service
        mesh.queue.is_blocked = lambda sender, to: (sender in partitioned) != (to in partitioned)
        mesh.queue.run(mesh.queue.now + 200)
        assert not mesh.find_node(addresses[20]).upstreams(service)
        assert all(
            member.state is MemberState.ALIVE
            for member in mesh.find_node(addresses[0]).members()
            if member.region == mesh.specs[addresses[0]].region
        )
        mesh.drain(addresses[1])
        mesh.queue.is_blocked = lambda sender, to: False
        bytes_before = sum(mesh.queue.sent_bytes.values())
        assert mesh.queue.run_until(
            lambda: all(mesh.find_node(address).upstreams(service) for address in addresses[15:]),
            mesh.queue.now + 60,
        )
        mesh.queue.run(mesh.queue.now + 20)
        assert count_ready(mesh, addresses[1], addresses[15:]) == 0
        assert sum(mesh.queue.sent_bytes.values()) - bytes_before < 45 * 3_000 * 80


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
    def test_a_small_region_stays_within_the_bounds(
        self, measure: Callable[[int], list[Row]], bounds: tuple[Bound, ...]
    ) -> None:
        assert not find_breaches(measure(40), bounds)
