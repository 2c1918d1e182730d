"""Contract of the operator interface: store faults and races between operators."""

import anyio

from fireflydeck.controller.tests.operator import on_site
from fireflydeck.core import Pool, Vm, VmState
from fireflydeck.tables import Put, Transaction
from fireflydeck.testing import StoreFault

# Store faults.


def test_outage_is_reported_and_changes_nothing():
    async def case(site):
        site.tables.outage = True
        answer = await site.client.post("/vms/vm-1/drain")
        assert (answer.status_code, answer.json()["ran"]) == (503, "no")
        assert (await site.client.get("/configuration")).status_code == 503
        site.tables.outage = False
        assert (await site.load()).get(Vm, "vm-1").state is VmState.IN_SERVICE

    on_site(case)


def test_outage_shows_the_snapshot_as_not_fresh():
    async def case(site):
        site.snapshot = await site.load()
        client = site.connect(site.service)
        site.tables.outage = True
        shown = (await client.get("/configuration/pool")).json()
        assert not shown["fresh"]
        assert [entity["name"] for entity in shown["entities"]] == ["records", "spare"]

    on_site(case)


def test_lost_store_answer_is_resolved():
    async def case(site):
        site.tables.next_commits = [StoreFault.ANSWER_LOST]
        before = (await site.load()).version
        answer = await site.client.post("/vms/vm-1/drain")
        assert answer.json() == {"version": before + 1, "changed": True}
        assert len(site.published) == 2

    on_site(case)


def test_unresolved_store_answer_is_reported_as_unknown():
    async def case(site):
        site.tables.next_commits = [StoreFault.ANSWER_LOST] + [StoreFault.OUTAGE] * 10
        answer = await site.client.post("/vms/vm-1/drain")
        assert (answer.status_code, answer.json()["ran"]) == (503, "unknown")
        site.tables.next_commits = []
        assert (await site.load()).get(Vm, "vm-1").state is VmState.DRAINING

    on_site(case)


# Races between operators.


def test_changes_of_unrelated_entities_both_succeed():
    async def case(site):
        clients = [site.connect(site.controller()) for _ in range(4)]
        answers = []

        async def change(number, client):
            path = f"/configuration/pool/pool-{number}"
            answers.append(await client.put(path, json={"max_unavailable": number}))

        async with anyio.create_task_group() as tasks:
            for number, client in enumerate(clients):
                tasks.start_soon(change, number, client)
        assert [answer.status_code for answer in answers] == [200] * 4
        assert len(list((await site.load()).all(Pool))) == 6

    on_site(case)


def test_racing_drains_do_not_exceed_the_budget():
    async def case(site):
        answers = []

        async def drain(name, client):
            answers.append(await client.post(f"/vms/{name}/drain"))

        async with anyio.create_task_group() as tasks:
            for name in ("vm-1", "vm-2", "vm-3"):
                tasks.start_soon(drain, name, site.connect(site.controller()))
        assert sorted(answer.status_code for answer in answers) == [200, 409, 409]

    on_site(case)


def test_one_of_two_changes_of_the_same_version_succeeds():
    async def case(site):
        answers = []

        async def change(limit, client):
            headers = {"if-version": "2"}
            path = "/configuration/organisation/museum"
            answers.append(await client.put(path, json={"limit": limit}, headers=headers))

        async with anyio.create_task_group() as tasks:
            for limit in (20, 30):
                tasks.start_soon(change, limit, site.connect(site.controller()))
        assert sorted(answer.status_code for answer in answers) == [200, 409]
        conflict = next(answer for answer in answers if answer.status_code == 409).json()
        assert (conflict["entity"], conflict["entity_version"]) == ("organisation:museum", 3)

    on_site(case)


def test_allotment_row_written_in_between_is_not_lost():
    async def case(site):
        tables = site.tables
        commit = tables.commit

        async def commit_after_other_writer(transaction):
            if any(put.table == "allotments" for put in transaction.puts):
                tables.commit = commit
                await tables.commit(_grant(tables))
            return await commit(transaction)

        tables.commit = commit_after_other_writer
        answer = await site.client.put("/configuration/organisation/museum", json={"limit": 4})
        assert answer.status_code == 200
        value = tables.tables.get("allotments", "museum").value
        assert value == {"limit": 4, "grants": {"d-1": 2}, "wanted": {}}

    on_site(case)


def _grant(tables):
    value = {**tables.tables.get("allotments", "museum").value, "grants": {"d-1": 2}}
    return Transaction(puts=(Put("allotments", "museum", value),))
