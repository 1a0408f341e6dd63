"""Generates the OpenAPI description from the route table and the message types."""

from typing import Any

import msgspec

from godwitpass.administration import Problem
from godwitpass_daemon.admin.endpoints import ENDPOINTS, Endpoint, Parameter

OPENAPI_VERSION = "3.1.0"
STATUS_DESCRIPTIONS = {
    400: "Malformed request",
    401: "Token missing or wrong",
    404: "Not found",
    408: "Body not received in time",
    409: "Another change was accepted first",
    413: "Body too large",
    422: "Invalid document",
    500: "Internal error of the daemon",
    503: "Store or version unavailable, or too many requests; retry later",
}


def describe_api(version: str) -> dict[str, Any]:
    """Return the OpenAPI description for release `version`."""
    struct_types = {
        struct_type
        for item in ENDPOINTS
        for struct_type in (item.body_type, item.result_type)
        if struct_type is not None
    }
    sorted_types = sorted(struct_types | {Problem}, key=lambda struct_type: struct_type.__name__)
    references, schemas = msgspec.json.schema_components(
        sorted_types, ref_template="#/components/schemas/{name}"
    )
    references_by_type = dict(zip(sorted_types, references, strict=True))
    paths: dict[str, Any] = {}
    for endpoint in ENDPOINTS:
        operation = _describe_operation(endpoint, references_by_type)
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
    if endpoint.body_type is not None:
        content = {"application/json": {"schema": references[endpoint.body_type]}}
        operation["requestBody"] = {"required": True, "content": content}
    if not endpoint.is_public:
        operation["security"] = [{"token": []}]
    return operation


def _describe_responses(endpoint: Endpoint, references: dict[Any, Any]) -> dict[str, Any]:
    if endpoint.result_type is None:
        content: dict[str, Any] = {"text/plain": {"schema": {"type": "string"}}}
    else:
        content = {"application/json": {"schema": references[endpoint.result_type]}}
    responses: dict[str, Any] = {"200": {"description": "Done", "content": content}}
    problem_content = {"application/json": {"schema": references[Problem]}}
    # Every endpoint may fail or be too busy, and every endpoint but the public ones needs a token.
    statuses = {*endpoint.error_statuses, 500, 503, *(() if endpoint.is_public else (401,))}
    for status in sorted(statuses):
        responses[str(status)] = {
            "description": STATUS_DESCRIPTIONS[status],
            "content": problem_content,
        }
    return responses


def _describe_parameter(parameter: Parameter) -> dict[str, Any]:
    return {
        "name": parameter.name,
        "in": parameter.location,
        "description": parameter.summary,
        "required": False,
        "schema": {"type": "integer" if parameter.is_number else "string"},
    }
