"""Choice of a backend server."""

import pytest
from attrs import evolve

from fireflydeck.core.placement import Resources
from fireflydeck.policy.server_choice import Candidate, choose_server
from fireflydeck.testing.job_builders import build_step


def _candidate(server_id, cpu=32_000, **fields):
    known = Candidate(
        server_id=server_id,
        free=Resources(cpu, 65_536),
        labels=frozenset({"a", "r1-1"}),
        rack="r1-1",
    )
    return evolve(known, **fields)


def test_fullest_server_with_room_is_chosen():
    """Idle servers stay idle, so that their VMs can move to pools with demand."""
    step = build_step(demand=Resources(4000, 1000))
    candidates = [_candidate("a"), _candidate("b", 8000), _candidate("c", 3000)]
    assert choose_server(step, candidates) == "b"


def test_no_room():
    step = build_step(demand=Resources(4000, 1000, 1))
    assert choose_server(step, [_candidate("a")]) is None


@pytest.mark.parametrize(
    ("step", "worse", "better"),
    [
        ({}, {"has_failed_before": True}, {}),
        ({}, {"interferes": True}, {}),
        ({"data_rack": "r1-2"}, {}, {"rack": "r1-2"}),
        ({}, {"has_failed_before": True}, {"interferes": True}),
        ({"long_running": True}, {"has_pending_maintenance": True}, {}),
        ({"same_rack": True}, {"splits_step": True}, {}),
    ],
)
def test_preferences(step, worse, better):
    candidates = [_candidate("worse", 8000, **worse), _candidate("better", **better)]
    assert choose_server(build_step(**step), candidates) == "better"
    assert choose_server(build_step(**step), candidates[:1]) == "worse"


@pytest.mark.parametrize(
    ("step", "fields"),
    [
        ({"required_label": "b"}, {}),
        ({"max_per_server": 2}, {"same_step_tasks": 2}),
    ],
)
def test_server_that_is_not_allowed_is_never_chosen(step, fields):
    assert choose_server(build_step(**step), [_candidate("a", **fields)]) is None


def test_fill_task_needs_no_processor_time():
    step = build_step(fill=True, demand=Resources(8000, 1000))
    assert choose_server(step, [_candidate("a", 0)]) == "a"
