"""Polls the status until an accepted version is in force on every daemon."""

import time
from collections.abc import Callable

from godwitpass.administration import Status
from godwitpass.ids import Version
from godwitpass_cli.client import ApiRequest
from godwitpass_cli.errors import ApiError, CommandError
from godwitpass_cli.exit_codes import ExitCode
from godwitpass_cli.session import Session

POLL_INTERVAL_S = 0.2


def wait_until_in_force(
    session: Session,
    version: Version,
    timeout_s: float,
    clock: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
) -> Status:
    """Return the status in which all daemons hold `version` or a later one.

    Raises `CommandError` after `timeout_s` seconds; the version stays accepted.
    """
    deadline = clock() + timeout_s
    while True:
        status = _fetch_status(session)
        if status is not None and is_in_force(status, version):
            return status
        if clock() >= deadline:
            progress = "no daemon responds"
            if status is not None:
                spread = status.spread
                progress = f"version {spread.version} is held by {spread.holding} of {spread.total}"
            message = f"version {version} is accepted, but after {timeout_s:g} s {progress}"
            remedy = "run godwitctl status to see which daemons lag"
            raise CommandError(ExitCode.NOT_YET_IN_FORCE, message, remedy)
        sleep(POLL_INTERVAL_S)


def is_in_force(status: Status, version: Version) -> bool:
    """Return whether all daemons that `status` counts hold `version` or a later one."""
    spread = status.spread
    return spread.version >= version and spread.holding == spread.total > 0


def _fetch_status(session: Session) -> Status | None:
    try:
        return session.get_client().send(ApiRequest("GET", "/v1/status"), Status)
    except (CommandError, ApiError):
        # Daemons may restart while the command waits, so only the timeout ends the wait.
        return None
