from fireflydeck.core import JobState
from fireflydeck.jobs import JobOptions
from fireflydeck.jobs.tests.builders import run_with_fleet

TAKE_OVER_S = 16


def writes_to(server, task_id):
    return [call for call in server.calls if call[0] != "GET" and call[2] == task_id]


async def start_on_first_runner(fleet, **fields):
    """Start one job on a first runner, then add a second runner that could take it over."""
    first = await fleet.start_runner("d-1")
    await fleet.submit(**fields)
    await fleet.advance(4)
    second = await fleet.start_runner("d-2")
    await fleet.advance(4)
    assert len(fleet.starts) == 1
    return first, second


def test_live_holder_keeps_its_job():
    async def scenario(fleet):
        first, second = await start_on_first_runner(fleet, idempotent=True)
        await fleet.advance(60)
        assert (await fleet.record()).holder == first.runner.holder
        assert second.runner.state()["held"] == []

    run_with_fleet(scenario)


def test_running_task_of_a_killed_holder_is_adopted():
    async def scenario(fleet):
        first, second = await start_on_first_runner(fleet)
        first.kill()
        await fleet.advance(TAKE_OVER_S)
        assert (await fleet.record()).holder == second.runner.holder
        await fleet.advance(60)
        fleet.server(1).finish("j-1.1", body=b"adopted")
        await fleet.advance(2)
        record = await fleet.record()
        assert (await fleet.store.result(record)).ok == b"adopted"
        assert len(fleet.starts) == 1

    run_with_fleet(scenario)


def test_finished_task_of_a_killed_holder_is_collected():
    async def scenario(fleet):
        first, _ = await start_on_first_runner(fleet)
        first.kill()
        fleet.server(1).finish("j-1.1")
        await fleet.advance(TAKE_OVER_S)
        assert (await fleet.record()).state is JobState.DONE
        assert len(fleet.starts) == 1

    run_with_fleet(scenario)


def test_missing_task_of_a_killed_holder():
    def check(idempotent, state, starts):
        async def scenario(fleet):
            first, _ = await start_on_first_runner(fleet, idempotent=idempotent)
            fleet.server(1).tasks["j-1.1"].checkpoint = "step-3"
            await fleet.advance(6)
            first.kill()
            fleet.server(1).tasks.clear()
            await fleet.advance(TAKE_OVER_S + 4)
            assert (await fleet.record()).state is state
            assert fleet.starts == starts

        run_with_fleet(scenario)

    check(True, JobState.RUNNING, [("j-1.1", ""), ("j-1.2", "step-3")])
    check(False, JobState.UNKNOWN, [("j-1.1", "")])


def test_paused_holder_releases_the_job_without_changing_the_task():
    async def scenario(fleet):
        first, second = await start_on_first_runner(fleet, idempotent=True)
        first.clock.pause()
        await fleet.advance(TAKE_OVER_S)
        assert (await fleet.record()).holder == second.runner.holder
        previous_calls = list(fleet.server(1).calls)
        second.clock.pause()
        first.clock.resume()
        await fleet.advance(5)
        new_calls = fleet.server(1).calls[len(previous_calls) :]
        assert [call for call in new_calls if call[0] != "GET"] == []
        assert first.runner.state()["held"] == []
        assert first.slots.released == ["handed-over"]
        assert (await fleet.record()).holder == second.runner.holder

    run_with_fleet(scenario)


def test_paused_holder_with_a_result_does_not_overwrite():
    async def scenario(fleet):
        first, _ = await start_on_first_runner(fleet, idempotent=True)
        fleet.objects.outage = True
        fleet.server(1).finish("j-1.1", body=b"first")
        await fleet.advance(2)
        first.clock.pause()
        fleet.server(1).tasks.clear()
        fleet.objects.outage = False
        await fleet.advance(TAKE_OVER_S + 6)
        taken = await fleet.record()
        assert [attempt.outcome.value for attempt in taken.attempts] == ["lost", "open"]
        first.clock.resume()
        await fleet.advance(4)
        assert (await fleet.record()).state is JobState.RUNNING
        assert first.runner.state()["held"] == []
        assert first.runner.state()["result_bytes_in_memory"] == 0

    run_with_fleet(scenario)


