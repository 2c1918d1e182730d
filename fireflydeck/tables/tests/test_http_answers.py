"""Failures that the clients return for answers that violate the protocol of the platform."""

import anyio
import pytest
from starlette.responses import Response

from fireflydeck.core import Ran, Reason
from fireflydeck.standins.fault_proxy import ProxyFault, ProxyMode
from fireflydeck.standins.platform import PlatformFaults, PlatformStandIn
from fireflydeck.standins.runner import serve_app, serve_fault_proxy, serve_platform
from fireflydeck.tables import ListedVm, Put, Timeouts, Transaction, open_platform
from fireflydeck.testing import FakeClock, FakeObjectStore, FakeVmList

pytestmark = pytest.mark.anyio

UNAVAILABLE = Reason.STORE_UNAVAILABLE
CALLS = {
    "get": lambda platform: platform.tables.get("t", "a"),
    "scan": lambda platform: platform.tables.scan("t", after="a"),
    "commit": lambda platform: platform.tables.commit(Transaction(puts=(Put("t", "a", 1),))),
    "put": lambda platform: platform.objects.put("a", b"x"),
    "read": lambda platform: platform.objects.get("a"),
    "list": lambda platform: platform.objects.list(""),
    "vms": lambda platform: platform.vm_list.vms(),
}
WRITES = ("commit", "put")

MALFORMED = [
    ("get", 200, b""),
    ("get", 200, b"{"),
    ("get", 200, b"[]"),
    ("get", 200, b'{"value": 1}'),
    ("get", 200, b'{"version": 1}'),
    ("get", 200, b'{"version": "1", "value": 1}'),
    ("get", 200, b'{"version": true, "value": 1}'),
    ("get", 200, b'{"version": 0, "value": 1}'),
    ("get", 200, b'{"version": 1, "value": "\xff"}'),
    ("scan", 200, b"{}"),
    ("scan", 200, b'{"rows": 1}'),
    ("scan", 200, b'{"rows": [1]}'),
    ("scan", 200, b'{"rows": [{"key": 1, "version": 1, "value": 1}]}'),
    ("scan", 200, b'{"rows": [{"key": "a", "version": 1, "value": 1}]}'),
    (
        "scan",
        200,
        b'{"rows": [{"key": "c", "version": 1, "value": 1}, {"key": "b", "version": 1, '
        b'"value": 1}]}',
    ),
    ("commit", 200, b"ok"),
    ("commit", 200, b"[]"),
    ("commit", 409, b"{}"),
    ("commit", 409, b'{"failed": []}'),
    ("commit", 409, b'{"failed": [{"table": "t"}]}'),
    ("list", 200, b'{"keys": "abc"}'),
    ("list", 200, b'{"keys": [1]}'),
    ("vms", 200, b'{"vms": [{"leaving": true}]}'),
    ("vms", 200, b'{"vms": [{"name": "vm-1", "leaving": 1}]}'),
]
OTHER_STATUSES = [(call, status, b"{}") for call in CALLS for status in (204, 302, 400, 403, 500)]


@pytest.mark.parametrize(("call", "status", "body"), MALFORMED + OTHER_STATUSES)
async def test_malformed_answer(call, status, body):
    async with serve_app(Response(body, status)) as address:
        platform = open_platform(f"http://{address}")
        failure = (await CALLS[call](platform)).error
        await platform.aclose()
    assert failure.reason is UNAVAILABLE
    assert failure.ran is (Ran.UNKNOWN if call in WRITES else Ran.NO)
    assert failure.peer == f"http://{address}"
    assert failure.detail


@pytest.mark.parametrize(
    ("header", "expected_ms"),
    [({"retry-after": "3"}, 3000), ({"retry-after": "soon"}, 1000), ({}, 1000)],
)
@pytest.mark.parametrize("call", CALLS)
async def test_rate_limit_failure_has_the_retry_delay(call, header, expected_ms):
    async with serve_app(Response(status_code=429, headers=header)) as address:
        platform = open_platform(f"http://{address}")
        failure = (await CALLS[call](platform)).error
        await platform.aclose()
    assert (failure.reason, failure.ran) == (Reason.TOO_MANY_REQUESTS, Ran.NO)
    assert failure.retry_after_ms == expected_ms


