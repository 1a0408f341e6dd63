import random

import msgspec
import pytest

from godwitpass.ids import Address
from godwitpass.internal.actions import Send
from godwitpass.internal.crashes import events
from godwitpass.internal.crashes.fingerprint import Fingerprint, compute_fingerprint
from godwitpass.internal.crashes.messages import (
    MAX_REPORTS,
    SuspectReports,
    SuspectsRequest,
    decode_message,
)
from godwitpass.internal.crashes.node import (
    GOSSIP_FANOUT,
    GOSSIP_INTERVAL_S,
    MAX_REQUESTS,
    REPEAT_FANOUT,
    REPEAT_INTERVAL_S,
    REQUEST_FANOUT,
    REQUEST_INTERVAL_S,
    AttemptEnded,
    AttemptStarted,
    CrashesNode,
    MembersChanged,
    ReportsReceived,
    Started,
    Tick,
    UpstreamCrashed,
)
from godwitpass.internal.crashes.release import FIRST_TRIAL_S, TRIAL_TIMEOUT_S
from godwitpass.internal.crashes.suspects import (
    MAX_CRASHES,
    MAX_REPORTERS,
    MAX_SUSPECTS,
    SUSPECT_TTL_S,
)
from godwitpass_testkit.experiments.claims_crashes import GossipMesh

CRASHING_REQUEST = compute_fingerprint("maal", "POST", b"/scans", b"poison")
HARMLESS_REQUEST = compute_fingerprint("maal", "GET", b"/patterns", b"")
CONTACT_S = 3.0
"""Time within which all daemons must act on what any of them knows."""

MAX_LATER_CRASHES = 3
"""Crashes that may follow later than `CONTACT_S` after the third one."""


SERVED_AGAIN_WITHIN_S = 10.0
"""Time within which a request with a single burst of crashes must be tried everywhere."""

STEP_S, RUN_S = 0.02, 0.15


def play_requests(
    mesh: GossipMesh, fingerprint: Fingerprint, duration_s: float, crashes: bool
) -> list[float]:
    """Send a request to each daemon in each step; return when it reached upstreams."""
    started_at: list[float] = []
    running: list[tuple[float, Address]] = []
    steps_per_round = round(GOSSIP_INTERVAL_S / STEP_S)
    for step in range(round(duration_s / STEP_S)):
        for address in mesh.addresses:
            if mesh.start(address, fingerprint):
                started_at.append(mesh.now)
                running.append((mesh.now + RUN_S, address))
        for ended in [item for item in running if item[0] <= mesh.now]:
            running.remove(ended)
            event = UpstreamCrashed(fingerprint) if crashes else AttemptEnded(fingerprint, True)
            mesh.end(ended[1], event)
        mesh.now += STEP_S
        if step % steps_per_round == 0:
            mesh.now -= GOSSIP_INTERVAL_S
            mesh.run(GOSSIP_INTERVAL_S)
    return started_at


def crash_everywhere(mesh: GossipMesh, addresses: list[Address], interval_s: float) -> None:
    """Let the request crash once at each of `addresses`, `interval_s` apart."""
    for address in addresses:
        mesh.send(address, CRASHING_REQUEST, crashes=True)
        mesh.run(interval_s)


