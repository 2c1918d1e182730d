"""Runs that are not known to the lease holder, and an upper bound of what they use."""

from collections.abc import Collection

from attrs import define, field

from fireflydeck.core.placement import Resources
from fireflydeck.scheduling.roster_rows import NO_WORK, PossibleWork
from fireflydeck.workload.lifecycle import Job, tasks_of_unknown_runs

__all__ = ["HiddenUsage"]


@define(eq=False)
class HiddenUsage:
    """Runs of earlier holders that are not known, and an upper bound of what they use.

    Two bounds hold: what all tasks that may be running demand, and the capacity of the servers on
    which they may run. The lower one counts, for each resource.

    Parameters
    ----------
    work
        Work of earlier holders that is not known yet.
    since_version
        Version of the store at which the tenure began. Only tasks of jobs that were stored before
        can have such runs.
    jobs
        Jobs that are not closed.
    """

    work: PossibleWork = NO_WORK
    since_version: int = 0
    jobs: Collection[Job] = ()
    _usage: dict[str, Resources] | None = field(default=None, init=False)

    @property
    def is_possible(self) -> bool:
        """Return whether there may be any."""
        return self.work.is_possible

    def may_include(self, job: Job) -> bool:
        """Return whether a task of the job may be running unknown to the holder."""
        return job.stored_version <= self.since_version and self.work.may_include(job.spec.queue)

    def of(self, organisation: str) -> Resources:
        """Return the most that the unknown runs of an organisation can use."""
        if self._usage is None:
            capacity = self.work.capacity
            self._usage = {
                name: _bounded(demand, fill, capacity)
                for name, (demand, fill) in self._sum_demand().items()
            }
        return self._usage.get(organisation, Resources())

    def _sum_demand(self) -> dict[str, tuple[Resources, Resources]]:
        """Return the demand of the runs that may exist, without and of fill tasks."""
        sums: dict[str, tuple[Resources, Resources]] = {}
        for job in self.jobs:
            if not self.may_include(job):
                continue
            demand, fill = sums.get(job.spec.organisation, (Resources(), Resources()))
            for task in tasks_of_unknown_runs(job):
                if task.step.fill:
                    fill = fill + task.step.demand
                else:
                    demand = demand + task.step.demand
            sums[job.spec.organisation] = demand, fill
        return sums


def _bounded(demand: Resources, fill: Resources, capacity: Resources | None) -> Resources:
    """Return what tasks can use on servers of a capacity.

    Fill tasks reserve no processor time, so they may use more of it than there is.
    """
    if capacity is None:
        return demand + fill
    return Resources(
        min(demand.cpu, capacity.cpu) + fill.cpu,
        min(demand.memory_mb + fill.memory_mb, capacity.memory_mb),
        min(demand.accelerators + fill.accelerators, capacity.accelerators),
    )
