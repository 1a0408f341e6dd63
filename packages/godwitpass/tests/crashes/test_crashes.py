import random

import msgspec
import pytest

from godwitpass.internal.crashes import events
from godwitpass.internal.crashes.fingerprint import compute_fingerprint
from godwitpass.internal.crashes.messages import MAX_REPORTS, decode_message
from godwitpass.internal.crashes.node import (
    GOSSIP_FANOUT,
    AttemptStarted,
    UpstreamCrashed,
    CrashesNode,
    MembersChanged,
)
from godwitpass.internal.crashes.suspects import (
    FORGET_S,
    MAX_CRASHES,
    MAX_REPORTERS,
    MAX_SUSPECTS,
)
from godwitpass_testkit.experiments.claims_crashes import GossipMesh

POISON = compute_fingerprint("maal", "POST", b"/scans", b"poison")
LOOKUP = compute_fingerprint("maal", "GET", b"/patterns", b"")


class TestPoison:
    def test_a_request_is_refused_everywhere_after_a_bounded_number_of_crashes(self) -> None:
        mesh = GossipMesh(200, loss=0.1)
        rng = random.Random(1)
        crashes = 0
        for _ in range(50):
            crashes += mesh.send(rng.choice(mesh.addresses), POISON, crashes=True)
            mesh.run(2)
        assert MAX_CRASHES <= crashes <= MAX_CRASHES + 1
        assert mesh.count_refusing(POISON) >= 190
        assert mesh.count_refusing(LOOKUP) == 0

    def test_it_is_forgotten_after_a_time(self) -> None:
        mesh = GossipMesh(1)
        for _ in range(MAX_CRASHES):
            assert mesh.send(mesh.addresses[0], POISON, crashes=True)
            mesh.run(1)
        assert not mesh.send(mesh.addresses[0], POISON, crashes=True)
        mesh.now += FORGET_S
        assert mesh.send(mesh.addresses[0], POISON, crashes=False)

    def test_volleys_of_the_same_request_are_refused_too(self) -> None:
        mesh = GossipMesh(1)
        node = mesh.nodes[mesh.addresses[0]]
        volleys = 0
        while not node.is_refused(POISON, mesh.now):
            volleys += 1
            for event in [AttemptStarted(POISON)] * 12 + [UpstreamCrashed(POISON)] * 12:
                node.handle(event, mesh.now)
            mesh.run(1)
        assert volleys == MAX_CRASHES

    def test_a_restarted_daemon_learns_from_its_first_crash(self) -> None:
        mesh = GossipMesh(6)
        for address in mesh.addresses[:MAX_CRASHES]:
            mesh.send(address, POISON, crashes=True)
            mesh.run(2)
        restarted = mesh.addresses[5]
        node = mesh.nodes[restarted] = CrashesNode(restarted, random.Random(1))
        node.handle(MembersChanged(tuple(mesh.addresses)), mesh.now)
        assert mesh.send(restarted, POISON, crashes=True)
        mesh.run(2)
        assert not mesh.send(restarted, POISON, crashes=True)


class TestInnocence:
    def test_a_lookup_whose_upstreams_die_now_and_then_is_not_refused(self) -> None:
        mesh = GossipMesh(20)
        rng = random.Random(1)
        for number in range(2000):
            assert mesh.send(rng.choice(mesh.addresses), LOOKUP, crashes=number % 100 == 0)
            mesh.run(0.2)

    def test_a_daemon_that_sent_no_lookup_hears_that_they_end_well_elsewhere(self) -> None:
        mesh = GossipMesh(12)
        for crashed in range(MAX_CRASHES):
            mesh.send(mesh.addresses[crashed], LOOKUP, crashes=True)
            mesh.run(2)
            for address in mesh.addresses[3:9]:
                assert all(mesh.send(address, LOOKUP, crashes=False) for _ in range(4))
            mesh.run(2)
        assert mesh.send(mesh.addresses[11], LOOKUP, crashes=False)

    def test_calls_that_died_beside_a_poisoned_one_are_not_refused(self) -> None:
        mesh = GossipMesh(6)
        for round_number, address in enumerate(mesh.addresses):
            mesh.send(address, POISON, crashes=True)
            for caller in range(11):
                rare = compute_fingerprint("maal", "GET", b"/%d/%d" % (round_number, caller), b"")
                mesh.send(address, rare, crashes=True)
            mesh.run(2)
            assert mesh.send(address, rare, crashes=False)
        assert mesh.count_refusing(POISON) == len(mesh.addresses)
        assert mesh.event_counts[events.REQUEST_REFUSED.number] == len(mesh.addresses)


class TestBounds:
    def test_suspects_and_their_reporters_are_bounded(self) -> None:
        mesh = GossipMesh(40)
        for number in range(MAX_SUSPECTS * 2):
            fingerprint = compute_fingerprint("maal", "GET", b"%d" % number, b"")
            mesh.send(mesh.addresses[number % 40], fingerprint, crashes=True)
        mesh.run(20)
        node = mesh.nodes[mesh.addresses[0]]
        assert len(node._suspects) == MAX_SUSPECTS
        for address in mesh.addresses:
            mesh.send(address, POISON, crashes=True)
        mesh.run(5)
        for node in mesh.nodes.values():
            suspect = node._suspects.find(POISON, mesh.now)
            assert suspect is None or len(suspect.counts) <= MAX_REPORTERS

    def test_one_crash_costs_each_daemon_a_few_small_messages(self) -> None:
        mesh = GossipMesh(200)
        mesh.send(mesh.addresses[0], POISON, crashes=True)
        mesh.run(5)
        assert mesh.messages_sent <= (GOSSIP_FANOUT + 1) * 200
        assert mesh.bytes_sent / 200 < 500

    def test_a_message_with_too_many_or_malformed_reports_is_refused(self) -> None:
        report = [POISON, "10.0.0.1:7", [1, 1, 1], 5]
        for reports in ([report] * (MAX_REPORTS + 1), [[b"short", *report[1:]]], [report[:2]]):
            with pytest.raises(msgspec.DecodeError):
                decode_message(msgspec.msgpack.encode([1, reports]))

    def test_parts_of_a_request_do_not_run_together(self) -> None:
        assert compute_fingerprint("a", "GET", b"/x", b"y") != compute_fingerprint(
            "a", "GET", b"/", b"xy"
        )
