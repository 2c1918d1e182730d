"""Configuration sheets in CSV: parse, plan against the configuration, export."""

from fireflydeck.sheet.columns import COLUMNS, SHEET_COLUMNS, SHEET_KINDS
from fireflydeck.sheet.export import export_sheet
from fireflydeck.sheet.parse import Row, RowProblem, Sheet, parse_sheet
from fireflydeck.sheet.plan import Plan, Step, StepKind, plan

__all__ = [
    "COLUMNS",
    "SHEET_COLUMNS",
    "SHEET_KINDS",
    "Plan",
    "Row",
    "RowProblem",
    "Sheet",
    "Step",
    "StepKind",
    "export_sheet",
    "parse_sheet",
    "plan",
]
