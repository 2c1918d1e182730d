"""Case 6: a holder whose store was slow keeps a lease that another process already has."""

import asyncio
import itertools
import json
import time
from collections import defaultdict
from pathlib import Path

from aiohttp import web
from small_site import CaseNotRunError, LateOrders, SmallSite, run_case

from fireflydeck.platform.standin.documents import put_configuration
from fireflydeck.standins.run_record import RunRecord

_ENTRIES = ("entry-1", "entry-2", "entry-3")
_SERVERS = 40
_TASK_MS = 640
_TASKS = 6
_JOBS_PER_S = 60
_SLOWNESS = 60.0
_SLOW_S = 2.0
_CALM_S = 1.0
_CUT_S = 3.0
_PAUSE_S = 1.2
_POLL_S = 0.01
_LATE_SHARE = 0.055
_LATE_S = 5.0
_KEYS = 3
_KEY_GAP_S = 0.1
_SUBMISSION = json.dumps(
    {
        "spec": "text",
        "steps": [
            {"count": _TASKS, "cpu": 500, "estimated_ms": _TASK_MS, "anti_affinity": 1},
        ],
    }
).encode()
_MAX_RUN_S = 90.0
_LIMIT_S = 110.0
_OK = 200


class _Callers:
    """Callers that submit jobs at a steady rate, by turns through each process."""

    def __init__(self, site: SmallSite) -> None:
        self._site = site
        self._numbers = itertools.count(1)
        self._calls: set[asyncio.Task[None]] = set()
        self.accepted = 0

    async def run(self) -> None:
        """Submit jobs until cancelled."""
        entries = itertools.cycle(_ENTRIES)
        while True:
            call = asyncio.create_task(self._submit(next(entries), f"{next(self._numbers):016x}"))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            await asyncio.sleep(1.0 / _JOBS_PER_S)

    async def _submit(self, entry: str, job: str) -> None:
        status, _ = await self._site.call(entry, "POST", job, _SUBMISSION)
        self.accepted += status == _OK
        self._site.record.add(f"job {job} sent to {entry}: {status or 'no answer'}")


async def _run(site: SmallSite, is_troubled: bool) -> list[str]:
    put_configuration(site.store.rows, version=1, cpu_limit=0)
    late_orders = LateOrders(_LATE_SHARE)
    addresses: dict[str, str] = {}
    for number in range(1, _SERVERS + 1):
        server_id = f"i-{number:02}"
        addresses[server_id] = await site.add_server(
            server_id, duration_ms=_TASK_MS, late_orders=late_orders
        )
    registrations = asyncio.create_task(site.write_registrations(addresses))
    vm_address = await site.serve(_no_vms)
    await site.start_entries(_ENTRIES, dict.fromkeys(_ENTRIES, vm_address))
    callers = _Callers(site)
    submissions = asyncio.create_task(callers.run())
    versions = itertools.count(2)
    started_s = time.monotonic()
    broken: list[str] = []
    try:
        while not broken and time.monotonic() - started_s < _MAX_RUN_S:
            await _round(site, is_troubled, versions, late_orders)
            broken = _runs_at_the_same_time(site)
    finally:
        submissions.cancel()
        registrations.cancel()
    if callers.accepted == 0:
        raise CaseNotRunError("no job was accepted")
    _record_runs(site, broken)
    return broken


async def _round(
    site: SmallSite, is_troubled: bool, versions: "itertools.count[int]", late_orders: LateOrders
) -> None:
    """Slow the store down for a while; later, keys are taken away and the holder is cut off."""
    if is_troubled:
        site.record.add(f"the store takes {_SLOWNESS:.0f} times as long")
        site.slowness = _SLOWNESS
    await asyncio.sleep(_SLOW_S)
    site.slowness = 1.0
    site.record.add("the store is as fast as usual")
    await asyncio.sleep(_CALM_S - _KEYS * _KEY_GAP_S)
    for remaining in reversed(range(_KEYS)):
        keys = ("key-1", *(f"unused-{number}" for number in range(remaining)))
        version = next(versions)
        put_configuration(site.store.rows, version=version, cpu_limit=0, keys=keys)
        site.record.add(f"configuration {version} takes a key away")
        await asyncio.sleep(_KEY_GAP_S)
    if not is_troubled:
        await asyncio.sleep(_CUT_S + _PAUSE_S)
        return
    holder = site.holder()
    site.record.add(f"{holder}, which holds the lease, is partitioned from the store")
    cut_s = time.monotonic()
    site.store_links[holder].cut()
    late_orders.begin(_LATE_S)
    while site.holder() == holder and time.monotonic() < cut_s + _CUT_S:
        await asyncio.sleep(_POLL_S)
    site.record.add(
        f"{site.holder()} holds the lease {time.monotonic() - cut_s:.2f} s after the cut"
    )
    await asyncio.sleep(max(0.0, cut_s + _CUT_S - time.monotonic()))
    site.store_links[holder].heal()
    site.record.add(f"{holder} reaches the store again")
    await asyncio.sleep(_PAUSE_S)


def _runs_at_the_same_time(site: SmallSite) -> list[str]:
    """Return the pairs of runs of one task that overlapped."""
    runs = defaultdict(list)
    for server in site.servers.values():
        server.running()
        for run in server.records:
            runs[run.task].append(run)
    pairs = (pair for records in runs.values() for pair in itertools.combinations(records, 2))
    return [
        f"TWICE: {first.task}: {_describe(first)}, {_describe(second)}"
        for first, second in pairs
        if second.started_ms < (first.ended_ms or second.started_ms + 1)
        and first.started_ms < (second.ended_ms or first.started_ms + 1)
    ]


def _describe(run: RunRecord) -> str:
    return f"run {run.run} on {run.server} at {run.started_ms}..{run.ended_ms} ms"


def _record_runs(site: SmallSite, broken: list[str]) -> None:
    """Record the runs of the jobs that broke the rule, and how many others there were."""
    records = [run for server in site.servers.values() for run in server.records]
    jobs = {line.split()[1].partition(".")[0] for line in broken}
    for run in records:
        if run.job_id in jobs:
            site.record.add(f"{run.task}: {_describe(run)}, {run.end}")
    site.record.add(f"runs in all: {len(records)}")


async def _no_vms(_: web.BaseRequest) -> web.StreamResponse:
    return web.json_response({"machines": [], "next_page_token": None})


if __name__ == "__main__":
    run_case(Path(__file__).parent, _run, _LIMIT_S)
