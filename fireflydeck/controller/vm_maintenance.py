"""Interface to the platform for the maintenance of drained VMs."""

from abc import ABC, abstractmethod

from expression import Ok, Result

from fireflydeck.core import Clock, Failure, Vm

__all__ = ["PlaceholderVmMaintenance", "VmMaintenance"]


class VmMaintenance(ABC):
    """Makes the platform reboot drained VMs."""

    @abstractmethod
    async def reboot(self, vm: Vm) -> Result[None, Failure]:
        """Reboot the VM and return when the platform reports that the reboot has ended.

        The call may be repeated after a failure or by another controller, because rebooting a
        drained VM again does no harm.
        """


class PlaceholderVmMaintenance(VmMaintenance):
    """Placeholder that does not reboot VMs but waits for the usual duration of a reboot.

    The platform has not published its call for a reboot; an implementation of that call replaces
    this class.
    """

    def __init__(self, clock: Clock, duration_ms: int = 60_000) -> None:
        self._clock = clock
        self._duration_ms = duration_ms

    async def reboot(self, vm: Vm) -> Result[None, Failure]:
        """Wait for the duration of a reboot."""
        await self._clock.sleep_ms(self._duration_ms)
        return Ok(None)
