"""Task that is slow on one backend server, for tests of speculative copies."""

from fireflydeck.core.backend_orders import RunEnd
from fireflydeck.testing.job_builders import JOB_ID, accept_job, build_spec, build_step

__all__ = ["COPY_DUE_MS", "COPY_MS", "TASK", "start_slow_task", "starts_after_done"]

TASK = f"{JOB_ID}.0.0.0"
COPY_DUE_MS = 1700
"""Time after which a task whose estimate is 600 ms has a copy, while no spread is known."""
COPY_MS = 600


async def start_slow_task(fleet, *, slow_ms=20_000, **step):
    """Start a speculative task that is slow on `s1`; it would take `COPY_MS` elsewhere."""
    for name, server in fleet.servers.items():
        server.duration_ms = slow_ms if name == "s1" else COPY_MS
    accept_job(fleet.rows, build_spec(build_step(**{"speculative": True, **step})))
    await fleet.advance_ms(200)
    assert fleet.servers["s1"].running() == [TASK]


def starts_after_done(fleet):
    """Return the runs of the slow task that started after its end `done` was acknowledged."""
    servers = fleet.servers.values()
    runs = [run for server in servers for run in server.records if run.task == TASK]
    noted = [run.noted_ms for run in runs if run.end == RunEnd.DONE and run.noted_ms is not None]
    return [run for run in runs if any(run.started_ms > noted_ms for noted_ms in noted)]
