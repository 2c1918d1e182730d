"""Storage of the configuration in the table service: load, read changes, commit a change.

One transaction writes the log row of a version and the head row, and checks the head row. So the
versions form a single sequence without gaps, and each change directly follows the version against
which it was checked.
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
"""Number of changes kept in the log; a process that lags further loads the whole configuration."""

_TABLE = "configuration"
_LOG_TABLE = "configuration_log"
_HEAD = "head"
_ENTITY_PREFIX = "entity/"
_ROWS_PER_PAGE = 1000
_MAX_LOAD_ATTEMPTS = 5
_MAX_COMMIT_ATTEMPTS = 4
_COMMIT_RETRY_DELAY_MS = 250
_CHANGE_ID_BYTES = 12


class VersionedStore(ABC):
    """Store of the committed, versioned configuration."""

    @abstractmethod
    async def head_version(self) -> Result[int, Failure]:
        """Return the newest committed version; 0 if there is none."""

    @abstractmethod
    async def load(self) -> Result[Configuration, Failure]:
        """Return the whole configuration as of one version."""

    @abstractmethod
    async def changes_since(self, version: int) -> Result[tuple[ConfigurationChange, ...], Failure]:
        """Return the committed changes after the given version, in version order.

        If the log no longer contains the change that directly follows it, the result starts with
        a later one.
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
        """Commit the change as the version that directly follows `base`.

        Parameters
        ----------
        base
            The configuration that the change was checked against.
        puts, removes
            Entities to create or replace, and keys of entities to remove.
        origin, rule
            Source of the change and the rule that caused it; shown in explanations.
        extra
            Checks and writes of other rows that belong to the same transaction.

        Returns
        -------
        Result
            The committed change; `CONFLICT` if another change was committed first or a check of
            `extra` failed; `STORE_UNAVAILABLE` with `Ran.UNKNOWN` if the outcome could not be
            determined.
        """


class ConfigurationStore(VersionedStore):
    """Store of the configuration in the platform's table service.

    Parameters
    ----------
    tables
        The platform's table service.
    clock
        Source of the time stamps of changes and of the delays between retries.
    """

    def __init__(self, tables: TableService, clock: Clock) -> None:
        self._tables = tables
        self._clock = clock

    async def head_version(self) -> Result[int, Failure]:
        """Return the newest committed version; 0 if there is none."""
        result = await self._tables.get(_TABLE, _HEAD)
        return result.map(_version_of)

    async def load(self) -> Result[Configuration, Failure]:
        """Return the whole configuration as of one version.

        The rows are read again if the head version changed during the read.
        """
        failure = Failure(Reason.CONFLICT, step="configuration.load", peer="store")
        for _ in range(_MAX_LOAD_ATTEMPTS):
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
                return _build_configuration(before.ok, rows.ok)
        return Error(evolve(failure, detail="the configuration changed during each try"))

    async def changes_since(self, version: int) -> Result[tuple[ConfigurationChange, ...], Failure]:
        """Return the committed changes after the given version, in version order."""
        result = await self._tables.scan(_LOG_TABLE, after=_log_key(version), limit=_ROWS_PER_PAGE)
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
        """Commit the change as the version that directly follows `base`.

        If the answer of the store is lost, the outcome is determined by sending the same
        transaction again and, after a conflict, by reading the log.
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
        return await self._commit_with_retries(change, transaction)

    async def _commit_with_retries(
        self, change: ConfigurationChange, transaction: Transaction
    ) -> Result[ConfigurationChange, Failure]:
        unknown_outcome: Failure | None = None
        for attempt in range(_MAX_COMMIT_ATTEMPTS):
            if attempt:
                await self._clock.sleep_ms(_COMMIT_RETRY_DELAY_MS * attempt)
            result = await self._tables.commit(transaction)
            if result.is_ok():
                return Ok(change)
            failure = result.error
            if failure.reason is Reason.CONFLICT:
                return await self._resolve_conflict(change, failure, unknown_outcome)
            if failure.ran is Ran.UNKNOWN:
                unknown_outcome = failure
            elif unknown_outcome is None and failure.reason is not Reason.TOO_MANY_REQUESTS:
                return Error(failure)
        return Error(unknown_outcome or failure)

    async def _resolve_conflict(
        self, change: ConfigurationChange, conflict: Failure, unknown_outcome: Failure | None
    ) -> Result[ConfigurationChange, Failure]:
        if unknown_outcome is None:
            return Error(conflict)
        row = await self._tables.get(_LOG_TABLE, _log_key(change.version))
        if row.is_error():
            return Error(unknown_outcome)
        if row.ok is not None and row.ok.value["change_id"] == change.change_id:
            return Ok(change)
        return Error(conflict)

    async def _entity_rows(self) -> Result[list[Row], Failure]:
        rows: list[Row] = []
        after = ""
        while True:
            page = await self._tables.scan(
                _TABLE, prefix=_ENTITY_PREFIX, after=after, limit=_ROWS_PER_PAGE
            )
            if page.is_error():
                return Error(page.error)
            rows.extend(page.ok)
            if len(page.ok) < _ROWS_PER_PAGE:
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


def _build_configuration(version: int, rows: Iterable[Row]) -> Result[Configuration, Failure]:
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
