"""Workers that run gangs and save their progress, as the users' pages describe them."""

import asyncio
import time
from typing import Any

import orjson
from aiohttp import web

__all__ = ["GangPool", "GangWorker", "now_ms"]

_MS_PER_S = 1000
_MAX_HOLD_MS = 6000
_GANG_TIMEOUT_MS = 3000
_CHECKPOINT_INTERVAL_MS = 1000
_POLL_S = 0.01
_CHECKPOINT_SUFFIX = "7a21d94b"


def now_ms() -> int:
    """Return the milliseconds of the steady clock."""
    return time.monotonic_ns() // 1_000_000


class _Run:
    """One run of a gang's task on a worker."""

    def __init__(self, worker: "GangWorker", task: str, run: int, checkpoint: str) -> None:
        self.worker = worker
        self.task = task
        self.run = run
        self.carried = checkpoint
        self.began_ms = now_ms()
        self.saved_ms = int(checkpoint[: -len(_CHECKPOINT_SUFFIX)], 16) if checkpoint else 0

    @property
    def saved(self) -> str:
        """Return the newest checkpoint."""
        return f"{self.saved_ms:08x}{_CHECKPOINT_SUFFIX}" if self.saved_ms else ""


class GangPool:
    """Progress of gangs, whose members are on several workers.

    The members of a gang work from the moment at which all of them are present, all with the same
    checkpoint ("all must carry the same value"). They are done together. If one ends, the others
    end `broken`; one that waits for the others for `gang_timeout_ms` ends `alone`.

    Parameters
    ----------
    members
        Number of tasks of each gang.
    work_ms
        Work of a gang, in milliseconds.
    note
        Writes what happens to the record.
    """

    def __init__(self, members: int, work_ms: int, note: Any) -> None:
        self._members = members
        self._work_ms = work_ms
        self.note = note
        self._runs: list[_Run] = []
        self._working_since_ms: dict[tuple[str, int], int] = {}
        self.alone_at_ms: list[int] = []
        """Times at which a run ended `alone`."""
        self.done_at_ms: list[int] = []

    async def run(self) -> None:
        """Advance the gangs until cancelled."""
        while True:
            self.advance()
            await asyncio.sleep(_POLL_S)

    def add(self, run: _Run) -> None:
        """Add a member that has been started."""
        self._runs.append(run)
        self.advance()

    def end(self, run: _Run, how: str) -> None:
        """End a member, and break the others of its gang if they were at work."""
        if run not in self._runs:
            return
        self._runs.remove(run)
        run.worker.record_end(run, how)
        was_working = self._working_since_ms.pop(_gang(run), None) is not None
        if was_working and how != "done":
            for other in [other for other in self._runs if _gang(other) == _gang(run)]:
                self.end(other, "broken")

    def is_working(self) -> bool:
        """Return whether a gang is at work."""
        return bool(self._working_since_ms)

    def runs_of(self, worker: "GangWorker") -> list[_Run]:
        """Return the runs on a worker."""
        return [run for run in self._runs if run.worker is worker]

    def advance(self) -> None:
        """Begin, advance and end gangs up to now."""
        at_ms = now_ms()
        for run in list(self._runs):
            if run.worker.has_lapsed():
                self.end(run, "lapsed")
        for run in list(self._runs):
            if run in self._runs:
                self._advance_gang([other for other in self._runs if _gang(other) == _gang(run)])
        for run in list(self._runs):
            is_waiting = _gang(run) not in self._working_since_ms
            if is_waiting and at_ms - run.began_ms >= _GANG_TIMEOUT_MS:
                self.alone_at_ms.append(at_ms)
                self.end(run, "alone")

    def _advance_gang(self, runs: list[_Run]) -> None:
        at_ms, gang = now_ms(), _gang(runs[0])
        is_complete = len(runs) == self._members and len({run.carried for run in runs}) == 1
        if gang not in self._working_since_ms:
            if is_complete:
                self._working_since_ms[gang] = at_ms - runs[0].saved_ms
            return
        worked_ms = at_ms - self._working_since_ms[gang]
        for run in runs:
            run.saved_ms = worked_ms // _CHECKPOINT_INTERVAL_MS * _CHECKPOINT_INTERVAL_MS
        if worked_ms >= self._work_ms:
            self.done_at_ms.append(at_ms)
            for run in runs:
                self.end(run, "done")


