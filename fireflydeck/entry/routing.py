"""Routing of callers' requests to job queues."""

from fireflydeck.core.fleet_configuration import FleetConfiguration, JobQueue

__all__ = ["QueueIndex"]


class QueueIndex:
    """Index of the job queues by host and path prefix; the longest matching prefix wins."""

    def __init__(self, configuration: FleetConfiguration) -> None:
        self._by_host: dict[str, list[JobQueue]] = {}
        for queue in configuration.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))

    def find(self, host: str, path: str) -> JobQueue | None:
        """Return the queue for a host and path, or `None` if no queue matches.

        A port after the host is ignored, and so is the case of the host.
        """
        host_name = host.partition(":")[0].lower()
        for queue in self._by_host.get(host_name, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
