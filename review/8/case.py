"""Case 8: jobs whose starts were all refused are missing from the number of pending jobs."""

import asyncio
import json
import time
from pathlib import Path

from aiohttp import web
from small_site import CaseNotRunError, SmallSite, run_case

from fireflydeck.platform.standin.documents import put_configuration

_ENTRIES = ("entry-1", "entry-2", "entry-3")
_SERVERS = 10
_LABEL = "b"
_LABELLED = "i-01"
_TASK_MS = 640
_JOBS = 10
_VISIBLE_S = 3.0
"""Bound `visible_ms`."""
_PENDING_AGE_S = 2.0
"""How old the number of pending jobs may be."""
_UNHEALTHY_S = 6.5
_SETTLE_S = 4.0
"""Longer than `contact_ms` after the start of the processes."""
_CHECK_INTERVAL_S = 0.2
_END_S = 3.0
_LIMIT_S = 60.0
_OK = 200
_SUBMISSION = json.dumps(
    {
        "spec": "text",
        "steps": [{"count": 1, "cpu": 500, "estimated_ms": _TASK_MS, "requirements": _LABEL}],
    }
).encode()


async def _run(site: SmallSite, is_troubled: bool) -> list[str]:
    put_configuration(site.store.rows, version=1)
    addresses: dict[str, str] = {}
    for number in range(1, _SERVERS + 1):
        server_id = f"i-{number:02}"
        addresses[server_id] = await site.add_server(server_id, duration_ms=_TASK_MS)
    labels = {_LABELLED: [_LABEL, "r1-1"]}
    registrations = asyncio.create_task(site.write_registrations(addresses, labels))
    try:
        vm_address = await site.serve(_no_vms)
        await site.start_entries(_ENTRIES, dict.fromkeys(_ENTRIES, vm_address))
        await asyncio.sleep(_SETTLE_S)
        return await _submit_and_count(site, is_troubled)
    finally:
        registrations.cancel()


async def _submit_and_count(site: SmallSite, is_troubled: bool) -> list[str]:
    app = site.server_apps[_LABELLED]
    app.is_unhealthy = is_troubled
    if is_troubled:
        site.record.add(f"{_LABELLED} is unhealthy and refuses all starts")
    unhealthy_s = time.monotonic()
    accepted_s = {}
    for number in range(1, _JOBS + 1):
        job = f"{number:016x}"
        status, _ = await site.call(_ENTRIES[number % len(_ENTRIES)], "POST", job, _SUBMISSION)
        site.record.add(f"job {job} sent: {status or 'no answer'}")
        if status == _OK:
            accepted_s[job] = time.monotonic()
    if len(accepted_s) < _JOBS:
        raise CaseNotRunError("not all jobs were accepted")
    broken: list[str] = []
    while time.monotonic() - unhealthy_s < _UNHEALTHY_S:
        broken += await _check_counts(site, accepted_s)
        await asyncio.sleep(_CHECK_INTERVAL_S)
    app.is_unhealthy = False
    if is_troubled:
        site.record.add(f"{_LABELLED} is healthy")
    await asyncio.sleep(_END_S)
    for run in site.servers[_LABELLED].records:
        site.record.add(f"{run.task} run {run.run} began on {run.server}")
    return sorted(set(broken))


async def _check_counts(site: SmallSite, accepted_s: dict[str, float]) -> list[str]:
    """Ask each process for the number of pending jobs, and return the counts that are too low."""
    broken = []
    for entry in _ENTRIES:
        status, content = await site.call(entry, "GET", "")
        if status != _OK:
            continue
        begun = {run.job_id for server in site.servers.values() for run in server.records}
        before_s = time.monotonic() - _VISIBLE_S - _PENDING_AGE_S
        waiting = [job for job, at_s in accepted_s.items() if at_s < before_s and job not in begun]
        pending = json.loads(content)["pending"]
        if pending < len(waiting) / 2:
            line = f"MIXED: {entry} gives {pending} as pending; {len(waiting)} have not begun"
            site.record.add(line)
            broken.append(line)
    return broken


async def _no_vms(_: web.BaseRequest) -> web.StreamResponse:
    return web.json_response({"machines": [], "next_page_token": None})


if __name__ == "__main__":
    run_case(Path(__file__).parent, _run, _LIMIT_S)
