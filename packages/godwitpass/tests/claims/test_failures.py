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
from godwitpass_testkit.experiments.claims_world import WALL_OFFSET_S, World
from godwitpass_testkit.store import Faults

FIRST, SECOND, THIRD = (Address(f"10.0.{zone}.1:7000") for zone in range(3))
ADDRESSES = (FIRST, SECOND, THIRD)
NO_REVISION = Revision(0)
EARLIER_ATTEMPT_OUTCOMES = (ClaimOutcome.RAN, ClaimOutcome.IN_PROGRESS, ClaimOutcome.UNKNOWN)


def build_world(seed: int = 1) -> World:
    world = World(seed, ADDRESSES)
    world.run(1)
    return world


def claim(world: World, digest: bytes, address: Address, age_s: float = 0.0) -> ClaimOutcome | None:
    token = world.send(world.wall_key(digest, age_s), address)
    world.run(world.now + 3)
    return world.outcome(token)


def find_owner(world: World) -> Address:
    (owner,) = (address for address in ADDRESSES if world.machines[address].node.loaded_shards)
    return owner


class TestRetry:
    def test_another_daemon_recognises_a_retry_after_all_daemons_were_killed(self) -> None:
        world = build_world()
        assert claim(world, b"k", FIRST) is ClaimOutcome.GRANTED
        for address in ADDRESSES:
            world.kill(address)
        assert claim(world, b"k", SECOND) in (ClaimOutcome.RAN, ClaimOutcome.IN_PROGRESS)

    def test_a_retry_is_answered_with_the_status_of_the_call_that_ran(self) -> None:
        world = build_world()
        world.runs_calls = False
        first_token = world.send(world.wall_key(b"k"), FIRST)
        world.run(world.now + 1)
        world.deliver(FIRST, Complete(first_token, 409))
        world.run(world.now + 3)
        second_token = world.send(world.wall_key(b"k", age=4), THIRD)
        world.run(world.now + 1)
        answer = world.sendings[second_token]
        assert (answer.outcome, answer.status) == (ClaimOutcome.RAN, 409)

    def test_a_claim_whose_daemon_was_killed_before_the_call_stays_unknown(self) -> None:
        world = build_world()
        key = world.wall_key(b"k")
        token = world.send(key, FIRST)
        while world.outcome(token) is None:
            world.run(world.now + 0.001)
        world.kill(FIRST)
        assert claim(world, b"k", SECOND) is ClaimOutcome.IN_PROGRESS
        world.run(world.now + 60)
        assert claim(world, b"k", SECOND, age_s=70) is ClaimOutcome.UNKNOWN
        assert world.runs[key.digest] == 0

    def test_a_call_that_was_not_sent_can_be_claimed_again(self) -> None:
        world = build_world()
        world.runs_calls = False
        first_token = world.send(world.wall_key(b"k"), FIRST)
        world.run(world.now + 1)
        world.deliver(FIRST, Cancel(first_token))
        world.run(world.now + 3)
        assert world.outcome(first_token) is ClaimOutcome.GRANTED
        assert claim(world, b"k", SECOND, age_s=4) is ClaimOutcome.GRANTED


class TestStoreOutage:
    def test_a_lost_write_answer_is_resolved_by_reading_back_without_a_second_write(self) -> None:
        world = build_world()
        world.store.faults = Faults(lost_answers=1)
        token = world.send(world.wall_key(b"k"), FIRST)
        world.run(world.now + 0.5)
        assert world.outcome(token) is ClaimOutcome.GRANTED
        assert world.reports[events.SHARD_UNSETTLED] == 1
        assert world.store.counts.writes == 1

    def test_a_claim_is_unavailable_at_once_while_the_store_is_down(self) -> None:
        world = build_world()
        world.store.faults = Faults(down=True)
        token = world.send(world.wall_key(b"k"), FIRST)
        world.run(world.now + 0.1)
        assert world.outcome(token) is ClaimOutcome.UNAVAILABLE
        world.store.faults = Faults()
        world.run(world.now + 1)
        assert claim(world, b"k", SECOND) is ClaimOutcome.GRANTED

    def test_the_owner_never_reports_a_key_sent_before_an_outage_as_not_run(self) -> None:
        world = build_world()
        world.weather.cancelled_calls = 0.0
        assert claim(world, b"warm", FIRST) is ClaimOutcome.GRANTED
        owner = find_owner(world)
        requester, other = (address for address in ADDRESSES if address != owner)
        assert claim(world, b"k", requester) is ClaimOutcome.GRANTED
        world.store.faults = Faults(down=True)
        for digest in (b"x", b"x", b"y"):
            assert claim(world, digest, other) is ClaimOutcome.UNAVAILABLE
            assert claim(world, b"k", other, age_s=9) in EARLIER_ATTEMPT_OUTCOMES

    def test_the_sending_daemon_never_reports_its_key_as_not_run_when_the_owner_was_killed(
        self,
    ) -> None:
        world = build_world()
        world.weather.cancelled_calls = 0.0
        assert claim(world, b"warm", FIRST) is ClaimOutcome.GRANTED
        owner = find_owner(world)
        requester, other = (address for address in ADDRESSES if address != owner)
        assert claim(world, b"k", requester) is ClaimOutcome.GRANTED
        world.store.faults = Faults(down=True)
        world.kill(owner)
        assert claim(world, b"k", requester, age_s=9) is ClaimOutcome.UNKNOWN
        assert claim(world, b"k", other, age_s=9) is ClaimOutcome.UNAVAILABLE

    def test_an_earlier_attempt_found_in_a_stale_table_never_grants(self) -> None:
        world = build_world()
        key, wall_time = world.wall_key(b"k"), WALL_OFFSET_S + world.now
        recorded = table.Claim(key.digest, 7, key.created_at, int(wall_time), STATUS_PENDING)
        stale_table = table.ShardTable(table.EMPTY_HEAD, NO_REVISION, {})
        stale_table.record(recorded)
        assert find_earlier_attempt(stale_table, ClaimRequest(7, key, 0, FIRST), wall_time) is None
        other = find_earlier_attempt(stale_table, ClaimRequest(8, key, 0, FIRST), wall_time)
        assert other is not None and other.outcome is ClaimOutcome.IN_PROGRESS


