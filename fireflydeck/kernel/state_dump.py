"""Dump of the state of a process, for operators."""

from fireflydeck.kernel.kernel import Kernel

__all__ = ["dump_state"]


def dump_state(kernel: Kernel) -> dict[str, object]:
    """Return name, role and time of the process and the state of each service by name."""
    return {
        "name": kernel.name,
        "role": kernel.role,
        "now_ms": kernel.clock.now_ms(),
        "services": {service.name: service.state() for service in kernel.registry.services},
    }
