"""Checks that the observations of callers and backend servers keep the system's promises."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from attrs import frozen

from fireflydeck.core.backend_orders import RunEnd
from fireflydeck.soak.observations import JobRecord
from fireflydeck.standins.run_record import RunRecord

__all__ = ["Violation", "check_promises"]

_VISIBILITY_LIMIT_MS = 3000
"""Time from the acceptance of a job until every process must know it."""
_START_SLACK_MS = 1000
"""Time for which a start may be observed after its job was reported as completed."""


@frozen
class Violation:
    """Broken promise and the observation that shows it."""

    promise: str
    detail: str


def check_promises(jobs: Iterable[JobRecord], runs: Iterable[RunRecord]) -> list[Violation]:
    """Return the violations of a run; the last fault must have ended some time before."""
    jobs_by_id = {job.job_id: job for job in jobs}
    runs_by_task: dict[str, list[RunRecord]] = defaultdict(list)
    for record in sorted(runs, key=lambda record: record.started_ms):
        runs_by_task[record.task].append(record)
    found: list[Violation] = []
    for task_runs in runs_by_task.values():
        job = jobs_by_id.get(task_runs[0].job_id)
        is_speculative = job is not None and job.is_speculative
        found.extend(_overlapping_runs(task_runs, max_active=2 if is_speculative else 1))
        found.extend(_starts_after_done(task_runs, is_speculative=is_speculative))
        found.extend(_unrequested_runs(jobs_by_id, task_runs))
    for job in jobs_by_id.values():
        job_runs = list(_runs_of(job, runs_by_task))
        found.extend(_job_violations(job, job_runs))
    return found


def _runs_of(job: JobRecord, runs_by_task: dict[str, list[RunRecord]]) -> Iterator[RunRecord]:
    for task, runs in runs_by_task.items():
        if task.startswith(f"{job.job_id}."):
            yield from runs


def _overlapping_runs(runs: list[RunRecord], *, max_active: int) -> Iterator[Violation]:
    """Find runs of one task that start while `max_active` others are active."""
    promise = f"at most {'one run' if max_active == 1 else 'two runs'} of a task at a time"
    for number, later in enumerate(runs):
        active = [
            earlier
            for earlier in runs[:number]
            if earlier.ended_ms is None or later.started_ms < earlier.ended_ms
        ]
        if len(active) >= max_active:
            yield Violation(promise, f"{active} and {later}")


def _starts_after_done(runs: list[RunRecord], *, is_speculative: bool) -> Iterator[Violation]:
    """Find runs that start after one that is done and was acknowledged without a lapse before.

    The second run of a speculative task may start until the acknowledgement.
    """
    for number, earlier in enumerate(runs):
        if earlier.end != RunEnd.DONE or earlier.noted_ms is None or earlier.lapsed_before_noted:
            continue
        for later in runs[number + 1 :]:
            if is_speculative and later.started_ms <= earlier.noted_ms:
                continue
            yield Violation("what is done does not run again", f"{earlier} and {later}")


def _unrequested_runs(jobs: dict[str, JobRecord], runs: list[RunRecord]) -> Iterator[Violation]:
    for run in runs:
        job = jobs.get(run.job_id)
        if job is None or job.payload != run.payload:
            yield Violation("only what callers sent runs, as they sent it", f"{run}")


def _job_violations(job: JobRecord, runs: list[RunRecord]) -> Iterator[Violation]:
    if job.rejections:
        yield Violation("valid requests are not rejected", f"{job}")
    if job.accepted_ms is None:
        if runs and not job.uncertain_tries:
            yield Violation("what is refused has not run", f"{job} {runs[0]}")
        return
    if job.ended_ms is None:
        yield Violation("accepted jobs end", f"{job}, {len(runs)} runs")
        return
    yield from _end_violations(job, job.ended_ms, runs)
    late = [at_ms for at_ms in job.unknown_ms if at_ms > job.accepted_ms + _VISIBILITY_LIMIT_MS]
    if late:
        yield Violation("accepted jobs are known", f"{job}")


def _end_violations(job: JobRecord, ended_ms: int, runs: list[RunRecord]) -> Iterator[Violation]:
    done = {run.task for run in runs if _is_done_by(run, ended_ms)}
    if job.last_state == "completed" and len(done) < job.tasks:
        yield Violation("completed means that all tasks are done", f"{job}, done: {sorted(done)}")
    if job.last_state == "failed" or (job.last_state == "cancelled" and not job.is_cancelled):
        yield Violation("jobs fail or are cancelled with a cause only", f"{job}")
    late = [run for run in runs if run.started_ms > ended_ms + _START_SLACK_MS]
    if late and job.last_state == "completed":
        yield Violation("nothing starts once a job has completed", f"{job} {late[0]}")


def _is_done_by(run: RunRecord, at_ms: int) -> bool:
    return run.end == RunEnd.DONE and run.ended_ms is not None and run.ended_ms <= at_ms
