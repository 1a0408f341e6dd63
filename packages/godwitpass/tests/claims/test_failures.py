import random

import pytest

from godwitpass.ids import Address, RegionId, Revision
from godwitpass.internal.claims import events, table
from godwitpass.internal.claims.decisions import find_earlier_attempt
from godwitpass.internal.claims.keys import (
    KEY_LIFETIME_S,
    MAX_CLOCK_SKEW_S,
    SHARD_COUNT,
    InvalidKey,
    ShardId,
    parse_key,
)
from godwitpass.internal.claims.messages import STATUS_PENDING, ClaimOutcome, ClaimRequest
from godwitpass.internal.claims.node import Cancel, Complete
from godwitpass.internal.claims.placement import Peer, Placement
from godwitpass.store import MAX_VALUE_BYTES
from godwitpass_testkit.experiments.claims_simulation import WALL_OFFSET_S, ClaimsSimulation
from godwitpass_testkit.store import Faults

FIRST, SECOND, THIRD = (Address(f"10.0.{zone}.1:7000") for zone in range(3))
ADDRESSES = (FIRST, SECOND, THIRD)
NO_REVISION = Revision(0)
EARLIER_ATTEMPT_OUTCOMES = (ClaimOutcome.RAN, ClaimOutcome.IN_PROGRESS, ClaimOutcome.UNKNOWN)


def build_simulation(seed: int = 1) -> ClaimsSimulation:
    simulation = ClaimsSimulation(seed, ADDRESSES)
    simulation.run(1)
    return simulation


def claim(
    simulation: ClaimsSimulation, digest: bytes, address: Address, age_s: float = 0.0
) -> ClaimOutcome | None:
    token = simulation.send(simulation.make_key(digest, age_s), address)
    simulation.run(simulation.now + 3)
    return simulation.find_outcome(token)


def find_owner(simulation: ClaimsSimulation) -> Address:
    (owner,) = (address for address in ADDRESSES if simulation.daemons[address].node.loaded_shards)
    return owner


class TestRetry:
    def test_another_daemon_recognises_a_retry_after_all_daemons_were_killed(self) -> None:
        simulation = build_simulation()
        assert claim(simulation, b"k", FIRST) is ClaimOutcome.GRANTED
        for address in ADDRESSES:
            simulation.restart(address)
        assert claim(simulation, b"k", SECOND) in (ClaimOutcome.RAN, ClaimOutcome.IN_PROGRESS)

    def test_a_retry_is_answered_with_the_status_of_the_call_that_ran(self) -> None:
        simulation = build_simulation()
        simulation.should_run_calls = False
        first_token = simulation.send(simulation.make_key(b"k"), FIRST)
        simulation.run(simulation.now + 1)
        simulation.deliver(FIRST, Complete(first_token, 409))
        simulation.run(simulation.now + 3)
        second_token = simulation.send(simulation.make_key(b"k", age_s=4), THIRD)
        simulation.run(simulation.now + 1)
        answer = simulation.requests[second_token]
        assert (answer.outcome, answer.status) == (ClaimOutcome.RAN, 409)

    def test_a_claim_whose_daemon_was_killed_before_the_call_stays_unknown(self) -> None:
        simulation = build_simulation()
        key = simulation.make_key(b"k")
        token = simulation.send(key, FIRST)
        while simulation.find_outcome(token) is None:
            simulation.run(simulation.now + 0.001)
        simulation.restart(FIRST)
        assert claim(simulation, b"k", SECOND) is ClaimOutcome.IN_PROGRESS
        simulation.run(simulation.now + 60)
        assert claim(simulation, b"k", SECOND, age_s=70) is ClaimOutcome.UNKNOWN
        assert simulation.runs[key.digest] == 0

    def test_a_call_that_was_not_sent_can_be_claimed_again(self) -> None:
        simulation = build_simulation()
        simulation.should_run_calls = False
        first_token = simulation.send(simulation.make_key(b"k"), FIRST)
        simulation.run(simulation.now + 1)
        simulation.deliver(FIRST, Cancel(first_token))
        simulation.run(simulation.now + 3)
        assert simulation.find_outcome(first_token) is ClaimOutcome.GRANTED
        assert claim(simulation, b"k", SECOND, age_s=4) is ClaimOutcome.GRANTED


