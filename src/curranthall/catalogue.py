"""Active configuration: routes to queues, customers, and evacuated failure domains."""

from typing import NamedTuple

from curranthall.customers import NO_CUSTOMERS, Customer, Customers
from curranthall.dag import Job, Queue


class Route(NamedTuple):
    """Maps a host and a path prefix to a queue."""

    host: str
    prefix: str
    queue: Queue
    # Callers need no key.
    public: bool = False


class Catalogue(NamedTuple):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: frozenset[str]
    customers: Customers = NO_CUSTOMERS

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
        self._customers: dict[str, Customer] = {}

    def apply(self, catalogue: Catalogue) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return False
        self.catalogue = catalogue
        for route in catalogue.routes:
            self._queues[route.queue.name] = route.queue._replace(version=catalogue.version)
        self._customers.update((customer.name, customer) for customer in catalogue.customers)
        return True

    def queue_of(self, job: Job) -> Queue | None:
        """Return a job's queue as last read here, also if it was removed; None if it never was."""
        return self._queues.get(job.queue)

    def customers(self) -> Customers | None:
        """Return the customers in force, None before a configuration was read."""
        return self.catalogue.customers if self.catalogue is not None else None

    def customer_of(self, name: str) -> Customer | None:
        """Return a customer as last read here, also if it was removed; None if it never was."""
        return self._customers.get(name)
