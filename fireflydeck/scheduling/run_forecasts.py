"""Expected free capacity of backend servers, from the runs on them."""

from math import inf
from operator import itemgetter

from attrs import define, field, frozen

from fireflydeck.policy.reservation import Release, ServerForecast, longest_ms, remaining_ms
from fireflydeck.scheduling.servers import Server, reserved_resources
from fireflydeck.scheduling.work_estimates import WorkEstimates
from fireflydeck.workload.lifecycle import Attempt

__all__ = ["RunForecasts"]

_STOP_MS = 100.0
"""Time until the end of a run is reported after its stop was ordered."""
_RESUMED_FRACTION = 0.5
"""Part of the duration that a task resumed from a checkpoint takes on average."""
_MAX_AGE_MS = 250.0


@frozen
class _Entry:
    """Forecast of a server and what it was made from.

    Parameters
    ----------
    ends_ms
        Expected ends of its attempts, by the name of the task and the run number.
    valid_until_ms
        Earliest expected end, since a run that is still known then has exceeded its estimate; at
        most `_MAX_AGE_MS` later, since stops of runs are ordered without a change of the server.
    """

    server: Server
    change_count: int
    ends_ms: dict[tuple[str, int], float]
    valid_until_ms: float
    forecast: ServerForecast


@define(eq=False)
class RunForecasts:
    """Cache of forecasts; one is made again when the runs of its server have changed.

    The expected end of a run is computed once, and again when the run exceeds it. A pass with
    thousands of runs so computes only those of the runs that started since the last one.
    """

    _estimates: WorkEstimates
    _entries: dict[str, _Entry] = field(factory=dict, init=False)

    def of(self, server: Server, now_ms: int) -> ServerForecast:
        """Return the forecast of a server; it must not be changed."""
        entry = self._entries.get(server.id)
        if (
            entry is None
            or entry.server is not server
            or entry.change_count != server.change_count
            or entry.valid_until_ms <= now_ms
            or entry.forecast.rack != server.registration.rack
        ):
            known = entry.ends_ms if entry is not None and entry.server is server else {}
            entry = self._make(server, known, now_ms)
            self._entries[server.id] = entry
        return entry.forecast

    def keep_only(self, servers: set[str]) -> None:
        """Remove the forecasts of all but the given servers."""
        if len(self._entries) > len(servers):
            self._entries = {
                name: entry for name, entry in self._entries.items() if name in servers
            }

    def _make(self, server: Server, known: dict[tuple[str, int], float], now_ms: int) -> _Entry:
        ends_ms: dict[tuple[str, int], float] = {}
        releases: list[Release] = []
        for key, attempt in server.attempts.items():
            end_ms = known.get(key, 0.0)
            if end_ms <= now_ms or attempt.stop_requested:
                end_ms = now_ms + self._remaining_ms(attempt, now_ms)
            ends_ms[key] = end_ms
            if end_ms < inf:
                releases.append((end_ms, reserved_resources(attempt.task.step)))
        releases.sort(key=itemgetter(0))
        forecast = ServerForecast(
            server_id=server.id,
            free=server.free,
            releases=releases,
            rack=server.registration.rack,
        )
        valid_until_ms = min(now_ms + _MAX_AGE_MS, releases[0][0] if releases else inf)
        return _Entry(server, server.change_count, ends_ms, valid_until_ms, forecast)

    def _remaining_ms(self, attempt: Attempt, now_ms: int) -> float:
        task = attempt.task
        if attempt.stop_requested:
            return _STOP_MS
        if task.step.long_running:
            return inf
        expected_ms = self._estimates.task_ms(task)
        has_run_before = task.waiting_since_ms > 0
        if task.step.checkpointing and task.checkpoint and has_run_before:
            expected_ms *= _RESUMED_FRACTION
        # A large task waits for the last of several runs, which mostly exceeds its expectation.
        spread = self._estimates.spread(task)
        return remaining_ms(
            elapsed_ms=now_ms - attempt.changed_ms,
            expected_ms=longest_ms(expected_ms, spread),
            spread=spread,
        )
