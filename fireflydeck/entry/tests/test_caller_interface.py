"""The callers' interface over HTTP: routing, keys, bad input, refusals and states."""

import anyio
import msgpack
import pytest

from fireflydeck.core import Ran
from fireflydeck.entry.caller_request import CallerAnswer, CallerRequest
from fireflydeck.entry.peer_messages import ForwardedRequest
from fireflydeck.entry.tests.interface_client import running_interface
from fireflydeck.kernel import Event
from fireflydeck.platform.job_documents import DEADLINE_HEADER, KEY_HEADER
from fireflydeck.platform.standin.documents import (
    put_configuration,
    submission_document,
)
from fireflydeck.testing.job_builders import (
    JOB_ID,
)
from fireflydeck.workload import job_key
from fireflydeck.workload.records import JOBS_TABLE

pytestmark = pytest.mark.anyio

_BODY = submission_document("text", tasks=1)


async def test_job_is_submitted_queried_and_cancelled():
    async with running_interface() as client:
        path = f"/swatch/{JOB_ID}"
        assert (await client.call("GET", path))[0] == 410
        assert (await client.call("POST", path, _BODY))[0] == 200
        assert (await client.call("POST", path, _BODY))[0] == 200
        assert (await client.call("GET", path))[:2] == (200, b'{"state":"queued"}')
        assert (await client.call("DELETE", path))[0] == 200
        assert (await client.call("GET", path))[:2] == (200, b'{"state":"cancelled"}')
        assert (await client.call("GET", "/swatch/"))[:2] == (200, b'{"pending":0}')


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        (f"/swatch/{JOB_ID}", {"Host": "other.example"}, 404),
        (f"/elsewhere/{JOB_ID}", {}, 404),
        (f"/swatch/{JOB_ID}", {KEY_HEADER: "key-2"}, 401),
        (f"/swatch/{JOB_ID}", {KEY_HEADER: ""}, 401),
        ("/swatch/xyz", {}, 404),
        (f"/swatch/{JOB_ID}0", {}, 404),
        ("/swatch/", {}, 405),
    ],
)
async def test_refused_submissions(path, headers, status):
    async with running_interface() as client:
        answer = await client.call("POST", path, _BODY, **headers)
        assert answer[0] == status
        assert client.store.rows.get(job_key(JOB_ID)) is None


@pytest.mark.parametrize(
    ("body", "status"), [(b"", 400), (b"{", 400), (b"[]", 400), (b"x" * 2001, 413)]
)
async def test_bad_bodies(body, status):
    async with running_interface() as client:
        assert (await client.call("POST", f"/swatch/{JOB_ID}", body))[0] == status


async def test_removed_key_is_refused():
    async with running_interface() as client:
        put_configuration(client.store.rows, version=4, keys=())
        with anyio.fail_after(5):
            while (await client.call("GET", "/swatch/"))[0] != 401:
                await anyio.sleep(0.02)


async def test_older_configuration_does_not_come_back():
    async with running_interface() as client:
        put_configuration(client.store.rows, version=2, keys=())
        await anyio.sleep(0.2)
        assert (await client.call("GET", "/swatch/"))[0] == 200


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [("/other/", {}, 404), ("/swatch/", {"Api-Key": "key-2"}, 401)],
    ids=["unknown queue", "unknown key"],
)
async def test_outdated_configuration_refuses_nothing_for_good(path, headers, status):
    """A queue or key may have been added since; a peer answered by it a second before."""
    async with running_interface() as client:
        assert (await client.call("GET", path, **headers))[0] == status
        client.store.outage = Ran.NO
        client.clock.ahead_ms = 4000
        answer = await client.call("GET", path, **headers)
        assert answer[0] == 503
        assert "Retry-After" in answer[2]


# Guards against a state that goes back when the lease holder lags behind the store.
@pytest.mark.parametrize("holder_state", ["queued", "running"])
async def test_cancelled_job_is_not_shown_as_running_again(holder_state):
    async with running_interface() as client:
        path = f"/swatch/{JOB_ID}"
        assert (await client.call("POST", path, _BODY))[0] == 200
        client.holder.state = holder_state
        assert (await client.call("GET", path))[1] == f'{{"state":"{holder_state}"}}'.encode()
        assert (await client.call("DELETE", path))[0] == 200
        assert (await client.call("GET", path))[1] == b'{"state":"cancelled"}'
        client.holder.state = "completed"
        assert (await client.call("GET", path))[1] == b'{"state":"completed"}'
        client.holder.state = holder_state
        assert (await client.call("GET", path))[1] == b'{"state":"completed"}'
        client.clock.ahead_ms = 31_000
        assert (await client.call("GET", path))[1] == f'{{"state":"{holder_state}"}}'.encode()


