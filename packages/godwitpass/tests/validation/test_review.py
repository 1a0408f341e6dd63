import json
from typing import Any

import pytest

from godwitpass.internal.validation.review import UnreadableDocument, review_document

KEY = "0123456789abcdef0123456789abcdef"


def review(**changes: Any) -> list[str]:
    document: dict[str, Any] = {
        "format": 1,
        "services": [{"name": "desk"}],
        "routes": [{"name": "read", "path_prefix": "/read", "service": "desk", "policy": "p"}],
        "policies": [{"name": "p", "execution": "idempotent"}],
    }
    return [item.message for item in review_document(json.dumps(document | changes)).findings]


def review_policy(**fields: Any) -> list[str]:
    return review(policies=[{"name": "p", **fields}])


def review_customer(**fields: Any) -> list[str]:
    return review(customers=[{"name": "c", "key_digests": [KEY], **fields}])


class TestReview:
    def test_a_sound_document_has_no_findings(self) -> None:
        assert review() == []

    def test_an_invalid_document_is_reported_and_one_that_is_no_json_is_refused(self) -> None:
        assert review_document('{"format": 2}').document is None
        with pytest.raises(UnreadableDocument):
            review_document('{"format": ')

    @pytest.mark.parametrize(
        ("fields", "expected"),
        [
            ({"timeout_ms": 100, "objective_ms": 200}, "objective_ms 200 is over"),
            ({"timeout_ms": 50}, "queue_ms 100 is over"),
            ({"attempts": 3}, "attempts is 3"),
            ({"extra_request_share": 0.1}, "may not run more than once"),
            (
                {"execution": "idempotent", "attempts": 1, "extra_request_share": 0.1},
                "with attempts of 1",
            ),
        ],
    )
    def test_limits_of_a_policy_that_contradict_are_found(
        self, fields: dict[str, Any], expected: str
    ) -> None:
        (message,) = review_policy(**fields)
        assert expected in message

    @pytest.mark.parametrize(
        ("fields", "expected"),
        [
            ({"burst": 10}, "without a rate"),
            ({"rate_per_s": 1, "burst": 600}, "takes 600 s"),
        ],
    )
    def test_limits_of_a_customer_that_contradict_are_found(
        self, fields: dict[str, Any], expected: str
    ) -> None:
        (message,) = review_customer(**fields)
        assert expected in message

    def test_a_key_held_twice_is_found(self) -> None:
        names = ("c", "d")
        messages = review(customers=[{"name": name, "key_digests": [KEY]} for name in names])
        assert any("held" in message for message in messages)

    def test_entries_without_effect_are_found(self) -> None:
        route = {"path_prefix": "/read", "service": "desk"}
        share = {"service": "old", "weight": 0}
        messages = review(
            services=[{"name": "desk"}, {"name": "old"}],
            routes=[
                {"name": "read", "methods": ["GET"], **route},
                {"name": "write", "methods": ["POST"], **route},
                {**route, "name": "s", "path_prefix": "/s"}
                | {"shares": [share, {"service": "desk", "weight": 1}]},
            ],
        )
        for expected in ("'write' has the same host", "weight 0", "to service 'old'", "policy 'p'"):
            assert any(expected in message for message in messages), expected

    def test_head_limits_that_contradict_are_found(self) -> None:
        path = "/" + "a" * 300
        routes = [{"name": "r", "path_prefix": path, "service": "desk", "policy": "p"}]
        limits = {"head_bytes": 256, "head_timeout_ms": 200, "idle_timeout_ms": 100}
        messages = review(routes=routes, limits=limits)
        assert ["no request matches" in messages[0], "idle_timeout_ms" in messages[1]] == [True] * 2