async def test_slow_answer_times_out_after_the_total_time():
    timed_out = anyio.Event()

    async def send_slowly(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        while not timed_out.is_set():
            await send({"type": "http.response.body", "body": b" ", "more_body": True})
            await anyio.sleep(0.01)

    async with serve_app(send_slowly) as address:
        platform = open_platform(f"http://{address}", Timeouts(read_ms=5_000, total_ms=150))
        failure = (await CALLS["commit"](platform)).error
        await platform.aclose()
        timed_out.set()
    assert (failure.reason, failure.ran) == (UNAVAILABLE, Ran.UNKNOWN)


async def test_call_fails_unsent_when_the_connection_pool_is_full():
    clock = FakeClock()
    stand_in = PlatformStandIn(clock, lag_ms=0)
    stand_in.set_faults(PlatformFaults(delay_ms=1))
    async with serve_platform(stand_in) as address:
        platform = open_platform(f"http://{address}", Timeouts(connect_ms=100, read_ms=1_000))
        outcomes = []

        async def commit():
            outcomes.append((await CALLS["commit"](platform)).error)

        async with anyio.create_task_group() as tasks:
            for _ in range(9):
                tasks.start_soon(commit)
        await platform.aclose()
        await clock.advance_ms(1)
    assert sorted(failure.ran for failure in outcomes) == [Ran.NO] + [Ran.UNKNOWN] * 8


@pytest.mark.parametrize("kind", ["fake", "http"])
async def test_object_store_contract(kind):
    async with serve_platform() as address:
        platform = open_platform(f"http://{address}")
        objects = FakeObjectStore() if kind == "fake" else platform.objects
        contents = {"a/1": b"\x00\xff", "a/é?#%2F": b"", "b": bytes(300_000)}
        for key, content in contents.items():
            assert (await objects.put(key, content)).is_ok()
        assert {key: (await objects.get(key)).ok for key in contents} == contents
        assert (await objects.get("none")).ok is None
        assert (await objects.put("b", b"new")).is_ok()
        assert (await objects.get("b")).ok == b"new"
        assert (await objects.list("a/")).ok == ("a/1", "a/é?#%2F")
        assert (await objects.list("none")).ok == ()
        await platform.aclose()


@pytest.mark.parametrize("kind", ["fake", "http"])
async def test_outage_of_objects_and_vm_list(kind):
    stand_in = PlatformStandIn(FakeClock(), lag_ms=0)
    async with serve_platform(stand_in) as address:
        platform = open_platform(f"http://{address}")
        stand_in.set_faults(PlatformFaults(outage=True))
        objects, vm_list = platform.objects, platform.vm_list
        if kind == "fake":
            objects, vm_list = FakeObjectStore(), FakeVmList()
            objects.outage = vm_list.outage = True
        failures = [
            (await objects.put("a", b"")).error,
            (await objects.get("a")).error,
            (await objects.list("")).error,
            (await vm_list.vms()).error,
        ]
        await platform.aclose()
    steps = ["objects.put", "objects.get", "objects.list", "vms.list"]
    assert [failure.step for failure in failures] == steps
    assert {(failure.reason, failure.ran) for failure in failures} == {(UNAVAILABLE, Ran.NO)}


async def test_object_put_without_answer_is_unknown():
    stand_in = PlatformStandIn(FakeClock(), lag_ms=0)
    async with serve_platform(stand_in) as address, serve_fault_proxy(address) as proxy:
        platform = open_platform(f"http://{proxy.address}")
        await proxy.set_fault(ProxyFault(mode=ProxyMode.DROP_ANSWERS))
        failure = (await platform.objects.put("a", b"x")).error
        await proxy.set_fault(ProxyFault())
        assert (await platform.objects.get("a")).ok == b"x"
        await platform.aclose()
    assert (failure.reason, failure.ran) == (UNAVAILABLE, Ran.UNKNOWN)


async def test_vm_list_of_the_stand_in_lags_behind():
    clock = FakeClock()
    stand_in = PlatformStandIn(clock, lag_ms=3_000)
    listed = (ListedVm(name="vm-1"), ListedVm(name="vm-2", leaving=True))
    async with serve_platform(stand_in) as address:
        platform = open_platform(f"http://{address}")
        stand_in.vm_list.replace(listed)
        await clock.advance_ms(2_999)
        assert (await platform.vm_list.vms()).ok == ()
        await clock.advance_ms(1)
        assert (await platform.vm_list.vms()).ok == listed
        await platform.aclose()
