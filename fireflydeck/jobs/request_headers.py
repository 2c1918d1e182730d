"""Parser of the headers of a request that creates a job."""

from collections.abc import Mapping

from attrs import frozen
from expression import Error, Ok, Result

from fireflydeck.core import Failure, Reason, Urgency

__all__ = ["JobHeaders", "parse_job_headers"]

_MAX_KEY_CHARACTERS = 255
_MAX_SIZE = 2**31
_BOOLEANS = {"true": True, "false": False}


@frozen(kw_only=True)
class JobHeaders:
    """Job parameters from the request headers; sizes are 0 if not declared."""

    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = False
    idempotency_key: str = ""
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


def parse_job_headers(headers: Mapping[str, str]) -> Result[JobHeaders, Failure]:
    """Parse and validate the headers; a failure names the invalid header.

    Parameters
    ----------
    headers
        Header fields by lower-case name.

    Examples
    --------
    >>> parse_job_headers({"x-urgency": "batch"}).ok.urgency
    <Urgency.BATCH: 'batch'>
    >>> parse_job_headers({"x-cores": "-1"}).error.detail
    "x-cores is '-1'; allowed: a whole number from 0"
    """
    urgency = headers.get("x-urgency", Urgency.NORMAL.value)
    idempotent = headers.get("x-idempotent", "false")
    key = headers.get("idempotency-key", "")
    if urgency not in list(Urgency):
        return _refuse("x-urgency", urgency, ", ".join(Urgency))
    if idempotent not in _BOOLEANS:
        return _refuse("x-idempotent", idempotent, "true, false")
    if len(key) > _MAX_KEY_CHARACTERS:
        return _refuse("idempotency-key", key, f"up to {_MAX_KEY_CHARACTERS} characters")
    sizes: dict[str, int] = {}
    for name in ("x-cores", "x-memory-mb", "x-accelerators"):
        text = headers.get(name, "0")
        if not (text.isascii() and text.isdecimal() and int(text) < _MAX_SIZE):
            return _refuse(name, text, "a whole number from 0")
        sizes[name] = int(text)
    return Ok(
        JobHeaders(
            urgency=Urgency(urgency),
            idempotent=_BOOLEANS[idempotent],
            idempotency_key=key,
            cores=sizes["x-cores"],
            memory_mb=sizes["x-memory-mb"],
            accelerators=sizes["x-accelerators"],
        )
    )


def _refuse(name: str, value: str, allowed: str) -> Result[JobHeaders, Failure]:
    detail = f"{name} is {value[:40]!r}; allowed: {allowed}"
    return Error(Failure(Reason.BAD_REQUEST, "jobs.parse-headers", detail=detail))