class TestConcurrentOwners:
    def test_a_paused_owner_that_resumes_grants_no_key_that_another_owner_granted(self) -> None:
        world = build_world()
        assert claim(world, b"first", FIRST) is ClaimOutcome.GRANTED
        owner = find_owner(world)
        others = [address for address in ADDRESSES if address != owner]
        world.show_members(owner, [owner])
        paused_token = world.send(world.wall_key(b"k"), owner, patience=60)
        world.pause(owner, 30)
        for address in others:
            world.show_members(address, others)
        assert claim(world, b"k", others[0]) is ClaimOutcome.GRANTED
        world.run(world.now + 60)
        assert world.reports[events.SHARD_CONFLICT] >= 1
        assert world.outcome(paused_token) is not ClaimOutcome.GRANTED
        assert world.runs[world.wall_key(b"k").digest] <= 1

    def test_daemons_that_see_only_themselves_grant_a_key_once(self) -> None:
        world = build_world()
        for address in ADDRESSES:
            world.show_members(address, [address])
        tokens = [world.send(world.wall_key(b"k"), address) for address in ADDRESSES]
        world.run(world.now + 3)
        outcomes = [world.outcome(token) for token in tokens]
        assert outcomes.count(ClaimOutcome.GRANTED) == 1


class TestRestoredStore:
    def test_keys_from_before_a_restored_backup_are_refused_and_later_keys_are_granted(
        self,
    ) -> None:
        world = build_world()
        backup = world.store.save()
        assert claim(world, b"k", FIRST) is ClaimOutcome.GRANTED
        world.store.restore(backup)
        world.kill(find_owner(world))
        assert claim(world, b"k", SECOND, age_s=10) is ClaimOutcome.EXPIRED
        assert world.reports[events.SHARD_ROLLED_BACK] >= 1
        world.kill(find_owner(world))
        assert claim(world, b"k", THIRD, age_s=20) is ClaimOutcome.EXPIRED
        world.run(world.now + 2 * MAX_CLOCK_SKEW_S)
        assert claim(world, b"new", THIRD) is ClaimOutcome.GRANTED

    def test_a_new_owner_learns_of_the_restored_backup_from_the_requester(self) -> None:
        world = build_world()
        backup = world.store.save()
        # Each claim makes an owner load the shard, so that `find_owner` can find it.
        requester = next(
            address
            for address in ADDRESSES
            if claim(world, b"x", address) and address != find_owner(world)
        )
        assert claim(world, b"k", requester) is ClaimOutcome.GRANTED
        world.store.restore(backup)
        world.kill(find_owner(world))
        assert claim(world, b"k", requester, age_s=10) is not ClaimOutcome.GRANTED

    def test_a_corrupt_shard_grants_nothing(self) -> None:
        world = build_world()
        world.store.put("claims/00", b"\xc1", None, None, world.now)
        assert claim(world, b"k", FIRST) is ClaimOutcome.UNAVAILABLE
        assert world.reports[events.SHARD_CORRUPT] == 1