class TestStoreOutage:
    def test_a_lost_write_answer_is_resolved_by_reading_back_without_a_second_write(self) -> None:
        simulation = build_simulation()
        simulation.store.faults = Faults(lost_answers=1)
        token = simulation.send(simulation.make_key(b"k"), FIRST)
        simulation.run(simulation.now + 0.5)
        assert simulation.find_outcome(token) is ClaimOutcome.GRANTED
        assert simulation.event_counts[events.SHARD_UNSETTLED] == 1
        assert simulation.store.counts.writes == 1

    def test_a_claim_is_unavailable_at_once_while_the_store_is_down(self) -> None:
        simulation = build_simulation()
        simulation.store.faults = Faults(down=True)
        token = simulation.send(simulation.make_key(b"k"), FIRST)
        simulation.run(simulation.now + 0.1)
        assert simulation.find_outcome(token) is ClaimOutcome.UNAVAILABLE
        simulation.store.faults = Faults()
        simulation.run(simulation.now + 1)
        assert claim(simulation, b"k", SECOND) is ClaimOutcome.GRANTED

    def test_the_owner_never_reports_a_key_sent_before_an_outage_as_not_run(self) -> None:
        simulation = build_simulation()
        simulation.conditions.cancelled_call_rate = 0.0
        assert claim(simulation, b"warm", FIRST) is ClaimOutcome.GRANTED
        owner = find_owner(simulation)
        requester, other = (address for address in ADDRESSES if address != owner)
        assert claim(simulation, b"k", requester) is ClaimOutcome.GRANTED
        simulation.store.faults = Faults(down=True)
        for digest in (b"x", b"x", b"y"):
            assert claim(simulation, digest, other) is ClaimOutcome.UNAVAILABLE
            assert claim(simulation, b"k", other, age_s=9) in EARLIER_ATTEMPT_OUTCOMES

    def test_the_sending_daemon_never_reports_its_key_as_not_run_when_the_owner_was_killed(
        self,
    ) -> None:
        simulation = build_simulation()
        simulation.conditions.cancelled_call_rate = 0.0
        assert claim(simulation, b"warm", FIRST) is ClaimOutcome.GRANTED
        owner = find_owner(simulation)
        requester, other = (address for address in ADDRESSES if address != owner)
        assert claim(simulation, b"k", requester) is ClaimOutcome.GRANTED
        simulation.store.faults = Faults(down=True)
        simulation.restart(owner)
        assert claim(simulation, b"k", requester, age_s=9) is ClaimOutcome.UNKNOWN
        assert claim(simulation, b"k", other, age_s=9) is ClaimOutcome.UNAVAILABLE

    def test_an_earlier_attempt_found_in_a_stale_table_never_grants(self) -> None:
        simulation = build_simulation()
        key, wall_time = simulation.make_key(b"k"), WALL_OFFSET_S + simulation.now
        recorded = table.Claim(key.digest, 7, key.created_at, int(wall_time), STATUS_PENDING)
        stale_table = table.ShardTable(table.EMPTY_HEAD, NO_REVISION, {})
        stale_table.record(recorded)
        assert find_earlier_attempt(stale_table, ClaimRequest(7, key, 0, FIRST), wall_time) is None
        other = find_earlier_attempt(stale_table, ClaimRequest(8, key, 0, FIRST), wall_time)
        assert other is not None and other.outcome is ClaimOutcome.IN_PROGRESS


class TestConcurrentOwners:
    def test_a_paused_owner_that_resumes_grants_no_key_that_another_owner_granted(self) -> None:
        simulation = build_simulation()
        assert claim(simulation, b"first", FIRST) is ClaimOutcome.GRANTED
        owner = find_owner(simulation)
        others = [address for address in ADDRESSES if address != owner]
        simulation.set_members(owner, [owner])
        paused_token = simulation.send(simulation.make_key(b"k"), owner, timeout_s=60)
        simulation.pause(owner, 30)
        for address in others:
            simulation.set_members(address, others)
        assert claim(simulation, b"k", others[0]) is ClaimOutcome.GRANTED
        simulation.run(simulation.now + 60)
        assert simulation.event_counts[events.SHARD_CONFLICT] >= 1
        assert simulation.find_outcome(paused_token) is not ClaimOutcome.GRANTED
        assert simulation.runs[simulation.make_key(b"k").digest] <= 1

    def test_daemons_that_see_only_themselves_grant_a_key_once(self) -> None:
        simulation = build_simulation()
        for address in ADDRESSES:
            simulation.set_members(address, [address])
        tokens = [simulation.send(simulation.make_key(b"k"), address) for address in ADDRESSES]
        simulation.run(simulation.now + 3)
        outcomes = [simulation.find_outcome(token) for token in tokens]
        assert outcomes.count(ClaimOutcome.GRANTED) == 1


