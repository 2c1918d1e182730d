"""Knowledge of the runs that earlier holders of the lease may have left on backend servers.

A run that the holder does not know is not a run that does not exist. Decisions that depend on all
runs of a queue ask here which servers may still run some of them.
"""

from collections.abc import Mapping

from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.core.placement import Resources
from fireflydeck.kernel import Event, EventLog
from fireflydeck.ownership.records import Tenure
from fireflydeck.scheduling.hidden_usage import HiddenUsage
from fireflydeck.scheduling.roster_rows import NO_WORK, PossibleWork
from fireflydeck.scheduling.server_life import (
    MAX_LEASE_MS,
    MAX_ORDER_DELAY_MS,
    SERVER_LEASE_MS,
    RunCoverage,
    ServerLife,
    lease_duration_ms,
)
from fireflydeck.scheduling.servers import Server
from fireflydeck.scheduling.session import LEASE_EXTENSION_GRACE_MS
from fireflydeck.workload.lifecycle import Job

__all__ = ["FleetKnowledge"]

_EXPIRY_SLACK_MS = 200
_EARLIER_LEASE_MS = LEASE_EXTENSION_GRACE_MS + lease_duration_ms(SERVER_LEASE_MS) + _EXPIRY_SLACK_MS
"""Time after the start of a tenure at which every lease granted by earlier holders has expired."""
_LATE_START_MS = MAX_ORDER_DELAY_MS + lease_duration_ms(MAX_LEASE_MS) + _EXPIRY_SLACK_MS
"""Time after the start of a tenure at which runs by late starts of earlier holders have ended."""
_START_EXPIRY_MS = lease_duration_ms(SERVER_LEASE_MS) + _EXPIRY_SLACK_MS
"""Time after the start of a tenure at which backend servers reject starts of earlier holders.

A start names the end of its lease on the backend server's clock and is rejected after it.
"""


@define(eq=False, kw_only=True)
class FleetKnowledge:
    """Judge of how completely the runs on the fleet's backend servers are known.

    Parameters
    ----------
    servers
        Known backend servers by id.
    jobs
        Jobs that are not closed, by id.
    """

    tenure: Tenure
    servers: dict[str, Server]
    clock: Clock
    log: EventLog
    jobs: Mapping[str, Job]
    _is_complete: bool = field(default=False, init=False)

    def hidden_usage(self) -> HiddenUsage:
        """Return what may be running without the holder's knowledge at this moment."""
        return HiddenUsage(self._hidden_work(), self.tenure.since_version, self.jobs.values())

    def may_hide_start(self, job: Job) -> bool:
        """Return whether a start that an earlier holder sent for the job may yet take effect."""
        is_late = self.clock.now_ms() >= self.tenure.since_ms + _START_EXPIRY_MS
        return not is_late and self.hidden_usage().may_include(job)

    def _hidden_work(self) -> PossibleWork:
        hidden = [server for server in self.servers.values() if self.may_hide_runs(server)]
        if not hidden and self.servers and not self._is_complete:
            self._is_complete = True
            self.log.emit(
                Event.FLEET_KNOWN,
                term=self.tenure.term,
                servers=len(self.servers),
                unheard=sum(not server.life.has_answered for server in self.servers.values()),
                took_ms=self.clock.now_ms() - self.tenure.since_ms,
            )
        return _total_work(hidden)

    def may_hide_runs(self, server: Server) -> bool:
        """Return whether a server may have runs of earlier holders that are not known yet."""
        life = server.life
        if life.coverage == RunCoverage.COMPLETE or not server.earlier_work.is_possible:
            return False
        return life.has_answered or not self._have_earlier_runs_ended(life)

    def _have_earlier_runs_ended(self, life: ServerLife) -> bool:
        """Return whether every run that earlier holders started has certainly ended.

        A life that began in this tenure may carry out late starts of earlier holders.
        """
        duration_ms = _EARLIER_LEASE_MS if life.is_first else _LATE_START_MS
        return self.clock.now_ms() >= self.tenure.since_ms + duration_ms


def _total_work(servers: list[Server]) -> PossibleWork:
    """Return what earlier holders may have left on any of the servers."""
    if not servers:
        return NO_WORK
    capacity: Resources | None = Resources()
    for server in servers:
        is_registered = server.is_registered
        known = server.registration.capacity if is_registered else server.earlier_work.capacity
        capacity = None if capacity is None or known is None else capacity + known
    queues: frozenset[str] = frozenset().union(*(server.earlier_work.queues for server in servers))
    may_be_other = any(server.earlier_work.may_be_other for server in servers)
    return PossibleWork(queues, may_be_other, capacity)
