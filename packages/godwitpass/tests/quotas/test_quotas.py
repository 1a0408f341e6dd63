"""Parts of the rate limits; histories with faults are in the testkit."""

import random

import pytest

from godwitpass.ids import Address, CustomerName, InstanceId, RegionId, Version, ZoneId
from godwitpass.internal.actions import MessageReceived, Send
from godwitpass.internal.quotas.asker import (
    ASK_INTERVAL_S,
    MAX_WAIT_S,
    CallArrived,
    CoordinatorsChanged,
    Decide,
    PermitReleased,
    QuotaAsker,
)
from godwitpass.internal.quotas.ballot import NO_VOTE, Ballot
from godwitpass.internal.quotas.buckets import Bucket, RateLimit, compute_bucket_size
from godwitpass.internal.quotas.daemon_count import DaemonCount
from godwitpass.internal.quotas.electorate import (
    choose_coordinators,
    encode_electorate,
    rank_coordinators,
)
from godwitpass.internal.quotas.interface import QuotaAdmitted, QuotaRefused
from godwitpass.internal.quotas.messages import Answer, Ask, Granted, Return, Stamp, Want
from godwitpass.internal.quotas.owner import DaemonsCounted, LimitsChanged, QuotaOwner
from godwitpass.internal.quotas.settings import QuotaSettings
from godwitpass.internal.quotas.tuning import SETTLING_S, TOKEN_LIFE_S, VOTE_LIFE_S, VOTE_PAUSE_S
from godwitpass.mesh import Member, MemberState

SETTINGS = QuotaSettings(5, 0.1, 20)
A, B = Address("10.0.0.1:7"), Address("10.0.0.2:7")
CUSTOMER = CustomerName("north")
LIMITS = LimitsChanged(Version(1), {CUSTOMER: RateLimit(10, 20)})
SIZE = compute_bucket_size(LIMITS.limits[CUSTOMER], SETTINGS)


class OwnerHarness:
    """An owner with the votes of one daemon out of `count`."""

    def __init__(self, count: int = 1) -> None:
        self.owner = QuotaOwner(A, 1, SETTINGS, 0.0)
        self.owner.handle(LIMITS, 0.0)
        self.owner.handle(DaemonsCounted(count), 0.0)
        self.nonce = 0

    def ask(
        self,
        now: float,
        waiting: int = 0,
        voted_at: float | None = None,
        returns: tuple[Return, ...] = (),
        electorate: bytes = encode_electorate([A]),
    ) -> Granted | None:
        self.nonce += 1
        sent_at = now if voted_at is None else voted_at
        message = Ask(
            7,
            self.nonce,
            1,
            electorate,
            0,
            Stamp(1, int(sent_at * 1e6)),
            0,
            (Want(CUSTOMER, waiting, 0),),
            returns,
        )
        actions = self.owner.handle(MessageReceived(B, message), now)
        return actions[0].message.grants[0] if actions else None

    def fill(self, until: float, since: float = SETTLING_S) -> None:
        """Vote until the bucket is full."""
        for step in range(round((until - since) / 0.4) + 1):
            self.ask(since + step * 0.4)


