"""Callers that submit jobs through all entry processes and follow them to their ends."""

from random import Random

import httpx
from anyio.abc import TaskGroup
from attrs import define, field

from fireflydeck.core import Clock
from fireflydeck.platform.job_documents import KEY_HEADER
from fireflydeck.platform.standin.documents import (
    CALLER_HEADERS,
    JOB_PATH_PREFIX,
    submission_document,
)
from fireflydeck.soak.observations import JobRecord
from fireflydeck.soak.operator import LASTING_KEY, WITHDRAWN_KEY

__all__ = ["Callers"]

_CALLERS = 3
_PAUSE_MS = (50, 400)
_POLL_MS = 250
_TIMEOUT_S = 3.0
_MAX_TRIES = 5
_MAX_TASKS = 3
_REFUSED = (429, 503)
_UNCERTAIN = (500, 502, 504)
_UNKNOWN_JOB = 410
_WRONG_KEY = 401
_ENDED = ("completed", "cancelled", "failed")
_CANCELLED_SHARE = 0.15
_WITHDRAWN_KEY_SHARE = 0.3
_CANCEL_AFTER_MS = 800
_CANCEL_TRIES = 20


@define(eq=False)
class Callers:
    """Submits jobs until it is stopped; connections stay open until a process goes.

    Parameters
    ----------
    addresses
        Where the entry processes serve callers.

    Attributes
    ----------
    jobs
        What became of each job.
    """

    addresses: list[str]
    random: Random
    clock: Clock
    jobs: list[JobRecord] = field(factory=list)
    _submits: bool = True
    _clients: list[httpx.AsyncClient] = field(factory=list)

    def start(self, tasks: TaskGroup) -> None:
        """Begin to submit and to ask."""
        for address in self.addresses:
            url = f"http://{address}"
            client = httpx.AsyncClient(base_url=url, headers=CALLER_HEADERS, timeout=_TIMEOUT_S)
            self._clients.append(client)
        for _ in range(_CALLERS):
            tasks.start_soon(self._submit_jobs, tasks)

    def stop_submitting(self) -> None:
        """Submit no more jobs; those that were accepted are still asked for."""
        self._submits = False

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            await client.aclose()

    def open_jobs(self) -> list[JobRecord]:
        """Return the accepted jobs that were not shown as ended yet."""
        return [job for job in self.jobs if job.accepted_ms is not None and not job.ended_ms]

    async def _submit_jobs(self, tasks: TaskGroup) -> None:
        while self._submits:
            job = self._new_job()
            self.jobs.append(job)
            await self._submit(job)
            if job.accepted_ms is not None:
                tasks.start_soon(self._follow, job)
                if self.random.random() < _CANCELLED_SHARE:
                    tasks.start_soon(self._cancel, job)
            await self.clock.sleep_ms(self.random.randint(*_PAUSE_MS))

    def _new_job(self) -> JobRecord:
        job_id = f"{self.random.getrandbits(64):016x}"
        tasks = self.random.randint(1, _MAX_TASKS)
        is_lasting = self.random.random() >= _WITHDRAWN_KEY_SHARE
        key = LASTING_KEY if is_lasting else WITHDRAWN_KEY
        return JobRecord(job_id, f"text of {job_id}", tasks, key=key)

    async def _submit(self, job: JobRecord) -> None:
        body = submission_document(job.payload, tasks=job.tasks, estimated_ms=400)
        path = JOB_PATH_PREFIX + job.job_id
        for _ in range(self.random.randint(1, _MAX_TRIES)):
            sent_ms = self.clock.now_ms()
            try:
                answer = await self._client().post(
                    path, content=body, headers={KEY_HEADER: job.key}
                )
            except httpx.ConnectError:
                continue
            except httpx.HTTPError:
                job.uncertain_tries += 1
                continue
            self._note_submission(job, answer.status_code)
            if job.accepted_ms is not None:
                job.accepted_try_ms = sent_ms
                return

    def _note_submission(self, job: JobRecord, status: int) -> None:
        if status == httpx.codes.OK:
            job.accepted_ms = self.clock.now_ms()
        elif status in _REFUSED:
            job.refused_tries += 1
        elif status in _UNCERTAIN:
            job.uncertain_tries += 1
        elif status == _WRONG_KEY and job.key == WITHDRAWN_KEY:
            job.refused_tries += 1
        else:
            job.rejections.append(status)

    async def _follow(self, job: JobRecord) -> None:
        while job.ended_ms is None:
            await self.clock.sleep_ms(_POLL_MS)
            try:
                answer = await self._client().get(JOB_PATH_PREFIX + job.job_id)
            except httpx.HTTPError:
                continue
            self._note_state(job, answer)

    async def _cancel(self, job: JobRecord) -> None:
        """Ask for a cancellation until it is accepted."""
        await self.clock.sleep_ms(self.random.randint(0, _CANCEL_AFTER_MS))
        job.is_cancelled = True
        for _ in range(_CANCEL_TRIES):
            try:
                answer = await self._client().delete(JOB_PATH_PREFIX + job.job_id)
            except httpx.HTTPError:
                continue
            if answer.status_code == httpx.codes.OK:
                return
            await self.clock.sleep_ms(_POLL_MS)

    def _note_state(self, job: JobRecord, answer: httpx.Response) -> None:
        if answer.status_code == httpx.codes.OK:
            job.last_state = answer.json()["state"]
            if job.last_state in _ENDED:
                job.ended_ms = self.clock.now_ms()
        elif answer.status_code == _UNKNOWN_JOB:
            job.unknown_ms.append(self.clock.now_ms())
        elif answer.status_code not in (*_REFUSED, *_UNCERTAIN):
            job.rejections.append(answer.status_code)

    def _client(self) -> httpx.AsyncClient:
        return self.random.choice(self._clients)
