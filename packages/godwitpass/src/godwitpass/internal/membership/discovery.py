"""First contact through a few bounded records in the store, one for each availability zone."""

import heapq
from collections.abc import Iterable

import msgspec

from godwitpass.ids import NO_REVISION, Address
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.membership.events import SEEDS_UNAVAILABLE, SEEDS_UNREADABLE
from godwitpass.internal.membership.messages import ANY_MEMBER, Message, SeedRecord
from godwitpass.internal.membership.state import State
from godwitpass.internal.requests import Answer, List, EntriesRead, Put, RequestFailed
from godwitpass.store import Entry

SEEDS_PREFIX = "seeds/"
MAX_GREETED_PER_ZONE = 3
MAX_GREETED_AGAIN = 8
GREET_AGAIN_S = (0.4, 1.0, 2.0, 4.0, 8.0)
"""Times after the start at which unanswered addresses are greeted again.

After the restart of all daemons the first greetings reach nobody, and those who met early would
stay by themselves: a daemon that knows another one no longer reads the records.
"""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SeedRecord)

Action = Send[Message] | RecordEvent | List | Put


class Discovery:
    """Reads the records until another daemon is met; a few daemons a zone keep them true."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._zone = state.identity.zone
        self._read_at = 0.0
        self._retry_s = state.tuning.join_retry_s
        self._attempts = 0
        self._keep_at = 0.0
        self._tag = 0
        self._joined = False
        self._failing = False
        self._doubted: set[Address] = set()
        self._seeds: tuple[Address, ...] = ()
        self._recorded: dict[Address, None] = {}
        self._greet_again: list[float] = []

    def start(self, now: float, seeds: tuple[Address, ...] = ()) -> list[Action]:
        """Greet `seeds` and schedule the first read; a random delay spreads those of a herd."""
        self._seeds = seeds
        self._greet_again = [now + delay_s for delay_s in GREET_AGAIN_S]
        self._read_at = now + self._state.rng.uniform(0, self._state.tuning.join_jitter_s)
        self._schedule_keeping(now)
        return self._greet(seeds)

    def due(self) -> float:
        """Return when `advance` is to be called next."""
        following = self._keep_at if self._joined else self._read_at
        return min([following, *self._greet_again[:1]])

    def advance(self, now: float, joined: bool) -> list[Action]:
        """Read the records when it is time to."""
        if self._joined and not joined:
            self._restart(now)
        self._joined = joined
        actions = self._greet_unanswered(now)
        return actions + (self._keep(now) if joined else self._read(now))

    def _read(self, now: float) -> list[Action]:
        if now < self._read_at:
            return []
        delay_s = self._retry_s * self._state.rng.uniform(0.5, 1.5)
        self._retry_s = min(2 * self._retry_s, self._state.tuning.max_join_retry_s)
        self._read_at = now + delay_s
        self._attempts += 1
        self._tag += 1
        return [*self._greet(self._seeds), List(self._tag, SEEDS_PREFIX)]

    def _greet_unanswered(self, now: float) -> list[Action]:
        if not self._greet_again or now < self._greet_again[0]:
            return []
        while self._greet_again and now >= self._greet_again[0]:
            self._greet_again.pop(0)
        unknown = self._find_unknown([*self._seeds, *self._recorded])
        return self._greet(unknown, MAX_GREETED_AGAIN)

    def handle(self, answer: Answer, now: float) -> list[Action]:
        """Take an answer of the store."""
        if isinstance(answer, RequestFailed):
            return self._report_failure()
        self._failing = False
        if answer.tag != self._tag:
            return []
        if isinstance(answer, EntriesRead):
            return self._meet_all(answer.result.entries, now)
        return []

    def _restart(self, now: float) -> None:
        self._attempts = 0
        self._retry_s = self._state.tuning.join_retry_s
        self._read_at = now + self._state.rng.uniform(0, self._state.tuning.join_jitter_s)

    def _report_failure(self) -> list[Action]:
        if self._failing:
            return []
        self._failing = True
        return [RecordEvent(SEEDS_UNAVAILABLE)]

    def _add_own(self, entry: Entry, record: SeedRecord) -> list[Action]:
        own = self._state.identity.address
        if own in record.addresses:
            return []
        if len(record.addresses) < self._state.tuning.seeds_per_zone:
            return [self._put(entry, (*record.addresses, own))]
        return []

    def _meet_all(self, entries: tuple[Entry, ...], now: float) -> list[Action]:
        actions: list[Action] = []
        own_entry = Entry(SEEDS_PREFIX + self._zone, None, NO_REVISION)
        for entry in entries:
            record, reports = self._decode(entry)
            actions += reports
            if entry.key == own_entry.key:
                own_entry = entry
            elif record.region != self._state.identity.region:
                actions += self._greet_region(record)
            else:
                self._recorded.update(dict.fromkeys(record.addresses))
                actions += self._greet(self._find_unknown(record.addresses))
        record, _ = self._decode(own_entry)
        self._recorded.update(dict.fromkeys(record.addresses))
        if self._attempts == 1 and not self._joined:
            greetings = self._greet(record.addresses)
            if not greetings:
                # Nobody of the own zone is there to answer.
                self._read_at = min(self._read_at, now + self._state.tuning.join_retry_s / 2)
            return [*actions, *greetings, *self._add_own(own_entry, record)]
        return actions + self._repair(own_entry, record)

    def _repair(self, entry: Entry, record: SeedRecord) -> list[Action]:
        """Replace the addresses of the own zone's record that are known not to live."""
        unknown = self._find_unknown(record.addresses)
        actions = self._greet(unknown)
        if not self._joined:
            return actions + self._add_own_at_random(entry, record)
        doubted, self._doubted = self._doubted, set(unknown)
        kept = [
            address
            for address in record.addresses
            if address not in doubted and self._may_live(address)
        ]
        chosen = tuple(self._fill(kept))
        if chosen != record.addresses:
            actions.append(self._put(entry, chosen))
        return actions

    def _add_own_at_random(self, entry: Entry, record: SeedRecord) -> list[Action]:
        """Take the place of one address, since none of them answered."""
        own, addresses = self._state.identity.address, list(record.addresses)
        if own in addresses:
            return []
        if len(addresses) >= self._state.tuning.seeds_per_zone:
            addresses.pop(self._state.rng.randrange(len(addresses)))
        return [self._put(entry, (*addresses, own))]

    def _fill(self, addresses: list[Address]) -> list[Address]:
        """Add living members of the zone up to the bound of a record."""
        missing = self._state.tuning.seeds_per_zone - len(addresses)
        present = set(addresses)
        candidates = (
            record
            for record in self._state.table.living()
            if record.content.zone == self._zone and record.content.address not in present
        )
        added = heapq.nsmallest(max(missing, 0), candidates, key=lambda record: record.key)
        return (addresses + [record.content.address for record in added])[
            : self._state.tuning.seeds_per_zone
        ]

    def _keep(self, now: float) -> list[Action]:
        if now < self._keep_at:
            return []
        self._schedule_keeping(now)
        if not self._is_keeper():
            return []
        self._tag += 1
        return [List(self._tag, SEEDS_PREFIX)]

    def _is_keeper(self) -> bool:
        keys = (
            record.key for record in self._state.table.living() if record.content.zone == self._zone
        )
        return self._state.own.key in heapq.nsmallest(self._state.tuning.keepers_per_zone, keys)

    def _schedule_keeping(self, now: float) -> None:
        interval_s = self._state.tuning.keep_seeds_s
        self._keep_at = now + interval_s * self._state.rng.uniform(0.75, 1.25)

    def _greet(
        self, addresses: Iterable[Address], most: int = MAX_GREETED_PER_ZONE
    ) -> list[Action]:
        state, own = self._state, self._state.identity.address
        others = [address for address in addresses if address != own]
        chosen = state.rng.sample(others, min(most, len(others)))
        return [state.build_ping(address, ANY_MEMBER, state.draw_nonce()) for address in chosen]

    def _greet_region(self, record: SeedRecord) -> list[Action]:
        """Make contact with a region of which no contact is known to work."""
        regions, rng = self._state.regions, self._state.rng
        known = regions.contacts(record.region) and regions.is_reachable(record.region)
        if known or not record.addresses:
            return []
        return [self._state.build_cross_ping(rng.choice(record.addresses))]

    def _find_unknown(self, addresses: Iterable[Address]) -> list[Address]:
        own = self._state.identity.address
        find = self._state.table.find_address
        return [address for address in addresses if address != own and find(address) is None]

    def _may_live(self, address: Address) -> bool:
        record = self._state.table.find_address(address)
        return record is None or (not record.is_gone and record.content.zone == self._zone)

    def _decode(self, entry: Entry) -> tuple[SeedRecord, list[Action]]:
        empty = SeedRecord(self._state.identity.region)
        if entry.value is None:
            return empty, []
        try:
            return _decoder.decode(entry.value), []
        except msgspec.MsgspecError:
            return empty, [RecordEvent(SEEDS_UNREADABLE, {"key": entry.key})]

    def _put(self, entry: Entry, addresses: tuple[Address, ...]) -> Put:
        self._tag += 1
        value = _encoder.encode(SeedRecord(self._state.identity.region, addresses))
        return Put(self._tag, SEEDS_PREFIX + self._zone, value, entry.revision)
