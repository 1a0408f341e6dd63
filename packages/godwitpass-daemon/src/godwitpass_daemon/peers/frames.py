"""Frames: a payload with its channel, sender and time, authenticated with a shared key.

Layout: format version (1 byte), channel (1), time in microseconds since the epoch (8), sender
address (7 for IPv4, 19 for IPv6), payload, tag (12). The tag is a keyed BLAKE2b hash of all
preceding bytes and of the receiver's address, which isn't transmitted. A frame that an attacker
reflects to its sender or forwards to a third daemon therefore doesn't verify there.
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

FORMAT_VERSION = 1
TAG_BYTES = 12
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE
ADDRESS_CACHE_SIZE = 2048
US_PER_SECOND = 1_000_000

_HEADER = struct.Struct("!BBQB")
_PORT = struct.Struct("!H")
_IP_BYTES_BY_VERSION = {4: 4, 6: 16}


class DropReason(Enum):
    """Why a received message was dropped; the values are metric labels and log fields."""

    MALFORMED = "malformed"
    OVERSIZE = "oversize"
    FORGED = "forged"
    STALE = "stale"
    REPLAYED = "replayed"
    OVERLOAD = "overload"
    UNHANDLED = "unhandled"


class Frame(msgspec.Struct, frozen=True):
    """A verified frame; `sent_us` is the sender's clock, and no other frame has the same `tag`."""

    channel: Channel
    sender: Address
    sent_us: int
    payload: bytes
    tag: bytes


def validate_keys(keys: Sequence[bytes]) -> tuple[bytes, ...]:
    """Return `keys` as a tuple; raises ValueError unless there are one or two of valid length."""
    if not 1 <= len(keys) <= 2:
        raise ValueError(f"{len(keys)} peer keys given; expected one, or two during a key rotation")
    for key in keys:
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(
                f"a peer key has {len(key)} bytes; expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
            )
    return tuple(keys)


@lru_cache(ADDRESS_CACHE_SIZE)
def pack_address(address: Address) -> bytes:
    """Pack `address` as IP version, IP address and port; raises ValueError for a host name."""
    host, _, port = address.rpartition(":")
    ip = ipaddress.ip_address(host.strip("[]"))
    return bytes([ip.version]) + ip.packed + _PORT.pack(int(port))


@lru_cache(ADDRESS_CACHE_SIZE)
def unpack_address(packed: bytes) -> Address:
    """Return the address packed by `pack_address`."""
    ip = ipaddress.ip_address(packed[1:-2])
    (port,) = _PORT.unpack(packed[-2:])
    return Address(f"[{ip}]:{port}" if ip.version == 6 else f"{ip}:{port}")


def seal_frame(
    key: bytes, channel: Channel, sender: Address, receiver: Address, sent_us: int, payload: bytes
) -> bytes:
    """Build an authenticated frame of `payload` from `sender` to `receiver`."""
    packed = pack_address(sender)
    body = _HEADER.pack(FORMAT_VERSION, channel, sent_us, packed[0]) + packed[1:] + payload
    return body + _compute_tag(key, body, receiver)


def open_frame(keys: tuple[bytes, ...], receiver: Address, data: bytes) -> Frame | DropReason:
    """Verify `data` with each of `keys`; return its frame, or why it must be dropped.

    The payload is returned only after the tag has been verified.
    """
    if len(data) < _HEADER.size + TAG_BYTES or data[0] != FORMAT_VERSION:
        return DropReason.MALFORMED
    _, channel, sent_us, ip_version = _HEADER.unpack_from(data)
    ip_bytes = _IP_BYTES_BY_VERSION.get(ip_version)
    if ip_bytes is None:
        return DropReason.MALFORMED
    payload_start, payload_end = _HEADER.size + ip_bytes + _PORT.size, len(data) - TAG_BYTES
    if payload_start > payload_end:
        return DropReason.MALFORMED
    body, tag = data[:payload_end], data[payload_end:]
    if not any(hmac.compare_digest(_compute_tag(key, body, receiver), tag) for key in keys):
        return DropReason.FORGED
    try:
        known_channel = Channel(channel)
    except ValueError:
        return DropReason.UNHANDLED
    sender = unpack_address(data[_HEADER.size - 1 : payload_start])
    return Frame(known_channel, sender, sent_us, data[payload_start:payload_end], tag)


def _compute_tag(key: bytes, body: bytes, receiver: Address) -> bytes:
    return hashlib.blake2b(
        body + pack_address(receiver), key=key, digest_size=TAG_BYTES, usedforsecurity=True
    ).digest()
