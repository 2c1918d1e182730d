"""Search for the decisions about a subject in the object store and the configuration log."""

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
_REQUEST_SEARCH_MINUTES = 5
_RECENT_SEARCH_MINUTES = 10
_PARALLEL_READS = 16
_TIMESTAMP_DIGITS = 12


def request_time_ms(request_id: str) -> int | None:
    """Return the wall time in milliseconds at the start of a request ID; `None` if it has none.

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
    """Searches the decision records and the configuration log.

    Parameters
    ----------
    objects
        Object store with the members' decision batches.
    store
        Store of the configuration; its log has the reasons why entities changed.
    """

    def __init__(self, objects: ObjectStore, store: VersionedStore, clock: Clock) -> None:
        self._objects = objects
        self._store = store
        self._clock = clock

    async def explain(self, kind: str, name: str) -> Result[tuple[Decision, ...], Failure]:
        """Return the decisions about a subject, ordered by time.

        For a request, the batches of the minutes after its admission are searched. For another
        subject, the batches of the most recent minutes and the configuration changes that the log
        still contains are searched.

        Parameters
        ----------
        kind
            A value of `SubjectKind`.
        name
            Request ID, or name of the entity.
        """
        try:
            subject = Subject(SubjectKind(kind), name)
        except ValueError:
            allowed = ", ".join(SubjectKind)
            return Error(_failure(Reason.BAD_REQUEST, f"subject {kind!r:.40} is not of: {allowed}"))
        recorded = await self._find_recorded(subject)
        if recorded.is_error() or subject.kind is SubjectKind.REQUEST:
            return recorded
        changes = await self._store.changes_since(0)
        if changes.is_error():
            return Error(changes.error)
        decisions = [*recorded.ok, *_find_changes(subject, changes.ok)]
        return Ok(tuple(sorted(decisions, key=lambda decision: decision.wall_ms)))

    async def _find_recorded(self, subject: Subject) -> Result[tuple[Decision, ...], Failure]:
        found: list[Decision] = []
        for minute_ms in self._search_minutes(subject):
            keys = await self._objects.list(batch_prefix(minute_ms))
            if keys.is_error():
                return Error(keys.error)
            for start in range(0, len(keys.ok), _PARALLEL_READS):
                found += await self._read_batches(keys.ok[start : start + _PARALLEL_READS], subject)
        return Ok(tuple(sorted(found, key=lambda decision: decision.wall_ms)))

    def _search_minutes(self, subject: Subject) -> range:
        now_ms = self._clock.wall_ms()
        since_ms = now_ms - _RECENT_SEARCH_MINUTES * _MS_PER_MINUTE
        until_ms = now_ms
        if subject.kind is SubjectKind.REQUEST:
            admitted_ms = request_time_ms(subject.name)
            if admitted_ms is not None:
                # The object key of a batch has the minute of its first decision, which can be the
                # minute before the admission.
                since_ms = admitted_ms - _MS_PER_MINUTE
                until_ms = min(now_ms, admitted_ms + _REQUEST_SEARCH_MINUTES * _MS_PER_MINUTE)
        return range(since_ms, until_ms + _MS_PER_MINUTE, _MS_PER_MINUTE)

    async def _read_batches(self, keys: tuple[str, ...], subject: Subject) -> list[Decision]:
        found: list[Decision] = []

        async def read(key: str) -> None:
            content = await self._objects.get(key)
            if content.is_ok() and content.ok is not None:
                found.extend(d for d in _decode_batch(content.ok) if d.concerns(subject))

        async with anyio.create_task_group() as tasks:
            for key in keys:
                tasks.start_soon(read, key)
        return found


def _decode_batch(content: bytes) -> tuple[Decision, ...]:
    try:
        return from_plain(json.loads(zlib.decompress(content)), DecisionBatch).decisions
    except (zlib.error, ValueError, ConversionError):
        return ()


def _find_changes(subject: Subject, changes: tuple[ConfigurationChange, ...]) -> list[Decision]:
    key = EntityKey(subject.kind, subject.name)
    return [_convert_change(change, subject, key) for change in changes if _affects(change, key)]


def _affects(change: ConfigurationChange, key: EntityKey) -> bool:
    return key in change.removes or any(entity.key == key for entity in change.puts)


def _convert_change(change: ConfigurationChange, subject: Subject, key: EntityKey) -> Decision:
    is_removed = key in change.removes
    return Decision(
        number=change.version,
        wall_ms=change.wall_ms,
        member="configuration",
        subjects=(subject,),
        rule=change.rule,
        outcome=f"{key} {'removed' if is_removed else 'changed'} by the {change.origin}",
        step="configuration.commit",
        version=change.version,
        inputs=(Input("change_id", change.change_id),),
    )


def _failure(reason: Reason, detail: str) -> Failure:
    return Failure(reason, step="history.explain", detail=detail)
