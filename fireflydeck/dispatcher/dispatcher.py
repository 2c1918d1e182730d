"""Execution of requests on backend servers, with retries where they are safe.

For each attempt, the dispatcher acquires a slot, checks right before the first byte whether the
request may still be sent, and sends it.
"""

from typing import Any

import anyio
from anyio.abc import TaskGroup
from attrs import define, evolve, field
from expression import Error, Ok, Result

from fireflydeck.configuration import ConfigurationView
from fireflydeck.core import Answer, Clock, Failure, Organisation, Ran, Reason, Request, Vm
from fireflydeck.dispatcher.backend_client import BackendClient, BackendRequest
from fireflydeck.dispatcher.idempotency import Claim, IdempotencyKeys
from fireflydeck.dispatcher.lingering import LingeringSlots
from fireflydeck.dispatcher.scheduler import Scheduler
from fireflydeck.dispatcher.slots import SlotGrant, SlotOutcome, SlotRequest
from fireflydeck.kernel import Metrics, Registry, Service
from fireflydeck.policy import RetryBudget

__all__ = ["Dispatcher"]

MAX_ATTEMPTS = 3
"""Maximum number of attempts of one request, including the first and those that ended before the
send. An attempt that must wait for the store to claim its idempotency key does not count.
"""

MAX_GRANT_AGE_MS = 2_000
"""Maximum age of a slot grant at the send; after an older grant, a new slot is acquired."""

_MS_PER_S = 1000
_STORE_RETRY_MS = 100
_NOT_RETRIED = frozenset(
    {Reason.BAD_REQUEST, Reason.ANSWER_TOO_LARGE, Reason.CANCELLED, Reason.WRONG_KEY}
)


@define(eq=False)
class _Call:
    """State of a request that this process handles.

    Attributes
    ----------
    deadline_ms
        Monotonic time of the request's deadline, in milliseconds.
    ran
        Whether the request may have run, over all attempts.
    excluded_vms
        VMs on which an attempt failed.
    claim
        Claim on the idempotency key, if the request has one and must not run twice.
    """

    request: Request
    deadline_ms: int
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    is_cancelled: bool = False
    ran: Ran = Ran.NO
    excluded_vms: set[str] = field(factory=set)
    claim: Claim | None = None


