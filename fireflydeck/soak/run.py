"""Soak runs: starts processes, stand-ins, proxies and callers, injects faults, checks promises."""

import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from random import Random

import anyio
import fire
import orjson
from anyio.abc import TaskGroup
from attrs import define, field

from fireflydeck.core import Clock, SystemClock
from fireflydeck.kernel import Event, Registry
from fireflydeck.soak.callers import Callers
from fireflydeck.soak.configuration_probes import ConfigurationProber, check_configurations
from fireflydeck.soak.fault_plan import MEAN_PAUSE_MS, PlannedFault, plan_faults
from fireflydeck.soak.injector import FaultInjector
from fireflydeck.soak.operator import DATA_CENTRES, Operation, Operator
from fireflydeck.soak.operator_promises import check_operations
from fireflydeck.soak.promises import Violation, check_promises
from fireflydeck.standins.fault_proxy import FaultProxy
from fireflydeck.standins.run_record import RunRecord
from fireflydeck.testing.platform_fleet import EntryProcess, PlatformFleet, running_platform_fleet
from fireflydeck.testing.processes import wait_until

__all__ = ["SoakReport", "main", "run_soak"]

_ENTRY_COUNT = 3
_SERVER_COUNT = 4
_COMPLETION_TIMEOUT_MS = 25_000
"""Time within which all accepted jobs must end after the traffic and the faults."""
_STOP_TIMEOUT_MS = 6_000
_READINESS_TIMEOUT_MS = 10_000
_TASK_DURATION_RANGE_MS = (150, 900)
_MAX_CLOCK_OFFSET_MS = 1_000_000
_CLOCK_RATE_RANGE = (0.98, 1.02)
_MS_PER_MINUTE = 60_000


@define
class SoakReport:
    """Counts of a soak run and the violations that it found."""

    seed: int
    faults: list[PlannedFault]
    jobs: int = 0
    accepted: int = 0
    runs: int = 0
    probes: int = 0
    operations: list[Operation] = field(factory=list)
    violations: list[Violation] = field(factory=list)

    def __str__(self) -> str:
        verdict = "kept" if not self.violations else f"{len(self.violations)} violations"
        return (
            f"seed {self.seed}: {len(self.faults)} faults, {len(self.operations)} operations, "
            f"{self.jobs} jobs, {self.accepted} accepted, {self.runs} runs, "
            f"{self.probes} probes: {verdict}"
        )


@define(eq=False)
class _SoakRun:
    """Single run of the soak."""

    seed: int
    length_ms: int
    mean_pause_ms: int
    directory: Path
    is_speculative: bool
    tasks: TaskGroup
    clock: Clock = field(factory=SystemClock)
    links: dict[str, FaultProxy] = field(factory=dict)

    async def run(self) -> SoakReport:
        """Execute the run and return its report."""
        random = Random(self.seed)
        fleet_context = running_platform_fleet(
            self.directory,
            entries=_ENTRY_COUNT,
            servers=_SERVER_COUNT,
            data_centres=DATA_CENTRES,
            link=self._add_link,
            prepare=partial(_randomise_servers, random),
        )
        async with fleet_context as fleet:
            report = SoakReport(
                self.seed, plan_faults(self.seed, self.length_ms, self.mean_pause_ms)
            )
            callers = Callers(
                [entry.address for entry in fleet.entries], random, self.clock, self.is_speculative
            )
            operator = Operator(fleet.store.rows, self.clock, self.seed, self.length_ms)
            operator.grant_keys()
            prober = ConfigurationProber(
                callers.addresses, operator, Random(f"probes {self.seed}"), self.clock
            )
            injector = self._injector(fleet)
            async with anyio.create_task_group() as background_tasks:
                callers.start(background_tasks)
                background_tasks.start_soon(operator.run)
                background_tasks.start_soon(operator.change_queues)
                prober.start(background_tasks)
                await self._inject_faults(injector, report.faults)
                callers.stop_submitting()
                await self._wait_until_completed(callers)
                background_tasks.cancel_scope.cancel()
            await callers.close()
            self._check_jobs(report, fleet, callers)
            report.probes = len(prober.probes)
            report.violations.extend(check_configurations(prober.probes))
            report.operations = operator.operations
            report.violations.extend(
                check_operations(
                    operator.operations,
                    callers.jobs,
                    _run_records(fleet),
                    data_centres=fleet.data_centres,
                    link_faults=injector.server_link_faults,
                )
            )
            report.violations.extend(await _check_readiness(fleet.entries))
            report.violations.extend(await _stop_all(fleet.entries))
            report.violations.extend(_check_logs(fleet.entries))
        for link in self.links.values():
            await link.stop()
        return report

    async def _add_link(self, name: str, address: str) -> str:
        link = FaultProxy("127.0.0.1:0", address, self.clock)
        await link.start(Registry(), self.tasks)
        self.links[name] = link
        return link.address

    def _injector(self, fleet: PlatformFleet) -> FaultInjector:
        return FaultInjector(
            fleet,
            [link for name, link in self.links.items() if name.startswith("store-")],
            [link for name, link in self.links.items() if name.startswith("server-")],
            self.clock,
        )

    async def _inject_faults(self, injector: FaultInjector, faults: list[PlannedFault]) -> None:
        started_ms = self.clock.now_ms()
        async with anyio.create_task_group() as tasks:
            for fault in faults:
                await self.clock.sleep_ms(started_ms + fault.at_ms - self.clock.now_ms())
                tasks.start_soon(injector.inject, fault)
            await self.clock.sleep_ms(started_ms + self.length_ms - self.clock.now_ms())
        injector.fleet.store.faults.next.clear()

    async def _wait_until_completed(self, callers: Callers) -> None:
        async def all_completed() -> bool:
            return not callers.open_jobs()

        try:
            await wait_until(
                all_completed, timeout_ms=_COMPLETION_TIMEOUT_MS, what="completion of all jobs"
            )
        except TimeoutError as error:
            print(f"seed {self.seed}: {error}", file=sys.stderr)

    def _check_jobs(self, report: SoakReport, fleet: PlatformFleet, callers: Callers) -> None:
        runs = _run_records(fleet)
        report.jobs = len(callers.jobs)
        report.accepted = sum(job.accepted_ms is not None for job in callers.jobs)
        report.runs = len(runs)
        report.violations.extend(check_promises(callers.jobs, runs))


