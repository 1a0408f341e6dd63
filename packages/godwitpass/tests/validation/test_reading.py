"""Tests of parsing and validating documents."""

import json
from typing import Any

import jsonc
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.document import Document, Route, Service, read_document
from godwitpass.errors import Finding, InvalidDocument
from godwitpass.ids import RouteName, ServiceName
from godwitpass.internal.codec import encode_canonical
from godwitpass.internal.validation.findings import MAX_FINDINGS
from godwitpass.internal.validation.text import blank_comments

MINIMAL: dict[str, Any] = {
    "format": 1,
    "services": [{"name": "maal"}],
    "routes": [{"name": "scan", "path_prefix": "/scan", "service": "maal"}],
}


def read_findings(content: bytes | str) -> tuple[Finding, ...]:
    with pytest.raises(InvalidDocument) as raised:
        read_document(content, "test.json")
    return raised.value.findings


def extend_section(section: str, *entries: dict[str, Any]) -> str:
    return json.dumps(MINIMAL | {section: [*MINIMAL.get(section, []), *entries]})


class TestReading:
    def test_comments_and_trailing_commas_are_accepted(self) -> None:
        text = '// head\n{"format": 1, /* one */ "services": [],}'
        assert read_document(text) == Document(1)

    def test_all_findings_are_reported_at_once_with_their_lines(self) -> None:
        lines = [
            '{"format": 1, // the first format',
            ' "services": [{"name": "maal", "slots": 0},',
            '              {"name": "maal", "slots": "12"}],',
            ' "routes": [{"name": "scan", "path_prefix": "/scan", "servise": "maal"},',
            '            {"name": "cut", "path_prefix": "/a/../b", "service": "maal"}]}',
        ]
        locations = {(finding.pointer, finding.line) for finding in read_findings("\n".join(lines))}
        assert locations == {
            ("/services/0/slots", 2),
            ("/services/1/slots", 3),
            ("/services/1/name", 3),
            ("/routes/0/servise", 4),
            ("/routes/0", 4),
            ("/routes/1/path_prefix", 5),
        }

    def test_a_duplicate_key_is_reported_at_its_second_occurrence(self) -> None:
        (finding,) = read_findings('{"format": 1,\n"services": [],\n"services": []}')
        assert (finding.pointer, finding.line) == ("/services", 3)

    def test_the_remedy_for_a_misspelled_field_is_the_closest_name(self) -> None:
        (finding,) = read_findings(extend_section("policies", {"name": "p", "timeuot_ms": 3}))
        assert "timeout_ms" in finding.remedy and finding.source == "test.json"

    @pytest.mark.parametrize(
        ("content", "message"),
        [
            (b'{"format":\n\xff}', "not UTF-8"),
            (b"[" * 90_000, "nested"),
            (b'{"a":' * 900 + b"1" + b"}" * 900, "nested"),
            (b'{"format": NaN}', "not a number"),
            (b'{"format": ' + b"9" * 5000 + b"}", "digits"),
            (b" " * (4 * 1024 * 1024 + 1), "over the limit of 4194304"),
            (b'"' + b'\\"' * 200_000, "Unterminated"),
            (b"/* " * 200_000, "Expecting value"),
            (b'{"services":[' + b"[]," * 1_000_000 + b"1]}", "over the limit of 100000"),
        ],
    )
    def test_malicious_text_is_refused_with_one_finding(self, content: bytes, message: str) -> None:
        (finding,) = read_findings(content)
        assert message in finding.message

    def test_findings_beyond_the_limit_are_omitted_and_reported_as_omitted(self) -> None:
        findings = read_findings(json.dumps({"format": 1, "services": [1] * (MAX_FINDINGS + 50)}))
        assert len(findings) == MAX_FINDINGS + 1
        assert "the rest is omitted" in findings[-1].message


class TestRules:
    @pytest.mark.parametrize(
        ("text", "pointers"),
        [
            (
                extend_section("routes", {"name": "r", "path_prefix": "/", "service": "x"}),
                ["/routes/1/service"],
            ),
            (
                extend_section(
                    "routes", {"name": "r", "path_prefix": "/", "service": "maal", "policy": "x"}
                ),
                ["/routes/1/policy"],
            ),
            (
                extend_section("routes", {"name": "r", "path_prefix": "/scan", "service": "maal"}),
                ["/routes/1"],
            ),
            (
                extend_section("routes", MINIMAL["routes"][0] | {"methods": ["GET"]}),
                ["/routes/1/name", "/routes/1"],
            ),
            (extend_section("services", {"name": "stoffbok"}), ["/services/1"]),
            (extend_section("policies", {"name": "a", "extends": "b"}), ["/policies/0/extends"]),
            (
                extend_section(
                    "policies", {"name": "a", "extends": "b"}, {"name": "b", "extends": "a"}
                ),
                ["/policies/0/extends", "/policies/1/extends"],
            ),
            (extend_section("policies", {"name": "a", "extends": "a"}), ["/policies/0/extends"]),
            (
                extend_section(
                    "policies", {"name": "a", "execution": "at-most-once", "attempts": 2}
                ),
                ["/policies/0/attempts"],
            ),
            (
                extend_section(
                    "policies",
                    {"name": "a", "attempts": 2},
                    {"name": "b", "extends": "a", "execution": "at-most-once"},
                ),
                ["/policies/1"],
            ),
            (json.dumps(MINIMAL | {"format": 2}), ["/format"]),
        ],
    )
    def test_a_violated_rule_is_reported_at_its_entry(self, text: str, pointers: list[str]) -> None:
        assert [finding.pointer for finding in read_findings(text)] == pointers

    def test_routes_with_disjoint_methods_do_not_overlap(self) -> None:
        routes = [
            MINIMAL["routes"][0] | {"name": name, "methods": [name]} for name in ("GET", "PUT")
        ]
        assert len(read_document(json.dumps(MINIMAL | {"routes": routes})).routes) == 2


class TestSize:
    def test_a_document_of_the_target_size_is_accepted(self) -> None:
        services = tuple(Service(ServiceName(f"service-{n}")) for n in range(2500))
        routes = tuple(
            Route(RouteName(f"route-{n}"), f"/area-{n % 40}/item-{n}", services[n % 2500].name)
            for n in range(5000)
        )
        document = Document(1, services=services, routes=routes)
        content = encode_canonical(document)
        assert encode_canonical(read_document(content)) == content

    def test_a_document_over_the_size_limit_is_refused(self) -> None:
        entry = {"path_prefix": "/" + "x" * 500, "service": "maal"}
        routes = [entry | {"name": f"r{n}", "host": f"h{n}"} for n in range(4_500)]
        (finding,) = read_findings(json.dumps(MINIMAL | {"routes": routes}))
        assert "over the limit" in finding.message


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(0, 99) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


class TestArbitraryInput:
    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @given(st.binary(max_size=200) | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
    def test_any_bytes_are_read_or_refused_with_findings(self, content: bytes) -> None:
        try:
            read_document(content)
        except InvalidDocument as error:
            assert error.findings

    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @given(JSON_VALUES, st.sampled_from(["// , ]\n", "/* ,} */", " "]))
    def test_blanking_keeps_values_and_lines_as_the_library_reads_them(
        self, value: Any, comment: str
    ) -> None:
        text = json.dumps(value, indent=1).replace("\n", f"{comment}\n")
        plain = blank_comments(text)
        assert json.loads(plain) == jsonc.loads(text) == value
        assert len(plain) == len(text) and plain.count("\n") == text.count("\n")
