"""HTTP interface of an in-memory list of VMs."""

from typing import Any

import orjson
from aiohttp import web

from fireflydeck.platform.standin.http_fault import HttpFaults

__all__ = ["VmApp"]


class VmApp:
    """Request handler for the platform's VM interface; it records orders without executing them.

    Attributes
    ----------
    vms
        Entries of the list in the platform's format, by VM name.
    orders
        Accepted orders, with the holder and the fencing token from their headers.
    refusals
        Reasons with which the next orders are refused, in order.
    page_size
        Maximum number of entries in one answer.
    faults
        Faults of the next calls.
    """

    def __init__(self) -> None:
        self.vms: dict[str, dict[str, Any]] = {}
        self.orders: list[dict[str, Any]] = []
        self.refusals: list[str] = []
        self.page_size = 100
        self.faults = HttpFaults()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        return await self.faults.serve(request, self._answer)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/-/machines":
            return self._list(int(request.query.get("page_token", "0")))
        body = orjson.loads(await request.read())
        if body.get("machine") not in self.vms:
            return web.Response(status=400)
        if self.refusals:
            return _json({"reason": self.refusals.pop(0)}, 409)
        holder = request.headers["X-Duty-Holder"]
        token = request.headers["X-Fencing-Token"]
        self.orders.append({**body, "holder": holder, "token": int(token)})
        return _json({}, 200)

    def _list(self, first: int) -> web.Response:
        entries = list(self.vms.values())
        page = entries[first : first + self.page_size]
        end = first + len(page)
        next_page_token = str(end) if end < len(entries) else None
        return _json({"machines": page, "next_page_token": next_page_token}, 200)


def _json(body: dict[str, Any], status: int) -> web.Response:
    return web.Response(status=status, body=orjson.dumps(body), content_type="application/json")
