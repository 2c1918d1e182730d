"""Weighted fair queueing of the waiting requests of one pool, by slot time.

Start-time fair queueing over organisations: the virtual time of an organisation grows by the slot
time that it uses, divided by its share. The organisation with the smallest virtual time is served
next. A start is charged with a learned estimate of the run time. A task that runs longer is charged
for the excess while it runs, and the charge is corrected to the actual time when it finishes.

References
----------
P. Goyal, H. Vin, H. Cheng: Start-time Fair Queueing, 1996.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from operator import itemgetter

from attrs import define, field, frozen

from fireflydeck.core import Urgency
from fireflydeck.policy.estimates import RunTimeEstimates

__all__ = [
    "PROMOTION_AGE_MS",
    "MAX_CREDIT_MS",
    "PROMOTION_INTERVAL",
    "URGENT_LEAD_MS",
    "Demand",
    "FairOrder",
    "WaitingRequest",
]

URGENT_LEAD_MS = 6_000
"""Lead of an organisation over its fair share, above which its urgent work ranks as normal.

In milliseconds of slot time per slot of the pool: the limit of the lead is this value times the
number of slots, divided by the sum of the shares of the organisations with waiting requests.
"""

PROMOTION_AGE_MS = 5_000
"""Wait after which a normal or batch request may be promoted ahead of more urgent ones."""

PROMOTION_INTERVAL = 8
"""While more urgent requests wait, at most one of this many starts is a promotion."""

MAX_CREDIT_MS = 1_000
"""Maximum slot time per share that an organisation saves up while it cannot start work."""

_URGENT_RANK = 0
_RANKS = {Urgency.URGENT: _URGENT_RANK, Urgency.NORMAL: 1, Urgency.BATCH: 2}


@frozen(order=True)
class Demand:
    """Resources of one task in addition to its slot; all 0 for a request that needs only a slot."""

    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@frozen(kw_only=True)
class WaitingRequest:
    """A request that waits for a slot.

    Parameters
    ----------
    entry_id
        Identifier that is unique within the order.
    arrived_ms, deadline_ms
        Monotonic times of the arrival and of the caller's deadline.
    excluded_vms
        VMs to avoid because the request failed on them before.
    """

    entry_id: int
    organisation: str
    queue: str
    urgency: Urgency
    arrived_ms: int
    deadline_ms: int
    demand: Demand = Demand()
    excluded_vms: frozenset[str] = frozenset()


@frozen
class _FlowKey:
    """Properties that all requests of a flow share."""

    organisation: str
    urgency: Urgency
    demand: Demand
    excluded_vms: frozenset[str]


def _flow_key(entry: WaitingRequest) -> _FlowKey:
    return _FlowKey(entry.organisation, entry.urgency, entry.demand, entry.excluded_vms)


@define
class _Running:
    """A started task, with the slot time charged for it so far."""

    organisation: str
    queue: str
    started_ms: int
    charged_ms: float


@define
class _OrganisationUsage:
    """Virtual time and number of waiting and running tasks of one organisation."""

    virtual_ms: float = 0.0
    waiting: int = 0
    running: int = 0


@define(eq=False)
class _Flow:
    """Waiting requests with the same key, served in the order in which they were added."""

    rank: int
    usage: _OrganisationUsage
    entries: "OrderedDict[int, WaitingRequest]" = field(factory=OrderedDict)

    @property
    def head(self) -> WaitingRequest:
        return next(iter(self.entries.values()))


@define
class FairOrder:
    """Waiting requests of one pool in fair order.

    A decision sorts the flows (organisation, urgency, demand, excluded VMs) that have waiting
    requests. Its cost does not depend on the number of waiting requests or VMs.

    Parameters
    ----------
    shares
        Weight by organisation; an organisation without an entry has weight 1.
    slots
        Number of slots of the pool; the allowed lead of urgent work scales with it.
    estimates
        Run times learned from finished tasks.

    Examples
    --------
    >>> order = FairOrder(shares={"museum": 2})
    >>> for entry_id, organisation in enumerate(["school", "museum"]):
    ...     order.add(WaitingRequest(entry_id=entry_id, organisation=organisation, queue="q",
    ...                       urgency=Urgency.NORMAL, arrived_ms=0, deadline_ms=1000))
    >>> [entry.organisation for entry in order.candidates(now_ms=0)]
    ['school', 'museum']
    """

    shares: dict[str, int] = field(factory=dict)
    slots: int = 1
    estimates: RunTimeEstimates = field(factory=RunTimeEstimates)
    _flows: dict[_FlowKey, _Flow] = field(factory=dict, init=False)
    _entries: dict[int, WaitingRequest] = field(factory=dict, init=False)
    _running: dict[int, _Running] = field(factory=dict, init=False)
    _organisations: dict[str, _OrganisationUsage] = field(factory=dict, init=False)
    _virtual_ms: float = field(default=0.0, init=False)
    _since_promotion: int = field(default=0, init=False)

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, entry_id: int) -> bool:
        return entry_id in self._entries

    @property
    def running(self) -> int:
        """Return the number of tasks that were started and have not finished."""
        return len(self._running)

    def add(self, entry: WaitingRequest) -> None:
        """Append a request.

        An organisation that was idle starts at the pool's virtual time or later, so that it has no
        credit for its idle time.
        """
        usage = self._organisations.setdefault(entry.organisation, _OrganisationUsage())
        if not usage.waiting and not usage.running:
            usage.virtual_ms = max(usage.virtual_ms, self._virtual_ms)
        usage.waiting += 1
        key = _flow_key(entry)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = _Flow(_RANKS[entry.urgency], usage)
        flow.entries[entry.entry_id] = entry
        self._entries[entry.entry_id] = entry

    def remove(self, entry_id: int) -> WaitingRequest | None:
        """Remove a waiting request and return it, or `None` if it is not waiting."""
        entry = self._entries.pop(entry_id, None)
        if entry is None:
            return None
        key = _flow_key(entry)
        flow = self._flows[key]
        del flow.entries[entry_id]
        if not flow.entries:
            del self._flows[key]
        self._organisations[entry.organisation].waiting -= 1
        return entry

    def candidates(self, now_ms: int) -> list[WaitingRequest]:
        """Return the first request of each flow, in the order in which they are to be served."""
        limit_ms = self._virtual_ms + self._lead_limit_ms()
        ranked = [self._rank(flow, limit_ms) for flow in self._flows.values()]
        ranked.sort(key=itemgetter(0, 1, 2, 3))
        heads = [head for *_, head in ranked]
        promoted = self._promoted(heads, now_ms)
        if promoted is None:
            return heads
        return [promoted, *(head for head in heads if head is not promoted)]

    def start(
        self, entry_id: int, now_ms: int, skipped_organisations: Iterable[str] = ()
    ) -> WaitingRequest:
        """Move a waiting request to the running tasks and charge its estimated run time.

        Parameters
        ----------
        skipped_organisations
            Organisations that were ahead in the order but could not start work. They keep a
            credit of at most `MAX_CREDIT_MS` per share.

        Raises
        ------
        KeyError
            If the request is not waiting.
        """
        entry = self._entries[entry_id]
        self._advance(set(skipped_organisations))
        self._count_promotion(entry, now_ms)
        self.remove(entry_id)
        estimate_ms = self.estimates.run_time_ms(entry.queue, entry.organisation)
        self._running[entry_id] = _Running(entry.organisation, entry.queue, now_ms, estimate_ms)
        self._organisations[entry.organisation].running += 1
        self._charge(entry.organisation, estimate_ms)
        return entry

    def finish(self, entry_id: int, now_ms: int, learn: bool = True) -> None:
        """Correct the charge of a started task to its actual run time.

        Parameters
        ----------
        learn
            Whether to add the run time to the estimates; `False` for a task that did not run.
        """
        running = self._running.pop(entry_id, None)
        if running is None:
            return
        used_ms = max(0, now_ms - running.started_ms)
        self._organisations[running.organisation].running -= 1
        self._charge(running.organisation, used_ms - running.charged_ms)
        if learn:
            self.estimates.learn(running.queue, running.organisation, used_ms)

    def charge_overruns(self, now_ms: int) -> None:
        """Charge each running task for the time by which it has exceeded its charge so far."""
        for running in self._running.values():
            over_ms = now_ms - running.started_ms - running.charged_ms
            if over_ms > 0:
                running.charged_ms += over_ms
                self._charge(running.organisation, over_ms)

    def waiting_count(self, organisation: str) -> int:
        """Return the number of waiting requests of the organisation."""
        usage = self._organisations.get(organisation)
        return usage.waiting if usage else 0

    def lead_ms(self, organisation: str) -> float:
        """Return the organisation's lead over its fair share, in slot milliseconds per share."""
        usage = self._organisations.get(organisation)
        return max(0.0, usage.virtual_ms - self._virtual_ms) if usage else 0.0

    def expected_wait_ms(self, organisation: str, queue: str, urgency: Urgency) -> float:
        """Return the minimum expected wait of one more request in milliseconds; 0 if unknown.

        Only the organisation's own requests of the same or a higher urgency are counted as ahead
        of it, and the organisation is assumed to get its share of the slots.
        """
        if len(self._running) < self.slots or not self.estimates.is_known(queue):
            return 0.0
        rank = _RANKS[urgency]
        ahead = sum(
            len(flow.entries)
            for key, flow in self._flows.items()
            if key.organisation == organisation and flow.rank <= rank
        )
        active = {key.organisation for key in self._flows} | {organisation}
        weight = sum(self._share(name) for name in active)
        organisation_slots = self.slots * self._share(organisation) / weight
        return ahead * self.estimates.run_time_ms(queue, organisation) / organisation_slots

    def drain_time_ms(self, queue: str) -> float:
        """Return the time within which all waiting requests start, in milliseconds.

        All of them are counted with the learned run time of `queue`.
        """
        return len(self._entries) * self.estimates.run_time_ms(queue, "") / self.slots

    def _rank(self, flow: _Flow, limit_ms: float) -> tuple[int, float, int, int, WaitingRequest]:
        """Return the sort key of a flow and its first request.

        Parameters
        ----------
        limit_ms
            Virtual time of an organisation above which its urgent work ranks as normal.
        """
        rank = flow.rank
        virtual_ms = flow.usage.virtual_ms
        if rank == _URGENT_RANK and virtual_ms > limit_ms:
            rank += 1
        head = flow.head
        return rank, virtual_ms, head.arrived_ms, head.entry_id, head

    def _lead_limit_ms(self) -> float:
        """Return the lead per share above which urgent work loses its precedence.

        It is infinite if at most one organisation has waiting requests.
        """
        active = {key.organisation for key in self._flows}
        if len(active) < 2:
            return math.inf
        weight = sum(self._share(name) for name in active)
        return URGENT_LEAD_MS * self.slots / weight

    def _promoted(self, heads: list[WaitingRequest], now_ms: int) -> WaitingRequest | None:
        if self._since_promotion < PROMOTION_INTERVAL - 1:
            return None
        aged = [head for head in heads if self._is_aged(head, now_ms)]
        return min(aged, key=lambda head: head.arrived_ms, default=None)

    def _is_aged(self, entry: WaitingRequest, now_ms: int) -> bool:
        is_urgent = entry.urgency is Urgency.URGENT
        return not is_urgent and now_ms - entry.arrived_ms >= PROMOTION_AGE_MS

    def _count_promotion(self, entry: WaitingRequest, now_ms: int) -> None:
        if self._is_aged(entry, now_ms):
            self._since_promotion = 0
        else:
            self._since_promotion += 1

    def _advance(self, skipped: set[str]) -> None:
        servable = [
            usage.virtual_ms
            for organisation, usage in self._organisations.items()
            if usage.waiting and organisation not in skipped
        ]
        self._virtual_ms = max(self._virtual_ms, min(servable, default=self._virtual_ms))
        for organisation in skipped:
            usage = self._organisations[organisation]
            usage.virtual_ms = max(usage.virtual_ms, self._virtual_ms - MAX_CREDIT_MS)

    def _charge(self, organisation: str, used_ms: float) -> None:
        self._organisations[organisation].virtual_ms += used_ms / self._share(organisation)

    def _share(self, organisation: str) -> int:
        return max(1, self.shares.get(organisation, 1))