class TestKeyLifetime:
    def test_an_expired_or_future_key_is_refused_without_a_store_call(self) -> None:
        world = build_world()
        assert claim(world, b"k", FIRST, age_s=KEY_LIFETIME_S + 1) is ClaimOutcome.EXPIRED
        assert claim(world, b"k", FIRST, age_s=-MAX_CLOCK_SKEW_S - 1) is ClaimOutcome.EXPIRED
        assert world.store.counts.reads == world.store.counts.writes == 0

    def test_a_key_without_a_timestamp_is_refused(self) -> None:
        for text in ("order-17", "", "6f1c1b0e-52a5-4d1c-8f53-0b1f9c1f2f10"):
            with pytest.raises(InvalidKey, match="version 7"):
                parse_key(text, "POST /orders")

    def test_expired_claims_are_deleted_from_the_store_and_their_keys_stay_refused(self) -> None:
        world = build_world()
        for number in range(300):
            world.send(world.wall_key(number.to_bytes(2, "big")), ADDRESSES[number % 3])
        world.run(world.now + KEY_LIFETIME_S + 2 * MAX_CLOCK_SKEW_S)
        for number in range(2):
            assert claim(world, b"new" + bytes([number]), FIRST) is ClaimOutcome.GRANTED
        entries = world.store.list("claims/", world.now).entries
        assert sum(len(entry.value or b"") for entry in entries) < 500
        age_s = KEY_LIFETIME_S - 1
        watermark_age_s = (
            world.wall_key(b"x").created_at - table.decode_head(entries[0].value).low_watermark
        )
        assert watermark_age_s > age_s


class TestSealing:
    def test_a_new_owner_recognises_sealed_claims(self) -> None:
        world = build_world()
        digests = [number.to_bytes(2, "big") for number in range(600)]
        for digest in digests:
            world.send(world.wall_key(digest), FIRST)
            world.run(world.now + 0.01)
        world.run(world.now + 10)
        entries = world.store.list("claims/00", world.now).entries
        assert len(entries) == 2, "replaced segments are deleted"
        assert max(len(entry.value or b"") for entry in entries) < MAX_VALUE_BYTES / 50
        for address in ADDRESSES:
            world.kill(address)
        tokens = [world.send(world.wall_key(digest, age=20), SECOND) for digest in digests]
        world.run(world.now + 10)
        assert max(world.runs.values()) == 1
        assert all(world.outcome(token) is not None for token in tokens)

    def test_keys_in_a_missing_segment_are_refused(self) -> None:
        world = build_world()
        for number in range(600):
            world.send(world.wall_key(number.to_bytes(2, "big")), FIRST)
        world.run(world.now + 10)
        for entry in world.store.list("claims/00/", world.now).entries:
            world.store.delete(entry.key, None, world.now)
        for address in ADDRESSES:
            world.kill(address)
        assert claim(world, b"\0\0", SECOND, age_s=10) is not ClaimOutcome.GRANTED
        assert world.reports[events.SEGMENT_MISSING] == 1


class TestRegions:
    def build_world(self) -> tuple[World, dict[RegionId, list[Address]]]:
        regions: dict[RegionId, list[Address]] = {
            RegionId(f"region-{number}"): [] for number in range(3)
        }
        for number, members in enumerate(regions.values()):
            members += [Address(f"10.{number}.0.{host}:7000") for host in range(5)]
        regions_by_address = {
            address: region for region, members in regions.items() for address in members
        }
        return World(1, regions_by_address, regions=regions_by_address), regions

    def test_one_daemon_across_all_regions_serves_a_shard(self) -> None:
        world, _ = self.build_world()
        tokens = [
            world.send(world.wall_key(bytes([number])), address)
            for number, address in enumerate(world.machines)
        ]
        world.run(3)
        owners = [
            address for address, machine in world.machines.items() if machine.node.loaded_shards
        ]
        assert len(owners) == 1
        assert all(world.outcome(token) is ClaimOutcome.GRANTED for token in tokens)
        assert world.reports[events.SHARD_CONFLICT] == 0

    def test_partitioned_regions_grant_a_key_once(self) -> None:
        world, regions = self.build_world()
        for members in regions.values():
            for address in members:
                world.show_members(address, members)
        tokens = [world.send(world.wall_key(b"k"), address) for address in world.machines]
        world.run(3)
        outcomes = [world.outcome(token) for token in tokens]
        assert outcomes.count(ClaimOutcome.GRANTED) == 1
        assert sum(bool(machine.node.loaded_shards) for machine in world.machines.values()) == 3

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
        world = build_world()
        tokens = [
            world.send(world.wall_key(number.to_bytes(2, "big")), FIRST, 5)
            for number in range(2000)
        ]
        world.run(world.now + 4)
        assert all(world.outcome(token) is ClaimOutcome.GRANTED for token in tokens)
        # A burst of 4 writes, and 6.25 writes per second for 4 seconds.
        assert world.store.counts.writes <= 4 + 6.25 * 4 + 1
