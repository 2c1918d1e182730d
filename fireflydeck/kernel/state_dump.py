"""The state of a process, for people."""

from fireflydeck.kernel.kernel import Kernel

__all__ = ["dump_state"]


def dump_state(kernel: Kernel) -> dict[str, object]:
    """Return the state of all services of the process by name."""
    return {
        "name": kernel.name,
        "role": kernel.role,
        "now_ms": kernel.clock.now_ms(),
        "services": {service.name: service.state() for service in kernel.registry.services},
    }
