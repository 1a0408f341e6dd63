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
from godwitpass.internal.relay.flow_control import MIN_WINDOW_BYTES, InboundFlowControl
from godwitpass.internal.relay.frames import (
    MAX_FRAME_BYTES,
    BodyChunk,
    CancelStream,
    Frame,
    FrameDecoder,
    InvalidFrame,
    Load,
    Pong,
    encode_frame,
)
from godwitpass.internal.relay.registration import (
    Deregistration,
    Heartbeat,
    Registration,
    UpdateOutcome,
)
from godwitpass.internal.relay.retry_budget import (
    DaemonShare,
    RetryBudget,
    RetryBudgetSettings,
)
from godwitpass.internal.relay.routes import RelayTable, compile_routes
from godwitpass.internal.relay.traffic_split import TrafficSplitter
from godwitpass.internal.relay.upstream_selection import UpstreamSelector
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
    is_draining: bool = False,
    upstream: str = "i-1",
    started_ms: int = 1_000,
    service: ServiceName = DESK,
) -> Heartbeat:
    return Heartbeat(
        InstanceId(upstream), service, Address("10.0.0.1:80"), 12, is_draining, sequence, started_ms
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
    def test_the_longest_matching_prefix_is_selected(self) -> None:
        table = build_table(
            (
                Route(RouteName("short"), "/a", DESK, "h"),
                Route(RouteName("long"), "/a/b", VAULT, "h"),
            )
        )
        found = table.find("h", "/a/b/c")
        assert found is not None and found.name == "long"

    @pytest.mark.parametrize("path", ["/a", "/ab/c", "/", "/b/a/"])
    def test_a_prefix_matches_whole_path_segments_only(self, path: str) -> None:
        assert build_table((Route(READ, "/a", DESK, "h"),)).find("h", path) is None

    def test_a_route_does_not_match_another_host(self) -> None:
        assert build_table((Route(READ, "/a", DESK, "h"),)).find("g", "/a/b") is None

    def test_a_share_of_weight_zero_receives_no_calls(self) -> None:
        shares = (Share(DESK, 0), Share(VAULT, 5))
        found = build_table((Route(READ, "/a", DESK, "h", shares=shares),)).find("h", "/a/b")
        assert found is not None and found.shares == ((VAULT, 5),)


class TestTrafficSplitter:
    def test_many_daemons_with_few_calls_each_respect_the_weights(self) -> None:
        shares = (Share(DESK, 90), Share(VAULT, 10))
        route = build_table((Route(READ, "/a", DESK, "h", shares=shares),)).find("h", "/a/b")
        assert route is not None
        chosen = [
            splitter.choose_service(route)
            for seed in range(14)
            for splitter in [TrafficSplitter(random.Random(seed))]
            for _ in range(25)
        ]
        assert chosen.count(VAULT) / len(chosen) == pytest.approx(0.1, abs=0.03)


class TestRetryBudget:
    def test_the_retries_of_all_daemons_stay_within_ratio_and_slack(self) -> None:
        settings = RetryBudgetSettings(0.2, 10.0, 56.0)
        budgets = [RetryBudget(settings) for _ in range(10)]
        retries = 0
        for step in range(2_000):
            now = step * 0.005
            budget = budgets[step % 10]
            budget.count_call(now)
            retries += budget.try_retry(now, slack_share=0.1)
        assert 0 < retries <= 0.2 * 2_000 + 56

    def test_old_calls_leave_the_window(self) -> None:
        budget = RetryBudget(RetryBudgetSettings(1.0, 10.0, 0.0))
        for _ in range(10):
            budget.count_call(0.0)
        assert budget.try_retry(1.0, 1.0)
        assert not budget.try_retry(30.0, 1.0)


RETRY_BUDGET = RetryBudgetSettings(0.2, 10.0, 56.0)
DAEMONS = 10


class RetryingDaemon:
    """A daemon that retries whenever its budget allows it, without any calls."""

    def __init__(self, started_at: float) -> None:
        self._budget = RetryBudget(RETRY_BUDGET)
        self._share = DaemonShare(started_at)

    def count_retries(self, now: float, known_daemons: int) -> int:
        share = self._share.compute(now, known_daemons, RETRY_BUDGET.window_s)
        retries = 0
        while self._budget.try_retry(now, share):
            retries += 1
        return retries


class TestSharedSlack:
    def test_daemons_that_start_together_stay_within_the_slack_before_they_know_each_other(
        self,
    ) -> None:
        daemons = [RetryingDaemon(0.0) for _ in range(DAEMONS)]
        retries = 0
        for tenth in range(100):
            known_daemons = 1 if tenth < 20 else DAEMONS
            retries += sum(daemon.count_retries(tenth / 10, known_daemons) for daemon in daemons)
        assert retries <= RETRY_BUDGET.slack

    def test_daemons_on_both_sides_of_a_cut_stay_within_the_slack(self) -> None:
        daemons = [RetryingDaemon(0.0) for _ in range(DAEMONS)]
        for daemon in daemons:
            daemon.count_retries(50.0, DAEMONS)
        retries = sum(daemon.count_retries(70.0, 1) for daemon in daemons)
        assert 0 < retries <= RETRY_BUDGET.slack

    def test_a_restart_does_not_renew_the_share_within_a_window(self) -> None:
        before = RetryingDaemon(0.0).count_retries(50.0, DAEMONS)
        after = RetryingDaemon(50.5).count_retries(59.9, DAEMONS)
        assert (before + after) * DAEMONS <= RETRY_BUDGET.slack
        assert RetryingDaemon(50.5).count_retries(52.0, 1) == 0


class TestRegistration:
    def test_a_late_or_newer_heartbeat_does_not_undo_draining(self) -> None:
        registration = Registration()
        registration.apply(build_heartbeat(1), 0.0)
        registration.apply(build_heartbeat(5, is_draining=True), 1.0)
        assert registration.apply(build_heartbeat(4), 2.0) is UpdateOutcome.OUTDATED
        assert registration.apply(build_heartbeat(6), 2.0) is UpdateOutcome.ACCEPTED
        assert registration.state is UpstreamState.DRAINING

    def test_a_new_incarnation_under_the_same_id_is_ready(self) -> None:
        registration = Registration()
        registration.apply(build_heartbeat(9, is_draining=True), 0.0)
        registration.apply(build_heartbeat(1, started_ms=5_000), 1.0)
        assert registration.state is UpstreamState.READY

    def test_a_heartbeat_of_an_earlier_incarnation_is_outdated(self) -> None:
        registration = Registration()
        registration.apply(build_heartbeat(1, upstream="i-2", started_ms=5_000), 0.0)
        outcome = registration.apply(build_heartbeat(40, upstream="i-1", started_ms=1_000), 1.0)
        assert outcome is UpdateOutcome.OUTDATED
        assert registration.current is not None and registration.current.upstream == "i-2"

    def test_a_late_heartbeat_does_not_revive_a_deregistered_upstream(self) -> None:
        registration = Registration()
        registration.apply(build_heartbeat(1), 0.0)
        registration.deregister(Deregistration(InstanceId("i-1"), 60_000), 1.0)
        assert registration.apply(build_heartbeat(7), 2.0) is UpdateOutcome.OUTDATED
        assert registration.draining_since == 1.0


class TestRegistrationAfterDaemonRestart:
    def test_draining_in_the_first_heartbeat_counts_as_acknowledged_earlier(self) -> None:
        registration = Registration()
        registration.apply(build_heartbeat(7, is_draining=True), 50.0)
        assert registration.draining_since is not None and registration.draining_since < 0.0

    def test_a_late_heartbeat_does_not_revive_an_upstream_deregistered_before_it(self) -> None:
        registration = Registration()
        registration.deregister(Deregistration(InstanceId("i-1"), received_ms=60_000), 0.0)
        assert (
            registration.apply(build_heartbeat(30, started_ms=9_000), 2.3) is UpdateOutcome.OUTDATED
        )

    def test_a_late_heartbeat_does_not_revive_an_upstream_known_by_id_only(self) -> None:
        registration = Registration()
        registration.apply(build_heartbeat(0, started_ms=0), 0.0)
        registration.deregister(Deregistration(InstanceId("i-1"), received_ms=60_000), 0.5)
        assert (
            registration.apply(build_heartbeat(30, started_ms=9_000), 2.3) is UpdateOutcome.OUTDATED
        )
        assert registration.draining_since == 0.5

    def test_an_incarnation_started_after_the_deregistration_is_accepted(self) -> None:
        registration = Registration()
        registration.deregister(Deregistration(InstanceId("i-1"), received_ms=60_000), 0.0)
        assert (
            registration.apply(build_heartbeat(1, started_ms=65_000), 5.0) is UpdateOutcome.ACCEPTED
        )


class TestInboundFlowControl:
    def test_the_bytes_in_flight_do_not_exceed_the_window_by_more_than_a_chunk(self) -> None:
        flow_control = InboundFlowControl(500_000.0, 16_384)
        granted = sum(
            grant.size_bytes for call_id in range(9) for grant in flow_control.open(call_id, 60_000)
        )
        assert granted <= MIN_WINDOW_BYTES + 16_384

    def test_received_chunks_free_the_window_for_the_next_body(self) -> None:
        flow_control = InboundFlowControl(500_000.0, 16_384)
        first_grants = flow_control.open(1, 40_000)
        assert not flow_control.open(2, 10_000)
        later_grants = [
            grant
            for first_grant in first_grants
            for grant in flow_control.record_chunk(1, first_grant.size_bytes, 0.0)
        ]
        assert {grant.call_id for grant in later_grants} == {1, 2}

    def test_an_abandoned_body_releases_the_bytes_granted_to_it(self) -> None:
        flow_control = InboundFlowControl(500_000.0, 16_384)
        flow_control.open(1, 40_000)
        assert not flow_control.open(2, 10_000)
        assert [grant.call_id for grant in flow_control.close(1)] == [2]

    def test_every_byte_is_granted_exactly_once(self) -> None:
        flow_control = InboundFlowControl(500_000.0, 16_384)
        pending_grants = [
            grant for call_id in range(5) for grant in flow_control.open(call_id, 50_000)
        ]
        total = 0
        while pending_grants:
            grant = pending_grants.pop(0)
            total += grant.size_bytes
            pending_grants += flow_control.record_chunk(grant.call_id, grant.size_bytes, 0.0)
        assert total == 5 * 50_000
        assert flow_control.backlog_s == 0.0


class TestMeasuredLinkRate:
    def test_the_rate_of_a_link_at_half_its_nominal_rate_is_measured(self) -> None:
        flow_control = InboundFlowControl(600_000.0, 16_384)
        pending_grants = [
            grant for call_id in range(200) for grant in flow_control.open(call_id, 60_000)
        ]
        now = 0.0
        while pending_grants and now < 8.0:
            grant = pending_grants.pop(0)
            now += grant.size_bytes / 300_000
            pending_grants += flow_control.record_chunk(grant.call_id, grant.size_bytes, now)
        assert flow_control.bytes_per_s == pytest.approx(300_000, rel=0.1)


class TestUpstreamSelector:
    def test_an_upstream_in_the_own_zone_is_preferred_while_it_has_free_slots(self) -> None:
        selector = UpstreamSelector(InstanceId("own"), ZoneId("a"), random.Random(1))
        selector.update(DESK, [build_upstream("near", "a"), build_upstream("far", "b")])
        chosen = [selector.select(DESK, READ, 0.0) for _ in range(50)]
        assert all(upstream is not None and upstream.instance == "near" for upstream in chosen)

    def test_a_free_upstream_in_another_zone_is_preferred_to_a_full_one(self) -> None:
        selector = UpstreamSelector(InstanceId("own"), ZoneId("a"), random.Random(1))
        selector.update(DESK, [build_upstream("near", "a"), build_upstream("far", "b")])
        selector.record_load(InstanceId("near"), Load(12, 30, 12, 0, 1_000), 0.0)
        chosen = selector.select(DESK, READ, 0.001)
        assert chosen is not None and chosen.instance == "far"

    def test_a_failing_upstream_is_avoided(self) -> None:
        selector = UpstreamSelector(InstanceId("own"), ZoneId("a"), random.Random(1))
        selector.update(DESK, [build_upstream("good"), build_upstream("bad")])
        for _ in range(10):
            selector.record_failure(InstanceId("bad"), 0.0)
        chosen = [selector.select(DESK, READ, 0.1) for _ in range(20)]
        assert all(upstream is not None and upstream.instance == "good" for upstream in chosen)

    def test_an_upstream_that_was_slow_once_gets_calls_again_while_the_others_are_free(
        self,
    ) -> None:
        selector = UpstreamSelector(InstanceId("own"), ZoneId("a"), random.Random(1))
        selector.update(DESK, [build_upstream("fast"), build_upstream("slow")])

        def select_for(start: float, end: float) -> set[str]:
            """Send a call every 100 ms and return the upstreams that got one."""
            chosen: set[str] = set()
            now = start
            while now < end:
                upstream = selector.select(DESK, READ, now)
                assert upstream is not None
                chosen.add(upstream.instance)
                selector.record_response(upstream.instance, READ, 0.02, 2_000, False, now)
                now += 0.1
            return chosen

        select_for(0.0, 10.0)
        for _ in range(3):
            selector.record_response(InstanceId("slow"), READ, 1.0, 2_000, False, 10.0)
        assert select_for(10.0, 35.0) == {"fast"}
        assert select_for(35.0, 120.0) == {"fast", "slow"}

    def test_a_large_body_avoids_a_saturated_link(self) -> None:
        selector = UpstreamSelector(InstanceId("own"), ZoneId("a"), random.Random(1))
        selector.update(DESK, [build_upstream("full"), build_upstream("free")])
        selector.record_load(InstanceId("full"), Load(0, 0, 12, 1_500, 600), 0.0)
        selector.record_load(InstanceId("free"), Load(6, 0, 12, 0, 600), 0.0)
        chosen = selector.select(DESK, READ, 0.0, body_bytes=60_000)
        assert chosen is not None and chosen.instance == "free"

    def test_the_only_upstream_is_tried_even_during_its_backoff(self) -> None:
        selector = UpstreamSelector(InstanceId("own"), ZoneId("a"), random.Random(1))
        selector.update(DESK, [build_upstream("only")])
        selector.record_unreachable(InstanceId("only"), 0.0)
        assert selector.select(DESK, READ, 0.01) is not None


class TestLocality:
    """Uneven upstreams on a calm day: the own zone has the slower one, which is fast enough."""

    NEAR_SERVICE_TIME_S, FAR_SERVICE_TIME_S = 0.15, 0.06

    def build_selector(self) -> UpstreamSelector:
        selector = UpstreamSelector(InstanceId("own"), ZoneId("a"), random.Random(1))
        selector.update(DESK, [build_upstream("near", "a"), build_upstream("far", "b")])
        for _ in range(100):
            for name, service_s in (
                ("near", self.NEAR_SERVICE_TIME_S),
                ("far", self.FAR_SERVICE_TIME_S),
            ):
                selector.record_response(InstanceId(name), READ, service_s, 5_000, False, 0.0)
        return selector

    def count_near(self, selector: UpstreamSelector, objective_s: float) -> int:
        chosen = [selector.select(DESK, READ, 0.0, objective_s=objective_s) for _ in range(50)]
        return sum(upstream is not None and upstream.instance == "near" for upstream in chosen)

    def test_calls_stay_in_the_zone_while_its_upstream_meets_the_objective(self) -> None:
        assert self.count_near(self.build_selector(), objective_s=0.5) == 50

    def test_calls_that_the_own_zone_would_answer_late_leave_it(self) -> None:
        assert self.count_near(self.build_selector(), objective_s=0.1) == 0

    def test_calls_for_which_any_delay_matters_leave_the_zone(self) -> None:
        assert self.count_near(self.build_selector(), objective_s=0.0) == 0

    def test_calls_leave_the_zone_once_its_upstream_has_a_queue(self) -> None:
        selector = self.build_selector()
        selector.record_load(InstanceId("near"), Load(12, 24, 12, 0, 1_000), 0.0)
        assert self.count_near(selector, objective_s=0.5) == 0


class TestFrames:
    def test_frames_are_decoded_however_the_stream_is_split(self) -> None:
        frames: list[Frame] = [
            BodyChunk(1, b"x" * 300, True),
            CancelStream(2),
            Pong(Load(1, 2, 3, 4, 5)),
        ]
        data = b"".join(encode_frame(frame) for frame in frames)
        for size in (1, 3, 7, 100, len(data)):
            decoder = FrameDecoder()
            found = [
                frame
                for begin in range(0, len(data), size)
                for frame in decoder.decode(data[begin : begin + size])
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
    def test_bytes_that_are_not_a_frame_raise_an_error(self, data: bytes) -> None:
        with pytest.raises(InvalidFrame):
            FrameDecoder().decode(data)
