"""The OpenAPI description, generated from the route table and the message types."""

from typing import Any

import msgspec

from godwitpass.administration import Problem
from godwitpass_daemon.admin.endpoints import ENDPOINTS, Endpoint, Parameter

OPENAPI_VERSION = "3.1.0"
REASONS = {
    400: "Malformed request",
    401: "Token missing or wrong",
    404: "Not found",
    408: "Body too slow",
    409: "Another change came first",
    413: "Body too large",
    422: "Invalid document",
    500: "Fault of the daemon",
    503: "Store or version not available, or too busy; ask again",
}


def describe_api(version: str) -> dict[str, Any]:
    """Return the OpenAPI description of release `version`."""
    kinds = {kind for item in ENDPOINTS for kind in (item.body, item.result) if kind is not None}
    ordered = sorted(kinds | {Problem}, key=lambda kind: kind.__name__)
    references, schemas = msgspec.json.schema_components(
        ordered, ref_template="#/components/schemas/{name}"
    )
    by_type = dict(zip(ordered, references, strict=True))
    paths: dict[str, Any] = {}
    for endpoint in ENDPOINTS:
        operation = _describe_operation(endpoint, by_type)
        paths.setdefault(endpoint.path, {})[endpoint.method.lower()] = operation
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": "godwitpass administration API", "version": version},
        "paths": paths,
        "components": {
            "schemas": schemas,
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def _describe_operation(endpoint: Endpoint, references: dict[Any, Any]) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "operationId": endpoint.handler.__name__,
        "summary": endpoint.handler.__doc__,
        "responses": _describe_responses(endpoint, references),
    }
    if endpoint.parameters:
        operation["parameters"] = [_describe_parameter(item) for item in endpoint.parameters]
    if endpoint.body is not None:
        content = {"application/json": {"schema": references[endpoint.body]}}
        operation["requestBody"] = {"required": True, "content": content}
    if not endpoint.is_open:
        operation["security"] = [{"token": []}]
    return operation


def _describe_responses(endpoint: Endpoint, references: dict[Any, Any]) -> dict[str, Any]:
    if endpoint.result is None:
        content: dict[str, Any] = {"text/plain": {"schema": {"type": "string"}}}
    else:
        content = {"application/json": {"schema": references[endpoint.result]}}
    responses: dict[str, Any] = {"200": {"description": "Done", "content": content}}
    refused = {"application/json": {"schema": references[Problem]}}
    # Any endpoint may fail or be too busy, and any but the open ones asks for the token.
    statuses = {*endpoint.problems, 500, 503, *(() if endpoint.is_open else (401,))}
    for status in sorted(statuses):
        responses[str(status)] = {"description": REASONS[status], "content": refused}
    return responses


def _describe_parameter(parameter: Parameter) -> dict[str, Any]:
    return {
        "name": parameter.name,
        "in": parameter.place,
        "description": parameter.summary,
        "required": False,
        "schema": {"type": "integer" if parameter.is_number else "string"},
    }
