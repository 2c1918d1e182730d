"""Faults of the backend server stand-in."""

from attrs import frozen
from starlette.responses import Response

from fireflydeck.standins.answers import NoAnswer, TruncatedAnswer

__all__ = ["BackendFaults", "apply_answer_faults"]

_REQUEST_ID_HEADER = "x-request-id"


@frozen(kw_only=True)
class BackendFaults:
    """Faults in the responses to synchronous requests and task starts.

    Other calls below ``/-/`` are served without faults.

    Parameters
    ----------
    delay_ms
        Time between the end of the work and its response.
    fail
        The work fails: status 500 for a synchronous request, state ``failed`` for a long task.
    truncate
        Send half of the response body and close the connection.
    no_answer
        Do the work and close the connection without a response.
    wrong_id
        Respond with the id of another request.
    """

    delay_ms: int = 0
    fail: bool = False
    truncate: bool = False
    no_answer: bool = False
    wrong_id: bool = False


def apply_answer_faults(response: Response, faults: BackendFaults) -> Response:
    """Return the response with the faults applied to it."""
    if faults.wrong_id:
        response.headers[_REQUEST_ID_HEADER] = "other-" + response.headers.get(
            _REQUEST_ID_HEADER, ""
        )
    if faults.no_answer:
        return NoAnswer()
    if faults.truncate:
        headers = dict(response.headers)
        return TruncatedAnswer(response.body, response.status_code, headers)
    return response
