"""Probes that tell which configuration version each entry process answers by."""

from collections.abc import Iterable, Iterator
from random import Random

import httpx
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from fireflydeck.core import Clock
from fireflydeck.platform.standin.documents import CALLER_HEADERS
from fireflydeck.soak.operator import Operator, queue_of_version
from fireflydeck.soak.promises import Violation

__all__ = ["ConfigurationProber", "QueueProbe", "check_configurations"]

_PAUSE_RANGE_MS = (50, 250)
_MAX_VERSIONS_BACK = 4
_TIMEOUT_S = 3.0
_PROMISE = "configuration does not go back"


@frozen
class QueueProbe:
    """Answer of an entry process to a query about the queue of one configuration version.

    Parameters
    ----------
    newest_version
        Newest configuration version in the store when the answer arrived.
    """

    entry: str
    version: int
    status: int
    sent_ms: int
    answered_ms: int
    newest_version: int


@define(eq=False)
class ConfigurationProber:
    """Asks each entry process for queues of the newest configuration versions.

    Attributes
    ----------
    probes
        Answers that depend on the configuration.
    """

    addresses: list[str]
    operator: Operator
    random: Random
    clock: Clock
    probes: list[QueueProbe] = field(factory=list)

    def start(self, tasks: TaskGroup) -> None:
        """Start to probe, until the tasks are cancelled."""
        for address in self.addresses:
            tasks.start_soon(self._probe_repeatedly, address)

    async def _probe_repeatedly(self, address: str) -> None:
        async with httpx.AsyncClient(
            base_url=f"http://{address}", headers=CALLER_HEADERS, timeout=_TIMEOUT_S
        ) as client:
            while True:
                await self.clock.sleep_ms(self.random.randint(*_PAUSE_RANGE_MS))
                await self._probe(client, address)

    async def _probe(self, client: httpx.AsyncClient, address: str) -> None:
        version = self.operator.version - self.random.randrange(_MAX_VERSIONS_BACK)
        sent_ms = self.clock.now_ms()
        try:
            answer = await client.get(f"/{queue_of_version(version)}/")
        except httpx.HTTPError:
            return
        if answer.status_code not in (httpx.codes.OK, httpx.codes.NOT_FOUND):
            return
        self.probes.append(
            QueueProbe(
                address,
                version,
                answer.status_code,
                sent_ms,
                self.clock.now_ms(),
                self.operator.version,
            )
        )


def check_configurations(probes: Iterable[QueueProbe]) -> list[Violation]:
    """Return the answers that only an older version allows than one that was shown before."""
    found: list[Violation] = []
    by_entry: dict[str, list[QueueProbe]] = {}
    for probe in probes:
        by_entry.setdefault(probe.entry, []).append(probe)
    for of_entry in by_entry.values():
        found.extend(_regressions(of_entry))
    return found


def _regressions(probes: list[QueueProbe]) -> Iterator[Violation]:
    """Find the regressions of one entry process."""
    for probe in probes:
        shown = max(
            (
                earlier.version
                for earlier in probes
                if earlier.status == httpx.codes.OK and earlier.answered_ms < probe.sent_ms
            ),
            default=0,
        )
        if probe.status == httpx.codes.OK:
            is_older = probe.version < shown
        else:
            is_older = probe.version == shown == probe.newest_version
        if is_older:
            yield Violation(_PROMISE, f"{probe} after version {shown}")
