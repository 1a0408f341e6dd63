"""Client of the administration API, which tries the configured daemons in order."""

from collections.abc import Mapping
from typing import TypeVar

import httpcore
import msgspec

from godwitpass.administration import CHANGE_HEADER, Problem, ProblemKind
from godwitpass.ids import Address, ChangeId, Version
from godwitpass_cli.configuration import Configuration
from godwitpass_cli.errors import ApiError, CommandError
from godwitpass_cli.exit_codes import ExitCode

T = TypeVar("T", bound=msgspec.Struct)

CONNECT_TIMEOUT_S = 3.0
RESPONSE_TIMEOUT_S = 30.0

RETRYABLE_PROBLEMS = {
    ProblemKind.BUSY,
    ProblemKind.NOT_READY,
    ProblemKind.STORE_UNAVAILABLE,
    ProblemKind.OUTCOME_UNKNOWN,
}
"""Problems after which the request is sent to the next daemon, which may be able to serve it."""


class ApiRequest(msgspec.Struct, frozen=True):
    """One request to the administration API.

    It can be sent more than once, since writes carry a change id.
    """

    method: str
    target: str
    body: bytes = b""
    headers: Mapping[str, str] = {}


class Client:
    """Sends each request to the first daemon that can handle it."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._pool = httpcore.ConnectionPool()

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    @property
    def addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the daemons; raises `CommandError` if none is configured."""
        if not self._configuration.addresses:
            raise CommandError(
                ExitCode.USAGE,
                "no daemon address is configured",
                "use --address IP:PORT, GODWITCTL_ADDRESSES or the configuration file",
            )
        return self._configuration.addresses

    def send(self, request: ApiRequest, result_type: type[T]) -> T:
        """Send `request` to the daemons in order and return the first result."""
        failure: ApiError | CommandError | None = None
        for address in self.addresses:
            try:
                return self.send_to(address, request, result_type)
            except ApiError as error:
                if error.problem.kind not in RETRYABLE_PROBLEMS:
                    raise
                failure = _choose_reported_failure(failure, error)
            except CommandError as error:
                failure = _choose_reported_failure(failure, error)
        assert failure is not None
        raise failure

    def send_to(self, address: Address, request: ApiRequest, result_type: type[T]) -> T:
        """Send `request` to the daemon at `address` and return its result."""
        response = self._exchange(address, request)
        if response.status != 200:
            raise ApiError(_decode(address, response.content, Problem))
        return _decode(address, response.content, result_type)

    def _exchange(self, address: Address, request: ApiRequest) -> httpcore.Response:
        headers = dict(request.headers)
        if self._configuration.token:
            headers["authorization"] = f"Bearer {self._configuration.token}"
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "read": RESPONSE_TIMEOUT_S,
            "write": RESPONSE_TIMEOUT_S,
        }
        try:
            response = self._pool.request(
                request.method,
                f"http://{address}{request.target}",
                headers=list(headers.items()),
                content=request.body,
                extensions={"timeout": timeout},
            )
            if not _marks_its_end(response):
                raise httpcore.RemoteProtocolError("a response without a length")
            return response
        except (httpcore.UnsupportedProtocol, httpcore.LocalProtocolError, ValueError) as error:
            message = f"daemon address {address!r} or the token is malformed: {error}"
            raise CommandError(ExitCode.USAGE, message, "use the form 10.0.0.1:7003") from error
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            message = f"daemon {address} can't be reached: {error}"
            raise CommandError(
                ExitCode.UNAVAILABLE, message, "check the address or give another --address"
            ) from error
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            is_read = request.method == "GET"
            code = ExitCode.UNAVAILABLE if is_read else ExitCode.OUTCOME_UNKNOWN
            message = f"no complete response from daemon {address}: {type(error).__name__} {error}"
            remedy = "retry the command" if is_read else "retry with the same --change-id"
            raise CommandError(code, message, remedy) from error


def build_write_headers(change_id: ChangeId, if_version: Version | None) -> dict[str, str]:
    """Return the headers that make a write safe to repeat."""
    headers: dict[str, str] = {CHANGE_HEADER: change_id}
    if if_version is not None:
        headers["If-Match"] = f'"{if_version}"'
    return headers


def _marks_its_end(response: httpcore.Response) -> bool:
    """Tell whether a response that was cut off would have been recognised.

    The pool reads what has arrived even if a write failed, and takes any end of the connection for
    that of a response without a length.
    """
    names = {name.lower() for name, _ in response.headers}
    return not names.isdisjoint({b"content-length", b"transfer-encoding"})


def _choose_reported_failure(
    earlier_failure: ApiError | CommandError | None, later_failure: ApiError | CommandError
) -> ApiError | CommandError:
    """Return the failure to report; an unknown outcome is not resolved by a later failure."""
    return (
        earlier_failure
        if earlier_failure is not None and _is_outcome_unknown(earlier_failure)
        else later_failure
    )


def _is_outcome_unknown(failure: ApiError | CommandError) -> bool:
    if isinstance(failure, ApiError):
        return failure.problem.kind is ProblemKind.OUTCOME_UNKNOWN
    return failure.code is ExitCode.OUTCOME_UNKNOWN


def _decode(address: Address, content: bytes, result_type: type[T]) -> T:
    try:
        return msgspec.json.decode(content, type=result_type)
    except (msgspec.DecodeError, ValueError) as error:
        message = f"{address} sent a response that is not of the administration API: {error}"
        raise CommandError(
            ExitCode.FAULT, message, "check the address and the versions of daemon and command"
        ) from error
