"""Finds the decisions about a subject in the object store and the configuration log."""

import json
import zlib

import anyio
from expression import Error, Ok, Result

from fireflydeck.configuration import VersionedStore
from fireflydeck.core import Clock, ConfigurationChange, EntityKey, Failure, Reason
from fireflydeck.core.converter import ConversionError, from_plain
from fireflydeck.history.decision import Decision, DecisionBatch, Input, Subject, SubjectKind
from fireflydeck.history.history import batch_prefix
from fireflydeck.tables import ObjectStore

__all__ = ["Explainer", "request_time_ms"]

_MS_PER_MINUTE = 60_000
_REQUEST_MINUTES = 5
_RECENT_MINUTES = 10
_PARALLEL_READS = 16
_TIMESTAMP_DIGITS = 12


def request_time_ms(request_id: str) -> int | None:
    """Return the wall time that a request id begins with; `None` if it has none.

    Examples
    --------
    >>> request_time_ms("01a240484cc5-46e39c-000001-gateway")
    1796374809797
    """
    try:
        return int(request_id[:_TIMESTAMP_DIGITS], 16)
    except ValueError:
        return None


class Explainer:
    """Reads decision records.

    Parameters
    ----------
    objects
        Where the members' batches are.
    store
        The configuration, whose log tells why entities changed.
    """

    def __init__(self, objects: ObjectStore, store: VersionedStore, clock: Clock) -> None:
        self._objects = objects
        self._store = store
        self._clock = clock

    async def explain(self, kind: str, name: str) -> Result[tuple[Decision, ...], Failure]:
        """Return the decisions about a subject in the order of their time.

        Requests are searched in the minutes after their admission; other subjects in the last
        minutes, and in the kept log of configuration changes.
        """
        try:
            subject = Subject(SubjectKind(kind), name)
        except ValueError:
            allowed = ", ".join(SubjectKind)
            return Error(_failure(Reason.BAD_REQUEST, f"subject {kind!r:.40} is not of: {allowed}"))
        recorded = await self._recorded(subject)
        if recorded.is_error() or subject.kind is SubjectKind.REQUEST:
            return recorded
        changes = await self._store.changes_since(0)
        if changes.is_error():
            return Error(changes.error)
        decisions = [*recorded.ok, *_changes_of(subject, changes.ok)]
        return Ok(tuple(sorted(decisions, key=lambda decision: decision.wall_ms)))

    async def _recorded(self, subject: Subject) -> Result[tuple[Decision, ...], Failure]:
        found: list[Decision] = []
        for minute_ms in self._minutes(subject):
            keys = await self._objects.list(batch_prefix(minute_ms))
            if keys.is_error():
                return Error(keys.error)
            for start in range(0, len(keys.ok), _PARALLEL_READS):
                found += await self._read_all(keys.ok[start : start + _PARALLEL_READS], subject)
        return Ok(tuple(sorted(found, key=lambda decision: decision.wall_ms)))

    def _minutes(self, subject: Subject) -> range:
        now_ms = self._clock.wall_ms()
        since_ms = now_ms - _RECENT_MINUTES * _MS_PER_MINUTE
        until_ms = now_ms
        if subject.kind is SubjectKind.REQUEST:
            admitted_ms = request_time_ms(subject.name)
            if admitted_ms is not None:
                # Batches are filed under the minute of their first decision.
                since_ms = admitted_ms - _MS_PER_MINUTE
                until_ms = min(now_ms, admitted_ms + _REQUEST_MINUTES * _MS_PER_MINUTE)
        return range(since_ms, until_ms + _MS_PER_MINUTE, _MS_PER_MINUTE)

    async def _read_all(self, keys: tuple[str, ...], subject: Subject) -> list[Decision]:
        found: list[Decision] = []

        async def read(key: str) -> None:
            content = await self._objects.get(key)
            if content.is_ok() and content.ok is not None:
                found.extend(d for d in _decisions_of(content.ok) if d.concerns(subject))

        async with anyio.create_task_group() as tasks:
            for key in keys:
                tasks.start_soon(read, key)
        return found


def _decisions_of(content: bytes) -> tuple[Decision, ...]:
    try:
        return from_plain(json.loads(zlib.decompress(content)), DecisionBatch).decisions
    except (zlib.error, ValueError, ConversionError):
        return ()


def _changes_of(subject: Subject, changes: tuple[ConfigurationChange, ...]) -> list[Decision]:
    key = EntityKey(subject.kind, subject.name)
    return [_decision_of(change, subject, key) for change in changes if _touches(change, key)]


def _touches(change: ConfigurationChange, key: EntityKey) -> bool:
    return key in change.removes or any(entity.key == key for entity in change.puts)


def _decision_of(change: ConfigurationChange, subject: Subject, key: EntityKey) -> Decision:
    removed = key in change.removes
    return Decision(
        number=change.version,
        wall_ms=change.wall_ms,
        member="configuration",
        subjects=(subject,),
        rule=change.rule,
        outcome=f"{key} {'removed' if removed else 'changed'} by the {change.origin}",
        step="configuration.commit",
        version=change.version,
        inputs=(Input("change_id", change.change_id),),
    )


def _failure(reason: Reason, detail: str) -> Failure:
    return Failure(reason, step="history.explain", detail=detail)
