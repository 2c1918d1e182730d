"""Entry processes without a network, whose copies of the configuration lag behind the store."""

from attrs import define, field, frozen
from expression import Error, Ok
from yarl import URL

from fireflydeck.core import Ran, SystemClock
from fireflydeck.entry.caller_request import CallerRequest
from fireflydeck.entry.peer_link import EntryPeerLink
from fireflydeck.entry.request_log import RequestLog
from fireflydeck.entry.tests.builders import build_interface
from fireflydeck.kernel import Metrics
from fireflydeck.observation import OperatorDocuments
from fireflydeck.ownership import LeaseKeeper
from fireflydeck.ownership.records import LeaseRecord
from fireflydeck.platform.standin.documents import CALLER_HEADERS, put_configuration
from fireflydeck.standins.memory_rows import MemoryRows
from fireflydeck.testing.recording_log import RecordingLog
from fireflydeck.testing.rows import FakeRowStore


class _LocalLink(EntryPeerLink):
    """Link that calls the other processes of a fleet in memory."""

    def __init__(self, fleet, name):
        super().__init__(name, SystemClock())
        self._fleet = fleet
        self._name = name

    def peers(self):
        return [name for name in self._fleet.peer_order if name != self._name]

    async def post(self, peer, path, content, timeout_ms):
        if frozenset((self._name, peer)) in self._fleet.cut:
            return Error(Ran.NO)
        return Ok(await self._fleet.processes[peer].serve(URL(path).query, content))


class EntryInterface:
    """Callers' interface of one entry process with its own view of the store."""

    def __init__(self, fleet, name):
        clock, log = SystemClock(), RecordingLog()
        self.store = FakeRowStore(clock, fleet.rows)
        self.operators = OperatorDocuments(self.store, clock, log)
        self._link = _LocalLink(fleet, name)
        lease = LeaseKeeper(self.store, clock, log, name=name, address=name)
        lease._record = LeaseRecord(holder="", address="", term=1, sequence=1, ttl_ms=1)
        self._interface = build_interface(
            store=self.store,
            operators=self.operators,
            lease=lease,
            state_source=self._link,
            forwarder=self._link,
            clock=clock,
            request_log=RequestLog(self.operators, log, Metrics()),
        )
        self._link.set_request_handler(self._interface.answer)

    async def count_pending(self, queue, key):
        """Ask for a queue's pending jobs and return the answer."""
        return await self._interface.answer(
            CallerRequest(
                method="GET",
                host=CALLER_HEADERS["Host"],
                path=f"/{queue}/",
                key=key,
                timeout_ms=1000,
            )
        )

    async def serve(self, query, content):
        """Answer a message that another process forwarded, as the link does."""
        response = await self._link._serve_forwarded(query, content)
        return response.body


@frozen
class SampleVersion:
    """Queues and keys of one configuration version."""

    queues: frozenset
    keys: frozenset

    def status(self, queue, key):
        """Return the status with which a process of this version answers a count."""
        if queue not in self.queues:
            return 404
        return 200 if key in self.keys else 401


@define
class InterfaceFleet:
    """Entry processes that share one store.

    Attributes
    ----------
    versions
        What each configuration version allows.
    cut
        Pairs of processes that can't reach each other.
    peer_order
        Order in which processes forward to others.
    """

    size: int
    rows: MemoryRows = field(factory=MemoryRows)
    versions: dict = field(factory=dict)
    cut: set = field(factory=set)
    processes: dict = field(init=False)
    peer_order: list = field(init=False)

    def __attrs_post_init__(self):
        names = [f"m{number}" for number in range(self.size)]
        self.processes = {name: EntryInterface(self, name) for name in names}
        self.peer_order = names

    def configure(self, queues, keys):
        """Store the next configuration version."""
        version = max(self.versions, default=0) + 1
        self.versions[version] = SampleVersion(frozenset(queues), frozenset(keys))
        put_configuration(
            self.rows, version=version, keys=tuple(keys), further_queues=tuple(queues)
        )
