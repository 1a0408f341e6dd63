"""Tests of the canonical encoding of documents and of compression."""

import pytest
import zstandard

from godwitpass.document import Distribution, Document, Service
from godwitpass.ids import ServiceName
from godwitpass.internal.codec import compress, decompress, encode_canonical, hash_content


class TestCanonicalForm:
    def test_the_order_of_services_does_not_change_the_hash(self) -> None:
        first, second = Service(ServiceName("maal")), Service(ServiceName("stoffbok"))
        forward = encode_canonical(Document(1, services=(first, second)))
        backward = encode_canonical(Document(1, services=(second, first)))
        assert hash_content(forward) == hash_content(backward)

    def test_defaults_given_explicitly_do_not_change_the_hash(self) -> None:
        implied, explicit = Document(1), Document(1, distribution=Distribution())
        assert encode_canonical(implied) == encode_canonical(explicit)


class TestCompression:
    def test_decompressing_corrupt_content_raises(self) -> None:
        with pytest.raises(zstandard.ZstdError):
            decompress(compress(b"x" * 100)[:-3] + b"???")