def test_two_runners_take_over_once():
    async def scenario(fleet):
        first, second = await start_on_first_runner(fleet, idempotent=True)
        third = await fleet.start_runner("d-3")
        await fleet.advance(4)
        first.kill()
        await fleet.advance(TAKE_OVER_S)
        held = [runner.runner.state()["held"] for runner in (second, third)]
        assert sorted(map(len, held)) == [0, 1]
        assert len(fleet.starts) == 1

    run_with_fleet(scenario)


def test_no_take_over_right_after_a_store_outage():
    async def scenario(fleet):
        first, second = await start_on_first_runner(fleet, idempotent=True)
        first.tables.outage = True
        await fleet.advance(3.5)
        second.tables.outage = True
        await fleet.advance(60)
        second.tables.outage = False
        await fleet.advance(6)
        first.tables.outage = False
        await fleet.advance(60)
        assert (await fleet.record()).holder == first.runner.holder
        assert second.runner.state()["held"] == []

    run_with_fleet(scenario)


def test_holder_without_the_store_loses_the_job_but_not_the_task():
    async def scenario(fleet):
        first, second = await start_on_first_runner(fleet)
        first.tables.outage = True
        await fleet.advance(60)
        assert (await fleet.record()).holder == second.runner.holder
        assert fleet.server(1).tasks["j-1.1"].state == "running"
        first.tables.outage = False
        await fleet.advance(8)
        assert first.runner.state()["held"] == []
        fleet.server(1).finish("j-1.1")
        await fleet.advance(2)
        assert (await fleet.record()).state is JobState.DONE
        assert len(fleet.starts) == 1

    run_with_fleet(scenario)


def test_renewal_between_scan_and_take_over_prevents_the_take_over():
    async def scenario(fleet):
        first, second = await start_on_first_runner(fleet, idempotent=True)
        first.clock.pause()
        original = second.runner._context.store.load

        async def renew_then_load(queue, job_id):
            await fleet.store.write_batch([], first.runner.holder)
            return await original(queue, job_id)

        second.runner._context.store.load = renew_then_load
        await fleet.advance(TAKE_OVER_S)
        assert (await fleet.record()).holder == first.runner.holder

    run_with_fleet(scenario)


def test_graceful_stop_hands_over():
    async def scenario(fleet):
        first, second = await start_on_first_runner(fleet)
        fleet.tasks.start_soon(first.runner.stop)
        await fleet.advance(3)
        assert first.runner.state()["held"] == []
        assert first.slots.released == ["handed-over"]
        first.kill()
        await fleet.advance(3)
        assert (await fleet.record()).holder == second.runner.holder
        holders = [lease.holder for lease in (await fleet.store.holders()).ok]
        assert holders == [second.runner.holder]
        fleet.server(1).finish("j-1.1")
        await fleet.advance(3)
        assert (await fleet.record()).state is JobState.DONE
        assert len(fleet.starts) == 1

    run_with_fleet(scenario)


def test_graceful_stop_waits_for_the_result():
    async def scenario(fleet):
        runner = await fleet.start_runner()
        await fleet.submit()
        await fleet.advance(4)
        fleet.objects.outage = True
        fleet.server(1).finish("j-1.1", body=b"kept")
        await fleet.advance(2)
        fleet.tasks.start_soon(runner.runner.stop)
        await fleet.advance(30)
        fleet.objects.outage = False
        await fleet.advance(3)
        record = await fleet.record()
        assert (await fleet.store.result(record)).ok == b"kept"

    run_with_fleet(scenario)


def test_dead_holders_row_is_removed():
    async def scenario(fleet):
        options = JobOptions(scan_interval_ms=7000)
        first = await fleet.start_runner("d-1", options=options)
        await fleet.advance(1)
        first.kill()
        second = await fleet.start_runner("d-2", options=options)
        await fleet.advance(620)
        holders = [lease.holder for lease in (await fleet.store.holders()).ok]
        assert holders == [second.runner.holder]

    run_with_fleet(scenario)
