import anyio
import pytest
from expression import Error

from fireflydeck.core import Answer, Failure, Ran, Reason, SystemClock
from fireflydeck.kernel import Metrics, Registry
from fireflydeck.peers import LinkOptions
from fireflydeck.peers.messages import (
    AnswerMessage,
    Cancel,
    Heartbeat,
    HeartbeatReply,
    Refusal,
    Submit,
)
from fireflydeck.testing import FakeClock, build_request
from fireflydeck.testing.peers import (
    SECRET,
    build_client,
    build_member,
    run_peers,
    run_scripted_member,
)

pytestmark = pytest.mark.anyio


def answer(request_id, body=b""):
    return AnswerMessage(answer=Answer(request_id=request_id, status=200, body=body))


async def receive_submit(stream):
    message = await stream.receive()
    while not isinstance(message, Submit):
        message = await stream.receive()
    return message.request


async def submit_to(script, *, secret=SECRET):
    """Submit one request to a member that runs the script; return the result."""
    async with run_scripted_member(script, secret=secret) as member:
        client = build_client([member], SystemClock(), Metrics())
        async with anyio.create_task_group() as tasks:
            await client.start(Registry(), tasks)
            with anyio.fail_after(5):
                result = await client.submit(member, build_request())
            await client.stop()
            tasks.cancel_scope.cancel()
    return result


async def close_immediately(stream):
    return


async def close_after_submit(stream):
    await receive_submit(stream)


async def send_garbage_after_submit(stream):
    await receive_submit(stream)
    await stream.send_frames(b"\x00\x00\x00\x01\xc1")
    await anyio.sleep_forever()


async def send_truncated_answer(stream):
    await receive_submit(stream)
    await stream.send_frames(b"\x00\x00\x00\x09\x93\x01")


async def send_oversized_answer(stream):
    await receive_submit(stream)
    await stream.send_frames(b"\xff\xff\xff\xff")
    await anyio.sleep_forever()


async def send_wrong_type(stream):
    await receive_submit(stream)
    await stream.send(Heartbeat(sequence=1))
    await anyio.sleep_forever()


LOST_AFTER_SUBMIT = [
    close_after_submit,
    send_garbage_after_submit,
    send_truncated_answer,
    send_oversized_answer,
    send_wrong_type,
]


@pytest.mark.parametrize("script", LOST_AFTER_SUBMIT)
async def test_submit_is_unknown_when_connection_is_lost_after_it(script):
    result = await submit_to(script)
    assert (result.error.reason, result.error.ran) == (Reason.PEER_LOST, Ran.UNKNOWN)
    assert result.error.peer == "dispatcher-1"


async def test_submit_has_not_run_when_listener_has_another_secret():
    result = await submit_to(close_after_submit, secret=b"another")
    assert (result.error.reason, result.error.ran) == (Reason.PEER_UNREACHABLE, Ran.NO)


async def test_submit_has_not_run_when_client_has_another_secret():
    async with run_peers(client_secret=b"another") as bench:
        result = await bench.client.submit(bench.member, build_request())
        assert (result.error.reason, result.error.ran) == (Reason.PEER_UNREACHABLE, Ran.NO)
        assert bench.dispatcher.requests == []


async def test_submit_has_not_run_when_another_member_listens_at_the_address():
    async with run_peers(listener_name="dispatcher-2") as bench:
        result = await bench.client.submit(bench.member, build_request())
        assert (result.error.reason, result.error.ran) == (Reason.PEER_UNREACHABLE, Ran.NO)


async def test_submit_has_not_run_when_nothing_listens():
    async with run_peers() as bench:
        closed = build_member("dispatcher-9", "127.0.0.1:1")
        assert bench.client.is_alive(closed)
        result = await bench.client.submit(closed, build_request())
        assert (result.error.reason, result.error.ran) == (Reason.PEER_UNREACHABLE, Ran.NO)
        assert not bench.client.is_alive(closed)


async def test_submit_has_not_run_when_peer_sends_no_challenge():
    clock = FakeClock()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with run_peers(clock=clock) as bench:
        unresponsive = build_member("dispatcher-9", f"127.0.0.1:{port}")
        results = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(collect, results, bench.client.submit(unresponsive, build_request()))
            await clock.advance_ms(2_000)
        assert (results[0].error.reason, results[0].error.ran) == (
            Reason.PEER_UNREACHABLE,
            Ran.NO,
        )
    await listener.aclose()


async def collect(results, awaitable):
    results.append(await awaitable)


async def test_submit_of_oversized_request_has_not_run_and_keeps_the_connection():
    limits = LinkOptions(max_frame_bytes=10_000)
    async with run_peers(link_options=limits) as bench:
        result = await bench.client.submit(bench.member, build_request(body=bytes(10_001)))
        assert (result.error.reason, result.error.ran) == (Reason.BODY_TOO_LARGE, Ran.NO)
        assert (await bench.client.submit(bench.member, build_request())).is_ok()


async def test_submit_detects_half_open_connection():
    clock = FakeClock()

    async def freeze(stream):
        await receive_submit(stream)
        await anyio.sleep_forever()

    async with run_scripted_member(freeze) as member:
        client = build_client([member], clock, Metrics())
        results = []
        async with anyio.create_task_group() as tasks:
            await client.start(Registry(), tasks)
            tasks.start_soon(collect, results, client.submit(member, build_request()))
            await clock.advance_ms(3_999)
            assert results == []
            await clock.advance_ms(1)
            assert (results[0].error.reason, results[0].error.ran) == (
                Reason.PEER_LOST,
                Ran.UNKNOWN,
            )
            tasks.cancel_scope.cancel()


