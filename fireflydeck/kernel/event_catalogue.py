"""What each numbered event means and what an operator does; renders `docs/EVENTS.md`."""

from collections.abc import Mapping

from fireflydeck.kernel.entry_event_notes import ENTRY_EVENT_NOTES
from fireflydeck.kernel.event_note import EventNote
from fireflydeck.kernel.events import Event

__all__ = ["EVENT_NOTES", "render_events_page"]


_STORE_DOWN = "Read operators/store-outage.md if it lasts longer than a few seconds."
_LOOK_AT_PEER = "See whether the peer runs and can be reached: operators/member-cut-off.md."
_REPORT = "Report it with the line and the state dump; it is a fault of the program."

EVENT_NOTES: Mapping[int, EventNote] = {
    1001: EventNote(written="All services of the process have started.", fields=("services",)),
    1002: EventNote(written="SIGTERM arrived, or the process was fenced."),
    1003: EventNote(written="All services have stopped; the process ends."),
    1004: EventNote(
        written="An unexpected error ended a loop or an order; the loop begins again.",
        action=_REPORT,
        fields=("step", "error", "trace"),
    ),
    1101: EventNote(written="Held for a platform call that fails.", reserved=True),
    1102: EventNote(written="Held for the platform's return.", reserved=True),
    1201: EventNote(written="A configuration version came into force here.", fields=("version",)),
    1202: EventNote(
        written="Neither the store nor the controllers confirmed the configuration within the "
        "freshness bound; keyed work is refused as stale-configuration until they do.",
        action="See `attestation` and `configuration` in the state dump: the store, or the "
        "controller that `last_failure` names, does not answer.",
        fields=("version",),
    ),
    1203: EventNote(written="The configuration is confirmed again.", fields=("version",)),
    1204: EventNote(
        written="A push brought a version that was already in force or older.",
        fields=("version", "current"),
    ),
    1205: EventNote(written="This process is a member from this version on.", fields=("version",)),
    1206: EventNote(written="Held for the discovery of a pause.", reserved=True),
    1207: EventNote(
        written="This process found itself fenced or removed and begins a graceful stop.",
        action="See why others took it for gone (1208 in a controller's log); the VM's init "
        "starts it again under a new name.",
        fields=("version",),
    ),
    1208: EventNote(
        written="A member was removed: its VM was missing from the VM list in several readings "
        "and it did not answer.",
        action="Nothing if the VM was meant to go; else start another one.",
        fields=("member", "vm"),
    ),
    1209: EventNote(
        written="The part of an organisation's limit that an ended dispatcher held above its "
        "running tasks was returned.",
        fields=("organisation", "tasks"),
    ),
    1210: EventNote(
        written="The object store did not take decision records; they are kept and tried again.",
        action=_STORE_DOWN,
        fields=("pending",),
    ),
    1301: EventNote(
        written="A connection to or from a peer passed its handshake.",
        fields=("peer", "peer_role"),
    ),
    1302: EventNote(
        written="A connection ended or was silent for too long; it is opened again.",
        action=_LOOK_AT_PEER,
        fields=("peer", "detail"),
    ),
    1303: EventNote(
        written="A handshake failed: wrong secret, protocol or role.",
        action="See that all processes have the same FIREFLYDECK_PEER_SECRET; else somebody "
        "foreign connects to the peer port.",
        fields=("peer", "reason", "detail"),
    ),
    1304: EventNote(
        written="A peer sent bytes that are no message; the connection was closed.",
        action="Compare the versions of the two programs; report it if they are equal.",
        fields=("peer", "detail"),
    ),
    1305: EventNote(
        written="An unexpected error while a peer's message was handled.",
        action=_REPORT,
        fields=("peer", "type", "error"),
    ),
    1306: EventNote(
        written="The first of several tries to connect to a peer failed.",
        action=_LOOK_AT_PEER,
        fields=("peer", "detail"),
    ),
    1307: EventNote(written="A peer announced its graceful stop.", fields=("peer",)),
    2001: EventNote(
        written="A caller's request was refused; the caller was told the same reason.",
        action="See API.md for the reason; `ctl explain request ID` shows the decisions.",
        fields=("request_id", "reason", "step", "peer", "ran"),
    ),
    2002: EventNote(
        written="A dispatcher did not take a request, which goes to the next one in order.",
        fields=("request_id", "peer", "reason", "step"),
    ),
    2003: EventNote(written="The caller closed its connection.", fields=("request_id",)),
    2004: EventNote(
        written="An unexpected error; the caller got `internal`.",
        action=_REPORT,
        fields=("request_id", "error"),
    ),
    3501: EventNote(
        written="A task of a job was sent, with the outcome of the sending.",
        fields=("job_id", "task_id", "vm", "outcome"),
    ),
    3502: EventNote(
        written="A task ended without a result: failed, lost, lapsed, moved or cancelled.",
        action="Nothing for a single one. Many on one VM: drain it.",
        fields=("job_id", "task_id", "vm", "outcome", "detail"),
    ),
    3503: EventNote(written="The result of a job was stored.", fields=("job_id", "vm")),
    3504: EventNote(
        written="This runner took a job over from a holder that renewed nothing.",
        action="See why the previous holder stopped.",
        fields=("job_id", "previous"),
    ),
    3505: EventNote(
        written="This runner found a job held by another one, or final.", fields=("job_id",)
    ),
    3506: EventNote(
        written="The store refused or did not answer a write of jobs; tasks run on.",
        action=_STORE_DOWN,
        fields=("held",),
    ),
    3507: EventNote(written="The writes of jobs succeed again.", fields=("held",)),
    3508: EventNote(
        written="An unexpected error in a step of the runner; the step is tried again.",
        action=_REPORT,
        fields=("step", "error"),
    ),
    4001: EventNote(
        written="A change was committed and pushed.", fields=("version", "rule", "origin")
    ),
    4002: EventNote(
        written="A change was refused; nothing was changed, unless the reason says unknown.",
        action="The operator who asked was told the same reason.",
        fields=("reason", "step", "detail"),
    ),
    4003: EventNote(
        written="A call to the operators' interface without the operator key, or with a wrong one.",
        action="Find the sender by its address.",
        fields=("reason", "peer", "path"),
    ),
    4004: EventNote(
        written="An unexpected error in an operator's call.", action=_REPORT, fields=("error",)
    ),
    4005: EventNote(
        written="A draining VM has no work left and went to maintenance.",
        action="Do the maintenance, then `ctl vm return NAME`.",
        fields=("vm", "version"),
    ),
    4006: EventNote(written="A returned VM's backend server accepts work.", fields=("vm",)),
    4007: EventNote(
        written="The backend server of a VM to drain or resume does not answer; it is asked again.",
        action="See whether the VM lives; if it is lost: `ctl vm fail NAME`.",
        fields=("vm", "detail"),
    ),
    4020: EventNote(
        written="A VM's backend server did not answer in time after its maintenance; the VM was "
        "marked failed.",
        action="Look at the VM; when it is repaired: `ctl vm return NAME`.",
        fields=("vm",),
    ),
    4021: EventNote(
        written="A VM under maintenance was changed by somebody else; its maintenance is left "
        "to them.",
        action="Finish it by hand: `ctl vm show NAME`, then `ctl vm return NAME`.",
        fields=("vm", "stage"),
    ),
    **ENTRY_EVENT_NOTES,
    5001: EventNote(written="A stand-in listens.", fields=("service", "address")),
}
"""Explanations by the event's number."""

_HEAD = """\
# Events

Each log line of a process is one numbered event: JSON on standard error, or plain text with
`--log-format=console`. Fields of every line: `event` (the text), `number`, `code`, `level`,
`timestamp`, and the process's `role` and `member` name. A number is never used again for another
meaning.
This page is rendered from `fireflydeck/kernel/events.py` and
`fireflydeck/kernel/event_catalogue.py`.

| number | code | level | text | when it is written | fields | what an operator does |
|---|---|---|---|---|---|---|
"""


def render_events_page() -> str:
    """Return `docs/EVENTS.md`."""
    events = sorted(Event, key=lambda event: event.number)
    return _HEAD + "".join(_row(event, EVENT_NOTES[event.number]) for event in events)


def _row(event: Event, note: EventNote) -> str:
    written = f"{note.written} Nothing writes it yet." if note.reserved else note.written
    fields = ", ".join(f"`{name}`" for name in note.fields) or "none"
    cells = (
        str(event.number),
        f"`{event.name.lower()}`",
        event.level,
        event.text,
        written,
        fields,
        note.action,
    )
    return f"| {' | '.join(cells)} |\n"
