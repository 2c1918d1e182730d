"""Kernel of a process: services by name, start and stop, events, logs and metrics."""

from fireflydeck.kernel.events import Event, EventLog, configure_logging
from fireflydeck.kernel.kernel import Kernel
from fireflydeck.kernel.library_log import forward_library_log
from fireflydeck.kernel.metrics import Metrics
from fireflydeck.kernel.service import Registry, Service
from fireflydeck.kernel.state_dump import dump_state
from fireflydeck.kernel.store_health import StoreHealth, log_store_failure
from fireflydeck.kernel.supervision import keep_running, run_and_log_error

__all__ = [
    "Event",
    "EventLog",
    "Kernel",
    "Metrics",
    "Registry",
    "Service",
    "StoreHealth",
    "configure_logging",
    "dump_state",
    "forward_library_log",
    "keep_running",
    "log_store_failure",
    "run_and_log_error",
]
