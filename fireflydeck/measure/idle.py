"""Memory, processor time and control traffic of idle processes, by configuration size."""

import statistics

from fireflydeck.measure.fleet_sheet import SIZES, FleetSize
from fireflydeck.measure.observed_fleet import ROLES, RoleUse, observed_fleet
from fireflydeck.measure.report import Report
from fireflydeck.measure.slopes import fit_line

__all__ = ["idle_values", "measure_idle"]

_STARTUP_WAIT_S = 6
_OBSERVED_S = 15
_ENTRY_VMS = 2
_BYTES_PER_KB = 1024


def idle_values(uses: dict[str, RoleUse], role: str) -> dict[str, float]:
    """Return the mean values over the processes of a role; counters as rates per second."""
    role_uses = [use for name, use in uses.items() if name.endswith(f"-{role}")]

    def rate(counter: str) -> float:
        return statistics.fmean(getattr(use, counter) / use.seconds for use in role_uses)

    return {
        "resident_mb": round(statistics.fmean(use.resident_mb for use in role_uses), 1),
        "processor_percent": round(100 * rate("processor_s"), 2),
        "platform_kb_per_s": round(rate("platform_bytes") / _BYTES_PER_KB, 2),
        "peer_kb_per_s": round(rate("peer_bytes") / _BYTES_PER_KB, 2),
        "reads_per_s": round(rate("reads"), 2),
        "writes_per_s": round(rate("writes"), 2),
    }


async def observe_idle(
    size: FleetSize, entry_vms: int, observed_s: float, *, has_backend_servers: bool = True
) -> dict[str, RoleUse]:
    """Return the resource use of each process of an idle fleet."""
    async with observed_fleet(size, entry_vms, has_backend_servers=has_backend_servers) as observed:
        await observed.use_during(_STARTUP_WAIT_S)
        return await observed.use_during(observed_s)


async def measure_idle(report: Report) -> None:
    """Measure all sizes and fit a line through the values of each role by number of VMs.

    The last rows are measured at the largest size while no backend server answers.
    """
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for size in SIZES:
        uses = await observe_idle(size, _ENTRY_VMS, _OBSERVED_S)
        for role in ROLES:
            values = idle_values(uses, role)
            report.add(size=size.name, vms=size.vms, role=role, **values)
            for name, value in values.items():
                points.setdefault((role, name), []).append((size.vms, value))
    for (role, name), measured in points.items():
        line = fit_line(measured)
        report.add(
            role=role, value=name, base=round(line.base, 3), per_100_vms=round(100 * line.slope, 4)
        )
    uses = await observe_idle(SIZES[-1], _ENTRY_VMS, _OBSERVED_S, has_backend_servers=False)
    for role in ROLES:
        report.add(size="no backend server answers", role=role, **idle_values(uses, role))
