"""The operators of a run: they withdraw a key and take data centres out, by a plan of its own."""

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

__all__ = ["DATA_CENTRES", "LASTING_KEY", "WITHDRAWN_KEY", "Operation", "OperationKind", "Operator"]

DATA_CENTRES = ("zvolen", "brezno")
LASTING_KEY = "key-1"
WITHDRAWN_KEY = "key-2"
"""The key that is withdrawn now and then."""

_FIRST_VERSION = 3
_PAUSE_MS = (500, 6000)
_DURATION_MS = (5500, 12_000)


class OperationKind(StrEnum):
    """What an operation keeps out while it is in force."""

    KEY = "key"
    DATA_CENTRE = "data-centre"


@frozen
class Operation:
    """Something that was out of use for a time.

    Parameters
    ----------
    target
        The key or the data centre.
    from_ms, until_ms
        When the store had taken the withdrawal, and when the return was sent to it.
    """

    kind: OperationKind
    target: str
    from_ms: int
    until_ms: int


@define(eq=False)
class Operator:
    """Carries out operations until the end of the traffic, one after another.

    Attributes
    ----------
    operations
        What was done.
    """

    rows: MemoryRows
    clock: Clock
    seed: int
    length_ms: int
    operations: list[Operation] = field(factory=list)
    _version: int = _FIRST_VERSION

    def begin(self) -> None:
        """Grant both keys."""
        self._configure((LASTING_KEY, WITHDRAWN_KEY))

    async def run(self) -> None:
        """Carry out operations; all is in use again at the end."""
        random = Random(self.seed)
        ends_ms = self.clock.now_ms() + self.length_ms
        while True:
            await self.clock.sleep_ms(random.randint(*_PAUSE_MS))
            duration_ms = random.randint(*_DURATION_MS)
            if self.clock.now_ms() + duration_ms > ends_ms:
                return
            kind = random.choice(list(OperationKind))
            target = WITHDRAWN_KEY if kind == OperationKind.KEY else random.choice(DATA_CENTRES)
            await self._carry_out(kind, target, duration_ms)

    async def _carry_out(self, kind: OperationKind, target: str, duration_ms: int) -> None:
        if kind == OperationKind.KEY:
            self._configure((LASTING_KEY,))
        else:
            put_evacuation(self.rows, target)
        from_ms = self.clock.now_ms()
        await self.clock.sleep_ms(duration_ms)
        self.operations.append(Operation(kind, target, from_ms, self.clock.now_ms()))
        if kind == OperationKind.KEY:
            self._configure((LASTING_KEY, WITHDRAWN_KEY))
        else:
            remove_evacuation(self.rows, target)

    def _configure(self, keys: tuple[str, ...]) -> None:
        self._version += 1
        put_configuration(self.rows, version=self._version, keys=keys)
