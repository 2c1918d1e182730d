from fireflydeck.core import DataCentre, Failure, JobState, Reason, VmState
from fireflydeck.jobs import JobOptions
from fireflydeck.jobs.tests.builders import run_with_fleet
from fireflydeck.testing import StoreFault, build_vm


def outcomes(record):
    return [attempt.outcome.value for attempt in record.attempts]


def test_run_job_to_its_result():
    async def scenario(fleet):
        runner = await fleet.start_runner()
        await fleet.submit(content=b"x" * 5000)
        await fleet.advance(4)
        assert fleet.starts == [("j-1.1", "")]
        assert (await fleet.record()).state is JobState.RUNNING
        fleet.server(1).finish("j-1.1", status=201, body=b"whole result")
        await fleet.advance(3)
        record = await fleet.record()
        assert (record.state, record.status) == (JobState.DONE, 201)
        assert (await fleet.store.result(record)).ok == b"whole result"
        assert (await fleet.store.open_jobs("records")).ok == ()
        assert runner.slots.released == ["finished"]

    run_with_fleet(scenario)


def test_notify_queued_starts_before_the_next_scan():
    async def scenario(fleet):
        runner = await fleet.start_runner()
        await fleet.advance(0.5)
        await fleet.submit()
        await runner.runner.notify_queued("j-1", "records")
        await fleet.advance(0.5)
        assert fleet.starts == [("j-1.1", "")]

    run_with_fleet(scenario)


def test_two_owners_start_once():
    async def scenario(fleet):
        runners = [await fleet.start_runner(f"d-{n}") for n in range(3)]
        for number in range(20):
            await fleet.submit(f"j-{number}")
        await fleet.advance(10)
        assert sorted(task for task, _ in fleet.starts) == sorted(f"j-{n}.1" for n in range(20))
        assert sum(len(runner.slots.granted) for runner in runners) == 20

    run_with_fleet(scenario)


def test_attempt_write_with_lost_answer_starts_once():
    async def scenario(fleet):
        runner = await fleet.start_runner()
        await fleet.submit()
        runner.slots.open = type(runner.slots.open)()
        await fleet.advance(3)
        runner.tables.next_commits = [StoreFault.ANSWER_LOST]
        runner.slots.open.set()
        await fleet.advance(2)
        assert fleet.starts == [("j-1.1", "")]

    run_with_fleet(scenario)


def test_attempt_write_of_unknown_outcome_is_not_a_start():
    """A non-idempotent job runs exactly once if its first attempt's write had no answer.

    The write takes effect but its answer is lost, so the start of that attempt is never sent.
    """

    async def scenario(fleet):
        runner = await fleet.start_runner()
        await fleet.submit()
        runner.slots.open = type(runner.slots.open)()
        await fleet.advance(3)
        fault = StoreFault.ANSWER_LOST
        runner.tables.next_commits = [fault] + [StoreFault.OUTAGE] * 3
        runner.slots.open.set()
        await fleet.advance(1)
        assert fleet.starts == []
        assert (await fleet.record()).state is JobState.RUNNING
        await fleet.advance(8)
        assert fleet.starts == [("j-1.2", "")]
        assert outcomes(await fleet.record()) == ["not-started", "open"]

    run_with_fleet(scenario)


def test_refused_start_goes_to_another_vm():
    async def scenario(fleet):
        runner = await fleet.start_runner()
        fleet.server(1).refuses = True
        await fleet.submit(idempotent=False)
        await fleet.advance(8)
        assert fleet.server(2).starts == [("j-1.2", "")]
        assert runner.slots.released == ["not-started"]

    run_with_fleet(scenario)


def test_unreachable_vm_is_not_a_start():
    async def scenario(fleet):
        await fleet.start_runner()
        fleet.server(1).unreachable = True
        await fleet.submit(idempotent=False)
        await fleet.advance(8)
        assert fleet.server(2).starts == [("j-1.2", "")]

    run_with_fleet(scenario)


def test_no_start_when_state_changes_before_the_first_byte():
    def stale(fleet):
        fleet.configuration.fresh = False

    def data_centre_out(fleet):
        fleet.configuration.put(DataCentre(name="dc-1", in_service=False))

    def draining(fleet):
        fleet.configuration.put(build_vm("vm-1", address="10.0.0.1:9000", state=VmState.DRAINING))

    def moved(fleet):
        fleet.configuration.put(build_vm("vm-1", address="10.0.0.1:9000", pool="other"))

    def replaced(fleet):
        fleet.configuration.put(build_vm("vm-1", address="10.0.0.9:9000"))

    def check(change):
        async def scenario(fleet):
            def change_before_first_byte(request):
                if request.method == "PUT":
                    change(fleet)

            fleet.network.before_first_byte = change_before_first_byte
            runner = await fleet.start_runner()
            await fleet.submit()
            await fleet.advance(4)
            assert fleet.starts == []
            assert outcomes(await fleet.record()) == ["not-started"]
            assert runner.slots.released[0] == "not-started"

        run_with_fleet(scenario, vms=1)

    check(stale)
    check(data_centre_out)
    check(draining)
    check(moved)
    check(replaced)


