"""The operator's configuration and the store as the platform adapter reads them."""

from typing import Any

import anyio
import msgspec
import pytest

from godwitpass.document import Execution
from godwitpass.errors import InvalidDocument, StoreUnavailable
from godwitpass.ids import Address, Revision
from godwitpass.snapshot import Snapshot
from godwitpass.store import Entry
from godwitpass_platform.configuration import CONFIGURATION_KEY, decode_configuration
from godwitpass_platform.store import PlatformStore
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


class TestStorePages:
    def test_a_list_that_never_ends_is_an_error_and_not_a_partial_list(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def send_request(method: str, path: str) -> tuple[int, bytes]:
            item = {"key": "seeds/a", "value": "", "revision": 1}
            return 200, msgspec.json.encode({"items": [item], "morePages": True, "asOf": 1})

        store = PlatformStore(Address("127.0.0.1:9"))
        monkeypatch.setattr(store, "_send_request", send_request)
        with pytest.raises(StoreUnavailable, match="seeds/"):
            anyio.run(store.list, "seeds/")
