"""Entry processes that the store refuses for a while, whose peers tell of newer configurations."""

import anyio
import httpx
import pytest

from fireflydeck.core import SystemClock
from fireflydeck.kernel import Registry
from fireflydeck.ownership import LEASE_ROW, decode_lease
from fireflydeck.platform.standin.documents import CALLER_HEADERS, put_configuration
from fireflydeck.standins.fault_proxy import FaultProxy, ProxyFault, ProxyMode
from fireflydeck.testing.platform_fleet import running_platform_fleet
from fireflydeck.testing.processes import wait_until

pytestmark = pytest.mark.processes

_ROUNDS = 2
_REQUESTS = 2
_FIRST_VERSION = 4


class _Series:
    """Series of configurations in which a queue comes and goes with each version."""

    def __init__(self, fleet, behind, proxy):
        self._fleet = fleet
        self._behind = behind
        self._proxy = proxy

    def configure(self, number):
        """Store the next configuration; it has the queue ``q{number}`` and a key of its own."""
        put_configuration(
            self._fleet.store.rows,
            version=_FIRST_VERSION + number,
            keys=("key-1", f"key-of-{number}"),
            further_queues=(f"q{number}",),
        )

    async def count(self, number, key):
        """Return the status of the pending count of a queue at the process that is behind."""
        async with httpx.AsyncClient() as client:
            url = f"http://{self._behind.address}/q{number}/"
            headers = {**CALLER_HEADERS, "Api-Key": key}
            return (await client.get(url, headers=headers, timeout=4)).status_code

    async def wait_for(self, number, key, status):
        """Wait until a queue's pending count is answered with a status."""

        async def answered():
            return await self.count(number, key) == status

        await wait_until(answered, what=f"status {status} of q{number}")

    async def refuse_store(self, mode):
        """Set how the store is reached by the process that is behind."""
        await self._proxy.set_fault(ProxyFault(mode=mode))


# Guards against answers that go back to an older configuration than relayed ones have shown.
def test_process_without_the_store_does_not_go_back_to_its_older_configuration(tmp_path):
    async def scenario(fleet, proxies):
        holder = await _wait_for_holder(fleet.store.rows)
        peer = next(entry for entry in fleet.entries if entry.process.name == holder)
        behind = next(entry for entry in fleet.entries if entry.process.name != holder)
        series = _Series(fleet, behind, proxies[behind.process.name.replace("entry", "store")])
        series.configure(0)
        await series.wait_for(0, "key-of-0", 200)
        for number in range(1, _ROUNDS + 1):
            await series.refuse_store(ProxyMode.CUT)
            series.configure(number)
            await series.wait_for(number, f"key-of-{number}", 200)
            peer.process.pause()
            statuses = [
                await series.count(number - 1, f"key-of-{number - 1}") for _ in range(_REQUESTS)
            ]
            peer.process.resume()
            assert statuses == [503] * _REQUESTS
            await series.refuse_store(ProxyMode.PASS)
            await series.wait_for(number - 1, "key-1", 404)
            await series.wait_for(number, f"key-of-{number - 1}", 401)

    _run(tmp_path, scenario)


async def _wait_for_holder(rows):
    """Return the name of the lease holder as soon as there is one."""

    async def is_held():
        row = rows.get(LEASE_ROW)
        return row is not None and bool(decode_lease(row.value).holder)

    await wait_until(is_held, what="lease holder")
    return decode_lease(rows.get(LEASE_ROW).value).holder


def _run(tmp_path, scenario):
    async def main():
        proxies = {}
        async with anyio.create_task_group() as tasks:

            async def link(name, address):
                proxies[name] = FaultProxy("127.0.0.1:0", address, SystemClock())
                await proxies[name].start(Registry(), tasks)
                return proxies[name].address

            async with running_platform_fleet(tmp_path, link=link) as fleet:
                with anyio.fail_after(50):
                    await scenario(fleet, proxies)
            tasks.cancel_scope.cancel()

    anyio.run(main)
