"""Checks of the backend servers' logs against the callers' replies."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from fireflydeck.testing.fleet import Fleet
from fireflydeck.testing.processes import ManagedProcess, wait_until
from tests.load import Reply

__all__ = [
    "assert_each_start_answered",
    "assert_not_run_means_not_started",
    "assert_ran_at_most_once",
    "max_running",
    "owner_of",
    "start_since",
    "starts_of",
]


def starts_of(
    log: Iterable[dict[str, Any]], *, from_ms: int = 0, **wanted: Any
) -> list[dict[str, Any]]:
    """Return the starts at `from_ms` or later whose fields have the wanted values, by time."""
    found = [
        entry
        for entry in log
        if entry["event"] == "start"
        and entry["at_ms"] >= from_ms
        and all(entry[name] == value for name, value in wanted.items())
    ]
    return sorted(found, key=lambda entry: entry["at_ms"])


def max_running(log: Iterable[dict[str, Any]], organisation: str, from_ms: int = 0) -> int:
    """Return the maximum number of an organisation's tasks running at a time since `from_ms`.

    An end and a start in the same millisecond do not overlap.
    """
    steps = [
        (entry["at_ms"], 1 if entry["event"] == "start" else -1)
        for entry in log
        if entry["organisation"] == organisation and entry["event"] in ("start", "end")
    ]
    running = max_seen = 0
    for at_ms, step in sorted(steps):
        running += step
        if at_ms >= from_ms:
            max_seen = max(max_seen, running)
    return max_seen


def assert_not_run_means_not_started(
    log: Iterable[dict[str, Any]], replies: Iterable[Reply]
) -> None:
    """Check that no request that was reported as not run has started."""
    started = {entry["request_id"] for entry in starts_of(log)}
    wrong = [reply for reply in replies if reply.ran == "no" and reply.request_id in started]
    assert not wrong, wrong[:3]


def assert_ran_at_most_once(log: Iterable[dict[str, Any]]) -> None:
    """Check that no request id has more than one start."""
    counts = Counter(entry["request_id"] for entry in starts_of(log))
    twice = [request_id for request_id, count in counts.items() if count > 1]
    assert not twice, twice[:3]


def assert_each_start_answered(
    log: Iterable[dict[str, Any]], replies: Iterable[Reply], from_ms: int
) -> None:
    """Check that each request that started at `from_ms` or later was answered with status 200."""
    answered = {reply.request_id for reply in replies if reply.status == 200}
    unanswered = [e for e in starts_of(log, from_ms=from_ms) if e["request_id"] not in answered]
    assert not unanswered, unanswered[:3]


def start_since(fleet: Fleet, from_ms: int, **wanted: Any) -> Callable[[], Any]:
    """Return a condition for `wait_until`: the first start that `starts_of` finds in the log."""

    async def first_start() -> dict[str, Any] | None:
        found = starts_of(await fleet.backend_log(), from_ms=from_ms, **wanted)
        return found[0] if found else None

    return first_start


async def owner_of(fleet: Fleet, **wanted: Any) -> ManagedProcess:
    """Return the dispatcher of the latest start whose fields have the wanted values."""

    async def latest_dispatcher() -> str:
        found = starts_of(await fleet.backend_log(), **wanted)
        return found[-1]["dispatcher"] if found else ""

    name = await wait_until(latest_dispatcher, what="a start")
    return next(vm["dispatcher"] for vm in fleet.entry_vms if f"-{vm.name}-" in f"{name}-")
