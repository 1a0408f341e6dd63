import anyio
import pytest

from godwitpass.ids import NO_REVISION
from godwitpass.internal.requests import Confirm, Get, Put, Request, RequestFailed
from godwitpass_daemon.services.store_requests import perform_request
from godwitpass_testkit.store.fake import FakeStore
from godwitpass_testkit.store.state import StoreState


class BrokenState(StoreState):
    """A store whose answers raise an error that its client doesn't expect."""

    def get(self, key: str, now: float) -> None:  # type: ignore[override]
        raise RecursionError(f"the value of {key} is nested too deeply")

    def put(self, *arguments: object) -> None:  # type: ignore[override]
        raise KeyError("revision")


class TestUnexpectedErrors:
    @pytest.mark.parametrize(
        ("request_", "is_outcome_unknown"),
        [
            (Get(7, "op/config"), False),
            (Confirm(7, "op/config", NO_REVISION), False),
            (Put(7, "status/a", b"", NO_REVISION), True),
        ],
    )
    def test_they_fail_the_request_and_not_the_daemon(
        self, request_: Request, is_outcome_unknown: bool
    ) -> None:
        # Guards against one answer that ends the process: the request runs in the kernel's tasks.
        async def run() -> None:
            answer = await perform_request(FakeStore(BrokenState(), lambda: 0.0), request_)
            assert isinstance(answer, RequestFailed)
            assert (answer.tag, answer.is_outcome_unknown) == (7, is_outcome_unknown)
            assert "Error(" in answer.reason

        anyio.run(run)
