"""What organisations have running, against their limits."""

from fireflydeck.core.fleet_configuration import FleetConfiguration
from fireflydeck.core.placement import Resources
from fireflydeck.workload.life import Attempt

__all__ = ["OrganisationUsage"]


class OrganisationUsage:
    """Demand of all attempts by organisation; what is being stopped still counts."""

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}

    def add(self, attempt: Attempt) -> None:
        """Count an attempt."""
        organisation = attempt.task.job.spec.organisation
        used = self._used.get(organisation, Resources())
        self._used[organisation] = used + attempt.task.step.demand

    def remove(self, attempt: Attempt) -> None:
        """Count an attempt no more."""
        organisation = attempt.task.job.spec.organisation
        self._used[organisation] = self._used[organisation] - attempt.task.step.demand

    def used(self, organisation: str) -> Resources:
        """Return what an organisation has running."""
        return self._used.get(organisation, Resources())

    def allows(
        self, configuration: FleetConfiguration, organisation: str, demand: Resources
    ) -> bool:
        """Whether `demand` more stays within the organisation's limit."""
        known = configuration.organisation(organisation)
        if known is None:
            return True
        limit, used = known.limit, self.used(organisation)
        return (
            _within(used.cpu + demand.cpu, limit.cpu)
            and _within(used.memory_mb + demand.memory_mb, limit.memory_mb)
            and _within(used.accelerators + demand.accelerators, limit.accelerators)
        )


def _within(amount: int, limit: int) -> bool:
    return limit <= 0 or amount <= limit
