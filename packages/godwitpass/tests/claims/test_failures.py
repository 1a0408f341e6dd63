import random

import pytest

from godwitpass.ids import Address, RegionId, Revision
from godwitpass.internal.claims import events, table
from godwitpass.internal.claims.decisions import recall
from godwitpass.internal.claims.keys import (
    KEY_LIFETIME_S,
    MAX_SKEW_S,
    SHARDS,
    InvalidKey,
    ShardId,
    parse_key,
)
from godwitpass.internal.claims.messages import ClaimOutcome, ClaimRequest
from godwitpass.internal.claims.node import Cancel, Complete
from godwitpass.internal.claims.placement import Peer, Placement
from godwitpass.store import MAX_VALUE_BYTES
from godwitpass_testkit.experiments.claims_world import WALL_OFFSET_S, World
from godwitpass_testkit.store import Faults

FIRST, SECOND, THIRD = (Address(f"10.0.{zone}.1:7000") for zone in range(3))
ADDRESSES = (FIRST, SECOND, THIRD)
NO_REVISION = Revision(0)
SENT_BEFORE = (ClaimOutcome.RAN, ClaimOutcome.IN_PROGRESS, ClaimOutcome.UNKNOWN)


def build_world(seed: int = 1) -> World:
    world = World(seed, ADDRESSES)
    world.run(1)
    return world


def ask(world: World, digest: bytes, address: Address, age: float = 0.0) -> ClaimOutcome | None:
    token = world.send(world.wall_key(digest, age), address)
    world.run(world.now + 3)
    return world.outcome(token)


def find_holder(world: World) -> Address:
    (holder,) = (a for a in ADDRESSES if world.machines[a].node.loaded_shards)
    return holder


class TestSecondSending:
    def test_it_is_recognised_at_another_daemon_after_all_daemons_died(self) -> None:
        world = build_world()
        assert ask(world, b"k", FIRST) is ClaimOutcome.GRANTED
        for address in ADDRESSES:
            world.kill(address)
        assert ask(world, b"k", SECOND) in (ClaimOutcome.RAN, ClaimOutcome.IN_PROGRESS)

    def test_the_answer_tells_the_status_of_a_call_that_ran(self) -> None:
        world = build_world()
        world.runs_calls = False
        first = world.send(world.wall_key(b"k"), FIRST)
        world.run(world.now + 1)
        world.deliver(FIRST, Complete(first, 409))
        world.run(world.now + 3)
        second = world.send(world.wall_key(b"k", age=4), THIRD)
        world.run(world.now + 1)
        answer = world.sendings[second]
        assert (answer.outcome, answer.status) == (ClaimOutcome.RAN, 409)

    def test_a_claim_whose_daemon_died_before_the_call_is_unknown_for_good(self) -> None:
        world = build_world()
        key = world.wall_key(b"k")
        token = world.send(key, FIRST)
        while world.outcome(token) is None:
            world.run(world.now + 0.001)
        world.kill(FIRST)
        assert ask(world, b"k", SECOND) is ClaimOutcome.IN_PROGRESS
        world.run(world.now + 60)
        assert ask(world, b"k", SECOND, age=70) is ClaimOutcome.UNKNOWN
        assert world.runs[key.digest] == 0

    def test_a_call_that_was_not_sent_may_be_claimed_again(self) -> None:
        world = build_world()
        world.runs_calls = False
        first = world.send(world.wall_key(b"k"), FIRST)
        world.run(world.now + 1)
        world.deliver(FIRST, Cancel(first))
        world.run(world.now + 3)
        assert world.outcome(first) is ClaimOutcome.GRANTED
        assert ask(world, b"k", SECOND, age=4) is ClaimOutcome.GRANTED