class TestRefusal:
    def test_a_crashing_request_is_refused_by_all_daemons_after_a_bounded_number_of_crashes(
        self,
    ) -> None:
        mesh = GossipMesh(200, loss=0.1)
        rng = random.Random(1)
        crashes = 0
        for _ in range(50):
            crashes += mesh.send(rng.choice(mesh.addresses), CRASHING_REQUEST, crashes=True)
            mesh.run(2)
        assert MAX_CRASHES <= crashes <= MAX_CRASHES + 1
        assert mesh.count_refusing(CRASHING_REQUEST) >= 190
        assert mesh.count_refusing(HARMLESS_REQUEST) == 0

    def test_a_refusal_expires(self) -> None:
        mesh = GossipMesh(1)
        for _ in range(MAX_CRASHES):
            assert mesh.send(mesh.addresses[0], CRASHING_REQUEST, crashes=True)
            mesh.run(1)
        assert not mesh.send(mesh.addresses[0], CRASHING_REQUEST, crashes=True)
        mesh.now += SUSPECT_TTL_S
        assert mesh.send(mesh.addresses[0], CRASHING_REQUEST, crashes=False)

    def test_concurrent_attempts_of_a_crashing_request_count_as_one_crash(self) -> None:
        mesh = GossipMesh(1)
        node = mesh.nodes[mesh.addresses[0]]
        bursts = 0
        while not node.is_refused(CRASHING_REQUEST, mesh.now):
            bursts += 1
            for event in [AttemptStarted(CRASHING_REQUEST)] * 12 + [
                UpstreamCrashed(CRASHING_REQUEST)
            ] * 12:
                node.handle(event, mesh.now)
            mesh.run(1)
        assert bursts == MAX_CRASHES

    def test_a_restarted_daemon_learns_the_counts_of_others_with_its_first_crash(self) -> None:
        mesh = GossipMesh(6)
        for address in mesh.addresses[:MAX_CRASHES]:
            mesh.send(address, CRASHING_REQUEST, crashes=True)
            mesh.run(2)
        restarted = mesh.addresses[5]
        node = mesh.nodes[restarted] = CrashesNode(restarted, random.Random(1))
        node.handle(MembersChanged(tuple(mesh.addresses)), mesh.now)
        assert mesh.send(restarted, CRASHING_REQUEST, crashes=True)
        mesh.run(2)
        assert not mesh.send(restarted, CRASHING_REQUEST, crashes=True)

    def test_crashes_that_a_daemon_saw_before_its_restarts_still_count(self) -> None:
        mesh = GossipMesh(6)
        restarting = mesh.addresses[0]
        for number in range(MAX_CRASHES):
            node = CrashesNode(restarting, random.Random(number), f"start-{number}")
            node.handle(MembersChanged(tuple(mesh.addresses)), mesh.now)
            mesh.nodes[restarting] = node
            assert mesh.send(restarting, CRASHING_REQUEST, crashes=True)
            mesh.run(5)
        assert mesh.count_refusing(CRASHING_REQUEST) == len(mesh.addresses)


