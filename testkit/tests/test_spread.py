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

TARGET_S = 6.0
BUDGET_BYTES_PER_S = 3_000


def build_fleet(
    daemon_count: int = 90, favour: Favour = Favour.CONVERGENCE, seed: int = 7
) -> Fleet:
    fleet = Fleet(daemon_count, 9, seed)
    checks = ConfigurationInvariants()

    def check(address: Address, action: Activate) -> None:
        checks.check_activation(fleet.queue.node(address), action.snapshot)

    fleet.on_activate = check
    fleet.accept(build_document(40, favour), "first")
    fleet.start_all()
    fleet.queue.run(15)
    assert fleet.list_versions() == {Version(1)}
    return fleet


def spread(fleet: Fleet, mark: int = 1, limit: float = TARGET_S) -> float:
    """Accept one more version and return the time until all living daemons hold it."""
    started = fleet.queue.now
    version = fleet.accept(build_document(40, mark=mark), f"change-{mark}")
    assert fleet.queue.run_until(lambda: fleet.is_held(version), started + limit)
    return fleet.queue.now - started


def count(fleet: Fleet, kind: Any) -> int:
    return sum(report.kind == kind for _, _, report in fleet.queue.recorded_events)


class TestSpread:
    @pytest.mark.parametrize("favour", list(Favour))
    def test_a_small_change_costs_each_daemon_about_one_delta(self, favour: Favour) -> None:
        fleet = build_fleet(favour=favour)
        sent = sum(fleet.queue.sent_bytes.values())
        spread(fleet)
        per_daemon = (sum(fleet.queue.sent_bytes.values()) - sent) / 90
        assert per_daemon < 500

    def test_calls_of_the_store_follow_zones_and_not_daemons(self) -> None:
        counts = []
        for daemon_count in (45, 180):
            fleet = build_fleet(daemon_count)
            fleet.store.calls.clear()
            spread(fleet)
            fleet.queue.run(fleet.queue.now + 60)
            counts.append(sum(fleet.store.calls.values()))
        assert counts[0] == counts[1]

    def test_all_versions_of_a_burst_end_in_the_last_one(self) -> None:
        fleet = build_fleet()
        updates = fleet.queue.message_counts["Update"]
        started = fleet.queue.now
        for mark in range(1, 51):
            fleet.queue.run(started + mark * 0.02)
            fleet.accept(build_document(40, mark=mark), f"change-{mark}")
        assert fleet.queue.run_until(lambda: fleet.is_held(Version(51)), started + 1 + TARGET_S)
        assert fleet.queue.message_counts["Update"] - updates < 50 * 90 / 2

    def test_a_third_of_the_daemons_dying_unnoticed_holds_up_no_version(self) -> None:
        fleet = build_fleet(180)
        fleet.kill(random.Random(3).sample(fleet.queue.addresses(), 60))
        spread(fleet)

    def test_lost_repeated_and_overtaken_messages_hold_up_no_version(self) -> None:
        fleet = build_fleet()
        link = Link(0.001, 0.1, loss=0.1, duplication=0.3)
        fleet.queue.choose_link = lambda sender, to: choose_link
        for mark in range(1, 6):
            spread(fleet, mark, limit=3 * TARGET_S)

    def test_zones_without_the_store_learn_from_the_others(self) -> None:
        fleet = build_fleet()
        lost = fleet.zones[:6]
        fleet.store.is_cut_off = lambda address: fleet.members_by_address[address].zone in lost
        fleet.queue.run(fleet.queue.now + 60)
        spread(fleet)
        assert count(fleet, events.STORE_LOST) == 12

    def test_regions_that_were_apart_catch_up(self) -> None:
        fleet = build_fleet()

        def is_cut(address: Address) -> bool:
            return fleet.members_by_address[address].region == "region-0"

        fleet.store.is_cut_off = is_cut
        fleet.queue.is_blocked = lambda sender, to: is_cut(sender) != is_cut(to)
        for mark in range(1, 21):
            fleet.accept(build_document(40, mark=mark), f"change-{mark}")
            fleet.queue.run(fleet.queue.now + 5)
        assert fleet.list_versions() == {Version(1), Version(21)}
        fleet.store.is_cut_off = lambda address: False
        fleet.queue.is_blocked = lambda sender, to: False
        joined = fleet.queue.now
        assert fleet.queue.run_until(lambda: fleet.is_held(Version(21)), joined + TARGET_S)

    def test_a_corrupt_update_is_not_applied_and_the_version_arrives_all_the_same(self) -> None:
        fleet = build_fleet()
        generator = random.Random(5)

        def corrupt(message: Any) -> Any:
            if isinstance(message, Update) and generator.random() < 0.3:
                body = bytearray(message.body)
                body[generator.randrange(len(body))] ^= 0x55
                return msgspec.structs.replace(message, body=bytes(body))
            return message

        fleet.queue.alter_message = corrupt
        spread(fleet)
        assert count(fleet, events.CONTENT_WRONG) > 5

    def test_convergence_is_known_at_the_root(self) -> None:
        fleet = build_fleet()
        spread(fleet)
        fleet.queue.run(fleet.queue.now + 5)
        laggard = fleet.queue.addresses()[44]
        fleet.queue.pause(laggard)
        spread_to = fleet.accept(build_document(40, mark=2), "second")
        fleet.queue.run(fleet.queue.now + 8)
        root = next(iter(_roots(fleet)))
        known = root.compute_convergence()
        assert (known.version, known.daemon_count) == (spread_to, 90)
        assert known.holder_count == 89
        assert known.laggards == (fleet.members_by_address[laggard].instance,)
        fleet.queue.resume(laggard)
        fleet.queue.run(fleet.queue.now + 30)
        assert root.compute_convergence().is_complete

    def test_holdings_are_never_overstated_while_daemons_die(self) -> None:
        fleet = build_fleet(270)
        fleet.kill(random.Random(5).sample(fleet.queue.addresses(), 90))
        version = fleet.accept(build_document(40, mark=1), "change")
        seen = 0
        for _ in range(100):
            fleet.queue.run(fleet.queue.now + 0.06)
            activation_times_s = fleet.activation_times_s.get(version, {})
            holder_count = Counter(fleet.members_by_address[item].zone for item in activated)
            for address in fleet.queue.addresses():
                for held in fleet.queue.node(address).list_zone_holdings():
                    is_newest = held.version == version
                    assert not is_newest or held.holder_count <= holder_count[held.zone]
                    seen += is_newest
        assert seen

    def test_convergence_is_known_although_reports_are_lost(self) -> None:
        fleet = build_fleet()
        link = Link(0.001, 0.01, loss=0.2)
        fleet.queue.choose_link = lambda sender, to: choose_link
        spread(fleet, limit=3 * TARGET_S)
        fleet.queue.run(fleet.queue.now + 30)
        for zone, view in fleet.views.items():
            root = fleet.queue.node(view.ranked_members[0])
            assert [
                held.holder_count for held in root.list_zone_holdings() if held.zone == zone
            ] == [10]
        fleet.queue.run(fleet.queue.now + 10 * CONVERGENCE_TUNING.publish_interval_s)
        assert all(root.compute_convergence().is_complete for root in _roots(fleet))

    def test_holdings_of_other_zones_reach_the_root_whoever_gets_them(self) -> None:
        fleet = build_fleet()
        here, there = (fleet.views[zone] for zone in fleet.zones[:2])
        news = ZoneHoldings(there.zone, Version(9), 1, 10)
        fleet.queue.post(
            here.ranked_members[4], MessageReceived[Message](there.ranked_members[3], news)
        )
        fleet.queue.run(fleet.queue.now + 1)
        root = fleet.queue.node(here.ranked_members[0])
        assert news in root.list_zone_holdings()

    def test_an_idle_fleet_stays_far_below_its_budget(self) -> None:
        fleet = build_fleet()
        fleet.queue.sent_bytes.clear()
        fleet.queue.run(fleet.queue.now + 300)
        assert max(fleet.queue.sent_bytes.values()) / 300 < BUDGET_BYTES_PER_S / 10


class TestStoreContradictions:
    @pytest.mark.parametrize(
        ("restore", "alarm"),
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
    def test_a_restored_store_changes_nothing_and_raises_an_alarm(
        self, restore: Callable[[RootRecord], RootRecord], alarm: Any
    ) -> None:
        fleet = build_fleet()
        spread(fleet)
        root = decode_root(fleet.store.memory.get(ROOT_KEY))
        fleet.store.write(ROOT_KEY, encode_root(restore(root)))
        fleet.queue.run(fleet.queue.now + 60)
        assert fleet.list_versions() == {Version(2)}
        assert count(fleet, alarm) == 18


def _roots(fleet: Fleet) -> Iterator[Any]:
    zone_roots = {view.ranked_members[0] for view in fleet.views.values()}
    return (fleet.queue.node(address) for address in sorted(zone_roots))
