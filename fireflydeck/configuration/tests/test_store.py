"""Commits of the configuration under store faults and concurrent changes."""

import anyio
import pytest

from fireflydeck.configuration import ConfigurationStore
from fireflydeck.core import Configuration, Failure, Pool, Ran, Reason
from fireflydeck.tables import ABSENT, Check, Put, Transaction
from fireflydeck.testing import FakeClock, FakeTableService, StoreFault


class _NoWaitClock(FakeClock):
    async def sleep_ms(self, duration_ms):
        self._now_ms += duration_ms


def _store(tables):
    return ConfigurationStore(tables, _NoWaitClock())


def _run(function):
    return anyio.run(function)


def test_commit_then_load():
    async def scenario():
        store = _store(FakeTableService())
        change = (await store.commit(Configuration(), puts=[Pool(name="records")])).ok
        loaded = (await store.load()).ok
        return change, loaded

    change, loaded = _run(scenario)
    assert (change.version, loaded.version) == (1, 1)
    assert loaded.get(Pool, "records") == Pool(name="records")
    assert loaded.entity_version(Pool(name="records").key) == 1


def test_commit_conflict_names_versions():
    async def scenario():
        store = _store(FakeTableService())
        await store.commit(Configuration(), puts=[Pool(name="a")])
        return await store.commit(Configuration(), puts=[Pool(name="b")])

    failure = _run(scenario).error
    assert failure.reason is Reason.CONFLICT
    assert "version 1" in failure.detail


LOST = StoreFault.ANSWER_LOST
DOWN = StoreFault.OUTAGE


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        ([None], 1),
        ([LOST], 1),
        ([LOST, LOST, LOST], 1),
        ([LOST, DOWN, DOWN], 1),
        ([DOWN], Ran.NO),
        ([LOST, DOWN, DOWN, DOWN], Ran.UNKNOWN),
    ],
)
def test_commit_resolves_lost_answers(faults, expected):
    async def scenario():
        tables = FakeTableService()
        tables.next_commits = list(faults)
        result = await _store(tables).commit(Configuration(), puts=[Pool(name="a")])
        return result, tables.tables.get("configuration", "head")

    result, head = _run(scenario)
    if isinstance(expected, Ran):
        assert isinstance(result.error, Failure)
        assert result.error.ran is expected
    else:
        assert (result.ok.version, head.value["version"]) == (expected, expected)


def test_commit_lost_answer_then_other_change():
    """A commit whose answer was lost counts as committed even if another change followed it."""

    async def scenario():
        tables = FakeTableService()
        store = _store(tables)
        other = _store(FakeTableService(tables.tables))
        commit = tables.commit

        async def commit_then_other(transaction):
            result = await commit(transaction)
            if result.is_error() and result.error.ran is Ran.UNKNOWN:
                base = (await other.load()).ok
                await other.commit(base, puts=[Pool(name="b")])
            return result

        tables.commit = commit_then_other
        tables.next_commits = [LOST]
        change = await store.commit(Configuration(), puts=[Pool(name="a")])
        return change, (await store.load()).ok

    change, loaded = _run(scenario)
    assert change.ok.version == 1
    assert sorted(pool.name for pool in loaded.all(Pool)) == ["a", "b"]


def test_commit_extra_check_prevents_the_change():
    async def scenario():
        tables = FakeTableService()
        await tables.commit(Transaction(puts=(Put("sheets", "applied", 1),)))
        extra = Transaction(checks=(Check("sheets", "applied", ABSENT),))
        result = await _store(tables).commit(Configuration(), puts=[Pool(name="a")], extra=extra)
        return result, tables.tables.get("configuration", "head")

    result, head = _run(scenario)
    assert result.error.reason is Reason.CONFLICT
    assert head is None