class TestLastingCounts:
    def test_a_daemon_that_has_just_started_refuses_what_others_refuse(self) -> None:
        mesh = GossipMesh(6)
        crash_everywhere(mesh, mesh.addresses[:MAX_CRASHES], 1)
        restarted = mesh.addresses[5]
        mesh.restart(restarted, "second")
        mesh.run(CONTACT_S)
        assert mesh.count_refusing(CRASHING_REQUEST) == len(mesh.addresses)

    def test_a_daemon_that_has_just_started_asks_until_it_is_answered(self) -> None:
        mesh = GossipMesh(6)
        crash_everywhere(mesh, mesh.addresses[:MAX_CRASHES], 1)
        restarted = mesh.addresses[5]
        mesh.restart(restarted, "second")
        mesh.cut_off = frozenset([restarted])
        mesh.run(2 * REQUEST_INTERVAL_S)
        assert not mesh.nodes[restarted].has_suspects
        mesh.cut_off = frozenset()
        mesh.run(2 * REQUEST_INTERVAL_S)
        assert mesh.nodes[restarted].is_refused(CRASHING_REQUEST, mesh.now)

    def test_only_an_answer_ends_the_requests_of_a_daemon_that_has_just_started(self) -> None:
        own, other = Address("10.0.0.1:7"), Address("10.0.0.2:7")
        node = CrashesNode(own, random.Random(1))
        node.handle(MembersChanged((own, other)), 0.0)
        node.handle(Started(), 0.0)
        node.handle(ReportsReceived(other, SuspectReports(())), 0.1)
        assert Send(other, SuspectsRequest()) in node.handle(Tick(), REQUEST_INTERVAL_S)
        node.handle(ReportsReceived(other, SuspectReports((), is_answer=True)), 0.5)
        assert not node.handle(Tick(), 2 * REQUEST_INTERVAL_S)

    def test_daemons_that_start_together_answer_none_of_their_own_requests(self) -> None:
        mesh = GossipMesh(3)
        for address in mesh.addresses:
            mesh.restart(address, "second")
        mesh.run(REQUEST_INTERVAL_S)
        sent = mesh.messages_sent
        mesh.run(REQUEST_INTERVAL_S)
        assert mesh.messages_sent == sent + 3 * min(REQUEST_FANOUT, 2)
        mesh.run(MAX_REQUESTS * REQUEST_INTERVAL_S)
        assert mesh.messages_sent == MAX_REQUESTS * 3 * min(REQUEST_FANOUT, 2)

    def test_reports_that_were_lost_in_a_cut_arrive_after_it(self) -> None:
        mesh = GossipMesh(6)
        mesh.cut_off = frozenset(mesh.addresses[:MAX_CRASHES])
        crash_everywhere(mesh, mesh.addresses[:MAX_CRASHES], 1)
        assert mesh.count_refusing(CRASHING_REQUEST) == MAX_CRASHES
        mesh.cut_off = frozenset()
        mesh.run(CONTACT_S)
        assert mesh.count_refusing(CRASHING_REQUEST) == len(mesh.addresses)

    def test_reports_that_were_lost_are_sent_again(self) -> None:
        for size in (6, 24, 200):
            mesh = GossipMesh(size, loss=0.95)
            crash_everywhere(mesh, mesh.addresses[:MAX_CRASHES], 1)
            mesh.loss = 0.1
            mesh.run(CONTACT_S)
            assert mesh.count_refusing(CRASHING_REQUEST) == size

    def test_a_refusal_expires_although_reports_of_it_are_sent_again(self) -> None:
        mesh = GossipMesh(6)
        crash_everywhere(mesh, mesh.addresses[:MAX_CRASHES], 1)
        mesh.run(SUSPECT_TTL_S - 10)
        assert mesh.count_refusing(CRASHING_REQUEST) == len(mesh.addresses)
        mesh.run(20)
        assert mesh.count_refusing(CRASHING_REQUEST) == 0
        assert not any(node.has_suspects for node in mesh.nodes.values())

    def test_a_daemon_does_not_learn_again_of_a_request_that_has_expired_there(self) -> None:
        addresses = tuple(Address(f"10.0.0.{host}:7") for host in range(3))
        first, second, reporting = (CrashesNode(each, random.Random(1)) for each in addresses)
        for node in (first, second, reporting):
            node.handle(MembersChanged(addresses[:2]), 0.0)
        for crashed_at in range(MAX_CRASHES):
            reporting.handle(UpstreamCrashed(CRASHING_REQUEST), crashed_at)
        sent = [action for action in reporting.handle(Tick(), 2.2) if isinstance(action, Send)]
        # The time that a message takes adds to the age that it names.
        for node, received_at in ((first, 2.2), (second, 3.7)):
            node.handle(ReportsReceived(addresses[2], sent[0].message), received_at)
        learned_again = False
        for step in range(10 * int(SUSPECT_TTL_S + 5)):
            now = 4.0 + step / 10
            for sender, receiver in ((first, second), (second, first)):
                for action in sender.handle(Tick(), now):
                    if isinstance(action, Send):
                        receiver.handle(ReportsReceived(addresses[2], action.message), now)
            if now > MAX_CRASHES + SUSPECT_TTL_S - 0.5:
                learned_again |= first.is_suspected(CRASHING_REQUEST, now)
        assert not learned_again

    def test_a_refused_request_is_not_forgotten_for_calls_that_broke_later(self) -> None:
        mesh = GossipMesh(6)
        crash_everywhere(mesh, mesh.addresses[:MAX_CRASHES], 1)
        for number in range(MAX_SUSPECTS):
            bystander = compute_fingerprint("maal", "GET", b"/%d" % number, b"")
            mesh.send(mesh.addresses[number % 6], bystander, crashes=True)
            mesh.run(0.2)
        assert mesh.count_refusing(CRASHING_REQUEST) == len(mesh.addresses)

    def test_a_daemon_that_learns_of_several_bursts_refuses_for_long(self) -> None:
        mesh = GossipMesh(6)
        crash_everywhere(mesh, mesh.addresses[:MAX_CRASHES], 1)
        restarted = mesh.addresses[5]
        mesh.restart(restarted, "second")
        mesh.run(CONTACT_S + SERVED_AGAIN_WITHIN_S)
        assert mesh.nodes[restarted].is_refused(CRASHING_REQUEST, mesh.now)

    def test_a_crash_counts_although_one_elsewhere_was_reported_a_moment_before(self) -> None:
        mesh = GossipMesh(2)
        first, second = mesh.addresses
        mesh.send(first, CRASHING_REQUEST, crashes=True)
        mesh.run(1)
        mesh.send(second, CRASHING_REQUEST, crashes=True)
        mesh.run(0.2)
        mesh.now -= 0.15
        assert mesh.send(first, CRASHING_REQUEST, crashes=True)
        mesh.run(1)
        assert mesh.count_refusing(CRASHING_REQUEST) == 2

    def test_few_daemons_admit_a_crashing_request_after_a_single_burst(self) -> None:
        for size in (5, 22, 67):
            mesh = GossipMesh(size)
            for address in mesh.addresses[:MAX_CRASHES]:
                mesh.send(address, CRASHING_REQUEST, crashes=True)
            mesh.run(CONTACT_S)
            later_crashes = 0
            for _ in range(100):
                for address in mesh.addresses:
                    later_crashes += mesh.send(address, CRASHING_REQUEST, crashes=True)
                mesh.run(0.2)
            assert later_crashes <= MAX_LATER_CRASHES, (size, later_crashes)
            assert mesh.count_refusing(CRASHING_REQUEST) == size


