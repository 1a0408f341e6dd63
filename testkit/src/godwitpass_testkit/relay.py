"""Names that tests of the relay and the load model give to its headers."""

from godwitpass_daemon.relay.headers import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id=b"x-request-id",
    timeout_ms=b"x-timeout-ms",
    target=b"x-target",
    caller_service=b"x-caller-service",
    not_run=b"x-not-run",
    seal=b"x-seal",
    instance=b"x-instance",
    rate_limit=b"x-rate-limit",
    leaving=b"x-leaving",
    customer=b"x-customer",
)