class TestRestoredStore:
    def test_keys_from_before_a_restored_backup_are_refused_and_later_keys_are_granted(
        self,
    ) -> None:
        simulation = build_simulation()
        backup = simulation.store.save()
        assert claim(simulation, b"k", FIRST) is ClaimOutcome.GRANTED
        simulation.store.restore(backup)
        simulation.restart(find_owner(simulation))
        assert claim(simulation, b"k", SECOND, age_s=10) is ClaimOutcome.EXPIRED
        assert simulation.event_counts[events.SHARD_ROLLED_BACK] >= 1
        simulation.restart(find_owner(simulation))
        assert claim(simulation, b"k", THIRD, age_s=20) is ClaimOutcome.EXPIRED
        simulation.run(simulation.now + 2 * MAX_CLOCK_SKEW_S)
        assert claim(simulation, b"new", THIRD) is ClaimOutcome.GRANTED

    def test_a_new_owner_learns_of_the_restored_backup_from_the_requester(self) -> None:
        simulation = build_simulation()
        backup = simulation.store.save()
        # Each claim makes an owner load the shard, so that `find_owner` can find it.
        requester = next(
            address
            for address in ADDRESSES
            if claim(simulation, b"x", address) and address != find_owner(simulation)
        )
        assert claim(simulation, b"k", requester) is ClaimOutcome.GRANTED
        simulation.store.restore(backup)
        simulation.restart(find_owner(simulation))
        assert claim(simulation, b"k", requester, age_s=10) is not ClaimOutcome.GRANTED

    def test_a_corrupt_shard_grants_nothing(self) -> None:
        simulation = build_simulation()
        simulation.store.put("claims/00", b"\xc1", None, None, simulation.now)
        assert claim(simulation, b"k", FIRST) is ClaimOutcome.UNAVAILABLE
        assert simulation.event_counts[events.SHARD_CORRUPT] == 1


class TestKeyLifetime:
    def test_an_expired_or_future_key_is_refused_without_a_store_call(self) -> None:
        simulation = build_simulation()
        assert claim(simulation, b"k", FIRST, age_s=KEY_LIFETIME_S + 1) is ClaimOutcome.EXPIRED
        assert claim(simulation, b"k", FIRST, age_s=-MAX_CLOCK_SKEW_S - 1) is ClaimOutcome.EXPIRED
        assert simulation.store.counts.reads == simulation.store.counts.writes == 0

    def test_a_key_without_a_timestamp_is_refused(self) -> None:
        for text in ("order-17", "", "6f1c1b0e-52a5-4d1c-8f53-0b1f9c1f2f10"):
            with pytest.raises(InvalidKey, match="version 7"):
                parse_key(text, "POST /orders")

    def test_expired_claims_are_deleted_from_the_store_and_their_keys_stay_refused(self) -> None:
        simulation = build_simulation()
        for number in range(300):
            simulation.send(simulation.make_key(number.to_bytes(2, "big")), ADDRESSES[number % 3])
        simulation.run(simulation.now + KEY_LIFETIME_S + 2 * MAX_CLOCK_SKEW_S)
        for number in range(2):
            assert claim(simulation, b"new" + bytes([number]), FIRST) is ClaimOutcome.GRANTED
        entries = simulation.store.list("claims/", simulation.now).entries
        assert sum(len(entry.value or b"") for entry in entries) < 500
        age_s = KEY_LIFETIME_S - 1
        watermark_age_s = (
            simulation.make_key(b"x").created_at - table.decode_head(entries[0].value).low_watermark
        )
        assert watermark_age_s > age_s


