"""Specifications of backend server stand-ins from a sheet."""

import csv
from pathlib import Path

from fireflydeck.standins.backend_server import BackendServerSpec

__all__ = ["specs_of_sheet"]


def specs_of_sheet(path: str) -> list[BackendServerSpec]:
    """Return a specification for each VM row of the sheet at `path`."""
    lines = Path(path).read_text(encoding="utf-8").splitlines()
    rows = csv.DictReader(line for line in lines if line and not line.startswith("#"))
    return [
        BackendServerSpec(
            name=row["name"],
            address=row["address"],
            data_centre=row["data_centre"],
            rack=row["rack"],
            slots=int(row["slots"]),
        )
        for row in rows
        if row["kind"] == "vm"
    ]
