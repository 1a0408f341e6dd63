"""Client of the administration API that tries several daemons in order."""

from collections.abc import Mapping
from typing import TypeVar

import httpcore
import msgspec

from godwitpass.administration import CHANGE_HEADER, Problem, ProblemKind
from godwitpass.ids import Address, ChangeId, Version
from godwitpass_cli.configuration import Configuration
from godwitpass_cli.exit_codes import ExitCode
from godwitpass_cli.errors import CommandError, RequestRefused

T = TypeVar("T", bound=msgspec.Struct)

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 30.0

ELSEWHERE = {
    ProblemKind.BUSY,
    ProblemKind.NOT_READY,
    ProblemKind.STORE_UNAVAILABLE,
    ProblemKind.OUTCOME_UNKNOWN,
}
"""Problems that another daemon may not have."""


class Call(msgspec.Struct, frozen=True):
    """One request; every call may be repeated, since writes carry a change id."""

    method: str
    target: str
    body: bytes = b""
    headers: Mapping[str, str] = {}


class Client:
    """Calls the first daemon that can do what is asked."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._pool = httpcore.ConnectionPool()

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    @property
    def addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the daemons; raises `CommandError` without any."""
        if not self._configuration.addresses:
            raise CommandError(
                ExitCode.USAGE,
                "no address is given",
                "use --address IP:PORT, GODWITCTL_ADDRESSES or the configuration file",
            )
        return self._configuration.addresses

    def call(self, call: Call, kind: type[T]) -> T:
        """Return the answer of the first daemon that gives one."""
        failure: RequestRefused | CommandError | None = None
        for address in self.addresses:
            try:
                return self.call_daemon(address, call, kind)
            except RequestRefused as error:
                if error.problem.kind not in ELSEWHERE:
                    raise
                failure = _choose_graver(failure, error)
            except CommandError as error:
                failure = _choose_graver(failure, error)
        assert failure is not None
        raise failure

    def call_daemon(self, address: Address, call: Call, kind: type[T]) -> T:
        """Return the answer of the daemon at `address`."""
        response = self._send(address, call)
        if response.status != 200:
            raise RequestRefused(_decode(address, response.content, Problem))
        return _decode(address, response.content, kind)

    def _send(self, address: Address, call: Call) -> httpcore.Response:
        headers = {"authorization": f"Bearer {self._configuration.token}", **call.headers}
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "read": ANSWER_TIMEOUT_S,
            "write": ANSWER_TIMEOUT_S,
        }
        try:
            return self._pool.request(
                call.method,
                f"http://{address}{call.target}",
                headers=list(headers.items()),
                content=call.body,
                extensions={"timeout": timeout},
            )
        except (httpcore.UnsupportedProtocol, httpcore.LocalProtocolError, ValueError) as error:
            message = f"daemon address {address!r} or the token is malformed: {error}"
            raise CommandError(ExitCode.USAGE, message, "write it as 10.0.0.1:7003") from error
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            message = f"daemon {address} can't be reached: {error}"
            raise CommandError(
                ExitCode.UNAVAILABLE, message, "check the address or give another --address"
            ) from error
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            is_read = call.method == "GET"
            code = ExitCode.UNAVAILABLE if is_read else ExitCode.OUTCOME_UNKNOWN
            message = f"daemon {address} broke off: {type(error).__name__} {error}"
            remedy = "repeat the command" if is_read else "repeat it with the same --change-id"
            raise CommandError(code, message, remedy) from error


def write_headers(change: ChangeId, if_version: Version | None) -> dict[str, str]:
    """Return the headers of a write that may be repeated."""
    headers: dict[str, str] = {CHANGE_HEADER: change}
    if if_version is not None:
        headers["If-Match"] = f'"{if_version}"'
    return headers


def _choose_graver(
    earlier: RequestRefused | CommandError | None, later: RequestRefused | CommandError
) -> RequestRefused | CommandError:
    """Return the failure to report: once an outcome is unknown, nothing later makes it known."""
    return earlier if earlier is not None and _is_unknown(earlier) else later


def _is_unknown(failure: RequestRefused | CommandError) -> bool:
    if isinstance(failure, RequestRefused):
        return failure.problem.kind is ProblemKind.OUTCOME_UNKNOWN
    return failure.code is ExitCode.OUTCOME_UNKNOWN


def _decode(address: Address, content: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.DecodeError, ValueError) as error:
        message = f"{address} does not speak the administration API: {error}"
        raise CommandError(ExitCode.FAULT, message, "check the address and the releases") from error
