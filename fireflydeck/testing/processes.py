"""Real processes of the system, started and ended by tests and by the demo."""

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
    """Await `condition()` again and again until it is true; return its value.

    Raises
    ------
    TimeoutError
        If that takes longer than the timeout.
    """
    with anyio.move_on_after(timeout_ms / 1000):
        while True:
            value = await condition()
            if value:
                return value
            await anyio.sleep(_POLL_MS / 1000)
    raise TimeoutError(f"{what} did not come about within {timeout_ms} ms")


@define
class ManagedProcess:
    """One process; its log goes to a file.

    Parameters
    ----------
    name
        Name for messages and the log file.
    arguments
        Arguments of the fireflydeck command.
    admin
        Admin address; empty for stand-ins.
    """

    name: str
    arguments: list[str]
    directory: Path
    environ: dict[str, str] = field(factory=dict, repr=False)
    admin: str = ""
    _process: subprocess.Popen | None = None

    @property
    def log_path(self) -> Path:
        """File with the process's log."""
        return self.directory / f"{self.name}.log"

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Exit code; `None` while it runs."""
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

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.returncode is None:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        assert self._process is not None
        self._process.wait()

    def pause(self) -> None:
        """Freeze the process."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.send(signal.SIGCONT)

    def reload(self) -> None:
        """Let the process read its settings again."""
        self.send(signal.SIGHUP)

    def terminate(self) -> None:
        """Begin the graceful stop."""
        self.send(signal.SIGTERM)

    async def stopped(self, timeout_ms: int = 15_000) -> int:
        """Wait for the exit and return the exit code."""

        async def is_ended() -> bool:
            return self.returncode is not None

        await wait_until(is_ended, timeout_ms=timeout_ms, what=f"exit of {self.name}")
        assert self.returncode is not None
        return self.returncode

    async def state(self) -> dict[str, Any] | None:
        """Return the state dump; `None` if the process does not answer."""
        try:
            async with httpx.AsyncClient(timeout=1) as client:
                return (await client.get(f"http://{self.admin}/state")).json()
        except (httpx.HTTPError, ValueError):
            return None
