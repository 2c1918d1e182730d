"""Routing of requests to the dispatchers that own a pool, with retries where they are safe."""

from collections.abc import Callable, Iterator

from attrs import evolve, frozen
from expression import Error, Result

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Answer, Clock, Failure, Member, Ran, Reason, Request
from fireflydeck.kernel import Event, EventLog, Metrics
from fireflydeck.peers import OwnerRanking, PeerClient
from fireflydeck.web.timeout import run_within_ms

__all__ = ["Router", "RouterOptions"]

_STEP = "gateway.route"
_NEXT_OWNER_REASONS = frozenset(
    {Reason.PEER_UNREACHABLE, Reason.STOPPING, Reason.NOT_OWNER, Reason.STALE_CONFIGURATION}
)


@frozen(kw_only=True)
class RouterOptions:
    """Limits for retries.

    Parameters
    ----------
    answer_grace_ms
        Time after the deadline in which a dispatcher can still deliver its own refusal.
    max_lost_retries
        Maximum number of retries of an idempotent request after the connection to its dispatcher
        was lost. Limits the number of dispatchers that a request can crash.
    """

    answer_grace_ms: int = 1_000
    max_lost_retries: int = 1


class Router:
    """Submits requests to the owners of a pool in rank order.

    The next owner is tried if the previous one can't be reached or doesn't accept requests for the
    pool, so that the request didn't run there. An idempotent request is also tried again after the
    connection to its dispatcher was lost.

    Parameters
    ----------
    peers
        Connections to the dispatchers.
    view
        Configuration in force.
    """

    def __init__(
        self,
        *,
        peers: PeerClient,
        view: ConfigurationView,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        options: RouterOptions | None = None,
    ) -> None:
        self._peers = peers
        self._view = view
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._options = options or RouterOptions()
        self._ranking = OwnerRanking()

    async def submit(
        self, pool: str, request: Request, check_admission: Callable[[], Failure | None]
    ) -> Result[Answer, Failure]:
        """Return the dispatcher's answer.

        A failure has `Ran.UNKNOWN` if the request may have run in any of the attempts.

        Parameters
        ----------
        check_admission
            Called before every attempt; if it returns a failure, no attempt follows.
        """
        deadline_ms = self._clock.now_ms() + request.deadline_ms
        failure = self._unreachable_failure(pool)
        ran = Ran.NO
        lost_count = 0
        for owner in self._usable_owners(pool):
            refusal = check_admission() or self._check_deadline(deadline_ms)
            if refusal is not None:
                failure = refusal
                break
            result = await self._submit_to(owner, request, deadline_ms)
            if result.is_ok():
                return result
            failure = result.error
            ran = Ran.UNKNOWN if failure.ran is Ran.UNKNOWN else ran
            lost_count += failure.reason is Reason.PEER_LOST
            if not self._may_retry(failure, request, lost_count):
                break
            self._report_retry(request, owner, failure)
        return Error(evolve(failure, ran=ran))

    def _usable_owners(self, pool: str) -> Iterator[Member]:
        for owner in self._ranking.owners(pool, self._view.current):
            if self._peers.is_alive(owner) and not self._peers.is_stopping(owner):
                yield owner

    async def _submit_to(
        self, owner: Member, request: Request, deadline_ms: int
    ) -> Result[Answer, Failure]:
        remaining_ms = deadline_ms - self._clock.now_ms()
        attempt = evolve(request, deadline_ms=remaining_ms)
        try:
            return await run_within_ms(
                self._clock,
                remaining_ms + self._options.answer_grace_ms,
                lambda: self._peers.submit(owner, attempt),
            )
        except TimeoutError:
            return Error(self._deadline_failure(owner))

    def _may_retry(self, failure: Failure, request: Request, lost_count: int) -> bool:
        if failure.ran is Ran.NO:
            return failure.reason in _NEXT_OWNER_REASONS
        is_lost = failure.reason is Reason.PEER_LOST
        return is_lost and request.idempotent and lost_count <= self._options.max_lost_retries

    def _check_deadline(self, deadline_ms: int) -> Failure | None:
        if self._clock.now_ms() < deadline_ms:
            return None
        return Failure(Reason.DEADLINE, step=_STEP, detail="the deadline passed between tries")

    def _deadline_failure(self, owner: Member) -> Failure:
        return Failure(
            Reason.DEADLINE,
            step=_STEP,
            peer=owner.name,
            detail="no answer before the deadline",
            ran=Ran.UNKNOWN,
        )

    def _unreachable_failure(self, pool: str) -> Failure:
        detail = f"no dispatcher of pool {pool!r} can be reached"
        return Failure(Reason.PEER_UNREACHABLE, step=_STEP, detail=detail)

    def _report_retry(self, request: Request, owner: Member, failure: Failure) -> None:
        self._metrics.count("gateway_retries_total", reason=failure.reason)
        self._log.emit(
            Event.REQUEST_RETRIED,
            request_id=request.request_id,
            peer=owner.name,
            reason=failure.reason,
            step=failure.step,
        )
