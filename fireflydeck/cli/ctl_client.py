"""HTTP client of the operator interface, with failover and resolution of lost answers."""

from collections.abc import Callable, Mapping, Sequence
from enum import IntEnum
from typing import Any
from urllib.parse import quote

import httpx
from attrs import field, frozen

from fireflydeck.core import EntityKey

__all__ = ["ControllerClient", "CtlError", "EntityChange", "ExitCode", "SheetText", "entity_path"]

_CONNECT_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 30.0
_MAX_ATTEMPTS = 3
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout)


class ExitCode(IntEnum):
    """Exit codes of the operators' client."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    UNKNOWN = 5


class CtlError(Exception):
    """Error that ends a command.

    Parameters
    ----------
    code
        Exit code of the process.
    message
        One line for the operator.
    document
        Problem document in the controller's answer, if there is one.
    """

    def __init__(
        self, code: ExitCode, message: str, document: Mapping[str, Any] | None = None
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.document = dict(document or {})


@frozen(kw_only=True)
class EntityChange:
    """A change of one entity.

    Parameters
    ----------
    method, path, body
        HTTP request that makes the change.
    key
        Key of the entity; the change is conditional on the version of the entity.
    is_done
        Function of the entity that was read back (`None` if it does not exist) that returns
        whether the change was made.
    """

    method: str
    path: str
    key: EntityKey
    is_done: Callable[[Mapping[str, Any] | None], bool]
    body: Mapping[str, Any] | None = None


@frozen(kw_only=True)
class SheetText:
    """Text of a sheet to check, plan or apply."""

    text: str = field(repr=False)


class _LostAnswerError(Exception):
    """Error for a request that may have been sent and may have taken effect."""


def entity_path(key: EntityKey) -> str:
    """Return the URL path of an entity.

    Examples
    --------
    >>> entity_path(EntityKey("pool", "records"))
    '/configuration/pool/records'
    """
    return f"/configuration/{key.kind}/{quote(key.name, safe='')}"


class ControllerClient:
    """Client that uses the first controller that answers.

    A request that was not sent goes to the next controller. If the answer to a change was lost,
    its outcome is resolved first: the entity is read back, and the change is sent again only while
    the entity is still at the version that the change is conditional on.

    Parameters
    ----------
    addresses
        Addresses of the controllers' operator interfaces, ``ip:port``.
    operator_key
        Key of the operators.
    transports
        HTTP transports by address, for tests; real connections by default.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        operator_key: str,
        transports: Mapping[str, httpx.AsyncBaseTransport] | None = None,
    ) -> None:
        self._addresses = list(addresses)
        self._headers = {"authorization": f"Bearer {operator_key}"}
        self._transports = transports or {}

    # Reads

    async def read(self, path: str, fresh: bool = False) -> dict[str, Any]:
        """Return the JSON document at the path.

        Parameters
        ----------
        fresh
            Whether the document must be confirmed by the store.

        Raises
        ------
        CtlError
            If no controller answers or the request is refused; with `fresh` also if the store does
            not answer the controller.
        """
        document = _json(await self._send_read("GET", path))
        if fresh and not document.get("fresh", True):
            raise CtlError(ExitCode.UNREACHABLE, "the store does not answer the controller")
        return document

    async def read_text(self, path: str) -> str:
        """Return the text at the path."""
        return (await self._send_read("GET", path)).text

    async def post_sheet(self, path: str, sheet: SheetText) -> dict[str, Any]:
        """Return the answer to a sheet that is only checked or planned and changes nothing."""
        return _json(await self._send_read("POST", path, sheet.text))

    async def entity(self, key: EntityKey) -> dict[str, Any] | None:
        """Return the current entity as confirmed by the store, or `None` if it does not exist."""
        try:
            document = await self.read(entity_path(key), fresh=True)
        except CtlError as error:
            if error.document.get("status") == httpx.codes.NOT_FOUND:
                return None
            raise
        return document["entity"]

    # Changes

    async def change(self, change: EntityChange, if_version: int | None = None) -> dict[str, Any]:
        """Make the change once and return the controller's answer.

        Parameters
        ----------
        if_version
            Version of the entity that the change is conditional on; by default the current one.

        Raises
        ------
        CtlError
            If the change is refused or no controller can be reached; with code `UNKNOWN` if the
            outcome could not be resolved.
        """
        version = if_version
        if version is None:
            version = _version_of(await self.entity(change.key))
        headers = {"if-version": str(version)}
        for attempt in range(_MAX_ATTEMPTS):
            try:
                return await self._send_change(change.method, change.path, change.body, headers)
            except _LostAnswerError:
                pass
            except CtlError as error:
                # An earlier attempt may have taken effect and caused the conflict.
                if attempt == 0 or error.code is not ExitCode.CONFLICT:
                    raise
            answer = await self._resolve_change(change, version)
            if answer is not None:
                return answer
        raise _unknown(f"{change.key}: no answer after {_MAX_ATTEMPTS} attempts")

    async def _resolve_change(self, change: EntityChange, version: int) -> dict[str, Any] | None:
        """Return the outcome of a change whose answer was lost; `None` if it can be sent again."""
        try:
            found = await self.entity(change.key)
        except CtlError as error:
            raise _unknown(f"{change.key}: the answer was lost; {error.message}") from error
        if change.is_done(found):
            return {"version": _version_of(found), "changed": True, "settled": True}
        if _version_of(found) != version:
            raise _unknown(
                f"{change.key}: the answer was lost, and the entity is now at version "
                f"{_version_of(found)} but not as requested; check it with 'show' before a retry"
            )
        return None

    async def apply_sheet(self, sheet: SheetText) -> dict[str, Any]:
        """Apply the sheet once and return the controller's answer.

        Raises
        ------
        CtlError
            If the sheet is refused or no controller can be reached; with code `UNKNOWN` if the
            outcome could not be resolved.
        """
        for _ in range(_MAX_ATTEMPTS):
            try:
                return await self._send_change("POST", "/sheet/apply", sheet.text, {})
            except _LostAnswerError:
                answer = await self._resolve_sheet(sheet)
                if answer is not None:
                    return answer
        raise _unknown(f"sheet: no answer after {_MAX_ATTEMPTS} attempts")

    async def _resolve_sheet(self, sheet: SheetText) -> dict[str, Any] | None:
        """Return the outcome of a sheet whose answer was lost; `None` if it can be sent again.

        The sheet counts as applied if a new plan leaves every row unchanged or in conflict.
        """
        try:
            plan = await self.post_sheet("/sheet/plan", sheet)
        except CtlError as error:
            raise _unknown(f"sheet: the answer was lost; {error.message}") from error
        if all(step["step"] in ("keep", "conflict") for step in plan["steps"]):
            return {**plan, "version": plan["base_version"], "settled": True}
        return None

    # Requests

    async def _send_read(self, method: str, path: str, text: str = "") -> httpx.Response:
        last_error = CtlError(ExitCode.UNREACHABLE, "no controller answered")
        for address in list(self._addresses):
            try:
                answer = await self._send(address, method, path, text or None, {})
            except httpx.TransportError as error:
                last_error = _unreachable(address, error)
                continue
            if answer.status_code == httpx.codes.SERVICE_UNAVAILABLE:
                last_error = _refusal(answer)
                continue
            if answer.is_success:
                self._use_first(address)
                return answer
            raise _refusal(answer)
        raise last_error

    async def _send_change(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | str | None,
        headers: Mapping[str, str],
    ) -> dict[str, Any]:
        last_error = CtlError(ExitCode.UNREACHABLE, "no controller answered")
        for address in list(self._addresses):
            try:
                answer = await self._send(address, method, path, body, headers)
            except _NOT_SENT_ERRORS as error:
                last_error = _unreachable(address, error)
                continue
            except httpx.TransportError as error:
                raise _LostAnswerError from error
            if answer.is_success:
                self._use_first(address)
                return _json(answer)
            refusal = _refusal(answer)
            if answer.is_server_error and refusal.document.get("ran") != "no":
                raise _LostAnswerError
            if answer.status_code != httpx.codes.SERVICE_UNAVAILABLE:
                raise refusal
            last_error = refusal
        raise last_error

    async def _send(
        self,
        address: str,
        method: str,
        path: str,
        body: Mapping[str, Any] | str | None,
        headers: Mapping[str, str],
    ) -> httpx.Response:
        timeout = httpx.Timeout(_READ_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S)
        transport = self._transports.get(address)
        url = f"http://{address}"
        async with httpx.AsyncClient(
            base_url=url, timeout=timeout, transport=transport, trust_env=False
        ) as client:
            sent = {**self._headers, **headers}
            if isinstance(body, str):
                content = body.encode("utf-8")
                return await client.request(method, path, content=content, headers=sent)
            return await client.request(method, path, json=body, headers=sent)

    def _use_first(self, address: str) -> None:
        self._addresses.remove(address)
        self._addresses.insert(0, address)


