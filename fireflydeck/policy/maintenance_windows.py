"""Actions for the maintenance windows of data centres; pure functions of a snapshot."""

from collections.abc import Mapping
from enum import StrEnum

from attrs import frozen

from fireflydeck.core import Configuration, DataCentre, MaintenanceWindow

__all__ = [
    "NOT_EVACUATED_BY_WINDOW",
    "StartedWindow",
    "WindowAction",
    "WindowDecision",
    "plan_windows",
]

NOT_EVACUATED_BY_WINDOW = 0
"""Version recorded for a window whose data centre an operator had evacuated before it began.

It is also used for a data centre that does not exist.
"""


class WindowAction(StrEnum):
    """Action at the start or the end of a maintenance window.

    `TAKE_OUT` evacuates the data centre and records the window; `NOTE` only records it, since the
    data centre is out of service already or does not exist. `BRING_IN` puts the data centre in
    service again and removes the record; `FORGET` only removes it.
    """

    TAKE_OUT = "take-out"
    NOTE = "note"
    BRING_IN = "bring-in"
    FORGET = "forget"


@frozen(kw_only=True)
class WindowDecision:
    """An action for one window.

    Parameters
    ----------
    entity_version
        Version of the data centre on which the decision is based; for `NOTE`, the version to
        record.
    """

    action: WindowAction
    window: str
    data_centre: str
    entity_version: int


@frozen(kw_only=True)
class StartedWindow:
    """A window that counts as started.

    It does so from the lead time before its start, when its data centre is evacuated if that is
    still in service.

    Parameters
    ----------
    entity_version
        Version of the data centre at which it was evacuated, or `NOT_EVACUATED_BY_WINDOW`.
    """

    window: str
    data_centre: str
    entity_version: int


def plan_windows(
    configuration: Configuration, wall_ms: int, lead_ms: int, started: Mapping[str, StartedWindow]
) -> tuple[WindowDecision, ...]:
    """Return the actions to carry out now, ordered by window.

    A data centre is evacuated `lead_ms` before the start of the window, so that running work has
    ended by then, and put in service again at the end of the window. If anything else changed the
    data centre in between, it is neither evacuated a second time nor put in service again.

    Parameters
    ----------
    wall_ms
        Current wall time.
    lead_ms
        Time before the start of a window at which its data centre is evacuated.
    started
        Windows that count as started, by name. A window does so from `lead_ms` before its start,
        when its data centre is evacuated.
    """
    active = {
        window.name: window
        for window in configuration.all(MaintenanceWindow)
        if window.start_ms - lead_ms <= wall_ms < window.end_ms
    }
    starts = [
        _decide_start(configuration, it, started)
        for name, it in active.items()
        if name not in started
    ]
    in_window = {window.data_centre for window in active.values()}
    ends = [
        _decide_end(configuration, it, in_window)
        for name, it in started.items()
        if name not in active
    ]
    return tuple(sorted([*starts, *ends], key=lambda decision: decision.window))


def _decide_start(
    configuration: Configuration, window: MaintenanceWindow, started: Mapping[str, StartedWindow]
) -> WindowDecision:
    """Return the decision for a window that starts.

    A data centre that is already out of service because of another window is recorded with the same
    version, so that it is put in service again after the last of the windows.
    """
    data_centre = configuration.get(DataCentre, window.data_centre)
    version = (
        configuration.entity_version(data_centre.key) if data_centre else NOT_EVACUATED_BY_WINDOW
    )
    action = WindowAction.NOTE
    if data_centre is not None and data_centre.in_service:
        action = WindowAction.TAKE_OUT
    elif (window.data_centre, version) not in {
        (it.data_centre, it.entity_version) for it in started.values()
    }:
        version = NOT_EVACUATED_BY_WINDOW
    return WindowDecision(
        action=action,
        window=window.name,
        data_centre=window.data_centre,
        entity_version=version,
    )


def _decide_end(
    configuration: Configuration, window: StartedWindow, in_window: set[str]
) -> WindowDecision:
    """Return the decision for a window that ended or was removed."""
    data_centre = configuration.get(DataCentre, window.data_centre)
    version = (
        configuration.entity_version(data_centre.key) if data_centre else NOT_EVACUATED_BY_WINDOW
    )
    is_unchanged = version == window.entity_version and version != NOT_EVACUATED_BY_WINDOW
    is_put_in_service = is_unchanged and window.data_centre not in in_window
    return WindowDecision(
        action=WindowAction.BRING_IN if is_put_in_service else WindowAction.FORGET,
        window=window.window,
        data_centre=window.data_centre,
        entity_version=version,
    )
