"""The entry role: one process on each entry VM, configured by its settings file."""

import sys
from resource import RLIMIT_NOFILE, getrlimit

import anyio
from attrs import frozen

from fireflydeck.core import SystemClock
from fireflydeck.core.fleet_configuration import RequestLimits
from fireflydeck.core.placement import Registration
from fireflydeck.entry.caller_interface import CallerInterface
from fireflydeck.entry.client_budget import ClientBudget
from fireflydeck.entry.client_limits import ClientLimits, ClientLimitsError, derive_limits
from fireflydeck.entry.intake import Intake
from fireflydeck.entry.job_requests import JobRequests
from fireflydeck.entry.peer_link import EntryPeerLink
from fireflydeck.entry.refusals import RefusalRows
from fireflydeck.entry.request_log import RequestLog
from fireflydeck.entry.server import CallerServer, StatusServer
from fireflydeck.entry.settings_watch import SettingsWatch
from fireflydeck.entry.succession_link import SuccessionLink
from fireflydeck.kernel import Kernel, dump_state, forward_library_log
from fireflydeck.kernel.log_sink import configure_bounded_logging
from fireflydeck.observation.operator_documents import OperatorDocuments
from fireflydeck.observation.store_silence import MonitoredRowStore, StoreProbe, StoreSilence
from fireflydeck.ownership.candidacy import candidate_delay_ms
from fireflydeck.ownership.lease import LeaseKeeper
from fireflydeck.ownership.records import LEASE_ROW
from fireflydeck.platform.advisor_client import AdvisorClient
from fireflydeck.platform.backend_server_client import BackendServerClient
from fireflydeck.platform.node_settings import (
    NodeSettings,
    NodeSettingsError,
    load_node_settings,
    settings_path,
)
from fireflydeck.platform.store import PlatformStore
from fireflydeck.platform.vm_client import VmClient
from fireflydeck.scheduling.scheduler import Scheduler
from fireflydeck.scheduling.vm_fleet import VmOperationTimes

__all__ = ["run_entry"]

_EXIT_CODE_BAD_SETTINGS = 2


@frozen
class _PlanningOptions:
    """Options of the planner of starts; see `run_entry`."""

    reservations: int
    speculative_copies: bool


class _PlatformClients:
    """Clients of the platform's interfaces; they are closed after the services that use them."""

    def __init__(self, settings: NodeSettings) -> None:
        self.store = PlatformStore(settings.store_address)
        self.vm_orders = VmClient(settings.vm_api_address, settings.name)
        self.advisor = AdvisorClient(settings.advisor_address)

    async def close(self) -> None:
        """Close all connections."""
        for client in (self.store, self.vm_orders, self.advisor):
            await client.close()


def run_entry(
    metrics_port: int, reservations: int = 0, *, speculative_copies: bool = False
) -> None:
    """Run the entry role until SIGTERM.

    Parameters
    ----------
    metrics_port
        Port of ``/metrics`` on the VM's address.
    reservations
        Number of waiting tasks and gangs of a pool for which capacity is reserved; 0 for none.
    speculative_copies
        Whether slow tasks of speculative steps get copies.
    """
    planning = _PlanningOptions(reservations, speculative_copies)
    if type(reservations) is not int or reservations < 0:
        print("fireflydeck entry: --reservations must be 0 or more", file=sys.stderr)
        sys.exit(_EXIT_CODE_BAD_SETTINGS)
    if type(speculative_copies) is not bool:
        print("fireflydeck entry: --speculative_copies must be True or False", file=sys.stderr)
        sys.exit(_EXIT_CODE_BAD_SETTINGS)
    path = settings_path()
    try:
        settings = load_node_settings(path)
        limits = _client_limits(settings)
    except (NodeSettingsError, ClientLimitsError) as error:
        print(f"fireflydeck entry: {error}", file=sys.stderr)
        sys.exit(_EXIT_CODE_BAD_SETTINGS)
    sink = configure_bounded_logging()
    clients = _PlatformClients(settings)
    kernel = _build_kernel(settings, limits, metrics_port, clients, planning)
    forward_library_log(kernel.log)
    kernel.add(SettingsWatch(path, settings, kernel.clock, kernel.log))
    kernel.add(sink)
    anyio.run(_run, kernel, clients)
    sink.flush_lines()


