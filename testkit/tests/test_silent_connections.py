"""Versions whose large messages are lost on connections, while datagrams pass."""

import random

import pytest

from godwitpass.ids import Address, Version
from godwitpass.internal.actions import MessageReceived
from godwitpass.internal.distribution import events
from godwitpass.internal.distribution.messages import Announce
from godwitpass.internal.distribution.tuning import OWN_READS_PER_S
from godwitpass_testkit.fleet import Fleet, build_document

IN_FORCE_S = 2.5
"""Time from the acknowledgement of a version by which it must be in force everywhere."""

DAEMONS = 82
ZONES = 4
SILENT_SHARE = 0.7
SEEDS = (1, 2, 3)


def start_fleet(daemon_count: int = DAEMONS, zone_count: int = ZONES, seed: int = 1) -> Fleet:
    fleet = Fleet(daemon_count, zone_count, seed)
    fleet.accept(build_document(40), "first")
    fleet.start_all()
    fleet.queue.run(15)
    assert fleet.list_versions() == {Version(1)}
    return fleet


def silence(fleet: Fleet, share: float, seed: int) -> None:
    """Lose the large messages between a share of the ordered pairs of daemons from now on."""
    generator = random.Random(seed)
    pairs: dict[tuple[Address, Address], bool] = {}

    def is_silent(sender: Address, to: Address) -> bool:
        if (sender, to) not in pairs:
            pairs[sender, to] = generator.random() < share
        return pairs[sender, to]

    fleet.queue.is_silent = is_silent


def accept_large_version(fleet: Fleet) -> Version:
    """Accept a document that shares no entry with the one in force."""
    return fleet.accept(build_document(400), "large")


def count_events(fleet: Fleet, kind: object) -> int:
    return sum(event.kind == kind for _, _, event in fleet.queue.recorded_events)


class TestSilentConnections:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_large_version_is_in_time_though_most_connections_are_silent(self, seed: int) -> None:
        # Guards against repeating a lost update on the path that lost it.
        for offset_s in (0.0, 0.4, 0.8, 1.2, 1.6):
            fleet = start_fleet(seed=seed)
            silence(fleet, SILENT_SHARE, seed)
            fleet.queue.run(fleet.queue.now + offset_s)
            accepted_s = fleet.queue.now
            version = accept_large_version(fleet)
            fleet.queue.run_until(lambda: fleet.is_held(version), accepted_s + 30)  # noqa: B023
            assert fleet.is_held(version), "not in force after 30 s"
            lateness_s = fleet.queue.now - accepted_s
            assert lateness_s < IN_FORCE_S, f"{lateness_s:.2f} s"

    def test_a_daemon_that_sends_datagrams_but_acknowledges_nothing_is_bypassed(self) -> None:
        fleet = start_fleet()
        fleet.queue.recorded_events.clear()
        view = fleet.views[fleet.zones[0]]
        root, silent_member = view.ranked_members[0], view.ranked_members[2]
        fleet.queue.is_silent = lambda sender, to: to == silent_member

        def send_datagram() -> None:
            fleet.queue.post(root, MessageReceived(silent_member, Announce(Version(1), b"")))
            fleet.queue.call_at(fleet.queue.now + 0.1, send_datagram)

        send_datagram()
        accepted_s = fleet.queue.now
        version = accept_large_version(fleet)
        fleet.queue.run(accepted_s + 1.0)
        assert count_events(fleet, events.PEER_SILENT)
        times_s = fleet.activation_times_s[version]
        assert times_s.keys() == set(fleet.queue.addresses()) - {silent_member}
        assert max(times_s.values()) - accepted_s < 1.0

    def test_without_silent_connections_no_daemon_reads_for_itself(self) -> None:
        fleet = start_fleet()
        fleet.queue.recorded_events.clear()
        accepted_s = fleet.queue.now
        version = accept_large_version(fleet)
        assert fleet.queue.run_until(lambda: fleet.is_held(version), accepted_s + 1)
        fleet.queue.run(accepted_s + 30)
        assert not count_events(fleet, events.OWN_READ_STARTED)
        assert not count_events(fleet, events.VERSION_AWAITED)
        assert not count_events(fleet, events.PEER_SILENT)


class TestOwnReads:
    def test_a_daemon_that_is_always_behind_but_makes_progress_does_not_read(self) -> None:
        # Guards against reads of whole documents on links that a storm of versions fills.
        fleet = start_fleet()
        sender, victim = fleet.queue.addresses()[-2:]
        fleet.queue.post(victim, MessageReceived(sender, Announce(Version(99), b"later")))
        for variant in range(1, 20):
            fleet.accept(build_document(40, variant=variant), f"change-{variant}")
            fleet.queue.run(fleet.queue.now + 0.5)
        assert not count_events(fleet, events.OWN_READ_STARTED)
        fleet.queue.run(fleet.queue.now + 2.0)
        assert count_events(fleet, events.OWN_READ_STARTED) == 1

    def test_reads_of_all_daemons_stay_below_the_rate_of_their_zones(self) -> None:
        fleet = start_fleet(400, 2)
        silence(fleet, 1.0, 1)
        before = fleet.store.call_counts_by_second.copy()
        accepted_s = fleet.queue.now
        version = accept_large_version(fleet)
        assert fleet.queue.run_until(lambda: fleet.is_held(version), accepted_s + 60)
        fleet.queue.run(fleet.queue.now + 30)
        counts = fleet.store.call_counts_by_second - before
        # The readers, their substitutes and repeated polls take a few calls besides.
        assert max(counts.values()) < 1.5 * 2 * OWN_READS_PER_S

    def test_a_version_that_nobody_holds_costs_ever_fewer_reads(self) -> None:
        fleet = start_fleet(12, 2)
        sender, victim = fleet.queue.addresses()[-2:]
        wrong = Announce(Version(99), b"wrong")
        fleet.queue.post(victim, MessageReceived(sender, wrong))
        fleet.queue.run(fleet.queue.now + 120)
        assert 0 < count_events(fleet, events.OWN_READ_STARTED) < 12
        assert 0 < count_events(fleet, events.VERSION_AWAITED) < 10

    def test_daemons_that_cannot_reach_the_store_stop_reading_it(self) -> None:
        fleet = start_fleet()
        fleet.store.is_cut_off = lambda address: True
        fleet.queue.post(
            fleet.queue.addresses()[-1],
            MessageReceived(fleet.queue.addresses()[-2], Announce(Version(99), b"wrong")),
        )
        calls_before = fleet.store.calls.total()
        fleet.queue.run(fleet.queue.now + 60)
        readers = 2 * ZONES
        assert fleet.store.calls.total() - calls_before < 60 * 5 * readers
