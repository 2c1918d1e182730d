"""An entry process and a backend server that starts again under its id and is then cut off."""

import itertools
from collections import defaultdict

import anyio
import pytest

from fireflydeck.core import SystemClock
from fireflydeck.kernel import Registry
from fireflydeck.platform.standin.documents import put_registration
from fireflydeck.standins.fault_proxy import FaultProxy, ProxyFault, ProxyMode
from fireflydeck.testing.job_builders import accept_job, build_spec, build_step
from fireflydeck.testing.platform_fleet import running_platform_fleet
from fireflydeck.testing.processes import wait_until

pytestmark = pytest.mark.processes

_LONG_MS = 60_000
_CLOCK_OFFSET_MS = 5_000_000
_NEW_CLOCK_MS = 1000
_SILENT_S = 0.4
_TIMEOUT_MS = 20_000
_TASKS = 6
_LABEL = "b"
"""Label that the tasks require; the second server gets it when the first one is cut off."""


def _prepare(fleet):
    for server in fleet.servers.values():
        server.duration_ms = _LONG_MS
        server.clock_offset_ms = _CLOCK_OFFSET_MS


def _overlaps(fleet):
    """Return the pairs of runs of one task that were in progress at the same time."""
    runs = defaultdict(list)
    for server in fleet.servers.values():
        server.running()
        for record in server.records:
            runs[record.task].append(record)
    pairs = (pair for records in runs.values() for pair in itertools.combinations(records, 2))
    return [
        (one, other)
        for one, other in pairs
        if one.started_ms < (other.ended_ms or one.started_ms + 1)
        and other.started_ms < (one.ended_ms or other.started_ms + 1)
    ]


# Guards against tasks that run twice because a new life of a server has taken heartbeats for the
# former one: their deadlines, by the former clock, extend its leases further than the holder knows.
def test_server_is_cut_off_after_it_carried_out_orders_for_its_former_life(tmp_path):
    async def main():
        clock, links = SystemClock(), {}
        async with anyio.create_task_group() as proxies:

            async def link(name, address):
                proxy = FaultProxy("127.0.0.1:0", address, clock)
                await proxy.start(Registry(), proxies)
                links[name] = proxy
                return proxy.address

            async with running_platform_fleet(
                tmp_path, entries=1, servers=2, link=link, prepare=_prepare
            ) as fleet:
                first, other = fleet.servers["i-1"], fleet.servers["i-2"]
                rows, address = fleet.store.rows, links["server-1"].address
                put_registration(rows, "i-1", address=address, labels=[_LABEL, "r1-3"])
                step = build_step(count=_TASKS, required_label=_LABEL)
                accept_job(rows, build_spec(step))
                await wait_until(lambda: _runs(first, _TASKS), what="start of all tasks")
                fleet.server_apps["i-1"].are_orders_late = True
                await anyio.sleep(_SILENT_S)
                fleet.server_apps["i-1"].are_orders_late = False
                first.crash(clock_ms=_NEW_CLOCK_MS)
                fleet.server_apps["i-1"].deliver_late()
                await wait_until(lambda: _runs(first, _TASKS), what="start in the new life")
                await links["server-1"].set_fault(ProxyFault(mode=ProxyMode.FREEZE))
                address = links["server-2"].address
                put_registration(rows, "i-2", address=address, labels=[_LABEL, "r1-3"])
                await wait_until(
                    lambda: _runs(other, _TASKS), what="start elsewhere", timeout_ms=_TIMEOUT_MS
                )
                assert _overlaps(fleet) == []
            for proxy in links.values():
                await proxy.stop()
            proxies.cancel_scope.cancel()

    anyio.run(main)


async def _runs(server, count):
    return len(server.running()) == count
