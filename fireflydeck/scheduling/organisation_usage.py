"""Resource usage of organisations and its limits."""

from fireflydeck.core.fleet_configuration import FleetConfiguration
from fireflydeck.core.placement import Resources
from fireflydeck.scheduling.hidden_usage import HiddenUsage
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
        self,
        configuration: FleetConfiguration,
        organisation: str,
        demand: Resources,
        hidden: HiddenUsage,
    ) -> bool:
        """Return whether another `demand` stays within the organisation's limit.

        Parameters
        ----------
        hidden
            Upper bound of the usage by runs that are not known.
        """
        known = configuration.organisation(organisation)
        if known is None or known.limit == Resources():
            return True
        needed = self.used(organisation) + demand
        if not _is_within(needed, known.limit):
            return False
        return not hidden.is_possible or _is_within(needed + hidden.of(organisation), known.limit)


def _is_within(amount: Resources, limit: Resources) -> bool:
    """Return whether no amount exceeds its limit; 0 is no limit."""
    return (
        (limit.cpu <= 0 or amount.cpu <= limit.cpu)
        and (limit.memory_mb <= 0 or amount.memory_mb <= limit.memory_mb)
        and (limit.accelerators <= 0 or amount.accelerators <= limit.accelerators)
    )
