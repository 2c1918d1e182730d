"""Interfaces of the platform: transactional table service, object store and VM list."""

from abc import ABC, abstractmethod
from typing import Any

from attrs import frozen
from expression import Result

from fireflydeck.core import Failure

__all__ = [
    "ABSENT",
    "Check",
    "Delete",
    "ListedVm",
    "ObjectStore",
    "Put",
    "Row",
    "TableService",
    "Transaction",
    "VmList",
]

ABSENT = 0
"""Version of a row that does not exist."""


@frozen
class Row:
    """A row of a table.

    Parameters
    ----------
    version
        Increases with every write of the row; never `ABSENT`.
    value
        JSON data.
    """

    table: str
    key: str
    version: int
    value: Any


@frozen
class Check:
    """Condition of a transaction: the row has this version, or does not exist if `ABSENT`."""

    table: str
    key: str
    version: int


@frozen
class Put:
    """Write that creates or replaces a row."""

    table: str
    key: str
    value: Any


@frozen
class Delete:
    """Write that removes a row."""

    table: str
    key: str


@frozen(kw_only=True)
class Transaction:
    """Writes that are applied atomically if all checks hold, and otherwise not at all."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


class TableService(ABC):
    """The platform's transactional table service.

    Failures have one of these reasons: `CONFLICT` (a check did not hold, nothing was written),
    `TOO_MANY_REQUESTS` (nothing was written), `STORE_UNAVAILABLE` (with `Ran.NO` when the request
    was not sent, `Ran.UNKNOWN` when a write may have been applied).
    """

    @abstractmethod
    async def get(self, table: str, key: str) -> Result[Row | None, Failure]:
        """Return the row, or `None` if it does not exist."""

    @abstractmethod
    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], Failure]:
        """Return rows in key order; each call reads one consistent snapshot.

        Parameters
        ----------
        prefix
            Only keys that start with this.
        after
            Only keys greater than this.
        limit
            Maximum number of rows to return.
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Result[None, Failure]:
        """Apply the transaction."""


class ObjectStore(ABC):
    """The platform's object store; failures as for the table service."""

    @abstractmethod
    async def put(self, key: str, content: bytes) -> Result[None, Failure]:
        """Create or replace an object."""

    @abstractmethod
    async def get(self, key: str) -> Result[bytes | None, Failure]:
        """Return an object's content, or `None` if it does not exist."""

    @abstractmethod
    async def list(self, prefix: str) -> Result[tuple[str, ...], Failure]:
        """Return the keys that start with the prefix, in order."""


@frozen(kw_only=True)
class ListedVm:
    """An entry of the platform's VM list, which lags behind.

    Parameters
    ----------
    leaving
        Whether the platform is about to remove the VM.
    """

    name: str
    leaving: bool = False


class VmList(ABC):
    """The platform's list of VMs, which lags behind the actual state by seconds."""

    @abstractmethod
    async def vms(self) -> Result[tuple[ListedVm, ...], Failure]:
        """Return the listed VMs."""
