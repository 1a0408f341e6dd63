"""The operator's configuration as the platform adapter decodes it."""

from typing import Any

import msgspec
import pytest

from godwitpass.document import Execution
from godwitpass.errors import InvalidDocument
from godwitpass.ids import Revision
from godwitpass.snapshot import Snapshot
from godwitpass.store import Entry
from godwitpass_platform.configuration import CONFIGURATION_KEY, decode_configuration
from godwitpass_platform_stand_ins import build_configuration, build_route


def decode(routes: dict[str, Any]) -> Snapshot:
    value = msgspec.json.encode(build_configuration(1, routes))
    return decode_configuration(Entry(CONFIGURATION_KEY, value, Revision(1)))


class TestRouteTypes:
    @pytest.mark.parametrize(
        ("route_type", "execution"),
        [
            ("safe", Execution.IDEMPOTENT),
            ("download", Execution.IDEMPOTENT),
            ("unsafe", Execution.UNSAFE),
            ("upload", Execution.UNSAFE),
        ],
    )
    def test_the_type_decides_whether_requests_may_run_more_than_once(
        self, route_type: str, execution: Execution
    ) -> None:
        document = decode({"one": build_route("/one/", "vault", route_type)}).document
        assert [policy.execution for policy in document.policies] == [execution]

    def test_an_unknown_type_is_rejected_with_its_route_and_the_known_types(self) -> None:
        routes = {
            "known": build_route("/known/", "vault"),
            "odd": build_route("/odd/", "vault", "stream"),
        }
        with pytest.raises(InvalidDocument) as caught:
            decode(routes)
        message = str(caught.value)
        assert "'odd'" in message and "'stream'" in message
        assert "safe, download, unsafe, upload" in message
