"""Client of the placement advisor: tickets, refusals and unreadable answers."""

import orjson
import pytest
from aiohttp import web

from fireflydeck.core import Ran, Reason
from fireflydeck.core.advisor import Advice
from fireflydeck.platform.advisor_client import AdvisorClient
from fireflydeck.platform.tests.local_server import local_server

pytestmark = pytest.mark.anyio


async def _request_advice(status, body):
    received = []

    async def handle(request):
        received.append((request.path, orjson.loads(await request.read())))
        return web.Response(status=status, body=body, content_type="application/json")

    async with local_server(handle) as address:
        client = AdvisorClient(address)
        result = await client.advise("a.0.1", ["i-1", "i-2"], timeout_ms=500)
    return received, result


async def test_tickets():
    received, result = await _request_advice(200, b'{"good":[["i-1","c8"]],"validity_ms":3000}')
    assert received == [("/-/advise", {"step": "a.0.1", "workers": ["i-1", "i-2"]})]
    assert result.ok == Advice({"i-1": "c8"}, 3000)


@pytest.mark.parametrize(
    ("status", "body", "reason"),
    [
        (429, b"{}", Reason.TOO_MANY_REQUESTS),
        (200, b"{}", Reason.ANSWER_INVALID),
        (200, b'{"good":[["i-1"]]}', Reason.ANSWER_INVALID),
        (200, b"not json", Reason.ANSWER_INVALID),
    ],
)
async def test_refusals_and_unreadable_answers(status, body, reason):
    _, result = await _request_advice(status, body)
    assert (result.error.reason, result.error.ran) == (reason, Ran.NO)
