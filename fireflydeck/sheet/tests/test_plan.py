from pathlib import Path

import anyio
import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflydeck.controller.sheets import SheetService
from fireflydeck.controller.tests.operator import OperatorSite, on_site
from fireflydeck.core import (
    ConfigurationChange,
    DataCentre,
    EntityKey,
    MaintenanceWindow,
    Organisation,
    Pool,
    Reason,
    Vm,
    VmState,
)
from fireflydeck.sheet import StepKind, export_sheet, parse_sheet, plan
from fireflydeck.tables import Delete, Transaction
from fireflydeck.testing import StoreFault, build_configuration, build_vm

EXAMPLES = Path(__file__).parents[3] / "examples"
HASH = "ab" * 32


def plan_steps(text, configuration, **options):
    result = plan(parse_sheet(text).ok, configuration, **options)
    assert result.problems == ()
    return {str(step.key): step.kind for step in result.steps}


def sheet(version, *rows):
    columns = "kind,name,remove,share,limit,pool,max_unavailable,slots"
    return "\n".join([f"# fireflydeck sheet, configuration {version}", columns, *rows])


def apply_change(configuration, *puts, removes=()):
    version = configuration.version + 1
    change = ConfigurationChange(version=version, change_id="", puts=puts, removes=removes)
    return configuration.apply(change)


def test_plan_has_a_step_for_each_row():
    base = build_configuration(Pool(name="old"), Pool(name="other"))
    text = sheet(
        1, "pool,new", "organisation,museum,,5", "pool,records,,,,,1", "pool,old,yes", "pool,x,yes"
    )
    assert plan_steps(text, base) == {
        "pool:new": StepKind.CREATE,
        "organisation:museum": StepKind.CHANGE,
        "pool:records": StepKind.KEEP,
        "pool:old": StepKind.REMOVE,
        "pool:x": StepKind.KEEP,
    }


@pytest.mark.parametrize(
    ("row", "change", "expected"),
    [
        (
            "organisation,museum,,5",
            Organisation(name="museum", share=3, limit=8),
            StepKind.CONFLICT,
        ),
        (
            "organisation,museum,yes",
            Organisation(name="museum", share=3, limit=8),
            StepKind.CONFLICT,
        ),
        ("organisation,museum,,3", Organisation(name="museum", share=3, limit=8), StepKind.KEEP),
        ("organisation,school,,3", Organisation(name="school", share=1), StepKind.CONFLICT),
        ("vm,vm-1,,,,,,8", build_vm(state=VmState.DRAINING), StepKind.KEEP),
    ],
)
def test_manual_change_after_the_export_is_not_undone(row, change, expected):
    base = apply_change(build_configuration(), change)
    assert list(plan_steps(sheet(1, row), base).values()) == [expected]


def test_manual_removal_after_the_export_is_not_undone():
    key = EntityKey("organisation", "museum")
    base = apply_change(build_configuration(), removes=(key,))
    text = sheet(1, "organisation,museum,,5")
    assert plan_steps(text, base, removed=frozenset({key})) == {
        "organisation:museum": StepKind.CONFLICT
    }


@pytest.mark.parametrize(("version", "applied"), [(1, 2), (9, 0)])
def test_sheet_of_an_older_or_unknown_version_is_refused(version, applied):
    result = plan(parse_sheet(sheet(version, "pool,new")).ok, build_configuration(), applied)
    assert [(problem.row, problem.value) for problem in result.problems] == [(1, str(version))]


def test_plan_reports_each_rule_violation_with_row_and_column():
    rows = [
        "organisation,a,,0",
        "organisation,b,,,-1",
        "queue,c,,,,none",
        "vm,d",
        "pool,records,yes",
    ]
    result = plan(parse_sheet(sheet(1, *rows)).ok, build_configuration())
    assert [(problem.row, problem.column) for problem in result.problems] == [
        (6, "pool"),
        (6, "data_centre"),
        (6, "address"),
    ]
    result = plan(parse_sheet(sheet(1, *rows[:2])).ok, build_configuration())
    assert [(problem.row, problem.column) for problem in result.problems] == [
        (3, "share"),
        (4, "limit"),
    ]
    result = plan(parse_sheet(sheet(1, rows[2], rows[4])).ok, build_configuration())
    assert [(problem.row, problem.column) for problem in result.problems] == [
        (3, "pool"),
        (4, "name"),
        (4, "name"),
    ]


def test_sheet_does_not_change_keys_and_states():
    base = build_configuration(
        Organisation(name="museum", share=2, limit=8, key_hashes=(HASH,)),
        build_vm(state=VmState.MAINTENANCE, maintained_ms=5),
        DataCentre(name="dc-1", in_service=False),
    )
    text = export_sheet(base)
    assert HASH not in text and "maintenance," not in text
    rows = text.replace("organisation,museum,,,,,,,,2,8", "organisation,museum,,,,,,,,4,8").replace(
        ",65536,", ",9,"
    )
    result = plan(parse_sheet(rows).ok, base)
    assert result.puts == (
        Organisation(name="museum", share=4, limit=8, key_hashes=(HASH,)),
        build_vm(state=VmState.MAINTENANCE, maintained_ms=5, memory_mb=9),
    )


