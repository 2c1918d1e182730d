"""Notes on all numbered events, and the page `docs/EVENTS.md` rendered from them."""

from collections.abc import Mapping

from fireflydeck.kernel.entry_event_notes import ENTRY_EVENT_NOTES
from fireflydeck.kernel.event_note import EventNote
from fireflydeck.kernel.events import Event

__all__ = ["EVENT_NOTES", "render_events_page"]


_READ_STORE_OUTAGE = "Read operators/store-outage.md if it lasts longer than a few seconds."
_CHECK_PEER = "Check whether the peer runs and can be reached; see operators/member-cut-off.md."
_REPORT = "Report it with the log line and the state dump; it is a fault of the program."

EVENT_NOTES: Mapping[int, EventNote] = {
    1001: EventNote(trigger="All services of the process have started.", fields=("services",)),
    1002: EventNote(
        trigger="SIGTERM or SIGINT arrived, or the process was fenced; the graceful stop begins."
    ),
    1003: EventNote(trigger="All services have stopped; the process ends."),
    1004: EventNote(
        trigger="An unexpected error ended a loop or an order; a loop is started again.",
        action=_REPORT,
        fields=("step", "error", "trace"),
    ),
    1101: EventNote(trigger="Reserved for a failed platform call.", reserved=True),
    1102: EventNote(
        trigger="Reserved for the first platform call that succeeds again.", reserved=True
    ),
    1201: EventNote(trigger="This process applied a configuration version.", fields=("version",)),
    1202: EventNote(
        trigger="Neither the store nor the controllers confirmed the configuration within the "
        "freshness bound; requests with a key are refused as `stale-configuration` until one does.",
        action="See `attestation` and `configuration` in the state dump: the store, or the "
        "controller that `last_failure` names, does not answer.",
        fields=("version",),
    ),
    1203: EventNote(
        trigger="The configuration was confirmed within the freshness bound again.",
        fields=("version",),
    ),
    1204: EventNote(
        trigger="A pushed configuration version was the one in force (`current`) or older.",
        fields=("version", "current"),
    ),
    1205: EventNote(
        trigger="This process is a member of the fleet from this configuration version on.",
        fields=("version",),
    ),
    1206: EventNote(trigger="Reserved for a detected pause of the process.", reserved=True),
    1207: EventNote(
        trigger="This process is fenced or removed in the configuration and begins a graceful "
        "stop.",
        action="Find out why others removed it (1208 in a controller's log); the init system of "
        "the VM starts it again under a new name.",
        fields=("version",),
    ),
    1208: EventNote(
        trigger="A member was removed: its VM was missing from the VM list in several consecutive "
        "readings and the member did not answer.",
        action="Nothing if the VM was removed on purpose; otherwise start another one.",
        fields=("member", "vm"),
    ),
    1209: EventNote(
        trigger="An ended dispatcher had a larger part of an organisation's limit than its running "
        "tasks need; the difference (`tasks`) was returned.",
        fields=("organisation", "tasks"),
    ),
    1210: EventNote(
        trigger="Writing decision records to the object store failed; they are kept and written "
        "again later.",
        action=_READ_STORE_OUTAGE,
        fields=("pending",),
    ),
    1301: EventNote(
        trigger="The handshake of a connection to or from a peer succeeded.",
        fields=("peer", "peer_role"),
    ),
    1302: EventNote(
        trigger="A connection to a peer ended or was silent for too long; it is opened again.",
        action=_CHECK_PEER,
        fields=("peer", "detail"),
    ),
    1303: EventNote(
        trigger="A connection was rejected or its handshake failed, for example because of a wrong "
        "secret, protocol or role.",
        action="Check that all processes have the same FIREFLYDECK_PEER_SECRET; if they do, a "
        "foreign program connects to the peer port.",
        fields=("peer", "reason", "detail"),
    ),
    1304: EventNote(
        trigger="A peer sent bytes that cannot be decoded as a message; the connection was closed.",
        action="Compare the versions of the two programs; report it if they are equal.",
        fields=("peer", "detail"),
    ),
    1305: EventNote(
        trigger="The handling of a peer's message failed with an unexpected error.",
        action=_REPORT,
        fields=("peer", "type", "error"),
    ),
    1306: EventNote(
        trigger="The first attempt to connect to a peer failed; later failed attempts are counted "
        "but not logged.",
        action=_CHECK_PEER,
        fields=("peer", "detail"),
    ),
    1307: EventNote(trigger="A peer announced its graceful stop.", fields=("peer",)),
    2001: EventNote(
        trigger="A caller's request was refused; the answer to the caller has the same reason.",
        action="See API.md for the reason; `ctl explain request ID` shows the decisions.",
        fields=("request_id", "reason", "step", "peer", "ran"),
    ),
    2002: EventNote(
        trigger="A dispatcher did not accept a request, which is sent to the next dispatcher in "
        "order.",
        fields=("request_id", "peer", "reason", "step"),
    ),
    2003: EventNote(
        trigger="The caller closed its connection; its request was cancelled.",
        fields=("request_id",),
    ),
    2004: EventNote(
        trigger="An unexpected error occurred while a request was served; the caller got "
        "`internal`.",
        action=_REPORT,
        fields=("request_id", "error"),
    ),
    3501: EventNote(
        trigger="The start of a job's task was sent to a backend server; `outcome` is `started` or "
        "the reason of the failure.",
        fields=("job_id", "task_id", "vm", "outcome"),
    ),
    3502: EventNote(
        trigger="An attempt of a task ended without a result: failed, lost, lapsed (its lease "
        "expired), moved, cancelled or not started.",
        action="Nothing for a single one. If there are many on one VM: drain the VM.",
        fields=("job_id", "task_id", "vm", "outcome", "detail"),
    ),
    3503: EventNote(trigger="The result of a job was stored.", fields=("job_id", "vm")),
    3504: EventNote(
        trigger="This runner took a job over from a holder (`previous`) that did not renew its "
        "lease.",
        action="Find out why the previous holder stopped.",
        fields=("job_id", "previous"),
    ),
    3505: EventNote(
        trigger="This runner released a job because another runner has its lease or it has ended.",
        fields=("job_id",),
    ),
    3506: EventNote(
        trigger="The store refused or did not answer a write of jobs; running tasks continue. "
        "`held` is the number of jobs whose lease this runner has.",
        action=_READ_STORE_OUTAGE,
        fields=("held",),
    ),
    3507: EventNote(trigger="A write of jobs to the store succeeded again.", fields=("held",)),
    3508: EventNote(
        trigger="A step of the job runner failed with an unexpected error; it is retried.",
        action=_REPORT,
        fields=("step", "error"),
    ),
    4001: EventNote(
        trigger="A configuration change was committed and pushed to the other members.",
        fields=("version", "rule", "origin"),
    ),
    4002: EventNote(
        trigger="A configuration change was refused; nothing was changed, unless the reason says "
        "that the outcome is unknown.",
        action="Nothing. The operator who requested it got the same reason.",
        fields=("reason", "step", "detail"),
    ),
    4003: EventNote(
        trigger="A request to the operators' interface had no operator key or a wrong one.",
        action="Find the sender by its address in `peer`.",
        fields=("reason", "peer", "path"),
    ),
    4004: EventNote(
        trigger="An operator's request failed with an unexpected error.",
        action=_REPORT,
        fields=("error",),
    ),
    4005: EventNote(
        trigger="A draining VM has no work left; its state is now maintenance.",
        action="Do the maintenance, then `ctl vm return NAME`.",
        fields=("vm", "version"),
    ),
    4006: EventNote(
        trigger="The backend server of a VM that was returned to service accepts work again.",
        fields=("vm",),
    ),
    4007: EventNote(
        trigger="A call to drain or resume the backend server of a VM failed; it is retried.",
        action="Check whether the VM is running; if it is lost: `ctl vm fail NAME`.",
        fields=("vm", "detail"),
    ),
    4020: EventNote(
        trigger="A VM's backend server did not answer in time after its maintenance; the VM was "
        "marked failed.",
        action="Inspect the VM; when it is repaired: `ctl vm return NAME`.",
        fields=("vm",),
    ),
    4021: EventNote(
        trigger="Others changed a VM while it was in maintenance; its automatic maintenance ended "
        "and the VM stays as they set it.",
        action="Finish it by hand: `ctl vm show NAME`, then `ctl vm return NAME`.",
        fields=("vm", "stage"),
    ),
    **ENTRY_EVENT_NOTES,
    5001: EventNote(trigger="A stand-in is listening at `address`.", fields=("service", "address")),
}
"""Notes on all events, by the number of the event."""

_PAGE_HEAD = """\
# Events

Each log line of a process is one numbered event: JSON on standard error, or plain text with
`--log-format=console`. Fields of every line: `event` (the text), `number`, `code`, `level`,
`timestamp`, and the process's `role` and `member` name. A number is never reused for another
meaning.
This page is rendered from `fireflydeck/kernel/events.py` and
`fireflydeck/kernel/event_catalogue.py`.

| number | code | level | text | when it is written | fields | what an operator does |
|---|---|---|---|---|---|---|
"""


def render_events_page() -> str:
    """Return the text of `docs/EVENTS.md`."""
    events = sorted(Event, key=lambda event: event.number)
    return _PAGE_HEAD + "".join(_table_row(event, EVENT_NOTES[event.number]) for event in events)


def _table_row(event: Event, note: EventNote) -> str:
    trigger = f"{note.trigger} Nothing writes it yet." if note.reserved else note.trigger
    fields = ", ".join(f"`{name}`" for name in note.fields) or "none"
    cells = (
        str(event.number),
        f"`{event.name.lower()}`",
        event.level,
        event.text,
        trigger,
        fields,
        note.action,
    )
    return f"| {' | '.join(cells)} |\n"
