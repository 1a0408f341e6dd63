"""Deltas between documents, and their application, which verifies the resulting content."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec
import zstandard

from godwitpass.document import CallerLimits, Distribution, Document, Policy, Route, Service
from godwitpass.ids import ContentHash
from godwitpass.internal.codec import compress, decompress, encode_canonical, hash_content

E = TypeVar("E", Service, Route, Policy)

MIN_COMPRESSED_BYTES = 256
PLAIN, COMPRESSED = b"p", b"z"


class Delta(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Entries removed by name, and entries added or replaced."""

    format: int
    distribution: Distribution
    removed_services: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_policies: tuple[str, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    policies: tuple[Policy, ...] = ()
    limits: CallerLimits = CallerLimits()


class InvalidContent(Exception):
    """A body could not be decoded, or its result does not have the expected hash."""


def _compare(old: Iterable[E], new: Iterable[E]) -> tuple[tuple[str, ...], tuple[E, ...]]:
    before: dict[str, E] = {entry.name: entry for entry in old}
    after: dict[str, E] = {entry.name: entry for entry in new}
    removed = tuple(sorted(name for name in before if name not in after))
    changed = (entry for name, entry in sorted(after.items()) if before.get(name) != entry)
    return removed, tuple(changed)


def _merge(old: tuple[E, ...], removed: tuple[str, ...], changed: tuple[E, ...]) -> tuple[E, ...]:
    if not removed and not changed:
        return old
    entries: dict[str, E] = {entry.name: entry for entry in old}
    for name in removed:
        entries.pop(name, None)
    entries.update((entry.name, entry) for entry in changed)
    return tuple(entry for _, entry in sorted(entries.items()))


def compute_delta(old: Document, new: Document) -> Delta:
    """Return what leads from `old` to `new`."""
    removed_services, services = _compare(old.services, new.services)
    removed_routes, routes = _compare(old.routes, new.routes)
    removed_policies, policies = _compare(old.policies, new.policies)
    return Delta(
        new.format,
        new.distribution,
        removed_services,
        removed_routes,
        removed_policies,
        services,
        routes,
        policies,
        new.limits,
    )


def apply_delta(old: Document, delta: Delta) -> Document:
    """Return the document that `delta` makes of `old`."""
    return Document(
        delta.format,
        _merge(old.services, delta.removed_services, delta.services),
        _merge(old.routes, delta.removed_routes, delta.routes),
        _merge(old.policies, delta.removed_policies, delta.policies),
        delta.distribution,
        delta.limits,
    )


def encode_delta(old: Document, new: Document) -> bytes:
    """Encode the delta from `old` to `new`, compressed where that pays."""
    plain = msgspec.msgpack.encode(compute_delta(old, new))
    if len(plain) < MIN_COMPRESSED_BYTES:
        return PLAIN + plain
    return COMPRESSED + compress(plain)


def encode_full(document: Document) -> bytes:
    """Encode the whole of `document`."""
    return compress(encode_canonical(document))


def decode_delta(old: Document, body: bytes, expected: ContentHash) -> Document:
    """Apply an encoded delta to `old`; raises `InvalidContent` unless the hash is as expected."""
    try:
        plain = decompress(body[1:]) if body[:1] == COMPRESSED else body[1:]
        document = apply_delta(old, msgspec.msgpack.decode(plain, type=Delta))
    except (msgspec.MsgspecError, zstandard.ZstdError) as error:
        raise InvalidContent(str(error)) from error
    if hash_content(encode_canonical(document)) != expected:
        raise InvalidContent("the delta does not lead to the expected content")
    return document


def decode_full(body: bytes, expected: ContentHash) -> Document:
    """Decode a whole document; raises `InvalidContent` unless the hash is as expected."""
    try:
        content = decompress(body)
        document = msgspec.json.decode(content, type=Document)
    except (msgspec.MsgspecError, zstandard.ZstdError) as error:
        raise InvalidContent(str(error)) from error
    if hash_content(content) != expected:
        raise InvalidContent("the content does not have the expected hash")
    return document


class DocumentCodec(msgspec.Struct, frozen=True):
    """The operations on bodies, which a caller may replace by remembering ones."""

    encode_delta: Callable[[Document, Document], bytes] = encode_delta
    encode_full: Callable[[Document], bytes] = encode_full
    decode_delta: Callable[[Document, bytes, ContentHash], Document] = decode_delta
    decode_full: Callable[[bytes, ContentHash], Document] = decode_full