def test_paused_process_sends_no_start_after_its_lease():
    async def scenario(fleet):
        runner = await fleet.start_runner()

        def pause(request):
            if request.method == "PUT":
                runner.clock.offset_ms += JobOptions().holder_lease_ms

        fleet.network.before_first_byte = pause
        await fleet.submit()
        await fleet.advance(3.5)
        assert fleet.starts == []

    run_with_fleet(scenario)


def test_start_with_lost_answer_is_adopted():
    async def scenario(fleet):
        await fleet.start_runner()
        fleet.server(1).lose_start_answers = 1
        await fleet.submit(idempotent=True)
        await fleet.advance(40)
        assert fleet.starts == [("j-1.1", "")]
        fleet.server(1).finish("j-1.1")
        await fleet.advance(2)
        assert (await fleet.record()).state is JobState.DONE

    run_with_fleet(scenario)


def test_start_that_never_arrived():
    def check(idempotent, state, starts):
        async def scenario(fleet):
            await fleet.start_runner()
            fleet.server(1).drop_starts = 1
            await fleet.submit(idempotent=idempotent)
            await fleet.advance(30)
            assert fleet.starts == []
            assert (await fleet.record()).state is JobState.RUNNING
            await fleet.advance(10)
            assert (await fleet.record()).state is state
            assert fleet.starts == starts

        run_with_fleet(scenario)

    check(False, JobState.UNKNOWN, [])
    check(True, JobState.RUNNING, [("j-1.2", "")])


def test_vm_lost_resumes_from_the_checkpoint_elsewhere():
    def check(idempotent, state, starts):
        async def scenario(fleet):
            runner = await fleet.start_runner()
            await fleet.submit(idempotent=idempotent)
            await fleet.advance(4)
            fleet.server(1).tasks["j-1.1"].checkpoint = "step-7"
            await fleet.advance(2)
            fleet.server(1).unreachable = True
            await fleet.advance(20)
            assert runner.slots.released == []
            await fleet.advance(20)
            assert (await fleet.record()).state is state
            assert fleet.starts == starts
            assert runner.slots.released == ["lost"]

        run_with_fleet(scenario)

    check(True, JobState.RUNNING, [("j-1.1", ""), ("j-1.2", "step-7")])
    check(False, JobState.UNKNOWN, [("j-1.1", "")])


def test_restarted_backend_server():
    async def scenario(fleet):
        await fleet.start_runner()
        await fleet.submit(idempotent=True)
        await fleet.advance(4)
        fleet.server(1).tasks.clear()
        await fleet.advance(6)
        assert fleet.starts == [("j-1.1", ""), ("j-1.2", "")]
        assert fleet.server(2).starts

    run_with_fleet(scenario)


def test_poison_job_fails_on_different_vms():
    def check(idempotent, attempts):
        async def scenario(fleet):
            runner = await fleet.start_runner()
            await fleet.submit(idempotent=idempotent)
            for _ in range(attempts + 2):
                await fleet.advance(5)
                for server in fleet.servers.values():
                    for task_id in server.tasks:
                        server.finish(task_id, state="failed", status=500, body=b"trace")
            record = await fleet.record()
            assert record.state is JobState.FAILED
            assert len({attempt.vm for attempt in record.attempts}) == attempts
            assert len(fleet.starts) == attempts
            assert "failed" in record.reason
            assert (await fleet.store.result(record)).ok == b"trace"
            assert runner.slots.released == ["failed"] * attempts

        run_with_fleet(scenario)

    check(True, 3)
    check(False, 1)


def test_job_that_fits_nowhere_fails():
    async def scenario(fleet):
        runner = await fleet.start_runner()
        runner.slots.failure = Failure(Reason.FITS_NOWHERE, "slots", detail="needs 99 cores")
        await fleet.submit()
        await fleet.advance(4)
        record = await fleet.record()
        assert (record.state, record.reason) == (JobState.FAILED, "no VM fits: needs 99 cores")

    run_with_fleet(scenario)


def test_runner_that_lost_its_queue_stops_waiting():
    async def scenario(fleet):
        runner = await fleet.start_runner()
        runner.slots.open = type(runner.slots.open)()
        await fleet.submit()
        await fleet.advance(4)
        assert runner.runner.state()["waiting"] == ["j-1"]
        runner.runner._owns = lambda queue: False
        await fleet.advance(4)
        assert runner.runner.state()["waiting"] == []

    run_with_fleet(scenario)
