"""Request for a slot on a VM, used for synchronous requests and for long-running work."""

from attrs import frozen

from fireflydeck.core.entities import Urgency

__all__ = ["SlotRequest"]


@frozen(kw_only=True)
class SlotRequest:
    """A request for a slot on a VM.

    Parameters
    ----------
    deadline_ms
        Monotonic time until which the request waits for a slot, in milliseconds.
    cores, memory_mb, accelerators
        Declared resource demand; 0 if not declared.
    excluded_vms
        VMs that are avoided as long as there are others.
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
