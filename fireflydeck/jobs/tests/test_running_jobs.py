from fireflydeck.core import DataCentre, JobState, VmState
from fireflydeck.jobs import JobOptions
from fireflydeck.jobs.cancellation import cancel_job
from fireflydeck.jobs.tests.builders import run_with_fleet
from fireflydeck.testing import StoreFault, build_vm


def take_out(fleet, vm=1):
    """Take the data centre of one VM out of service; the other VMs are in another one."""
    fleet.configuration.put(DataCentre(name="dc-2"))
    for number in range(1, 4):
        data_centre = "dc-1" if number == vm else "dc-2"
        address = f"10.0.0.{number}:9000"
        fleet.configuration.put(build_vm(f"vm-{number}", address=address, data_centre=data_centre))
    fleet.configuration.put(DataCentre(name="dc-1", in_service=False))


def test_draining_vm_finishes_its_task():
    async def scenario(fleet):
        await fleet.start_runner()
        await fleet.submit(idempotent=True)
        await fleet.advance(4)
        fleet.configuration.put(build_vm("vm-1", address="10.0.0.1:9000", state=VmState.DRAINING))
        for step in range(60):
            fleet.server(1).tasks["j-1.1"].checkpoint = f"step-{step}"
            await fleet.advance(1)
        fleet.server(1).finish("j-1.1")
        await fleet.advance(2)
        assert (await fleet.record()).state is JobState.DONE
        assert fleet.starts == [("j-1.1", "")]

    run_with_fleet(scenario)


def test_data_centre_out_moves_idempotent_work_at_its_checkpoint():
    async def scenario(fleet):
        runner = await fleet.start_runner()
        await fleet.submit("moves", idempotent=True)
        await fleet.submit("stays", idempotent=False)
        await fleet.advance(4)
        tasks = fleet.server(1).tasks
        tasks["moves.1"].checkpoint = tasks["stays.1"].checkpoint = "step-1"
        await fleet.advance(2)
        take_out(fleet)
        await fleet.advance(5)
        assert tasks["moves.1"].state == "running"
        tasks["moves.1"].checkpoint = tasks["stays.1"].checkpoint = "step-2"
        await fleet.advance(6)
        assert tasks["moves.1"].state == "stopped"
        assert fleet.server(2).starts == [("moves.2", "step-2")]
        assert tasks["stays.1"].state == "running"
        assert runner.slots.released == ["finished"]

    run_with_fleet(scenario)


def test_store_outage_keeps_tasks_and_results():
    async def scenario(fleet):
        runner = await fleet.start_runner()
        await fleet.submit("long")
        await fleet.submit("short")
        await fleet.advance(4)
        await fleet.submit("late")
        runner.tables.outage = fleet.objects.outage = True
        await fleet.advance(20)
        fleet.server(1).finish("short.1", body=b"kept")
        await fleet.advance(100)
        assert fleet.server(1).tasks["long.1"].state == "running"
        assert len(fleet.starts) == 2
        runner.tables.outage = fleet.objects.outage = False
        await fleet.advance(5)
        record = await fleet.record("short")
        assert (await fleet.store.result(record)).ok == b"kept"
        assert ("late.1", "") in fleet.starts

    run_with_fleet(scenario)


def test_results_in_memory_are_bounded():
    async def scenario(fleet):
        runner = await fleet.start_runner(options=JobOptions(result_bytes=1000))
        for number in range(5):
            await fleet.submit(f"j-{number}")
        await fleet.advance(4)
        fleet.objects.outage = True
        for number in range(5):
            fleet.server(1).finish(f"j-{number}.1", body=b"x" * 400)
        await fleet.advance(5)
        assert runner.runner.state()["result_bytes_in_memory"] == 800
        fleet.objects.outage = False
        await fleet.advance(8)
        states = [(await fleet.record(f"j-{n}")).state for n in range(5)]
        assert states == [JobState.DONE] * 5
        assert runner.runner.state()["result_bytes_in_memory"] == 0

    run_with_fleet(scenario)


def test_lost_answer_to_the_final_write_is_resolved():
    async def scenario(fleet):
        runner = await fleet.start_runner()
        await fleet.submit()
        await fleet.advance(4)
        fleet.server(1).finish("j-1.1")
        runner.tables.next_commits = [StoreFault.ANSWER_LOST] * 3
        await fleet.advance(4)
        assert (await fleet.record()).state is JobState.DONE
        assert runner.runner.state()["held"] == []
        assert runner.metrics.value("jobs_let_go_total") == 0
        assert len(fleet.starts) == 1

    run_with_fleet(scenario)


def test_cancel_before_and_after_the_start():
    async def scenario(fleet):
        runner = await fleet.start_runner()
        await fleet.submit("running")
        await fleet.advance(4)
        runner.slots.open = type(runner.slots.open)()
        await fleet.submit("waiting")
        await fleet.advance(4)
        for job_id in ("running", "waiting"):
            assert (await cancel_job(fleet.store, fleet.clock, "records", job_id)).is_ok()
        await fleet.advance(4)
        assert fleet.server(1).tasks["running.1"].state == "stopped"
        states = [(await fleet.record(job_id)).state for job_id in ("running", "waiting")]
        assert states == [JobState.CANCELLED] * 2
        assert runner.runner.state()["waiting"] == []
        assert runner.slots.granted == {}

    run_with_fleet(scenario)


def test_cancellation_burst_is_batched():
    async def scenario(fleet):
        runner = await fleet.start_runner(options=JobOptions(waiting_per_organisation=300))
        jobs = [f"j-{number}" for number in range(200)]
        for job_id in jobs:
            await fleet.submit(job_id)
        await fleet.advance(4)
        assert len(fleet.starts) == 200
        for job_id in jobs:
            await cancel_job(fleet.store, fleet.clock, "records", job_id)
            runner.runner.notify_cancelled(job_id)
        commits = runner.tables.commits
        await fleet.advance(3)
        assert (await fleet.store.open_jobs("records")).ok == ()
        assert runner.tables.commits - commits <= 10

    run_with_fleet(scenario)


def test_checkpoints_are_batched_at_a_bounded_rate():
    async def scenario(fleet):
        runner = await fleet.start_runner(options=JobOptions(waiting_per_organisation=100))
        for number in range(50):
            await fleet.submit(f"j-{number}", idempotent=True)
        await fleet.advance(4)
        commits = runner.tables.commits
        for step in range(60):
            for task in fleet.server(1).tasks.values():
                task.checkpoint = f"step-{step}"
            await fleet.advance(0.5)
        assert runner.tables.commits - commits <= 30 // 5 + 30 // 2 + 2
        assert (await fleet.record("j-49")).checkpoint >= "step-4"

    run_with_fleet(scenario)
