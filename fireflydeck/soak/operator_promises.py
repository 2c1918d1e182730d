"""Checks what ran and was accepted against what the operators had taken out of use."""

from collections.abc import Iterable, Iterator, Mapping

from attrs import frozen

from fireflydeck.soak.observations import JobRecord
from fireflydeck.soak.operator import Operation, OperationKind
from fireflydeck.soak.promises import Violation
from fireflydeck.standins.run_record import RunRecord

__all__ = ["LinkFault", "check_operations"]

_IN_FORCE_MS = 5000
"""Time within which a withdrawn key and a data centre that was taken out get nothing more."""
_DELIVERY_SLACK_MS = 1000
"""An order that a disturbed link held back may arrive for this long after it works again."""


@frozen
class LinkFault:
    """A time in which the link to a backend server was disturbed."""

    server: str
    from_ms: int
    until_ms: int


def check_operations(
    operations: Iterable[Operation],
    jobs: Iterable[JobRecord],
    runs: Iterable[RunRecord],
    *,
    data_centres: Mapping[str, str],
    link_faults: Iterable[LinkFault],
) -> list[Violation]:
    """Return what was used though it was out of use.

    Parameters
    ----------
    data_centres
        Data centre of each backend server.
    link_faults
        Starts that arrive at such a time may have been sent long before.
    """
    jobs, runs, faults = list(jobs), list(runs), list(link_faults)
    found: list[Violation] = []
    for operation in operations:
        if operation.kind == OperationKind.KEY:
            found.extend(_accepted(operation, jobs))
        else:
            found.extend(_started(operation, runs, data_centres, faults))
    return found


def _accepted(operation: Operation, jobs: list[JobRecord]) -> Iterator[Violation]:
    """Find submissions that were sent and accepted while their key was withdrawn."""
    for job in jobs:
        if job.key != operation.target or job.accepted_try_ms is None or job.accepted_ms is None:
            continue
        if _is_in(operation, job.accepted_try_ms) and _is_in(operation, job.accepted_ms):
            yield Violation("a withdrawn key stops working", f"{job} {operation}")


def _started(
    operation: Operation,
    runs: list[RunRecord],
    data_centres: Mapping[str, str],
    faults: list[LinkFault],
) -> Iterator[Violation]:
    for run in runs:
        if data_centres[run.server] != operation.target or not _is_in(operation, run.started_ms):
            continue
        if not any(_may_have_delayed(fault, run) for fault in faults):
            yield Violation("nothing starts in a data centre that is out", f"{run} {operation}")


def _is_in(operation: Operation, at_ms: int) -> bool:
    return operation.from_ms + _IN_FORCE_MS < at_ms < operation.until_ms


def _may_have_delayed(fault: LinkFault, run: RunRecord) -> bool:
    return (
        fault.server == run.server
        and fault.from_ms <= run.started_ms <= fault.until_ms + _DELIVERY_SLACK_MS
    )
