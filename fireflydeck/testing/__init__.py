"""Test-data builders, a manually advanced clock and in-memory fakes of the platform."""

from fireflydeck.testing.builders import build_configuration, build_request, build_vm
from fireflydeck.testing.clock import FakeClock
from fireflydeck.testing.fakes import FakeObjectStore, FakeTableService, FakeVmList, StoreFault

__all__ = [
    "FakeClock",
    "FakeObjectStore",
    "FakeTableService",
    "FakeVmList",
    "StoreFault",
    "build_configuration",
    "build_request",
    "build_vm",
]
