"""Addresses and options of the peers' TCP sockets."""

import socket

from anyio.abc import SocketAttribute, SocketStream

__all__ = ["configure_socket", "format_address", "split_address"]

_KEEP_ALIVE_IDLE_S = 30
_KEEP_ALIVE_INTERVAL_S = 10
_KEEP_ALIVE_PROBES = 3


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port.

    Raises
    ------
    ValueError
        If the port is not a number.

    Examples
    --------
    >>> split_address("10.0.0.5:7000")
    ('10.0.0.5', 7000)
    >>> split_address("[::1]:7000")
    ('::1', 7000)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def format_address(host: str, port: int) -> str:
    """Return ``ip:port``.

    Examples
    --------
    >>> format_address("::1", 7000)
    '[::1]:7000'
    """
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def configure_socket(stream: SocketStream) -> None:
    """Enable keep-alive probes, which end connections to vanished peers, and `TCP_NODELAY`."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
