import random

import pytest

from godwitpass.ids import Address, ChangeId, Version
from godwitpass.internal.actions import MessageReceived, Send
from godwitpass.internal.distribution.distributor import Distributor
from godwitpass.internal.distribution.interface import Activate, ViewChanged
from godwitpass.internal.distribution.messages import Announce, Fetch, Message, Update
from godwitpass.internal.invariants import ConfigurationInvariants
from godwitpass_testkit.fleet import Fleet, build_document

CONVERGENCE_TARGET_S = 6.0
SLOW_STORE_DELAY_S = 1.5


def build_fleet(daemon_count: int = 90) -> Fleet:
    fleet = Fleet(daemon_count, 9, 11)
    invariants = ConfigurationInvariants()

    def check_activation(address: Address, action: Activate) -> None:
        invariants.check_activation(fleet.queue.node(address), action.snapshot)

    fleet.on_activate = check_activation
    fleet.accept(build_document(200), "first")
    fleet.start_all()
    fleet.queue.run(15)
    assert fleet.list_versions() == {Version(1)}
    return fleet


def restart(fleet: Fleet, addresses: list[Address]) -> None:
    fleet.kill(addresses)
    fleet.start(addresses)


def recovers(fleet: Fleet, limit_s: float) -> bool:
    return fleet.queue.run_until(lambda: fleet.is_held(Version(1)), fleet.queue.now + limit_s)


class TestRestartedDaemons:
    @pytest.mark.parametrize("store", ["up", "slow", "down"])
    @pytest.mark.parametrize("restarted", ["one", "zone"])
    def test_they_get_the_version_in_force_whatever_the_state_of_the_store(
        self, restarted: str, store: str
    ) -> None:
        fleet = build_fleet()
        fleet.store.set_down(store == "down")
        fleet.store.delay_s = SLOW_STORE_DELAY_S if store == "slow" else fleet.store.delay_s
        addresses = [member.address for member in fleet.members if member.zone == fleet.zones[0]]
        restart(fleet, addresses if restarted == "zone" else addresses[:1])
        assert recovers(fleet, CONVERGENCE_TARGET_S)

    @pytest.mark.parametrize(
        ("delay_s", "limit_s"), [(0.003, CONVERGENCE_TARGET_S), (SLOW_STORE_DELAY_S, 15.0)]
    )
    def test_after_a_restart_of_all_daemons_only_a_few_read_the_store(
        self, delay_s: float, limit_s: float
    ) -> None:
        fleet = build_fleet(450)
        fleet.store.delay_s = delay_s
        fleet.store.calls.clear()
        fleet.queue.sent_bytes.clear()
        restart(fleet, fleet.queue.addresses())
        assert recovers(fleet, limit_s)
        assert fleet.store.calls["Get"] <= 2 * 2 * len(fleet.zones)

    def test_after_a_restart_of_all_daemons_without_the_store_none_holds_a_version_until_it_returns(
        self,
    ) -> None:
        fleet = build_fleet()
        fleet.store.set_down(True)
        restart(fleet, fleet.queue.addresses())
        fleet.queue.run(fleet.queue.now + 60)
        assert fleet.list_versions() == {Version(0)}
        fleet.store.set_down(False)
        assert recovers(fleet, 2 * CONVERGENCE_TARGET_S)

    def test_a_daemon_resumed_after_a_pause_applies_no_older_version_and_catches_up(self) -> None:
        fleet = build_fleet()
        paused = fleet.queue.addresses()[50]
        fleet.queue.pause(paused)
        for variant in range(1, 11):
            fleet.accept(build_document(200, variant=variant), f"change-{variant}")
            fleet.queue.run(fleet.queue.now + 1)
        fleet.queue.resume(paused)
        newest = Version(11)
        assert fleet.queue.run_until(
            lambda: fleet.is_held(newest), fleet.queue.now + CONVERGENCE_TARGET_S
        )


class TestFirstVersion:
    def test_a_started_daemon_fetches_the_highest_version_that_its_peers_announce(self) -> None:
        fleet = Fleet(30, 3)
        own_address = fleet.views[fleet.zones[0]].ranked_members[5]
        node = Distributor(own_address, random.Random(1))
        started = node.handle(ViewChanged(fleet.views[fleet.zones[0]]), 0.0)
        asked_peers = [action.to for action in started if isinstance(action, Send)]
        assert len(asked_peers) == 3
        zones = {fleet.members_by_address[address].zone for address in asked_peers}
        assert len(zones) > 1
        fetches = []
        for version, peer in zip((7, 9, 8), asked_peers, strict=True):
            answer = MessageReceived[Message](peer, Announce(Version(version), b"x" * 16))
            fetches += [action for action in node.handle(answer, 0.1) if isinstance(action, Send)]
        assert [(fetch.to, fetch.message) for fetch in fetches] == [(asked_peers[1], Fetch())]

    def test_a_started_daemon_applies_no_pushed_version_before_its_peers_have_answered(
        self,
    ) -> None:
        fleet = Fleet(30, 3)
        own_address = fleet.views[fleet.zones[0]].ranked_members[5]
        node = Distributor(own_address, random.Random(1))
        node.handle(ViewChanged(fleet.views[fleet.zones[0]]), 0.0)
        update = Update(Version(3), ChangeId("change"), b"x" * 16, Version(2), b"")
        pushed = MessageReceived[Message](fleet.views[fleet.zones[0]].ranked_members[0], update)
        actions = node.handle(pushed, 0.1)
        assert not any(isinstance(action, Send | Activate) for action in actions)
