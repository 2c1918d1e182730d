"""Throttling of best-effort fill tasks while a serving task on the same server is too slow."""

from collections.abc import Callable

from attrs import define

from fireflydeck.core import Clock
from fireflydeck.core.backend_orders import HeartbeatReport
from fireflydeck.policy.interference import FULL_PACE, next_pace
from fireflydeck.scheduling.servers import Server
from fireflydeck.workload.lifecycle import Attempt, AttemptPhase

__all__ = ["Pacer"]

_MIN_CHANGE_INTERVAL_MS = 600
"""A gauge covers the last half second, and a new pace needs some time to take effect."""


@define(eq=False)
class Pacer:
    """Throttle of fill tasks, driven by the reports of backend servers.

    Parameters
    ----------
    send_pace
        Orders the pace of an attempt: backend server, attempt, percent of full speed.
    """

    _clock: Clock
    _send_pace: Callable[[Server, Attempt, int], None]

    def on_report(self, server: Server, report: HeartbeatReport) -> None:
        """Order new paces for the fill tasks of a backend server by the gauges of its report.

        Without a serving task that has a latency target, fill tasks run at full pace.
        """
        fill_attempts = [
            attempt
            for attempt in server.attempts.values()
            if attempt.task.step.fill and attempt.phase == AttemptPhase.RUNNING
        ]
        worst = _worst_latency(server, report) if fill_attempts else None
        now_ms = self._clock.now_ms()
        for attempt in fill_attempts:
            pace = FULL_PACE
            if worst is not None:
                latency_ms, target_ms = worst
                pace = next_pace(attempt.pace, latency_ms=latency_ms, target_ms=target_ms)
            if pace != attempt.pace and now_ms - attempt.pace_ordered_ms >= _MIN_CHANGE_INTERVAL_MS:
                attempt.pace_ordered_ms = now_ms
                self._send_pace(server, attempt, pace)


def _worst_latency(server: Server, report: HeartbeatReport) -> tuple[int, int] | None:
    """Return latency and target of the serving task with the highest ratio of the two.

    Both are percentile latencies in milliseconds. Without such a task the result is `None`.
    """
    latencies: list[tuple[float, int, int]] = []
    for row in report.running:
        attempt = server.attempts.get((row.task, row.run))
        if attempt is None or row.gauge is None or attempt.task.step.fill:
            continue
        target_ms = attempt.task.step.target_tail_ms
        if target_ms > 0:
            latencies.append((row.gauge / target_ms, row.gauge, target_ms))
    if not latencies:
        return None
    _, latency_ms, target_ms = max(latencies)
    return latency_ms, target_ms
