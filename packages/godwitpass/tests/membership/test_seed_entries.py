"""Tests of seed records that another writer has left in the store."""

import random

import msgspec
import pytest

from godwitpass.ids import Address, InstanceId, RegionId, Revision, ZoneId
from godwitpass.internal.actions import Send, TimerFired
from godwitpass.internal.membership import Identity, Membership, Start
from godwitpass.internal.membership.tuning import DEFAULT_TUNING
from godwitpass.internal.requests import EntriesRead, List
from godwitpass.store import Entry, EntryList

GOOD = Address("10.0.0.2:7620")
UNREADABLE = [
    b"",
    b"\xff\x00",
    b"\x93\xa4vest\x90" + b"\x91" * 100_000,
    b"\x91" * 100_000,
    msgspec.msgpack.encode(["r", [1 << 63]]),
    msgspec.msgpack.encode([1 << 62, ["10.0.0.9:7620"]]),
    msgspec.msgpack.encode({"region": "r"}),
]
ODD_ADDRESSES = [
    "10.0.0.9:99999",
    "10.0.0.9:65536",
    "10.0.0.9:-1",
    "10.0.0.9:0",
    "10.0.0.9:",
    "10.0.0.9:port",
    "10.0.0.9:" + "9" * 5_000,
    "10.0.0.9",
    "",
    "host.example:7620",
    "999.0.0.1:7620",
    "[::g]:7620",
    "10.0.0.9:7620\r\n",
]


def read_seeds(*values: bytes) -> set[Address]:
    """Let a daemon read the seed records `values`; return the addresses that it contacts."""
    identity = Identity(
        InstanceId("i"), ZoneId("z"), RegionId("r"), Address("10.0.0.1:7620"), 1, None, None
    )
    membership = Membership(identity, random.Random(1), DEFAULT_TUNING)
    membership.handle(Start(()), 0.0)
    requests = [
        action for action in membership.handle(TimerFired(), 60.0) if isinstance(action, List)
    ]
    entries = tuple(
        Entry(f"seeds/z{number}", value, Revision(number + 1))
        for number, value in enumerate(values)
    )
    answer = EntriesRead(requests[0].tag, EntryList(Revision(9), entries))
    actions = membership.handle(answer, 60.0)
    actions += membership.handle(TimerFired(), 120.0)
    return {action.to for action in actions if isinstance(action, Send)}


def encode_record(*addresses: str, region: str = "r") -> bytes:
    return msgspec.msgpack.encode([region, list(addresses)])


class TestOddSeedEntries:
    """An odd entry below `seeds/` ended each daemon that read it, at every start."""

    @pytest.mark.parametrize("value", UNREADABLE, ids=range(len(UNREADABLE)))
    def test_an_unreadable_entry_names_no_daemon_and_others_hold(self, value: bytes) -> None:
        assert read_seeds(value, encode_record(str(GOOD)), value) == {GOOD}

    @pytest.mark.parametrize("region", ["r", "other"])
    @pytest.mark.parametrize("address", ODD_ADDRESSES, ids=range(len(ODD_ADDRESSES)))
    def test_an_odd_address_is_not_contacted_and_others_are(
        self, address: str, region: str
    ) -> None:
        contacted = read_seeds(
            encode_record(address, region=region), encode_record(address, str(GOOD))
        )
        assert contacted == {GOOD}
