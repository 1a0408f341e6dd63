import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import pytest

from godwitpass.document import Favour
from godwitpass.ids import Address, Version
from godwitpass.internal.acceptance.record import ROOT_KEY, RootRecord, decode_root, encode_root
from godwitpass.internal.actions import MessageReceived
from godwitpass.internal.distribution import events
from godwitpass.internal.distribution.interface import Activate
from godwitpass.internal.distribution.messages import Message, Update, ZoneHoldings
from godwitpass.internal.distribution.tuning import CONVERGENCE_TUNING
from godwitpass.internal.invariants import ConfigurationInvariants
from godwitpass_testkit.fleet import Fleet, build_document
from godwitpass_testkit.virtual import Link

CONVERGENCE_TARGET_S = 6.0
TRAFFIC_LIMIT_BYTES_PER_S = 3_000


def build_fleet(
    daemon_count: int = 90, favour: Favour = Favour.CONVERGENCE, seed: int = 7
) -> Fleet:
    fleet = Fleet(daemon_count, 9, seed)
    invariants = ConfigurationInvariants()

    def check_activation(address: Address, action: Activate) -> None:
        invariants.check_activation(fleet.queue.node(address), action.snapshot)

    fleet.on_activate = check_activation
    fleet.accept(build_document(40, favour), "first")
    fleet.start_all()
    fleet.queue.run(15)
    assert fleet.list_versions() == {Version(1)}
    return fleet


def spread_version(fleet: Fleet, variant: int = 1, limit_s: float = CONVERGENCE_TARGET_S) -> float:
    """Accept one more version and return the seconds until all running daemons hold it."""
    started_s = fleet.queue.now
    version = fleet.accept(build_document(40, variant=variant), f"change-{variant}")
    assert fleet.queue.run_until(lambda: fleet.is_held(version), started_s + limit_s)
    return fleet.queue.now - started_s


def count_events(fleet: Fleet, kind: Any) -> int:
    return sum(event.kind == kind for _, _, event in fleet.queue.recorded_events)


