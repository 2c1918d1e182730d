"""Tests of `ctl maintenance status` with the operator interface."""

import json

import fire
import httpx

from fireflydeck.cli.ctl import Ctl
from fireflydeck.cli.ctl_client import ControllerClient
from fireflydeck.cli.tests.controllers import ADDRESSES, ControllerSite
from fireflydeck.controller import OperatorOptions, operator_app
from fireflydeck.controller.tests.operator import KEY
from fireflydeck.policy.maintenance_progress import PoolProgress

PROGRESS = PoolProgress(
    pool="records", vms=4, due=2, in_maintenance=1, expected_end_ms=1_800_000_000_000
)


def status(as_json=False):
    app = operator_app(
        ControllerSite().service, OperatorOptions(operator_key=KEY), progress=lambda: [PROGRESS]
    )
    transports = dict.fromkeys(ADDRESSES, httpx.ASGITransport(app))
    ctl = Ctl(ControllerClient(ADDRESSES, KEY, transports), as_json)
    fire.Fire(ctl, command=["maintenance", "status"], name="ctl")


def test_maintenance_status_shows_each_pool(capsys):
    status()
    head, line = capsys.readouterr().out.strip().splitlines()
    assert head.split() == ["POOL", "VMS", "DUE", "IN", "MAINTENANCE", "EXPECTED", "END"]
    assert line.split() == ["records", "4", "2", "1", "2027-01-15", "08:00Z"]


def test_maintenance_status_as_json(capsys):
    status(as_json=True)
    (pool,) = json.loads(capsys.readouterr().out)["pools"]
    assert (pool["due"], pool["expected_end_ms"]) == (2, PROGRESS.expected_end_ms)
