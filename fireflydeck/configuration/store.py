"""The configuration in the table service: load, read changes, commit a change.

The log row of a version and the head row are written by one transaction that checks the head row,
so versions form one sequence without gaps and each change follows on the one it was checked
against.
"""

import secrets
from abc import ABC, abstractmethod
from collections.abc import Iterable

from attrs import evolve
from expression import Error, Ok, Result

from fireflydeck.core import (
    Clock,
    Configuration,
    ConfigurationChange,
    Entity,
    EntityKey,
    Failure,
    Ran,
    Reason,
)
from fireflydeck.core.converter import ConversionError, from_plain, to_plain
from fireflydeck.tables import ABSENT, Check, Delete, Put, Row, TableService, Transaction

__all__ = ["LOG_LENGTH", "ConfigurationStore", "VersionedStore"]

LOG_LENGTH = 2000
"""Changes kept in the log; a process further behind loads the whole configuration."""

_TABLE = "configuration"
_LOG_TABLE = "configuration_log"
_HEAD = "head"
_ENTITY_PREFIX = "entity/"
_PAGE_ROWS = 1000
_LOAD_TRIES = 5
_COMMIT_TRIES = 4
_COMMIT_RETRY_MS = 250
_CHANGE_ID_BYTES = 12


class VersionedStore(ABC):
    """The committed configuration."""

    @abstractmethod
    async def head_version(self) -> Result[int, Failure]:
        """Return the newest committed version; 0 if there is none."""

    @abstractmethod
    async def load(self) -> Result[Configuration, Failure]:
        """Return the whole configuration at one version."""

    @abstractmethod
    async def changes_since(self, version: int) -> Result[tuple[ConfigurationChange, ...], Failure]:
        """Return the committed changes that follow the version, in order.

        The first one may not follow directly, if the log no longer reaches back so far.
        """

    @abstractmethod
    async def commit(
        self,
        base: Configuration,
        *,
        puts: Iterable[Entity] = (),
        removes: Iterable[EntityKey] = (),
        origin: str = "",
        rule: str = "",
        extra: Transaction | None = None,
    ) -> Result[ConfigurationChange, Failure]:
        """Commit the change that follows on `base`.

        Parameters
        ----------
        base
            The configuration that the change was checked against.
        puts, removes
            Entities to create or replace, and identities to remove.
        origin, rule
            What asked for the change and why, for explanations.
        extra
            Checks and writes of other rows that belong to the same transaction.

        Returns
        -------
        Result
            The committed change; or `CONFLICT` if another change came first or a check of `extra`
            failed, or `STORE_UNAVAILABLE` with `Ran.UNKNOWN` if the outcome could not be settled.
        """


