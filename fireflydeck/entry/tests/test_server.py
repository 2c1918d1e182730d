"""Planned stop of the HTTP server for callers."""

import socket

import anyio
import pytest

from fireflydeck.core import SystemClock
from fireflydeck.entry.caller_request import CallerAnswer
from fireflydeck.entry.request_log import RequestLog
from fireflydeck.entry.server import CallerServer
from fireflydeck.kernel import Metrics, Registry
from fireflydeck.testing.ports import free_address
from fireflydeck.testing.recording_log import RecordingLog

pytestmark = pytest.mark.anyio

_REQUEST = b"GET /swatch/ HTTP/1.1\r\nHost: paint.example\r\n\r\n"


class _Operators:
    configuration = None


class _Interface:
    async def answer(self, request):
        return CallerAnswer(200, b"{}")


class _BusyProcessClock(SystemClock):
    """Clock of a busy process, which accepts no connection at the end of the drain.

    A caller connects in the first sleep, which returns at once.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self.caller = None

    async def sleep_ms(self, duration_ms):
        if self.caller is None:
            self.caller = socket.create_connection(self.address)
            self.caller.sendall(_REQUEST)
            return
        await super().sleep_ms(duration_ms)


async def test_connection_that_was_not_accepted_yet_is_served_at_the_stop():
    """Guard against a reset of connections that wait to be accepted when the listener closes."""
    address = free_address()
    clock = _BusyProcessClock(address)
    log = RecordingLog()
    server = CallerServer(
        address,
        _Interface(),
        operators=_Operators(),
        clock=clock,
        log=log,
        request_log=RequestLog(_Operators(), log, Metrics()),
    )
    async with anyio.create_task_group() as tasks:
        await server.start(Registry(), tasks)
        await server.stop()
    clock.caller.settimeout(2)
    with clock.caller:
        assert clock.caller.recv(4096).startswith(b"HTTP/1.1 200")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(clock.address)
