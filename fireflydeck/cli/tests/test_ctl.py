"""Tests of the operators' client: output, exit codes and lost answers.

A command must take effect exactly once, also if its answer is lost and it is sent again.
"""

import json

import anyio
import fire
import pytest

from fireflydeck.cli.ctl import run_ctl
from fireflydeck.cli.ctl_client import ExitCode
from fireflydeck.cli.ctl_tables import TABLE_WIDTH
from fireflydeck.cli.tests.controllers import Fault, make_site
from fireflydeck.core import DataCentre, Organisation, Pool, Vm, VmState


def run(site, line, **options):
    """Run a command line and return its exit code."""
    try:
        fire.Fire(site.ctl(**options), command=line.split(), name="ctl")
    except SystemExit as error:
        return error.code
    return 0


def load_configuration(site):
    return anyio.run(site.load)


COMMANDS = [
    ("pool set paint --max-unavailable=2 --spare", lambda c: c.get(Pool, "paint").spare),
    ("pool set 2024 --spare=no", lambda c: not c.get(Pool, "2024").spare),
    ("pool remove spare", lambda c: c.get(Pool, "spare") is None),
    (
        "organisation set museum --limit=7 --if-version=2",
        lambda c: c.get(Organisation, "museum").limit == 7,
    ),
    ("vm set vm-1 --rack=7", lambda c: c.get(Vm, "vm-1").rack == "7"),
    ("vm drain vm-1", lambda c: c.get(Vm, "vm-1").state is VmState.DRAINING),
    ("vm fail vm-1", lambda c: c.get(Vm, "vm-1").state is VmState.FAILED),
    ("data-centre out dc-1", lambda c: not c.get(DataCentre, "dc-1").in_service),
]
# Faults of the successive requests, and the number of requests that the command sends.
FAULTS = [
    ([Fault.NOT_SENT], 1),
    ([Fault.LOST_BEFORE_EFFECT], 2),
    ([Fault.LOST_AFTER_EFFECT], 1),
    ([Fault.GARBAGE_AFTER_EFFECT], 1),
    ([Fault.LOST_BEFORE_EFFECT, Fault.LOST_AFTER_EFFECT], 2),
    ([Fault.LATE_EFFECT], 2),
]


@pytest.mark.parametrize(("line", "is_done"), COMMANDS)
def test_command_takes_effect_once(line, is_done):
    site = make_site()
    before = load_configuration(site).version
    assert run(site, line) == ExitCode.OK
    assert is_done(load_configuration(site))
    assert load_configuration(site).version == before + 1


@pytest.mark.parametrize(("faults", "expected_changes"), FAULTS)
@pytest.mark.parametrize(("line", "is_done"), COMMANDS)
def test_command_with_lost_answers_takes_effect_once(line, is_done, faults, expected_changes):
    site = make_site()
    before = load_configuration(site).version
    site.first.next_faults = list(faults)
    assert run(site, line) == ExitCode.OK
    assert is_done(load_configuration(site))
    assert load_configuration(site).version == before + 1
    assert site.sent_changes == expected_changes


@pytest.mark.parametrize(
    ("line", "code"),
    [
        ("pool set paint --colour=red", ExitCode.USAGE),
        ("pool set paint --max-unavailable=many", ExitCode.USAGE),
        ("pool set records --if-version=x", ExitCode.USAGE),
        ("pool paint", ExitCode.USAGE),
        ("pool set", ExitCode.USAGE),
        ("sheet apply /nowhere", ExitCode.USAGE),
        ("pool set records --max-unavailable=-1", ExitCode.REFUSED),
        ("pool remove records", ExitCode.REFUSED),
        ("pool show none", ExitCode.REFUSED),
        ("key grant none", ExitCode.REFUSED),
        ("key withdraw museum 0123456789ab", ExitCode.REFUSED),
        ("vm move none spare", ExitCode.REFUSED),
        ("explain colour x", ExitCode.REFUSED),
        ("pool set records --spare --if-version=77", ExitCode.CONFLICT),
        ("pool set records --spare --if-version=0", ExitCode.CONFLICT),
    ],
)
def test_refused_command_changes_nothing(line, code, capsys):
    site = make_site()
    before = load_configuration(site).version
    assert run(site, line) == code
    assert load_configuration(site).version == before
    assert "Traceback" not in capsys.readouterr().err


def test_next_controller_is_used_when_the_first_is_down():
    site = make_site()
    site.first.down = True
    assert run(site, "vm drain vm-1") == ExitCode.OK
    assert run(site, "pool list") == ExitCode.OK
    site.second.down = True
    assert run(site, "vm return vm-1") == ExitCode.UNREACHABLE
    assert run(site, "pool list") == ExitCode.UNREACHABLE


def test_wrong_operator_key_is_refused():
    assert run(make_site(), "pool list", key="wrong") == ExitCode.REFUSED


def test_command_during_a_store_outage_reports_unreachable():
    site = make_site()
    site.tables.outage = True
    assert run(site, "vm drain vm-1") == ExitCode.UNREACHABLE


def test_outcome_is_unknown_when_it_cannot_be_read_back():
    site = make_site()

    async def case():
        client = site.ctl_client()
        site.first.next_faults = [Fault.LOST_AFTER_EFFECT]
        entity = client.entity
        reads = []

        async def entity_then_outage(key):
            reads.append(key)
            site.tables.outage = len(reads) > 1
            return await entity(key)

        client.entity = entity_then_outage
        return client

    client = anyio.run(case)
    ctl = site.ctl()
    ctl.vm._client = client
    with pytest.raises(SystemExit) as stop:
        ctl.vm.fail("vm-1")
    assert stop.value.code == ExitCode.UNKNOWN


