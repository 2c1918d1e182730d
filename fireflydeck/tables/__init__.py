"""Interfaces and HTTP clients of the platform's table service, object store and VM list."""

from fireflydeck.tables.http_client import Timeouts
from fireflydeck.tables.http_objects import HttpObjectStore
from fireflydeck.tables.http_platform import Platform, open_platform
from fireflydeck.tables.http_tables import HttpTableService
from fireflydeck.tables.http_vm_list import HttpVmList
from fireflydeck.tables.interfaces import (
    ABSENT,
    Check,
    Delete,
    ListedVm,
    ObjectStore,
    Put,
    Row,
    TableService,
    Transaction,
    VmList,
)

__all__ = [
    "ABSENT",
    "Check",
    "Delete",
    "HttpObjectStore",
    "HttpTableService",
    "HttpVmList",
    "ListedVm",
    "ObjectStore",
    "Platform",
    "Put",
    "Row",
    "TableService",
    "Timeouts",
    "Transaction",
    "VmList",
    "open_platform",
]
