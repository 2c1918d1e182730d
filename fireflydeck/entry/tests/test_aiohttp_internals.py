"""Private attributes of aiohttp and asyncio on which the limits on clients depend.

Guards against a version of the library in which an attribute is missing or without effect, so that
a limit would silently not hold.
"""

import asyncio
import socket

import pytest
from aiohttp import web

from fireflydeck.entry.aiohttp_internals import (
    has_parse_error,
    is_waiting_for_request,
    limit_read_size,
    limit_requests_ahead,
    newest_body,
    parsed_requests,
    queued_requests,
)

pytestmark = pytest.mark.anyio

_REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"


class _Protocol(web.RequestHandler):
    """Protocol that records what the accessors return after each read."""

    __slots__ = ("largest_read", "most_queued", "seen")

    def __init__(self, server, loop, requests_ahead):
        super().__init__(server, loop=loop)
        self.seen = []
        self.most_queued = self.largest_read = 0
        limit_requests_ahead(self, loop, requests=requests_ahead, read_bufsize=1024)

    def connection_made(self, transport):
        limit_read_size(transport, 512)
        super().connection_made(transport)

    def data_received(self, data):
        self.largest_read = max(self.largest_read, len(data))
        super().data_received(data)
        self.most_queued = max(self.most_queued, queued_requests(self))
        is_complete = bool(queued_requests(self)) and newest_body(self).is_eof()
        self.seen.append((parsed_requests(self), is_complete, has_parse_error(self)))


async def _connect(requests_ahead=2):
    """Return a protocol whose handler waits for the event that is returned, and its client."""
    release = asyncio.Event()

    async def handle(_):
        await release.wait()
        return web.Response()

    loop = asyncio.get_running_loop()
    server = web.Server(handle)
    client, accepted = socket.socketpair()
    accepted.setblocking(False)
    client.setblocking(False)
    protocol = _Protocol(server, loop, requests_ahead)
    await loop.connect_accepted_socket(lambda: protocol, accepted)
    await asyncio.sleep(0.01)
    return protocol, client, release


async def test_queue_of_requests_is_bounded():
    protocol, client, release = await _connect(requests_ahead=2)
    with client:
        assert is_waiting_for_request(protocol)
        client.send(_REQUEST * 50)
        await asyncio.sleep(0.05)
        assert not is_waiting_for_request(protocol)
        assert protocol.most_queued <= 3
        assert parsed_requests(protocol) <= 4
        assert 0 < protocol.largest_read <= 512
        release.set()
        await asyncio.sleep(0.1)
        assert parsed_requests(protocol) == 50
        assert is_waiting_for_request(protocol)
    protocol.force_close()


async def test_state_of_the_newest_request_is_seen():
    protocol, client, release = await _connect()
    with client:
        client.send(_REQUEST[:-1])
        await asyncio.sleep(0.02)
        assert protocol.seen[-1] == (1, False, False)
        client.send(_REQUEST[-1:] + b"bad\r\n\r\n")
        await asyncio.sleep(0.02)
        assert protocol.seen[-1] == (2, True, True)
        release.set()
    protocol.force_close()
