"""Notes on the events of the entry role."""

from collections.abc import Mapping

from fireflydeck.kernel.event_note import EventNote

__all__ = ["ENTRY_EVENT_NOTES"]

_READ_STORE_OUTAGE = "Read operators/store-outage.md if it lasts longer than a few seconds."

ENTRY_EVENT_NOTES: Mapping[int, EventNote] = {
    1011: EventNote(
        trigger="Log lines were dropped: the buffer was full because the reader of standard output "
        "was too slow.",
        action="Make the reader of standard output faster; `count` is the number of lost lines.",
        fields=("count",),
    ),
    1012: EventNote(
        trigger="The settings file was read again, after SIGHUP or because it changed.",
        fields=("cause", "changed"),
    ),
    1013: EventNote(
        trigger="The settings file was read again and is invalid.",
        action="Correct the field that `detail` names; the process keeps the old settings.",
        fields=("cause", "detail"),
    ),
    1014: EventNote(
        trigger="A library logged a warning or an error.",
        action="Report it with its `trace`, unless the process is stopping.",
        fields=("logger", "severity", "detail", "trace"),
    ),
    1110: EventNote(
        trigger="A call to the store failed; it is retried.",
        action=_READ_STORE_OUTAGE,
        fields=("step", "table", "reason", "detail"),
    ),
    1111: EventNote(
        trigger="The store answered for the first time after failures.", fields=("table",)
    ),
    1112: EventNote(
        trigger="A row cannot be decoded; another writer or a newer program may have written it.",
        action="Inspect the row that `document` names.",
        fields=("document", "version", "detail"),
    ),
    1113: EventNote(
        trigger="The registration of a backend server has missing or wrong fields; no work is sent "
        "to it.",
        action="Inspect the entry; another writer may use the table.",
        fields=("server", "version", "detail"),
    ),
    1114: EventNote(
        trigger="Applying one row of a followed table raised an error; the other rows of its "
        "batch are applied.",
        action="Inspect the row that `key` names, and report the trace as a defect.",
        fields=("table", "key", "version", "error", "trace"),
    ),
    1220: EventNote(
        trigger="Operators evacuated a data centre (`evacuated` true) or returned it to service.",
        fields=("data_centre", "evacuated", "version"),
    ),
    1221: EventNote(
        trigger="Operators requested a wave of maintenance for `vms` VMs.", fields=("wave", "vms")
    ),
    6001: EventNote(
        trigger="This process acquired the lease and schedules from now on. It had seen the row "
        "of the earlier holder unchanged for `unchanged_ms`; that row stated `earlier_ttl_ms`.",
        fields=("term", "version", "earlier_ttl_ms", "unchanged_ms"),
    ),
    6002: EventNote(
        trigger="Another process acquired the lease first, or the store call failed.",
        fields=("term", "reason", "detail"),
    ),
    6003: EventNote(
        trigger="This process lost or released the lease and stopped scheduling; `why` gives the "
        "reason, and `valid_for_ms` how much longer its own lease was valid.",
        action="Nothing; the next holder logs 6001. If `why` is `handed over`: see 6005 in the log "
        "of `peer`.",
        fields=("term", "why", "peer", "valid_for_ms"),
    ),
    6004: EventNote(
        trigger="This process saw that the lease has another holder than before.",
        fields=("holder", "term"),
    ),
    6005: EventNote(
        trigger="The holder of the lease lost the store, stopped sending orders under its term and "
        "offered the lease; this process acquires it if the term it knows (`known`) is the same.",
        fields=("term", "known"),
    ),
    6006: EventNote(
        trigger="A process that stops could not mark its lease as free; other processes wait until "
        "it expires.",
        action="See 1110 of the same time: the store did not answer.",
        fields=("term",),
    ),
    6007: EventNote(
        trigger="A renewal was stored with another time to live than the one before, since the "
        "store became slower or faster. `valid_for_ms` is how long the lease is valid from now on.",
        action="See 1110 of the same time if `ttl_ms` is several seconds: the store is slow.",
        fields=("term", "ttl_ms", "latency_ms", "valid_for_ms"),
    ),
    6101: EventNote(
        trigger="A backend server appeared in the store.", fields=("server", "pool", "state")
    ),
    6102: EventNote(
        trigger="A backend server began to drain, or is ready again.", fields=("server", "state")
    ),
    6103: EventNote(
        trigger="The registration of a backend server is gone: the server left or stopped "
        "reporting.",
        action="See 6304 for the runs that were lost.",
        fields=("server", "running"),
    ),
    6104: EventNote(
        trigger="A backend server answered its first heartbeat of this term, or the first one "
        "after a restart, with the fencing token `token`; its runs are known from now on, or once "
        "it has listed all ends if `more_ends` is true.",
        fields=("server", "term", "token", "running", "ended", "more_ends"),
    ),
    6105: EventNote(
        trigger="A backend server did not answer; it gets no new work until it does.",
        action="Check whether it is running; its tasks are started again once the leases of its "
        "runs have expired.",
        fields=("server", "step", "detail", "running"),
    ),
    6106: EventNote(
        trigger="A backend server restarted under the same id, by its answer or registration; the "
        "runs of its former life are lost, and it gets orders once it has answered (6104). "
        "`former_clock_ms` and `former_lease_until_ms` are its former clock and the end of the "
        "leases granted on it; `clock_ms` is its present clock.",
        fields=(
            "server",
            "born_ms",
            "running",
            "clock_ms",
            "former_clock_ms",
            "former_lease_until_ms",
        ),
    ),
    6107: EventNote(
        trigger="Another instance answers at the address of a backend server; the earlier server's "
        "runs are lost.",
        fields=("server", "running"),
    ),
    6108: EventNote(
        trigger="A backend server rejected an order with `token`, the newest one of this term for "
        "it, because it has seen a higher one.",
        action="Nothing if 6003 follows; otherwise report it.",
        fields=("server", "term", "token"),
    ),
    6109: EventNote(
        trigger="Every backend server on which an earlier holder may have started runs has "
        "reported them, or its leases have certainly expired (`unheard`). Tasks of older jobs "
        "start again from now on; before, only those that can't be running on the others.",
        action="If `took_ms` is several seconds: see the 6105 of the servers that did not answer.",
        fields=("term", "servers", "unheard", "took_ms"),
    ),
    6110: EventNote(
        trigger="A backend server is silent, and all leases granted on it have expired by its own "
        "clock (at least `clock_ms`; the last one ended at `lease_until_ms`). Of its `running` "
        "runs, `expired` count as ended and their tasks start elsewhere. Runs that may "
        "belong to a later life of the server follow when the longest lease has passed.",
        action="See 6105 of the same server.",
        fields=("server", "born_ms", "clock_ms", "lease_until_ms", "running", "expired"),
    ),
    6201: EventNote(
        trigger="A submission was read from the store.", fields=("job", "queue", "version")
    ),
    6207: EventNote(
        trigger="A pool has more work than it can do in time, and the organisation of a new job "
        "has its share already. The job is started after those within the shares.",
        action="If it goes on: raise the organisation's weight, or add VMs to the pool.",
        fields=(
            "job",
            "organisation",
            "pool",
            "work_core_s",
            "organisation_core_s",
            "all_core_s",
            "pool_core_s",
        ),
    ),
    6202: EventNote(trigger="A cancellation was read from the store.", fields=("job",)),
    6203: EventNote(
        trigger="The outcome of a job was stored and is visible to callers from now on.",
        action="If `outcome` is `failed`: see 6303 of its tasks.",
        fields=("job", "outcome"),
    ),
    6204: EventNote(
        trigger="Jobs that ended long ago, and that callers can no longer query, were removed from "
        "the store.",
        fields=("jobs",),
    ),
    6205: EventNote(
        trigger="Rows of ended jobs in one partition were replaced by their outcomes. If `stored` "
        "is false, another process had changed one of them and all stay as they are.",
        fields=("jobs", "stored"),
    ),
    6206: EventNote(
        trigger="The store refused the progress of a job for good, such as for its size. The job "
        "fails, since a later holder would run its finished tasks again.",
        action="Submit the work in smaller jobs, and report the refusal in `detail`.",
        fields=("job", "detail"),
    ),
    6301: EventNote(
        trigger="The start of a run was ordered; `outcome` is the backend server's answer or `no "
        "answer`.",
        action="If `outcome` is `no-room` or `busy`: the pool is full; see the backend server's "
        "6105.",
        fields=(
            "task",
            "run",
            "server",
            "outcome",
            "took_ms",
            "free_cpu",
            "configuration",
            "operators_age_ms",
            "waited_ms",
        ),
    ),
    6302: EventNote(
        trigger="The stop of a run was ordered; `taken` says whether it was accepted.",
        fields=("task", "run", "server", "taken", "phase"),
    ),
    6303: EventNote(
        trigger="A backend server reported the end of a run. `max_attempts` is null while the "
        "configuration lacks the job's queue; a failed run then leaves the job open.",
        action="If many runs of one server end as `failed`: inspect the server.",
        fields=("task", "run", "server", "end", "end_number", "known", "max_attempts"),
    ),
    6304: EventNote(
        trigger="A run is lost for the reason in `why`, without a reported end; its task is "
        "started again.",
        action="See the backend server's 6105, 6106 and 6107.",
        fields=("task", "run", "server", "why", "phase"),
    ),
    6305: EventNote(
        trigger="A run that an earlier holder started was adopted under this term; if `others` is "
        "true, the task has another run and this one is stopped, unless it is the second run of a "
        "task of a speculative step.",
        fields=("task", "run", "server", "others"),
    ),
    6306: EventNote(
        trigger="A backend server runs a task of a job that is over or not known; the run is "
        "stopped.",
        fields=("task", "run", "server"),
    ),
    6307: EventNote(
        trigger="A long-running task on a VM with pending maintenance is stopped, to continue on "
        "another backend server.",
        fields=("task", "run", "server", "list_age_ms"),
    ),
    6308: EventNote(
        trigger="The placement advisor answered which backend servers may run a step (`good` of "
        "the `asked`), or the call failed (`detail`).",
        action="If `good` is 0 and `detail` is empty: the queue's policy allows none of the "
        "servers asked about.",
        fields=("step_of_job", "asked", "good", "took_ms", "detail"),
    ),
    6309: EventNote(
        trigger="A best-effort task was ordered to run at `percent` of its speed: slower, to "
        "protect a serving task on the same backend server, or faster again.",
        fields=("task", "run", "server", "percent", "taken"),
    ),
    6320: EventNote(
        trigger="A ready task, or a gang of `tasks` tasks, found no place (only with "
        "`--reservations`; at most one line per job and second, and 20 per second in total). "
        "`reason` says why it waits; with `reserved`, it is expected to start in `expected_in_ms` "
        "on the servers in `reserved_on`.",
        action='See "Why does this large job wait?" in OPERATIONS.md.',
        fields=(
            "job",
            "task",
            "tasks",
            "cpu",
            "memory_mb",
            "reason",
            "expected_in_ms",
            "reserved_on",
            "waited_ms",
            "held_ms",
        ),
    ),
    6310: EventNote(
        trigger="A run has taken longer than `straggler_ms` and is expected to take "
        "`remaining_ms` more, a copy `copy_ms` in all; the copy's start follows as 6301. `copies` "
        "of the `budget` for the pool's running tasks are used.",
        action="If there are many and few of them win (`speculative_copies_won_total`): the tasks "
        "are long themselves; ask the caller to submit them without `speculative`.",
        fields=(
            "task",
            "run",
            "server",
            "first_run",
            "first_server",
            "elapsed_ms",
            "expected_ms",
            "straggler_ms",
            "remaining_ms",
            "copy_ms",
            "copies",
            "budget",
        ),
    ),
    6311: EventNote(
        trigger="A run ended `done` while a start of a second run of its task could still take "
        "effect; its 6303 follows once that is over.",
        action="If that takes seconds: the other run's backend server does not answer, see 6105.",
        fields=("task", "run", "server"),
    ),
    6501: EventNote(
        trigger="A call to the platform's VM interface failed; it is retried.",
        action="Check whether the interface works; waves and moves make no progress until it does.",
        fields=("step", "detail"),
    ),
    6502: EventNote(
        trigger="A VM of a wave gets no new work from now on, and its long-running tasks "
        "(`stopped`) are stopped within their budgets.",
        fields=("vm", "server", "running", "stopped"),
    ),
    6503: EventNote(
        trigger="The move or the maintenance of a VM was ordered; `outcome` is the answer, or why "
        "there is none.",
        action="Nothing. For moves the cores are those of the target pool at the time of the "
        "decision.",
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
    6504: EventNote(trigger="The status of a wave was written.", fields=("wave", "state")),
    6403: EventNote(
        trigger="This process cannot reach the store and forwarded a caller's request to another "
        "entry process; `status` is its answer, or 0 if none answered. `decided_by` is the version "
        "of the configuration that decided the answer (null if the other process does not tell), "
        "`configuration` this process's own version.",
        action="If `peer` is empty: no other process was known or could reach the store; see 1110.",
        fields=(
            "method",
            "path",
            "job",
            "peer",
            "status",
            "decided_by",
            "configuration",
            "uncertain",
            "store_age_ms",
        ),
    ),
    6401: EventNote(
        trigger="A caller's request was answered; successful reads (GET with status 200) are only "
        "logged while the store cannot be reached. `decided_by` is the version of the "
        "configuration that decided the answer, also if another process gave it (see 6403); "
        "`configuration` is this process's own version.",
        action="If `status` is 503: see 1110 and 6402 of the same time.",
        fields=(
            "method",
            "path",
            "job",
            "status",
            "took_ms",
            "forwarded",
            "decided_by",
            "configuration",
            "configuration_age_ms",
        ),
    ),
    6404: EventNote(
        trigger="Data on a client's connection is not valid HTTP and was refused. A listener logs "
        "one line per second; `unlogged` is the number of such requests since its last one.",
        action="If there are many: look for a client that uses another protocol on this port.",
        fields=("status", "detail", "unlogged"),
    ),
    6406: EventNote(
        trigger="Connections of clients exceeded a limit (`reason`) of a `listener`, `count` times "
        "since the last line, and were closed, or not accepted for `accept-paused` and "
        "`descriptors`. `connections` and `used_bytes` are what all clients use.",
        action="Read the section on floods in OPERATIONS.md.",
        fields=("listener", "reason", "count", "connections", "used_bytes"),
    ),
    6405: EventNote(
        trigger="A submission was refused with 429 and the refusal is stored: `wait_ms` is the "
        "time until the job could have started, more than three times its `objective_ms`, and the "
        "hash of its id is outside the fraction `accepted` of its organisation. The figures are "
        "null if another request for the same job was refused at the same time.",
        action="Nothing for a short burst; see OPERATIONS.md if an organisation stays refused.",
        fields=(
            "job",
            "queue",
            "pool",
            "organisation",
            "wait_ms",
            "objective_ms",
            "accepted",
            "retry_after_s",
        ),
    ),
    6402: EventNote(
        trigger="A store call for a caller's request failed; `ran` says whether it may have had an "
        "effect.",
        action=_READ_STORE_OUTAGE,
        fields=("job", "step", "reason", "ran", "detail"),
    ),
}
"""Notes on events, by the number of the event."""
