"""Uses of withdrawn keys and evacuated data centres are found; allowed late uses are not."""

import pytest
from attrs import evolve

from fireflydeck.soak.observations import JobRecord
from fireflydeck.soak.operator import WITHDRAWN_KEY, Operation, OperationKind
from fireflydeck.soak.operator_promises import LinkFault, check_operations
from fireflydeck.standins.run_record import RunRecord

_KEY_WITHDRAWAL = Operation(OperationKind.KEY, WITHDRAWN_KEY, 1000, 9000)
_EVACUATION = Operation(OperationKind.DATA_CENTRE, "zvolen", 1000, 9000)
_JOB = JobRecord(
    "00000000000000a1",
    "text",
    tasks=1,
    key=WITHDRAWN_KEY,
    accepted_try_ms=7000,
    accepted_ms=7100,
)
_RUN = RunRecord("00000000000000a1.0.0.0", 1, "i-1", "text", started_ms=7000)
_DATA_CENTRES = {"i-1": "zvolen", "i-2": "brezno"}


def _broken_promises(operation, jobs=(), runs=(), link_faults=()):
    found = check_operations(
        [operation], jobs, runs, data_centres=_DATA_CENTRES, link_faults=link_faults
    )
    return [violation.promise for violation in found]


def test_submission_with_a_withdrawn_key_is_found():
    assert _broken_promises(_KEY_WITHDRAWAL, jobs=[_JOB]) == ["a withdrawn key stops working"]


@pytest.mark.parametrize(
    "job",
    [
        evolve(_JOB, accepted_try_ms=5900),
        evolve(_JOB, accepted_try_ms=9100),
        evolve(_JOB, accepted_try_ms=None),
        evolve(_JOB, accepted_try_ms=8900, accepted_ms=9100),
        evolve(_JOB, key="key-1"),
    ],
)
def test_allowed_submission_is_no_violation(job):
    assert _broken_promises(_KEY_WITHDRAWAL, jobs=[job]) == []


def test_start_in_an_evacuated_data_centre_is_found():
    assert _broken_promises(_EVACUATION, runs=[_RUN]) == [
        "nothing starts in a data centre that is out"
    ]


@pytest.mark.parametrize(
    "run",
    [
        evolve(_RUN, started_ms=5900),
        evolve(_RUN, started_ms=9100),
        evolve(_RUN, server="i-2"),
    ],
)
def test_allowed_start_is_no_violation(run):
    assert _broken_promises(_EVACUATION, runs=[run]) == []


@pytest.mark.parametrize(
    ("fault", "count"),
    [
        (LinkFault("i-1", 5000, 6500), 0),
        (LinkFault("i-1", 5000, 5500), 1),
        (LinkFault("i-2", 5000, 6500), 1),
    ],
)
def test_only_starts_that_a_faulty_link_may_have_delayed_are_allowed(fault, count):
    assert len(_broken_promises(_EVACUATION, runs=[_RUN], link_faults=[fault])) == count
