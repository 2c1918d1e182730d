"""HTTP client of the platform's table service."""

import json
from typing import Any

import httpx
from expression import Error, Ok, Result

from fireflydeck.core import Failure, Reason
from fireflydeck.tables.http_client import Call, HttpClient, parse_json, quote_key
from fireflydeck.tables.interfaces import ABSENT, Check, Row, TableService, Transaction

__all__ = ["HttpTableService"]

_OK_OR_MISSING = frozenset({200, 404})
_OK_OR_CONFLICT = frozenset({200, 409})


class HttpTableService(TableService):
    """Table service over HTTP.

    Parameters
    ----------
    client
        Client with the shared connections.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def get(self, table: str, key: str) -> Result[Row | None, Failure]:
        """Return a row, or `None` if it does not exist."""
        path = f"/tables/{quote_key(table)}/rows/{quote_key(key)}"
        call = Call(step="store.get", method="GET", path=path, accepted=_OK_OR_MISSING)

        def parse(response: httpx.Response) -> Row | None:
            if response.status_code == httpx.codes.NOT_FOUND:
                return None
            return _parse_row(table, key, parse_json(response))

        return await self._client.call(call, parse)

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], Failure]:
        """Return rows in key order."""
        call = Call(
            step="store.scan",
            method="GET",
            path=f"/tables/{quote_key(table)}/rows",
            params={"prefix": prefix, "after": after, "limit": limit},
        )
        return await self._client.call(
            call, lambda response: _parse_rows(table, after, parse_json(response))
        )

    async def commit(self, transaction: Transaction) -> Result[None, Failure]:
        """Apply a transaction."""
        call = Call(
            step="store.commit",
            method="POST",
            path="/transactions",
            accepted=_OK_OR_CONFLICT,
            writes=True,
            content=_encode(transaction),
        )
        outcome = await self._client.call(call, _parse_commit)
        return outcome.bind(lambda failed: _conflict(failed) if failed else Ok(None))


def _encode(transaction: Transaction) -> bytes:
    checks = [
        {"table": check.table, "key": check.key, "version": check.version}
        for check in transaction.checks
    ]
    puts = [{"table": put.table, "key": put.key, "value": put.value} for put in transaction.puts]
    deletes = [{"table": delete.table, "key": delete.key} for delete in transaction.deletes]
    plain = {"checks": checks, "puts": puts, "deletes": deletes}
    return json.dumps(plain, allow_nan=False).encode()


def _parse_row(table: str, key: Any, plain: dict[str, Any]) -> Row:
    version = plain["version"]
    if not isinstance(key, str):
        raise ValueError("key is not a string")
    if type(version) is not int or version <= ABSENT:
        raise ValueError("version is not a positive integer")
    return Row(table, key, version, plain["value"])


def _parse_rows(table: str, after: str, plain: dict[str, Any]) -> tuple[Row, ...]:
    rows = tuple(_parse_row(table, row["key"], row) for row in plain["rows"])
    last = after
    for row in rows:
        if row.key <= last:
            raise ValueError("rows are not in key order")
        last = row.key
    return rows


def _parse_commit(response: httpx.Response) -> tuple[Check, ...]:
    plain = parse_json(response)
    if response.status_code == httpx.codes.OK:
        return ()
    failed = tuple(Check(row["table"], row["key"], row["version"]) for row in plain["failed"])
    if not failed:
        raise ValueError("conflict without failed rows")
    return failed


def _conflict(failed: tuple[Check, ...]) -> Result[None, Failure]:
    detail = ", ".join(f"{check.table}/{check.key}" for check in failed)
    return Error(Failure(Reason.CONFLICT, step="store.commit", peer="store", detail=detail))
