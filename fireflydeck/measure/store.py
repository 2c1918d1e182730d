"""Store calls and control traffic of idle processes, by number of entry VMs."""

from fireflydeck.measure.fleet_sheet import FleetSize
from fireflydeck.measure.idle import idle_values, observe_idle
from fireflydeck.measure.observed_fleet import ROLES
from fireflydeck.measure.report import Report
from fireflydeck.measure.slopes import fit_line

__all__ = ["measure_store"]

_OBSERVED_S = 10
_ENTRY_VMS = (1, 2, 4)
_TARGET_ENTRY_VMS = 8


async def measure_store(report: Report) -> None:
    """Measure the target configuration with several numbers of entry VMs and extrapolate."""
    totals: dict[str, list[tuple[float, float]]] = {}
    for count in _ENTRY_VMS:
        uses = await observe_idle(FleetSize.of_target(1), count, _OBSERVED_S)
        for role in ROLES:
            report.add(entry_vms=count, role=role, **idle_values(uses, role))
        for kind in ("reads", "writes", "platform_bytes", "peer_bytes"):
            total = sum(getattr(use, kind) / use.seconds for use in uses.values())
            totals.setdefault(kind, []).append((count, total))
    for kind, measured in totals.items():
        line = fit_line(measured)
        report.add(
            total_per_s=kind,
            base=round(line.base, 2),
            per_entry_vm=round(line.slope, 2),
            at_8_entry_vms=round(line.at(_TARGET_ENTRY_VMS), 1),
        )
