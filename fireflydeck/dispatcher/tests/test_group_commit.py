"""Tests of the group commit of conditional inserts."""

from collections import Counter

import anyio
import pytest

from fireflydeck.core import Reason, SystemClock
from fireflydeck.dispatcher.group_commit import GroupCommit
from fireflydeck.testing import FakeTableService

pytestmark = pytest.mark.anyio


async def _insert_all(tables, keys):
    """Insert all keys concurrently; return the failure reason by value, `None` for success."""
    commit = GroupCommit(tables, SystemClock())
    outcomes = []

    async def insert(key, value):
        result = await commit.insert("t", key, value)
        outcomes.append((value, None if result.is_ok() else result.error.reason))

    async with anyio.create_task_group() as background:
        commit.start(background)
        async with anyio.create_task_group() as tasks:
            for value, key in enumerate(keys):
                tasks.start_soon(insert, key, value)
        background.cancel_scope.cancel()
    return dict(outcomes)


async def test_concurrent_inserts_of_one_row_succeed_once():
    tables = FakeTableService()
    outcomes = await _insert_all(tables, ["a", "a", "a"])
    assert Counter(outcomes.values()) == {None: 1, Reason.CONFLICT: 2}
    winner = next(value for value, reason in outcomes.items() if reason is None)
    assert tables.tables.get("t", "a").value == winner


async def test_concurrent_inserts_of_different_rows_share_a_transaction():
    tables = FakeTableService()
    outcomes = await _insert_all(tables, [f"k{number}" for number in range(40)])
    assert set(outcomes.values()) == {None}
    assert tables.commits == 1
