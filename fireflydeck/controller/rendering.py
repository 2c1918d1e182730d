"""JSON forms of the answers of the operator interface."""

from typing import Any

from fireflydeck.controller.edit import Refusal
from fireflydeck.controller.edits import KEY_ID_LENGTH
from fireflydeck.core import Configuration, Entity, EntityKey, Organisation, Ran, Reason
from fireflydeck.core.converter import to_plain
from fireflydeck.sheet import Plan, Step

__all__ = [
    "PROBLEM_TYPE",
    "http_status",
    "render_configuration",
    "render_one",
    "render_plan",
    "render_problems",
    "render_refusal",
]

PROBLEM_TYPE = "application/problem+json"

_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_KEY: 401,
    Reason.WRONG_KEY: 401,
    Reason.NOT_FOUND: 404,
    Reason.CONFLICT: 409,
    Reason.BUDGET: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.INVALID_CHANGE: 422,
    Reason.TOO_MANY_REQUESTS: 429,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.STALE_CONFIGURATION: 503,
    Reason.NOT_READY: 503,
    Reason.STOPPING: 503,
}
_INTERNAL_STATUS = 500
_TITLES = {
    Reason.INVALID_CHANGE: "The change is not allowed",
    Reason.BUDGET: "The change would break an availability budget",
    Reason.CONFLICT: "Something else changed first",
    Reason.STORE_UNAVAILABLE: "The platform's table service does not answer",
}


def http_status(reason: Reason) -> int:
    """Return the HTTP status of a refusal for this reason."""
    return _STATUS_BY_REASON.get(reason, _INTERNAL_STATUS)


def render_refusal(refusal: Refusal) -> dict[str, Any]:
    """Return the members of a refusal's problem document (RFC 9457)."""
    failure = refusal.failure
    document: dict[str, Any] = {
        "type": f"urn:fireflydeck:{failure.reason}",
        "title": _TITLES.get(failure.reason, failure.reason.replace("-", " ")),
        "status": http_status(failure.reason),
        "detail": failure.detail,
        "reason": failure.reason,
        "ran": failure.ran,
        "retry_after_ms": failure.retry_after_ms,
        "step": failure.step,
        "peer": failure.peer,
    }
    problems = render_problems(refusal)
    if problems:
        document["problems"] = problems
    if refusal.conflict is not None:
        document["entity"] = str(refusal.conflict.entity)
        document["entity_version"] = refusal.conflict.entity_version
        document["expected_version"] = refusal.conflict.expected_version
    if failure.ran is Ran.UNKNOWN:
        document["title"] = "It is not known whether the change was made"
    return document


def render_problems(refusal: Refusal) -> list[dict[str, Any]]:
    """Return the row, column, value and allowed values of every problem.

    The row is 0 for a problem that is not in a sheet.
    """
    by_row = [to_plain(problem) for problem in refusal.row_problems]
    by_entity = [
        {
            "row": 0,
            "entity": str(problem.entity),
            "column": problem.field,
            "value": problem.value,
            "allowed": problem.allowed,
        }
        for problem in refusal.problems
    ]
    return by_row + by_entity


def render_configuration(configuration: Configuration, kind: str = "") -> dict[str, Any]:
    """Return the entities of a kind, or of all kinds, without the hashes of API keys."""
    rendered = [
        _render_entity(entity, version)
        for entity, version in configuration.entities()
        if kind in ("", entity.kind)
    ]
    rendered.sort(key=lambda entity: (entity["kind"], entity["name"]))
    return {"version": configuration.version, "entities": rendered}


def render_one(configuration: Configuration, key: EntityKey) -> dict[str, Any] | None:
    """Return one entity without hashes of API keys, or `None` if it does not exist."""
    entity = configuration.find(key)
    return _render_entity(entity, configuration.entity_version(key)) if entity else None


def _render_entity(entity: Entity, version: int) -> dict[str, Any]:
    plain = to_plain(entity, Entity)
    if isinstance(entity, Organisation):
        del plain["key_hashes"]
        plain["key_ids"] = [item[:KEY_ID_LENGTH] for item in entity.key_hashes]
    return {**plain, "entity_version": version}


def render_plan(plan: Plan) -> dict[str, Any]:
    """Return the versions and steps of a sheet's plan."""
    return {
        "base_version": plan.base_version,
        "sheet_version": plan.sheet_version,
        "steps": [_render_step(step) for step in plan.steps],
    }


def _render_step(step: Step) -> dict[str, Any]:
    return {
        "step": step.kind,
        "kind": step.key.kind,
        "name": step.key.name,
        "row": step.row,
        "fields": list(step.fields),
        "entity_version": step.entity_version,
    }
