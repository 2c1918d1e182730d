"""Time from the response to a change until every process has applied it, and its cost."""

import json
import statistics
import time
from collections.abc import Awaitable, Callable
from datetime import datetime
from random import Random

import anyio
from attrs import frozen

from fireflydeck.configuration import ConfigurationStore
from fireflydeck.core import Organisation, SystemClock
from fireflydeck.measure.fleet_sheet import TODAY, FleetSize
from fireflydeck.measure.observed_fleet import ROLES, ObservedFleet, RoleUse, observed_fleet
from fireflydeck.measure.report import Report
from fireflydeck.tables import open_platform
from fireflydeck.testing.processes import wait_until

__all__ = ["measure_change"]

_CHANGES = 30
_PAUSE_S = 0.5
_STARTUP_WAIT_S = 8
_IDLE_S = 6
_ENTRY_VMS = 2
_MS_PER_S = 1000
_APPLIED_CODE = "configuration_applied"

Changer = Callable[[int], Awaitable[int]]
"""Commits the change with the given number and returns its version."""


@frozen
class _AnsweredChange:
    version: int
    answered_s: float


async def _make_changes(change: Changer, random: Random) -> list[_AnsweredChange]:
    answered = []
    for number in range(_CHANGES):
        version = await change(number)
        answered.append(_AnsweredChange(version, time.time()))
        # Random pauses, so that the changes spread over the whole polling interval.
        await anyio.sleep(_PAUSE_S * (0.5 + random.random()))
    return answered


def _applied_times(observed: ObservedFleet) -> list[dict[int, float]]:
    """Return for each process the time at which it applied each version, from its log."""
    times = []
    for vm in observed.fleet.entry_vms:
        for role in ROLES:
            applied_at_s: dict[int, float] = {}
            for line in vm[role].log_path.read_text().splitlines():
                event = json.loads(line) if line.startswith("{") else {}
                if event.get("code") == _APPLIED_CODE:
                    applied = datetime.fromisoformat(event["timestamp"])
                    applied_at_s[event["version"]] = applied.timestamp()
            times.append(applied_at_s)
    return times


async def _delays_ms(observed: ObservedFleet, answered: list[_AnsweredChange]) -> list[float]:
    last = answered[-1].version

    async def is_applied() -> bool:
        return all(last in applied_at_s for applied_at_s in _applied_times(observed))

    await wait_until(is_applied, what="the last change at every process")
    times = _applied_times(observed)
    # A process that loads a later version as a whole applies the earlier versions with it.
    return [
        max(0.0, max(_applied_s(process, change.version) for process in times) - change.answered_s)
        * _MS_PER_S
        for change in answered
    ]


def _applied_s(applied: dict[int, float], version: int) -> float:
    return min(at_s for other, at_s in applied.items() if other >= version)


async def _run(
    observed: ObservedFleet, change: Changer, *, labels: dict[str, str], seed: int, report: Report
) -> None:
    # After its start a controller checks every backend server once.
    await anyio.sleep(_STARTUP_WAIT_S)
    idle = await observed.use_during(_IDLE_S)
    before = await observed.uses()
    answered = await _make_changes(change, Random(seed))
    after = await observed.uses()
    delays_ms = sorted(await _delays_ms(observed, answered))
    report.add(
        **labels,
        changes=len(delays_ms),
        p50_ms=round(statistics.median(delays_ms), 1),
        max_ms=round(delays_ms[-1], 1),
    )
    used = {name: use.since(before[name]) for name, use in after.items()}
    for role in ROLES:
        names = [name for name in used if name.endswith(f"-{role}")]
        costs = [_cost_of_change(used[name], idle[name]) for name in names]
        report.add(
            **labels,
            role=role,
            **{key: round(statistics.fmean(cost[key] for cost in costs), 2) for key in costs[0]},
        )


def _cost_of_change(used: RoleUse, idle: RoleUse) -> dict[str, float]:
    """Return the mean cost of a change beyond the idle use in the same time."""

    def extra(counter: str) -> float:
        expected = getattr(idle, counter) * used.seconds / idle.seconds
        return (getattr(used, counter) - expected) / _CHANGES

    return {
        "processor_ms": extra("processor_s") * _MS_PER_S,
        "platform_bytes": extra("platform_bytes"),
        "peer_bytes": extra("peer_bytes"),
        "reads": extra("reads"),
        "writes": extra("writes"),
    }


def _commit_through_controller(observed: ObservedFleet) -> Changer:
    async def change(number: int) -> int:
        answer = await observed.fleet.operator(
            "PUT", "/configuration/organisation/organisation-1", json={"share": 2 + number}
        )
        answer.raise_for_status()
        return answer.json()["version"]

    return change


def _commit_without_push(store: ConfigurationStore) -> Changer:
    """Commit changes as a controller does whose pushes are all lost."""

    async def change(number: int) -> int:
        loaded = await store.load()
        result = await store.commit(
            loaded.ok,
            puts=[Organisation(name="organisation-1", share=2 + number, limit=100)],
            origin="operator",
        )
        return result.ok.version

    return change


async def measure_change(report: Report, seed: int = 1) -> None:
    """Measure changes at today's size and at the target size, with and without pushes."""
    for size in (TODAY, FleetSize.of_target(1)):
        async with observed_fleet(size, _ENTRY_VMS) as observed:
            await _run(
                observed,
                _commit_through_controller(observed),
                labels={"size": size.name, "way": "pushed"},
                seed=seed,
                report=report,
            )
            platform = open_platform(f"http://{observed.fleet.platform}")
            store = ConfigurationStore(platform.tables, SystemClock())
            await _run(
                observed,
                _commit_without_push(store),
                labels={"size": size.name, "way": "polled"},
                seed=seed,
                report=report,
            )
            await platform.aclose()
