"""Encoding of membership messages; large ones are compressed."""

import msgspec

from godwitpass.internal.codec import compress, decompress
from godwitpass.internal.membership.messages import Message, Update

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
    """Decode a message; raises `msgspec.DecodeError` or `zstandard.ZstdError`."""
    if data[:1] == _PLAIN:
        return _decoder.decode(memoryview(data)[1:])
    if data[:1] == _COMPRESSED:
        return _decoder.decode(decompress(data[1:]))
    raise msgspec.DecodeError("unknown encoding of a membership message")


def measure_update(update: Update) -> int:
    """Return the encoded size of `update` in bytes."""
    return len(_encoder.encode(update))
