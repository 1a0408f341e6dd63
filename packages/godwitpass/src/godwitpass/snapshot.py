"""A version of the configuration as a daemon holds it: complete, validated and immutable."""

import msgspec

from godwitpass.document import Document
from godwitpass.ids import ChangeId, ContentHash, Version


class Snapshot(msgspec.Struct, frozen=True):
    """One accepted version with its content; a call keeps the snapshot that it started with."""

    version: Version
    change: ChangeId
    content_hash: ContentHash
    document: Document
