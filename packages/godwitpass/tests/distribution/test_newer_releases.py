"""Tests of decoding content that a newer release wrote."""

import msgspec
import pytest

from godwitpass.document import Document, Service
from godwitpass.ids import ServiceName
from godwitpass.internal.codec import compress, encode_canonical, hash_content
from godwitpass.internal.distribution.delta import InvalidContent, decode_full


class TestContentOfNewerReleases:
    def test_a_version_with_an_unknown_field_is_refused_whole(self) -> None:
        content = encode_canonical(Document(1, services=(Service(ServiceName("maal")),)))
        plain = msgspec.json.decode(content)
        plain["services"][0]["invented_later"] = True
        newer = msgspec.json.encode(plain, order="deterministic")
        with pytest.raises(InvalidContent, match="invented_later"):
            decode_full(compress(newer), hash_content(newer))