class TestOwner:
    def test_grants_the_rate_and_no_more_than_the_capacity_at_once(self) -> None:
        harness = OwnerHarness()
        harness.fill(60)
        granted = harness.ask(60.2, 1000)
        assert granted is not None and granted.count == int(SIZE.capacity)
        assert granted.retry_after_ms > 0

    def test_has_nothing_before_it_knows_the_other_daemons(self) -> None:
        """Guards against a restarted owner that grants what its predecessor has granted."""
        harness = OwnerHarness()
        assert harness.ask(SETTLING_S - 0.1, 1) is None
        granted = harness.ask(SETTLING_S, 1)
        assert granted is not None and granted.count == 0

    def test_credit_follows_the_share_of_votes(self) -> None:
        """Guards against two sides of a partition that grant the whole rate each."""
        harness = OwnerHarness(count=4)
        harness.fill(120)
        granted = harness.ask(120.2, 1000)
        assert granted is not None and granted.count == int(SIZE.capacity / 4)

    def test_credit_is_lost_with_the_votes_also_if_they_come_back(self) -> None:
        """Guards against an owner that keeps a full bucket while another one grants."""
        harness = OwnerHarness()
        harness.fill(60)
        harness.ask(60.2)
        # No message in between: the loss is noticed afterwards.
        granted = harness.ask(70.0, 1000)
        assert granted is not None and granted.count == 0

    def test_a_vote_counts_from_when_it_was_sent(self) -> None:
        """Guards against votes that wait in the socket of a paused owner."""
        harness = OwnerHarness()
        harness.ask(10.0, voted_at=10.0 - VOTE_LIFE_S - 0.01)
        assert harness.owner.vote_count == 0
        harness.ask(10.1, voted_at=10.1 - VOTE_LIFE_S + 0.1)
        assert harness.owner.vote_count == 1
        harness.ask(10.3, electorate=NO_VOTE)
        assert harness.owner.vote_count == 0

    def test_a_second_copy_is_ignored(self) -> None:
        """Guards against tokens that are returned twice."""
        harness = OwnerHarness()
        harness.fill(60)
        assert (granted := harness.ask(60.0, 5)) is not None and granted.count == 5
        returned = (Return(harness.nonce, CUSTOMER, 5),)
        harness.ask(60.0, returns=returned)
        harness.nonce -= 1
        assert harness.ask(60.0, 1000, returns=returned) is None

    def test_only_unexpired_tokens_of_the_same_grant_are_taken_back(self) -> None:
        bucket = Bucket(SIZE)
        bucket.fill(100, 100)
        bucket.limit(1, 0)
        assert bucket.take(9, B, 1, 5, 0.0) == 9
        for nonce, count in ((4, 9), (5, 2), (5, 99)):
            bucket.give_back(B, 1, nonce, count)
        assert bucket.level == SIZE.capacity
        assert bucket.take(9, B, 1, 6, 1.0) == 9
        bucket.limit(1, 1.0 + TOKEN_LIFE_S)
        bucket.give_back(B, 1, 6, 9)
        assert bucket.level == SIZE.capacity - 9

    def test_returned_and_renewed_tokens_don_t_add_to_a_full_bucket(self) -> None:
        """Guards against daemons that hold a bucket's worth of tokens while it fills again."""
        bucket = Bucket(SIZE)
        bucket.fill(100, 100)
        held, now = 0, 0.0
        for step in range(400):
            now = step * 0.1
            bucket.fill(0.1, 0.1)
            bucket.limit(1, now)
            if held:
                bucket.give_back(B, 1, step - 1, held)
                bucket.limit(1, now)
            held = bucket.take(int(SIZE.capacity), B, 1, step, now)
        assert bucket.level + held <= SIZE.max_unexpired


class TestBallot:
    def test_votes_for_another_electorate_after_a_pause_and_soon_again_after_a_longer_one(
        self,
    ) -> None:
        """Guards against one daemon that is counted by two owners."""
        ballot = Ballot(5.6, 0.0)
        ballot.choose([A])
        assert ballot.cast(SETTLING_S - 0.01) == NO_VOTE
        assert ballot.cast(SETTLING_S) == encode_electorate([A])
        assert ballot.get_start_number(SETTLING_S) == 0
        assert ballot.cast(20.0) == encode_electorate([A])
        ballot.choose([B])
        assert ballot.cast(20.0 + VOTE_PAUSE_S - 0.01) == NO_VOTE
        assert ballot.cast(20.0 + VOTE_PAUSE_S) == encode_electorate([B])
        assert ballot.get_start_number(20.3) == 1
        ballot.choose([A])
        assert ballot.cast(20.0 + VOTE_PAUSE_S + VOTE_LIFE_S - 0.01) == NO_VOTE
        assert ballot.cast(20.0 + VOTE_PAUSE_S + VOTE_LIFE_S) == encode_electorate([A])
        assert ballot.get_start_number(21) == 0


class AskerHarness:
    def __init__(self) -> None:
        self.asker = QuotaAsker(9, SETTINGS, random.Random(1), 0.0)
        self.asker.handle(LIMITS, 0.0)
        self.asks: list[Send[Ask]] = []
        self.decisions: list[Decide] = []
        self.handle(CoordinatorsChanged((A,), 1), 0.0)

    def handle(self, event: object, now: float) -> None:
        for action in self.asker.handle(event, now):  # type: ignore[arg-type]
            if isinstance(action, Send):
                self.asks.append(action)
            elif isinstance(action, Decide):
                self.decisions.append(action)

    def answer(self, now: float, count: int, retry_ms: int = 0, version: int = 1) -> None:
        ask = next(item.message for item in reversed(self.asks) if item.message.wants)
        granted = Granted(CUSTOMER, count, retry_ms)
        message = Answer(9, ask.nonce, Stamp(1, 0), version, (granted,))
        self.handle(MessageReceived(A, message), now)


