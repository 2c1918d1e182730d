"""Intakes of several entry processes that share one store in memory, for tests."""

import anyio

from fireflydeck.core import Ran
from fireflydeck.core.rows import RowTransaction, RowWrite
from fireflydeck.entry.intake import Intake
from fireflydeck.entry.refusals import MAX_TELLING_MS, RefusalRows
from fireflydeck.kernel import Metrics
from fireflydeck.observation.store_silence import MonitoredRowStore, StoreSilence
from fireflydeck.testing.fleet_fakes import FakeAnnouncer
from fireflydeck.testing.job_builders import JOB_ID, build_spec
from fireflydeck.testing.recording_log import RecordingLog
from fireflydeck.testing.rows import FakeRowStore
from fireflydeck.workload import job_key
from fireflydeck.workload.records import refusal_key


class IntakeProcess:
    """Intake of one process whose store the test controls.

    Attributes
    ----------
    store
        The process's own access to the rows, with its faults.
    reads
        Reads that the process sent.
    """

    def __init__(self, clock, rows=None, name="m1"):
        self.clock = clock
        self.store = FakeRowStore(clock, rows)
        self.silence = StoreSilence(clock)
        self.metrics = Metrics()
        self.reads = 0
        self.monitored = MonitoredRowStore(self.store, self.silence, clock)
        read = self.store.read

        async def counted_read(*args, **kwargs):
            self.reads += 1
            return await read(*args, **kwargs)

        self.store.read = counted_read
        self.refusals = RefusalRows(
            self.monitored, clock, RecordingLog(), self.metrics, writer=name
        )
        self.intake = Intake(
            self.monitored, clock, FakeAnnouncer(), self.silence, refusals=self.refusals
        )

    def fall_silent(self):
        """Let all calls fail without an answer from now on, and record the first of them."""
        self.store.outage = Ran.UNKNOWN
        self.silence.record_no_answer(self.clock.now_ms())

    async def observe(self):
        """Learn the store's newest version, as the process does by following its tables.

        It then becomes old enough for refusals of that version to be replaced.
        """
        await self.monitored.read_changes("lease", after=0, wait_ms=0)
        await self.clock.advance_ms(MAX_TELLING_MS)

    async def submit(self, job_id=JOB_ID, **options):
        """Submit a job; the clock advances until the outcome is known."""
        results = []

        async def run():
            deadline_ms = self.clock.now_ms() + 2000
            spec = build_spec(job_id=job_id)
            results.append(await self.intake.submit(spec, deadline_ms=deadline_ms, **options))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            while not results:
                await self.clock.advance_ms(10)
        return results[0]

    async def refuse(self, job_id=JOB_ID):
        """Submit a job that is refused by the overload of its pool."""
        return await self.submit(job_id, is_refused=True)

    def stored(self, job_id=JOB_ID):
        """Return which rows of a job are stored: ``job``, ``refusal`` or both, or an empty text."""
        rows = self.store.rows
        found = {"job": job_key(job_id), "refusal": refusal_key(job_id)}
        return "+".join(name for name, key in found.items() if rows.get(key) is not None)

    def insert_as_older_build(self, job_id=JOB_ID):
        """Insert a job's row without a condition on its refusal."""
        write = RowWrite(job_key(job_id), b"\x80")
        return not self.store.rows.commit(RowTransaction(writes=(write,)))
