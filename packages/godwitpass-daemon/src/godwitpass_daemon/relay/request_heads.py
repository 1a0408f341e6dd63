"""The step from a parsed head to a request with its route and sender, or a rejection."""

from typing import TYPE_CHECKING

import httptools

from godwitpass.internal.relay.routes import RelayTable
from godwitpass_daemon.edge.heads import Header
from godwitpass_daemon.relay.headers import RequestRejected, parse_request_head
from godwitpass_daemon.relay.limits import READ_BYTES
from godwitpass_daemon.relay.pipelining import PipelinedRequest

if TYPE_CHECKING:
    from godwitpass_daemon.relay.core import RelayCore


def process_head(
    core: "RelayCore",
    request: PipelinedRequest,
    parser: httptools.HttpRequestParser,
    target: bytes,
    headers: list[Header],
    earlier_bytes: int,
) -> None:
    """Validate the head of `request` and find the route; raise `RequestRejected` if that fails.

    `earlier_bytes` is what was read of the head before the part of the input that ends it.
    """
    if parser.should_upgrade():
        raise RequestRejected(400, "upgrades are not supported")
    if parser.get_http_version() != "1.1":
        raise RequestRejected(505, "only HTTP/1.1 is supported")
    head_limit_bytes = core.limits.head_bytes
    # A head that fits with all that was read since its start needs no exact check.
    if earlier_bytes + READ_BYTES > head_limit_bytes:
        head_bytes = len(target) + sum([len(name) + len(value) for name, value in headers])
        if head_bytes > head_limit_bytes:
            raise RequestRejected(431, "the head is too large")
    head = parse_request_head(
        parser.get_method(),
        target,
        headers,
        core.header_names,
        core.caller_service,
        core.table is not None and core.table.customers.has_customers,
    )
    request.head = head
    if core.is_refusing:
        raise RequestRejected(503, "this daemon stops")
    table: RelayTable | None = core.table
    if table is None:
        return
    request.route = table.find(head.host, head.path)
    request.version = table.version
    if request.route is None:
        raise RequestRejected(404, "no route")
    core.admission.identify(table, request.route, head)