async def test_submit_survives_a_pause_of_this_process():
    clock = FakeClock()
    async with run_peers(clock=clock) as bench:
        bench.dispatcher.release = anyio.Event()
        results = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(collect, results, bench.client.submit(bench.member, build_request()))
            await anyio.wait_all_tasks_blocked()
            clock._now_ms += 60_000
            await clock.advance_ms(1_000)
            bench.dispatcher.release.set()
        assert results[0].is_ok()


async def test_submit_drops_answers_of_unknown_and_finished_ids():
    async def answer_others(stream):
        request = await receive_submit(stream)
        await stream.send(answer("unknown"))
        await stream.send(Refusal(request_id="other", failure=Failure(Reason.DEADLINE, step="x")))
        await stream.send(answer(request.request_id, b"right"))
        await stream.send(answer(request.request_id, b"again"))
        await receive_submit(stream)
        await stream.send(answer("r-2", b"second"))
        await anyio.sleep_forever()

    metrics = Metrics()
    async with run_scripted_member(answer_others) as member:
        client = build_client([member], SystemClock(), metrics)
        async with anyio.create_task_group() as tasks:
            await client.start(Registry(), tasks)
            first = await client.submit(member, build_request("r-1"))
            second = await client.submit(member, build_request("r-2"))
            tasks.cancel_scope.cancel()
    assert (first.ok.body, second.ok.body) == (b"right", b"second")
    assert metrics.value("peer_answers_dropped_total") == 3


async def test_submit_matches_answers_in_another_order():
    async def answer_reversed(stream):
        requests = [await receive_submit(stream) for _ in range(20)]
        for request in reversed(requests):
            await stream.send(answer(request.request_id, request.body))
        await anyio.sleep_forever()

    async with run_scripted_member(answer_reversed) as member:
        client = build_client([member], SystemClock(), Metrics())
        answers = []
        async with anyio.create_task_group() as tasks:
            await client.start(Registry(), tasks)
            async with anyio.create_task_group() as submits:
                for number in range(20):
                    request = build_request(f"r-{number}", body=str(number).encode())
                    submits.start_soon(collect, answers, client.submit(member, request))
            tasks.cancel_scope.cancel()
    assert len(answers) == 20
    assert all(result.ok.request_id == f"r-{result.ok.body.decode()}" for result in answers)


async def test_submit_returns_the_dispatchers_refusal():
    async with run_peers() as bench:
        refusal = Failure(Reason.QUEUE_FULL, step="queue.enter", retry_after_ms=250)
        bench.dispatcher.reply = lambda request: Error(refusal)
        assert await bench.client.submit(bench.member, build_request()) == Error(refusal)


async def test_submit_of_a_dispatcher_that_raises_is_unknown():
    async with run_peers() as bench:
        bench.dispatcher.reply = lambda request: 1 / 0
        result = await bench.client.submit(bench.member, build_request())
        assert (result.error.reason, result.error.ran) == (Reason.INTERNAL, Ran.UNKNOWN)


async def test_submit_cancelled_by_the_caller_sends_cancel():
    messages = []

    async def record(stream):
        while True:
            messages.append(await stream.receive())

    async with run_scripted_member(record) as member:
        client = build_client([member], SystemClock(), Metrics())
        async with anyio.create_task_group() as tasks:
            await client.start(Registry(), tasks)
            async with anyio.create_task_group() as submits:
                submits.start_soon(client.submit, member, build_request())
                while not messages:
                    await anyio.sleep(0.01)
                submits.cancel_scope.cancel()
            with anyio.fail_after(5):
                while len(messages) < 2:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
    assert messages[1] == Cancel(request_id="r-1")


async def test_connection_sends_heartbeats_only_while_in_use():
    clock = FakeClock()
    async with run_peers(clock=clock) as bench:
        assert (await bench.client.submit(bench.member, build_request())).is_ok()
        await clock.advance_ms(60_000)
        reply = (await bench.client.request_status(bench.member)).ok
        assert reply.sequence == 10


async def test_submit_over_an_idle_connection_to_a_silent_peer_has_not_run():
    clock = FakeClock()
    silent_from_ms = 20_000

    async def answer_until_silent(stream):
        while True:
            message = await stream.receive()
            if clock.now_ms() >= silent_from_ms:
                continue
            if isinstance(message, Submit):
                await stream.send(answer(message.request.request_id))
            else:
                await stream.send(heartbeat_reply(message.sequence))

    async with run_scripted_member(answer_until_silent) as member:
        client = build_client([member], clock, Metrics())
        results = []
        async with anyio.create_task_group() as tasks:
            await client.start(Registry(), tasks)
            assert (await client.submit(member, build_request("r-1"))).is_ok()
            await clock.advance_ms(30_000)
            tasks.start_soon(collect, results, client.submit(member, build_request("r-2")))
            await clock.advance_ms(5_000)
            tasks.cancel_scope.cancel()
    assert (results[0].error.reason, results[0].error.ran) == (Reason.PEER_UNREACHABLE, Ran.NO)


def heartbeat_reply(sequence):
    return HeartbeatReply(sequence=sequence, version=1, confirmed_age_ms=0, store_reachable=True)
