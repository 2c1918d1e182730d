"""Numbered log events, listed in `docs/EVENTS.md`."""

import sys
from enum import Enum
from typing import Any

import structlog
from attrs import frozen

__all__ = ["Event", "EventLog", "configure_logging"]


@frozen
class _Definition:
    number: int
    level: str
    text: str


class Event(Enum):
    """All events; the number of an event is never reused for another meaning.

    Ranges of numbers: 1000 kernel, 1100 platform, 1200 configuration and freshness, 1300 peers,
    2000 gateway, 3000 dispatcher, 3500 jobs, 4000 controller, 5000 stand-ins,
    6000 entry role: lease, backend servers, jobs, runs, requests.
    """

    PROCESS_STARTED = _Definition(1001, "info", "process started")
    PROCESS_STOPPING = _Definition(1002, "info", "graceful stop began")
    PROCESS_STOPPED = _Definition(1003, "info", "process stopped")
    SERVICE_FAILED = _Definition(1004, "error", "unexpected error in a service")
    LIBRARY_MESSAGE = _Definition(1014, "warning", "warning or error logged by a library")
    PLATFORM_UNAVAILABLE = _Definition(1101, "warning", "platform call failed")
    PLATFORM_AVAILABLE = _Definition(1102, "info", "platform calls succeed again")
    CONFIGURATION_APPLIED = _Definition(1201, "info", "configuration version applied")
    CONFIGURATION_STALE = _Definition(
        1202, "warning", "configuration not confirmed within the freshness bound"
    )
    CONFIGURATION_FRESH = _Definition(1203, "info", "configuration confirmed again")
    CONFIGURATION_OLD_IGNORED = _Definition(
        1204, "info", "pushed configuration version is not newer, ignored"
    )
    MEMBER_REGISTERED = _Definition(1205, "info", "member registered in the configuration")
    PAUSE_DETECTED = _Definition(1206, "warning", "process was paused")
    MEMBER_FENCED = _Definition(1207, "warning", "member fenced or removed by others, stopping")
    MEMBER_REMOVED = _Definition(1208, "warning", "member removed because its VM no longer exists")
    ALLOTMENT_RECLAIMED = _Definition(
        1209, "info", "unused allotment of an ended dispatcher returned"
    )
    HISTORY_WRITE_FAILED = _Definition(1210, "warning", "decision records could not be written")
    PEER_CONNECTED = _Definition(1301, "info", "peer connected")
    PEER_LOST = _Definition(1302, "warning", "peer connection lost")
    PEER_REJECTED = _Definition(1303, "warning", "peer rejected")
    BAD_FRAME = _Definition(1304, "warning", "invalid frame received from peer")
    PEER_HANDLER_FAILED = _Definition(1305, "error", "handler of a peer's message failed")
    PEER_UNREACHABLE = _Definition(1306, "warning", "peer cannot be reached")
    PEER_STOPPING = _Definition(1307, "info", "peer is stopping and accepts no new work")
    REQUEST_REFUSED = _Definition(2001, "info", "caller's request refused")
    REQUEST_RETRIED = _Definition(
        2002, "info", "request not accepted by a dispatcher, next one is tried"
    )
    REQUEST_CANCELLED = _Definition(2003, "info", "caller disconnected, request cancelled")
    REQUEST_FAILED = _Definition(2004, "error", "unexpected error while a request was served")
    CHANGE_COMMITTED = _Definition(4001, "info", "configuration change committed")
    CHANGE_REFUSED = _Definition(4002, "info", "configuration change refused")
    OPERATOR_REJECTED = _Definition(4003, "warning", "operator request without the operator key")
    VM_DRAINED = _Definition(4005, "info", "VM drained, now in maintenance")
    VM_RESUMED = _Definition(4006, "info", "backend server accepts work again")
    VM_UNREACHABLE = _Definition(4007, "warning", "call to drain or resume a backend server failed")
    VM_NOT_BACK = _Definition(4020, "warning", "VM did not return from maintenance, marked failed")
    MAINTENANCE_LEFT = _Definition(
        4021, "info", "maintenance of a VM ended because the VM was changed by others"
    )
    OPERATOR_REQUEST_FAILED = _Definition(4004, "error", "operator request failed unexpectedly")
    JOB_ATTEMPT_STARTED = _Definition(3501, "info", "start of a job's attempt sent")
    JOB_ATTEMPT_ENDED = _Definition(3502, "info", "attempt of a job ended without a result")
    JOB_TASK_FINISHED = _Definition(3503, "info", "task of a job finished and its result is stored")
    JOB_TAKEN_OVER = _Definition(3504, "info", "job taken over")
    JOB_LET_GO = _Definition(
        3505, "info", "job released: leased by another member or already ended"
    )
    JOB_STORE_UNAVAILABLE = _Definition(3506, "warning", "writes of jobs to the store fail")
    JOB_STORE_AVAILABLE = _Definition(3507, "info", "writes of jobs to the store succeed again")
    JOB_STEP_FAILED = _Definition(3508, "error", "unexpected error in a step of the job runner")
    LOG_LINES_DROPPED = _Definition(1011, "warning", "log lines dropped")
    SETTINGS_RELOADED = _Definition(1012, "info", "settings file read again")
    SETTINGS_REJECTED = _Definition(
        1013, "warning", "settings file is invalid, old settings stay in force"
    )
    STORE_CALL_FAILED = _Definition(1110, "warning", "call to the store failed")
    STORE_REGAINED = _Definition(1111, "info", "store answers again")
    DOCUMENT_UNREADABLE = _Definition(1112, "warning", "row cannot be decoded, ignored")
    REGISTRATION_UNREADABLE = _Definition(
        1113, "warning", "registration cannot be decoded, ignored"
    )
    ROW_NOT_APPLIED = _Definition(1114, "error", "unexpected error while a row was applied")
    EVACUATION_CHANGED = _Definition(1220, "info", "data centre evacuated or in service again")
    WAVE_REQUESTED = _Definition(1221, "info", "maintenance wave requested")
    LEASE_TAKEN = _Definition(6001, "info", "lease of the fleet acquired")
    LEASE_NOT_TAKEN = _Definition(6002, "info", "lease of the fleet could not be acquired")
    LEASE_LOST = _Definition(6003, "warning", "lease of the fleet lost")
    LEASE_OFFERED = _Definition(6005, "info", "holder that lost the store offers its lease")
    LEASE_NOT_RELEASED = _Definition(6006, "warning", "lease of the fleet could not be released")
    LEASE_TTL_CHANGED = _Definition(6007, "info", "renewals state another time to live")
    LEASE_HOLDER_SEEN = _Definition(6004, "info", "lease of the fleet has another holder")
    SERVER_SEEN = _Definition(6101, "info", "backend server registered")
    SERVER_STATE = _Definition(6102, "info", "backend server changed its state")
    SERVER_GONE = _Definition(6103, "info", "backend server is no longer registered")
    SERVER_HELD = _Definition(
        6104, "info", "first heartbeat of this term answered by a backend server"
    )
    SERVER_UNREACHABLE = _Definition(6105, "warning", "backend server does not answer")
    SERVER_REBORN = _Definition(6106, "warning", "backend server restarted under the same id")
    SERVER_REPLACED = _Definition(6107, "warning", "another instance answers at the address")
    ORDER_FENCED = _Definition(
        6108, "warning", "order rejected, backend server has seen a higher term"
    )
    SERVER_LEASE_EXPIRED = _Definition(
        6110, "warning", "leases of the runs on a silent backend server have expired"
    )
    FLEET_KNOWN = _Definition(6109, "info", "no run of an earlier holder is unknown any more")
    JOB_KNOWN = _Definition(6201, "info", "submission of a job read")
    JOB_BEYOND_SHARE = _Definition(6207, "info", "job is beyond its organisation's share")
    JOB_CANCELLED = _Definition(6202, "info", "job cancelled, its runs are stopped")
    JOB_ENDED = _Definition(6203, "info", "outcome of a job is stored")
    JOBS_REMOVED = _Definition(
        6204, "info", "rows of jobs that ended long ago removed from the store"
    )
    ROWS_SHORTENED = _Definition(6205, "info", "rows of ended jobs shortened to their outcomes")
    PROGRESS_REFUSED = _Definition(
        6206, "error", "store refuses the progress of a job for good, the job fails"
    )
    START_SENT = _Definition(6301, "info", "start of a run ordered")
    STOP_SENT = _Definition(6302, "info", "stop of a run ordered")
    RUN_ENDED = _Definition(6303, "info", "run ended")
    RUN_LOST = _Definition(6304, "warning", "run lost, no end was reported")
    RUN_ADOPTED = _Definition(6305, "info", "run of an earlier order adopted")
    RUN_UNKNOWN = _Definition(6306, "warning", "run belongs to no open job, it is stopped")
    RUN_RELOCATED = _Definition(
        6307, "info", "long-running task moves off a VM with pending maintenance"
    )
    ADVICE_RECEIVED = _Definition(6308, "info", "placement advisor answered for a step")
    PACE_SENT = _Definition(6309, "info", "speed of a best-effort task ordered")
    TASK_WAITS = _Definition(6320, "info", "task or gang waits for capacity")
    END_HELD = _Definition(6311, "info", "end of a run held back, another run could still start")
    COPY_PLANNED = _Definition(6310, "info", "speculative copy of a slow run planned")
    VM_CALL_FAILED = _Definition(6501, "warning", "call to the platform's VM interface failed")
    VM_EMPTIED = _Definition(6502, "info", "draining of a VM for its maintenance began")
    DUTY_ORDERED = _Definition(6503, "info", "move or maintenance of a VM ordered")
    WAVE_STATE = _Definition(6504, "info", "status of a maintenance wave written")
    REQUEST_ANSWERED = _Definition(6401, "info", "caller's request answered")
    REQUEST_STORE_FAILED = _Definition(6402, "warning", "store call for a caller's request failed")
    REQUEST_FORWARDED = _Definition(
        6403, "warning", "caller's request forwarded because the store is unavailable"
    )
    REQUEST_UNREADABLE = _Definition(6404, "warning", "request is not valid HTTP")
    JOB_REFUSED = _Definition(6405, "info", "job refused because its pool is overloaded")
    CLIENTS_LIMITED = _Definition(6406, "warning", "connections of clients closed or not accepted")
    STANDIN_LISTENING = _Definition(5001, "info", "stand-in is listening")

    @property
    def number(self) -> int:
        """Return the number of the event in the catalogue."""
        return self.value.number

    @property
    def level(self) -> str:
        """Return the severity: ``info``, ``warning`` or ``error``."""
        return self.value.level

    @property
    def text(self) -> str:
        """Return the fixed text of the event."""
        return self.value.text


class EventLog:
    """Writer of numbered events as structured log lines.

    Parameters
    ----------
    fields
        Fields added to every line, such as the role and the member's name.
    """

    def __init__(self, **fields: Any) -> None:
        self._logger = structlog.get_logger().bind(**fields)

    def emit(self, event: Event, **fields: Any) -> None:
        """Write one event with its fields, which must not contain secrets."""
        write = getattr(self._logger, event.level)
        write(event.text, number=event.number, code=event.name.lower(), **fields)


def configure_logging(log_format: str, level: str = "info") -> None:
    """Send the log of the process to standard error.

    Parameters
    ----------
    log_format
        Format of the log: ``json`` or ``console``.
    level
        Minimum severity of the written events.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