def _version_of(entity: Mapping[str, Any] | None) -> int:
    return entity["entity_version"] if entity else 0


def _json(answer: httpx.Response) -> dict[str, Any]:
    try:
        document = answer.json()
    except ValueError:
        document = None
    if not isinstance(document, dict):
        raise CtlError(ExitCode.UNKNOWN, "the controller's answer is not a JSON object")
    return document


def _refusal(answer: httpx.Response) -> CtlError:
    try:
        document = answer.json()
    except ValueError:
        document = None
    if not isinstance(document, dict):
        return CtlError(ExitCode.REFUSED, f"HTTP status {answer.status_code}")
    title = document.get("title", "")
    detail = title if document.get("problems") else document.get("detail") or title
    message = f"{document.get('reason', '')}: {detail}"
    return CtlError(_exit_code(document), message, {**document, "status": answer.status_code})


def _exit_code(document: Mapping[str, Any]) -> ExitCode:
    if document.get("ran") == "unknown":
        return ExitCode.UNKNOWN
    if document.get("reason") == "conflict":
        return ExitCode.CONFLICT
    if document.get("status") == httpx.codes.SERVICE_UNAVAILABLE:
        return ExitCode.UNREACHABLE
    return ExitCode.REFUSED


def _unreachable(address: str, error: httpx.TransportError) -> CtlError:
    detail = str(error) or type(error).__name__
    return CtlError(ExitCode.UNREACHABLE, f"controller {address}: {detail}")


def _unknown(message: str) -> CtlError:
    return CtlError(ExitCode.UNKNOWN, message)
