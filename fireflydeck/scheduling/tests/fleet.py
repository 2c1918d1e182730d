"""In-memory fleet for tests: store, backend servers and the processes that schedule it."""

from contextlib import asynccontextmanager

import anyio

from fireflydeck.core.vm_orders import ListedVm, ListedVmState
from fireflydeck.kernel import Metrics, Registry
from fireflydeck.observation import OperatorDocuments
from fireflydeck.ownership import LeaseKeeper
from fireflydeck.platform.standin.documents import put_configuration, put_registration
from fireflydeck.scheduling.scheduler import Scheduler
from fireflydeck.scheduling.vm_fleet import VmOperationTimes
from fireflydeck.standins.memory_rows import MemoryRows
from fireflydeck.standins.task_server import TaskServer
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.fleet_fakes import FakeAdvisor, FakeBackendServerOrders, FakeVmOrders
from fireflydeck.testing.job_builders import (
    SERVER_CAPACITY,
)
from fireflydeck.testing.recording_log import RecordingLog
from fireflydeck.testing.rows import FakeRowStore
from fireflydeck.testing.successors import FakeSuccessors
from fireflydeck.workload import decode_outcome, outcome_key

START_MS = 1000
"""Time until a member holds the lease and has an answer from every backend server."""
STATUS_MS = 120_000
_TIMES = VmOperationTimes(order_lease_ms=3000, migration_ms=1500, maintenance_ms=2000)


class Member:
    """Entry process with its lease, operators' documents and scheduler."""

    def __init__(self, name, fleet):
        clock, log = fleet.clock, fleet.log
        self.store = FakeRowStore(clock, fleet.rows)
        self.lease = LeaseKeeper(self.store, clock, log, name=name, address=f"{name}:1")
        self.operators = OperatorDocuments(self.store, clock, log)
        self.metrics = Metrics()
        self.orders = {}
        self.unreachable = set()
        self.start_outcome = None
        self.scheduler = Scheduler(
            store=self.store,
            clock=clock,
            log=log,
            metrics=self.metrics,
            make_orders=lambda registration: self._orders(fleet, registration.server_id),
            vm_orders=fleet.vm_orders,
            advisor=fleet.advisor,
            vm_operation_times=_TIMES,
            status_ms=STATUS_MS,
            reservations=fleet.reservations,
            speculative_copies=True,
        )
        self.registry = Registry()
        for service in (self.lease, self.operators, self.scheduler):
            self.registry.add(service)

    def _orders(self, fleet, server_id):
        server = fleet.servers.get(server_id)
        is_gone = server is None
        self.orders[server_id] = FakeBackendServerOrders(
            server or TaskServer(fleet.clock, SERVER_CAPACITY), fleet.clock
        )
        self.orders[server_id].start_outcome = self.start_outcome
        self.orders[server_id].is_unreachable = is_gone or server_id in self.unreachable
        return self.orders[server_id]

    async def start(self, tasks):
        """Start the services, with the lease last."""
        for service in (self.operators, self.scheduler, self.lease):
            await service.start(self.registry, tasks)

    def hand_over_to(self, others):
        """Allow this member to hand the lease over to one of `others`."""
        self.lease.set_successors(FakeSuccessors(lambda: [member.lease for member in others]))

    @property
    def is_leader(self):
        return self.lease.is_valid()


class Fleet:
    """Fleet of a store, backend servers ``s1``, ``s2``, ... and members ``m1``, ``m2``, ..."""

    def __init__(self, servers=2, members=1, reservations=0, **configuration):
        self.reservations = reservations
        self.clock = FakeClock()
        self.rows = MemoryRows()
        self.log = RecordingLog()
        self.vm_orders = FakeVmOrders(self.clock)
        self.advisor = FakeAdvisor()
        self.servers = {}
        put_configuration(self.rows, **configuration)
        for number in range(1, servers + 1):
            self.add_server(f"s{number}")
        self.members = [Member(f"m{number}", self) for number in range(1, members + 1)]

    def add_server(self, server_id, **fields):
        """Add a backend server and register it."""
        self.servers[server_id] = TaskServer(self.clock, SERVER_CAPACITY)
        address = f"127.0.0.1:{len(self.servers)}"
        put_registration(self.rows, server_id, **{"address": address, **fields})

    def add_vms(self, *server_ids, pool="paint"):
        """Add the VMs of backend servers to the platform's list of VMs."""
        for server_id in server_ids:
            name = f"vm-{server_id}"
            self.vm_orders.vms[name] = ListedVm(
                name=name,
                pool=pool,
                state=ListedVmState.UP,
                data_centre="zvolen",
                rack="r1-3",
                capacity=SERVER_CAPACITY,
                server_id=server_id,
            )

    @property
    def leader(self):
        """Return the member that holds the lease."""
        return next(member for member in self.members if member.is_leader)

    def starts(self):
        """Return the task name and run number of all starts, ordered by backend server."""
        return [start for server in self.servers.values() for start in server.starts]

    def running(self):
        """Return the names of the running tasks on all backend servers."""
        return [task for server in self.servers.values() for task in server.running()]

    def outcome(self, job_id):
        """Return the stored outcome of a job, or `None`."""
        row = self.rows.get(outcome_key(job_id))
        return decode_outcome(row.value).value if row else None

    async def advance_ms(self, duration_ms, step_ms=20, check=None):
        """Advance the clock in steps and call `check` after each."""
        for _ in range(duration_ms // step_ms):
            await self.clock.advance_ms(step_ms)
            if check is not None:
                check()


def no_duplicate_runs(fleet):
    """Return a check that no task runs twice at the same time."""

    def check():
        running = fleet.running()
        assert len(running) == len(set(running)), running

    return check


@asynccontextmanager
async def running_fleet(prepare=None, **options):
    """Run a fleet until the block ends; `prepare` is called before its members start."""
    fleet = Fleet(**options)
    if prepare is not None:
        prepare(fleet)
    async with anyio.create_task_group() as tasks:
        for member in fleet.members:
            await member.start(tasks)
        await fleet.advance_ms(START_MS)
        yield fleet
        tasks.cancel_scope.cancel()


__all__ = ["START_MS", "STATUS_MS", "Fleet", "Member", "no_duplicate_runs", "running_fleet"]
