"""Stand-ins that run as separate processes."""

import json
import signal
import subprocess
import sys
from contextlib import contextmanager

import anyio
import httpx
import pytest

from fireflydeck.kernel import Event
from fireflydeck.standins.runner import serve_platform

pytestmark = pytest.mark.processes

_START = """
import anyio
from fireflydeck.kernel import configure_logging
from fireflydeck.standins.backend_server import BackendServerSpec
from fireflydeck.standins.runner import run_backend_servers, run_fault_proxy, run_platform
configure_logging("json")
anyio.run({run}, {arguments})
"""
_FREE_PORT = "127.0.0.1:0"
_STOP_S = 10


@contextmanager
def process(run, *arguments):
    """Start a stand-in, yield its addresses by service name and check that SIGTERM stops it."""
    script = _START.format(run=run, arguments=", ".join(arguments))
    child = subprocess.Popen([sys.executable, "-c", script], stderr=subprocess.PIPE, text=True)
    try:
        yield read_addresses(child)
        child.send_signal(signal.SIGTERM)
        assert child.wait(_STOP_S) == 0
    finally:
        child.kill()
        child.wait()
        child.stderr.close()


def read_addresses(child):
    addresses = {}
    for line in child.stderr:
        event = json.loads(line)
        if event["number"] == Event.STANDIN_LISTENING.number:
            addresses[event["service"]] = event["address"]
        if event["number"] == Event.PROCESS_STARTED.number:
            return addresses
    raise AssertionError("the process ended before it reported its start")


def test_run_platform():
    with process("run_platform", repr(_FREE_PORT)) as addresses:
        url = f"http://{addresses['platform']}"
        body = {"puts": [{"table": "t", "key": "a", "value": 1}]}
        assert httpx.post(f"{url}/transactions", json=body).json() == {}
        assert httpx.get(f"{url}/tables/t/rows/a").json() == {"version": 1, "value": 1}
        assert httpx.get(f"{url}/counters").json()["writes"] == 1


def test_run_backend_servers_in_one_process():
    specs = [f"BackendServerSpec(name='vm-{n}', data_centre='dc-{n}')" for n in (1, 2)]
    with process("run_backend_servers", f"[{', '.join(specs)}]") as addresses:
        for name, data_centre in (("vm-1", "dc-1"), ("vm-2", "dc-2")):
            url = f"http://{addresses[name]}"
            assert httpx.post(url, content=b"x").content == b"echo:x"
            assert httpx.get(f"{url}/-/status").json()["data_centre"] == data_centre


def test_run_fault_proxy():
    with (
        process("run_platform", repr(_FREE_PORT)) as platform,
        process(
            "run_fault_proxy", repr(_FREE_PORT), repr(platform["platform"]), repr(_FREE_PORT)
        ) as addresses,
    ):
        url = f"http://{addresses['fault-proxy']}/vms"
        control = f"http://{addresses['control']}/mode"
        assert httpx.get(url).json() == {"vms": []}
        assert httpx.put(control, json={"mode": "cut"}).status_code == 200
        with pytest.raises(httpx.ConnectError):
            httpx.get(url)
        httpx.put(control, json={"mode": "pass"})
        assert httpx.get(url).status_code == 200


def test_serve_platform_raises_the_error_of_its_body_unwrapped():
    async def fail():
        async with serve_platform():
            raise ValueError("inside")

    with pytest.raises(ValueError, match="inside"):
        anyio.run(fail)
