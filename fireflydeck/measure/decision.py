"""Processor time of one scheduling decision, by fleet size and number of waiting requests.

The scheduler runs in this process, with a fake clock and a fixed configuration. One decision is the
release of a slot and its grant to the next request, together with the arrival of another request
that replaces it in the queue.
"""

import time
from random import Random

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from fireflydeck.configuration import ConfigurationView
from fireflydeck.configuration.view import ConfigurationListener
from fireflydeck.core import (
    Configuration,
    ConfigurationChange,
    DataCentre,
    Entity,
    Organisation,
    Pool,
    Queue,
    Vm,
)
from fireflydeck.dispatcher import Scheduler, SlotGrant, SlotOutcome, SlotRequest
from fireflydeck.dispatcher.allotments import WholeLimitAllotments
from fireflydeck.kernel import Metrics
from fireflydeck.measure.fleet_sheet import FleetSize
from fireflydeck.measure.report import Report
from fireflydeck.testing.clock import FakeClock

__all__ = ["build_fleet_configuration", "measure_decision"]

_TARGET_FRACTIONS = (0.25, 0.5, 1)
_WAITING_REQUESTS = (0, 1_000, 10_000)
_DECISIONS = 1_000
_DEADLINE_MS = 86_400_000
_SLOTS = 8
_US_PER_S = 1_000_000


class _FixedView(ConfigurationView):
    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    @property
    def current(self) -> Configuration:
        return self._configuration

    def is_fresh(self) -> bool:
        return True

    def on_change(self, listener: ConfigurationListener) -> None:
        pass


def build_fleet_configuration(size: FleetSize) -> Configuration:
    """Return a configuration of the given size, with one queue for each pool."""
    entities: list[Entity] = [
        DataCentre(name=f"dc-{n}", region=f"region-{n % size.regions}")
        for n in range(size.data_centres)
    ]
    entities += [
        Organisation(name=f"organisation-{n}", limit=_SLOTS * size.vms)
        for n in range(size.organisations)
    ]
    for number in range(size.pools):
        name = f"pool-{number}"
        entities += [Pool(name=name), Queue(name=name, pool=name, max_waiting=1_000_000)]
    entities += [
        Vm(
            name=f"vm-{n}",
            pool=f"pool-{n % size.pools}",
            data_centre=f"dc-{n % size.data_centres}",
            rack=f"rack-{n // 16}",
            address="127.0.0.1:9",
            slots=_SLOTS,
        )
        for n in range(size.vms)
    ]
    change = ConfigurationChange(version=1, change_id="measure", puts=tuple(entities))
    return Configuration().apply(change)


@define
class _Load:
    """Load of slot requests on one scheduler.

    Attributes
    ----------
    grants
        Granted slots that are not released yet.
    sent
        Number of requests sent.
    """

    size: FleetSize
    random: Random
    scheduler: Scheduler
    tasks: TaskGroup
    grants: list[SlotGrant] = field(factory=list)
    sent: int = 0

    async def send_request(self) -> None:
        self.sent += 1
        self.tasks.start_soon(self._acquire, self.sent)

    async def _acquire(self, number: int) -> None:
        request = SlotRequest(
            request_id=f"r-{number}",
            queue=f"pool-{self.random.randrange(self.size.pools)}",
            organisation=f"organisation-{self.random.randrange(self.size.organisations)}",
            deadline_ms=_DEADLINE_MS,
        )
        result = await self.scheduler.acquire(request)
        if result.is_ok():
            self.grants.append(result.ok)

    def release_one(self) -> None:
        index = self.random.randrange(len(self.grants))
        grant = self.grants.pop(index)
        self.scheduler.release(grant, SlotOutcome.FINISHED)

    async def fill(self, waiting: int) -> None:
        slots = _SLOTS * self.size.vms
        while not waiting and self.sent < slots // 2:
            await self._send_batch()
        while waiting and self.sent - len(self.grants) < waiting:
            await self._send_batch()

    async def _send_batch(self) -> None:
        for _ in range(100):
            await self.send_request()
        await anyio.wait_all_tasks_blocked()

    async def time_decisions(self, decisions: int) -> float:
        started_s = time.process_time()
        for _ in range(decisions):
            self.release_one()
            await self.send_request()
            await anyio.sleep(0)
            await anyio.sleep(0)
        return (time.process_time() - started_s) / decisions


async def _measure(size: FleetSize, waiting: int, seed: int, report: Report) -> None:
    clock, metrics = FakeClock(), Metrics()
    view = _FixedView(build_fleet_configuration(size))
    scheduler = Scheduler(view, WholeLimitAllotments(view), clock, metrics)
    async with anyio.create_task_group() as tasks:
        load = _Load(size, Random(seed), scheduler, tasks)
        await load.fill(waiting)
        decision_s = await load.time_decisions(_DECISIONS)
        started_s = time.process_time()
        scheduler.tick()
        tick_s = time.process_time() - started_s
        report.add(
            size=size.name,
            vms=size.vms,
            waiting=waiting,
            decision_us=round(decision_s * _US_PER_S, 1),
            tick_us=round(tick_s * _US_PER_S, 1),
        )
        tasks.cancel_scope.cancel()


async def measure_decision(report: Report, seed: int = 1) -> None:
    """Measure each fleet size with each number of waiting requests."""
    for fraction in _TARGET_FRACTIONS:
        for waiting in _WAITING_REQUESTS:
            await _measure(FleetSize.of_target(fraction), waiting, seed, report)
