"""Operating-system processes that tests and the demo start and stop."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio
import httpx
from attrs import define, field

__all__ = ["ManagedProcess", "wait_until"]

_POLL_MS = 20


async def wait_until(condition: Any, *, timeout_ms: int = 10_000, what: str = "condition") -> Any:
    """Poll an asynchronous condition until its result is true, and return the result.

    Parameters
    ----------
    condition
        Function that returns an awaitable.
    what
        Subject of the error message.

    Raises
    ------
    TimeoutError
        If the condition is not met within the timeout.
    """
    with anyio.move_on_after(timeout_ms / 1000):
        while True:
            value = await condition()
            if value:
                return value
            await anyio.sleep(_POLL_MS / 1000)
    raise TimeoutError(f"{what}: timed out after {timeout_ms} ms")


@define
class ManagedProcess:
    """A process of the ``fireflydeck`` command whose output is appended to a log file.

    Parameters
    ----------
    name
        Name in messages and of the log file.
    arguments
        Arguments of the ``fireflydeck`` command.
    directory
        Directory of the log file.
    environ
        Additional environment variables.
    admin
        Address of the admin interface; empty for stand-ins.
    """

    name: str
    arguments: list[str]
    directory: Path
    environ: dict[str, str] = field(factory=dict, repr=False)
    admin: str = ""
    _process: subprocess.Popen | None = None

    @property
    def log_path(self) -> Path:
        """Path of the log file."""
        return self.directory / f"{self.name}.log"

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Exit code; `None` while the process runs or before it was started."""
        return self._process.poll() if self._process else None

    def start(self) -> None:
        """Start the process."""
        environ = {**os.environ, **self.environ}
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "fireflydeck", *self.arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environ,
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.returncode is None:
            os.kill(self.pid, signal_number)

    def kill(self) -> None:
        """Kill the process, even if it is suspended, and wait for its exit."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        assert self._process is not None
        self._process.wait()

    def pause(self) -> None:
        """Suspend the process and wait until it is stopped; a signal may take effect later."""
        self.send(signal.SIGSTOP)
        if self.returncode is None:
            os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.send(signal.SIGCONT)

    def reload(self) -> None:
        """Request a reload of the settings."""
        self.send(signal.SIGHUP)

    def terminate(self) -> None:
        """Request a graceful stop."""
        self.send(signal.SIGTERM)

    async def wait_for_exit(self, timeout_ms: int = 15_000) -> int:
        """Wait for the exit and return the exit code."""

        async def has_exited() -> bool:
            return self.returncode is not None

        await wait_until(has_exited, timeout_ms=timeout_ms, what=f"exit of {self.name}")
        assert self.returncode is not None
        return self.returncode

    async def state(self) -> dict[str, Any] | None:
        """Return the state dump; `None` if the process doesn't answer."""
        try:
            async with httpx.AsyncClient(timeout=1) as client:
                return (await client.get(f"http://{self.admin}/state")).json()
        except (httpx.HTTPError, ValueError):
            return None
