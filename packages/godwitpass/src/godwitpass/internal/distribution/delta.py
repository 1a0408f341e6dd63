"""Deltas between documents, and the encoding of deltas and documents.

Decoding verifies the hash of the resulting document.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec
import zstandard

from godwitpass.document import (
    CallerLimits,
    Customer,
    Distribution,
    Document,
    Policy,
    Route,
    Service,
)
from godwitpass.ids import ContentHash
from godwitpass.internal.codec import compress, decompress, encode_canonical, hash_content

EntryT = TypeVar("EntryT", Service, Route, Policy, Customer)

MIN_BYTES_TO_COMPRESS = 256
PLAIN_PREFIX, COMPRESSED_PREFIX = b"p", b"z"


class Delta(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Names of removed entries, and the entries that were added or replaced."""

    format: int
    distribution: Distribution
    removed_services: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_policies: tuple[str, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    policies: tuple[Policy, ...] = ()
    limits: CallerLimits = CallerLimits()
    removed_customers: tuple[str, ...] = ()
    customers: tuple[Customer, ...] = ()


class InvalidContent(Exception):
    """A body could not be decoded, or the resulting document has an unexpected hash."""


def _diff_entries(
    old: Iterable[EntryT], new: Iterable[EntryT]
) -> tuple[tuple[str, ...], tuple[EntryT, ...]]:
    old_entries: dict[str, EntryT] = {entry.name: entry for entry in old}
    new_entries: dict[str, EntryT] = {entry.name: entry for entry in new}
    removed = tuple(sorted(name for name in old_entries if name not in new_entries))
    changed = (
        entry for name, entry in sorted(new_entries.items()) if old_entries.get(name) != entry
    )
    return removed, tuple(changed)


def _apply_to_entries(
    old: tuple[EntryT, ...], removed: tuple[str, ...], changed: tuple[EntryT, ...]
) -> tuple[EntryT, ...]:
    if not removed and not changed:
        return old
    entries: dict[str, EntryT] = {entry.name: entry for entry in old}
    for name in removed:
        entries.pop(name, None)
    entries.update((entry.name, entry) for entry in changed)
    return tuple(entry for _, entry in sorted(entries.items()))


def compute_delta(old: Document, new: Document) -> Delta:
    """Return the delta from `old` to `new`."""
    removed_services, services = _diff_entries(old.services, new.services)
    removed_routes, routes = _diff_entries(old.routes, new.routes)
    removed_policies, policies = _diff_entries(old.policies, new.policies)
    removed_customers, customers = _diff_entries(old.customers, new.customers)
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
        removed_customers,
        customers,
    )


def apply_delta(old: Document, delta: Delta) -> Document:
    """Return the document that results from applying `delta` to `old`."""
    return Document(
        delta.format,
        _apply_to_entries(old.services, delta.removed_services, delta.services),
        _apply_to_entries(old.routes, delta.removed_routes, delta.routes),
        _apply_to_entries(old.policies, delta.removed_policies, delta.policies),
        delta.distribution,
        delta.limits,
        _apply_to_entries(old.customers, delta.removed_customers, delta.customers),
    )


def encode_delta(old: Document, new: Document) -> bytes:
    """Encode the delta from `old` to `new`, compressed if it has `MIN_BYTES_TO_COMPRESS`."""
    encoded = msgspec.msgpack.encode(compute_delta(old, new))
    if len(encoded) < MIN_BYTES_TO_COMPRESS:
        return PLAIN_PREFIX + encoded
    return COMPRESSED_PREFIX + compress(encoded)


def encode_full(document: Document) -> bytes:
    """Encode the full `document`, always compressed."""
    return compress(encode_canonical(document))


def decode_delta(old: Document, body: bytes, expected: ContentHash) -> Document:
    """Apply an encoded delta to `old`; raises `InvalidContent` unless the result has the hash."""
    try:
        encoded = decompress(body[1:]) if body[:1] == COMPRESSED_PREFIX else body[1:]
        document = apply_delta(old, msgspec.msgpack.decode(encoded, type=Delta))
    except (msgspec.MsgspecError, RecursionError, zstandard.ZstdError) as error:
        raise InvalidContent(str(error)) from error
    if hash_content(encode_canonical(document)) != expected:
        raise InvalidContent(
            "the document that results from the delta does not have the expected hash"
        )
    return document


def decode_full(body: bytes, expected: ContentHash) -> Document:
    """Decode a full document; raises `InvalidContent` unless it has the hash `expected`."""
    try:
        content = decompress(body)
        document = msgspec.json.decode(content, type=Document)
    except (msgspec.MsgspecError, RecursionError, zstandard.ZstdError) as error:
        raise InvalidContent(str(error)) from error
    if hash_content(content) != expected:
        raise InvalidContent("the document does not have the expected hash")
    return document


class DocumentCodec(msgspec.Struct, frozen=True):
    """The encoding functions of update bodies; a simulation can replace them by memoized ones."""

    encode_delta: Callable[[Document, Document], bytes] = encode_delta
    encode_full: Callable[[Document], bytes] = encode_full
    decode_delta: Callable[[Document, bytes, ContentHash], Document] = decode_delta
    decode_full: Callable[[bytes, ContentHash], Document] = decode_full
