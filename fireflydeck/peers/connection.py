"""Client side of one open connection: in-flight requests and heartbeats."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define, frozen
from expression import Error, Ok, Result

from fireflydeck.core import (
    Answer,
    Clock,
    Failure,
    FireflydeckError,
    Ran,
    Reason,
    Request,
)
from fireflydeck.kernel import Metrics
from fireflydeck.peers.channel import Channel, Delivery
from fireflydeck.peers.messages import (
    AnswerMessage,
    Cancel,
    ChangesReply,
    Heartbeat,
    HeartbeatReply,
    Message,
    Refusal,
    RequestChanges,
    Stopping,
    Submit,
)
from fireflydeck.peers.stream import MessageStream
from fireflydeck.web.timeout import run_within_ms

__all__ = ["ConnectionOptions", "PeerConnection"]


@frozen(kw_only=True)
class ConnectionOptions:
    """Limits of a connection.

    Parameters
    ----------
    heartbeat_interval_ms
        Time between heartbeats while the connection is in use.
    heartbeat_timeout_ms
        Time without an incoming message after a heartbeat until the connection counts as lost.
    in_use_ms
        Time after the last request during which the connection counts as in use.
    probe_after_ms
        Time without an incoming message after which a request first waits for a heartbeat reply.
    probe_timeout_ms
        Time limit for that reply; without it the connection counts as lost and the request is not
        sent.
    max_outbox_bytes
        Maximum number of bytes that wait to be written; senders wait for space.
    """

    heartbeat_interval_ms: int = 1_000
    heartbeat_timeout_ms: int = 3_000
    in_use_ms: int = 10_000
    probe_after_ms: int = 5_000
    probe_timeout_ms: int = 1_000
    max_outbox_bytes: int = 16 * 1024 * 1024

    @property
    def max_unanswered(self) -> int:
        """Number of unanswered heartbeats after which the connection counts as lost."""
        return max(1, self.heartbeat_timeout_ms // self.heartbeat_interval_ms)


@define(eq=False)
class _PendingReply:
    finished: anyio.Event
    delivery: Delivery | None = None
    result: Result | None = None

    def finish(self, result: Result) -> None:
        if self.result is None:
            self.result = result
            self.finished.set()

    @property
    def ran(self) -> Ran:
        is_started = self.delivery is not None and self.delivery.is_started
        return Ran.UNKNOWN if is_started else Ran.NO


class PeerConnection:
    """One open connection to a member.

    Parameters
    ----------
    stream
        The connection after its handshake.
    on_stopping
        Called when the member announces that it accepts no new work.
    """

    def __init__(
        self,
        stream: MessageStream,
        clock: Clock,
        metrics: Metrics,
        options: ConnectionOptions,
        on_stopping: Callable[[], None],
    ) -> None:
        self._peer = stream.peer
        self._clock = clock
        self._metrics = metrics
        self._options = options
        self._on_stopping = on_stopping
        self._channel = Channel(stream, clock, options.max_outbox_bytes)
        self._requests: dict[str, _PendingReply] = {}
        self._queries: dict[int, _PendingReply] = {}
        self._sequence = 0
        self._unanswered = 0
        self._last_used_ms = clock.now_ms()
        self._last_received_ms = clock.now_ms()
        self._failure: Failure | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests without an answer."""
        return len(self._requests)

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used."""
        return self._failure is None and not self._channel.is_closed

    async def submit(self, request: Request) -> Result[Answer, Failure]:
        """Send a request and wait for its answer; cancelling the wait cancels the request."""
        if request.request_id in self._requests:
            return Error(self._build_failure(Reason.CONFLICT, "request id is in flight already"))
        if not await self._is_responsive():
            return Error(
                self._build_failure(Reason.PEER_UNREACHABLE, "no reply after a long silence")
            )
        pending = _PendingReply(anyio.Event())
        self._requests[request.request_id] = pending
        self._last_used_ms = self._clock.now_ms()
        try:
            pending.delivery = await self._channel.put(Submit(request=request))
            await pending.finished.wait()
        except FireflydeckError as error:
            return Error(error.failure)
        finally:
            del self._requests[request.request_id]
            if pending.result is None:
                self._withdraw_or_cancel(request.request_id, pending)
        assert pending.result is not None
        return pending.result

    async def request_status(
        self, timeout_ms: int | None = None
    ) -> Result[HeartbeatReply, Failure]:
        """Send a heartbeat and wait for its reply, by default for the heartbeat timeout."""
        return await self._query(Heartbeat(sequence=self._next_sequence()), timeout_ms)

    async def request_changes(self, after_version: int) -> Result[ChangesReply, Failure]:
        """Request the changes after a version and wait for the reply for the heartbeat timeout."""
        sequence = self._next_sequence()
        return await self._query(RequestChanges(sequence=sequence, after_version=after_version))

    async def _query(
        self, query: Heartbeat | RequestChanges, timeout_ms: int | None = None
    ) -> Result:
        pending = _PendingReply(anyio.Event())
        self._queries[query.sequence] = pending
        try:
            pending.delivery = await self._channel.put(query)
            await run_within_ms(
                self._clock,
                timeout_ms or self._options.heartbeat_timeout_ms,
                pending.finished.wait,
            )
        except TimeoutError:
            return Error(self._build_failure(Reason.PEER_UNREACHABLE, "no reply"))
        except FireflydeckError as error:
            return Error(error.failure)
        finally:
            del self._queries[query.sequence]
        assert pending.result is not None
        return pending.result

    async def _is_responsive(self) -> bool:
        silent_ms = self._clock.now_ms() - self._last_received_ms
        if silent_ms < self._options.probe_after_ms:
            return True
        reply = await self.request_status(self._options.probe_timeout_ms)
        if reply.is_error():
            await self._channel.close()
        return reply.is_ok()

    async def send(self, message: Message) -> None:
        """Queue a message that has no answer, waiting for space; raises as `Channel.put` does."""
        await self._channel.put(message)

    def offer(self, message: Message) -> bool:
        """Queue a message if there is space; return whether it was queued."""
        return self._channel.offer(message) is not None

    async def run(self) -> Failure:
        """Serve the connection until it ends and return the cause."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_until_failure, tasks, self._channel.run_writer)
                tasks.start_soon(self._run_until_failure, tasks, self._send_heartbeats)
                await self._run_until_failure(tasks, self._read)
        finally:
            failure = self._failure or self._build_failure(Reason.PEER_LOST, "connection closed")
            self._failure = failure
            self._finish_all(failure)
            await self._channel.close()
        return failure

    async def _run_until_failure(
        self, tasks: TaskGroup, call: Callable[[], Awaitable[None]]
    ) -> None:
        try:
            await call()
        except FireflydeckError as error:
            self._failure = self._failure or error.failure
            tasks.cancel_scope.cancel()

    async def _read(self) -> None:
        while True:
            message = await self._channel.receive()
            self._unanswered = 0
            self._last_received_ms = self._clock.now_ms()
            self._handle_message(message)

    def _handle_message(self, message: Message) -> None:
        match message:
            case AnswerMessage(answer=answer):
                self._finish(answer.request_id, Ok(answer))
            case Refusal(request_id=request_id, failure=failure):
                self._finish(request_id, Error(failure))
            case HeartbeatReply(sequence=sequence) | ChangesReply(sequence=sequence):
                if sequence in self._queries:
                    self._queries[sequence].finish(Ok(message))
            case Stopping():
                self._on_stopping()
            case _:
                detail = f"unexpected {type(message).__name__}"
                raise FireflydeckError(self._build_failure(Reason.BAD_REQUEST, detail))

    def _finish(self, request_id: str, result: Result[Answer, Failure]) -> None:
        pending = self._requests.get(request_id)
        if pending is None or pending.result is not None:
            self._metrics.count("peer_answers_dropped_total")
            return
        pending.finish(result)

    def _finish_all(self, failure: Failure) -> None:
        for pending in (*self._requests.values(), *self._queries.values()):
            pending.finish(Error(self._request_failure(failure, pending.ran)))

    def _request_failure(self, failure: Failure, ran: Ran) -> Failure:
        reason = Reason.PEER_LOST if ran is Ran.UNKNOWN else Reason.PEER_UNREACHABLE
        return Failure(reason, step="peer.submit", peer=self._peer, detail=failure.detail, ran=ran)

    def _withdraw_or_cancel(self, request_id: str, pending: _PendingReply) -> None:
        delivery = pending.delivery
        if delivery is None or self._channel.withdraw(delivery):
            return
        self.offer(Cancel(request_id=request_id))

    async def _send_heartbeats(self) -> None:
        while True:
            await self._clock.sleep_ms(self._options.heartbeat_interval_ms)
            if not self._is_in_use():
                self._unanswered = 0
                continue
            if self._unanswered >= self._options.max_unanswered:
                detail = f"no reply to {self._unanswered} heartbeats"
                raise FireflydeckError(self._build_failure(Reason.PEER_LOST, detail))
            self._unanswered += 1
            self.offer(Heartbeat(sequence=self._next_sequence()))

    def _is_in_use(self) -> bool:
        idle_ms = self._clock.now_ms() - self._last_used_ms
        return bool(self._requests) or idle_ms < self._options.in_use_ms

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _build_failure(self, reason: Reason, detail: str) -> Failure:
        return Failure(reason, step="peer.connection", peer=self._peer, detail=detail)
