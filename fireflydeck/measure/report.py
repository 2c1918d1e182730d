"""Table of measured values that is printed and written as CSV."""

import csv
from pathlib import Path
from typing import Any

from attrs import define, field

__all__ = ["Report"]


@define
class Report:
    """Result rows of one measurement.

    Parameters
    ----------
    case
        Name of the measurement; the CSV file is named after it.
    """

    case: str
    rows: list[dict[str, Any]] = field(factory=list)

    def add(self, **values: Any) -> None:
        """Add a row and print it."""
        self.rows.append(values)
        print("  " + "  ".join(f"{name}={value}" for name, value in values.items()), flush=True)

    def write(self, directory: Path) -> Path:
        """Write all rows as CSV and return the path."""
        directory.mkdir(parents=True, exist_ok=True)
        path = directory / f"{self.case}.csv"
        columns = list(dict.fromkeys(name for row in self.rows for name in row))
        with path.open("w", encoding="utf-8", newline="") as file:
            writer = csv.DictWriter(file, columns, lineterminator="\n")
            writer.writeheader()
            writer.writerows(self.rows)
        return path