class TestTrials:
    """A crashing request that comes at all machines all the time, after a burst of crashes."""

    @pytest.mark.parametrize("size", [3, 6, 14, 60])
    def test_a_frequent_crashing_request_reaches_few_servers_after_it_is_known(
        self, size: int
    ) -> None:
        # Guards against daemons that release a request together, and several at a time.
        for number in range(20):
            fingerprint = compute_fingerprint("maal", "GET", b"/%d" % number, b"")
            mesh = GossipMesh(size, loss=0.01)
            for address in mesh.addresses[:MAX_CRASHES]:
                mesh.send(address, fingerprint, crashes=True)
            mesh.run(CONTACT_S)
            later_runs = play_requests(mesh, fingerprint, 60.0, crashes=True)
            assert len(later_runs) <= MAX_LATER_CRASHES, (size, number, later_runs)

    @pytest.mark.parametrize("size", [3, 6, 60])
    def test_a_frequent_innocent_request_is_served_everywhere_soon_after_its_trial(
        self, size: int
    ) -> None:
        mesh = GossipMesh(size)
        for address in mesh.addresses[:MAX_CRASHES]:
            mesh.send(address, HARMLESS_REQUEST, crashes=True)
        play_requests(mesh, HARMLESS_REQUEST, FIRST_TRIAL_S + CONTACT_S / 2, crashes=False)
        assert mesh.count_refusing(HARMLESS_REQUEST) == 0

    def test_a_trial_without_an_end_prevents_the_next_one_for_a_while_only(self) -> None:
        mesh = GossipMesh(1)
        for _ in range(MAX_CRASHES):
            mesh.send(mesh.addresses[0], HARMLESS_REQUEST, crashes=True)
            mesh.now += 0.12
        mesh.run(FIRST_TRIAL_S + 1)
        assert mesh.start(mesh.addresses[0], HARMLESS_REQUEST)
        assert not mesh.start(mesh.addresses[0], HARMLESS_REQUEST)
        mesh.run(TRIAL_TIMEOUT_S + 1)
        assert mesh.start(mesh.addresses[0], HARMLESS_REQUEST)

    def test_a_cancelled_trial_makes_room_for_the_next_one(self) -> None:
        mesh = GossipMesh(1)
        for _ in range(MAX_CRASHES):
            mesh.send(mesh.addresses[0], HARMLESS_REQUEST, crashes=True)
            mesh.now += 0.12
        mesh.run(FIRST_TRIAL_S + 1)
        assert mesh.start(mesh.addresses[0], HARMLESS_REQUEST)
        mesh.end(mesh.addresses[0], AttemptEnded(HARMLESS_REQUEST, has_succeeded=False))
        assert mesh.start(mesh.addresses[0], HARMLESS_REQUEST)


