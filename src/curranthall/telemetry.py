"""Metrics of a daemon, rendered by aioprometheus at each scrape."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from curranthall.events import counts

TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Upper bounds of the latency buckets, in seconds.
BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)


class Sample(NamedTuple):
    """Value of one metric: name including the unit, labels, value."""

    name: str
    labels: dict[str, str]
    value: float


class Histogram:
    """Histogram of latencies by labels."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._series: dict[tuple[tuple[str, str], ...], list[float]] = {}

    def observe(self, seconds: float, **labels: str) -> None:
        """Record one latency."""
        series = self._series.setdefault(
            tuple(sorted(labels.items())), [0.0] * (len(BUCKETS_S) + 2)
        )
        for index, bound in enumerate(BUCKETS_S):
            series[index] += seconds <= bound
        series[-2] += 1
        series[-1] += seconds

    def samples(self) -> Iterator[Sample]:
        """Yield the samples of all labels."""
        for key, series in self._series.items():
            labels = dict(key)
            for bound, count in zip(BUCKETS_S, series, strict=False):
                yield Sample(f"{self._name}_bucket", {**labels, "le": str(bound)}, count)
            yield Sample(f"{self._name}_count", labels, series[-2])
            yield Sample(f"{self._name}_sum", labels, series[-1])


class LabeledCounter:
    """Counter by labels."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._series: dict[tuple[tuple[str, str], ...], float] = {}

    def count(self, **labels: str) -> None:
        """Increment the count of these labels."""
        self.add(1, **labels)

    def add(self, amount: float, /, **labels: str) -> None:
        """Add an amount to the count of these labels."""
        key = tuple(sorted(labels.items()))
        self._series[key] = self._series.get(key, 0) + amount

    def samples(self) -> Iterator[Sample]:
        """Yield the samples of all labels."""
        for key, count in self._series.items():
            yield Sample(self._name, dict(key), count)


acceptance_seconds = Histogram("acceptance_seconds")
completion_seconds = Histogram("completion_seconds")
store_call_seconds = Histogram("store_call_seconds")
hold_seconds = Histogram("worker_look_seconds")
predicted_finish_seconds = Histogram("predicted_finish_seconds")
jobs_by_size = LabeledCounter("jobs_by_size_total")
calls_denied = LabeledCounter("calls_denied_total")
preempted_runs = LabeledCounter("preempted_runs_total")
copies_total = LabeledCounter("copies_total")
copied_core_seconds = LabeledCounter("copied_core_seconds_total")
early_moves = LabeledCounter("early_moves_total")
early_refusals = LabeledCounter("early_refusals_total")


class Telemetry:
    """Renders the metrics of this process and the samples returned by `gauges`."""

    def __init__(self, gauges: Callable[[], Iterator[Sample]]) -> None:
        self._gauges = gauges

    def render(self) -> tuple[bytes, str]:
        """Return the rendered metrics and their content type."""
        # Imported lazily: a daemon that is never scraped saves the memory.
        from aioprometheus import Gauge, Registry, render

        registry: Any = Registry()
        gauges: dict[str, Any] = {}
        for sample in self._samples():
            name = f"curranthall_{sample.name}"
            if name not in gauges:
                gauges[name] = Gauge(name, sample.name.replace("_", " "), registry=registry)
            gauges[name].set(sample.labels, sample.value)
        body, headers = render(registry, [])
        return body, headers.get("Content-Type", TEXT_TYPE)

    def _samples(self) -> Iterator[Sample]:
        for name, count in counts.items():
            yield Sample("events_total", {"event": name.lower()}, count)
        for histogram in (
            acceptance_seconds,
            completion_seconds,
            store_call_seconds,
            hold_seconds,
            predicted_finish_seconds,
        ):
            yield from histogram.samples()
        for counter in (
            jobs_by_size,
            calls_denied,
            preempted_runs,
            copies_total,
            copied_core_seconds,
            early_moves,
            early_refusals,
        ):
            yield from counter.samples()
        yield from self._gauges()