async def _run(kernel: Kernel, clients: _PlatformClients) -> None:
    try:
        await kernel.run_with_signals()
    finally:
        await clients.close()


def _client_limits(settings: NodeSettings) -> ClientLimits:
    """Return the limits on clients for this machine.

    Raises
    ------
    ClientLimitsError
        If the settings contradict each other.
    """
    return derive_limits(
        machine_memory_mb=settings.memory_mb,
        max_descriptors=getrlimit(RLIMIT_NOFILE)[0],
        max_body_bytes=RequestLimits().max_body_bytes,
        memory_mb=settings.client_memory_mb,
        caller_connections=settings.client_connections,
    )


def _build_kernel(
    settings: NodeSettings,
    limits: ClientLimits,
    metrics_port: int,
    clients: _PlatformClients,
    planning: _PlanningOptions,
) -> Kernel:
    kernel = Kernel(settings.name, "entry", SystemClock())
    clock, log, metrics = kernel.clock, kernel.log, kernel.metrics
    silence = StoreSilence(clock)
    store = MonitoredRowStore(clients.store, silence, clock)
    budget = ClientBudget(limits, log, metrics)
    operators = OperatorDocuments(store, clock, log)
    link_address = f"{settings.ip}:{settings.internal_ports[0]}"
    lease = LeaseKeeper(
        store,
        clock,
        log,
        name=settings.name,
        address=link_address,
        candidate_delay_ms=candidate_delay_ms(settings.cores, settings.link_mbps),
    )
    link = EntryPeerLink(link_address, clock, budget)
    request_log = RequestLog(operators, log, metrics)
    refusals = RefusalRows(store, clock, log, metrics, writer=settings.name)
    job_requests = JobRequests(
        operators=operators,
        lease=lease,
        state_source=link,
        intake=Intake(store, clock, link, silence, state_source=link, refusals=refusals),
        clock=clock,
        request_log=request_log,
    )
    interface = CallerInterface(
        operators=operators,
        job_requests=job_requests,
        forwarder=link,
        clock=clock,
        request_log=request_log,
    )
    link.set_request_handler(interface.answer)
    lease.set_successors(SuccessionLink(link, lease))
    kernel.add(operators)
    kernel.add(StoreProbe(store, silence, clock, log, key=LEASE_ROW))
    times = VmOperationTimes(
        order_lease_ms=settings.bounds.vm_order_lease_ms,
        migration_ms=settings.bounds.migration_ms,
        maintenance_ms=settings.bounds.maintenance_ms,
    )
    kernel.add(
        Scheduler(
            store=store,
            clock=clock,
            log=log,
            metrics=metrics,
            make_orders=_make_backend_server_client,
            vm_orders=clients.vm_orders,
            advisor=clients.advisor,
            vm_operation_times=times,
            status_ms=settings.bounds.outcome_retention_ms,
            reservations=planning.reservations,
            speculative_copies=planning.speculative_copies,
        )
    )
    kernel.add(refusals)
    kernel.add(link)
    kernel.add(
        StatusServer(
            readiness_address=settings.readiness_address,
            metrics_address=f"{settings.ip}:{metrics_port}",
            operators=operators,
            metrics=metrics,
            is_stopping=lambda: kernel.is_stopping,
            dump_state=lambda: dump_state(kernel),
            clients=budget,
            clock=clock,
            log=log,
        )
    )
    kernel.add(
        CallerServer(
            settings.caller_address,
            interface,
            operators=operators,
            clock=clock,
            log=log,
            request_log=request_log,
            clients=budget,
        )
    )
    kernel.add(lease)
    return kernel


def _make_backend_server_client(registration: Registration) -> BackendServerClient:
    return BackendServerClient(registration.server_id, registration.address)
