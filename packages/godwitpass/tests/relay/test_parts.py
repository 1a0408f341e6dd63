import random

import pytest

from godwitpass.document import CallerLimits, Document, Execution, Policy, Route, Service, Share
from godwitpass.ids import (
    Address,
    ChangeId,
    ContentHash,
    InstanceId,
    PolicyName,
    RegionId,
    RouteName,
    ServiceName,
    Version,
    ZoneId,
)
from godwitpass.internal.relay.retry_budget import RetryBudgetSettings, RepeatBudget
from godwitpass.internal.relay.frames import (
    MAX_FRAME_BYTES,
    Body,
    Cancel,
    Frame,
    FrameReader,
    InvalidFrame,
    Load,
    Pong,
    encode_frame,
)
from godwitpass.internal.relay.flow_control import MIN_WINDOW_BYTES, Inbound
from godwitpass.internal.relay.upstream_selection import Placement
from godwitpass.internal.relay.registration import Deregistration, Heartbeat, Registration, Verdict
from godwitpass.internal.relay.routes import RelayTable, compile_routes
from godwitpass.internal.relay.traffic_split import Splitter
from godwitpass.mesh import Upstream, UpstreamState
from godwitpass.snapshot import Snapshot

DESK = ServiceName("desk")
VAULT = ServiceName("vault")
READ = RouteName("read")


def build_table(routes: tuple[Route, ...], limits: CallerLimits | None = None) -> RelayTable:
    policies = (Policy(PolicyName("once"), execution=Execution.UNSAFE, priority=1),)
    services = (Service(DESK), Service(VAULT))
    document = Document(1, services, routes, policies, limits=limits or CallerLimits())
    return compile_routes(Snapshot(Version(3), ChangeId("c"), ContentHash("00"), document))


def build_heartbeat(
    sequence: int,
    draining: bool = False,
    upstream: str = "i-1",
    started_ms: int = 1_000,
    service: ServiceName = DESK,
) -> Heartbeat:
    return Heartbeat(
        InstanceId(upstream), service, Address("10.0.0.1:80"), 12, draining, sequence, started_ms
    )


def build_upstream(name: str, zone: str = "a") -> Upstream:
    return Upstream(
        InstanceId(name),
        DESK,
        Address(f"{name}:1"),
        ZoneId(zone),
        RegionId("r"),
        UpstreamState.READY,
        12,
    )


class TestRoutes:
    def test_the_longest_prefix_wins(self) -> None:
        table = build_table(
            (
                Route(RouteName("short"), "/a", DESK, "h"),
                Route(RouteName("long"), "/a/b", VAULT, "h"),
            )
        )
        found = table.find("h", "/a/b/c")
        assert found is not None and found.name == "long"

    @pytest.mark.parametrize("path", ["/a", "/ab/c", "/", "/b/a/"])
    def test_a_prefix_ends_with_its_slash(self, path: str) -> None:
        assert build_table((Route(READ, "/a", DESK, "h"),)).find("h", path) is None

    def test_another_host_has_no_part_in_a_route(self) -> None:
        assert build_table((Route(READ, "/a", DESK, "h"),)).find("g", "/a/b") is None

    def test_shares_of_weight_zero_get_nothing(self) -> None:
        shares = (Share(DESK, 0), Share(VAULT, 5))
        found = build_table((Route(READ, "/a", DESK, "h", shares=shares),)).find("h", "/a/b")
        assert found is not None and found.shares == ((VAULT, 5),)


class TestSplits:
    def test_many_daemons_with_few_calls_each_keep_the_weights(self) -> None:
        shares = (Share(DESK, 90), Share(VAULT, 10))
        route = build_table((Route(READ, "/a", DESK, "h", shares=shares),)).find("h", "/a/b")
        assert route is not None
        chosen = [
            splitter.choose(route)
            for seed in range(14)
            for splitter in [Splitter(random.Random(seed))]
            for _ in range(25)
        ]
        assert chosen.count(VAULT) / len(chosen) == pytest.approx(0.1, abs=0.03)


class TestBudget:
    def test_all_daemons_together_stay_within_ratio_and_slack(self) -> None:
        terms = RetryBudgetSettings(0.2, 10.0, 56.0)
        budgets = [RepeatBudget(terms) for _ in range(10)]
        repeats = 0
        for step in range(2_000):
            now = step * 0.005
            budget = budgets[step % 10]
            budget.count_first(now)
            repeats += budget.try_repeat(now, daemons=10)
        assert 0 < repeats <= 0.2 * 2_000 + 56

    def test_old_sends_leave_the_window(self) -> None:
        budget = RepeatBudget(RetryBudgetSettings(1.0, 10.0, 0.0))
        for _ in range(10):
            budget.count_first(0.0)
        assert budget.try_repeat(1.0, 1)
        assert not budget.try_repeat(30.0, 1)


