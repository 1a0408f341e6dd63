"""Configurations of the operator, and the requests of clients."""

from typing import Any

from stand_ins_3.http import encode

HOST = "shop.example"


def build_route(prefix: str, service: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route."""
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "type": kind,
        "timeout": "4000ms",
        "targetLatency": "800ms",
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **changes,
    }


def build_configuration(
    version: int, routes: dict[str, Any], tenants: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Return a configuration with the services `desk` and `vault`."""
    service = {"healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}
    configuration: dict[str, Any] = {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {"desk": service, "vault": service},
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_048_576,
            "headerTimeout": "3s",
            "idleTimeout": "20s",
        },
    }
    if tenants is not None:
        configuration["tenants"] = tenants
    return configuration


def encode_request(
    path: str, attempt_id: str, timeout_ms: int = 4_000, method: str = "GET", key: str = ""
) -> bytes:
    """Encode a request of a client; one with POST has a short body."""
    headers = {
        "Host": HOST,
        "X-Godwitpass-Attempt-Id": attempt_id,
        "X-Godwitpass-Timeout-Ms": str(timeout_ms),
    }
    if key:
        headers["Authorization"] = f"Token {key}"
    return encode(f"{method} {path} HTTP/1.1", headers, b"order" if method == "POST" else b"")
