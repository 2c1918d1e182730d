from attrs import evolve

from fireflydeck.core import JobState
from fireflydeck.jobs.record import FINAL_STATES, AttemptOutcome
from fireflydeck.jobs.tests.builders import build_record
from fireflydeck.jobs.transitions import (
    MAX_FAILURES,
    cancel,
    end_attempt,
    excluded_vms,
    fail,
    finish,
    hand_over,
    record_checkpoint,
    start_attempt,
    take_over,
)
from fireflydeck.testing import build_vm

DEPTH = 9
END_OUTCOMES = [item for item in AttemptOutcome if item is not AttemptOutcome.OPEN]


def start(record):
    vm = build_vm(f"vm-{len(record.attempts)}")
    return start_attempt(record, holder="d/1", dispatcher="d", vm=vm, wall_ms=0)


STEPS = {
    "start": start,
    "record_checkpoint": lambda record: record_checkpoint(record, "checkpoint"),
    "take_over": lambda record: take_over(record, "d/2"),
    "hand_over": hand_over,
    "finish": lambda record: finish(record, status=200, result_key="r"),
    "fail": lambda record: fail(record, "fits nowhere"),
    "cancel": cancel,
    **{end.value: lambda record, end=end: end_attempt(record, end) for end in END_OUTCOMES},
}


def explore(record):
    """Return every (record, step, next record) that is reachable in up to DEPTH steps."""
    edges, seen, frontier = [], {record}, [record]
    for _ in range(DEPTH):
        found = []
        for state in frontier:
            for name, step in STEPS.items():
                result = step(state)
                if result.is_error():
                    continue
                changed = evolve(result.ok, lease_sequence=0)
                edges.append((state, name, result.ok))
                if changed not in seen and len(changed.attempts) <= MAX_FAILURES + 2:
                    seen.add(changed)
                    found.append(changed)
        frontier = found
    return edges


def check_common(edges):
    for before, name, after in edges:
        if before.state in FINAL_STATES:
            assert after == before, name
        assert after.failures <= MAX_FAILURES
        assert (after.state is JobState.RUNNING) or after.holder == ""
        open_attempts = [a for a in after.attempts if a.outcome is AttemptOutcome.OPEN]
        assert len(open_attempts) == (after.state is JobState.RUNNING)
        numbers = [attempt.number for attempt in after.attempts]
        assert numbers == sorted(set(numbers))
        if name in ("start", "take_over"):
            assert after.lease_sequence > before.lease_sequence
        if before.cancel_requested and not before.is_final:
            assert after.state in (JobState.RUNNING, JobState.DONE, JobState.CANCELLED)


def test_all_sequences_of_an_idempotent_job():
    edges = explore(build_record(idempotent=True))
    check_common(edges)
    states = {after.state for _, _, after in edges}
    assert states == set(JobState) - {JobState.UNKNOWN}
    failed = [after for _, name, after in edges if name == "failed"]
    assert any(after.state is JobState.FAILED and len(after.attempts) == 3 for after in failed)


def test_all_sequences_of_a_job_that_is_not_idempotent():
    edges = explore(build_record(idempotent=False))
    check_common(edges)
    assert {after.state for _, _, after in edges} == set(JobState)
    for _, _, after in edges:
        ran = [a for a in after.attempts if a.outcome is not AttemptOutcome.NOT_STARTED]
        assert len(ran) <= 1
        assert not ran or ran[0] == after.attempts[-1]


def test_start_attempt_bounds_the_number_of_recorded_attempts():
    record = build_record(idempotent=False)
    for _ in range(30):
        record = end_attempt(start(record).ok, AttemptOutcome.NOT_STARTED).ok
    assert [record.attempts[0].number, record.attempts[-1].number] == [11, 30]


def test_progress_does_not_count_as_failure():
    record = build_record(idempotent=True)
    for step in range(10):
        record = record_checkpoint(start(record).ok, f"step-{step}").ok
        record = end_attempt(record, AttemptOutcome.LOST).ok
    assert (record.state, record.failures) == (JobState.QUEUED, 0)
    assert "vm-0" in excluded_vms(record)


def test_start_attempt_refuses_after_an_attempt_that_may_have_run():
    running = start(build_record(idempotent=False)).ok
    assert start(evolve(running, state=JobState.QUEUED)).is_error()
    assert start(evolve(running, state=JobState.QUEUED, idempotent=True)).is_ok()