class TestAsker:
    def test_a_token_of_a_late_answer_has_expired(self) -> None:
        """Guards against a token that is used after a pause."""
        harness = AskerHarness()
        harness.handle(CallArrived(1, CUSTOMER), 10.0)
        harness.answer(10.0 + TOKEN_LIFE_S, 1)
        refusals = [item.decision for item in harness.decisions]
        assert all(isinstance(item, QuotaRefused) and item.status == 503 for item in refusals)

    def test_a_released_token_is_used_by_the_next_call(self) -> None:
        harness = AskerHarness()
        harness.handle(CallArrived(1, CUSTOMER), 10.0)
        harness.answer(10.01, 1)
        (decided,) = harness.decisions
        assert isinstance(decided.decision, QuotaAdmitted)
        for _ in range(2):
            harness.handle(PermitReleased(CUSTOMER, decided.decision.permit), 10.02)
        harness.handle(CallArrived(2, CUSTOMER), 10.03)
        harness.handle(CallArrived(3, CUSTOMER), 10.03)
        assert [item.call_id for item in harness.decisions] == [1, 2]

    def test_a_call_is_refused_with_the_owner_s_time_or_after_a_wait(self) -> None:
        harness = AskerHarness()
        harness.handle(CallArrived(1, CUSTOMER), 10.0)
        harness.answer(10.01, 0, 800)
        refusal = harness.decisions[0].decision
        assert isinstance(refusal, QuotaRefused) and refusal.status == 429
        assert 0.8 <= refusal.retry_after_s <= 1.2
        harness.handle(CallArrived(2, CUSTOMER), 11.0)
        harness.handle(CallArrived(3, CUSTOMER), 11.0 + MAX_WAIT_S)
        refusal = harness.decisions[1].decision
        assert isinstance(refusal, QuotaRefused) and refusal.status == 503

    @pytest.mark.parametrize("arrived_at", [0.1, 1.5])
    def test_callers_refused_before_any_owner_can_grant_come_back_when_one_can(
        self, arrived_at: float
    ) -> None:
        """Guards against callers that spend their few retries in the seconds after a power loss."""
        harness = AskerHarness()
        refused_at = arrived_at + MAX_WAIT_S
        for call_id in range(20):
            harness.handle(CallArrived(call_id, CUSTOMER), arrived_at)
        harness.handle(CallArrived(20, CUSTOMER), refused_at)
        returns = [
            refused_at + item.decision.retry_after_s
            for item in harness.decisions
            if isinstance(item.decision, QuotaRefused)
        ]
        assert len(returns) == 20
        assert all(SETTLING_S <= at <= SETTLING_S + 0.6 for at in returns)
        assert max(returns) - min(returns) > 0.3

    def test_tokens_of_a_higher_limit_are_dropped(self) -> None:
        """Guards against a lower limit that binds late."""
        harness = AskerHarness()
        harness.handle(CallArrived(1, CUSTOMER), 10.0)
        harness.answer(10.01, 4)
        lower = LimitsChanged(Version(2), {CUSTOMER: RateLimit(1, 0)})
        harness.handle(lower, 10.02)
        harness.handle(CallArrived(2, CUSTOMER), 10.02)
        harness.answer(10.03, 1, version=1)
        assert [item.call_id for item in harness.decisions] == [1]
        harness.handle(CallArrived(3, CUSTOMER), 10.03 + ASK_INTERVAL_S)
        harness.answer(10.09, 2, version=2)
        assert [item.call_id for item in harness.decisions] == [1, 2, 3]


class TestElectorate:
    def test_coordinators_are_readers_of_different_zones(self) -> None:
        members = [
            Member(
                InstanceId(f"i{n}"), ZoneId(f"z{n % 3}"), RegionId("r"),
                Address(f"10.0.0.{n}:7"), 0, 0, MemberState.ALIVE,
            )
            for n in range(30)
        ]  # fmt: skip
        coordinators = choose_coordinators(members)
        zones = [member.zone for member in members if member.address in coordinators]
        assert len(set(zones)) == len(coordinators) == 2
        assert choose_coordinators(reversed(members)) == coordinators

    @pytest.mark.parametrize("lost", [0, 1, 2])
    def test_only_the_customers_of_a_lost_coordinator_move(self, lost: int) -> None:
        coordinators = [Address(f"10.0.0.{n}:7") for n in range(3)]
        left = [item for n, item in enumerate(coordinators) if n != lost]
        for n in range(50):
            customer = CustomerName(f"c{n}")
            owner = rank_coordinators(customer, coordinators)[0]
            if owner != coordinators[lost]:
                assert rank_coordinators(customer, left)[0] == owner


class TestDaemonCount:
    def test_a_missing_daemon_is_counted_for_a_while(self) -> None:
        """Guards against two sides of a partition that both grant the whole rate at once."""
        count = DaemonCount(60)
        assert count.update([A, B], 0) == 2
        assert count.update([A], 59) == 2
        assert count.update([A], 60) == 1
