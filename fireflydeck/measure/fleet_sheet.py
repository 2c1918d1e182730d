"""Sheets of the sizes that are measured: today's fleet and parts of the target."""

import csv
import io
import os

from attrs import frozen

from fireflydeck.testing.sheets import COLUMNS

__all__ = ["SIZES", "TODAY", "FleetSize", "build_fleet_sheet"]

_FIRST_PORT = 20_000
# A loopback address of this process, so that runs at the same time do not share ports.
_HOST = f"127.0.{1 + os.getpid() % 250}.1"


@frozen(kw_only=True)
class FleetSize:
    """Numbers of entities; each pool has one queue.

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
    def of_target(cls, part: float) -> "FleetSize":
        """Return a part of the target; data centres and regions stay whole."""
        return cls(
            name=f"{part:g} of the target",
            vms=round(1_100 * part),
            accelerators=round(1_400 * part),
            pools=round(176 * part),
            organisations=round(76 * part),
            data_centres=8,
            regions=3,
        )


TODAY = FleetSize(
    name="today", vms=30, accelerators=0, pools=5, organisations=6, data_centres=3, regions=1
)

SIZES = (TODAY, *(FleetSize.of_target(part) for part in (0.25, 0.5, 1)))


def build_fleet_sheet(size: FleetSize) -> str:
    """Return the sheet; backend servers have consecutive ports of a loopback address."""
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
    rows += [_vm(size, number) for number in range(size.vms)]
    text = io.StringIO()
    writer = csv.DictWriter(text, COLUMNS, restval="", lineterminator="\n")
    writer.writeheader()
    writer.writerows(rows)
    return "# fireflydeck sheet, configuration 0\n" + text.getvalue()


def _vm(size: FleetSize, number: int) -> dict[str, str]:
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
