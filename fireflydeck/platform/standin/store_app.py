"""HTTP interface of an in-memory row store."""

import base64
from typing import Any

import anyio
import orjson
from aiohttp import web

from fireflydeck.core.rows import RowCondition, RowKey, RowTransaction, RowWrite, StoredRow
from fireflydeck.platform.standin.http_fault import HttpFaults
from fireflydeck.standins.memory_rows import MemoryRows

__all__ = ["StoreApp"]

_POLL_S = 0.01
_MS_PER_S = 1000


class StoreApp:
    """Request handler for the row calls of the platform's store.

    Attributes
    ----------
    rows
        Content of the store.
    faults
        Faults of the next calls.
    page_size
        Maximum number of rows in one answer.
    """

    def __init__(self, rows: MemoryRows | None = None) -> None:
        self.rows = rows or MemoryRows()
        self.faults = HttpFaults()
        self.page_size = 500

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        return await self.faults.serve(request, self._answer)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/-/rows-tx":
            return self._commit(orjson.loads(await request.read()))
        if request.path == "/-/rows-get":
            return self._read(request.query)
        if request.path == "/-/rows-feed":
            return await self._poll_changes(request.query)
        return web.Response(status=404)

    def _commit(self, body: dict[str, Any]) -> web.Response:
        transaction = RowTransaction(
            conditions=tuple(
                RowCondition(_key(item), item["row_version"]) for item in body["expected_revision"]
            ),
            writes=tuple(
                RowWrite(_key(item), base64.b64decode(item["value"])) for item in body["upserts"]
            ),
            removals=tuple(_key(item) for item in body["remove"]),
        )
        failed = self.rows.commit(transaction)
        if failed:
            current = [self.rows.get(condition.id) for condition in failed]
            return _json({"rows": [_encode(row) for row in current if row]}, status=412)
        return _json({"row_version": self.rows.version, "now_ms": 0})

    def _read(self, query: Any) -> web.Response:
        found = self.rows.read(
            query["table"], query["part"], query.get("from", ""), query.get("target", "")
        )
        limit = min(self.page_size, int(query.get("limit", self.page_size)))
        return _json(
            {
                "rows": [_encode(row) for row in found.rows[:limit]],
                "has_more": len(found.rows) > limit,
                "row_version": found.version,
                "now_ms": 0,
            }
        )

    async def _poll_changes(self, query: Any) -> web.Response:
        with anyio.move_on_after(int(query["wait_ms"]) / _MS_PER_S):
            while True:
                changes = self.rows.changes(query["table"], int(query["depends_on"]))
                if changes is None:
                    return web.Response(status=410)
                if changes.rows:
                    break
                await anyio.sleep(_POLL_S)
        rows = [_encode(row) for row in changes.rows]
        return _json({"rows": rows, "row_version": changes.version, "now_ms": 0})


def _key(item: dict[str, Any]) -> RowKey:
    return RowKey(item["table"], item["part"], item["key"])


def _encode(row: StoredRow) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "table": row.id.table,
        "part": row.id.partition,
        "key": row.id.key,
        "row_version": row.version,
    }
    if row.deleted:
        encoded["deleted"] = True
    else:
        encoded["value"] = base64.b64encode(row.value).decode()
    return encoded


def _json(body: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(status=status, body=orjson.dumps(body), content_type="application/json")
