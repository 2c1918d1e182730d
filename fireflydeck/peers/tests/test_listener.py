import anyio
import msgpack
import pytest
from expression import Ok

from fireflydeck.core import Answer, ConfigurationChange, FireflydeckError, Reason
from fireflydeck.peers import MessageStream, PeerListenerOptions, SessionOptions, encode
from fireflydeck.peers.handshake import run_client_handshake
from fireflydeck.peers.messages import (
    AnswerMessage,
    Cancel,
    Challenge,
    Heartbeat,
    HeartbeatReply,
    Proof,
    PushConfiguration,
    Refusal,
    Stopping,
    Submit,
)
from fireflydeck.peers.sockets import split_address
from fireflydeck.testing import FakeClock, build_request
from fireflydeck.testing.peers import SECRET, run_peers

pytestmark = pytest.mark.anyio

MAX_FRAME_BYTES = 100_000


def options(**fields):
    return PeerListenerOptions(address="127.0.0.1:0", max_frame_bytes=MAX_FRAME_BYTES, **fields)


async def connect(bench):
    connection = await anyio.connect_tcp(*split_address(bench.listener.address))
    return connection, MessageStream(connection, "listener")


async def connect_as_peer(bench):
    connection, stream = await connect(bench)
    await run_client_handshake(stream, "gateway-2", "gateway", "dispatcher-1", SECRET)
    return connection, stream


async def expect_closed(stream):
    with anyio.fail_after(5), pytest.raises(FireflydeckError) as raised:
        while True:
            await stream.receive()
    assert raised.value.failure.reason is Reason.PEER_LOST


def frame(payload):
    return len(payload).to_bytes(4, "big") + payload


