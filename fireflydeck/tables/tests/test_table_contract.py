"""Contract of `TableService`, against the fake and the HTTP client with its stand-in."""

import anyio
import pytest

from fireflydeck.core import Ran, Reason
from fireflydeck.tables import ABSENT, Check, Delete, Put, Transaction
from fireflydeck.tables.tests.drivers import open_driver

pytestmark = pytest.mark.anyio

IMPLEMENTATIONS = ("fake", "http")
KEYS = ("a", "a/b:c", "a/d", "b", "..", "x y", "é?#%2F+&", "/lead", "trail/")


@pytest.fixture(params=IMPLEMENTATIONS)
def kind(request):
    return request.param


def put(*keys, table="t", value=1):
    return Transaction(puts=tuple(Put(table, key, value) for key in keys))


async def commit(service, transaction):
    outcome = await service.commit(transaction)
    assert outcome.is_ok(), outcome.error


async def version_of(service, key):
    row = (await service.get("t", key)).ok
    return row.version if row else ABSENT


async def test_get_returns_what_was_put(kind):
    async with open_driver(kind) as driver:
        values = [None, True, 7, "é", [], {"nested": [{"a": 1.5}]}]
        for number, value in enumerate(values):
            await commit(driver.service, put(str(number), value=value))
        rows = [(await driver.service.get("t", str(number))).ok for number in range(len(values))]
        assert [row.value for row in rows] == values
        assert all(row.version > ABSENT and row.table == "t" for row in rows)


async def test_get_of_an_absent_row(kind):
    async with open_driver(kind) as driver:
        assert (await driver.service.get("t", "none")).ok is None


@pytest.mark.parametrize("key", KEYS)
async def test_get_distinguishes_similar_keys(kind, key):
    async with open_driver(kind) as driver:
        for other in KEYS:
            await commit(driver.service, put(other, value=other))
        row = (await driver.service.get("t", key)).ok
        assert (row.key, row.value) == (key, key)


SCANS = [
    ({}, ["a", "a/1", "a/2", "a/3", "b", "é"]),
    ({"prefix": "a/"}, ["a/1", "a/2", "a/3"]),
    ({"prefix": "none"}, []),
    ({"after": "a/1"}, ["a/2", "a/3", "b", "é"]),
    ({"after": "a/15"}, ["a/2", "a/3", "b", "é"]),
    ({"prefix": "a/", "after": "a/1"}, ["a/2", "a/3"]),
    ({"prefix": "a/", "after": "b"}, []),
    ({"prefix": "b", "after": "a"}, ["b"]),
    ({"limit": 2}, ["a", "a/1"]),
    ({"limit": 0}, []),
    ({"prefix": "a/", "after": "a/1", "limit": 1}, ["a/2"]),
]


@pytest.mark.parametrize(("query", "expected"), SCANS)
async def test_scan(kind, query, expected):
    async with open_driver(kind) as driver:
        await commit(driver.service, put("é", "b", "a/3", "a/1", "a", "a/2", "gone"))
        await commit(driver.service, Transaction(deletes=(Delete("t", "gone"),)))
        await commit(driver.service, put("other", table="u"))
        rows = (await driver.service.scan("t", **query)).ok
        assert [row.key for row in rows] == expected


async def test_scan_of_an_unknown_table(kind):
    async with open_driver(kind) as driver:
        assert (await driver.service.scan("none")).ok == ()


async def test_commit_increases_the_version(kind):
    async with open_driver(kind) as driver:
        versions = []
        for _ in range(3):
            await commit(driver.service, put("a"))
            versions.append(await version_of(driver.service, "a"))
        assert versions == sorted(set(versions))


async def test_commit_of_a_row_deleted_and_put_again_has_a_new_version(kind):
    async with open_driver(kind) as driver:
        await commit(driver.service, put("a"))
        before = await version_of(driver.service, "a")
        await commit(driver.service, Transaction(deletes=(Delete("t", "a"),)))
        assert await version_of(driver.service, "a") == ABSENT
        await commit(driver.service, put("a"))
        assert await version_of(driver.service, "a") > before


async def test_commit_of_an_empty_transaction(kind):
    async with open_driver(kind) as driver:
        await commit(driver.service, Transaction())


async def test_commit_with_checks_that_hold(kind):
    async with open_driver(kind) as driver:
        await commit(driver.service, put("a"))
        checks = (
            Check("t", "a", await version_of(driver.service, "a")),
            Check("t", "new", ABSENT),
        )
        await commit(driver.service, Transaction(checks=checks, puts=(Put("t", "new", 2),)))
        assert (await driver.service.get("t", "new")).ok.value == 2


