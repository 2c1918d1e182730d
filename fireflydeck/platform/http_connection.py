"""Client side of one HTTP/1.1 connection, and a pool of such connections to one server.

The entry process makes several hundred short exchanges a second, for which the general-purpose
client of the HTTP library takes too much processor time.
"""

import asyncio
from collections import deque

import anyio
from attrs import frozen
from httptools import HttpParserError, HttpResponseParser

__all__ = ["ConnectionPool", "HttpConnection", "InvalidAnswerError", "RawAnswer"]

_KEEP_ALIVE_S = 10.0
_FIRST_FINAL_STATUS = 200
"""Lower ones are interim answers, which another answer follows."""


class InvalidAnswerError(ConnectionError):
    """The peer sent bytes that are no HTTP answer, or that belong to no request."""


@frozen
class RawAnswer:
    """Status and undecoded body of an answer."""

    status: int
    content: bytes


class HttpConnection(asyncio.Protocol):
    """Connection on which one exchange at a time takes place.

    An exchange that fails or is cancelled aborts the connection, since a late answer could be
    taken for that of the next request.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._parser = HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[RawAnswer] | None = None
        self._body: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None
        self._deadline_s = 0.0
        self._read_timeout_s = 0.0
        self._last_byte_s = 0.0
        self._is_reusable = True

    @property
    def is_usable(self) -> bool:
        """Return whether another exchange can take place."""
        transport = self._transport
        return self._is_reusable and transport is not None and not transport.is_closing()

    @property
    def last_byte_s(self) -> float:
        """Return the time of the last received byte, on the clock of the event loop."""
        return self._last_byte_s

    def abort(self) -> None:
        """Close the connection immediately; bytes that were not sent yet are discarded."""
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self, request: bytes, *, timeout_s: float, read_timeout_s: float
    ) -> RawAnswer:
        """Send an encoded request and return the answer.

        Parameters
        ----------
        timeout_s
            Timeout of the whole exchange, in seconds.
        read_timeout_s
            Longest time without a byte of the answer, in seconds.

        Raises
        ------
        TimeoutError
            If the answer did not arrive in time.
        ConnectionError
            If the connection ended before the whole answer arrived.
        InvalidAnswerError
            If the peer does not speak HTTP.
        """
        if self._transport is None or not self.is_usable:
            raise ConnectionResetError("the connection is closed")
        self._answer = answer = self._loop.create_future()
        self._body = []
        self._last_byte_s = self._loop.time()
        self._deadline_s = self._last_byte_s + timeout_s
        self._read_timeout_s = read_timeout_s
        self._timer = self._loop.call_at(self._next_check_s(), self._check_timeout)
        self._transport.write(request)
        try:
            return await answer
        except BaseException:
            self.abort()
            raise
        finally:
            self._cancel_timer()
            self._answer = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the established connection."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._fail(ConnectionResetError("the connection ended before the answer"))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self._last_byte_s = self._loop.time()
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            self._fail(InvalidAnswerError(f"no HTTP answer: {error}"))
            self.abort()

    def on_message_begin(self) -> None:
        """Abort the connection if the answer belongs to no request."""
        if self._answer is None or self._answer.done():
            self.abort()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Complete the exchange in progress."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        self._is_reusable = self._parser.should_keep_alive()
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(RawAnswer(status, b"".join(self._body)))

    def _next_check_s(self) -> float:
        return min(self._deadline_s, self._last_byte_s + self._read_timeout_s)

    def _check_timeout(self) -> None:
        """Fail the exchange if it is overdue, or check again at the next time it may be."""
        answer = self._answer
        if answer is None or answer.done():
            return
        check_s = self._next_check_s()
        if self._loop.time() >= check_s:
            self._fail(TimeoutError("no answer in time"))
            return
        self._timer = self._loop.call_at(check_s, self._check_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _fail(self, error: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)


class ConnectionPool:
    """Kept-alive connections to one server.

    Parameters
    ----------
    host, port
        Address of the server.
    max_connections
        Maximum number of connections in use; further exchanges wait.
    """

    def __init__(self, host: str, port: int, max_connections: int) -> None:
        self._host = host
        self._port = port
        self._slots = anyio.Semaphore(max_connections, fast_acquire=True)
        self._idle: deque[HttpConnection] = deque()
        self._in_use: set[HttpConnection] = set()
        self._retired: set[HttpConnection] = set()

    async def acquire(self, timeout_s: float) -> HttpConnection:
        """Return a connection, which `release` returns to the pool.

        Parameters
        ----------
        timeout_s
            Longest time to wait for a free connection, and for establishing a new one, in seconds.

        Raises
        ------
        OSError
            If no connection could be made in time.
        """
        try:
            self._slots.acquire_nowait()
        except anyio.WouldBlock:
            with anyio.fail_after(timeout_s):
                await self._slots.acquire()
        try:
            connection = self._take_idle() or await self._connect(timeout_s)
        except BaseException:
            self._slots.release()
            raise
        self._in_use.add(connection)
        return connection

    def release(self, connection: HttpConnection) -> None:
        """Take a connection back after its exchange."""
        self._in_use.discard(connection)
        self._slots.release()
        if connection in self._retired or not connection.is_usable:
            self._retired.discard(connection)
            connection.abort()
            return
        self._idle.append(connection)
        self._abort_expired()

    def retire(self) -> None:
        """Use none of the present connections again; those in use finish their exchange."""
        self._retired.update(self._in_use)
        while self._idle:
            self._idle.pop().abort()

    def close(self) -> None:
        """Abort all connections, including those with exchanges in progress."""
        self.retire()
        for connection in self._in_use:
            connection.abort()

    def _take_idle(self) -> HttpConnection | None:
        self._abort_expired()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
        return None

    def _abort_expired(self) -> None:
        """Abort connections that were idle for long; the oldest ones come first."""
        expired_s = asyncio.get_running_loop().time() - _KEEP_ALIVE_S
        while self._idle and self._idle[0].last_byte_s < expired_s:
            self._idle.popleft().abort()

    async def _connect(self, timeout_s: float) -> HttpConnection:
        loop = asyncio.get_running_loop()
        with anyio.fail_after(timeout_s):
            _, connection = await loop.create_connection(HttpConnection, self._host, self._port)
        return connection