NUMBERS = st.integers(0, 10**9)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    NUMBERS,
    NUMBERS,
    st.booleans(),
    st.text(st.characters(categories=["L", "N", "P", "S"]), max_size=9),
    st.integers(0, 4 * 10**12),
)
def test_exported_sheet_keeps_everything(share, limit, spare, region, start_ms):
    base = build_configuration(
        Organisation(name="museum", share=share, limit=limit),
        Pool(name="records", max_unavailable=limit, spare=spare),
        DataCentre(name="dc-1", region=region),
        MaintenanceWindow(name="w", data_centre="dc-1", start_ms=start_ms, end_ms=start_ms + 1),
    )
    parsed = parse_sheet(export_sheet(base)).ok
    assert {step.kind for step in plan(parsed, base).steps} == {StepKind.KEEP}


# Sheets applied to the store.


def test_apply_commits_one_change_and_is_idempotent():
    async def case(site):
        service = SheetService(site.service, site.tables)
        text = sheet(2, "pool,new", "organisation,museum,,5", "organisation,school,,1,4")
        applied = (await service.apply(text)).ok
        assert applied.version == 3
        assert (await service.apply(text)).ok.version == 3
        after = await site.load()
        assert after.get(Organisation, "museum").limit == 10
        assert site.tables.tables.get("allotments", "school").value["limit"] == 4
        assert (await service.plan(sheet(1, "pool,other"))).error.row_problems[0].row == 1

    on_site(case)


def test_apply_with_a_bad_row_changes_nothing():
    async def case(site):
        service = SheetService(site.service, site.tables)
        result = await service.apply(sheet(2, "pool,new", "organisation,museum,,0"))
        assert result.error.failure.reason is Reason.INVALID_CHANGE
        assert (await site.load()).version == 2
        assert site.tables.tables.get("sheets", "applied") is None

    on_site(case)


def test_apply_keeps_a_manual_removal():
    async def case(site):
        service = SheetService(site.service, site.tables)
        assert (await site.client.delete("/configuration/pool/spare")).status_code == 200
        applied = (await service.apply(sheet(2, "pool,spare,,,,,2", "pool,new"))).ok
        assert [str(step.key) for step in applied.plan.conflicts] == ["pool:spare"]
        assert (await site.load()).get(Pool, "spare") is None
        assert (await site.load()).get(Pool, "new") is not None

    on_site(case)


def test_manual_removal_during_the_apply_is_not_undone():
    async def case(site):
        service = SheetService(site.service, site.tables)
        commit = site.store.commit

        async def commit_after_removal(*arguments, **options):
            site.store.commit = commit
            assert (await site.connect(site.controller()).delete(path)).status_code == 200
            return await commit(*arguments, **options)

        path = "/configuration/pool/spare"
        site.store.commit = commit_after_removal
        applied = (await service.apply(sheet(2, "pool,spare,,,,,2"))).ok
        assert [str(step.key) for step in applied.plan.conflicts] == ["pool:spare"]
        assert (await site.load()).get(Pool, "spare") is None

    on_site(case)


def test_sheet_older_than_the_log_is_refused():
    async def case(site):
        service = SheetService(site.service, site.tables)
        trim = Transaction(deletes=(Delete("configuration_log", f"{1:012d}"),))
        assert (await site.tables.commit(trim)).is_ok()
        result = await service.apply(sheet(0, "pool,new"))
        assert "no longer known" in result.error.row_problems[0].allowed

    on_site(case)


def test_concurrent_apply_of_two_sheets_ends_with_the_newer_one():
    async def case(site):
        await site.client.put("/configuration/pool/extra", json={})
        results = {}

        async def apply(version):
            service = SheetService(site.controller(), site.tables)
            results[version] = await service.apply(sheet(version, f"pool,from-{version}"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(apply, 3)
            tasks.start_soon(apply, 2)
        after = await site.load()
        assert results[3].is_ok()
        assert site.tables.tables.get("sheets", "applied").value == {"sheet_version": 3}
        assert results[2].is_ok() == (after.get(Pool, "from-2") is not None)

    on_site(case)


@pytest.mark.parametrize("faults", [[StoreFault.ANSWER_LOST], [StoreFault.ANSWER_LOST] * 2])
def test_apply_with_lost_answers_takes_effect_once(faults):
    async def case(site):
        service = SheetService(site.service, site.tables)
        site.tables.next_commits = list(faults)
        assert (await service.apply(sheet(2, "pool,new"))).ok.version == 3
        assert (await site.load()).version == 3

    on_site(case)


# Example sheets.


@pytest.mark.parametrize(
    ("name", "data_centres", "vms_per_pool"), [("workshop", 3, 6), ("rota", 4, 8)]
)
def test_example_sheet_can_be_applied_to_an_empty_configuration(name, data_centres, vms_per_pool):
    async def case():
        site = OperatorSite()
        text = (EXAMPLES / f"{name}.csv").read_text(encoding="utf-8")
        result = await SheetService(site.service, site.tables).apply(text)
        assert result.is_ok(), result.error
        return await site.load()

    configuration = anyio.run(case)
    assert len(list(configuration.all(DataCentre))) == data_centres
    pools = list(configuration.all(Pool))
    assert len(pools) == 5 and sum(pool.spare for pool in pools) == 1
    assert {len(configuration.vms_in_pool(pool.name)) for pool in pools} == {vms_per_pool}
    assert len(list(configuration.all(Organisation))) == 6
    vms = [evolve(vm, name="", pool="", address="", rack="") for vm in configuration.all(Vm)]
    assert {vm.slots for vm in vms} == {8} and {vm.cores for vm in vms} == {32}
