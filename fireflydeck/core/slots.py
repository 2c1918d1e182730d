"""Request for a slot on a VM, made for synchronous requests and for long work."""

from attrs import frozen

from fireflydeck.core.entities import Urgency

__all__ = ["SlotRequest"]


@frozen(kw_only=True)
class SlotRequest:
    """Asks for a slot on a VM.

    Parameters
    ----------
    deadline_ms
        Monotonic time until which to wait.
    cores, memory_mb, accelerators
        Declared size; 0 if not declared.
    excluded_vms
        VMs to avoid while there are others.
    """

    request_id: str
    queue: str
    organisation: str
    deadline_ms: int
    urgency: Urgency = Urgency.NORMAL
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    excluded_vms: frozenset[str] = frozenset()
