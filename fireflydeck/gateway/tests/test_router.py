import anyio
import pytest
from expression import Error, Ok

from fireflydeck.core import Answer, Failure, Member, Ran, Reason
from fireflydeck.gateway import Router
from fireflydeck.kernel import EventLog, Metrics
from fireflydeck.peers import rank_owners
from fireflydeck.testing import FakeClock, build_configuration, build_request
from fireflydeck.testing.peers import FakeConfigurationView, build_member

pytestmark = pytest.mark.anyio

ANSWER = Ok(Answer(request_id="r-1", status=200))
UNREACHABLE = Error(Failure(Reason.PEER_UNREACHABLE, step="peer.connect"))
STOPPING = Error(Failure(Reason.STOPPING, step="dispatcher"))
STALE_DISPATCHER = Error(Failure(Reason.STALE_CONFIGURATION, step="dispatcher"))
NOT_OWNER = Error(Failure(Reason.NOT_OWNER, step="dispatcher"))
LOST = Error(Failure(Reason.PEER_LOST, step="peer.submit", ran=Ran.UNKNOWN))
FULL = Error(Failure(Reason.QUEUE_FULL, step="queue"))
BACKEND_LOST = Error(Failure(Reason.BACKEND_LOST, step="dispatch", ran=Ran.UNKNOWN))
STALE = Failure(Reason.STALE_CONFIGURATION, step="gateway.admit")


class FakePeers:
    """Returns the given results in order, one for each attempt."""

    def __init__(self, results, clock=None, delay_ms=0):
        self.results = list(results)
        self.attempts = []
        self.requests = []
        self.unreachable = set()
        self.stopping = set()
        self.clock = clock
        self.delay_ms = delay_ms

    def is_alive(self, member):
        return member.name not in self.unreachable

    def is_stopping(self, member):
        return member.name in self.stopping

    async def submit(self, member, request):
        self.attempts.append(member.name)
        self.requests.append(request)
        if self.delay_ms:
            await self.clock.sleep_ms(self.delay_ms)
        return self.results.pop(0)


def make_router(peers, clock=None):
    members = [build_member(f"d-{number}") for number in range(4)]
    view = FakeConfigurationView(build_configuration(*members))
    ranked = [member.name for member in rank_owners("records", view.current.all(Member))]
    router = Router(
        peers=peers, view=view, clock=clock or FakeClock(), log=EventLog(), metrics=Metrics()
    )
    return router, ranked


CASES = {
    # name: (results of the attempts, idempotent, reason or None, ran, number of attempts)
    "first answers": ([ANSWER], False, None, None, 1),
    "unreachable, next answers": ([UNREACHABLE, ANSWER], False, None, None, 2),
    "stopping, next answers": ([STOPPING, ANSWER], False, None, None, 2),
    "stale, next answers": ([STALE_DISPATCHER, ANSWER], False, None, None, 2),
    "not owner, next answers": ([NOT_OWNER, ANSWER], False, None, None, 2),
    "all unreachable": ([UNREACHABLE] * 4, False, Reason.PEER_UNREACHABLE, Ran.NO, 4),
    "refused": ([FULL], False, Reason.QUEUE_FULL, Ran.NO, 1),
    "refused, idempotent": ([FULL], True, Reason.QUEUE_FULL, Ran.NO, 1),
    "lost": ([LOST], False, Reason.PEER_LOST, Ran.UNKNOWN, 1),
    "lost, idempotent": ([LOST, ANSWER], True, None, None, 2),
    "lost twice, idempotent": ([LOST, LOST], True, Reason.PEER_LOST, Ran.UNKNOWN, 2),
    "lost, then refused": ([LOST, FULL], True, Reason.QUEUE_FULL, Ran.UNKNOWN, 2),
    "lost, then unreachable": (
        [LOST, UNREACHABLE, STOPPING, NOT_OWNER],
        True,
        Reason.NOT_OWNER,
        Ran.UNKNOWN,
        4,
    ),
    "backend lost": ([BACKEND_LOST], True, Reason.BACKEND_LOST, Ran.UNKNOWN, 1),
}


@pytest.mark.parametrize(
    ("results", "idempotent", "reason", "ran", "attempts"), CASES.values(), ids=CASES.keys()
)
async def test_submit_retries_only_where_that_is_safe(results, idempotent, reason, ran, attempts):
    peers = FakePeers(results)
    router, ranked = make_router(peers)
    result = await router.submit("records", build_request(idempotent=idempotent), lambda: None)
    assert peers.attempts == ranked[:attempts]
    if reason is None:
        assert result == ANSWER
    else:
        assert (result.error.reason, result.error.ran) == (reason, ran)


async def test_submit_skips_owners_that_are_unreachable_or_stopping():
    peers = FakePeers([ANSWER])
    router, ranked = make_router(peers)
    peers.unreachable.add(ranked[0])
    peers.stopping.add(ranked[1])
    assert await router.submit("records", build_request(), lambda: None) == ANSWER
    assert peers.attempts == [ranked[2]]


async def test_submit_without_a_usable_owner_fails_as_not_run():
    peers = FakePeers([])
    router, ranked = make_router(peers)
    peers.unreachable.update(ranked)
    result = await router.submit("records", build_request(), lambda: None)
    assert (result.error.reason, result.error.ran) == (Reason.PEER_UNREACHABLE, Ran.NO)


@pytest.mark.parametrize(("first", "ran"), [(UNREACHABLE, Ran.NO), (LOST, Ran.UNKNOWN)])
async def test_submit_checks_admission_before_every_attempt(first, ran):
    checks = [None, STALE]
    peers = FakePeers([first])
    router, _ = make_router(peers)
    result = await router.submit("records", build_request(idempotent=True), lambda: checks.pop(0))
    assert (result.error.reason, result.error.ran) == (Reason.STALE_CONFIGURATION, ran)
    assert len(peers.attempts) == 1


async def run_submit(router, clock, request, advance_ms):
    results = []

    async def submit():
        results.append(await router.submit("records", request, lambda: None))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(submit)
        await clock.advance_ms(advance_ms)
    return results[0]


async def test_submit_passes_the_remaining_time_to_each_attempt_and_ends_at_the_deadline():
    clock = FakeClock()
    peers = FakePeers([UNREACHABLE] * 3, clock, delay_ms=400)
    router, _ = make_router(peers, clock)
    result = await run_submit(router, clock, build_request(deadline_ms=1_000), 1_200)
    assert [request.deadline_ms for request in peers.requests] == [1_000, 600, 200]
    assert (result.error.reason, result.error.ran) == (Reason.DEADLINE, Ran.NO)


async def test_submit_times_out_on_a_silent_dispatcher_after_the_grace_period():
    clock = FakeClock()
    peers = FakePeers([ANSWER], clock, delay_ms=10_000)
    router, _ = make_router(peers, clock)
    result = await run_submit(router, clock, build_request(deadline_ms=500), 1_500)
    assert (result.error.reason, result.error.ran) == (Reason.DEADLINE, Ran.UNKNOWN)
    assert len(peers.attempts) == 1
