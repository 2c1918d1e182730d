import anyio
import httpx
import pytest
from expression import Error, Ok
from starlette.applications import Starlette
from starlette.responses import JSONResponse

from fireflydeck.core import Failure, Reason
from fireflydeck.jobs import JobNotifier, JobRouteDependencies, JobStore, job_routes
from fireflydeck.jobs.tests.builders import JsonTableService
from fireflydeck.jobs.transitions import finish, start_attempt
from fireflydeck.testing import FakeClock, FakeObjectStore, StoreFault, build_vm

ORGANISATIONS = {"Bearer museum-key": "museum", "Bearer school-key": "school"}
MUSEUM = {"authorization": "Bearer museum-key"}
SCHOOL = {"authorization": "Bearer school-key"}


def authenticate(request, queue):
    if queue != "records":
        return Error(Failure(Reason.UNKNOWN_QUEUE, "authenticate"))
    organisation = ORGANISATIONS.get(request.headers.get("authorization", ""))
    return Ok(organisation) if organisation else Error(Failure(Reason.NO_KEY, "authenticate"))


def problem(failure):
    content = {"reason": failure.reason.value, "ran": failure.ran.value, "detail": failure.detail}
    return JSONResponse(content, status_code=503 if "store" in failure.reason else 400)


class RecordingNotifier(JobNotifier):
    def __init__(self):
        self.seen = []

    async def job_queued(self, record):
        self.seen.append(("queued", record.job_id))

    async def job_cancelled(self, record):
        self.seen.append(("cancelled", record.job_id))


class Gateway:
    def __init__(self):
        self.tables, self.objects = JsonTableService(), FakeObjectStore()
        self.store = JobStore(self.tables, self.objects, InstantClock())
        self.notifier = RecordingNotifier()
        dependencies = JobRouteDependencies(
            store=self.store,
            authenticate=authenticate,
            problem=problem,
            notifier=self.notifier,
            clock=InstantClock(),
            max_body_bytes=10_000,
        )
        app = Starlette(routes=job_routes(dependencies))
        transport = httpx.ASGITransport(app)
        self.http = httpx.AsyncClient(transport=transport, base_url="http://gateway")

    async def post(self, queue="records", content=b"{}", **headers):
        return await self.http.post(f"/jobs/{queue}", content=content, headers=MUSEUM | headers)

    async def start(self, job_id):
        loaded = (await self.store.load("records", job_id)).ok
        started = start_attempt(
            loaded.record, holder="d/1", dispatcher="d", vm=build_vm(), wall_ms=0
        )
        return (await self.store.update(loaded, started.ok)).ok


class InstantClock(FakeClock):
    async def sleep_ms(self, duration_ms):
        return


def run_with_gateway(scenario):
    async def main():
        await scenario(Gateway())

    anyio.run(main)


def test_create_show_result():
    async def scenario(gateway):
        created = await gateway.post(**{"x-idempotent": "true", "x-urgency": "batch"})
        assert created.status_code == 202
        location = created.headers["location"]
        job_id = created.json()["job_id"]
        assert gateway.notifier.seen == [("queued", job_id)]
        shown = await gateway.http.get(location, headers=MUSEUM)
        assert shown.json()["state"] == "queued"
        early = await gateway.http.get(f"{location}/result", headers=MUSEUM)
        assert early.json()["reason"] == "conflict"
        held = await gateway.start(job_id)
        await gateway.store.put_result("r", b"whole")
        await gateway.store.update(held, finish(held.record, status=201, result_key="r").ok)
        result = await gateway.http.get(f"{location}/result", headers=MUSEUM)
        assert (result.status_code, result.content) == (201, b"whole")
        assert result.headers["x-vm"] == "vm-1"

    run_with_gateway(scenario)


def test_job_is_visible_to_its_organisation_only():
    async def scenario(gateway):
        location = (await gateway.post()).headers["location"]
        for path in (location, f"{location}/result"):
            other = await gateway.http.get(path, headers=SCHOOL)
            assert other.json()["reason"] == "unknown-job"
        assert (await gateway.http.get(location)).json()["reason"] == "no-key"
        deleted = await gateway.http.delete(location, headers=SCHOOL)
        assert deleted.json()["reason"] == "unknown-job"
        shown = await gateway.http.get(location, headers=MUSEUM)
        assert shown.json()["state"] == "queued"

    run_with_gateway(scenario)


@pytest.mark.parametrize(
    ("headers", "queue", "size", "reason"),
    [
        ({}, "nowhere", 2, "unknown-queue"),
        ({"authorization": "Bearer x"}, "records", 2, "no-key"),
        ({"x-urgency": "soon"}, "records", 2, "bad-request"),
        ({"x-idempotent": "yes"}, "records", 2, "bad-request"),
        ({"x-cores": "1.5"}, "records", 2, "bad-request"),
        ({"idempotency-key": "k" * 300}, "records", 2, "bad-request"),
        ({}, "records", 20_000, "body-too-large"),
    ],
)
def test_create_refuses(headers, queue, size, reason):
    async def scenario(gateway):
        answer = await gateway.post(queue, b"x" * size, **headers)
        assert answer.json()["reason"] == reason
        assert gateway.tables.commits == 0

    run_with_gateway(scenario)


@pytest.mark.parametrize(
    ("faults", "ran"),
    [
        ([StoreFault.OUTAGE], "no"),
        ([StoreFault.ANSWER_LOST, StoreFault.OUTAGE, StoreFault.OUTAGE], "unknown"),
    ],
)
def test_create_in_a_store_outage(faults, ran):
    async def scenario(gateway):
        gateway.tables.next_commits = faults
        answer = await gateway.post(**{"idempotency-key": "order-7"})
        assert (answer.status_code, answer.json()["ran"]) == (503, ran)
        again = await gateway.post(**{"idempotency-key": "order-7"})
        once_more = await gateway.post(**{"idempotency-key": "order-7"})
        assert again.status_code == 202
        assert again.json() == once_more.json()
        assert len((await gateway.store.open_jobs("records")).ok) == 1
        other = await gateway.post(content=b"other", **{"idempotency-key": "order-7"})
        assert other.json()["reason"] == "idempotency-key-mismatch"

    run_with_gateway(scenario)


def test_cancel():
    async def scenario(gateway):
        queued = (await gateway.post()).headers["location"]
        running = (await gateway.post()).headers["location"]
        await gateway.start(running.rpartition("/")[2])
        states = []
        for location in (queued, running, queued):
            answer = await gateway.http.delete(location, headers=MUSEUM)
            states.append((answer.json()["state"], answer.json()["cancel_requested"]))
        assert states == [("cancelled", True), ("running", True), ("cancelled", True)]
        assert ("cancelled", running.rpartition("/")[2]) in gateway.notifier.seen

    run_with_gateway(scenario)