class TestRegistration:
    def test_a_drain_is_never_undone_by_a_late_heartbeat(self) -> None:
        registration = Registration()
        registration.take(build_heartbeat(1), 0.0)
        registration.take(build_heartbeat(5, draining=True), 1.0)
        assert registration.take(build_heartbeat(4), 2.0) is Verdict.OUTDATED
        assert registration.take(build_heartbeat(6), 2.0) is Verdict.TAKEN
        assert registration.state is UpstreamState.DRAINING

    def test_a_new_start_under_the_same_id_begins_anew(self) -> None:
        registration = Registration()
        registration.take(build_heartbeat(9, draining=True), 0.0)
        registration.take(build_heartbeat(1, started_ms=5_000), 1.0)
        assert registration.state is UpstreamState.READY

    def test_an_earlier_incarnation_takes_nothing_back(self) -> None:
        registration = Registration()
        registration.take(build_heartbeat(1, upstream="i-2", started_ms=5_000), 0.0)
        verdict = registration.take(build_heartbeat(40, upstream="i-1", started_ms=1_000), 1.0)
        assert verdict is Verdict.OUTDATED
        assert registration.current is not None and registration.current.upstream == "i-2"

    def test_a_departed_upstream_is_not_revived_by_a_late_heartbeat(self) -> None:
        registration = Registration()
        registration.take(build_heartbeat(1), 0.0)
        registration.depart(Deregistration(InstanceId("i-1"), 60_000), 1.0)
        assert registration.take(build_heartbeat(7), 2.0) is Verdict.OUTDATED
        assert registration.drained_at == 1.0


class TestRegistrationAfterARestart:
    def test_a_drain_told_first_counts_as_acknowledged_before(self) -> None:
        registration = Registration()
        registration.take(build_heartbeat(7, draining=True), 50.0)
        assert registration.drained_at is not None and registration.drained_at < 0.0

    def test_one_ready_heartbeat_is_not_believed_of_an_upstream_that_is_not_well(self) -> None:
        registration = Registration()
        registration.doubted = True
        assert registration.take(build_heartbeat(4), 0.0) is Verdict.DOUBTFUL
        assert registration.take(build_heartbeat(4), 0.1) is Verdict.DOUBTFUL
        assert registration.take(build_heartbeat(5), 1.5) is Verdict.TAKEN

    def test_a_late_heartbeat_does_not_revive_one_that_left_before_it_was_heard(self) -> None:
        registration = Registration()
        registration.depart(Deregistration(InstanceId("i-1"), heard_ms=60_000), 0.0)
        assert registration.take(build_heartbeat(30, started_ms=9_000), 2.3) is Verdict.OUTDATED

    def test_a_late_heartbeat_does_not_revive_one_known_by_its_id_only(self) -> None:
        registration = Registration()
        registration.take(build_heartbeat(0, started_ms=0), 0.0)
        registration.depart(Deregistration(InstanceId("i-1"), heard_ms=60_000), 0.5)
        assert registration.take(build_heartbeat(30, started_ms=9_000), 2.3) is Verdict.OUTDATED
        assert registration.drained_at == 0.5

    def test_a_start_after_the_departure_counts(self) -> None:
        registration = Registration()
        registration.depart(Deregistration(InstanceId("i-1"), heard_ms=60_000), 0.0)
        assert registration.take(build_heartbeat(1, started_ms=65_000), 5.0) is Verdict.TAKEN

    def test_a_drain_is_believed_at_once(self) -> None:
        registration = Registration()
        registration.doubted = True
        assert registration.take(build_heartbeat(4, draining=True), 0.0) is Verdict.TAKEN


