"""Connections that are still waiting to be accepted when a listener closes."""

import socket

__all__ = ["accept_pending_connections"]


def accept_pending_connections(listener: socket.socket) -> list[socket.socket]:
    """Accept and return all connections in the queue of a non-blocking listener.

    Closing the listener resets the connections that are still in its queue, although their
    requests may have been sent already. In a busy process there may be such connections, because
    it accepts them with a delay.
    """
    accepted: list[socket.socket] = []
    while True:
        try:
            connection, _ = listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return accepted
        connection.setblocking(False)
        accepted.append(connection)
