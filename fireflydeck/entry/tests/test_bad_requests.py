"""Refusal of requests that are not valid HTTP or have fields that can't be read."""

import anyio
import pytest

from fireflydeck.core import Ran
from fireflydeck.entry.caller_request import CallerAnswer
from fireflydeck.entry.tests.interface_client import running_interface
from fireflydeck.kernel import Event
from fireflydeck.observation import OperatorDocuments
from fireflydeck.platform.job_documents import DEADLINE_HEADER, KEY_HEADER
from fireflydeck.platform.standin.documents import submission_document
from fireflydeck.testing.job_builders import JOB_ID
from fireflydeck.workload import job_key

pytestmark = pytest.mark.anyio

_BODY = submission_document("text", tasks=1)
_HOST = b"Host: paint.example"
_KEY = f"{KEY_HEADER}: key-1".encode()
_PATH = b"/swatch/" + JOB_ID.encode()


def _request(*headers, method=b"POST", path=_PATH, body=_BODY):
    length = b"Content-Length: %d" % len(body)
    lines = (method + b" " + path + b" HTTP/1.1", *headers, length, b"Connection: close")
    return b"\r\n".join((*lines, b"", body))


def _status(received):
    return int(received.split(b" ", 2)[1]) if received.startswith(b"HTTP/1.") else None


@pytest.mark.parametrize(
    "content",
    [
        b"hello\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        b"POST " + _PATH + b" HTTP/1.1\r\nHost: paint.example\r\nContent-Length: many\r\n\r\n",
        b"POST " + _PATH + b" HTTP/1.1\r\nHost: paint.example\r\nContent-Length: -1\r\n\r\n",
        _request(_HOST, _KEY, b"Transfer-Encoding: chunked"),
        _request(_HOST, _KEY, b"X-Note: " + b"x" * 20_000),
        _request(_HOST, _KEY, path=b"/swatch/" + b"0" * 20_000),
        _request(_HOST, _KEY, b"no colon"),
        b"POST "
        + _PATH
        + b" HTTP/1.1\r\n"
        + _HOST
        + b"\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
async def test_invalid_http_is_refused_and_logged(content):
    async with running_interface() as client:
        assert _status(await client.send(content)) == 400
        assert client.store.rows.get(job_key(JOB_ID)) is None
        assert Event.REQUEST_UNREADABLE in client.log.emitted()
        assert (await client.call("POST", f"/swatch/{JOB_ID}", _BODY))[0] == 200


@pytest.mark.parametrize(
    ("content", "status"),
    [
        (_request(_HOST, _KEY + b"\xff"), 401),
        (_request(_HOST, f"{KEY_HEADER}: clé".encode()), 401),
        (_request(b"Host: paint.example\xff", _KEY), 404),
        (_request(b"Host: ", _KEY), 404),
        (_request(_HOST, _KEY, path=b"/swatch/%ff%fe"), 404),
        (_request(_HOST, _KEY, path=b"/swatch/\xff\xfe"), 400),
        (_request(_HOST, _KEY, path=b"/swatch/../" + JOB_ID.encode()), 404),
        (_request(_HOST, _KEY, path=_PATH + b"%0a"), 404),
        (_request(_HOST, _KEY, path=_PATH + b"%00"), 404),
        (_request(_HOST, _KEY, method=b"BREW"), 400),
        (_request(_HOST, _KEY, method=b"PUT"), 405),
        (_request(_HOST, _KEY, body=b"\xff" * 20), 400),
        (_request(_HOST, _KEY, body=b"[" * 1900), 400),
        (b"POST " + _PATH + b" HTTP/1.0\r\n" + _KEY + b"\r\nContent-Length: 0\r\n\r\n", 404),
    ],
)
@pytest.mark.parametrize("outage", [None, Ran.NO])
async def test_unreadable_fields_are_refused(content, status, outage):
    async with running_interface() as client:
        client.store.outage = outage
        assert _status(await client.send(content)) == status
        assert client.store.rows.get(job_key(JOB_ID)) is None
        assert Event.SERVICE_FAILED not in client.log.emitted()


async def test_request_with_unreadable_key_is_forwarded(monkeypatch):
    monkeypatch.setattr(OperatorDocuments, "is_store_unreachable", property(lambda _: True))
    async with running_interface() as client:
        client.forwarder.answer = CallerAnswer(401, b"{}")
        received = await client.send(_request(_HOST, _KEY + b"\xff"))
        assert _status(received) == 401


@pytest.mark.parametrize(
    "deadline",
    ["²", "9" * 30, "9" * 5000, "-5", "0", "1e3", "soon", "٣"],
    ids=lambda text: text[:5],
)
async def test_unreadable_deadline_is_ignored(deadline):
    async with running_interface() as client:
        header = f"{DEADLINE_HEADER}: {deadline}".encode()
        assert _status(await client.send(_request(_HOST, _KEY, header))) == 200


@pytest.mark.parametrize(
    ("body", "status"), [(b"x" * 2001, 413), (b"x" * 70_000, 413)], ids=["long", "longer"]
)
async def test_refusal_of_a_body_is_logged(body, status):
    async with running_interface() as client:
        assert _status(await client.send(_request(_HOST, _KEY, body=body))) == status
        statuses = [fields["status"] for event, fields in client.log.events if "status" in fields]
        assert status in statuses


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"POST /none/1 HTTP/1.1\r\n" + _HOST + b"\r\n" + _KEY, 404),
        (b"POST " + _PATH + b" HTTP/1.1\r\n" + _HOST, 401),
        (b"PUT " + _PATH + b" HTTP/1.1\r\n" + _HOST + b"\r\n" + _KEY, 405),
        (b"POST /swatch/ HTTP/1.1\r\n" + _HOST + b"\r\n" + _KEY, 405),
        (b"POST /swatch/x HTTP/1.1\r\n" + _HOST + b"\r\n" + _KEY, 404),
        (b"GET " + _PATH + b" HTTP/1.1\r\n" + _HOST + b"\r\n" + _KEY, 410),
    ],
)
@pytest.mark.parametrize("framing", [b"Content-Length: 1900", b"Transfer-Encoding: chunked"])
async def test_answer_does_not_wait_for_a_body_that_does_not_matter(head, status, framing):
    """Guard against bodies that are held open for requests which are refused anyway."""
    async with running_interface() as client:
        with anyio.fail_after(3):
            assert _status(await client.send(head + b"\r\n" + framing + b"\r\n\r\n")) == status
        assert client.store.rows.get(job_key(JOB_ID)) is None


async def test_head_over_the_limit_is_refused():
    """Guard against heads whose fields are each below the library's limit on one field."""
    async with running_interface() as client:
        fields = [b"X-Note-%d: " % number + b"x" * 9000 for number in range(2)]
        assert _status(await client.send(_request(_HOST, _KEY, *fields))) in (431, None)
        assert client.store.rows.get(job_key(JOB_ID)) is None
