"""Client of the platform's placement advisor."""

from collections.abc import Sequence

from expression import Error, Ok, Result

from fireflydeck.core import Failure, Ran, Reason
from fireflydeck.core.advisor import Advice, PlacementAdvisor
from fireflydeck.platform.json_http_client import HttpAnswer, JsonHttpClient

__all__ = ["AdvisorClient"]

_OK = 200


class AdvisorClient(PlacementAdvisor):
    """Client that uses one connection, since the advisor serves one call per process at a time.

    Parameters
    ----------
    address
        ``ip:port`` of the advisor.
    """

    def __init__(self, address: str) -> None:
        self._http = JsonHttpClient(address, failure_reason=Reason.NO_CAPACITY, max_connections=1)

    async def close(self) -> None:
        """Close the connection."""
        await self._http.close()

    async def advise(
        self, step: str, server_ids: Sequence[str], *, timeout_ms: int
    ) -> Result[Advice, Failure]:
        """Return tickets for those of the given backend servers that may run the step.

        Returns
        -------
        Result[Advice, Failure]
            The tickets, or a failure. Every answer that gives no advice leads to a failure with
            `Ran.NO`.
        """
        answer = await self._http.exchange(
            "POST",
            "/-/advise",
            step="advisor.advise",
            timeout_ms=timeout_ms,
            body={"step": step, "workers": list(server_ids)},
        )
        return answer.bind(self._decode)

    def _decode(self, answer: HttpAnswer) -> Result[Advice, Failure]:
        if answer.status != _OK:
            return Error(self._failure(Reason.TOO_MANY_REQUESTS, f"status {answer.status}"))
        try:
            tickets = {server_id: ticket for server_id, ticket in answer.body["good"]}
            return Ok(Advice(tickets, int(answer.body.get("validity_ms", 0))))
        except (KeyError, TypeError, ValueError) as error:
            return Error(self._failure(Reason.ANSWER_INVALID, repr(error)))

    def _failure(self, reason: Reason, detail: str) -> Failure:
        return Failure(reason, "advisor.advise", peer=self._http.address, detail=detail, ran=Ran.NO)