BAD_FRAMES = {
    "oversized": (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
    "not msgpack": frame(b"\xc1"),
    "empty": frame(b""),
    "wrong version": frame(msgpack.packb([9, "Heartbeat", {"sequence": 1}])),
    "unknown type": frame(msgpack.packb([1, "Unknown", {}])),
    "field of wrong type": frame(msgpack.packb([1, "Heartbeat", {"sequence": "1"}])),
    "unexpected type": encode(Challenge(name="a", nonce=b"")),
    "answer to a listener": encode(
        HeartbeatReply(sequence=1, version=1, confirmed_age_ms=0, store_reachable=True)
    ),
}


@pytest.mark.parametrize("sent", BAD_FRAMES.values(), ids=BAD_FRAMES.keys())
async def test_listener_closes_after_bad_frame(sent):
    async with run_peers(listener_options=options()) as bench:
        connection, stream = await connect_as_peer(bench)
        await connection.send(sent)
        await expect_closed(stream)
        assert bench.listener_metrics.value("peer_bad_frames_total") == 1
        assert await bench.client.request_status(bench.member)


async def test_listener_counts_truncated_frame_as_lost():
    async with run_peers() as bench:
        connection, stream = await connect_as_peer(bench)
        await connection.send(encode(Submit(request=build_request()))[:-1])
        await connection.send_eof()
        await expect_closed(stream)
        assert bench.listener_metrics.value("peer_lost_total") == 1
        assert bench.dispatcher.requests == []


BAD_HANDSHAKES = {
    "not msgpack": (frame(b"\xc1"), Reason.BAD_REQUEST),
    "oversized": ((1025).to_bytes(4, "big"), Reason.BAD_REQUEST),
    "message before the proof": (encode(Heartbeat(sequence=1)), Reason.BAD_REQUEST),
    "short nonce": (
        encode(Proof(name="a", role="gateway", nonce=b"1", proof=b"")),
        Reason.BAD_REQUEST,
    ),
    "wrong proof": (
        encode(Proof(name="a", role="gateway", nonce=bytes(32), proof=bytes(32))),
        Reason.WRONG_KEY,
    ),
}


@pytest.mark.parametrize(("sent", "reason"), BAD_HANDSHAKES.values(), ids=BAD_HANDSHAKES.keys())
async def test_listener_rejects_bad_handshake(sent, reason):
    async with run_peers() as bench:
        connection, stream = await connect(bench)
        await connection.send(sent)
        await expect_closed(stream)
        assert bench.listener_metrics.value("peer_rejected_total", reason=reason) == 1
        assert bench.listener.state()["connections"] == 0


async def test_listener_closes_silent_peer_after_handshake_timeout():
    clock = FakeClock()
    async with run_peers(clock=clock) as bench:
        _, stream = await connect(bench)
        await stream.receive()
        await clock.advance_ms(2_999)
        assert bench.listener.state()["connections"] == 1
        await clock.advance_ms(1)
        await expect_closed(stream)
        rejected = bench.listener_metrics.value("peer_rejected_total", reason=Reason.DEADLINE)
        assert rejected == 1


async def test_listener_limits_connections():
    async with run_peers(listener_options=options(max_connections=1)) as bench:
        await connect_as_peer(bench)
        _, second = await connect(bench)
        await expect_closed(second)
        rejected = bench.listener_metrics.value(
            "peer_rejected_total", reason=Reason.TOO_MANY_REQUESTS
        )
        assert rejected == 1


async def test_session_refuses_submits_over_its_limit_and_still_answers_heartbeats():
    limits = options(session=SessionOptions(max_handlers=1))
    async with run_peers(listener_options=limits) as bench:
        bench.dispatcher.release = anyio.Event()
        _, stream = await connect_as_peer(bench)
        for number in (1, 2):
            await stream.send(Submit(request=build_request(f"r-{number}")))
        await stream.send(Heartbeat(sequence=5))
        refusal = await stream.receive()
        assert isinstance(refusal, Refusal)
        assert (refusal.request_id, refusal.failure.reason, refusal.failure.ran) == (
            "r-2",
            Reason.TOO_MANY_REQUESTS,
            "no",
        )
        assert (await stream.receive()).sequence == 5
        bench.dispatcher.release.set()
        answer = await stream.receive()
        assert isinstance(answer, AnswerMessage)
        assert answer.answer.request_id == "r-1"


async def test_session_refuses_answer_that_exceeds_a_frame():
    async with run_peers(listener_options=options()) as bench:
        _, stream = await connect_as_peer(bench)
        body = bytes(MAX_FRAME_BYTES - 300)
        bench.dispatcher.reply = lambda request: build_reply(request, body * 2)
        await stream.send(Submit(request=build_request()))
        refusal = await stream.receive()
        assert refusal.failure.reason is Reason.ANSWER_TOO_LARGE
        assert refusal.failure.ran == "unknown"


def build_reply(request, body):
    return Ok(Answer(request_id=request.request_id, status=200, body=body))


async def test_session_outbox_is_bounded_and_stalled_peer_is_closed():
    clock = FakeClock()
    limits = options(session=SessionOptions(max_handlers=400, max_outbox_bytes=200_000))
    async with run_peers(clock=clock, listener_options=limits) as bench:
        _, stream = await connect_as_peer(bench)
        bench.dispatcher.reply = lambda request: build_reply(request, bytes(90_000))
        for number in range(300):
            await stream.send(Submit(request=build_request(f"r-{number}")))
        await clock.advance_ms(1_000)
        (session,) = bench.listener._sessions
        assert session._channel.queued_bytes <= 200_000
        await clock.advance_ms(10_001)
        assert bench.listener_metrics.value("peer_stalled_total") == 1
        assert bench.listener.state()["peers"] == []


async def test_end_of_a_session_cancels_its_requests():
    async with run_peers() as bench:
        bench.dispatcher.release = anyio.Event()
        _, stream = await connect_as_peer(bench)
        await stream.send(Submit(request=build_request("r-1")))
        await stream.send(Submit(request=build_request("r-2")))
        with anyio.fail_after(5):
            while len(bench.dispatcher.requests) < 2:
                await anyio.sleep(0.01)
        await stream.send(Cancel(request_id="r-1"))
        await stream.send(Cancel(request_id="unknown"))
        await stream.send(Heartbeat(sequence=1))
        await stream.receive()
        assert bench.dispatcher.cancelled == ["r-1"]
        await stream.close()
        with anyio.fail_after(5):
            while "r-2" not in bench.dispatcher.cancelled:
                await anyio.sleep(0.01)


async def test_cancel_that_arrives_with_its_submit_prevents_the_run():
    async with run_peers() as bench:
        connection, stream = await connect_as_peer(bench)
        submit = encode(Submit(request=build_request("r-1")))
        await connection.send(submit + encode(Cancel(request_id="r-1")))
        refusal = await stream.receive()
        assert (refusal.failure.reason, refusal.failure.ran) == (Reason.CANCELLED, "no")
        assert bench.dispatcher.requests == []


async def test_listener_forwards_pushed_configuration():
    async with run_peers() as bench:
        change = ConfigurationChange(version=3, change_id="c")
        assert (await bench.client.send(bench.member, PushConfiguration(change=change))).is_ok()
        await bench.client.request_status(bench.member)
        assert bench.pushed == [change]


async def test_listener_stop_announces_and_waits_for_handlers():
    async with run_peers() as bench:
        bench.dispatcher.release = anyio.Event()
        _, stream = await connect_as_peer(bench)
        await stream.send(Submit(request=build_request()))
        await stream.send(Heartbeat(sequence=1))
        await stream.receive()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(bench.listener.stop)
            assert isinstance(await stream.receive(), Stopping)
            bench.dispatcher.release.set()
            assert isinstance(await stream.receive(), AnswerMessage)
        _, second = await connect_as_peer(bench)
        assert isinstance(await second.receive(), Stopping)
