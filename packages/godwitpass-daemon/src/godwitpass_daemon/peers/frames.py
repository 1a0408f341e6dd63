"""Frames: a payload with its channel, sender and time, authenticated by a shared key.

Layout: format (1 byte), channel (1), time in microseconds since the epoch (8), sender (7 for IPv4,
19 for IPv6), payload, tag (12). The tag is a keyed BLAKE2b hash of all that precedes it and of the
receiver's address, which isn't transmitted: a frame sent back to its author, or on to a third
daemon, doesn't verify there.
"""

import hashlib
import hmac
import ipaddress
import struct
from collections.abc import Sequence
from enum import Enum
from functools import lru_cache

import msgspec

from godwitpass.ids import Address
from godwitpass_daemon.peers.channels import Channel

FORMAT = 1
TAG_BYTES = 12
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE
CACHED_ADDRESSES = 2048
US_PER_SECOND = 1_000_000

_HEAD = struct.Struct("!BBQB")
_PORT = struct.Struct("!H")
_IP_BYTES = {4: 4, 6: 16}


class Refusal(Enum):
    """Why a received message was dropped."""

    MALFORMED = "malformed"
    OVERSIZE = "oversize"
    FORGED = "forged"
    STALE = "stale"
    REPLAYED = "replayed"
    OVERLOAD = "overload"
    UNHANDLED = "unhandled"


class Frame(msgspec.Struct, frozen=True):
    """A verified frame; `sent_us` is the sender's clock and `tag` is unique to the frame."""

    channel: Channel
    sender: Address
    sent_us: int
    payload: bytes
    tag: bytes


def check_keys(keys: Sequence[bytes]) -> tuple[bytes, ...]:
    """Return `keys` as a tuple; raises ValueError unless there are one or two of fit length."""
    if not 1 <= len(keys) <= 2:
        raise ValueError(f"{len(keys)} peer keys given; give one, or two during a rotation")
    for key in keys:
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(
                f"a peer key has {len(key)} bytes; use {MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
            )
    return tuple(keys)


@lru_cache(CACHED_ADDRESSES)
def pack_address(address: Address) -> bytes:
    """Pack `address` as IP version, IP number and port; raises ValueError for a host name."""
    host, _, port = address.rpartition(":")
    number = ipaddress.ip_address(host.strip("[]"))
    return bytes([number.version]) + number.packed + _PORT.pack(int(port))


@lru_cache(CACHED_ADDRESSES)
def unpack_address(packed: bytes) -> Address:
    """Reverse `pack_address`."""
    number = ipaddress.ip_address(packed[1:-2])
    (port,) = _PORT.unpack(packed[-2:])
    return Address(f"[{number}]:{port}" if number.version == 6 else f"{number}:{port}")


def seal_frame(
    key: bytes, channel: Channel, sender: Address, receiver: Address, sent_us: int, payload: bytes
) -> bytes:
    """Build the authenticated frame of `payload`."""
    packed = pack_address(sender)
    body = _HEAD.pack(FORMAT, channel, sent_us, packed[0]) + packed[1:] + payload
    return body + _compute_tag(key, body, receiver)


def open_frame(keys: tuple[bytes, ...], receiver: Address, data: bytes) -> Frame | Refusal:
    """Verify `data` against any of `keys`; nothing of a refused frame is interpreted."""
    if len(data) < _HEAD.size + TAG_BYTES or data[0] != FORMAT:
        return Refusal.MALFORMED
    _, channel, sent_us, ip_version = _HEAD.unpack_from(data)
    ip_bytes = _IP_BYTES.get(ip_version)
    if ip_bytes is None:
        return Refusal.MALFORMED
    start, end = _HEAD.size + ip_bytes + _PORT.size, len(data) - TAG_BYTES
    if start > end:
        return Refusal.MALFORMED
    body, tag = data[:end], data[end:]
    if not any(hmac.compare_digest(_compute_tag(key, body, receiver), tag) for key in keys):
        return Refusal.FORGED
    try:
        known = Channel(channel)
    except ValueError:
        return Refusal.UNHANDLED
    sender = unpack_address(data[_HEAD.size - 1 : start])
    return Frame(known, sender, sent_us, data[start:end], tag)


def _compute_tag(key: bytes, body: bytes, receiver: Address) -> bytes:
    return hashlib.blake2b(
        body + pack_address(receiver), key=key, digest_size=TAG_BYTES, usedforsecurity=True
    ).digest()
