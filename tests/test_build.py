"""The executable runs every role in one process and writes only below SHIV_ROOT."""

import os
import subprocess
from pathlib import Path

import anyio
import httpx
import pytest

from fireflydeck import __version__
from fireflydeck.testing.executable import build_executable
from fireflydeck.testing.ports import free_address
from fireflydeck.testing.processes import wait_until


@pytest.fixture(scope="module")
def executable(tmp_path_factory):
    return build_executable(tmp_path_factory.mktemp("build") / "fireflydeck.pyz")


@pytest.fixture
def environ(tmp_path):
    """Environment variables with which the package can be imported only from the executable."""
    home = tmp_path / "home"
    home.mkdir()
    inherited = {name: os.environ[name] for name in ("PATH",)}
    return {**inherited, "HOME": str(home), "SHIV_ROOT": str(tmp_path / "root")}


def _run(executable, environ, tmp_path, *arguments):
    command = [str(executable), *arguments]
    return subprocess.run(
        command, env=environ, cwd=tmp_path, capture_output=True, text=True, timeout=20, check=False
    )


def _child_processes(pid):
    tasks = Path(f"/proc/{pid}/task").glob("*/children")
    return [child for task in tasks for child in task.read_text().split()]


def _parent_of(pid):
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("PPid:"))


def test_executable_prints_its_version(executable, environ, tmp_path):
    done = _run(executable, environ, tmp_path, "--version")
    assert (done.returncode, done.stdout) == (0, f"{__version__}\n")


def test_executable_writes_below_its_root_only(executable, environ, tmp_path):
    assert _run(executable, environ, tmp_path, "--version").returncode == 0
    assert sorted(path.name for path in tmp_path.iterdir()) == ["home", "root"]
    assert list((tmp_path / "home").iterdir()) == []
    assert list((tmp_path / "root").iterdir()) != []


@pytest.mark.parametrize("role", ["gateway", "dispatcher", "controller"])
def test_executable_refuses_a_bad_setting(executable, environ, tmp_path, role):
    done = _run(executable, environ, tmp_path, role, "--peer-listen=nowhere")
    assert done.returncode == 2
    assert done.stderr.startswith(f"fireflydeck {role}: ")
    assert "Traceback" not in done.stderr


@pytest.mark.processes
def test_executable_runs_a_role_in_one_process(executable, environ, tmp_path):
    async def run():
        address = free_address()
        command = [str(executable), "standin", "platform", f"--listen={address}"]
        process = subprocess.Popen(command, env=environ, cwd=tmp_path)
        try:
            await wait_until(lambda: _is_answering(address), what="answer of the stand-in")
            assert _parent_of(process.pid) == os.getpid()
            assert _child_processes(process.pid) == []
            process.terminate()
            assert await anyio.to_thread.run_sync(lambda: process.wait(timeout=10)) == 0
        finally:
            if process.poll() is None:
                process.kill()
                process.wait()

    anyio.run(run)


async def _is_answering(address):
    async with httpx.AsyncClient(trust_env=False) as client:
        try:
            return (await client.get(f"http://{address}/vms")).status_code == httpx.codes.OK
        except httpx.TransportError:
            return False
