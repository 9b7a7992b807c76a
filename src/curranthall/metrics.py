"""Prometheus metrics of an entry, computed at each scrape."""

from typing import Any

from curranthall.admission import Admission
from curranthall.entry import Entry

TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Metrics:
    """Renders the counts of an entry's components as metrics."""

    def __init__(self, entry: Entry, admission: Admission) -> None:
        self._entry = entry
        self._admission = admission
        self._registry: Any = None
        self._gauges: dict[str, Any] = {}

    def render(self, accept: str) -> tuple[bytes, str]:
        """Return the metrics and their content type."""
        # Imported at the first scrape: saves memory in an entry that is never scraped.
        from aioprometheus import Registry, render

        if self._registry is None:
            self._registry = Registry()
        self._update()
        body, headers = render(self._registry, [accept] if accept else [])
        return body, headers.get("Content-Type", TEXT_TYPE)

    def _update(self) -> None:
        entry = self._entry
        held = entry.keeper.held()
        self._set("config_revision", "revision in force", {}, entry.config.revision)
        age = entry.clock() - entry.config.confirmed_at
        self._set("config_confirmed_age_seconds", "age of the permit", {}, min(age, 1e9))
        self._set("workers_held", "workers under lease", {}, len(held))
        self._set("peers_live", "peers heard of late", {}, len(entry.roster.live()))
        running = sum(len(worker.lease.running) for worker in held if worker.lease)
        self._set("tasks_running", "tasks on held workers", {}, running)
        self._set("requests_sent", "requests sent to endpoints", {}, entry.endpoints.sent)
        for outcome, count in entry.router.counts.items():
            self._set("requests", "requests by outcome", {"outcome": outcome}, count)
        for what, count in entry.ledger.counts.items():
            self._set("task_events", "starts and evictions", {"what": what}, count)
        for sample in self._admission.samples():
            self._set(sample.name, sample.name.replace("_", " "), sample.labels, sample.value)

    def _set(self, name: str, help_text: str, labels: dict[str, str], value: float) -> None:
        from aioprometheus import Gauge

        if name not in self._gauges:
            self._gauges[name] = Gauge(f"curranthall_{name}", help_text, registry=self._registry)
        self._gauges[name].set(labels, value)
