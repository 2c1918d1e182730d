"""Each broken promise is found, and allowed observations are not reported."""

import pytest
from attrs import evolve

from fireflydeck.core.backend_orders import RunEnd
from fireflydeck.soak.observations import JobRecord
from fireflydeck.soak.promises import check_promises
from fireflydeck.standins.run_record import RunRecord

_JOB_ID = "00000000000000a1"
_TASK = f"{_JOB_ID}.0.0.0"
_JOB = JobRecord(_JOB_ID, "text", tasks=1, accepted_ms=100, ended_ms=1000, last_state="completed")
_RUN = RunRecord(
    _TASK,
    1,
    "i-1",
    "text",
    started_ms=200,
    ended_ms=800,
    end=RunEnd.DONE,
    noted_ms=900,
)
_LOST = evolve(_RUN, end=RunEnd.LAPSED, noted_ms=None)
_SECOND = evolve(_RUN, run=2, server="i-2", started_ms=820, ended_ms=950)
_COPY = evolve(_SECOND, started_ms=500)


@pytest.mark.parametrize(
    ("job", "runs"),
    [
        (_JOB, [_RUN]),
        (_JOB, [_LOST, _SECOND]),
        (_JOB, [evolve(_RUN, lapsed_before_noted=True), _SECOND]),
        (_JOB, [evolve(_RUN, noted_ms=None), _SECOND]),
        (evolve(_JOB, unknown_ms=[200]), [_RUN]),
        (evolve(_JOB, last_state="cancelled", is_cancelled=True), [_LOST]),
        (
            evolve(_JOB, last_state="cancelled", is_cancelled=True),
            [evolve(_LOST, started_ms=2100, ended_ms=2200)],
        ),
        (evolve(_JOB, is_speculative=True), [_LOST, _COPY]),
        (evolve(_JOB, is_speculative=True), [_RUN, evolve(_COPY, end=RunEnd.STOPPED)]),
        (evolve(_JOB, accepted_ms=None, ended_ms=None, refused_tries=2), []),
        (evolve(_JOB, accepted_ms=None, ended_ms=None, uncertain_tries=1), [_RUN]),
    ],
)
def test_allowed_observations_are_no_violations(job, runs):
    assert check_promises([job], runs) == []


@pytest.mark.parametrize(
    ("promise", "job", "runs"),
    [
        ("at most one run of a task at a time", _JOB, [_LOST, evolve(_SECOND, started_ms=799)]),
        ("at most one run of a task at a time", _JOB, [evolve(_LOST, ended_ms=None), _SECOND]),
        (
            "at most two runs of a task at a time",
            evolve(_JOB, is_speculative=True),
            [_LOST, _COPY, evolve(_LOST, run=3, started_ms=600)],
        ),
        ("what is done does not run again", _JOB, [_RUN, _SECOND]),
        (
            "what is done does not run again",
            evolve(_JOB, is_speculative=True),
            [_RUN, evolve(_SECOND, started_ms=901)],
        ),
        ("only what callers sent runs, as they sent it", _JOB, [evolve(_RUN, payload="other")]),
        (
            "what is refused has not run",
            evolve(_JOB, accepted_ms=None, ended_ms=None, refused_tries=2),
            [_RUN],
        ),
        ("accepted jobs end", evolve(_JOB, ended_ms=None), [_RUN]),
        ("completed means that all tasks are done", _JOB, [_LOST]),
        ("completed means that all tasks are done", _JOB, [evolve(_RUN, ended_ms=1001)]),
        ("valid requests are not rejected", evolve(_JOB, rejections=[401]), [_RUN]),
        (
            "jobs fail or are cancelled with a cause only",
            evolve(_JOB, last_state="cancelled"),
            [_LOST],
        ),
        ("jobs fail or are cancelled with a cause only", evolve(_JOB, last_state="failed"), []),
        (
            "nothing starts once a job has completed",
            _JOB,
            [_RUN, evolve(_SECOND, started_ms=2100, ended_ms=2200)],
        ),
        ("accepted jobs are known", evolve(_JOB, unknown_ms=[3200]), [_RUN]),
    ],
)
def test_violation_is_found(promise, job, runs):
    assert promise in {violation.promise for violation in check_promises([job], runs)}


def test_run_without_a_submitted_job_is_found():
    found = check_promises([], [_RUN])
    assert [violation.promise for violation in found] == [
        "only what callers sent runs, as they sent it"
    ]
