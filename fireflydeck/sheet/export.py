"""Export of the configuration as a sheet."""

import csv
import io

from fireflydeck.core import Configuration, Entity
from fireflydeck.sheet.columns import COLUMNS, SHEET_COLUMNS

__all__ = ["export_sheet"]


def export_sheet(configuration: Configuration) -> str:
    """Return the sheet of the configuration; it contains neither keys nor their hashes.

    Examples
    --------
    >>> print(export_sheet(Configuration()).splitlines()[0])
    # fireflydeck sheet, configuration 0
    """
    output = io.StringIO()
    output.write(f"# fireflydeck sheet, configuration {configuration.version}\n")
    writer = csv.DictWriter(output, SHEET_COLUMNS, lineterminator="\n")
    writer.writeheader()
    for kind in COLUMNS:
        for entity in sorted(configuration.all(kind), key=lambda entity: entity.name):
            writer.writerow(_format_cells(entity))
    return output.getvalue()


def _format_cells(entity: Entity) -> dict[str, str]:
    cells = {"kind": entity.kind, "name": entity.name}
    for column in COLUMNS[type(entity)].values():
        cells[column.name] = column.cell.format(getattr(entity, column.field))
    return cells
