"""Command line of the measurements: ``scripts/measure [--case NAME] [--seed N]``."""

import sys
from collections.abc import Awaitable, Callable
from importlib import import_module
from pathlib import Path

import anyio
import fire
from attrs import frozen

from fireflydeck.measure.report import Report

__all__ = ["main"]

_DIRECTORY = Path("measurements")


@frozen
class _Case:
    module: str
    function: str
    takes_seed: bool = False

    async def run(self, report: Report, seed: int) -> None:
        function: Callable[..., Awaitable[None]]
        function = getattr(import_module(self.module), self.function)
        if self.takes_seed:
            await function(report, seed)
        else:
            await function(report)


CASES = {
    "idle": _Case("fireflydeck.measure.idle", "measure_idle"),
    "store": _Case("fireflydeck.measure.store", "measure_store"),
    "change": _Case("fireflydeck.measure.change", "measure_change", takes_seed=True),
    "decision": _Case("fireflydeck.measure.decision", "measure_decision", takes_seed=True),
    "latency": _Case("fireflydeck.measure.latency", "measure_latency"),
}


def measure(case: str = "", seed: int = 1) -> None:
    """Run one case, or all.

    Parameters
    ----------
    case
        Name of the case; empty for all.
    seed
        Seed of random workloads.
    """
    unknown = case and case not in CASES
    if unknown:
        print(f"measure: unknown case {case!r}: one of {', '.join(CASES)}", file=sys.stderr)
        sys.exit(2)
    for name in [case] if case else CASES:
        print(f"{name} (seed {seed})")
        report = Report(name)
        anyio.run(CASES[name].run, report, seed)
        print(f"  written to {report.write(_DIRECTORY)}")


def main() -> None:
    """Run the command line."""
    fire.Fire(measure)


if __name__ == "__main__":
    main()