def _gang(run: _Run) -> tuple[str, int]:
    """Return what the members of one run of a gang share: the step's name and the run."""
    return run.task.rpartition(".")[0], run.run


class GangWorker:
    """Worker that carries out orders; while it is cut off, it gets none and runs on."""

    def __init__(self, worker_id: str, pool: GangPool) -> None:
        self.id = worker_id
        self.is_cut_off = False
        self._pool = pool
        self._token = 0
        self._lease_until_ms = 0
        self._last_number = 0
        self._ended: list[list[Any]] = []
        self._barred: dict[str, int] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one order; without an answer while the worker is cut off."""
        body = orjson.loads(await request.read())
        while self.is_cut_off:
            await asyncio.sleep(_POLL_S)
            if not self.is_cut_off and request.transport is not None:
                request.transport.abort()
                return web.Response(status=500)
        if request.headers.get("X-Expected-Instance") != self.id:
            return web.Response(status=421)
        self._pool.advance()
        if body["fencing_token"] < self._token:
            return self._json({"reason": "fence"}, 409)
        self._token = body["fencing_token"]
        if request.path == "/-/hold":
            return await self._hold(body)
        return self._start(body) if request.path == "/-/run-start" else self._stop(body)

    def has_lapsed(self) -> bool:
        """Return whether the lease of everything that runs here has expired."""
        return now_ms() >= self._lease_until_ms

    def record_end(self, run: _Run, how: str) -> None:
        """List an end."""
        self._last_number += 1
        self._barred[run.task] = max(run.run, self._barred.get(run.task, 0))
        self._ended.append([self._last_number, run.task, run.run, how, run.saved])
        self._pool.note("end", worker=self.id, task=run.task, run=run.run, how=how, saved=run.saved)

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        self._ended = [row for row in self._ended if row[0] > body["last_seen"]]
        self._extend(body.get("deadline_ms", 0))
        until_ms = now_ms() + body.get("wait_ms", 0)
        while not self._ended and now_ms() < until_ms and not self.is_cut_off:
            await asyncio.sleep(_POLL_S)
            self._pool.advance()
        running = [[run.task, run.run, run.saved, 100, 0] for run in self._pool.runs_of(self)]
        return self._json({"running": running, "finished": self._ended[:500]}, 200)

    def _start(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        checkpoint = body.get("checkpoint", "")
        self._extend(body["deadline_ms"])
        if body["deadline_ms"] <= now_ms():
            return self._json({"reason": "late"}, 409)
        if any((run.task, run.run) == (task, number) for run in self._pool.runs_of(self)):
            return self._json({}, 200)
        if number <= self._barred.get(task, 0):
            return self._json({"reason": "old"}, 409)
        self._pool.note("start", worker=self.id, task=task, run=number, checkpoint=checkpoint)
        self._pool.add(_Run(self, task, number, checkpoint))
        return self._json({}, 200)

    def _stop(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        self._barred[task] = max(number, self._barred.get(task, 0))
        for run in self._pool.runs_of(self):
            if (run.task, run.run) == (task, number):
                self._pool.end(run, "stopped")
        return self._json({}, 200)

    def _extend(self, deadline_ms: int) -> None:
        latest_ms = now_ms() + _MAX_HOLD_MS
        self._lease_until_ms = max(self._lease_until_ms, min(deadline_ms, latest_ms))

    def _json(self, body: dict[str, Any], status: int) -> web.Response:
        content = orjson.dumps({"clock_ms": now_ms(), "born": 1000, **body})
        return web.Response(status=status, body=content, content_type="application/json")
