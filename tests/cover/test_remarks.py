"""Guards against parts of a configuration that have no effect without anybody being told."""

import msgspec
import pytest

from godwitpass.document import read_document
from godwitpass.errors import InvalidDocument
from godwitpass.ids import Revision
from godwitpass.store import Entry
from godwitpass_platform.configuration import build_document_source
from godwitpass_platform_stand_ins import build_configuration, build_route


def list_remarks(content: bytes) -> list[str]:
    source, entry = build_document_source(), Entry("op/config", content, Revision(1))
    return list(source.list_remarks(entry, source.read(entry).document))


def test_unknown_fields_and_findings_about_customers_are_named_without_keys() -> None:
    routes = {"read": {**build_route("/read/", "vault"), "colour": 1}}
    tenants = {
        "north": {"apiKeys": ["secret-1"], "burst": 3, "shade": {"a": 1}},
        "south": {"apiKeys": ["secret-1"]},
        "empty": {},
    }
    configuration = {**build_configuration(3, routes), "tenants": tenants, "later": []}
    assert list_remarks(msgspec.json.encode(configuration)) == [
        "unknown field later",
        "unknown field routes.*.colour",
        "unknown field tenants.*.shade",
        "customer 'north': a burst has no effect without a rate",
        "customer 'south': a key is also held by 'north', so it is valid for neither",
        "customer 'empty': no key identifies it",
    ]


def test_a_name_that_occurs_twice_is_named() -> None:
    content = msgspec.json.encode(build_configuration(3, {}))
    twice = content.replace(b'"routes":{}', b'"routes":{},"tenants":{"a":{},"a":{"apiKeys":["k"]}}')
    assert list_remarks(twice) == ["'a' occurs twice in one object; the last one is used"]


def test_a_known_configuration_has_no_remarks_and_many_are_cut() -> None:
    configuration = build_configuration(3, {"read": build_route("/read/", "vault")})
    assert list_remarks(msgspec.json.encode(configuration)) == []
    many = {**configuration, **{f"new{number}": 1 for number in range(50)}}
    assert list_remarks(msgspec.json.encode(many))[-1] == "30 further remarks"


@pytest.mark.parametrize("value", [b"9" * 5_000, b"[" * 900 + b"]" * 900])
def test_a_field_that_can_not_be_examined_does_not_end_the_process(value: bytes) -> None:
    content = msgspec.json.encode(build_configuration(3, {}))
    assert list_remarks(content.replace(b'"routes":', b'"later":%b,"routes":' % value))


def test_a_configuration_that_is_nested_too_deeply_is_unusable() -> None:
    """Guards against a RecursionError that ended every reader."""
    content = b'{"version": "3", "routes": {}, "services": {}, "x": %b1%b}'
    entry = Entry("op/config", content % (b"[" * 5_000, b"]" * 5_000), Revision(1))
    source = build_document_source()
    with pytest.raises(InvalidDocument):
        source.read(entry)
    assert source.read_version(entry) is None


def test_a_document_with_ambiguous_customers_is_not_accepted() -> None:
    digest = "0" * 32
    customers = [
        {"name": "a", "key_digests": [digest], "burst": 1},
        {"name": "a", "key_digests": [digest]},
        {"name": "c"},
    ]
    with pytest.raises(InvalidDocument) as caught:
        read_document(msgspec.json.encode({"format": 1, "customers": customers}))
    assert sorted(finding.pointer for finding in caught.value.findings) == [
        "/customers/0/burst",
        "/customers/1/key_digests",
        "/customers/1/name",
        "/customers/2/key_digests",
    ]
