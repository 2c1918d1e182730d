"""Steady load of callers on a fleet, with a record of every reply."""

import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import anyio
import httpx
from attrs import define, field, frozen

from fireflydeck.testing.fleet import EntryVm, Fleet

__all__ = ["Load", "Reply", "now_ms", "steady_load"]

_PAUSE_AFTER_FAILURE_S = 0.05


def now_ms() -> int:
    """Return the machine's monotonic time in ms, the time base of the backend servers' logs."""
    return time.monotonic_ns() // 1_000_000


@frozen(kw_only=True)
class Reply:
    """Reply to one request, or its failure.

    Parameters
    ----------
    status
        HTTP status; 0 if the connection ended without an answer.
    ran
        Whether the work ran, according to a refusal; empty without a refusal.
    """

    vm: str
    sent_ms: int
    done_ms: int
    status: int
    request_id: str = ""
    ran: str = ""
    reason: str = ""
    step: str = ""
    idempotent: bool = False


@define(kw_only=True)
class Load:
    """Parallel callers, each of which sends its next request after the reply to the last one."""

    fleet: Fleet
    path: str
    key: str = ""
    vms: Sequence[EntryVm] = ()
    parallel: int = 8
    run_ms: int = 20
    idempotent: bool = False
    deadline_ms: int = 30_000
    replies: list[Reply] = field(factory=list)
    stopped: bool = False

    async def call(self, vm: EntryVm) -> Reply:
        """Send one request and record its reply."""
        sent_ms = now_ms()
        try:
            answer = await self.fleet.call(
                self.path,
                key=self.key,
                vm=vm,
                content=b"body",
                x_run_ms=str(self.run_ms),
                x_idempotent="true" if self.idempotent else "false",
                x_deadline_ms=str(self.deadline_ms),
            )
            reply = self._reply(vm, sent_ms, answer)
        except httpx.HTTPError as error:
            reply = Reply(
                vm=vm.name,
                sent_ms=sent_ms,
                done_ms=now_ms(),
                status=0,
                reason=type(error).__name__,
                idempotent=self.idempotent,
            )
        self.replies.append(reply)
        return reply

    def since(self, from_ms: int) -> list[Reply]:
        """Return the replies to the requests sent at `from_ms` or later."""
        return [reply for reply in self.replies if reply.sent_ms >= from_ms]

    async def _keep_calling(self, vm: EntryVm) -> None:
        while not self.stopped:
            reply = await self.call(vm)
            if reply.status != 200:
                await anyio.sleep(_PAUSE_AFTER_FAILURE_S)

    def _reply(self, vm: EntryVm, sent_ms: int, answer: httpx.Response) -> Reply:
        problem = answer.json() if "problem" in answer.headers.get("content-type", "") else {}
        return Reply(
            vm=vm.name,
            sent_ms=sent_ms,
            done_ms=now_ms(),
            status=answer.status_code,
            request_id=answer.headers.get("x-request-id", ""),
            ran=problem.get("ran", ""),
            reason=problem.get("reason", ""),
            step=problem.get("step", ""),
            idempotent=self.idempotent,
        )


@asynccontextmanager
async def steady_load(fleet: Fleet, path: str, **parameters: object) -> AsyncIterator[Load]:
    """Run load during the block, which ends after all open requests have their replies."""
    load = Load(fleet=fleet, path=path, **parameters)
    vms = load.vms or tuple(fleet.entry_vms)
    async with anyio.create_task_group() as tasks:
        for number in range(load.parallel):
            tasks.start_soon(load._keep_calling, vms[number % len(vms)])
        try:
            yield load
        finally:
            load.stopped = True
