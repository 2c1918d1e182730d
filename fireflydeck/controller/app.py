"""HTTP application of the operator interface."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from expression import Ok, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fireflydeck.controller.changes import CommittedEdit, ConfigurationService
from fireflydeck.controller.edit import Edit, EditBuilder, Refusal
from fireflydeck.controller.edits import (
    drain_vm,
    fail_vm,
    move_vm,
    put_entity,
    remove_entity,
    return_vm,
    set_data_centre,
    with_expected_version,
)
from fireflydeck.controller.keys import grant_key, withdraw_organisation_key
from fireflydeck.controller.rendering import (
    render_configuration,
    render_one,
    render_plan,
    render_problems,
)
from fireflydeck.controller.requests import (
    OperatorAuthenticator,
    OperatorOptions,
    RefusedRequest,
    entity_key,
    if_version,
    on_http_error,
    read_object,
    read_text,
    refused_request,
)
from fireflydeck.controller.sheets import SheetService
from fireflydeck.core import ENTITY_TYPES, Configuration, DataCentre, EntityKey, Failure, Reason, Vm
from fireflydeck.core.converter import to_plain
from fireflydeck.kernel import EventLog
from fireflydeck.policy.maintenance_progress import PoolProgress
from fireflydeck.sheet import export_sheet

__all__ = ["Explain", "ProgressProvider", "operator_app"]

_CSV = "text/csv; charset=utf-8"
_SUBJECTS = ("request", "vm", "pool", "organisation", "maintenance_window")

Explain = Callable[[str, str], Awaitable[Result[list[dict[str, Any]], Failure]]]
"""Returns the decision records of the named subject, oldest first, as plain data."""

ProgressProvider = Callable[[], Sequence[PoolProgress]]
"""Returns the progress of periodic maintenance for each pool."""


async def _no_decision_records(subject: str, name: str) -> Result[list[dict[str, Any]], Failure]:
    return Ok([])


def operator_app(
    changes: ConfigurationService,
    options: OperatorOptions,
    explain: Explain = _no_decision_records,
    snapshot: Callable[[], Configuration] | None = None,
    log: EventLog | None = None,
    *,
    progress: ProgressProvider = tuple,
) -> Starlette:
    """Build the HTTP application of the operator interface.

    Parameters
    ----------
    changes
        Service that checks and commits the operators' changes.
    options
        Operator key and the limit of request bodies.
    explain
        Lookup of decision records; by default there are none.
    snapshot
        The newest configuration that this process knows. It is returned, marked as not fresh,
        while the store does not answer.
    log
        Event log of the process.
    progress
        Source of the progress of periodic maintenance.
    """
    interface = _OperatorInterface(changes, options, explain, snapshot, progress)
    authenticator = OperatorAuthenticator(options, log or EventLog())
    routes = [
        Route(path, authenticator.wrap(handler), methods=[method])
        for method, path, handler in interface.handlers()
    ]
    return Starlette(routes=routes, exception_handlers={404: on_http_error, 405: on_http_error})


class _OperatorInterface:
    """Request handlers of the operator interface."""

    def __init__(
        self,
        changes: ConfigurationService,
        options: OperatorOptions,
        explain: Explain,
        snapshot: Callable[[], Configuration] | None,
        progress: ProgressProvider,
    ) -> None:
        self._changes = changes
        self._sheets = SheetService(changes, changes.tables)
        self._max_body_bytes = options.max_body_bytes
        self._explain_subject = explain
        self._snapshot = snapshot
        self._progress = progress

    def handlers(self) -> list[tuple[str, str, Callable[[Request], Awaitable[Response]]]]:
        """Return the method, path and handler of each route."""
        entity = "/configuration/{kind}/{name}"
        return [
            ("GET", "/configuration", self._show),
            ("GET", "/configuration/{kind}", self._show),
            ("GET", entity, self._show_one),
            ("PUT", entity, self._put),
            ("DELETE", entity, self._remove),
            ("POST", "/organisations/{organisation}/keys", self._grant),
            ("DELETE", "/organisations/{organisation}/keys/{key_id}", self._withdraw),
            ("POST", "/data-centres/{name}/out", self._take_out),
            ("POST", "/data-centres/{name}/in", self._bring_in),
            ("POST", "/vms/{name}/drain", self._drain),
            ("POST", "/vms/{name}/return", self._return),
            ("POST", "/vms/{name}/fail", self._fail),
            ("POST", "/vms/{name}/move", self._move),
            ("GET", "/sheet", self._export_sheet),
            ("POST", "/sheet/check", self._check_sheet),
            ("POST", "/sheet/plan", self._plan_sheet),
            ("POST", "/sheet/apply", self._apply_sheet),
            ("GET", "/maintenance", self._maintenance),
            ("GET", "/explain/{subject}/{name:path}", self._explain),
        ]

    # Queries.

    async def _show(self, request: Request) -> Response:
        kind = request.path_params.get("kind", "")
        if kind and kind not in ENTITY_TYPES:
            raise refused_request(
                Reason.NOT_FOUND, f"no kind {kind!r}; one of {', '.join(ENTITY_TYPES)}"
            )
        configuration, fresh = await self._load()
        return JSONResponse({**render_configuration(configuration, kind), "fresh": fresh})

    async def _load(self) -> tuple[Configuration, bool]:
        loaded = await self._changes.load()
        if loaded.is_ok():
            return loaded.ok, True
        if self._snapshot is None:
            raise RefusedRequest(loaded.error)
        return self._snapshot(), False

    async def _explain(self, request: Request) -> Response:
        subject = request.path_params["subject"]
        if subject not in _SUBJECTS:
            allowed = ", ".join(_SUBJECTS)
            raise refused_request(
                Reason.NOT_FOUND, f"nothing to explain of {subject!r}; one of {allowed}"
            )
        found = await self._explain_subject(subject, request.path_params["name"])
        if found.is_error():
            raise RefusedRequest(Refusal(failure=found.error))
        return JSONResponse({"decisions": found.ok})

    async def _maintenance(self, request: Request) -> Response:
        return JSONResponse({"pools": [to_plain(item) for item in self._progress()]})

    # Single entities.

    async def _show_one(self, request: Request) -> Response:
        key = entity_key(request)
        configuration, fresh = await self._load()
        shown = render_one(configuration, key)
        if shown is None:
            raise refused_request(Reason.NOT_FOUND, f"{key} does not exist")
        plain = {"version": configuration.version, "entity": shown, "fresh": fresh}
        return JSONResponse(plain)

    async def _put(self, request: Request) -> Response:
        key = entity_key(request)
        body = await read_object(request, self._max_body_bytes)
        return await self._change(request, key, lambda base: put_entity(base, key, body))

    async def _remove(self, request: Request) -> Response:
        key = entity_key(request)
        return await self._change(request, key, lambda base: remove_entity(base, key))

    async def _change(self, request: Request, key: EntityKey, build: EditBuilder) -> Response:
        conditional_build = with_expected_version(key, if_version(request), build)
        committed = _unwrap(await self._changes.apply(conditional_build))
        return _committed_response(committed)

    # API keys.

    async def _grant(self, request: Request) -> Response:
        organisation = request.path_params["organisation"]
        granted = _unwrap(await grant_key(self._changes, organisation, if_version(request)))
        plain = {"key": granted.key, "key_id": granted.key_id, "version": granted.version}
        return JSONResponse(plain, 201, headers={"cache-control": "no-store"})

    async def _withdraw(self, request: Request) -> Response:
        organisation, key_id = request.path_params["organisation"], request.path_params["key_id"]
        result = await withdraw_organisation_key(
            self._changes, organisation, key_id, if_version(request)
        )
        return JSONResponse({"version": _unwrap(result)})

    # Data centres and VMs.

    async def _take_out(self, request: Request) -> Response:
        return await self._set_data_centre(request, False)

    async def _bring_in(self, request: Request) -> Response:
        return await self._set_data_centre(request, True)

    async def _set_data_centre(self, request: Request, in_service: bool) -> Response:
        key = EntityKey(DataCentre.kind, request.path_params["name"])
        return await self._change(
            request, key, lambda base: set_data_centre(base, key.name, in_service)
        )

    async def _drain(self, request: Request) -> Response:
        return await self._change_vm(request, drain_vm)

    async def _return(self, request: Request) -> Response:
        return await self._change_vm(request, return_vm)

    async def _fail(self, request: Request) -> Response:
        return await self._change_vm(request, fail_vm)

    async def _move(self, request: Request) -> Response:
        body = await read_object(request, self._max_body_bytes)
        pool = body.get("pool")
        if set(body) != {"pool"} or not isinstance(pool, str):
            raise refused_request(Reason.BAD_REQUEST, 'the body is {"pool": NAME}')
        return await self._change_vm(request, lambda base, name: move_vm(base, name, pool))

    async def _change_vm(
        self, request: Request, build_edit: Callable[[Configuration, str], Result[Edit, Refusal]]
    ) -> Response:
        key = EntityKey(Vm.kind, request.path_params["name"])
        return await self._change(request, key, lambda base: build_edit(base, key.name))

    # Sheets.

    async def _export_sheet(self, request: Request) -> Response:
        loaded = _unwrap(await self._changes.load())
        return Response(export_sheet(loaded), media_type=_CSV)

    async def _check_sheet(self, request: Request) -> Response:
        text = await read_text(request, self._max_body_bytes)
        planned = await self._sheets.plan(text)
        if planned.is_ok():
            return JSONResponse({"problems": []})
        if planned.error.failure.reason is Reason.INVALID_CHANGE:
            return JSONResponse({"problems": render_problems(planned.error)})
        raise RefusedRequest(planned.error)

    async def _plan_sheet(self, request: Request) -> Response:
        text = await read_text(request, self._max_body_bytes)
        plan = _unwrap(await self._sheets.plan(text))
        return JSONResponse(render_plan(plan))

    async def _apply_sheet(self, request: Request) -> Response:
        text = await read_text(request, self._max_body_bytes)
        applied = _unwrap(await self._sheets.apply(text))
        return JSONResponse({**render_plan(applied.plan), "version": applied.version})


def _unwrap(result: Result[Any, Refusal]) -> Any:
    if result.is_error():
        raise RefusedRequest(result.error)
    return result.ok


def _committed_response(committed: CommittedEdit) -> Response:
    return JSONResponse({"version": committed.version, "changed": committed.change is not None})
