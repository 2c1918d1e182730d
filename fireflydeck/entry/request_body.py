"""Reading of a request's body up to a limit."""

from aiohttp import web

from fireflydeck.entry.bounded_protocol import BoundedProtocol

__all__ = ["BODY_ERRORS", "drop_traceback", "read_body"]

BODY_ERRORS = (ConnectionError, web.RequestPayloadError)
"""Raised by `read_body` if the connection is lost or the rest of the body is not valid HTTP."""
_DECOMPRESSOR_BYTES = 96 * 1024
"""Memory of the decompressor of one body, with what it has not passed on yet."""


async def read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    """Return the body, or `None` if it is longer than the limit.

    The pieces that were read are dropped with the connection, and not only when the handler has
    ended: the error of a lost connection refers to the handler's frames and would keep them until
    the next garbage collection.
    """
    pieces: list[bytes] = []
    length = 0
    protocol = request.protocol if isinstance(request.protocol, BoundedProtocol) else None
    is_compressed = "Content-Encoding" in request.headers
    if protocol is not None:
        protocol.hold(pieces)
        if is_compressed:
            protocol.charge(_DECOMPRESSOR_BYTES)
    try:
        _check_connection(protocol)
        async for piece in request.content.iter_any():
            length += len(piece)
            if length > limit:
                return None
            pieces.append(piece)
            if is_compressed and protocol is not None:
                protocol.charge(len(piece))
            _check_connection(protocol)
        _check_connection(protocol)
        return b"".join(pieces)
    finally:
        pieces.clear()


def _check_connection(protocol: BoundedProtocol | None) -> None:
    """Raise `ConnectionResetError` if the connection was aborted and its pieces are dropped."""
    if protocol is not None and not protocol.connected:
        raise ConnectionResetError("the connection was closed while its body was read")


def drop_traceback(error: BaseException) -> None:
    """Break the cycle of a lost connection's error, the handler's frames and the request.

    Without it, the buffers of the connection stay until the next garbage collection.
    """
    error.__traceback__ = None
