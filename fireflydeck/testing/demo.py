"""End-to-end demo on loopback.

It applies a sheet, runs work of two organisations, takes a data centre out and brings it back, and
withdraws an API key.
"""

import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio
import httpx
from attrs import define, field, frozen

from fireflydeck.gateway import hash_key
from fireflydeck.testing.fleet import OPERATOR_KEY, Fleet, running_fleet
from fireflydeck.testing.processes import wait_until

__all__ = ["main"]

_MS_PER_S = 1000
_REQUESTS_PER_KIND = 30
_KEY_ID_LENGTH = 12
_KEY_REFUSAL_TIMEOUT_MS = 5_000
_DATA_CENTRE_OUT_AFTER_MS = 5_000


@frozen
class Outcome:
    """Outcome of one request of the demo."""

    organisation: str
    kind: str
    status: int
    latency_ms: float
    reason: str = ""


@define
class Demo:
    """Runs the steps of the demo and collects the failed checks."""

    fleet: Fleet
    organisations: list[str]
    queue: str
    data_centre: str
    keys: dict[str, str] = field(factory=dict)
    outcomes: list[Outcome] = field(factory=list)
    problems: list[str] = field(factory=list)
    last_request_id: str = ""

    def expect(self, condition: bool, text: str) -> None:
        """Print the result of a check and record a failure."""
        print(f"  {'ok  ' if condition else 'FAIL'} {text}")
        if not condition:
            self.problems.append(text)

    async def send(self, organisation: str, kind: str, **headers: str) -> httpx.Response:
        """Send a request and record its outcome.

        The number of recorded outcomes determines the entry VM.
        """
        vm = self.fleet.entry_vms[len(self.outcomes) % len(self.fleet.entry_vms)]
        started = time.monotonic()
        answer = await self.fleet.call(
            f"/queues/{self.queue}/work",
            key=self.keys[organisation],
            vm=vm,
            content=b"demo",
            **headers,
        )
        latency_ms = (time.monotonic() - started) * _MS_PER_S
        is_problem = answer.headers.get("content-type") == "application/problem+json"
        reason = answer.json()["reason"] if is_problem else ""
        self.outcomes.append(Outcome(organisation, kind, answer.status_code, latency_ms, reason))
        self.last_request_id = answer.headers.get("x-request-id", "")
        return answer

    async def send_many(self, kind: str, count: int, **headers: str) -> None:
        """Send `count` concurrent requests of each organisation."""
        async with anyio.create_task_group() as tasks:
            for organisation in self.organisations:
                for _ in range(count):
                    tasks.start_soon(lambda name=organisation: self.send(name, kind, **headers))

    async def grant_keys(self) -> None:
        """Grant an API key to each organisation."""
        for organisation in self.organisations:
            self.keys[organisation] = await self.fleet.grant_key(organisation)

    async def send_short_requests(self) -> None:
        """Send short normal and urgent requests."""
        async with anyio.create_task_group() as tasks:
            run = {"x_run_ms": "20"}
            tasks.start_soon(lambda: self.send_many("normal", _REQUESTS_PER_KIND, **run))
            urgent = {"x_urgency": "urgent", **run}
            tasks.start_soon(lambda: self.send_many("urgent", _REQUESTS_PER_KIND // 3, **urgent))
        answered = [o for o in self.outcomes if o.status == httpx.codes.OK]
        self.expect(
            len(answered) == len(self.outcomes), "all short normal and urgent requests are answered"
        )

    async def send_non_idempotent_requests(self) -> None:
        """Send a request with an idempotency key twice concurrently, then once more."""
        headers = {"idempotency_key": "order-1", "x_run_ms": "50"}
        answers: list[httpx.Response] = []

        async def send() -> None:
            answers.append(await self.send(self.organisations[0], "non-idempotent", **headers))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            tasks.start_soon(send)
        repeated = await self.send(self.organisations[0], "non-idempotent", **headers)
        ids = {answer.headers["x-request-id"] for answer in (*answers, repeated)}
        starts = [e for e in await self.fleet.backend_log() if e["event"] == "start"]
        runs = [entry for entry in starts if entry["request_id"] in ids]
        self.expect(
            len(runs) == 1, "a non-idempotent request with a key ran once in three attempts"
        )
        self.expect(repeated.content == b"echo:demo", "a later attempt gets the stored answer")

    async def run_jobs(self) -> None:
        """Submit a job of each organisation and wait until it has ended."""
        for organisation in self.organisations:
            started = time.monotonic()
            accepted = await self.fleet.call(
                f"/jobs/{self.queue}", key=self.keys[organisation], content=b'{"run_ms": 800}'
            )
            self.expect(
                accepted.status_code == httpx.codes.ACCEPTED, f"job of {organisation} accepted"
            )
            if accepted.status_code != httpx.codes.ACCEPTED:
                continue
            location = accepted.json()["location"]
            finished = await wait_until(
                lambda path=location, name=organisation: self._end_state(path, name),
                what="end of the job",
            )
            self.expect(finished == "done", f"job of {organisation} finished")
            latency_ms = (time.monotonic() - started) * _MS_PER_S
            self.outcomes.append(Outcome(organisation, "long", accepted.status_code, latency_ms))

    async def _end_state(self, path: str, organisation: str) -> str:
        answer = await self.fleet.call(path, key=self.keys[organisation], method="GET")
        state = answer.json().get("state", "")
        return state if state in ("done", "failed", "cancelled", "unknown") else ""

    async def take_data_centre_out_and_back(self) -> None:
        """Take a data centre out under load and bring it back."""
        out = await self.fleet.operator("POST", f"/data-centres/{self.data_centre}/out")
        self.expect(out.is_success, f"data centre {self.data_centre} taken out")
        await self.fleet.wait_until_converged()
        before = await self._starts_in_data_centre()
        await self.send_many("data centre out", _REQUESTS_PER_KIND, x_run_ms="5")
        after = await self._starts_in_data_centre()
        self.expect(before == after, f"nothing started in {self.data_centre} while it was out")
        back = await self.fleet.operator("POST", f"/data-centres/{self.data_centre}/in")
        self.expect(back.is_success, f"data centre {self.data_centre} brought back")
        await self.fleet.wait_until_converged()
        await self.send_many("data centre in again", _REQUESTS_PER_KIND, x_run_ms="20")
        self.expect(
            await self._starts_in_data_centre() > after, "requests start in the data centre again"
        )

    async def _starts_in_data_centre(self) -> int:
        entries = await self.fleet.backend_log()
        started = [entry for entry in entries if entry["event"] == "start"]
        return sum(entry["data_centre"] == self.data_centre for entry in started)

    async def withdraw_key(self) -> None:
        """Withdraw an API key; every entry VM must refuse it within seconds."""
        organisation = self.organisations[1]
        key_id = hash_key(self.keys[organisation])[:_KEY_ID_LENGTH]
        withdrawn = await self.fleet.operator(
            "DELETE", f"/organisations/{organisation}/keys/{key_id}"
        )
        self.expect(withdrawn.is_success, f"key {key_id} of {organisation} withdrawn")
        for vm in self.fleet.entry_vms:
            await wait_until(
                lambda v=vm: self._is_refused(organisation, v),
                timeout_ms=_KEY_REFUSAL_TIMEOUT_MS,
                what="refusal of the withdrawn key",
            )
        self.expect(True, "the withdrawn key is refused on every entry VM")

    async def _is_refused(self, organisation: str, vm: object) -> bool:
        answer = await self.fleet.call(
            f"/queues/{self.queue}/work", key=self.keys[organisation], vm=vm
        )
        return answer.status_code == httpx.codes.UNAUTHORIZED

    async def explain(self) -> None:
        """Send a request and explain it with the operators' command."""
        await self.send(self.organisations[0], "normal")
        request_id = self.last_request_id

        async def explained() -> str:
            return await anyio.to_thread.run_sync(self._run_ctl, "explain", "request", request_id)

        text = await wait_until(explained, what="explanation")
        print(f"\n$ fireflydeck ctl explain request {request_id}\n{text}")

    def _run_ctl(self, *arguments: str) -> str:
        """Run the operators' command in a process; return its output, empty if incomplete."""
        controllers = ",".join(vm.operators_address for vm in self.fleet.entry_vms)
        environ = {
            "FIREFLYDECK_OPERATOR_KEY": OPERATOR_KEY,
            "FIREFLYDECK_CONTROLLERS": controllers,
        }
        command = [sys.executable, "-m", "fireflydeck", "ctl", *arguments]
        done = subprocess.run(
            command, env={**os.environ, **environ}, capture_output=True, check=False
        )
        text = done.stdout.decode()
        return text if done.returncode == 0 and "answered" in text else ""

    def print_summary(self) -> None:
        """Print counts and latencies by organisation and kind of work, and the refusals."""
        print(
            f"\n{'organisation':20} {'work':28} {'answered':>8} {'refused':>8} "
            f"{'p50 ms':>8} {'max ms':>8}"
        )
        groups: dict[tuple[str, str], list[Outcome]] = {}
        for outcome in self.outcomes:
            groups.setdefault((outcome.organisation, outcome.kind), []).append(outcome)
        for (organisation, kind), outcomes in sorted(groups.items()):
            times = [outcome.latency_ms for outcome in outcomes]
            refused = sum(bool(outcome.reason) for outcome in outcomes)
            median, longest = statistics.median(times), max(times)
            answered = len(outcomes) - refused
            print(
                f"{organisation:20} {kind:28} {answered:8} {refused:8} {median:8.1f} {longest:8.1f}"
            )
        for reason in sorted({o.reason for o in self.outcomes if o.reason}):
            count = sum(o.reason == reason for o in self.outcomes)
            print(f"refused {count} times: {reason}")


async def run_demo(sheet_path: Path) -> list[str]:
    """Run the demo with a sheet and return the descriptions of the failed checks."""
    sheet = sheet_path.read_text(encoding="utf-8")
    rows = [line.split(",") for line in sheet.splitlines()]
    organisations = [row[1] for row in rows if row[0] == "organisation"][:2]
    queue = next(row[1] for row in rows if row[0] == "queue")
    data_centre = next(row[1] for row in rows if row[0] == "data_centre")
    with tempfile.TemporaryDirectory(prefix="fireflydeck-demo-") as directory:
        print(f"starting stand-ins and two entry VMs, applying {sheet_path.name}")
        async with running_fleet(Path(directory), sheet) as fleet:
            demo = Demo(
                fleet=fleet, organisations=organisations, queue=queue, data_centre=data_centre
            )
            for step in (
                demo.grant_keys,
                demo.send_short_requests,
                demo.send_non_idempotent_requests,
                demo.run_jobs,
                demo.take_data_centre_out_and_back,
                demo.withdraw_key,
                demo.explain,
            ):
                print(f"\n{(step.__doc__ or '').splitlines()[0]}")
                await step()
            demo.print_summary()
            demo.expect(await fleet.stop(), "all processes stopped gracefully")
    return demo.problems


def main() -> None:
    """Run the demo with the example deployment named on the command line."""
    deployment = sys.argv[1] if len(sys.argv) > 1 else "workshop"
    sheet_path = Path(__file__).parents[2] / "examples" / f"{deployment}.csv"
    if not sheet_path.is_file():
        print(f"demo: unknown deployment {deployment!r}: use workshop or rota", file=sys.stderr)
        sys.exit(2)
    started = time.monotonic()
    problems = anyio.run(run_demo, sheet_path)
    print(f"\n{time.monotonic() - started:.1f} s; {len(problems)} failed checks")
    for problem in problems:
        print(f"demo: check failed: {problem}", file=sys.stderr)
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
