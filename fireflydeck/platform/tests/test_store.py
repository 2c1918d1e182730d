"""Client of the row store: reads, commits, changes and each fault of the store."""

from time import monotonic

import anyio
import pytest
from aiohttp import web

from fireflydeck.core import Ran, Reason
from fireflydeck.core.rows import RowCondition, RowKey, RowTransaction, RowWrite
from fireflydeck.platform.standin import HttpFault, StoreApp
from fireflydeck.platform.store import PlatformStore
from fireflydeck.platform.tests.local_server import local_server

pytestmark = pytest.mark.anyio

_KEY = RowKey("t", "p", "k")
_INSERT = RowTransaction(conditions=(RowCondition(_KEY, 0),), writes=(RowWrite(_KEY, b"\x00v"),))
_TIMEOUT_MS = 300


class _SlowLinkProxy:
    """Forwards long answers of a store in parts with pauses, or stalls after some of the parts."""

    def __init__(self, app):
        self.app = app
        self.stalls_after_parts = None

    async def handle(self, request):
        answer = await self.app.handle(request)
        if len(answer.body) < 4000:
            return answer
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.content_length = len(answer.body)
        await response.prepare(request)
        for number, first in enumerate(range(0, len(answer.body), 4000)):
            if number == self.stalls_after_parts:
                await anyio.sleep(30)
            await response.write(answer.body[first : first + 4000])
            await anyio.sleep(0.1)
        return response


async def test_insert_read_and_conflict():
    app = StoreApp()
    async with local_server(app.handle) as address:
        store = PlatformStore(address)
        assert (await store.commit(_INSERT, timeout_ms=_TIMEOUT_MS)).ok == 1
        assert (await store.commit(_INSERT, timeout_ms=_TIMEOUT_MS)).error.reason == Reason.CONFLICT
        read = (await store.read("t", "p", timeout_ms=_TIMEOUT_MS)).ok
        assert [(row.id, row.value, row.version) for row in read.rows] == [(_KEY, b"\x00v", 1)]
        await store.close()


async def test_read_follows_pages():
    app = StoreApp()
    app.page_size = 2
    for name in "abcde":
        write = RowWrite(RowKey("t", "p", name), name.encode())
        app.rows.commit(RowTransaction(writes=(write,)))
    async with local_server(app.handle) as address:
        store = PlatformStore(address)
        rows = (await store.read("t", "p", first="b", before="e", timeout_ms=_TIMEOUT_MS)).ok.rows
        assert [row.id.key for row in rows] == ["b", "c", "d"]
        await store.close()


async def test_long_answer_over_a_slow_link_is_read_to_its_end():
    app = StoreApp()
    writes = tuple(RowWrite(RowKey("t", "p", f"{number:03}"), b"x" * 200) for number in range(60))
    app.rows.commit(RowTransaction(writes=writes))
    async with local_server(_SlowLinkProxy(app).handle) as address:
        store = PlatformStore(address)
        for _ in range(3):
            await store.read("t", "p", first="000", before="001", timeout_ms=2000)
        read = await store.read("t", "p", timeout_ms=2000)
        assert len(read.ok.rows) == 60
        await store.close()


async def test_long_answer_that_stops_is_given_up_soon():
    app = StoreApp()
    writes = tuple(RowWrite(RowKey("t", "p", f"{number:03}"), b"x" * 200) for number in range(60))
    app.rows.commit(RowTransaction(writes=writes))
    link = _SlowLinkProxy(app)
    async with local_server(link.handle) as address:
        store = PlatformStore(address)
        for _ in range(3):
            await store.read("t", "p", first="000", before="001", timeout_ms=2000)
        link.stalls_after_parts = 2
        started_s = monotonic()
        read = await store.read("t", "p", timeout_ms=10_000)
        assert read.error.ran == Ran.UNKNOWN
        assert monotonic() - started_s < 5
        await store.close()


@pytest.mark.parametrize("body", [b"\xff{", b"{}", b'{"row_version": 3}', b'{"rows": []}'])
async def test_read_without_rows_or_version_is_no_empty_table(body):
    """A malformed answer must not be read as an empty table.

    Callers were told that their jobs are unknown after such an answer.
    """

    async def handle(_):
        return web.Response(body=body, content_type="application/json")

    async with local_server(handle) as address:
        store = PlatformStore(address)
        read = await store.read("t", "p", timeout_ms=_TIMEOUT_MS)
        assert read.error.reason == Reason.ANSWER_INVALID
        changes = await store.read_changes("t", after=1, wait_ms=1)
        assert changes.error.reason == Reason.ANSWER_INVALID
        await store.close()


async def test_changes_come_in_order_with_removals():
    app = StoreApp()
    async with local_server(app.handle) as address:
        store = PlatformStore(address)
        await store.commit(_INSERT, timeout_ms=_TIMEOUT_MS)
        await store.commit(RowTransaction(removals=(_KEY,)), timeout_ms=_TIMEOUT_MS)
        changes = (await store.read_changes("t", after=0, wait_ms=50)).ok
        assert [(row.version, row.deleted) for row in changes.rows] == [(1, False), (2, True)]
        assert (await store.read_changes("t", after=2, wait_ms=1)).ok.rows == ()
        await store.close()


async def test_forgotten_history():
    app = StoreApp()
    app.rows.commit(_INSERT)
    app.rows.forget_history()
    async with local_server(app.handle) as address:
        store = PlatformStore(address)
        result = await store.read_changes("t", after=0, wait_ms=1)
        assert result.error.reason == Reason.NOT_FOUND
        await store.close()


@pytest.mark.parametrize(
    ("fault", "reason", "ran", "is_stored"),
    [
        (HttpFault.BUSY, Reason.TOO_MANY_REQUESTS, Ran.NO, False),
        (HttpFault.UNAVAILABLE, Reason.STORE_UNAVAILABLE, Ran.NO, False),
        (HttpFault.ANSWER_LOST, Reason.STORE_UNAVAILABLE, Ran.UNKNOWN, True),
        (HttpFault.RESET, Reason.STORE_UNAVAILABLE, Ran.UNKNOWN, False),
        (HttpFault.SILENT, Reason.STORE_UNAVAILABLE, Ran.UNKNOWN, False),
        (HttpFault.GARBAGE, Reason.ANSWER_INVALID, Ran.UNKNOWN, False),
    ],
)
async def test_commit_with_a_fault(fault, reason, ran, is_stored):
    app = StoreApp()
    app.faults.next = [fault]
    async with local_server(app.handle) as address:
        store = PlatformStore(address)
        failure = (await store.commit(_INSERT, timeout_ms=_TIMEOUT_MS)).error
        assert (failure.reason, failure.ran, failure.step) == (reason, ran, "store.commit")
        assert failure.peer == address
        assert (app.rows.get(_KEY) is not None) == is_stored
        again = await store.commit(_INSERT, timeout_ms=_TIMEOUT_MS)
        assert again.is_ok() != is_stored
        await store.close()


async def test_store_that_can_not_be_reached():
    async with local_server(StoreApp().handle) as address:
        pass
    store = PlatformStore(address)
    failure = (await store.commit(_INSERT, timeout_ms=_TIMEOUT_MS)).error
    assert (failure.reason, failure.ran) == (Reason.STORE_UNAVAILABLE, Ran.NO)
    await store.close()
