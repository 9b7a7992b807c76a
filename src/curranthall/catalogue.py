"""The configuration in force: queues by host and path, and the failure domains taken out."""

from typing import NamedTuple

from curranthall.cells.tracking import Queue
from curranthall.dag import Job


class Route(NamedTuple):
    """Where a queue's requests come in."""

    host: str
    prefix: str
    queue: Queue


class Catalogue(NamedTuple):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: frozenset[str]

    def find(self, host: str, path: str) -> Route | None:
        """Give the route with the longest prefix that the path begins with."""
        matches = [r for r in self.routes if r.host == host and path.startswith(r.prefix)]
        return max(matches, key=lambda route: len(route.prefix), default=None)


class Evacuation(NamedTuple):
    """A failure domain is taken out until the row goes."""

    domain: str


class MaintenanceWave(NamedTuple):
    """Machines that are to have their upkeep in time, at most so many at once."""

    number: int
    machines: tuple[str, ...]
    duration_s: float
    max_concurrent: int


Operation = Catalogue | Evacuation | MaintenanceWave


class Operations:
    """What the operator asks for, as far as it is known here; versions never go back."""

    def __init__(self) -> None:
        self.catalogue: Catalogue | None = None
        self.evacuated: frozenset[str] = frozenset()
        self._queues: dict[str, Queue] = {}

    def apply(self, catalogue: Catalogue) -> bool:
        """Put a newer configuration in force; tell whether it is newer."""
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return False
        self.catalogue = catalogue
        self._queues.update({route.queue.name: route.queue for route in catalogue.routes})
        return True

    def queue_of(self, job: Job) -> Queue:
        """Give a job's queue as last configured; a removed queue keeps its last figures."""
        return self._queues.get(job.queue, Queue(job.queue, job.service))