OLD, CURRENT, UNUSED = "old", "current", 999_999
CONFLICTS = [
    ("row exists", {"a": ABSENT}, ["t/a"]),
    ("row changed", {"a": OLD}, ["t/a"]),
    ("version never assigned", {"a": UNUSED}, ["t/a"]),
    ("row absent", {"none": 1}, ["t/none"]),
    ("one of two", {"a": CURRENT, "b": ABSENT}, ["t/b"]),
    ("both", {"a": OLD, "b": ABSENT}, ["t/a", "t/b"]),
]


@pytest.mark.parametrize(("_name", "checks", "failed"), CONFLICTS)
async def test_commit_conflict(kind, _name, checks, failed):
    async with open_driver(kind) as driver:
        await commit(driver.service, put("a", "b"))
        old = await version_of(driver.service, "a")
        await commit(driver.service, put("a", value="kept"))
        versions = {OLD: old, CURRENT: await version_of(driver.service, "a")}
        transaction = Transaction(
            checks=tuple(Check("t", k, versions.get(v, v)) for k, v in checks.items()),
            puts=(Put("t", "a", "changed"), Put("t", "new", 1)),
            deletes=(Delete("t", "b"),),
        )
        failure = (await driver.service.commit(transaction)).error
        assert (failure.reason, failure.ran) == (Reason.CONFLICT, Ran.NO)
        assert failure.detail == ", ".join(failed)
        assert failure.step == "store.commit"
        assert driver.tables.get("t", "a").value == "kept"
        assert driver.tables.get("t", "b") is not None
        assert driver.tables.get("t", "new") is None


async def test_only_one_of_several_concurrent_commits_succeeds(kind):
    async with open_driver(kind) as driver:
        outcomes = []

        async def claim(name):
            claim = Transaction(checks=(Check("t", "a", ABSENT),), puts=(Put("t", "a", name),))
            outcomes.append((name, await driver.service.commit(claim)))

        async with anyio.create_task_group() as tasks:
            for number in range(10):
                tasks.start_soon(claim, number)
        winners = [name for name, outcome in outcomes if outcome.is_ok()]
        assert [driver.tables.get("t", "a").value] == winners


UNAVAILABLE, LIMITED = Reason.STORE_UNAVAILABLE, Reason.TOO_MANY_REQUESTS
FAULTS = {
    "outage": (UNAVAILABLE, Ran.NO, False),
    "connection refused": (UNAVAILABLE, Ran.NO, False),
    "rate limit": (LIMITED, Ran.NO, False),
    "lost answer": (UNAVAILABLE, Ran.UNKNOWN, True),
    "slow answer": (UNAVAILABLE, Ran.UNKNOWN, True),
    "malformed answer": (UNAVAILABLE, Ran.UNKNOWN, True),
}
NETWORK_FAULTS = {
    "answer dropped": (UNAVAILABLE, Ran.UNKNOWN, True),
    "answer truncated": (UNAVAILABLE, Ran.UNKNOWN, True),
    "network frozen": (UNAVAILABLE, Ran.UNKNOWN, True),
}
CASES = [("fake", fault) for fault in FAULTS] + [("http", f) for f in FAULTS | NETWORK_FAULTS]
READ_CASES = [case for case in CASES if case[1] != "lost answer"]


@pytest.mark.parametrize(("kind", "fault"), CASES)
async def test_commit_under_fault(kind, fault):
    reason, ran, is_applied = (FAULTS | NETWORK_FAULTS)[fault]
    async with open_driver(kind) as driver:
        await driver.inject_fault(fault)
        failure = (await driver.service.commit(put("a"))).error
        await driver.remove_fault()
        assert (failure.reason, failure.ran, failure.step) == (reason, ran, "store.commit")
        assert (failure.retry_after_ms > 0) == (reason is LIMITED)
        assert failure.peer
        if is_applied:
            await _wait_for_row(driver)
        assert (driver.tables.get("t", "a") is not None) == is_applied


@pytest.mark.parametrize(("kind", "fault"), READ_CASES)
@pytest.mark.parametrize("call", ["get", "scan"])
async def test_read_under_fault(kind, fault, call):
    reason = (FAULTS | NETWORK_FAULTS)[fault][0]
    async with open_driver(kind) as driver:
        await driver.inject_fault(fault)
        read = driver.service.get("t", "a") if call == "get" else driver.service.scan("t")
        failure = (await read).error
        await driver.remove_fault()
        assert (failure.reason, failure.ran, failure.step) == (reason, Ran.NO, f"store.{call}")
        assert (failure.retry_after_ms > 0) == (reason is LIMITED)


@pytest.mark.parametrize("fault", ["connection refused", "answer dropped", "network frozen"])
async def test_service_recovers_after_fault(fault):
    async with open_driver("http") as driver:
        await commit(driver.service, put("a"))
        await driver.inject_fault(fault)
        assert (await driver.service.get("t", "a")).is_error()
        await driver.remove_fault()
        assert (await driver.service.get("t", "a")).ok.value == 1


async def _wait_for_row(driver):
    with anyio.fail_after(5):
        while driver.tables.get("t", "a") is None:
            await anyio.sleep(0.005)
