"""Metrics of one process, in Prometheus's text format."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics"]

NAME_PREFIX = "greengagewood_"
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class Metrics:
    """Create counters, gauges and histograms on first use."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}
        # What is to be added to counters. The library takes 10 us to add, as much as 3 % of a call.
        self._uncounted: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(labels.items()))
        self._uncounted[key] = self._uncounted.get(key, 0) + amount

    def _add_counts(self) -> None:
        for (name, labels), amount in self._uncounted.items():
            counter = self._counters.get(name)
            if counter is None:
                full_name = f"{NAME_PREFIX}{name}_total"
                counter = Counter(full_name, name.replace("_", " "), registry=self._registry)
                self._counters[name] = counter
            counter.add(dict(labels), amount)
        self._uncounted.clear()

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(NAME_PREFIX + name, name.replace("_", " "), registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(labels, value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                f"{NAME_PREFIX}{name}_seconds",
                name.replace("_", " "),
                registry=self._registry,
                buckets=list(LATENCY_BUCKETS_S),
            )
            self._histograms[name] = histogram
        histogram.add(labels, seconds)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return all metrics as text, and the HTTP headers for it."""
        self._add_counts()
        content, headers = render(self._registry, [])
        return content, dict(headers)
