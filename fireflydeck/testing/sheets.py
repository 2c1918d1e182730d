"""Builder of small sheets for integration tests."""

import csv
import io

from fireflydeck.testing.ports import free_address

__all__ = ["build_sheet"]

COLUMNS = (
    "kind", "name", "region", "max_unavailable", "spare", "pool", "open_to_all", "max_waiting",
    "share", "limit", "data_centre", "rack", "address", "cores", "memory_mb", "slots",
    "connections", "accelerators",
)  # fmt: skip


def build_sheet(
    pools: tuple[str, ...] = ("records",),
    vms_per_pool: int = 4,
    slots: int = 8,
    limit: int = 32,
    data_centres: int = 2,
) -> str:
    """Return a sheet with two organisations, an open queue ``public``, and VMs on free ports.

    Each pool has a queue of the same name that isn't open to all.
    """
    rows = [
        {"kind": "data_centre", "name": f"dc-{n}", "region": "r"}
        for n in range(1, data_centres + 1)
    ]
    rows += [
        {"kind": "organisation", "name": name, "share": "1", "limit": str(limit)}
        for name in ("museum", "school")
    ]
    for pool in pools:
        rows.append({"kind": "pool", "name": pool, "max_unavailable": "1", "spare": "no"})
        rows.append(_queue(pool, pool, "no"))
        rows += [_vm(pool, n, slots, data_centres) for n in range(vms_per_pool)]
    rows.append(_queue("public", pools[0], "yes"))
    text = io.StringIO()
    writer = csv.DictWriter(text, COLUMNS, restval="", lineterminator="\n")
    writer.writeheader()
    writer.writerows(rows)
    return "# fireflydeck sheet, configuration 0\n" + text.getvalue()


def _queue(name: str, pool: str, open_to_all: str) -> dict[str, str]:
    return {
        "kind": "queue",
        "name": name,
        "pool": pool,
        "open_to_all": open_to_all,
        "max_waiting": "1000",
    }


def _vm(pool: str, number: int, slots: int, data_centres: int) -> dict[str, str]:
    return {
        "kind": "vm",
        "name": f"{pool}-{number + 1}",
        "pool": pool,
        "data_centre": f"dc-{number % data_centres + 1}",
        "rack": f"rack-{number // 4 + 1}",
        "address": free_address(),
        "cores": "32",
        "memory_mb": "65536",
        "slots": str(slots),
        "connections": "64",
        "accelerators": "0",
    }
