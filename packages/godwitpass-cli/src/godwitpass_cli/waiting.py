"""Waits until an accepted version is in force on every daemon."""

import time
from collections.abc import Callable

from godwitpass.administration import Status
from godwitpass.ids import Version
from godwitpass_cli.client import Call
from godwitpass_cli.exit_codes import ExitCode
from godwitpass_cli.errors import CommandError, RequestRefused
from godwitpass_cli.session import Session

POLL_INTERVAL_S = 0.2


def wait_until_in_force(
    session: Session,
    version: Version,
    limit_s: float,
    clock: Callable[[], float] = time.monotonic,
    pause: Callable[[float], None] = time.sleep,
) -> Status:
    """Return the status in which all daemons hold `version` or a later one.

    Raises `CommandError` after `limit_s` seconds; the version stays accepted.
    """
    deadline = clock() + limit_s
    while True:
        status = _ask(session)
        if status is not None and is_in_force(status, version):
            return status
        if clock() >= deadline:
            known = "no daemon answers"
            if status is not None:
                spread = status.spread
                known = f"version {spread.version} is held by {spread.holding} of {spread.total}"
            message = f"version {version} is accepted, but after {limit_s:g} s {known}"
            remedy = "ask godwitctl status what it waits for"
            raise CommandError(ExitCode.NOT_YET_IN_FORCE, message, remedy)
        pause(POLL_INTERVAL_S)


def is_in_force(status: Status, version: Version) -> bool:
    """Tell whether all daemons that `status` counts hold `version` or a later one."""
    spread = status.spread
    return spread.version >= version and spread.holding == spread.total > 0


def _ask(session: Session) -> Status | None:
    try:
        return session.connect().call(Call("GET", "/v1/status"), Status)
    except (CommandError, RequestRefused):
        # Daemons may come and go meanwhile; the limit decides.
        return None
