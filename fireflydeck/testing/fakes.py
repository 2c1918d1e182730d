"""In-memory fakes of the platform's services with fault injection."""

from enum import StrEnum

import anyio.lowlevel
from expression import Error, Ok, Result

from fireflydeck.core import Failure, Ran, Reason
from fireflydeck.standins.memory_tables import MemoryTables
from fireflydeck.tables import ListedVm, ObjectStore, Row, TableService, Transaction, VmList

__all__ = ["FakeObjectStore", "FakeTableService", "FakeVmList", "StoreFault"]


_RETRY_AFTER_MS = 1000


class StoreFault(StrEnum):
    """Fault injected into a call."""

    OUTAGE = "outage"
    ANSWER_LOST = "answer-lost"
    RATE_LIMITED = "rate-limited"


def _unavailable(step: str, ran: Ran) -> Failure:
    return Failure(Reason.STORE_UNAVAILABLE, step=step, peer="store", ran=ran)


def _rate_limited(step: str) -> Failure:
    return Failure(
        Reason.TOO_MANY_REQUESTS, step=step, peer="store", retry_after_ms=_RETRY_AFTER_MS
    )


class FakeTableService(TableService):
    """Table service in memory.

    Attributes
    ----------
    tables
        Rows, for direct access by tests.
    outage
        While set, every call fails without effect.
    next_commits
        Faults of the next commits, in order; with `ANSWER_LOST` the commit takes effect and gets
        no answer, with the others it is refused without effect.
    next_reads
        Faults of the next reads, in order: `OUTAGE` or `RATE_LIMITED`.
    commits, reads
        Number of calls, failed ones included.
    """

    def __init__(self, tables: MemoryTables | None = None) -> None:
        self.tables = tables or MemoryTables()
        self.outage = False
        self.next_commits: list[StoreFault | None] = []
        self.next_reads: list[StoreFault | None] = []
        self.commits = 0
        self.reads = 0

    async def get(self, table: str, key: str) -> Result[Row | None, Failure]:
        """Return a row."""
        await anyio.lowlevel.checkpoint()
        self.reads += 1
        failure = self._read_failure("store.get")
        if failure is not None:
            return Error(failure)
        return Ok(self.tables.get(table, key))

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], Failure]:
        """Return rows in order of their keys."""
        await anyio.lowlevel.checkpoint()
        self.reads += 1
        failure = self._read_failure("store.scan")
        if failure is not None:
            return Error(failure)
        return Ok(self.tables.scan(table, prefix=prefix, after=after, limit=limit))

    async def commit(self, transaction: Transaction) -> Result[None, Failure]:
        """Apply a transaction."""
        await anyio.lowlevel.checkpoint()
        self.commits += 1
        fault = self.next_commits.pop(0) if self.next_commits else None
        if self.outage or fault is StoreFault.OUTAGE:
            return Error(_unavailable("store.commit", Ran.NO))
        if fault is StoreFault.RATE_LIMITED:
            return Error(_rate_limited("store.commit"))
        failed = self.tables.commit(transaction)
        if fault is StoreFault.ANSWER_LOST:
            return Error(_unavailable("store.commit", Ran.UNKNOWN))
        if failed:
            detail = ", ".join(f"{check.table}/{check.key}" for check in failed)
            return Error(Failure(Reason.CONFLICT, step="store.commit", peer="store", detail=detail))
        return Ok(None)

    def _read_failure(self, step: str) -> Failure | None:
        fault = self.next_reads.pop(0) if self.next_reads else None
        if self.outage or fault is StoreFault.OUTAGE:
            return _unavailable(step, Ran.NO)
        return _rate_limited(step) if fault is StoreFault.RATE_LIMITED else None


class FakeObjectStore(ObjectStore):
    """Object store in memory; while `outage` is set, every call fails without effect."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.outage = False

    async def put(self, key: str, content: bytes) -> Result[None, Failure]:
        """Create or replace an object."""
        await anyio.lowlevel.checkpoint()
        if self.outage:
            return Error(_unavailable("objects.put", Ran.NO))
        self.objects[key] = content
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, Failure]:
        """Return an object's content."""
        await anyio.lowlevel.checkpoint()
        if self.outage:
            return Error(_unavailable("objects.get", Ran.NO))
        return Ok(self.objects.get(key))

    async def list(self, prefix: str) -> Result[tuple[str, ...], Failure]:
        """Return the keys with a prefix in order."""
        await anyio.lowlevel.checkpoint()
        if self.outage:
            return Error(_unavailable("objects.list", Ran.NO))
        return Ok(tuple(sorted(key for key in self.objects if key.startswith(prefix))))


class FakeVmList(VmList):
    """VM list set by a test; while `outage` is set, every call fails."""

    def __init__(self, *vms: ListedVm) -> None:
        self.listed = vms
        self.outage = False

    async def vms(self) -> Result[tuple[ListedVm, ...], Failure]:
        """Return the listed VMs."""
        await anyio.lowlevel.checkpoint()
        if self.outage:
            return Error(_unavailable("vms.list", Ran.NO))
        return Ok(self.listed)