class ConfigurationStore(VersionedStore):
    """The configuration in the platform's table service.

    Parameters
    ----------
    tables
        The platform's table service.
    clock
        Source of time for records and retries.
    """

    def __init__(self, tables: TableService, clock: Clock) -> None:
        self._tables = tables
        self._clock = clock

    async def head_version(self) -> Result[int, Failure]:
        """Return the newest committed version; 0 if there is none."""
        result = await self._tables.get(_TABLE, _HEAD)
        return result.map(_version_of)

    async def load(self) -> Result[Configuration, Failure]:
        """Return the whole configuration at one version."""
        failure = Failure(Reason.CONFLICT, step="configuration.load", peer="store")
        for _ in range(_LOAD_TRIES):
            before = await self.head_version()
            if before.is_error():
                return Error(before.error)
            rows = await self._entity_rows()
            if rows.is_error():
                return Error(rows.error)
            after = await self.head_version()
            if after.is_error():
                return Error(after.error)
            if before.ok == after.ok:
                return _assemble(before.ok, rows.ok)
        return Error(evolve(failure, detail="the configuration changed during each try"))

    async def changes_since(self, version: int) -> Result[tuple[ConfigurationChange, ...], Failure]:
        """Return the committed changes that follow the version, in order."""
        result = await self._tables.scan(_LOG_TABLE, after=_log_key(version), limit=_PAGE_ROWS)
        if result.is_error():
            return Error(result.error)
        try:
            return Ok(tuple(from_plain(row.value, ConfigurationChange) for row in result.ok))
        except ConversionError as error:
            return Error(_unreadable("configuration.changes", error))

    async def commit(
        self,
        base: Configuration,
        *,
        puts: Iterable[Entity] = (),
        removes: Iterable[EntityKey] = (),
        origin: str = "",
        rule: str = "",
        extra: Transaction | None = None,
    ) -> Result[ConfigurationChange, Failure]:
        """Commit the change that follows on `base`.

        A lost answer is settled by sending the same transaction again and reading the log.
        """
        change = ConfigurationChange(
            version=base.version + 1,
            change_id=secrets.token_hex(_CHANGE_ID_BYTES),
            puts=tuple(puts),
            removes=tuple(removes),
            origin=origin,
            rule=rule,
            wall_ms=self._clock.wall_ms(),
        )
        head = await self._tables.get(_TABLE, _HEAD)
        if head.is_error():
            return Error(evolve(head.error, ran=Ran.NO))
        if _version_of(head.ok) != base.version:
            return Error(_conflict(base.version, _version_of(head.ok)))
        transaction = _transaction(change, head.ok, extra or Transaction())
        return await self._commit_until_settled(change, transaction)

    async def _commit_until_settled(
        self, change: ConfigurationChange, transaction: Transaction
    ) -> Result[ConfigurationChange, Failure]:
        unsettled: Failure | None = None
        for attempt in range(_COMMIT_TRIES):
            if attempt:
                await self._clock.sleep_ms(_COMMIT_RETRY_MS * attempt)
            result = await self._tables.commit(transaction)
            if result.is_ok():
                return Ok(change)
            failure = result.error
            if failure.reason is Reason.CONFLICT:
                return await self._settle_conflict(change, failure, unsettled)
            if failure.ran is Ran.UNKNOWN:
                unsettled = failure
            elif unsettled is None and failure.reason is not Reason.TOO_MANY_REQUESTS:
                return Error(failure)
        return Error(unsettled or failure)

    async def _settle_conflict(
        self, change: ConfigurationChange, conflict: Failure, unsettled: Failure | None
    ) -> Result[ConfigurationChange, Failure]:
        if unsettled is None:
            return Error(conflict)
        row = await self._tables.get(_LOG_TABLE, _log_key(change.version))
        if row.is_error():
            return Error(unsettled)
        if row.ok is not None and row.ok.value["change_id"] == change.change_id:
            return Ok(change)
        return Error(conflict)

    async def _entity_rows(self) -> Result[list[Row], Failure]:
        rows: list[Row] = []
        after = ""
        while True:
            page = await self._tables.scan(
                _TABLE, prefix=_ENTITY_PREFIX, after=after, limit=_PAGE_ROWS
            )
            if page.is_error():
                return Error(page.error)
            rows.extend(page.ok)
            if len(page.ok) < _PAGE_ROWS:
                return Ok(rows)
            after = page.ok[-1].key


def _version_of(head: Row | None) -> int:
    return head.value["version"] if head is not None else 0


def _log_key(version: int) -> str:
    return f"{version:012d}"


def _entity_row_key(key: EntityKey) -> str:
    return f"{_ENTITY_PREFIX}{key.kind}/{key.name}"


def _transaction(change: ConfigurationChange, head: Row | None, extra: Transaction) -> Transaction:
    head_check = Check(_TABLE, _HEAD, head.version if head else ABSENT)
    head_value = {"version": change.version, "change_id": change.change_id}
    puts = [
        Put(_TABLE, _HEAD, head_value),
        Put(_LOG_TABLE, _log_key(change.version), to_plain(change)),
    ]
    for entity in change.puts:
        value = {"entity": to_plain(entity, Entity), "entity_version": change.version}
        puts.append(Put(_TABLE, _entity_row_key(entity.key), value))
    deletes = [Delete(_TABLE, _entity_row_key(key)) for key in change.removes]
    if change.version > LOG_LENGTH:
        deletes.append(Delete(_LOG_TABLE, _log_key(change.version - LOG_LENGTH)))
    return Transaction(
        checks=(head_check, *extra.checks),
        puts=(*puts, *extra.puts),
        deletes=(*deletes, *extra.deletes),
    )


def _assemble(version: int, rows: Iterable[Row]) -> Result[Configuration, Failure]:
    entities: dict[str, dict[str, Entity]] = {}
    versions: dict[EntityKey, int] = {}
    try:
        for row in rows:
            entity = from_plain(row.value["entity"], Entity)
            entities.setdefault(entity.kind, {})[entity.name] = entity
            versions[entity.key] = row.value["entity_version"]
    except ConversionError as error:
        return Error(_unreadable("configuration.load", error))
    return Ok(Configuration(version=version, entities=entities, entity_versions=versions))


def _conflict(expected: int, found: int) -> Failure:
    detail = f"the configuration is at version {found}, the change was made for {expected}"
    return Failure(Reason.CONFLICT, step="configuration.commit", peer="store", detail=detail)


def _unreadable(step: str, error: ConversionError) -> Failure:
    return Failure(Reason.INTERNAL, step=step, peer="store", detail=str(error))