def _run_records(fleet: PlatformFleet) -> list[RunRecord]:
    """Return the run records of all backend servers, up to date."""
    for server in fleet.servers.values():
        server.running()
    return [record for server in fleet.servers.values() for record in server.records]


def _randomise_servers(random: Random, fleet: PlatformFleet) -> None:
    for server in fleet.servers.values():
        server.duration_ms = random.randint(*_TASK_DURATION_RANGE_MS)
        server.clock_offset_ms = random.randint(-_MAX_CLOCK_OFFSET_MS, _MAX_CLOCK_OFFSET_MS)
        server.clock_rate = random.uniform(*_CLOCK_RATE_RANGE)


async def _check_readiness(entries: list[EntryProcess]) -> list[Violation]:
    """Find processes that exited by themselves or are not ready after the faults."""
    found: list[Violation] = []
    for entry in entries:
        try:
            await wait_until(
                entry.is_ready,
                timeout_ms=_READINESS_TIMEOUT_MS,
                what=f"readiness of {entry.process.name}",
            )
        except (TimeoutError, RuntimeError) as error:
            found.append(Violation("processes serve again", str(error)))
    return found


async def _stop_all(entries: list[EntryProcess]) -> list[Violation]:
    """Stop all processes gracefully; return timeouts and exit codes other than 0."""
    found: list[Violation] = []
    for entry in entries:
        entry.process.terminate()
    for entry in entries:
        try:
            code = await entry.process.wait_for_exit(_STOP_TIMEOUT_MS)
        except TimeoutError as error:
            found.append(Violation("processes stop within the grace time", str(error)))
            continue
        if code != 0:
            found.append(Violation("processes stop in order", f"{entry.process.name}: {code}"))
    return found


def _check_logs(entries: list[EntryProcess]) -> list[Violation]:
    """Find log lines that are not JSON, and events of failed services."""
    found: list[Violation] = []
    for entry in entries:
        for line in entry.process.log_path.read_text(encoding="utf-8").splitlines():
            try:
                event = orjson.loads(line)
            except orjson.JSONDecodeError:
                found.append(Violation("logs are structured", f"{entry.process.name}: {line}"))
                continue
            if event["number"] == Event.SERVICE_FAILED.number:
                found.append(Violation("no unexpected errors", line))
    return found


async def run_soak(
    seed: int,
    length_ms: int,
    directory: Path,
    mean_pause_ms: int = MEAN_PAUSE_MS,
    *,
    is_speculative: bool = False,
) -> SoakReport:
    """Run the soak once.

    Parameters
    ----------
    seed
        Seed of the faults, jobs, operations and properties of the backend servers.
    length_ms
        Duration of traffic and faults.
    directory
        Directory for the settings and logs of the processes.
    mean_pause_ms
        Mean time between the starts of two consecutive single faults or series.
    is_speculative
        Whether the tasks of all jobs may have copies.
    """
    async with anyio.create_task_group() as tasks:
        run = _SoakRun(seed, length_ms, mean_pause_ms, directory, is_speculative, tasks)
        report = await run.run()
        tasks.cancel_scope.cancel()
    return report


def _run_command(
    seed: int | None = None,
    minutes: float = 1.0,
    seeds: int = 1,
    pause_ms: int = MEAN_PAUSE_MS,
    speculative: bool = False,
) -> None:
    """Run the soak with one seed or several consecutive ones.

    Parameters
    ----------
    seed
        First seed; the current time in seconds by default.
    minutes
        Duration of the traffic of each run.
    seeds
        Number of runs.
    pause_ms
        Mean time between the starts of two consecutive single faults or series, in ms.
    speculative
        Whether the tasks of all jobs may have copies.
    """
    first = int(time.time()) if seed is None else seed
    failed: list[int] = []
    for number in range(first, first + seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"fireflydeck-soak-{number}-"))
        run = partial(run_soak, is_speculative=speculative)
        report = anyio.run(run, number, int(minutes * _MS_PER_MINUTE), directory, pause_ms)
        print(report, flush=True)
        for violation in report.violations:
            print(f"  {violation.promise}: {violation.detail}", flush=True)
        if report.violations:
            failed.append(number)
            print(f"  logs: {directory}", flush=True)
    sys.exit(1 if failed else 0)


def main() -> None:
    """Run the soak from the command line."""
    fire.Fire(_run_command, name="soak")


if __name__ == "__main__":
    main()
