"""Operator of a soak run, who changes the configuration and evacuates data centres at random."""

from enum import StrEnum
from random import Random

from attrs import define, field, frozen

from fireflydeck.core import Clock
from fireflydeck.platform.standin.documents import (
    put_configuration,
    put_evacuation,
    remove_evacuation,
)
from fireflydeck.standins.memory_rows import MemoryRows

__all__ = [
    "DATA_CENTRES",
    "PERMANENT_KEY",
    "WITHDRAWN_KEY",
    "Operation",
    "OperationKind",
    "Operator",
    "queue_of_version",
]

DATA_CENTRES = ("zvolen", "brezno")
PERMANENT_KEY = "key-1"
WITHDRAWN_KEY = "key-2"
"""Key that operations withdraw and grant again."""

_INITIAL_VERSION = 3
"""Configuration version that the fleet starts with."""
_PAUSE_RANGE_MS = (500, 6000)
_DURATION_RANGE_MS = (5500, 12_000)
_VERSION_PAUSE_RANGE_MS = (200, 1500)


def queue_of_version(version: int) -> str:
    """Return the name of the queue that only one configuration version has."""
    return f"q{version}"


class OperationKind(StrEnum):
    """Kind of the target that an operation takes out of use."""

    KEY = "key"
    DATA_CENTRE = "data-centre"


@frozen
class Operation:
    """Withdrawal of a key or evacuation of a data centre, which is reversed later.

    Parameters
    ----------
    target
        Key or data centre.
    from_ms, until_ms
        Time just after the store accepted the withdrawal or evacuation, and time just before its
        reversal was sent to the store.
    """

    kind: OperationKind
    target: str
    from_ms: int
    until_ms: int


@define(eq=False)
class Operator:
    """Carries out random operations one after another until the end of the traffic.

    The operations are drawn from `seed`, independently of the planned faults.

    Attributes
    ----------
    operations
        Completed operations.
    version
        Newest configuration version.
    """

    rows: MemoryRows
    clock: Clock
    seed: int
    length_ms: int
    operations: list[Operation] = field(factory=list)
    version: int = _INITIAL_VERSION
    _keys: tuple[str, ...] = ()

    def grant_keys(self) -> None:
        """Grant both keys."""
        self._put_keys((PERMANENT_KEY, WITHDRAWN_KEY))

    async def change_queues(self) -> None:
        """Store a configuration with another queue again and again, until cancelled."""
        random = Random(f"queues {self.seed}")
        while True:
            await self.clock.sleep_ms(random.randint(*_VERSION_PAUSE_RANGE_MS))
            self._put_keys(self._keys)

    async def run(self) -> None:
        """Carry out operations; at the end both keys and all data centres are in use."""
        random = Random(self.seed)
        end_ms = self.clock.now_ms() + self.length_ms
        while True:
            await self.clock.sleep_ms(random.randint(*_PAUSE_RANGE_MS))
            duration_ms = random.randint(*_DURATION_RANGE_MS)
            if self.clock.now_ms() + duration_ms > end_ms:
                return
            kind = random.choice(list(OperationKind))
            target = WITHDRAWN_KEY if kind == OperationKind.KEY else random.choice(DATA_CENTRES)
            await self._carry_out(kind, target, duration_ms)

    async def _carry_out(self, kind: OperationKind, target: str, duration_ms: int) -> None:
        if kind == OperationKind.KEY:
            self._put_keys((PERMANENT_KEY,))
        else:
            put_evacuation(self.rows, target)
        from_ms = self.clock.now_ms()
        await self.clock.sleep_ms(duration_ms)
        self.operations.append(Operation(kind, target, from_ms, self.clock.now_ms()))
        if kind == OperationKind.KEY:
            self._put_keys((PERMANENT_KEY, WITHDRAWN_KEY))
        else:
            remove_evacuation(self.rows, target)

    def _put_keys(self, keys: tuple[str, ...]) -> None:
        self._keys = keys
        self.version += 1
        put_configuration(
            self.rows,
            version=self.version,
            keys=keys,
            further_queues=(queue_of_version(self.version),),
        )
