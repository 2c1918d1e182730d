"""Simulation of a fleet under maintenance, for tests of the maintenance policy."""

from collections.abc import Callable, Sequence

from attrs import evolve

from fireflydeck.core import Configuration, DataCentre, Entity, Pool, Vm, VmState
from fireflydeck.policy.maintenance import (
    MaintenanceInputs,
    MaintenanceLimits,
    plan_maintenance,
)
from fireflydeck.testing.builders import build_vm

__all__ = ["MaintenanceFleet", "build_fleet"]

Plan = Callable[[MaintenanceInputs], Sequence[str]]


def build_fleet(pools: int, vms: int, racks: int = 3, budget: int = 1) -> list[Entity]:
    """Return a data centre, pools, and VMs spread evenly over the pools and the racks of each."""
    entities: list[Entity] = [DataCentre(name="dc-1")]
    entities += [Pool(name=f"p-{n}", max_unavailable=budget) for n in range(pools)]
    for number in range(vms):
        rack = f"r-{number // pools % racks}"
        entities.append(build_vm(f"vm-{number}", pool=f"p-{number % pools}", rack=rack))
    return entities


def plan_with_policy(inputs: MaintenanceInputs) -> Sequence[str]:
    """Return the VMs that the maintenance policy chooses."""
    return [decision.vm for decision in plan_maintenance(inputs)]


class MaintenanceFleet:
    """Simulated fleet; a VM that is chosen is out of service for a fixed time.

    Parameters
    ----------
    entities
        Pools, data centres and VMs.
    limits
        Limits of the maintenance policy.
    wall_ms
        Initial wall time in milliseconds.
    duration_ms
        Duration of the maintenance of one VM, in milliseconds.
    plan
        Function that chooses the VMs of each step.
    """

    def __init__(
        self,
        entities: Sequence[Entity],
        limits: MaintenanceLimits,
        wall_ms: int,
        duration_ms: int,
        plan: Plan = plan_with_policy,
    ) -> None:
        by_kind: dict[str, dict[str, Entity]] = {}
        for entity in entities:
            by_kind.setdefault(entity.kind, {})[entity.name] = entity
        self.configuration = Configuration(version=1, entities=by_kind)
        self.limits = limits
        self.wall_ms = wall_ms
        self.first_seen_ms = {vm.name: wall_ms for vm in self.configuration.all(Vm)}
        self.maintenance_end_ms: dict[str, int] = {}
        self.completions_ms: dict[str, list[int]] = {name: [] for name in self.first_seen_ms}
        self._vms = by_kind[Vm.kind]
        self._duration_ms = duration_ms
        self._plan = plan

    def step(self, step_ms: int) -> list[str]:
        """Advance the time, end finished maintenance and start it on the VMs that the plan chooses.

        Returns
        -------
        list[str]
            Names of the chosen VMs.
        """
        self.wall_ms += step_ms
        for name in [
            name for name, end_ms in self.maintenance_end_ms.items() if end_ms <= self.wall_ms
        ]:
            del self.maintenance_end_ms[name]
            self.completions_ms[name].append(self.wall_ms)
            self.set_vm(name, state=VmState.IN_SERVICE, maintained_ms=self.wall_ms)
        chosen = list(self._plan(self.inputs()))
        for name in chosen:
            self.set_vm(name, state=VmState.MAINTENANCE)
            self.maintenance_end_ms[name] = self.wall_ms + self._duration_ms
        return chosen

    def set_vm(self, name: str, **fields: object) -> None:
        """Set fields of a VM."""
        self._vms[name] = evolve(self._vms[name], **fields)

    def inputs(self) -> MaintenanceInputs:
        """Return the current inputs of the policy."""
        return MaintenanceInputs(
            configuration=self.configuration,
            is_fresh=True,
            wall_ms=self.wall_ms,
            limits=self.limits,
            first_seen_ms=self.first_seen_ms,
        )