class TestInbound:
    def test_no_more_is_on_the_way_than_the_window(self) -> None:
        inbound = Inbound(500_000.0, 16_384)
        granted = sum(grant.size for n in range(9) for grant in inbound.open(n, 60_000))
        assert granted <= MIN_WINDOW_BYTES + 16_384

    def test_a_body_that_ends_lets_the_next_one_come(self) -> None:
        inbound = Inbound(500_000.0, 16_384)
        first = inbound.open(1, 40_000)
        assert not inbound.open(2, 10_000)
        later = [grant for held in first for grant in inbound.receive(1, held.size, 0.0)]
        assert {grant.number for grant in later} == {1, 2}

    def test_a_body_that_is_given_up_frees_what_was_granted_to_it(self) -> None:
        inbound = Inbound(500_000.0, 16_384)
        inbound.open(1, 40_000)
        assert not inbound.open(2, 10_000)
        assert [grant.number for grant in inbound.close(1)] == [2]

    def test_every_byte_is_granted_once(self) -> None:
        inbound = Inbound(500_000.0, 16_384)
        waiting = [grant for n in range(5) for grant in inbound.open(n, 50_000)]
        total = 0
        while waiting:
            grant = waiting.pop(0)
            total += grant.size
            waiting += inbound.receive(grant.number, grant.size, 0.0)
        assert total == 5 * 50_000
        assert inbound.backlog_s == 0.0


class TestMeasuredRate:
    def test_a_link_that_brings_half_of_its_rate_is_believed_to_have_half(self) -> None:
        inbound = Inbound(600_000.0, 16_384)
        waiting = [grant for n in range(200) for grant in inbound.open(n, 60_000)]
        now = 0.0
        while waiting and now < 8.0:
            grant = waiting.pop(0)
            now += grant.size / 300_000
            waiting += inbound.receive(grant.number, grant.size, now)
        assert inbound.bytes_per_s == pytest.approx(300_000, rel=0.1)


class TestPlacement:
    def test_the_own_zone_comes_first_while_it_has_room(self) -> None:
        placement = Placement(InstanceId("own"), ZoneId("a"), random.Random(1))
        placement.update(DESK, [build_upstream("near", "a"), build_upstream("far", "b")])
        chosen = [placement.choose(DESK, READ, 0.0) for _ in range(50)]
        assert all(upstream is not None and upstream.instance == "near" for upstream in chosen)

    def test_a_full_upstream_is_left_for_one_in_another_zone(self) -> None:
        placement = Placement(InstanceId("own"), ZoneId("a"), random.Random(1))
        placement.update(DESK, [build_upstream("near", "a"), build_upstream("far", "b")])
        placement.note_load(InstanceId("near"), Load(12, 30, 12, 0, 1_000), 0.0)
        chosen = placement.choose(DESK, READ, 0.001)
        assert chosen is not None and chosen.instance == "far"

    def test_an_upstream_that_fails_gets_less(self) -> None:
        placement = Placement(InstanceId("own"), ZoneId("a"), random.Random(1))
        placement.update(DESK, [build_upstream("good"), build_upstream("bad")])
        for _ in range(10):
            placement.note_failure(InstanceId("bad"), 0.0)
        chosen = [placement.choose(DESK, READ, 0.1) for _ in range(20)]
        assert all(upstream is not None and upstream.instance == "good" for upstream in chosen)

    def test_a_large_body_avoids_a_link_that_is_full(self) -> None:
        placement = Placement(InstanceId("own"), ZoneId("a"), random.Random(1))
        placement.update(DESK, [build_upstream("full"), build_upstream("free")])
        placement.note_load(InstanceId("full"), Load(0, 0, 12, 1_500, 600), 0.0)
        placement.note_load(InstanceId("free"), Load(6, 0, 12, 0, 600), 0.0)
        chosen = placement.choose(DESK, READ, 0.0, body_bytes=60_000)
        assert chosen is not None and chosen.instance == "free"

    def test_the_last_upstream_is_tried_even_if_it_was_not_reached(self) -> None:
        placement = Placement(InstanceId("own"), ZoneId("a"), random.Random(1))
        placement.update(DESK, [build_upstream("only")])
        placement.note_unreachable(InstanceId("only"), 0.0)
        assert placement.choose(DESK, READ, 0.01) is not None


class TestFrames:
    def test_frames_survive_any_cut_of_the_stream(self) -> None:
        frames: list[Frame] = [Body(1, b"x" * 300, True), Cancel(2), Pong(Load(1, 2, 3, 4, 5))]
        data = b"".join(encode_frame(frame) for frame in frames)
        for size in (1, 3, 7, 100, len(data)):
            reader = FrameReader()
            found = [
                frame
                for begin in range(0, len(data), size)
                for frame in reader.feed(data[begin : begin + size])
            ]
            assert found == frames

    @pytest.mark.parametrize(
        "data",
        [
            (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
            b"\x00\x00\x00\x02\xff\xff",
            b"\x00\x00\x00\x02\x91\x63",
        ],
    )
    def test_bytes_that_are_no_frame_are_refused(self, data: bytes) -> None:
        with pytest.raises(InvalidFrame):
            FrameReader().feed(data)
