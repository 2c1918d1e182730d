"""Connections that wait to be accepted when a listener closes."""

import socket

__all__ = ["accept_pending"]


def accept_pending(listener: socket.socket) -> list[socket.socket]:
    """Accept the connections in the queue of a non-blocking listener.

    Closing the listener resets what is left there, with requests that were sent already; a busy
    process may be some time behind with accepting.
    """
    accepted: list[socket.socket] = []
    while True:
        try:
            connection, _ = listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return accepted
        connection.setblocking(False)
        accepted.append(connection)
