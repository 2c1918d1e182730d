"""Client of the platform's row store."""

import base64
import binascii
from collections.abc import Mapping
from time import monotonic
from typing import Any

from expression import Error, Ok, Result

from fireflydeck.core import Failure, Ran, Reason
from fireflydeck.core.call_timeout import CallTimeout
from fireflydeck.core.rows import (
    RowKey,
    RowStore,
    RowTransaction,
    StoredRow,
    VersionedRows,
)
from fireflydeck.platform.fields import FIELD_ERRORS
from fireflydeck.platform.json_http_client import HttpAnswer, JsonHttpClient

__all__ = ["PlatformStore"]

_MAX_CONNECTIONS = 24
_PAGE_ROWS = 500
_MIN_TIMEOUT_MS = 250
_MAX_TIMEOUT_MS = 2000
_MS_PER_S = 1000
_LONG_POLL_MARGIN_MS = 700
"""Time beyond the wait of a long poll after which its connection is considered unresponsive."""

_OK = 200
_BAD_REQUEST = 400
_GONE = 410
_PRECONDITION_FAILED = 412
_PAYLOAD_TOO_LARGE = 413
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503


class PlatformStore(RowStore):
    """Client of the platform's row calls.

    The timeout of a call follows the store's recent latency and never exceeds that of the caller.
    A read to the end of a partition may use the caller's whole timeout, as long as bytes keep
    arriving.

    Parameters
    ----------
    address
        ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._http = JsonHttpClient(
            address, failure_reason=Reason.STORE_UNAVAILABLE, max_connections=_MAX_CONNECTIONS
        )
        self._timeout = CallTimeout(_MIN_TIMEOUT_MS, _MAX_TIMEOUT_MS)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def commit(self, transaction: RowTransaction, *, timeout_ms: int) -> Result[int, Failure]:
        """Apply the transaction and return the version it produced."""
        body = {
            "expected_revision": [
                {**_encode_key(item.id), "row_version": item.version}
                for item in transaction.conditions
            ],
            "upserts": [
                {**_encode_key(item.id), "value": base64.b64encode(item.value).decode()}
                for item in transaction.writes
            ],
            "remove": [_encode_key(key) for key in transaction.removals],
        }
        answer = await self._call("POST", "/-/rows-tx", "commit", timeout_ms, body=body)
        return answer.bind(lambda body: self._decode_version(body, "commit"))

    async def read(
        self, table: str, partition: str, *, first: str = "", before: str = "", timeout_ms: int
    ) -> Result[VersionedRows, Failure]:
        """Return all rows with ``first <= key < before``; an empty `before` means no end.

        The version is that of the first page: rows of later pages may be newer.

        Parameters
        ----------
        timeout_ms
            Timeout of each page.
        """
        rows: list[StoredRow] = []
        version = 0
        while True:
            params = {"table": table, "part": partition, "limit": str(_PAGE_ROWS)}
            if first:
                params["from"] = first
            if before:
                params["target"] = before
            answer = await self._call(
                "GET",
                "/-/rows-get",
                "read",
                timeout_ms,
                is_partition_read=not before,
                params=params,
            )
            page = answer.bind(lambda body: self._decode_page(body, "read"))
            if page.is_error():
                return Error(page.error)
            page_rows = page.ok.rows
            rows.extend(page_rows)
            version = version or page.ok.version
            if not answer.ok.get("has_more") or not page_rows:
                return Ok(VersionedRows(tuple(rows), version))
            first = page_rows[-1].id.key + "\0"

    async def read_changes(
        self, table: str, *, after: int, wait_ms: int
    ) -> Result[VersionedRows, Failure]:
        """Return the rows of a table that changed after a version.

        Parameters
        ----------
        wait_ms
            Longest time that the store waits for a change before it answers without rows.
        """
        params = {"table": table, "depends_on": str(after), "wait_ms": str(wait_ms)}
        timeout_ms = wait_ms + _LONG_POLL_MARGIN_MS
        received = await self._http.exchange(
            "GET", "/-/rows-feed", step="store.changes", timeout_ms=timeout_ms, params=params
        )
        answer = received.bind(lambda page: self._check_status(page, "store.changes"))
        return answer.bind(lambda body: self._decode_page(body, "changes"))

    async def _call(
        self,
        method: str,
        path: str,
        step: str,
        timeout_ms: int,
        *,
        is_partition_read: bool = False,
        **options: Any,
    ) -> Result[Mapping[str, Any], Failure]:
        """Make one call; `is_partition_read` allows `timeout_ms` while bytes keep arriving."""
        step = f"store.{step}"
        sent_s = monotonic()
        answer_timeout_ms = min(timeout_ms, self._timeout.timeout_ms)
        answer = await self._http.exchange(
            method,
            path,
            step=step,
            timeout_ms=timeout_ms if is_partition_read else answer_timeout_ms,
            read_timeout_ms=answer_timeout_ms,
            **options,
        )
        if answer.is_error() and answer_timeout_ms < timeout_ms:
            self._timeout.record_timeout()
        elif answer.is_ok() and not is_partition_read:
            self._timeout.record_answer((monotonic() - sent_s) * _MS_PER_S)
        return answer.bind(lambda received: self._check_status(received, step))

    def _check_status(self, answer: HttpAnswer, step: str) -> Result[Mapping[str, Any], Failure]:
        if answer.status == _OK:
            return Ok(answer.body)
        reason, ran = {
            _BAD_REQUEST: (Reason.BAD_REQUEST, Ran.NO),
            _PAYLOAD_TOO_LARGE: (Reason.BAD_REQUEST, Ran.NO),
            _PRECONDITION_FAILED: (Reason.CONFLICT, Ran.NO),
            _GONE: (Reason.NOT_FOUND, Ran.NO),
            _TOO_MANY_REQUESTS: (Reason.TOO_MANY_REQUESTS, Ran.NO),
            _UNAVAILABLE: (Reason.STORE_UNAVAILABLE, Ran.NO),
        }.get(answer.status, (Reason.INTERNAL, Ran.UNKNOWN))
        detail = f"status {answer.status}"
        return Error(Failure(reason, step, peer=self._http.address, detail=detail, ran=ran))

    def _decode_version(self, body: Mapping[str, Any], step: str) -> Result[int, Failure]:
        version = _int_or_zero(body.get("row_version"))
        return (
            Ok(version)
            if version > 0
            else Error(self._invalid_answer(step, "answer without a version"))
        )

    def _decode_page(self, body: Mapping[str, Any], step: str) -> Result[VersionedRows, Failure]:
        """Decode rows; an answer without a list of rows is invalid and does not count as empty."""
        try:
            rows = tuple(_decode_row(row) for row in body["rows"])
            return Ok(VersionedRows(rows, int(body["row_version"])))
        except FIELD_ERRORS as error:
            return Error(self._invalid_answer(step, f"rows can't be read: {error!r}"))

    def _invalid_answer(self, step: str, detail: str) -> Failure:
        return Failure(
            Reason.ANSWER_INVALID,
            f"store.{step}",
            peer=self._http.address,
            detail=detail,
            ran=Ran.UNKNOWN,
        )


def _int_or_zero(value: Any) -> int:
    return value if type(value) is int else 0


def _encode_key(key: RowKey) -> dict[str, Any]:
    return {"table": key.table, "part": key.partition, "key": key.key}


def _decode_row(row: Mapping[str, Any]) -> StoredRow:
    key = RowKey(row["table"], row.get("part", ""), row["key"])
    deleted = bool(row.get("deleted"))
    try:
        value = b"" if deleted else base64.b64decode(row.get("value", ""))
    except binascii.Error:
        value = b""
    return StoredRow(key, value, _int_or_zero(row.get("row_version")), deleted)
