import anyio
import pytest

from fireflydeck.core import JobState, Ran, Reason
from fireflydeck.jobs import JobStore
from fireflydeck.jobs.rows import StoredJob
from fireflydeck.jobs.store import JobWrite, with_new_revision
from fireflydeck.jobs.tests.builders import JsonTableService, build_record
from fireflydeck.jobs.transitions import cancel, record_checkpoint, start_attempt
from fireflydeck.testing import FakeObjectStore, StoreFault, build_vm

LOST, OUTAGE = StoreFault.ANSWER_LOST, StoreFault.OUTAGE


class InstantClock:
    async def sleep_ms(self, duration_ms):
        return

    def wall_ms(self):
        return 0


def run_with_store(scenario):
    async def main():
        tables, objects = JsonTableService(), FakeObjectStore()
        await scenario(JobStore(tables, objects, InstantClock()), tables, objects)

    anyio.run(main)


def start(record, holder="d/1"):
    return start_attempt(record, holder=holder, dispatcher="d", vm=build_vm(), wall_ms=0).ok


CREATE_FAULTS = [
    ([], None, True),
    ([LOST], None, True),
    ([LOST, LOST, LOST], Ran.UNKNOWN, True),
    ([OUTAGE], Ran.NO, False),
    ([LOST, OUTAGE], None, True),
    ([LOST, OUTAGE, OUTAGE], Ran.UNKNOWN, True),
]


@pytest.mark.parametrize("key", ["", "order-7"])
@pytest.mark.parametrize(("faults", "ran", "exists"), CREATE_FAULTS)
def test_create_with_faults(key, faults, ran, exists):
    async def scenario(store, tables, objects):
        tables.next_commits = list(faults)
        created = await store.create(build_record(), b"body", idempotency_key=key)
        assert (created.error.ran if created.is_error() else None) is ran
        assert ((await store.find("j-1")).ok is not None) is exists
        assert len((await store.open_jobs("records")).ok) == exists

    run_with_store(scenario)


def test_create_with_the_same_key_finds_the_job():
    async def scenario(store, tables, objects):
        tables.next_commits = [LOST, OUTAGE, OUTAGE]
        key = {"idempotency_key": "order-7", "request_digest": "a"}
        assert (await store.create(build_record("j-1"), b"", **key)).is_error()
        again = await store.create(build_record("j-2"), b"", **key)
        assert (again.ok.record.job_id, again.ok.existed) == ("j-1", True)
        assert (await store.find("j-2")).ok is None
        other = await store.create(
            build_record("j-3"), b"", idempotency_key="order-7", request_digest="b"
        )
        assert other.error.reason is Reason.KEY_MISMATCH
        other_organisation = await store.create(
            build_record("j-4", organisation="school"), b"", **key
        )
        assert other_organisation.ok.record.job_id == "j-4"

    run_with_store(scenario)


def test_create_in_an_object_store_outage_certainly_creates_no_job():
    async def scenario(store, tables, objects):
        objects.outage = True
        created = await store.create(build_record(), b"x" * 5000)
        assert created.error.ran is Ran.NO
        assert tables.commits == 0

    run_with_store(scenario)


def test_only_one_of_two_concurrent_updates_succeeds():
    async def scenario(store, tables, objects):
        await store.create(build_record(), b"")
        loaded = (await store.load("records", "j-1")).ok
        first = await store.update(loaded, start(loaded.record, "d/1"))
        second = await store.update(loaded, start(loaded.record, "d/2"))
        assert first.is_ok()
        assert second.error.reason is Reason.CONFLICT
        assert (await store.find("j-1")).ok.holder == "d/1"

    run_with_store(scenario)


def test_update_with_lost_answer_is_resolved():
    async def scenario(store, tables, objects):
        await store.create(build_record(), b"")
        loaded = (await store.load("records", "j-1")).ok
        tables.next_commits = [LOST]
        updated = await store.update(loaded, start(loaded.record))
        assert updated.ok.record.state is JobState.RUNNING

    run_with_store(scenario)


async def running(store):
    await store.create(build_record(idempotent=True), b"")
    loaded = (await store.load("records", "j-1")).ok
    return (await store.update(loaded, start(loaded.record))).ok


def test_write_batch_keeps_the_fence_of_checkpoints():
    async def scenario(store, tables, objects):
        held = await running(store)
        for step in range(3):
            record = with_new_revision(record_checkpoint(held.record, f"step-{step}").ok)
            write = JobWrite(stored=held, record=record)
            assert (await store.write_batch([write], "d/1")).is_ok()
            held = StoredJob(record=record, fence=held.fence, version=None)
        assert (await store.find("j-1")).ok.checkpoint == "step-2"

    run_with_store(scenario)


def test_write_batch_after_a_cancellation_conflicts():
    async def scenario(store, tables, objects):
        held = await running(store)
        loaded = (await store.load("records", "j-1")).ok
        assert (await store.update(loaded, cancel(loaded.record).ok)).is_ok()
        write = JobWrite(
            stored=held, record=with_new_revision(record_checkpoint(held.record, "step-1").ok)
        )
        written = await store.write_batch([write], "d/1")
        assert written.error.reason is Reason.CONFLICT
        assert (await store.find("j-1")).ok.cancel_requested

    run_with_store(scenario)


def test_cancellation_after_a_checkpoint_conflicts():
    """A writer other than the holder must not overwrite a newer checkpoint with an older one."""

    async def scenario(store, tables, objects):
        held = await running(store)
        loaded = (await store.load("records", "j-1")).ok
        write = JobWrite(
            stored=held, record=with_new_revision(record_checkpoint(held.record, "step-1").ok)
        )
        assert (await store.write_batch([write], "d/1")).is_ok()
        cancelled = await store.update(loaded, cancel(loaded.record).ok)
        assert cancelled.error.reason is Reason.CONFLICT

    run_with_store(scenario)


def test_open_jobs_reads_all_pages():
    async def scenario(store, tables, objects):
        for number in range(1001):
            await store.create(build_record(f"j-{number:04}"), b"")
        assert len((await store.open_jobs("records")).ok) == 1001

    run_with_store(scenario)
