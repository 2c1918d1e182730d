"""Operator interface over HTTP, configuration changes, API keys, sheets and VM maintenance."""

from fireflydeck.controller.app import operator_app
from fireflydeck.controller.backend_control import (
    BackendControl,
    BackendStatus,
    HttpBackendControl,
)
from fireflydeck.controller.changes import CommittedEdit, ConfigurationService
from fireflydeck.controller.drains import DrainOptions, DrainService
from fireflydeck.controller.edit import Edit, EditBuilder, Refusal
from fireflydeck.controller.maintenance import MaintenanceOptions, MaintenanceService
from fireflydeck.controller.maintenance_windows import WindowService
from fireflydeck.controller.requests import OperatorOptions
from fireflydeck.controller.sheets import SheetService
from fireflydeck.controller.vm_maintenance import PlaceholderVmMaintenance, VmMaintenance

__all__ = [
    "BackendControl",
    "BackendStatus",
    "CommittedEdit",
    "ConfigurationService",
    "DrainOptions",
    "DrainService",
    "Edit",
    "EditBuilder",
    "HttpBackendControl",
    "MaintenanceOptions",
    "MaintenanceService",
    "OperatorOptions",
    "PlaceholderVmMaintenance",
    "Refusal",
    "SheetService",
    "VmMaintenance",
    "WindowService",
    "operator_app",
]
