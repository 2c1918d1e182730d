"""Checks that withdrawn keys and evacuated data centres were not used."""

from collections.abc import Iterable, Iterator, Mapping

from attrs import frozen

from fireflydeck.soak.observations import JobRecord
from fireflydeck.soak.operator import Operation, OperationKind
from fireflydeck.soak.promises import Violation
from fireflydeck.standins.run_record import RunRecord

__all__ = ["LinkFault", "check_operations"]

_EFFECT_LIMIT_MS = 5000
"""Time until a withdrawn key must be refused and an evacuated data centre gets no more starts."""
_DELIVERY_SLACK_MS = 1000
"""Time for which an order delayed by a faulty link may still arrive after the fault."""


@frozen
class LinkFault:
    """Time span in which the link to a backend server was faulty."""

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
    """Return the uses of withdrawn keys and evacuated data centres as violations.

    Parameters
    ----------
    data_centres
        Data centre of each backend server.
    link_faults
        Faults of links to backend servers. A start that arrives during such a fault or shortly
        after it is allowed, since it may have been sent long before.
    """
    jobs, runs, faults = list(jobs), list(runs), list(link_faults)
    found: list[Violation] = []
    for operation in operations:
        if operation.kind == OperationKind.KEY:
            found.extend(_accepted_with_withdrawn_key(operation, jobs))
        else:
            found.extend(_starts_in_evacuated_data_centre(operation, runs, data_centres, faults))
    return found


def _accepted_with_withdrawn_key(
    operation: Operation, jobs: list[JobRecord]
) -> Iterator[Violation]:
    """Find submissions that were both sent and accepted while their key was withdrawn."""
    for job in jobs:
        if job.key != operation.target or job.accepted_try_ms is None or job.accepted_ms is None:
            continue
        if _applies_at(operation, job.accepted_try_ms) and _applies_at(operation, job.accepted_ms):
            yield Violation("a withdrawn key stops working", f"{job} {operation}")


def _starts_in_evacuated_data_centre(
    operation: Operation,
    runs: list[RunRecord],
    data_centres: Mapping[str, str],
    faults: list[LinkFault],
) -> Iterator[Violation]:
    for run in runs:
        if data_centres[run.server] != operation.target or not _applies_at(
            operation, run.started_ms
        ):
            continue
        if not any(_may_have_delayed(fault, run) for fault in faults):
            yield Violation("nothing starts in a data centre that is out", f"{run} {operation}")


def _applies_at(operation: Operation, at_ms: int) -> bool:
    return operation.from_ms + _EFFECT_LIMIT_MS < at_ms < operation.until_ms


def _may_have_delayed(fault: LinkFault, run: RunRecord) -> bool:
    return (
        fault.server == run.server
        and fault.from_ms <= run.started_ms <= fault.until_ms + _DELIVERY_SLACK_MS
    )
