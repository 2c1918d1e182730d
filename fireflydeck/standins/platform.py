"""Stand-in for the platform: table service, object store and VM list over HTTP, with faults."""

from collections.abc import Awaitable, Callable

from attrs import evolve, frozen
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fireflydeck.core import Clock
from fireflydeck.core.converter import to_plain
from fireflydeck.standins.answers import NoAnswer, StreamClosingApp
from fireflydeck.standins.json_requests import read_object, read_update
from fireflydeck.standins.lagging_vm_list import LaggingVmList
from fireflydeck.standins.memory_tables import MemoryTables
from fireflydeck.standins.token_bucket import TokenBucket
from fireflydeck.tables import Check, Delete, ListedVm, Put, Row, Transaction

__all__ = ["PlatformFaults", "PlatformStandIn"]

_DEFAULT_READS_PER_S = 2_000
_DEFAULT_WRITES_PER_S = 600
_DEFAULT_LAG_MS = 3_000
_DEFAULT_SCAN_LIMIT = 1_000
_RETRY_AFTER_S = "1"

_Endpoint = Callable[[Request], Awaitable[Response]]


@frozen(kw_only=True)
class PlatformFaults:
    """Faults of the platform stand-in.

    Parameters
    ----------
    outage
        Respond to every call with 503, without effect.
    delay_ms
        Time before a call takes effect; it does so even if its caller has given up by then.
    lose_answers
        Number of upcoming transactions that take effect but get no response.
    reads_per_s, writes_per_s
        Rates above which calls get a 429.
    malformed
        Respond to every call, after its effect, with a body that is not JSON.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    reads_per_s: int = _DEFAULT_READS_PER_S
    writes_per_s: int = _DEFAULT_WRITES_PER_S
    malformed: bool = False


@frozen(kw_only=True)
class _VmListBody:
    vms: tuple[ListedVm, ...]


@frozen(kw_only=True)
class _TransactionBody:
    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


@frozen(kw_only=True)
class _Counters:
    reads: int = 0
    writes: int = 0
    limited: int = 0
    refused: int = 0


class PlatformStandIn:
    """State and HTTP application of the platform.

    Parameters
    ----------
    clock
        Source of time.
    lag_ms
        Time until a change of the VM list becomes visible.
    """

    def __init__(self, clock: Clock, *, lag_ms: int = _DEFAULT_LAG_MS) -> None:
        self._clock = clock
        self._tables = MemoryTables()
        self._objects: dict[str, bytes] = {}
        self._vm_list = LaggingVmList(clock, lag_ms)
        self._faults = PlatformFaults()
        self._counters = _Counters()
        self._read_bucket = TokenBucket(self._faults.reads_per_s, clock)
        self._write_bucket = TokenBucket(self._faults.writes_per_s, clock)
        self._app = StreamClosingApp(self._make_app())

    @property
    def app(self) -> StreamClosingApp:
        """The ASGI application."""
        return self._app

    @property
    def tables(self) -> MemoryTables:
        """The tables of the table service."""
        return self._tables

    @property
    def vm_list(self) -> LaggingVmList:
        """The VM list."""
        return self._vm_list

    @property
    def faults(self) -> PlatformFaults:
        """The active faults."""
        return self._faults

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the active faults; a changed rate starts with a full token bucket."""
        if faults.reads_per_s != self._faults.reads_per_s:
            self._read_bucket = TokenBucket(faults.reads_per_s, self._clock)
        if faults.writes_per_s != self._faults.writes_per_s:
            self._write_bucket = TokenBucket(faults.writes_per_s, self._clock)
        self._faults = faults

    def _make_app(self) -> Starlette:
        read, write = self._as_read, self._as_write
        rows = "/tables/{table}/rows"
        return Starlette(
            routes=[
                Route("/faults", self._put_faults, methods=["PUT"]),
                Route("/faults", self._get_faults, methods=["GET"]),
                Route("/counters", self._get_counters, methods=["GET"]),
                Route(rows, read(self._scan), methods=["GET"]),
                Route(rows + "/{key:path}", read(self._get_row), methods=["GET"]),
                Route("/transactions", write(self._commit), methods=["POST"]),
                Route("/objects", read(self._list_objects), methods=["GET"]),
                Route("/objects/{key:path}", write(self._put_object), methods=["PUT"]),
                Route("/objects/{key:path}", read(self._get_object), methods=["GET"]),
                Route("/vms", read(self._get_vms), methods=["GET"]),
                Route("/vms", self._put_vms, methods=["PUT"]),
            ]
        )

    def _as_read(self, endpoint: _Endpoint) -> _Endpoint:
        async def handle(request: Request) -> Response:
            self._counters = evolve(self._counters, reads=self._counters.reads + 1)
            return await self._with_faults(endpoint, request, self._read_bucket)

        return handle

    def _as_write(self, endpoint: _Endpoint) -> _Endpoint:
        async def handle(request: Request) -> Response:
            self._counters = evolve(self._counters, writes=self._counters.writes + 1)
            return await self._with_faults(endpoint, request, self._write_bucket)

        return handle

    async def _with_faults(
        self, endpoint: _Endpoint, request: Request, bucket: TokenBucket
    ) -> Response:
        if self._faults.outage:
            self._counters = evolve(self._counters, refused=self._counters.refused + 1)
            return Response(status_code=503)
        if not bucket.take():
            self._counters = evolve(self._counters, limited=self._counters.limited + 1)
            return Response(status_code=429, headers={"retry-after": _RETRY_AFTER_S})
        if self._faults.delay_ms:
            await self._clock.sleep_ms(self._faults.delay_ms)
        response = await endpoint(request)
        return Response(b"{malformed") if self._faults.malformed else response

    async def _get_faults(self, _: Request) -> Response:
        return JSONResponse(to_plain(self._faults))

    async def _put_faults(self, request: Request) -> Response:
        self.set_faults(await read_update(request, self._faults))
        return JSONResponse(to_plain(self._faults))

    async def _get_counters(self, _: Request) -> Response:
        return JSONResponse(to_plain(self._counters))

    async def _get_row(self, request: Request) -> Response:
        row = self._tables.get(request.path_params["table"], request.path_params["key"])
        if row is None:
            return Response(status_code=404)
        return JSONResponse({"version": row.version, "value": row.value})

    async def _scan(self, request: Request) -> Response:
        query = request.query_params
        try:
            limit = int(query.get("limit", _DEFAULT_SCAN_LIMIT))
        except ValueError:
            return Response("limit is not a number", status_code=400)
        rows = self._tables.scan(
            request.path_params["table"],
            prefix=query.get("prefix", ""),
            after=query.get("after", ""),
            limit=max(0, limit),
        )
        return JSONResponse({"rows": [_plain_row(row) for row in rows]})

    async def _commit(self, request: Request) -> Response:
        body = await read_object(request, _TransactionBody)
        failed = self._tables.commit(
            Transaction(checks=body.checks, puts=body.puts, deletes=body.deletes)
        )
        if self._faults.lose_answers > 0:
            self._faults = evolve(self._faults, lose_answers=self._faults.lose_answers - 1)
            return NoAnswer()
        if failed:
            return JSONResponse({"failed": [to_plain(check) for check in failed]}, 409)
        return JSONResponse({})

    async def _list_objects(self, request: Request) -> Response:
        prefix = request.query_params.get("prefix", "")
        keys = sorted(key for key in self._objects if key.startswith(prefix))
        return JSONResponse({"keys": keys})

    async def _put_object(self, request: Request) -> Response:
        self._objects[request.path_params["key"]] = await request.body()
        return Response()

    async def _get_object(self, request: Request) -> Response:
        content = self._objects.get(request.path_params["key"])
        if content is None:
            return Response(status_code=404)
        return Response(content, media_type="application/octet-stream")

    async def _get_vms(self, _: Request) -> Response:
        return JSONResponse({"vms": [to_plain(vm) for vm in self._vm_list.vms()]})

    async def _put_vms(self, request: Request) -> Response:
        if self._faults.outage:
            return Response(status_code=503)
        body = await read_object(request, _VmListBody)
        self._vm_list.replace(body.vms)
        return Response()


def _plain_row(row: Row) -> dict[str, object]:
    return {"key": row.key, "version": row.version, "value": row.value}