class TestSpread:
    @pytest.mark.parametrize("favour", list(Favour))
    def test_a_small_change_costs_each_daemon_about_one_delta(self, favour: Favour) -> None:
        fleet = build_fleet(favour=favour)
        bytes_before = sum(fleet.queue.sent_bytes.values())
        spread_version(fleet)
        bytes_per_daemon = (sum(fleet.queue.sent_bytes.values()) - bytes_before) / 90
        assert bytes_per_daemon < 500

    def test_the_number_of_store_calls_depends_on_zones_and_not_on_daemons(self) -> None:
        call_counts = []
        for daemon_count in (45, 180):
            fleet = build_fleet(daemon_count)
            fleet.store.calls.clear()
            spread_version(fleet)
            fleet.queue.run(fleet.queue.now + 60)
            call_counts.append(sum(fleet.store.calls.values()))
        assert call_counts[0] == call_counts[1]

    def test_after_a_burst_of_versions_all_daemons_hold_the_last_one(self) -> None:
        fleet = build_fleet()
        updates_before = fleet.queue.message_counts["Update"]
        started_s = fleet.queue.now
        for variant in range(1, 51):
            fleet.queue.run(started_s + variant * 0.02)
            fleet.accept(build_document(40, variant=variant), f"change-{variant}")
        assert fleet.queue.run_until(
            lambda: fleet.is_held(Version(51)), started_s + 1 + CONVERGENCE_TARGET_S
        )
        assert fleet.queue.message_counts["Update"] - updates_before < 50 * 90 / 2

    def test_undetected_death_of_a_third_of_the_daemons_delays_no_version(self) -> None:
        fleet = build_fleet(180)
        fleet.kill(random.Random(3).sample(fleet.queue.addresses(), 60))
        spread_version(fleet)

    def test_loss_duplication_and_reordering_of_messages_stop_no_version(self) -> None:
        fleet = build_fleet()
        link = Link(0.001, 0.1, loss=0.1, duplication=0.3)
        fleet.queue.choose_link = lambda sender, to: link
        for variant in range(1, 6):
            spread_version(fleet, variant, limit_s=3 * CONVERGENCE_TARGET_S)

    def test_zones_without_the_store_receive_versions_from_other_zones(self) -> None:
        fleet = build_fleet()
        cut_off_zones = fleet.zones[:6]
        fleet.store.is_cut_off = (
            lambda address: fleet.members_by_address[address].zone in cut_off_zones
        )
        fleet.queue.run(fleet.queue.now + 60)
        spread_version(fleet)
        lost = [
            address
            for _, address, event in fleet.queue.recorded_events
            if event.kind == events.STORE_LOST
        ]
        readers = fleet.views[fleet.zones[0]].rank_readers().readers
        assert sum(address in readers for address in lost) == 12
        assert len(lost) == len(set(lost))
        # Two readers and four substitutes of each zone that is cut off.
        assert len(lost) <= 6 * (2 + 4)

    def test_regions_catch_up_after_a_partition(self) -> None:
        fleet = build_fleet()

        def is_cut(address: Address) -> bool:
            return fleet.members_by_address[address].region == "region-0"

        fleet.store.is_cut_off = is_cut
        fleet.queue.is_blocked = lambda sender, to: is_cut(sender) != is_cut(to)
        for variant in range(1, 21):
            fleet.accept(build_document(40, variant=variant), f"change-{variant}")
            fleet.queue.run(fleet.queue.now + 5)
        assert fleet.list_versions() == {Version(1), Version(21)}
        fleet.store.is_cut_off = lambda address: False
        fleet.queue.is_blocked = lambda sender, to: False
        reconnected_s = fleet.queue.now
        assert fleet.queue.run_until(
            lambda: fleet.is_held(Version(21)), reconnected_s + CONVERGENCE_TARGET_S
        )

    def test_a_corrupt_update_is_not_applied_and_its_version_still_arrives(self) -> None:
        fleet = build_fleet()
        generator = random.Random(5)

        def corrupt(message: Any) -> Any:
            if isinstance(message, Update) and generator.random() < 0.3:
                body = bytearray(message.body)
                body[generator.randrange(len(body))] ^= 0x55
                return msgspec.structs.replace(message, body=bytes(body))
            return message

        fleet.queue.alter_message = corrupt
        spread_version(fleet)
        assert count_events(fleet, events.CONTENT_WRONG) > 5

    def test_the_root_reports_convergence_and_the_daemons_that_lag(self) -> None:
        fleet = build_fleet()
        spread_version(fleet)
        fleet.queue.run(fleet.queue.now + 5)
        laggard = fleet.queue.addresses()[44]
        fleet.queue.pause(laggard)
        version = fleet.accept(build_document(40, variant=2), "second")
        fleet.queue.run(fleet.queue.now + 8)
        root = next(iter(_list_roots(fleet)))
        convergence = root.compute_convergence()
        assert (convergence.version, convergence.daemon_count) == (version, 90)
        assert convergence.holder_count == 89
        assert convergence.laggards == (fleet.members_by_address[laggard].instance,)
        fleet.queue.resume(laggard)
        fleet.queue.run(fleet.queue.now + 30)
        assert root.compute_convergence().is_complete

    def test_holdings_are_never_overstated_while_daemons_die(self) -> None:
        fleet = build_fleet(270)
        fleet.kill(random.Random(5).sample(fleet.queue.addresses(), 90))
        version = fleet.accept(build_document(40, variant=1), "change")
        newest_count = 0
        for _ in range(100):
            fleet.queue.run(fleet.queue.now + 0.06)
            activated = fleet.activation_times_s.get(version, {})
            holder_count = Counter(fleet.members_by_address[address].zone for address in activated)
            for address in fleet.queue.addresses():
                for held in fleet.queue.node(address).list_zone_holdings():
                    is_newest = held.version == version
                    assert not is_newest or held.holder_count <= holder_count[held.zone]
                    newest_count += is_newest
        assert newest_count

    def test_convergence_is_reported_although_messages_are_lost(self) -> None:
        fleet = build_fleet()
        link = Link(0.001, 0.01, loss=0.2)
        fleet.queue.choose_link = lambda sender, to: link
        spread_version(fleet, limit_s=3 * CONVERGENCE_TARGET_S)
        fleet.queue.run(fleet.queue.now + 30)
        for zone, view in fleet.views.items():
            root = fleet.queue.node(view.ranked_members[0])
            assert [
                held.holder_count for held in root.list_zone_holdings() if held.zone == zone
            ] == [10]
        fleet.queue.run(fleet.queue.now + 10 * CONVERGENCE_TUNING.publish_interval_s)
        assert all(root.compute_convergence().is_complete for root in _list_roots(fleet))

    def test_holdings_of_other_zones_reach_the_root_through_any_daemon(self) -> None:
        fleet = build_fleet()
        own_view, other_view = (fleet.views[zone] for zone in fleet.zones[:2])
        holdings = ZoneHoldings(other_view.zone, Version(9), 1, 10)
        fleet.queue.post(
            own_view.ranked_members[4],
            MessageReceived[Message](other_view.ranked_members[3], holdings),
        )
        fleet.queue.run(fleet.queue.now + 1)
        root = fleet.queue.node(own_view.ranked_members[0])
        assert holdings in root.list_zone_holdings()

    def test_an_idle_fleet_sends_less_than_a_tenth_of_the_limit(self) -> None:
        fleet = build_fleet()
        fleet.queue.sent_bytes.clear()
        fleet.queue.run(fleet.queue.now + 300)
        assert max(fleet.queue.sent_bytes.values()) / 300 < TRAFFIC_LIMIT_BYTES_PER_S / 10


class TestRestoredStore:
    @pytest.mark.parametrize(
        ("restore", "alert"),
        [
            (lambda root: RootRecord(root.history[:1]), events.ROOT_WENT_BACK),
            (
                lambda root: RootRecord(
                    (*root.history[:-1], msgspec.structs.replace(root.newest, content_hash="00"))
                ),
                events.VERSION_DIFFERS,
            ),
        ],
    )
    def test_a_store_that_contradicts_the_version_in_force_is_ignored_and_reported(
        self, restore: Callable[[RootRecord], RootRecord], alert: Any
    ) -> None:
        fleet = build_fleet()
        spread_version(fleet)
        root = decode_root(fleet.store.memory.get(ROOT_KEY))
        fleet.store.write(ROOT_KEY, encode_root(restore(root)))
        fleet.queue.run(fleet.queue.now + 60)
        assert fleet.list_versions() == {Version(2)}
        assert count_events(fleet, alert) == 18


def _list_roots(fleet: Fleet) -> Iterator[Any]:
    zone_roots = {view.ranked_members[0] for view in fleet.views.values()}
    return (fleet.queue.node(address) for address in sorted(zone_roots))
