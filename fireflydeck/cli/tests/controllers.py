"""Two controllers with one store, reached through transports that inject faults."""

from enum import StrEnum

import anyio
import httpx

from fireflydeck.cli.ctl import Ctl
from fireflydeck.cli.ctl_client import ControllerClient
from fireflydeck.controller import OperatorOptions, operator_app
from fireflydeck.controller.tests.operator import KEY, OperatorSite

ADDRESSES = ("10.0.0.1:8090", "10.0.0.2:8090")


class Fault(StrEnum):
    """Fault of one HTTP exchange."""

    NOT_SENT = "not-sent"
    LOST_BEFORE_EFFECT = "lost-before-effect"
    LOST_AFTER_EFFECT = "lost-after-effect"
    GARBAGE_AFTER_EFFECT = "garbage-after-effect"
    LATE_EFFECT = "late-effect"


class FaultTransport(httpx.AsyncBaseTransport):
    """Transport to an application that injects `next_faults` into the next changes, in order."""

    def __init__(self, app):
        self._inner = httpx.ASGITransport(app)
        self.next_faults: list[Fault | None] = []
        self.down = False
        self.sent_changes = 0
        self._late_requests = []

    async def handle_async_request(self, request):
        if self.down:
            raise httpx.ConnectError("connection refused")
        if request.method == "GET" or request.url.path.endswith(("/plan", "/check")):
            return await self._inner.handle_async_request(request)
        fault = self.next_faults.pop(0) if self.next_faults else None
        if fault is Fault.NOT_SENT:
            raise httpx.ConnectTimeout("no answer to the connection")
        self.sent_changes += 1
        # A delayed request arrives right before the next one.
        for late in self._late_requests:
            await self._inner.handle_async_request(late)
        self._late_requests = []
        if fault is Fault.LATE_EFFECT:
            self._late_requests.append(request)
            raise httpx.ReadTimeout("")
        if fault is Fault.LOST_BEFORE_EFFECT:
            raise httpx.ReadTimeout("")
        answer = await self._inner.handle_async_request(request)
        if fault is Fault.LOST_AFTER_EFFECT:
            raise httpx.RemoteProtocolError("connection closed")
        if fault is Fault.GARBAGE_AFTER_EFFECT:
            return httpx.Response(502, text="<html>")
        return answer


class ControllerSite(OperatorSite):
    """Two controllers with one store."""

    def __init__(self):
        super().__init__()
        options = OperatorOptions(operator_key=KEY)
        self.transports = {
            address: FaultTransport(operator_app(self.controller(), options))
            for address in ADDRESSES
        }
        self.first, self.second = self.transports.values()

    @property
    def sent_changes(self):
        """Return the number of changes that were sent."""
        return sum(transport.sent_changes for transport in self.transports.values())

    def ctl_client(self, key=KEY):
        return ControllerClient(ADDRESSES, key, self.transports)

    def ctl(self, as_json=False, key=KEY):
        return Ctl(self.ctl_client(key), as_json)


def make_site():
    site = ControllerSite()
    anyio.run(site.fill)
    return site
