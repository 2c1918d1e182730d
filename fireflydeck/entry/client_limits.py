"""Bounds on what the clients of all listeners of an entry process may use together."""

from attrs import frozen

__all__ = ["CONNECTION_COST_BYTES", "ClientLimits", "ClientLimitsError", "derive_limits"]

CONNECTION_COST_BYTES = 48 * 1024
"""Charge for an open connection: 16 KiB for its objects and those of one request, 16 KiB of
unparsed input and 16 KiB in the kernel's buffers."""
STATUS_CONNECTIONS = 32
"""Connections to each of the readiness address and the metrics address."""
_STATUS_LISTENERS = 2
_MEMORY_FRACTION = 0.22
"""Part of the machine's memory for clients. A process without clients takes 47 MB, and the smallest
machine has 200 MB, of which the process is to stay below 60%."""
_CONNECTION_FRACTION = 0.75
"""Part of the memory budget that open connections may take; the rest is for bodies."""
_PEER_FRACTION = 0.4
"""Connections to the address for entry processes, as a fraction of those of callers: 32 processes
with at most 8 connections each."""
_MIN_BODIES = 4
"""Number of bodies of the largest legal size for which the budget must have room."""
_RESERVED_DESCRIPTORS = 1024
"""Descriptors for the store, 350 backend servers and 32 entry processes, with several connections
to some of them."""
_MIN_CONNECTIONS = 16
_MIN_MEMORY_BYTES = 8 * 2**20
"""Memory that a machine of any size gives to clients; it has room for `_MIN_CONNECTIONS`."""


@frozen
class ClientLimitsError(Exception):
    """Limits that contradict each other or do not leave enough for the process."""

    detail: str

    def __str__(self) -> str:
        return self.detail


@frozen(kw_only=True)
class ClientLimits:
    """Bounds on the clients of a process.

    Parameters
    ----------
    memory_bytes
        Memory for the connections and requests of all listeners.
    caller_connections, status_connections, peer_connections
        Number of open connections of the listener for callers, of each of the listeners for
        readiness and metrics, and of the listener for other entry processes.
    """

    memory_bytes: int
    caller_connections: int
    peer_connections: int
    status_connections: int = STATUS_CONNECTIONS

    @property
    def connections(self) -> int:
        """Return the number of open connections of all listeners."""
        status = _STATUS_LISTENERS * self.status_connections
        return self.caller_connections + self.peer_connections + status


def derive_limits(
    *,
    machine_memory_mb: int,
    max_descriptors: int,
    max_body_bytes: int,
    memory_mb: int | None = None,
    caller_connections: int | None = None,
) -> ClientLimits:
    """Return the limits for a machine.

    Parameters
    ----------
    machine_memory_mb
        Memory of the machine, in MB.
    max_descriptors
        Limit on the open file descriptors of the process.
    max_body_bytes
        Largest legal body.
    memory_mb, caller_connections
        Settings of the operator; `None` for the values that follow from the machine.

    Raises
    ------
    ClientLimitsError
        If the settings do not fit the machine or each other.
    """
    if memory_mb is None:
        memory_bytes = max(_MIN_MEMORY_BYTES, int(machine_memory_mb * _MEMORY_FRACTION * 2**20))
    else:
        memory_bytes = memory_mb * 2**20
    if memory_mb is not None and not 0 < memory_mb <= machine_memory_mb // 2:
        raise ClientLimitsError("client_memory_mb must be above 0 and at most half of memory_mb")
    by_memory = int(memory_bytes * _CONNECTION_FRACTION) // CONNECTION_COST_BYTES
    by_descriptors = max_descriptors - min(_RESERVED_DESCRIPTORS, max_descriptors // 2)
    others = _STATUS_LISTENERS * STATUS_CONNECTIONS
    derived = int((min(by_memory, by_descriptors) - others) / (1 + _PEER_FRACTION))
    callers = max(derived, _MIN_CONNECTIONS) if caller_connections is None else caller_connections
    limits = ClientLimits(
        memory_bytes=memory_bytes,
        caller_connections=callers,
        peer_connections=max(_MIN_CONNECTIONS, int(callers * _PEER_FRACTION)),
    )
    if callers < _MIN_CONNECTIONS:
        raise ClientLimitsError(f"client_connections must be at least {_MIN_CONNECTIONS}")
    if limits.connections > by_descriptors:
        raise ClientLimitsError(
            f"client_connections leave too few of the {max_descriptors} descriptors"
        )
    body_room = limits.memory_bytes - limits.connections * CONNECTION_COST_BYTES
    if body_room < _MIN_BODIES * max_body_bytes:
        raise ClientLimitsError("client_memory_mb is too small for client_connections and bodies")
    return limits
