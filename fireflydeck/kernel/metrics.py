"""Metrics of a process, collected and rendered with aioprometheus."""

from aioprometheus import Counter, Gauge, Histogram
from aioprometheus import Registry as MetricRegistry
from aioprometheus.renderer import render

__all__ = ["Metrics"]

_LATENCY_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000]


class Metrics:
    """Counters, gauges and histograms, created on first use.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count("requests_total", queue="records")
    >>> metrics.value("requests_total", queue="records")
    1
    """

    def __init__(self) -> None:
        self._registry = MetricRegistry()
        self._metrics: dict[str, Counter | Gauge | Histogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter by `amount`."""
        self._metric(name, Counter).add(labels, amount)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge to `value`."""
        self._metric(name, Gauge).set(labels, value)

    def observe_ms(self, name: str, value_ms: float, **labels: str) -> None:
        """Record a duration in a histogram of milliseconds."""
        self._metric(name, Histogram).observe(labels, value_ms)

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter or gauge; 0 if it was never set."""
        metric = self._metrics.get(name)
        try:
            return metric.get(labels) if metric is not None else 0
        except KeyError:
            return 0

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return all metrics in a format that `accept` allows, and the HTTP headers to send."""
        return render(self._registry, [accept])

    def _metric(self, name: str, cls: type) -> Counter | Gauge | Histogram:
        metric = self._metrics.get(name)
        if metric is None:
            doc = name.replace("_", " ")
            if cls is Histogram:
                metric = Histogram(
                    f"fireflydeck_{name}", doc, buckets=_LATENCY_BUCKETS_MS, registry=self._registry
                )
            else:
                metric = cls(f"fireflydeck_{name}", doc, registry=self._registry)
            self._metrics[name] = metric
        return metric
