"""Malformed heads and chunked bodies against a real listener, with fixed seeds.

Guards against input that ends the process, hangs it, or keeps it from serving the next request.
"""

import anyio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fireflydeck.entry.tests.interface_client import running_interface
from fireflydeck.platform.standin.documents import submission_document
from fireflydeck.testing.job_builders import JOB_ID

_BODY = submission_document("text", tasks=1)
_PATH = f"/swatch/{JOB_ID}"
_WAIT_S = 0.05

_methods = st.sampled_from([b"POST", b"GET", b"DELETE", b"CONNECT", b"PRI", b"post", b""])
_targets = st.sampled_from(
    [_PATH.encode(), b"/", b"*", b"//x", b"http://h:99999/", b"", b"/%zz\xff", b"/a#b?c"]
)
_versions = st.sampled_from([b"HTTP/1.1", b"HTTP/1.0", b"HTTP/2.0", b"HTTP/9.9", b"", b"\x00"])
_fields = st.one_of(
    st.sampled_from(
        [
            b"Host: paint.example",
            b"Host: other",
            b"Api-Key: key-1",
            b"Content-Length: 5",
            b"Content-Length: -1",
            b"Content-Length: 99999999999999999999999",
            b"Transfer-Encoding: chunked",
            b"Transfer-Encoding: gzip, chunked",
            b"Content-Encoding: gzip",
            b"Content-Encoding: deflate",
            b"Connection: upgrade",
            b"Upgrade: websocket",
            b"Expect: 100-continue",
            b" folded",
            b"no colon",
            b": empty",
        ]
    ),
    st.binary(max_size=40),
)
_chunks = st.one_of(
    st.sampled_from(
        [b"5\r\nhello\r\n", b"0\r\n\r\n", b"zz\r\n", b"-1\r\n", b"5;a=b\r\nhel", b"\r\n"]
    ),
    st.binary(max_size=30),
)


@st.composite
def _requests(draw):
    line = b" ".join((draw(_methods), draw(_targets), draw(_versions)))
    fields = draw(st.lists(_fields, max_size=6))
    body = b"".join(draw(st.lists(_chunks, max_size=4)))
    content = b"\r\n".join((line, *fields, b"", body)) * draw(st.integers(1, 3))
    return content[: draw(st.integers(1, len(content)))]


async def _send_and_close(client, content):
    host, _, port = client.address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as connection:
        middle = len(content) // 2
        with anyio.move_on_after(_WAIT_S):
            try:
                await connection.send(content[:middle])
                await anyio.sleep(0)
                await connection.send(content[middle:])
                while True:
                    await connection.receive()
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                return


@settings(
    max_examples=25,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
    database=None,
)
@given(contents=st.lists(_requests(), min_size=10, max_size=30))
def test_malformed_requests_leave_the_process_serving(contents):
    async def scenario():
        async with running_interface() as client:
            async with anyio.create_task_group() as tasks:
                for content in contents:
                    tasks.start_soon(_send_and_close, client, content)
            with anyio.fail_after(5):
                assert (await client.call("POST", _PATH, _BODY))[0] == 200

    anyio.run(scenario)
