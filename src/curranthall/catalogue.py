"""Active configuration: routes to queues, and evacuated failure domains."""

from typing import NamedTuple

from curranthall.dag import Job, Queue


class Route(NamedTuple):
    """Maps a host and a path prefix to a queue."""

    host: str
    prefix: str
    queue: Queue


class Catalogue(NamedTuple):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: frozenset[str]

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path."""
        matches = [r for r in self.routes if r.host == host and path.startswith(r.prefix)]
        return max(matches, key=lambda route: len(route.prefix), default=None)


class Evacuation(NamedTuple):
    """Operator's request to evacuate a failure domain until the row is removed."""

    domain: str


class MaintenanceWave(NamedTuple):
    """Operator's request to maintain machines in time, at most `max_concurrent` at once."""

    number: int
    machines: tuple[str, ...]
    duration_s: float
    max_concurrent: int


Operation = Catalogue | Evacuation | MaintenanceWave


class Operations:
    """Operator's requests as last read here; an older configuration never replaces a newer one."""

    def __init__(self) -> None:
        self.catalogue: Catalogue | None = None
        self.evacuated: frozenset[str] = frozenset()
        self._queues: dict[str, Queue] = {}

    def apply(self, catalogue: Catalogue) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return False
        self.catalogue = catalogue
        for route in catalogue.routes:
            self._queues[route.queue.name] = route.queue._replace(version=catalogue.version)
        return True

    def queue_of(self, job: Job) -> Queue | None:
        """Return a job's queue as last read here, also if it was removed; None if it never was."""
        return self._queues.get(job.queue)
