"""Sheets of the fleet sizes that are measured: today's fleet and fractions of the target."""

import csv
import io
import os

from attrs import frozen

from fireflydeck.testing.sheets import COLUMNS

__all__ = ["SIZES", "TODAY", "FleetSize", "build_fleet_sheet"]

_FIRST_PORT = 20_000
# The loopback address depends on the process, so that concurrent runs do not share ports.
_HOST = f"127.0.{1 + os.getpid() % 250}.1"


@frozen(kw_only=True)
class FleetSize:
    """Numbers of entities of a fleet; each pool has one queue.

    Examples
    --------
    >>> FleetSize.of_target(0.25).vms
    275
    """

    name: str
    vms: int
    accelerators: int
    pools: int
    organisations: int
    data_centres: int
    regions: int

    @classmethod
    def of_target(cls, fraction: float) -> "FleetSize":
        """Return a fraction of the target size, with all its data centres and regions."""
        return cls(
            name=f"{fraction:g} of the target",
            vms=round(1_100 * fraction),
            accelerators=round(1_400 * fraction),
            pools=round(176 * fraction),
            organisations=round(76 * fraction),
            data_centres=8,
            regions=3,
        )


TODAY = FleetSize(
    name="today", vms=30, accelerators=0, pools=5, organisations=6, data_centres=3, regions=1
)

SIZES = (TODAY, *(FleetSize.of_target(fraction) for fraction in (0.25, 0.5, 1)))


def build_fleet_sheet(size: FleetSize) -> str:
    """Return a sheet of the given size.

    The backend servers have consecutive ports of one loopback address.
    """
    rows = [
        {"kind": "data_centre", "name": f"dc-{n}", "region": f"region-{n % size.regions}"}
        for n in range(size.data_centres)
    ]
    rows += [
        {"kind": "organisation", "name": f"organisation-{n}", "share": "1", "limit": "100"}
        for n in range(size.organisations)
    ]
    for number in range(size.pools):
        name = f"pool-{number}"
        rows.append({"kind": "pool", "name": name, "max_unavailable": "1", "spare": "no"})
        rows.append(
            {"kind": "queue", "name": name, "pool": name, "open_to_all": "no", "max_waiting": "999"}
        )
    rows += [_vm_row(size, number) for number in range(size.vms)]
    text = io.StringIO()
    writer = csv.DictWriter(text, COLUMNS, restval="", lineterminator="\n")
    writer.writeheader()
    writer.writerows(rows)
    return "# fireflydeck sheet, configuration 0\n" + text.getvalue()


def _vm_row(size: FleetSize, number: int) -> dict[str, str]:
    accelerators = size.accelerators * (number + 1) // size.vms
    accelerators -= size.accelerators * number // size.vms
    return {
        "kind": "vm",
        "name": f"vm-{number}",
        "pool": f"pool-{number % size.pools}",
        "data_centre": f"dc-{number % size.data_centres}",
        "rack": f"rack-{number // 16}",
        "address": f"{_HOST}:{_FIRST_PORT + number}",
        "cores": "32",
        "memory_mb": "65536",
        "slots": "8",
        "connections": "64",
        "accelerators": str(accelerators),
    }
