"""Byte counters of peer connections."""

from attrs import define

__all__ = ["Traffic"]


@define
class Traffic:
    """Numbers of bytes of messages with their length prefixes, without TCP headers.

    Parameters
    ----------
    bytes_sent, bytes_received
        Totals since the start, including handshakes.
    """

    bytes_sent: int = 0
    bytes_received: int = 0
