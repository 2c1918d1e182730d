"""Callers that submit jobs through all entry processes and poll them until they end."""

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
from fireflydeck.soak.operator import PERMANENT_KEY, WITHDRAWN_KEY

__all__ = ["Callers"]

_CALLER_COUNT = 3
_PAUSE_RANGE_MS = (50, 400)
_POLL_INTERVAL_MS = 250
_TIMEOUT_S = 3.0
_MAX_TRIES = 5
_MAX_TASKS = 3
_ESTIMATED_MS = 400
_LOW_ESTIMATED_MS = 120
"""Estimate below the shortest duration of a task."""
_REFUSED_STATUSES = (429, 503)
_UNCERTAIN_STATUSES = (500, 502, 504)
_UNKNOWN_JOB_STATUS = 410
_WRONG_KEY_STATUS = 401
_FINAL_STATES = ("completed", "cancelled", "failed")
_CANCELLED_SHARE = 0.15
_WITHDRAWN_KEY_SHARE = 0.3
_MAX_CANCEL_DELAY_MS = 800
_MAX_CANCEL_TRIES = 20


@define(eq=False)
class Callers:
    """Concurrent callers that submit jobs until stopped, over persistent connections.

    Parameters
    ----------
    addresses
        Caller addresses of the entry processes.
    is_speculative
        Whether the tasks may have copies. Their estimates are low then, so that copies are made.

    Attributes
    ----------
    jobs
        Observations of all submitted jobs.
    """

    addresses: list[str]
    random: Random
    clock: Clock
    is_speculative: bool = False
    jobs: list[JobRecord] = field(factory=list)
    _is_submitting: bool = True
    _clients: list[httpx.AsyncClient] = field(factory=list)

    def start(self, tasks: TaskGroup) -> None:
        """Start submitting and polling jobs."""
        for address in self.addresses:
            url = f"http://{address}"
            client = httpx.AsyncClient(base_url=url, headers=CALLER_HEADERS, timeout=_TIMEOUT_S)
            self._clients.append(client)
        for _ in range(_CALLER_COUNT):
            tasks.start_soon(self._submit_jobs, tasks)

    def stop_submitting(self) -> None:
        """Stop submitting jobs; accepted jobs are still polled."""
        self._is_submitting = False

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            await client.aclose()

    def open_jobs(self) -> list[JobRecord]:
        """Return the accepted jobs that were not yet reported as ended."""
        return [job for job in self.jobs if job.accepted_ms is not None and not job.ended_ms]

    async def _submit_jobs(self, tasks: TaskGroup) -> None:
        while self._is_submitting:
            job = self._new_job()
            self.jobs.append(job)
            await self._submit(job)
            if job.accepted_ms is not None:
                tasks.start_soon(self._poll_until_ended, job)
                if self.random.random() < _CANCELLED_SHARE:
                    tasks.start_soon(self._cancel, job)
            await self.clock.sleep_ms(self.random.randint(*_PAUSE_RANGE_MS))

    def _new_job(self) -> JobRecord:
        job_id = f"{self.random.getrandbits(64):016x}"
        tasks = self.random.randint(1, _MAX_TASKS)
        is_permanent = self.random.random() >= _WITHDRAWN_KEY_SHARE
        key = PERMANENT_KEY if is_permanent else WITHDRAWN_KEY
        return JobRecord(
            job_id, f"text of {job_id}", tasks, key=key, is_speculative=self.is_speculative
        )

    async def _submit(self, job: JobRecord) -> None:
        body = submission_document(
            job.payload,
            tasks=job.tasks,
            estimated_ms=_LOW_ESTIMATED_MS if job.is_speculative else _ESTIMATED_MS,
            is_speculative=job.is_speculative,
        )
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
            self._record_submission(job, answer.status_code)
            if job.accepted_ms is not None:
                job.accepted_try_ms = sent_ms
                return

    def _record_submission(self, job: JobRecord, status: int) -> None:
        if status == httpx.codes.OK:
            job.accepted_ms = self.clock.now_ms()
        elif status in _REFUSED_STATUSES:
            job.refused_tries += 1
        elif status in _UNCERTAIN_STATUSES:
            job.uncertain_tries += 1
        elif status == _WRONG_KEY_STATUS and job.key == WITHDRAWN_KEY:
            job.refused_tries += 1
        else:
            job.rejections.append(status)

    async def _poll_until_ended(self, job: JobRecord) -> None:
        while job.ended_ms is None:
            await self.clock.sleep_ms(_POLL_INTERVAL_MS)
            try:
                answer = await self._client().get(JOB_PATH_PREFIX + job.job_id)
            except httpx.HTTPError:
                continue
            self._record_state(job, answer)

    async def _cancel(self, job: JobRecord) -> None:
        """Request the cancellation of a job until it is accepted."""
        await self.clock.sleep_ms(self.random.randint(0, _MAX_CANCEL_DELAY_MS))
        job.is_cancelled = True
        for _ in range(_MAX_CANCEL_TRIES):
            try:
                answer = await self._client().delete(JOB_PATH_PREFIX + job.job_id)
            except httpx.HTTPError:
                continue
            if answer.status_code == httpx.codes.OK:
                return
            await self.clock.sleep_ms(_POLL_INTERVAL_MS)

    def _record_state(self, job: JobRecord, answer: httpx.Response) -> None:
        if answer.status_code == httpx.codes.OK:
            job.last_state = answer.json()["state"]
            if job.last_state in _FINAL_STATES:
                job.ended_ms = self.clock.now_ms()
        elif answer.status_code == _UNKNOWN_JOB_STATUS:
            job.unknown_ms.append(self.clock.now_ms())
        elif answer.status_code not in (*_REFUSED_STATUSES, *_UNCERTAIN_STATUSES):
            job.rejections.append(answer.status_code)

    def _client(self) -> httpx.AsyncClient:
        return self.random.choice(self._clients)
