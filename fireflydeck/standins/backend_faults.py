"""Faults of the backend server stand-in."""

from attrs import frozen
from starlette.responses import Response

from fireflydeck.standins.answers import NoAnswer, TruncatedAnswer

__all__ = ["BackendFaults", "apply_answer_faults"]

_REQUEST_ID = "x-request-id"


@frozen(kw_only=True)
class BackendFaults:
    """Faults of answers to work; calls below ``/-/`` other than task starts have none.

    Parameters
    ----------
    delay_ms
        Time between the end of the work and its answer.
    fail
        Work fails: 500 for a synchronous request, state ``failed`` for a long task.
    truncate
        Send half of the answer's body and close the connection.
    no_answer
        Do the work and close the connection without an answer.
    wrong_id
        Answer with the identity of another request.
    """

    delay_ms: int = 0
    fail: bool = False
    truncate: bool = False
    no_answer: bool = False
    wrong_id: bool = False


def apply_answer_faults(response: Response, faults: BackendFaults) -> Response:
    """Return the answer as the faults leave it."""
    if faults.wrong_id:
        response.headers[_REQUEST_ID] = "other-" + response.headers.get(_REQUEST_ID, "")
    if faults.no_answer:
        return NoAnswer()
    if faults.truncate:
        headers = dict(response.headers)
        return TruncatedAnswer(response.body, response.status_code, headers)
    return response
