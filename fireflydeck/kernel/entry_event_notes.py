"""Notes on the events of the entry role."""

from collections.abc import Mapping

from fireflydeck.kernel.event_note import EventNote

__all__ = ["ENTRY_EVENT_NOTES"]

_STORE_DOWN = "Read operators/store-outage.md if it lasts longer than a few seconds."

ENTRY_EVENT_NOTES: Mapping[int, EventNote] = {
    1011: EventNote(
        written="Lines were dropped because standard output took none.",
        action="Raise the reader's speed; the count tells how many are missing.",
        fields=("count",),
    ),
    1012: EventNote(
        written="The settings file was read again, after SIGHUP or because it changed.",
        fields=("cause", "changed"),
    ),
    1013: EventNote(
        written="The settings file was read again and can't be used.",
        action="Mend the field that `detail` names; the process goes on with the old settings.",
        fields=("cause", "detail"),
    ),
    1014: EventNote(
        written="A library the process is built on wrote a warning or an error.",
        action="Report it with its `trace`, unless a process is stopping.",
        fields=("logger", "severity", "detail", "trace"),
    ),
    1110: EventNote(
        written="A call to the store failed; it is repeated.",
        action=_STORE_DOWN,
        fields=("step", "table", "reason", "detail"),
    ),
    1111: EventNote(written="The first answer of the store after failures.", fields=("table",)),
    1112: EventNote(
        written="A row can't be decoded: another writer's, or a newer program's.",
        action="Look at the row that `document` names.",
        fields=("document", "version", "detail"),
    ),
    1113: EventNote(
        written="A registration has missing or wrong fields; no work goes there.",
        action="Look at the entry; another writer may use the table.",
        fields=("server", "version", "detail"),
    ),
    1220: EventNote(
        written="Operators took a data centre out or back.",
        fields=("data_centre", "evacuated", "version"),
    ),
    1221: EventNote(written="Operators requested maintenance for VMs.", fields=("wave", "vms")),
    6001: EventNote(
        written="This process took the lease and schedules from now on.", fields=("term", "version")
    ),
    6002: EventNote(
        written="Another process was first, or the store refused.",
        fields=("term", "reason", "detail"),
    ),
    6003: EventNote(
        written="This process schedules no more.",
        action="Nothing; the next holder logs 6001. `handed over`: to `peer`, see 6005 there.",
        fields=("term", "why", "peer"),
    ),
    6004: EventNote(written="The lease's holder changed, as seen here.", fields=("holder", "term")),
    6005: EventNote(
        written="The holder of the term has lost the store and gives no more orders; this process "
        "takes the lease if it knows the same term.",
        fields=("term", "known"),
    ),
    6101: EventNote(
        written="A backend server appeared in the store.", fields=("server", "pool", "state")
    ),
    6102: EventNote(
        written="A backend server began to drain, or is ready again.", fields=("server", "state")
    ),
    6103: EventNote(
        written="A registration is gone: the backend server left or fell silent.",
        action="See 6304 for the runs that were lost.",
        fields=("server", "running"),
    ),
    6104: EventNote(
        written="The first answer of a backend server to this term; its runs are known now.",
        fields=("server", "term", "running", "ended"),
    ),
    6105: EventNote(
        written="A backend server gave no answer; it gets no new work until it does.",
        action="See whether it lives; its runs start again once their leases are over.",
        fields=("server", "step", "detail", "running"),
    ),
    6106: EventNote(
        written="A backend server started again under its id; its earlier runs are gone.",
        fields=("server", "born_ms", "running"),
    ),
    6107: EventNote(
        written="The address belongs to another instance now.", fields=("server", "running")
    ),
    6108: EventNote(
        written="A backend server refused an order of this term.",
        action="Nothing if 6003 follows; otherwise report it.",
        fields=("server", "term"),
    ),
    6201: EventNote(
        written="A submission was read from the store.", fields=("job", "queue", "version")
    ),
    6202: EventNote(written="A cancellation was read from the store.", fields=("job",)),
    6203: EventNote(
        written="The outcome of a job is stored and shown from now on.",
        action="For `failed`: see 6303 of its tasks.",
        fields=("job", "outcome"),
    ),
    6204: EventNote(
        written="Ended jobs, of which callers may not ask any more, were removed from the store.",
        fields=("jobs",),
    ),
    6205: EventNote(
        written="Rows of ended jobs in one partition were replaced by their outcomes; with"
        " `stored` false another process had changed one of them, and they stay as they are.",
        fields=("jobs", "stored"),
    ),
    6301: EventNote(
        written="The start of a run was ordered and answered, or got no answer.",
        action="For `no-room` and `busy`: the pool is full; see the backend server's 6105.",
        fields=(
            "task",
            "run",
            "server",
            "outcome",
            "took_ms",
            "free_cpu",
            "operators_age_ms",
            "waited_ms",
        ),
    ),
    6302: EventNote(
        written="The stop of a run was ordered.", fields=("task", "run", "server", "taken", "phase")
    ),
    6303: EventNote(
        written="A backend server listed the end of a run.",
        action="For many `failed` at one server: look at the server.",
        fields=("task", "run", "server", "end", "end_number", "known"),
    ),
    6304: EventNote(
        written="A run is over for a reason other than a listed end; its task is started again.",
        action="See the backend server's 6105, 6106 and 6107.",
        fields=("task", "run", "server", "why", "phase"),
    ),
    6305: EventNote(
        written="A run that an earlier holder started goes on under this term.",
        fields=("task", "run", "server", "others"),
    ),
    6306: EventNote(
        written="A backend server runs a task of a job that is over or not known.",
        fields=("task", "run", "server"),
    ),
    6307: EventNote(
        written="A long-running task is stopped, to go on at a server that stays.",
        fields=("task", "run", "server", "list_age_ms"),
    ),
    6308: EventNote(
        written="The advisor told which backend servers may run a step, or refused (`detail`).",
        action="For `good` 0 and no `detail`: the queue's policy allows none of those asked about.",
        fields=("step_of_job", "asked", "good", "took_ms", "detail"),
    ),
    6309: EventNote(
        written="A filling task works slower, or faster again, for a serving task beside it.",
        fields=("task", "run", "server", "percent", "taken"),
    ),
    6501: EventNote(
        written="The platform's VM interface gave no usable answer; it is asked again.",
        action="See whether the interface works; waves and moves stand still until it does.",
        fields=("step", "detail"),
    ),
    6502: EventNote(
        written="A VM of a wave gets no new work, and its long-running tasks are stopped within "
        "their budgets.",
        fields=("vm", "server", "running", "stopped"),
    ),
    6503: EventNote(
        written="A move or a maintenance was ordered and answered, or got no answer.",
        action="For moves the cores are those of the target pool as the decision saw it.",
        fields=(
            "duty",
            "vm",
            "pool",
            "target",
            "outcome",
            "list_age_ms",
            "needed_cores",
            "available_cores",
            "incoming_cores",
        ),
    ),
    6504: EventNote(written="The status of a wave was written.", fields=("wave", "state")),
    6403: EventNote(
        written="This process lacks the store; another entry process answered, or none did.",
        action="Without a peer: no other process was known or had the store; see 1110.",
        fields=("job", "peer", "status", "uncertain", "store_age_ms"),
    ),
    6401: EventNote(
        written="A caller got an answer other than a plain state.",
        action="For 503: see 1110 and 6402 of the same time.",
        fields=(
            "method",
            "job",
            "status",
            "took_ms",
            "forwarded",
            "configuration",
            "configuration_age_ms",
        ),
    ),
    6404: EventNote(
        written="What came on a caller's connection is not proper HTTP; it was refused.",
        action="Many of them: look for a client that speaks another protocol to this port.",
        fields=("status", "detail"),
    ),
    6402: EventNote(
        written="The store did not settle a caller's request in its time.",
        action=_STORE_DOWN,
        fields=("job", "step", "reason", "ran", "detail"),
    ),
}
"""Explanations by the event's number."""