class TestFalsePositives:
    def test_a_request_during_which_upstreams_seldom_crash_is_not_refused(self) -> None:
        mesh = GossipMesh(20)
        rng = random.Random(1)
        for number in range(2000):
            assert mesh.send(
                rng.choice(mesh.addresses), HARMLESS_REQUEST, crashes=number % 100 == 0
            )
            mesh.run(0.2)

    def test_successful_attempts_at_other_daemons_prevent_a_refusal(self) -> None:
        mesh = GossipMesh(12)
        for index in range(MAX_CRASHES):
            mesh.send(mesh.addresses[index], HARMLESS_REQUEST, crashes=True)
            mesh.run(2)
            for address in mesh.addresses[3:9]:
                assert all(mesh.send(address, HARMLESS_REQUEST, crashes=False) for _ in range(4))
            mesh.run(2)
        assert mesh.send(mesh.addresses[11], HARMLESS_REQUEST, crashes=False)

    def test_a_request_that_broke_at_several_upstreams_at_once_is_soon_served_again(self) -> None:
        mesh = GossipMesh(6)
        for address in mesh.addresses[:MAX_CRASHES]:
            mesh.send(address, HARMLESS_REQUEST, crashes=True)
            mesh.now += 0.04
        mesh.run(1)
        assert mesh.count_refusing(HARMLESS_REQUEST) == len(mesh.addresses)
        mesh.run(SERVED_AGAIN_WITHIN_S)
        assert mesh.count_refusing(HARMLESS_REQUEST) == 0

    def test_a_request_that_crashes_again_after_a_burst_is_refused_for_long(self) -> None:
        mesh = GossipMesh(6)
        for address in mesh.addresses[:MAX_CRASHES]:
            mesh.send(address, CRASHING_REQUEST, crashes=True)
            mesh.now += 0.04
        mesh.run(SERVED_AGAIN_WITHIN_S + 1)
        assert mesh.send(mesh.addresses[4], CRASHING_REQUEST, crashes=True)
        mesh.run(2 * SERVED_AGAIN_WITHIN_S)
        assert mesh.count_refusing(CRASHING_REQUEST) == len(mesh.addresses)

    def test_requests_that_broke_beside_a_crashing_one_are_not_refused(self) -> None:
        mesh = GossipMesh(6)
        for round_number, address in enumerate(mesh.addresses):
            mesh.send(address, CRASHING_REQUEST, crashes=True)
            for caller in range(11):
                bystander = compute_fingerprint(
                    "maal", "GET", b"/%d/%d" % (round_number, caller), b""
                )
                mesh.send(address, bystander, crashes=True)
            mesh.run(2)
            assert mesh.send(address, bystander, crashes=False)
        assert mesh.count_refusing(CRASHING_REQUEST) == len(mesh.addresses)
        assert mesh.event_counts[events.REQUEST_REFUSED.number] == len(mesh.addresses)


class TestBounds:
    def test_suspects_and_reporters_per_suspect_are_bounded(self) -> None:
        mesh = GossipMesh(40)
        for number in range(MAX_SUSPECTS * 2):
            fingerprint = compute_fingerprint("maal", "GET", b"%d" % number, b"")
            mesh.send(mesh.addresses[number % 40], fingerprint, crashes=True)
        mesh.run(20)
        node = mesh.nodes[mesh.addresses[0]]
        assert len(node._suspects) == MAX_SUSPECTS
        for address in mesh.addresses:
            mesh.send(address, CRASHING_REQUEST, crashes=True)
        mesh.run(5)
        for node in mesh.nodes.values():
            suspect = node._suspects.find(CRASHING_REQUEST, mesh.now)
            assert suspect is None or len(suspect.counts) <= MAX_REPORTERS

    def test_gossip_about_one_crash_is_bounded_in_messages_and_bytes(self) -> None:
        mesh = GossipMesh(200)
        mesh.send(mesh.addresses[0], CRASHING_REQUEST, crashes=True)
        mesh.run(5)
        assert mesh.messages_sent <= (GOSSIP_FANOUT + 1) * 200
        assert mesh.bytes_sent / 200 < 500

    def test_attempts_that_succeed_after_crashes_cause_no_further_gossip(self) -> None:
        mesh = GossipMesh(50)
        crash_everywhere(mesh, mesh.addresses[:2], 1)
        mesh.run(5)
        sent_before, duration_s = mesh.messages_sent, 20
        for _ in range(round(duration_s / GOSSIP_INTERVAL_S)):
            assert mesh.send(mesh.addresses[0], CRASHING_REQUEST, crashes=False)
            mesh.run(GOSSIP_INTERVAL_S)
        sent = mesh.messages_sent - sent_before
        assert sent <= REPEAT_FANOUT * len(mesh.addresses) * (duration_s / REPEAT_INTERVAL_S + 1)

    def test_a_message_with_too_many_or_malformed_reports_is_rejected(self) -> None:
        report = [CRASHING_REQUEST, "10.0.0.1:7", [1, 1, 1], 5]
        for reports in ([report] * (MAX_REPORTS + 1), [[b"short", *report[1:]]], [report[:2]]):
            with pytest.raises(msgspec.DecodeError):
                decode_message(msgspec.msgpack.encode([1, reports]))

    def test_fingerprints_distinguish_where_the_parts_of_a_request_end(self) -> None:
        assert compute_fingerprint("a", "GET", b"/x", b"y") != compute_fingerprint(
            "a", "GET", b"/", b"xy"
        )
