"""Access to private attributes of aiohttp and asyncio that the limits on clients need.

`tests/test_aiohttp_internals.py` fails if a version of the library or of Python changes one of
them.
"""

import asyncio

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestPayloadError, _ErrInfo

__all__ = [
    "has_parse_error",
    "is_waiting_for_request",
    "limit_read_size",
    "limit_requests_ahead",
    "newest_body",
    "parsed_requests",
    "queued_requests",
]


def limit_requests_ahead(
    protocol: web.RequestHandler,
    loop: asyncio.AbstractEventLoop,
    *,
    requests: int,
    read_bufsize: int,
) -> None:
    """Set how many parsed requests a connection may queue, before its first byte is read.

    The library has a module constant of 32 for all servers of a process, clients' stand-ins
    included.
    """
    protocol._max_msg_queue_size = requests
    protocol._msg_queue_resume_size = requests // 2
    protocol._parser = HttpRequestParser(
        protocol,
        loop,
        read_bufsize,
        max_line_size=protocol.max_line_size,
        max_field_size=protocol.max_field_size,
        max_headers=protocol.max_headers,
        payload_exception=RequestPayloadError,
        auto_decompress=True,
        max_msg_queue_size=requests,
    )


def limit_read_size(transport: asyncio.Transport, count: int) -> None:
    """Set how many bytes the transport of a connection reads at once; 256 KiB by default."""
    transport.max_size = count


def parsed_requests(protocol: web.RequestHandler) -> int:
    """Return the number of heads that the connection has parsed, with the invalid ones."""
    return protocol._request_count


def queued_requests(protocol: web.RequestHandler) -> int:
    """Return the number of parsed requests that wait for the request in progress."""
    return len(protocol._messages)


def newest_body(protocol: web.RequestHandler) -> StreamReader:
    """Return the body of the request that was parsed last; it must still be queued."""
    return protocol._messages[-1][1]


def has_parse_error(protocol: web.RequestHandler) -> bool:
    """Return whether the newest queued request is invalid; nothing after it can be parsed."""
    return bool(protocol._messages) and isinstance(protocol._messages[-1][0], _ErrInfo)


def is_waiting_for_request(protocol: web.RequestHandler) -> bool:
    """Return whether no request is queued or in progress."""
    return protocol._waiter is not None and not protocol._messages
