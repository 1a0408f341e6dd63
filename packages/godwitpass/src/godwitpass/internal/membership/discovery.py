"""Discovery of a first daemon through seed records in the store, one per availability zone."""

import heapq
from collections.abc import Iterable

import msgspec

from godwitpass.ids import NO_REVISION, Address
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.addresses import is_connectable
from godwitpass.internal.membership.events import SEEDS_UNAVAILABLE, SEEDS_UNREADABLE
from godwitpass.internal.membership.messages import ANY_MEMBER, Message, SeedRecord
from godwitpass.internal.membership.state import SharedState
from godwitpass.internal.requests import Answer, EntriesRead, List, Put, RequestFailed
from godwitpass.store import Entry

SEEDS_PREFIX = "seeds/"
MAX_PINGED_PER_ZONE = 3
MAX_PINGED_AGAIN = 8
PING_RETRY_DELAYS_S = (0.4, 1.0, 2.0, 4.0, 8.0)
"""Times after the start at which addresses that haven't answered are pinged again.

When all daemons restart, the first pings reach nobody. Without retries, the daemons that find each
other early would stay a separate group, since a daemon that knows another one stops reading the
seed records.
"""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SeedRecord)

Action = Send[Message] | RecordEvent | List | Put


class Discovery:
    """Finds a first daemon of the region, and keeps the seed records up to date.

    A daemon reads the records until it knows another one. Afterwards a few daemons of each zone
    check the record of their zone and replace addresses of daemons that are gone.
    """

    def __init__(self, state: SharedState) -> None:
        self._state = state
        self._zone = state.identity.zone
        self._next_read_at = 0.0
        self._retry_delay_s = state.tuning.join_retry_s
        self._read_attempts = 0
        self._next_maintenance_at = 0.0
        self._request_tag = 0
        self._has_joined = False
        self._is_store_failing = False
        self._unconfirmed: set[Address] = set()
        self._seeds: tuple[Address, ...] = ()
        self._recorded_addresses: dict[Address, None] = {}
        self._ping_retry_times: list[float] = []

    def start(self, now: float, seeds: tuple[Address, ...] = ()) -> list[Action]:
        """Ping `seeds` and schedule the first read of the records.

        A random delay spreads the reads of daemons that start at the same time.
        """
        self._seeds = seeds
        self._ping_retry_times = [now + delay_s for delay_s in PING_RETRY_DELAYS_S]
        self._next_read_at = now + self._state.rng.uniform(0, self._state.tuning.join_jitter_s)
        self._schedule_maintenance(now)
        return self._ping(seeds)

    def next_due_at(self) -> float:
        """Return when to call `tick` next."""
        next_regular_at = self._next_maintenance_at if self._has_joined else self._next_read_at
        return min([next_regular_at, *self._ping_retry_times[:1]])

    def tick(self, now: float, has_joined: bool) -> list[Action]:
        """Do what is due: ping again, and read or maintain the seed records."""
        if self._has_joined and not has_joined:
            self._restart_reads(now)
        self._has_joined = has_joined
        actions = self._ping_unanswered(now)
        return actions + (self._maintain_seeds(now) if has_joined else self._read_seed_records(now))

    def _read_seed_records(self, now: float) -> list[Action]:
        if now < self._next_read_at:
            return []
        delay_s = self._retry_delay_s * self._state.rng.uniform(0.5, 1.5)
        self._retry_delay_s = min(2 * self._retry_delay_s, self._state.tuning.max_join_retry_s)
        self._next_read_at = now + delay_s
        self._read_attempts += 1
        self._request_tag += 1
        return [*self._ping(self._seeds), List(self._request_tag, SEEDS_PREFIX)]

    def _ping_unanswered(self, now: float) -> list[Action]:
        if not self._ping_retry_times or now < self._ping_retry_times[0]:
            return []
        while self._ping_retry_times and now >= self._ping_retry_times[0]:
            self._ping_retry_times.pop(0)
        unknown = self._find_unknown([*self._seeds, *self._recorded_addresses])
        return self._ping(unknown, MAX_PINGED_AGAIN)

    def handle(self, answer: Answer, now: float) -> list[Action]:
        """Handle an answer of the store."""
        if isinstance(answer, RequestFailed):
            return self._report_failure()
        self._is_store_failing = False
        if answer.tag != self._request_tag:
            return []
        if isinstance(answer, EntriesRead):
            return self._handle_seed_records(answer.result.entries, now)
        return []

    def _restart_reads(self, now: float) -> None:
        self._read_attempts = 0
        self._retry_delay_s = self._state.tuning.join_retry_s
        self._next_read_at = now + self._state.rng.uniform(0, self._state.tuning.join_jitter_s)

    def _report_failure(self) -> list[Action]:
        if self._is_store_failing:
            return []
        self._is_store_failing = True
        return [RecordEvent(SEEDS_UNAVAILABLE)]

    def _add_own_address(self, seed_entry: Entry, record: SeedRecord) -> list[Action]:
        own = self._state.identity.address
        if own in record.addresses:
            return []
        if len(record.addresses) < self._state.tuning.seeds_per_zone:
            return [self._build_put(seed_entry, (*record.addresses, own))]
        return []

    def _handle_seed_records(self, entries: tuple[Entry, ...], now: float) -> list[Action]:
        actions: list[Action] = []
        own_entry = Entry(SEEDS_PREFIX + self._zone, None, NO_REVISION)
        for seed_entry in entries:
            record, reports = self._decode(seed_entry)
            actions += reports
            if seed_entry.key == own_entry.key:
                own_entry = seed_entry
            elif record.region != self._state.identity.region:
                actions += self._ping_remote_region(record)
            else:
                self._recorded_addresses.update(dict.fromkeys(record.addresses))
                actions += self._ping(self._find_unknown(record.addresses))
        record, _ = self._decode(own_entry)
        self._recorded_addresses.update(dict.fromkeys(record.addresses))
        # The first read replaces no address yet, since the recorded daemons weren't pinged before.
        if self._read_attempts == 1 and not self._has_joined:
            pings = self._ping(record.addresses)
            if not pings:
                # The record names no other daemon of the own zone, so no answer will come.
                self._next_read_at = min(
                    self._next_read_at, now + self._state.tuning.join_retry_s / 2
                )
            return [*actions, *pings, *self._add_own_address(own_entry, record)]
        return actions + self._repair_seed_record(own_entry, record)

    def _repair_seed_record(self, seed_entry: Entry, record: SeedRecord) -> list[Action]:
        """Replace the addresses in the record of the own zone that no live member uses.

        An address that is unknown to this daemon is pinged, and replaced if it is still unknown at
        the next check.
        """
        unknown = self._find_unknown(record.addresses)
        actions = self._ping(unknown)
        if not self._has_joined:
            return actions + self._replace_random_with_own(seed_entry, record)
        previously_unconfirmed, self._unconfirmed = self._unconfirmed, set(unknown)
        kept = [
            address
            for address in record.addresses
            if address not in previously_unconfirmed and self._may_be_alive(address)
        ]
        chosen = tuple(self._fill_with_members(kept))
        if chosen != record.addresses:
            actions.append(self._build_put(seed_entry, chosen))
        return actions

    def _replace_random_with_own(self, seed_entry: Entry, record: SeedRecord) -> list[Action]:
        """Add the own address, in place of a random one if the record is full, as none answered."""
        own, addresses = self._state.identity.address, list(record.addresses)
        if own in addresses:
            return []
        if len(addresses) >= self._state.tuning.seeds_per_zone:
            addresses.pop(self._state.rng.randrange(len(addresses)))
        return [self._build_put(seed_entry, (*addresses, own))]

    def _fill_with_members(self, addresses: list[Address]) -> list[Address]:
        """Add live members of the zone to `addresses`, up to the size of a record."""
        missing = self._state.tuning.seeds_per_zone - len(addresses)
        present = set(addresses)
        candidates = (
            record
            for record in self._state.table.live_records()
            if record.metadata.zone == self._zone and record.metadata.address not in present
        )
        added = heapq.nsmallest(max(missing, 0), candidates, key=lambda record: record.key)
        return (addresses + [record.metadata.address for record in added])[
            : self._state.tuning.seeds_per_zone
        ]

    def _maintain_seeds(self, now: float) -> list[Action]:
        if now < self._next_maintenance_at:
            return []
        self._schedule_maintenance(now)
        if not self._is_seed_maintainer():
            return []
        self._request_tag += 1
        return [List(self._request_tag, SEEDS_PREFIX)]

    def _is_seed_maintainer(self) -> bool:
        keys = (
            record.key
            for record in self._state.table.live_records()
            if record.metadata.zone == self._zone
        )
        return self._state.own_record.key in heapq.nsmallest(
            self._state.tuning.seed_maintainers_per_zone, keys
        )

    def _schedule_maintenance(self, now: float) -> None:
        interval_s = self._state.tuning.seed_check_interval_s
        self._next_maintenance_at = now + interval_s * self._state.rng.uniform(0.75, 1.25)

    def _ping(
        self, addresses: Iterable[Address], max_count: int = MAX_PINGED_PER_ZONE
    ) -> list[Action]:
        state, own = self._state, self._state.identity.address
        others = [address for address in addresses if address != own]
        chosen = state.rng.sample(others, min(max_count, len(others)))
        return [state.build_ping(address, ANY_MEMBER, state.draw_nonce()) for address in chosen]

    def _ping_remote_region(self, record: SeedRecord) -> list[Action]:
        """Ping a remote region that is unreachable or of which no daemon is known."""
        regions, rng = self._state.regions, self._state.rng
        is_contact_known = regions.contacts(record.region) and regions.is_reachable(record.region)
        if is_contact_known or not record.addresses:
            return []
        return [self._state.build_region_ping(rng.choice(record.addresses))]

    def _find_unknown(self, addresses: Iterable[Address]) -> list[Address]:
        own = self._state.identity.address
        find = self._state.table.find_by_address
        return [address for address in addresses if address != own and find(address) is None]

    def _may_be_alive(self, address: Address) -> bool:
        record = self._state.table.find_by_address(address)
        return record is None or (not record.is_gone and record.metadata.zone == self._zone)

    def _decode(self, seed_entry: Entry) -> tuple[SeedRecord, list[Action]]:
        empty = SeedRecord(self._state.identity.region)
        if seed_entry.value is None:
            return empty, []
        report = RecordEvent(SEEDS_UNREADABLE, {"key": seed_entry.key})
        try:
            record = _decoder.decode(seed_entry.value)
        except (msgspec.MsgspecError, RecursionError):
            return empty, [report]
        usable = tuple(address for address in record.addresses if is_connectable(address))
        if usable == record.addresses:
            return record, []
        return msgspec.structs.replace(record, addresses=usable), [report]

    def _build_put(self, seed_entry: Entry, addresses: tuple[Address, ...]) -> Put:
        self._request_tag += 1
        value = _encoder.encode(SeedRecord(self._state.identity.region, addresses))
        return Put(self._request_tag, SEEDS_PREFIX + self._zone, value, seed_entry.revision)
