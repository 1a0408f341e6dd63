import random

import pytest

from godwitpass.ids import Address, ChangeId, Version
from godwitpass.internal.actions import MessageReceived, Send
from godwitpass.internal.distribution.distributor import Distributor
from godwitpass.internal.distribution.interface import Activate, ViewChanged
from godwitpass.internal.distribution.messages import Announce, Fetch, Message, Update
from godwitpass.internal.invariants import ConfigurationInvariants
from godwitpass_testkit.fleet import Fleet, build_document

TARGET_S = 6.0
SLOW_STORE_S = 1.5


def build_fleet(daemons: int = 90) -> Fleet:
    fleet = Fleet(daemons, 9, 11)
    checks = ConfigurationInvariants()

    def check(address: Address, action: Activate) -> None:
        checks.check_activation(fleet.queue.node(address), action.snapshot)

    fleet.on_activate = check
    fleet.accept(build_document(200), "first")
    fleet.start_all()
    fleet.queue.run(15)
    assert fleet.list_versions() == {Version(1)}
    return fleet


def restart(fleet: Fleet, addresses: list[Address]) -> None:
    fleet.kill(addresses)
    fleet.start(addresses)


def is_recovered(fleet: Fleet, limit: float) -> bool:
    return fleet.queue.run_until(lambda: fleet.is_held(Version(1)), fleet.queue.now + limit)


class TestRestartedDaemons:
    @pytest.mark.parametrize("store", ["up", "slow", "down"])
    @pytest.mark.parametrize("lost", ["one", "zone"])
    def test_they_learn_the_version_in_force_whatever_the_store_does(
        self, lost: str, store: str
    ) -> None:
        fleet = build_fleet()
        fleet.store.set_down(store == "down")
        fleet.store.delay_s = SLOW_STORE_S if store == "slow" else fleet.store.delay_s
        zone = [item.address for item in fleet.members if item.zone == fleet.zones[0]]
        restart(fleet, zone if lost == "zone" else zone[:1])
        assert is_recovered(fleet, TARGET_S)

    @pytest.mark.parametrize(("delay_s", "limit"), [(0.003, TARGET_S), (SLOW_STORE_S, 15.0)])
    def test_all_returning_at_once_read_the_store_through_a_few(
        self, delay_s: float, limit: float
    ) -> None:
        fleet = build_fleet(450)
        fleet.store.delay_s = delay_s
        fleet.store.calls.clear()
        fleet.queue.sent_bytes.clear()
        restart(fleet, fleet.queue.addresses())
        assert is_recovered(fleet, limit)
        assert fleet.store.calls["Get"] <= 2 * 2 * len(fleet.zones)

    def test_all_returning_without_the_store_hold_nothing_until_it_is_back(self) -> None:
        fleet = build_fleet()
        fleet.store.set_down(True)
        restart(fleet, fleet.queue.addresses())
        fleet.queue.run(fleet.queue.now + 60)
        assert fleet.list_versions() == {Version(0)}
        fleet.store.set_down(False)
        assert is_recovered(fleet, 2 * TARGET_S)

    def test_a_daemon_back_from_a_pause_takes_no_crossed_update_of_older_versions(self) -> None:
        fleet = build_fleet()
        paused = fleet.queue.addresses()[50]
        fleet.queue.pause(paused)
        for mark in range(1, 11):
            fleet.accept(build_document(200, mark=mark), f"change-{mark}")
            fleet.queue.run(fleet.queue.now + 1)
        fleet.queue.resume(paused)
        newest = Version(11)
        assert fleet.queue.run_until(lambda: fleet.is_held(newest), fleet.queue.now + TARGET_S)


class TestTrustOfFreshDaemons:
    def test_the_highest_version_among_several_peers_is_fetched(self) -> None:
        fleet = Fleet(30, 3)
        own = fleet.views[fleet.zones[0]].ranked_members[5]
        node = Distributor(own, random.Random(1))
        started = node.handle(ViewChanged(fleet.views[fleet.zones[0]]), 0.0)
        asked = [action.to for action in started if isinstance(action, Send)]
        assert len(asked) == 3
        zones = {fleet.members_by_address[address].zone for address in asked}
        assert len(zones) > 1
        fetches = []
        for version, peer in zip((7, 9, 8), asked, strict=True):
            answer = MessageReceived[Message](peer, Announce(Version(version), b"x" * 16))
            fetches += [item for item in node.handle(answer, 0.1) if isinstance(item, Send)]
        assert [(item.to, item.message) for item in fetches] == [(asked[1], Fetch())]

    def test_a_pushed_version_is_not_applied_before_the_peers_have_answered(self) -> None:
        fleet = Fleet(30, 3)
        own = fleet.views[fleet.zones[0]].ranked_members[5]
        node = Distributor(own, random.Random(1))
        node.handle(ViewChanged(fleet.views[fleet.zones[0]]), 0.0)
        update = Update(Version(3), ChangeId("change"), b"x" * 16, Version(2), b"")
        pushed = MessageReceived[Message](fleet.views[fleet.zones[0]].ranked_members[0], update)
        actions = node.handle(pushed, 0.1)
        assert not any(isinstance(action, Send | Activate) for action in actions)
