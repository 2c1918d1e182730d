"""Builders of backend servers as the lease holder knows them."""

from fireflydeck.core.placement import BackendServerState, Registration, Resources
from fireflydeck.scheduling.server_life import RunCoverage, ServerLife
from fireflydeck.scheduling.servers import Server
from fireflydeck.testing.job_builders import SERVER_CAPACITY

__all__ = ["build_server"]


def build_server(
    server_id: str, *, capacity: Resources = SERVER_CAPACITY, has_pending_maintenance: bool = False
) -> Server:
    """Return a server of the pool ``paint`` that answers and whose runs are all known."""
    registration = Registration(
        server_id=server_id,
        pool="paint",
        address="127.0.0.1:1",
        data_centre="zvolen",
        state=BackendServerState.READY,
        capacity=capacity,
        labels=frozenset(),
    )
    life = ServerLife(fencing_token=1, known_since_ms=0, coverage=RunCoverage.COMPLETE)
    server = Server(registration, None, life, is_in_roster=True, is_reachable=True)
    server.has_pending_maintenance = has_pending_maintenance
    return server