class TestLostAnswers:
    def test_a_lost_answer_is_settled_by_reading_back_without_a_second_write(self) -> None:
        world = build_world()
        world.store.faults = Faults(lost_answers=1)
        token = world.send(world.wall_key(b"k"), FIRST)
        world.run(world.now + 0.5)
        assert world.outcome(token) is ClaimOutcome.GRANTED
        assert world.reports[events.SHARD_UNSETTLED] == 1
        assert world.store.counts.writes == 1

    def test_a_store_that_is_away_is_answered_as_not_run_at_once(self) -> None:
        world = build_world()
        world.store.faults = Faults(down=True)
        token = world.send(world.wall_key(b"k"), FIRST)
        world.run(world.now + 0.1)
        assert world.outcome(token) is ClaimOutcome.UNAVAILABLE
        world.store.faults = Faults()
        world.run(world.now + 1)
        assert ask(world, b"k", SECOND) is ClaimOutcome.GRANTED

    def test_a_key_sent_before_an_outage_is_never_called_not_run_by_its_holder(self) -> None:
        world = build_world()
        world.weather.cancelled_calls = 0.0
        assert ask(world, b"warm", FIRST) is ClaimOutcome.GRANTED
        holder = find_holder(world)
        asker, other = (address for address in ADDRESSES if address != holder)
        assert ask(world, b"k", asker) is ClaimOutcome.GRANTED
        world.store.faults = Faults(down=True)
        for digest in (b"x", b"x", b"y"):
            assert ask(world, digest, other) is ClaimOutcome.UNAVAILABLE
            assert ask(world, b"k", other, age=9) in SENT_BEFORE

    def test_nor_by_the_daemon_that_sent_it_when_the_holder_has_died(self) -> None:
        world = build_world()
        world.weather.cancelled_calls = 0.0
        assert ask(world, b"warm", FIRST) is ClaimOutcome.GRANTED
        holder = find_holder(world)
        asker, other = (address for address in ADDRESSES if address != holder)
        assert ask(world, b"k", asker) is ClaimOutcome.GRANTED
        world.store.faults = Faults(down=True)
        world.kill(holder)
        assert ask(world, b"k", asker, age=9) is ClaimOutcome.UNKNOWN
        assert ask(world, b"k", other, age=9) is ClaimOutcome.UNAVAILABLE

    def test_what_is_recalled_during_an_outage_never_grants(self) -> None:
        world = build_world()
        key, wall = world.wall_key(b"k"), WALL_OFFSET_S + world.now
        claim = table.Claim(key.digest, 7, key.time, int(wall), 0)
        known = table.ShardTable(table.EMPTY_HEAD, NO_REVISION, {})
        known.record(claim)
        assert recall(known, ClaimRequest(7, key, 0, FIRST), wall) is None
        other = recall(known, ClaimRequest(8, key, 0, FIRST), wall)
        assert other is not None and other.outcome is ClaimOutcome.IN_PROGRESS


class TestTwoHolders:
    def test_a_paused_holder_that_wakes_grants_nothing_that_another_granted(self) -> None:
        world = build_world()
        assert ask(world, b"first", FIRST) is ClaimOutcome.GRANTED
        holder = find_holder(world)
        others = [address for address in ADDRESSES if address != holder]
        world.show_members(holder, [holder])
        late = world.send(world.wall_key(b"k"), holder, patience=60)
        world.pause(holder, 30)
        for address in others:
            world.show_members(address, others)
        assert ask(world, b"k", others[0]) is ClaimOutcome.GRANTED
        world.run(world.now + 60)
        assert world.reports[events.SHARD_CONFLICT] >= 1
        assert world.outcome(late) is not ClaimOutcome.GRANTED
        assert world.runs[world.wall_key(b"k").digest] <= 1

    def test_daemons_that_each_see_only_themselves_grant_a_key_once(self) -> None:
        world = build_world()
        for address in ADDRESSES:
            world.show_members(address, [address])
        tokens = [world.send(world.wall_key(b"k"), address) for address in ADDRESSES]
        world.run(world.now + 3)
        outcomes = [world.outcome(token) for token in tokens]
        assert outcomes.count(ClaimOutcome.GRANTED) == 1


class TestStoreThatWentBack:
    def test_keys_from_before_a_restored_backup_are_refused_and_later_ones_served(self) -> None:
        world = build_world()
        backup = world.store.save()
        assert ask(world, b"k", FIRST) is ClaimOutcome.GRANTED
        world.store.restore(backup)
        world.kill(find_holder(world))
        assert ask(world, b"k", SECOND, age=10) is ClaimOutcome.EXPIRED
        assert world.reports[events.SHARD_ROLLED_BACK] >= 1
        world.kill(find_holder(world))
        assert ask(world, b"k", THIRD, age=20) is ClaimOutcome.EXPIRED
        world.run(world.now + 2 * MAX_SKEW_S)
        assert ask(world, b"new", THIRD) is ClaimOutcome.GRANTED

    def test_a_new_holder_learns_of_it_from_the_daemon_that_asks(self) -> None:
        world = build_world()
        backup = world.store.save()
        asker = next(a for a in ADDRESSES if ask(world, b"x", a) and a != find_holder(world))
        assert ask(world, b"k", asker) is ClaimOutcome.GRANTED
        world.store.restore(backup)
        world.kill(find_holder(world))
        assert ask(world, b"k", asker, age=10) is not ClaimOutcome.GRANTED

    def test_a_corrupt_shard_grants_nothing(self) -> None:
        world = build_world()
        world.store.put("claims/00", b"\xc1", None, None, world.now)
        assert ask(world, b"k", FIRST) is ClaimOutcome.UNAVAILABLE
        assert world.reports[events.SHARD_CORRUPT] == 1


