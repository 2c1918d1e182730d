"""Construction of the controller process."""

from collections.abc import Mapping
from functools import partial
from typing import Any

import httpx

from fireflydeck.controller import (
    ConfigurationService,
    DrainOptions,
    DrainService,
    HttpBackendControl,
    MaintenanceOptions,
    MaintenanceService,
    OperatorOptions,
    PlaceholderVmMaintenance,
    WindowService,
    operator_app,
)
from fireflydeck.core import MemberRole
from fireflydeck.history import Explainer
from fireflydeck.policy.maintenance import MaintenanceLimits
from fireflydeck.recovery import AllotmentReaper, HttpRunningTasks, MemberReaper
from fireflydeck.roles.process import MemberView, Process, make_process
from fireflydeck.roles.recording import explain_as_rows
from fireflydeck.web import HttpServer, HttpServerOptions

__all__ = ["run_controller"]

_STATUS_TIMEOUT_S = 2.0
_DRAIN_MARGIN_MS = 1_000
_MS_PER_HOUR = 3_600_000


async def run_controller(settings: Mapping[str, Any]) -> None:
    """Run a controller until SIGTERM.

    Parameters
    ----------
    settings
        Validated settings of the role.
    """
    process = make_process(MemberRole.CONTROLLER, settings)
    kernel = process.kernel
    gate = process.make_gate()
    changes = ConfigurationService(gate, process.platform.tables, process.push, kernel.log)
    explainer = Explainer(process.platform.objects, process.store, kernel.clock)
    maintenance = _make_maintenance(process, changes)
    app = operator_app(
        changes,
        OperatorOptions(operator_key=settings["operator_key"]),
        explain=partial(explain_as_rows, explainer),
        snapshot=lambda: process.follower.current,
        log=kernel.log,
        progress=maintenance.progress,
    )
    server_options = HttpServerOptions(
        address=settings["listen"],
        certificate=settings["certificate"],
        private_key=settings["private_key"],
    )
    reaper = MemberReaper(
        store=gate,
        follower=process.follower,
        vm_list=process.platform.vm_list,
        attestor=process.attestor,
        clock=kernel.clock,
        log=kernel.log,
        member_name=process.member_name,
    )
    drains = DrainService(
        view=MemberView(process.follower, process.member_name),
        changes=changes,
        control=HttpBackendControl(),
        clock=kernel.clock,
        log=kernel.log,
        member_name=process.member_name,
        options=DrainOptions(propagation_ms=settings["freshness_bound_ms"] + _DRAIN_MARGIN_MS),
    )
    status_client = httpx.AsyncClient(timeout=_STATUS_TIMEOUT_S, trust_env=False)
    allotments = AllotmentReaper(
        view=MemberView(process.follower, process.member_name),
        tables=process.platform.tables,
        running_tasks=HttpRunningTasks(status_client),
        clock=kernel.clock,
        log=kernel.log,
    )
    windows = WindowService(
        view=MemberView(process.follower, process.member_name),
        changes=changes,
        clock=kernel.clock,
    )
    server = HttpServer("operators", app, server_options)
    for service in (changes, reaper, allotments, drains, maintenance, windows, server):
        kernel.add(service)
    await process.run()
    await status_client.aclose()


def _make_maintenance(process: Process, changes: ConfigurationService) -> MaintenanceService:
    interval_ms = process.settings["maintenance_interval_hours"] * _MS_PER_HOUR
    return MaintenanceService(
        view=MemberView(process.follower, process.member_name),
        changes=changes,
        control=HttpBackendControl(),
        platform=PlaceholderVmMaintenance(process.kernel.clock),
        clock=process.kernel.clock,
        log=process.kernel.log,
        member_name=process.member_name,
        options=MaintenanceOptions(limits=MaintenanceLimits(interval_ms=interval_ms)),
    )
