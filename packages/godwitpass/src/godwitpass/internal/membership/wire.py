"""Encodes membership messages for the peer transport and decodes them.

A leading byte tells whether the MessagePack encoding that follows is compressed.
"""

import msgspec
import zstandard

from godwitpass.internal.codec import compress, decompress
from godwitpass.internal.membership.digest import DIGEST_BYTES, ITEM_BYTES
from godwitpass.internal.membership.messages import BucketItems, Digest, Message, Update

MIN_COMPRESSED_BYTES = 1_500
_PLAIN, _COMPRESSED = b"\x00", b"\x01"
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode `message`, compressed from `MIN_COMPRESSED_BYTES` on."""
    plain = _encoder.encode(message)
    if len(plain) < MIN_COMPRESSED_BYTES:
        return _PLAIN + plain
    return _COMPRESSED + compress(plain)


def decode_message(data: bytes) -> Message:
    """Decode a message; raises `msgspec.DecodeError` if it is malformed."""
    message = _decoder.decode(_unpack(data))
    if isinstance(message, Digest) and len(message.hashes) != DIGEST_BYTES:
        raise msgspec.DecodeError(f"digest of {len(message.hashes)} bytes; expected {DIGEST_BYTES}")
    if isinstance(message, BucketItems) and len(message.items) % ITEM_BYTES:
        raise msgspec.DecodeError(
            f"bucket items of {len(message.items)} bytes; expected a multiple of {ITEM_BYTES}"
        )
    return message


def _unpack(data: bytes) -> bytes:
    if data[:1] == _PLAIN:
        return data[1:]
    if data[:1] != _COMPRESSED:
        raise msgspec.DecodeError(
            f"unknown encoding {data[:1]!r} of a membership message; expected 00 or 01"
        )
    try:
        return decompress(data[1:])
    except zstandard.ZstdError as error:
        raise msgspec.DecodeError(str(error)) from error


def measure_update(update: Update) -> int:
    """Return the encoded size of `update` in bytes."""
    return len(_encoder.encode(update))
