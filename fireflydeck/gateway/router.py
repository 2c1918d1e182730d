"""Sends a request to the owner of its pool, and to the next one where that is safe."""

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
    """Limits of retries.

    Parameters
    ----------
    answer_grace_ms
        Time after the deadline that a dispatcher has to deliver its own refusal.
    max_lost_retries
        Tries of an idempotent request after a dispatcher was lost with it; bounds the harm of a
        request that brings dispatchers down.
    """

    answer_grace_ms: int = 1_000
    max_lost_retries: int = 1


class Router:
    """Tries the owners of a pool in rank order.

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
        self, pool: str, request: Request, refuse: Callable[[], Failure | None]
    ) -> Result[Answer, Failure]:
        """Return the dispatcher's answer.

        A failure says `Ran.UNKNOWN` if any of the tries may have run.

        Parameters
        ----------
        refuse
            Called before every try; a failure that it returns ends the request.
        """
        deadline_ms = self._clock.now_ms() + request.deadline_ms
        failure = self._no_owner(pool)
        ran = Ran.NO
        lost = 0
        for owner in self._usable_owners(pool):
            refusal = refuse() or self._check_deadline(deadline_ms)
            if refusal is not None:
                failure = refusal
                break
            result = await self._try(owner, request, deadline_ms)
            if result.is_ok():
                return result
            failure = result.error
            ran = Ran.UNKNOWN if failure.ran is Ran.UNKNOWN else ran
            lost += failure.reason is Reason.PEER_LOST
            if not self._may_go_on(failure, request, lost):
                break
            self._report_retry(request, owner, failure)
        return Error(evolve(failure, ran=ran))

    def _usable_owners(self, pool: str) -> Iterator[Member]:
        for owner in self._ranking.owners(pool, self._view.current):
            if self._peers.is_alive(owner) and not self._peers.is_stopping(owner):
                yield owner

    async def _try(
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
            return Error(self._late(owner))

    def _may_go_on(self, failure: Failure, request: Request, lost: int) -> bool:
        if failure.ran is Ran.NO:
            return failure.reason in _NEXT_OWNER_REASONS
        is_lost = failure.reason is Reason.PEER_LOST
        return is_lost and request.idempotent and lost <= self._options.max_lost_retries

    def _check_deadline(self, deadline_ms: int) -> Failure | None:
        if self._clock.now_ms() < deadline_ms:
            return None
        return Failure(Reason.DEADLINE, step=_STEP, detail="the deadline passed between tries")

    def _late(self, owner: Member) -> Failure:
        return Failure(
            Reason.DEADLINE,
            step=_STEP,
            peer=owner.name,
            detail="no answer before the deadline",
            ran=Ran.UNKNOWN,
        )

    def _no_owner(self, pool: str) -> Failure:
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