class TestLifetime:
    def test_a_key_older_than_its_lifetime_is_refused_without_a_call_to_the_store(self) -> None:
        world = build_world()
        assert ask(world, b"k", FIRST, age=KEY_LIFETIME_S + 1) is ClaimOutcome.EXPIRED
        assert ask(world, b"k", FIRST, age=-MAX_SKEW_S - 1) is ClaimOutcome.EXPIRED
        assert world.store.counts.reads == world.store.counts.writes == 0

    def test_a_key_without_a_time_is_refused(self) -> None:
        for text in ("order-17", "", "6f1c1b0e-52a5-4d1c-8f53-0b1f9c1f2f10"):
            with pytest.raises(InvalidKey, match="version 7"):
                parse_key(text, "POST /orders")

    def test_old_claims_leave_the_store_and_their_keys_stay_refused(self) -> None:
        world = build_world()
        for n in range(300):
            world.send(world.wall_key(n.to_bytes(2, "big")), ADDRESSES[n % 3])
        world.run(world.now + KEY_LIFETIME_S + 2 * MAX_SKEW_S)
        for _ in range(2):
            assert ask(world, b"new" + bytes([_]), FIRST) is ClaimOutcome.GRANTED
        kept = world.store.list("claims/", world.now).entries
        assert sum(len(entry.value or b"") for entry in kept) < 500
        age = KEY_LIFETIME_S - 1
        floor_age = world.wall_key(b"x").time - table.decode_head(kept[0].value).floor
        assert floor_age > age


class TestSealing:
    def test_sealed_claims_are_recognised_by_a_new_holder(self) -> None:
        world = build_world()
        digests = [n.to_bytes(2, "big") for n in range(600)]
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

    def test_keys_of_a_missing_segment_are_refused(self) -> None:
        world = build_world()
        for n in range(600):
            world.send(world.wall_key(n.to_bytes(2, "big")), FIRST)
        world.run(world.now + 10)
        for entry in world.store.list("claims/00/", world.now).entries:
            world.store.delete(entry.key, None, world.now)
        for address in ADDRESSES:
            world.kill(address)
        assert ask(world, b"\0\0", SECOND, age=10) is not ClaimOutcome.GRANTED
        assert world.reports[events.SEGMENT_MISSING] == 1


class TestRegions:
    def build_world(self) -> tuple[World, dict[RegionId, list[Address]]]:
        regions: dict[RegionId, list[Address]] = {RegionId(f"region-{n}"): [] for n in range(3)}
        for number, members in enumerate(regions.values()):
            members += [Address(f"10.{number}.0.{host}:7000") for host in range(5)]
        homes = {a: region for region, members in regions.items() for a in members}
        return World(1, homes, regions=homes), regions

    def test_one_daemon_of_all_regions_serves_a_shard(self) -> None:
        world, _ = self.build_world()
        tokens = [
            world.send(world.wall_key(bytes([n])), address)
            for n, address in enumerate(world.machines)
        ]
        world.run(3)
        holders = [a for a, machine in world.machines.items() if machine.node.loaded_shards]
        assert len(holders) == 1
        assert all(world.outcome(token) is ClaimOutcome.GRANTED for token in tokens)
        assert world.reports[events.SHARD_CONFLICT] == 0

    def test_regions_that_lose_each_other_still_run_a_key_once(self) -> None:
        world, regions = self.build_world()
        for members in regions.values():
            for address in members:
                world.show_members(address, members)
        tokens = [world.send(world.wall_key(b"k"), address) for address in world.machines]
        world.run(3)
        outcomes = [world.outcome(token) for token in tokens]
        assert outcomes.count(ClaimOutcome.GRANTED) == 1
        assert sum(bool(m.node.loaded_shards) for m in world.machines.values()) == 3

    def test_the_holders_are_the_same_whatever_came_and_went_before(self) -> None:
        rng = random.Random(1)
        region, other = RegionId("vest"), RegionId("great-lakes")
        peers = [Peer(Address(f"10.0.0.{n}:7"), rng.choice((region, other))) for n in range(40)]
        own = Peer(Address("10.0.1.1:7"), region)
        placement, alive = Placement(own), {own}
        for _ in range(400):
            peer = rng.choice(peers)
            joins = peer not in alive
            placement.update([peer] if joins else [], [] if joins else [peer])
            alive ^= {peer}
            shard = ShardId(rng.randrange(SHARDS))
            fresh = Placement(own)
            fresh.update(alive, [])
            for rank in range(3):
                assert placement.holder(shard, rank) == fresh.holder(shard, rank)


class TestWriteBudget:
    def test_a_shard_stays_within_its_writes_whatever_is_asked(self) -> None:
        world = build_world()
        tokens = [world.send(world.wall_key(n.to_bytes(2, "big")), FIRST, 5) for n in range(2000)]
        world.run(world.now + 4)
        assert all(world.outcome(token) is ClaimOutcome.GRANTED for token in tokens)
        assert world.store.counts.writes <= 4 + 6.25 * 4 + 1
