"""Checked, conditional commits of configuration edits, retried after a lost race."""

from collections.abc import Callable
from typing import Any

import anyio
from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.configuration import VersionedStore
from fireflydeck.configuration.rules import apply_edit, check_budget, check_change
from fireflydeck.controller.edit import AsyncEditBuilder, Edit, EditBuilder, Refusal
from fireflydeck.controller.limits import limit_transaction
from fireflydeck.core import Configuration, ConfigurationChange, Failure, Reason
from fireflydeck.kernel import Event, EventLog, Service
from fireflydeck.tables import TableService, Transaction

__all__ = ["CommittedEdit", "ConfigurationService"]

_MAX_ATTEMPTS = 8
_STEP = "controller.change"


@frozen(kw_only=True)
class CommittedEdit:
    """Result of an edit that was committed or had nothing to change.

    Parameters
    ----------
    configuration
        Snapshot of the configuration that includes the edit.
    change
        The committed change; `None` if the edit was empty.
    """

    configuration: Configuration
    change: ConfigurationChange | None = None

    @property
    def version(self) -> int:
        """Version of the configuration that includes the edit."""
        return self.configuration.version


class ConfigurationService(Service):
    """Checks and commits edits of the configuration, one at a time in this process.

    Parameters
    ----------
    store
        Versioned store of the configuration.
    tables
        Table service, for rows that change in the same transaction as the configuration.
    on_committed
        Called with each committed change, to send it to other processes without delay.
    log
        Event log of the process.
    """

    def __init__(
        self,
        store: VersionedStore,
        tables: TableService,
        on_committed: Callable[[ConfigurationChange], None] = lambda change: None,
        log: EventLog | None = None,
    ) -> None:
        self._store = store
        self._tables = tables
        self._on_committed = on_committed
        self._log = log or EventLog()
        self._lock = anyio.Lock()
        self._committed = 0
        self._races_lost = 0

    @property
    def name(self) -> str:
        """Name of the service."""
        return "configuration-changes"

    @property
    def tables(self) -> TableService:
        """Table service of the platform."""
        return self._tables

    def state(self) -> dict[str, Any]:
        """Return the numbers of committed changes and of lost races."""
        return {"committed": self._committed, "races_lost": self._races_lost}

    @property
    def store(self) -> VersionedStore:
        """Versioned store of the configuration."""
        return self._store

    async def load(self) -> Result[Configuration, Refusal]:
        """Read the current configuration from the store."""
        return (await self._store.load()).map_error(lambda failure: Refusal(failure=failure))

    async def apply(
        self, build: EditBuilder, *, origin: str = "operator"
    ) -> Result[CommittedEdit, Refusal]:
        """Build an edit for the current configuration, check it and commit it.

        If another change was committed in the meantime, the edit is built and checked again for
        the newer configuration.

        Parameters
        ----------
        build
            Builder of the edit.
        origin
            Requester of the change, recorded with it.
        """

        async def build_async(base: Configuration) -> Result[Edit, Refusal]:
            return build(base)

        return await self.apply_async(build_async, origin=origin)

    async def apply_async(
        self, build: AsyncEditBuilder, *, origin: str = "operator"
    ) -> Result[CommittedEdit, Refusal]:
        """Apply an edit, as `apply` does, whose builder reads further rows of the store."""
        async with self._lock:
            for _ in range(_MAX_ATTEMPTS):
                result = await self._try_once(build, origin)
                if result.is_ok():
                    return result
                if not _is_lost_race(result.error):
                    self._log_refusal(result.error)
                    return result
                self._races_lost += 1
        detail = f"lost {_MAX_ATTEMPTS} races against other changes; nothing was changed"
        failure = Failure(Reason.CONFLICT, step=_STEP, peer="store", detail=detail)
        return Error(Refusal(failure=failure))

    async def _try_once(
        self, build: AsyncEditBuilder, origin: str
    ) -> Result[CommittedEdit, Refusal]:
        loaded = await self.load()
        if loaded.is_error():
            return Error(loaded.error)
        base = loaded.ok
        built = await build(base)
        if built.is_error():
            return Error(built.error)
        edit = built.ok
        refusal = _check(base, edit)
        if refusal is not None:
            return Error(refusal)
        if edit.is_empty:
            return Ok(CommittedEdit(configuration=base))
        limits = await limit_transaction(self._tables, base, edit)
        if limits.is_error():
            return Error(Refusal(failure=limits.error))
        return await self._commit(base, edit, origin, _merge_transactions(edit.extra, limits.ok))

    async def _commit(
        self, base: Configuration, edit: Edit, origin: str, extra: Transaction
    ) -> Result[CommittedEdit, Refusal]:
        result = await self._store.commit(
            base,
            puts=edit.puts,
            removes=edit.removes,
            origin=origin,
            rule=edit.rule,
            extra=extra,
        )
        if result.is_error():
            return Error(Refusal(failure=result.error))
        change = result.ok
        self._committed += 1
        self._log.emit(
            Event.CHANGE_COMMITTED, version=change.version, rule=edit.rule, origin=origin
        )
        self._on_committed(change)
        return Ok(CommittedEdit(configuration=base.apply(change), change=change))

    def _log_refusal(self, refusal: Refusal) -> None:
        failure = refusal.failure
        self._log.emit(
            Event.CHANGE_REFUSED, reason=failure.reason, step=failure.step, detail=failure.detail
        )


def _check(base: Configuration, edit: Edit) -> Refusal | None:
    problems = check_change(base, edit.puts, edit.removes)
    if problems:
        detail = "; ".join(str(problem) for problem in problems[:3])
        failure = Failure(Reason.INVALID_CHANGE, step="controller.check", detail=detail)
        return Refusal(failure=failure, problems=problems)
    problems = check_budget(base, apply_edit(base, edit.puts, edit.removes))
    if problems:
        detail = "; ".join(f"{item.entity}: {item.allowed}" for item in problems)
        failure = Failure(Reason.BUDGET, step="controller.check_budget", detail=detail)
        return Refusal(failure=failure, problems=problems)
    return None


def _merge_transactions(first: Transaction, second: Transaction) -> Transaction:
    return Transaction(
        checks=first.checks + second.checks,
        puts=first.puts + second.puts,
        deletes=first.deletes + second.deletes,
    )


def _is_lost_race(refusal: Refusal) -> bool:
    return refusal.failure.reason is Reason.CONFLICT and refusal.conflict is None
