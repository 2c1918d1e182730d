"""Resource usage of organisations and its limits."""

from fireflydeck.core.fleet_configuration import FleetConfiguration
from fireflydeck.core.placement import Resources
from fireflydeck.workload.lifecycle import Attempt

__all__ = ["OrganisationUsage"]


class OrganisationUsage:
    """Total demand of all attempts by organisation, including those that are being stopped."""

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}

    def add(self, attempt: Attempt) -> None:
        """Add the demand of an attempt."""
        organisation = attempt.task.job.spec.organisation
        used = self._used.get(organisation, Resources())
        self._used[organisation] = used + attempt.task.step.demand

    def remove(self, attempt: Attempt) -> None:
        """Subtract the demand of an attempt."""
        organisation = attempt.task.job.spec.organisation
        self._used[organisation] = self._used[organisation] - attempt.task.step.demand

    def used(self, organisation: str) -> Resources:
        """Return the resources that the attempts of an organisation use."""
        return self._used.get(organisation, Resources())

    def allows(
        self, configuration: FleetConfiguration, organisation: str, demand: Resources
    ) -> bool:
        """Return whether another `demand` stays within the organisation's limit."""
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