class TestSealing:
    def test_a_new_owner_recognises_sealed_claims(self) -> None:
        simulation = build_simulation()
        digests = [number.to_bytes(2, "big") for number in range(600)]
        for digest in digests:
            simulation.send(simulation.make_key(digest), FIRST)
            simulation.run(simulation.now + 0.01)
        simulation.run(simulation.now + 10)
        entries = simulation.store.list("claims/00", simulation.now).entries
        assert len(entries) == 2, "replaced segments are deleted"
        assert max(len(entry.value or b"") for entry in entries) < MAX_VALUE_BYTES / 50
        for address in ADDRESSES:
            simulation.restart(address)
        tokens = [
            simulation.send(simulation.make_key(digest, age_s=20), SECOND) for digest in digests
        ]
        simulation.run(simulation.now + 10)
        assert max(simulation.runs.values()) == 1
        assert all(simulation.find_outcome(token) is not None for token in tokens)

    def test_keys_in_a_missing_segment_are_refused(self) -> None:
        simulation = build_simulation()
        for number in range(600):
            simulation.send(simulation.make_key(number.to_bytes(2, "big")), FIRST)
        simulation.run(simulation.now + 10)
        for entry in simulation.store.list("claims/00/", simulation.now).entries:
            simulation.store.delete(entry.key, None, simulation.now)
        for address in ADDRESSES:
            simulation.restart(address)
        assert claim(simulation, b"\0\0", SECOND, age_s=10) is not ClaimOutcome.GRANTED
        assert simulation.event_counts[events.SEGMENT_MISSING] == 1


class TestRegions:
    def build_simulation(self) -> tuple[ClaimsSimulation, dict[RegionId, list[Address]]]:
        regions: dict[RegionId, list[Address]] = {
            RegionId(f"region-{number}"): [] for number in range(3)
        }
        for number, members in enumerate(regions.values()):
            members += [Address(f"10.{number}.0.{host}:7000") for host in range(5)]
        regions_by_address = {
            address: region for region, members in regions.items() for address in members
        }
        return ClaimsSimulation(1, regions_by_address, regions=regions_by_address), regions

    def test_one_daemon_across_all_regions_serves_a_shard(self) -> None:
        simulation, _ = self.build_simulation()
        tokens = [
            simulation.send(simulation.make_key(bytes([number])), address)
            for number, address in enumerate(simulation.daemons)
        ]
        simulation.run(3)
        owners = [
            address for address, daemon in simulation.daemons.items() if daemon.node.loaded_shards
        ]
        assert len(owners) == 1
        assert all(simulation.find_outcome(token) is ClaimOutcome.GRANTED for token in tokens)
        assert simulation.event_counts[events.SHARD_CONFLICT] == 0

    def test_partitioned_regions_grant_a_key_once(self) -> None:
        simulation, regions = self.build_simulation()
        for members in regions.values():
            for address in members:
                simulation.set_members(address, members)
        tokens = [
            simulation.send(simulation.make_key(b"k"), address) for address in simulation.daemons
        ]
        simulation.run(3)
        outcomes = [simulation.find_outcome(token) for token in tokens]
        assert outcomes.count(ClaimOutcome.GRANTED) == 1
        assert sum(bool(daemon.node.loaded_shards) for daemon in simulation.daemons.values()) == 3

    def test_the_candidates_do_not_depend_on_earlier_membership_changes(self) -> None:
        rng = random.Random(1)
        region, other = RegionId("vest"), RegionId("great-lakes")
        peers = [
            Peer(Address(f"10.0.0.{number}:7"), rng.choice((region, other))) for number in range(40)
        ]
        local_peer = Peer(Address("10.0.1.1:7"), region)
        placement, members = Placement(local_peer), {local_peer}
        for _ in range(400):
            peer = rng.choice(peers)
            is_joining = peer not in members
            placement.update([peer] if is_joining else [], [] if is_joining else [peer])
            members ^= {peer}
            shard = ShardId(rng.randrange(SHARD_COUNT))
            expected = Placement(local_peer)
            expected.update(members, [])
            for rank in range(3):
                assert placement.find_next_hop(shard, rank) == expected.find_next_hop(shard, rank)


class TestWriteLimit:
    def test_a_shard_stays_within_its_write_rate_under_load(self) -> None:
        simulation = build_simulation()
        tokens = [
            simulation.send(simulation.make_key(number.to_bytes(2, "big")), FIRST, 5)
            for number in range(2000)
        ]
        simulation.run(simulation.now + 4)
        assert all(simulation.find_outcome(token) is ClaimOutcome.GRANTED for token in tokens)
        # A burst of 4 writes, and 6.25 writes per second for 4 seconds.
        assert simulation.store.counts.writes <= 4 + 6.25 * 4 + 1
