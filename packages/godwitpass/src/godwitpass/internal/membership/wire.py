"""Encoding of membership messages; large ones are compressed."""

import msgspec
import zstandard

from godwitpass.internal.codec import compress, decompress
from godwitpass.internal.membership.digest import DIGEST_BYTES, ITEM_BYTES
from godwitpass.internal.membership.messages import Digest, Items, Message, Update

MIN_COMPRESSED_BYTES = 1_500
_PLAIN, _COMPRESSED = b"\x00", b"\x01"
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode `message` for the peer transport."""
    plain = _encoder.encode(message)
    if len(plain) < MIN_COMPRESSED_BYTES:
        return _PLAIN + plain
    return _COMPRESSED + compress(plain)


def decode_message(data: bytes) -> Message:
    """Decode a message; raises `msgspec.DecodeError` when it is malformed."""
    message = _decoder.decode(_unpack(data))
    if isinstance(message, Digest) and len(message.hashes) != DIGEST_BYTES:
        raise msgspec.DecodeError(f"a digest has {DIGEST_BYTES} bytes")
    if isinstance(message, Items) and len(message.items) % ITEM_BYTES:
        raise msgspec.DecodeError("truncated items")
    return message


def _unpack(data: bytes) -> bytes:
    if data[:1] == _PLAIN:
        return data[1:]
    if data[:1] != _COMPRESSED:
        raise msgspec.DecodeError("unknown encoding of a membership message")
    try:
        return decompress(data[1:])
    except zstandard.ZstdError as error:
        raise msgspec.DecodeError(str(error)) from error


def measure_update(update: Update) -> int:
    """Return the encoded size of `update` in bytes."""
    return len(_encoder.encode(update))
