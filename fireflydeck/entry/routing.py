"""Which queue a caller's request is for."""

from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue

__all__ = ["QueueIndex"]


class QueueIndex:
    """Finds a queue by host and the longest prefix of the path."""

    def __init__(self, configuration: FleetConfiguration) -> None:
        self._by_host: dict[str, list[JobQueue]] = {}
        for queue in configuration.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))

    def find(self, host: str, path: str) -> JobQueue | None:
        """Return the queue, or `None` if there is none."""
        name = host.partition(":")[0].lower()
        for queue in self._by_host.get(name, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