class Dispatcher(Service):
    """Runs requests of gateways on backend servers.

    A result is either the complete answer or a failure whose `ran` says whether the request may
    have run.

    Parameters
    ----------
    view
        The current configuration.
    scheduler
        Grants slots.
    client
        Client for the backend servers.
    keys
        Claims of idempotency keys.
    clock
        Source of time.
    metrics
        Metrics of the process.
    """

    def __init__(
        self,
        view: ConfigurationView,
        scheduler: Scheduler,
        client: BackendClient,
        keys: IdempotencyKeys,
        *,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._scheduler = scheduler
        self._client = client
        self._keys = keys
        self._lingering = LingeringSlots(client, clock)
        self._budgets: dict[str, RetryBudget] = {}
        self._clock = clock
        self._metrics = metrics
        self._calls: dict[str, _Call] = {}
        self._is_stopping = False
        self._idle = anyio.Event()

    @property
    def name(self) -> str:
        """Name of the service."""
        return "dispatcher"

    async def start(self, registry: Registry, tasks: TaskGroup) -> None:
        """Start the polls of lingering slots; requests run in the tasks of their callers."""
        self._lingering.start(tasks)

    async def stop(self) -> None:
        """Refuse new requests and wait until the current ones and the lingering slots end."""
        self._is_stopping = True
        while self._calls:
            self._idle = anyio.Event()
            await self._idle.wait()
        await self._lingering.wait_until_empty()
        await self._client.close()

    def state(self) -> dict[str, Any]:
        """Return the current requests and the number of lingering slots."""
        return {
            "stopping": self._is_stopping,
            "requests": list(self._calls),
            "lingering": len(self._lingering),
        }

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return `False` if this process does not handle it."""
        call = self._calls.get(request_id)
        if call is None:
            return False
        call.is_cancelled = True
        call.scope.cancel()
        return True

    async def submit(self, request: Request) -> Result[Answer, Failure]:
        """Run a request and return the complete answer or the failure."""
        if self._is_stopping:
            return _refusal(Reason.STOPPING, "the dispatcher stops")
        if request.request_id in self._calls:
            return _refusal(Reason.CONFLICT, "a request of this id is being processed")
        call = _Call(request, self._clock.now_ms() + request.deadline_ms)
        if request.idempotency_key and not request.idempotent:
            call.claim = Claim(request)
        self._calls[request.request_id] = call
        result = _refusal(Reason.CANCELLED, "the caller is gone")
        try:
            with call.scope:
                result = await self._run(call)
        finally:
            self._finish_call(call, result)
        return result.map_error(lambda failure: _with_combined_outcome(failure, call))

    def _finish_call(self, call: _Call, result: Result[Answer, Failure]) -> None:
        del self._calls[call.request.request_id]
        may_own_row = call.claim is not None and call.claim.may_own_row
        if may_own_row and call.ran is Ran.NO and result.is_error():
            self._keys.withdraw(call.claim)
        if not self._calls:
            self._idle.set()

    async def _run(self, call: _Call) -> Result[Answer, Failure]:
        attempts = 0
        while True:
            acquired = await self._scheduler.acquire(_slot_request(call))
            if acquired.is_error():
                return Error(acquired.error)
            result = await self._run_in_slot(call, acquired.ok)
            if result.is_ok():
                return result
            if _should_wait_for_store(call, result.error):
                if not await self._wait_for_store(call):
                    return result
                continue
            attempts += 1
            if not self._may_retry(call, result.error, attempts):
                return result
            call.excluded_vms.add(acquired.ok.vm.name)

    async def _run_in_slot(self, call: _Call, grant: SlotGrant) -> Result[Answer, Failure]:
        outcome = SlotOutcome.UNUSED
        ran_before = call.ran
        try:
            claimed = await self._claim(call)
            if claimed.is_error():
                return Error(claimed.error)
            if claimed.ok is not None:
                return Ok(claimed.ok)
            outcome = SlotOutcome.FAILED
            result = await self._send(call, grant)
            outcome = _outcome_of(result)
            if result.is_error() and result.error.ran is Ran.NO:
                call.ran = ran_before
            return result
        finally:
            self._release(call, grant, outcome)

    async def _claim(self, call: _Call) -> Result[Answer | None, Failure]:
        if call.claim is None or call.claim.owns_row:
            return Ok(None)
        remaining_ms = call.deadline_ms - self._clock.now_ms()
        with anyio.move_on_after(max(0, remaining_ms) / _MS_PER_S):
            return await self._keys.claim(call.claim)
        return _refusal(Reason.STORE_UNAVAILABLE, "the key could not be claimed in time")

    async def _wait_for_store(self, call: _Call) -> bool:
        """Wait, without a slot, before the next attempt; return `False` after the deadline."""
        await self._clock.sleep_ms(_STORE_RETRY_MS)
        return self._clock.now_ms() < call.deadline_ms

    async def _send(self, call: _Call, grant: SlotGrant) -> Result[Answer, Failure]:
        result = await self._client.send(
            BackendRequest(
                request=call.request,
                vm=grant.vm,
                deadline_ms=call.deadline_ms,
                guard=lambda: self._check_start(call, grant),
            )
        )
        if result.is_ok() and call.claim is not None:
            self._keys.finish(call.claim, result.ok)
        return result

    def _release(self, call: _Call, grant: SlotGrant, outcome: SlotOutcome) -> None:
        """Release the slot; if the request may still be running, only after it has ended."""
        if outcome is SlotOutcome.FAILED and call.ran is Ran.NO:
            outcome = SlotOutcome.UNUSED
        if outcome is SlotOutcome.FAILED:
            self._metrics.count("dispatch_lingering_total")
            self._lingering.add(
                grant, call.deadline_ms, lambda: self._scheduler.release(grant, outcome)
            )
        else:
            self._scheduler.release(grant, outcome)

    def _check_start(self, call: _Call, grant: SlotGrant) -> Failure | None:
        """Return why the request must not be sent, or mark it as sent and return `None`."""
        reason = self._rejection_reason(call, grant)
        if reason is not None:
            return Failure(reason, step="dispatch.guard", peer=grant.vm.name)
        call.ran = Ran.UNKNOWN
        return None

    def _rejection_reason(self, call: _Call, grant: SlotGrant) -> Reason | None:
        return self._call_rejection_reason(call) or self._vm_rejection_reason(grant)

    def _call_rejection_reason(self, call: _Call) -> Reason | None:
        if call.is_cancelled:
            return Reason.CANCELLED
        if self._clock.now_ms() >= call.deadline_ms:
            return Reason.DEADLINE
        if not self._view.is_fresh():
            return Reason.STALE_CONFIGURATION
        if not self._is_key_granted(call.request):
            return Reason.WRONG_KEY
        return None

    def _vm_rejection_reason(self, grant: SlotGrant) -> Reason | None:
        vm = self._view.current.get(Vm, grant.vm.name)
        if vm is None or vm.address != grant.vm.address:
            return Reason.NO_CAPACITY
        is_expired = self._clock.now_ms() - grant.granted_ms > MAX_GRANT_AGE_MS
        if is_expired or not self._view.current.accepts_work(vm):
            return Reason.NO_CAPACITY
        return None

    def _is_key_granted(self, request: Request) -> bool:
        """Return whether the API key is still granted.

        It may have been withdrawn since the gateway's check, for example while the gateway process
        was paused.
        """
        if not request.key_hash or not request.organisation:
            return True
        organisation = self._view.current.get(Organisation, request.organisation)
        return organisation is not None and request.key_hash in organisation.key_hashes

    def _may_retry(self, call: _Call, failure: Failure, attempts: int) -> bool:
        budget = self._budgets.setdefault(call.request.queue, RetryBudget())
        if attempts == 1:
            budget.earn()
        if failure.reason in _NOT_RETRIED or self._clock.now_ms() >= call.deadline_ms:
            return False
        if attempts >= MAX_ATTEMPTS or not (failure.ran is Ran.NO or call.request.idempotent):
            return False
        if not budget.try_spend():
            self._metrics.count("dispatch_retries_suppressed_total")
            return False
        self._metrics.count("dispatch_retries_total", reason=failure.reason.value)
        return True


def _slot_request(call: _Call) -> SlotRequest:
    request = call.request
    return SlotRequest(
        request_id=request.request_id,
        queue=request.queue,
        organisation=request.organisation,
        urgency=request.urgency,
        deadline_ms=call.deadline_ms,
        excluded_vms=frozenset(call.excluded_vms),
    )


def _outcome_of(result: Result[Answer, Failure]) -> SlotOutcome:
    if result.is_ok():
        return SlotOutcome.FINISHED
    if result.error.ran is Ran.UNKNOWN:
        return SlotOutcome.FAILED
    outcomes = {
        Reason.BACKEND_REFUSED: SlotOutcome.REFUSED,
        Reason.BACKEND_UNREACHABLE: SlotOutcome.UNREACHABLE,
    }
    return outcomes.get(result.error.reason, SlotOutcome.UNUSED)


def _should_wait_for_store(call: _Call, failure: Failure) -> bool:
    is_unclaimed = call.claim is not None and not call.claim.owns_row
    return is_unclaimed and failure.reason is Reason.STORE_UNAVAILABLE and failure.ran is Ran.NO


def _with_combined_outcome(failure: Failure, call: _Call) -> Failure:
    """Return the failure, with `Ran.UNKNOWN` if any attempt may have run."""
    return evolve(failure, ran=Ran.UNKNOWN) if call.ran is Ran.UNKNOWN else failure


def _refusal(reason: Reason, detail: str) -> Result[Answer, Failure]:
    return Error(Failure(reason, step="dispatch.submit", detail=detail))