@pytest.mark.parametrize(("is_unanswered", "status"), [(False, 503), (True, 504)])
async def test_store_outage(is_unanswered, status):
    """Only the write of the job gets no answer: a store that answers no call is not written to."""
    async with running_interface() as client:
        if is_unanswered:
            client.store.unanswered_tables = {JOBS_TABLE}
        else:
            client.store.outage = Ran.NO
        headers = {DEADLINE_HEADER: "900"}
        answer = await client.call("POST", f"/swatch/{JOB_ID}", _BODY, **headers)
        assert answer[0] == status
        assert ("Retry-After" in answer[2]) == (status == 503)


async def test_body_that_does_not_arrive_is_given_up():
    async def slow_body():
        yield _BODY[:10]
        await anyio.sleep(5)

    async with running_interface(idle_timeout_ms=200) as client:
        status, _, _ = await client.call("POST", f"/swatch/{JOB_ID}", slow_body())
        assert status == 408
        assert client.store.rows.get(job_key(JOB_ID)) is None


@pytest.mark.parametrize("outage", list(Ran))
async def test_request_is_forwarded_if_the_store_is_unavailable(outage):
    """Guard against callers that wait or retry when only some entry processes lost the store."""
    async with running_interface() as client:
        client.store.outage = outage
        client.forwarder.answer = CallerAnswer(200, b"{}")
        status, _, _ = await client.call("POST", f"/swatch/{JOB_ID}", _BODY)
        assert status == 200
        request = client.forwarder.forwarded[0]
        assert (request.method, request.path, request.body) == ("POST", f"/swatch/{JOB_ID}", _BODY)
        message = ForwardedRequest.from_request(request).encode()
        assert ForwardedRequest.decode(message).to_request(0).key == "key-1"


@pytest.mark.parametrize("peer_status", [None, 401, 503])
async def test_submission_that_a_peer_may_have_stored_is_not_refused(peer_status):
    """Guard against a 503 for a job that runs.

    It was returned when one peer gave no answer in time and another had no store.
    """
    async with running_interface() as client:
        client.store.outage = Ran.NO
        client.forwarder.is_uncertain = True
        client.forwarder.answer = CallerAnswer(peer_status, b"{}") if peer_status else None
        status, _, headers = await client.call("POST", f"/swatch/{JOB_ID}", _BODY)
        assert status == 504
        assert "Retry-After" not in headers


@pytest.mark.parametrize("peer_status", [401, 503])
async def test_submission_with_an_unknown_outcome_here_is_not_refused_by_a_peer(peer_status):
    async with running_interface() as client:
        client.store.unanswered_tables = {JOBS_TABLE}
        client.forwarder.answer = CallerAnswer(peer_status, b"{}")
        status, _, _ = await client.call("POST", f"/swatch/{JOB_ID}", _BODY)
        assert status == 504


async def test_submission_that_nobody_can_have_stored_is_refused():
    async with running_interface() as client:
        client.store.outage = Ran.NO
        status, _, headers = await client.call("POST", f"/swatch/{JOB_ID}", _BODY)
        assert (status, headers["Retry-After"]) == (503, "1")


async def test_forwarded_request_is_not_forwarded_again():
    async with running_interface() as client:
        client.store.outage = Ran.NO
        request = CallerRequest(
            method="POST",
            host="paint.example",
            path=f"/swatch/{JOB_ID}",
            key="key-1",
            timeout_ms=1000,
            body=_BODY,
            was_forwarded=True,
        )
        answer = await client.interface.answer(request)
        assert (answer.status, answer.is_store_unavailable) == (503, True)
        assert client.forwarder.forwarded == []


async def test_log_names_the_configuration_that_decided_a_relayed_answer():
    async with running_interface() as client:
        client.store.outage = Ran.NO
        client.forwarder.answer = CallerAnswer(200, b"{}", configuration_version=7)
        await client.wait_for_outage()
        assert (await client.call("GET", "/swatch/"))[0] == 200
        lines = [
            (event, fields["path"], fields["status"], fields["decided_by"], fields["configuration"])
            for event, fields in client.log.events
            if "decided_by" in fields
        ]
        assert lines == [
            (Event.REQUEST_FORWARDED, "/swatch/", 200, 7, 3),
            (Event.REQUEST_ANSWERED, "/swatch/", 200, 7, 3),
        ]


async def test_answers_between_processes():
    answer = CallerAnswer(503, b"{}", 1, is_store_unavailable=True)
    assert CallerAnswer.decode(answer.encode()) == answer
    of_older_build = msgpack.packb((200, b"{}", None, False))
    assert CallerAnswer.decode(of_older_build).configuration_version is None
    with pytest.raises(ValueError, match="not a CallerAnswer"):
        CallerAnswer.decode(msgpack.packb(("200", b"{}")))
    with pytest.raises(ValueError, match="not a CallerAnswer"):
        CallerAnswer.decode(b"\xc1")
    with pytest.raises(ValueError, match="not a ForwardedRequest"):
        ForwardedRequest.decode(b"\x01")