def test_change_with_lost_answer_that_another_operator_undid_is_not_repeated():
    site = make_site()
    site.first.next_faults = [Fault.LOST_AFTER_EFFECT]
    client = site.ctl_client()
    resolve = client._resolve_change

    async def resolve_after_other_operator(change, version):
        await site.client.post("/vms/vm-1/return")
        return await resolve(change, version)

    client._resolve_change = resolve_after_other_operator
    ctl = site.ctl()
    ctl.vm._client = client
    with pytest.raises(SystemExit) as stop:
        ctl.vm.drain("vm-1")
    assert stop.value.code == ExitCode.UNKNOWN
    assert load_configuration(site).get(Vm, "vm-1").state is VmState.IN_SERVICE
    assert site.sent_changes == 1


# Keys


def test_key_is_granted_and_withdrawn(capsys):
    site = make_site()
    assert run(site, "key grant museum", as_json=True) == ExitCode.OK
    key_id = json.loads(capsys.readouterr().out)["key_id"]
    site.first.next_faults = [Fault.LOST_AFTER_EFFECT]
    assert run(site, f"key withdraw museum {key_id}") == ExitCode.OK
    assert load_configuration(site).get(Organisation, "museum").key_hashes == ()


@pytest.mark.parametrize("fault", [Fault.LOST_AFTER_EFFECT, Fault.LATE_EFFECT])
def test_grant_with_lost_answer_names_the_one_key_to_withdraw(fault, capsys):
    site = make_site()
    site.first.next_faults = [fault]
    assert run(site, "key grant museum") == ExitCode.UNKNOWN
    (key_hash,) = load_configuration(site).get(Organisation, "museum").key_hashes
    assert key_hash[:12] in capsys.readouterr().err


# Sheets


@pytest.mark.parametrize(("faults", "expected_changes"), [([], 1), *FAULTS])
def test_sheet_is_exported_changed_and_applied_once(faults, expected_changes, tmp_path, capsys):
    site = make_site()
    file = tmp_path / "day.csv"
    assert run(site, f"sheet export {file}") == ExitCode.OK
    file.write_text(
        file.read_text().replace(
            "organisation,museum,,,,,,,,2,10", "organisation,museum,,,,,,,,3,9"
        )
    )
    assert run(site, f"sheet check {file}") == ExitCode.OK
    assert run(site, f"sheet plan {file}") == ExitCode.OK
    assert "share, limit" in capsys.readouterr().out
    before = load_configuration(site).version
    site.first.next_faults = list(faults)
    assert run(site, f"sheet apply {file}") == ExitCode.OK
    organisation = load_configuration(site).get(Organisation, "museum")
    assert (organisation.share, organisation.limit) == (3, 9)
    assert load_configuration(site).version == before + 1
    assert site.sent_changes == expected_changes


def test_invalid_rows_of_a_sheet_are_reported(tmp_path, capsys):
    site = make_site()
    file = tmp_path / "day.csv"
    file.write_text(
        "# fireflydeck sheet, configuration 2\n"
        "kind,name,share\norganisation,a,0\norganisation,b,x\n"
    )
    assert run(site, f"sheet check {file}") == ExitCode.REFUSED
    assert run(site, f"sheet apply {file}") == ExitCode.REFUSED
    assert "a whole number" in capsys.readouterr().err


# Output


@pytest.mark.parametrize(
    "line",
    [
        "state",
        "vm list",
        "vm show vm-1",
        "organisation list",
        "data-centre list",
        "explain vm vm-1",
    ],
)
def test_output_fits_the_terminal_and_json_is_json(line, capsys):
    site = make_site()
    assert run(site, line) == ExitCode.OK
    shown = capsys.readouterr().out
    assert max(len(text) for text in shown.splitlines()) <= TABLE_WIDTH
    assert run(site, line, as_json=True) == ExitCode.OK
    assert isinstance(json.loads(capsys.readouterr().out), dict)


def test_run_ctl_reports_missing_settings(capsys):
    with pytest.raises(SystemExit) as stop:
        run_ctl(["pool", "list"], {})
    assert stop.value.code == ExitCode.USAGE
    run_ctl(["--help"], {})
    assert "exit codes" in capsys.readouterr().out
    run_ctl(["maintenance-window", "set", "--help"], {})
    assert "--start: a time in UTC" in capsys.readouterr().out


def test_state_counts_vms_of_data_centres_out_of_service(capsys):
    site = make_site()
    run(site, "vm drain vm-1")
    run(site, "data-centre out dc-1")
    capsys.readouterr()
    run(site, "state")
    (row,) = [line for line in capsys.readouterr().out.splitlines() if line.startswith("records")]
    # vm-1 drains in dc-2; vm-2 and vm-4 are in dc-1.
    assert row.split() == ["records", "4", "3", "1", "0", "0", "3", "1", "no"]


def test_run_ctl_accepts_flags_anywhere(capsys):
    environ = {"FIREFLYDECK_OPERATOR_KEY": "x" * 20}
    with pytest.raises(SystemExit) as stop:
        run_ctl(["pool", "list", "--controllers", "127.0.0.1:1", "--json"], environ)
    assert stop.value.code == ExitCode.UNREACHABLE
    assert json.loads(capsys.readouterr().out)["exit_code"] == ExitCode.UNREACHABLE
