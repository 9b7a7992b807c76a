"""Values that travel between the slices: tokens, tasks, sizes, leases' contents and rows."""

from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple, NotRequired, TypedDict

Row = Mapping[str, Any]


class Token(NamedTuple):
    """A worker lease's fencing token; a greater one fences a smaller one."""

    counter: int
    holder: str


class Task(NamedTuple):
    """One attempt of one task of a job."""

    job: str
    number: int
    attempt: int

    @property
    def key(self) -> tuple[str, int]:
        """Name the task without its attempt."""
        return self.job, self.number


class Size(NamedTuple):
    """What a task reserves: cores, memory in GB, accelerators."""

    cores: float
    memory: float
    accelerators: int = 0

    def plus(self, other: "Size") -> "Size":
        """Add two sizes."""
        return Size(
            self.cores + other.cores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Size") -> "Size":
        """Take another size away."""
        return Size(
            self.cores - other.cores,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def fits(self, room: "Size") -> bool:
        """Tell whether this size fits into the room."""
        return all(a <= b + 1e-9 for a, b in zip(self, room, strict=True))


ZERO_SIZE = Size(0.0, 0.0, 0)


class HostState(Enum):
    """What the platform's lagging list says of a worker."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Host(NamedTuple):
    """A worker as the platform lists it."""

    name: str
    domain: str
    rack: str
    address: str
    size: Size
    slots: int
    connections: int
    state: HostState
    service: str = ""
    labels: tuple[str, ...] = ()


class OutcomeKind(Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    EVICTED = "evicted"
    LOST = "lost"


class Outcome(NamedTuple):
    """The end of an attempt; `checkpoint` counts finished work units."""

    kind: OutcomeKind
    checkpoint: int = 0
    reason: str = ""


class Running(NamedTuple):
    """A task that a worker runs."""

    cls: str
    size: Size
    service: str = ""
    throttled: bool = False


class Inventory(NamedTuple):
    """What is on a worker."""

    boot: str
    running: dict[Task, Running]
    outcomes: dict[Task, Outcome]
    busy: int


class Report(NamedTuple):
    """What a worker measured some while ago, by its own clock.

    `usage` names each task that ran then by its service or class, with the cores it used;
    `slowdowns` gives each service's latency over its latency when alone.
    """

    stamp: float
    usage: list[tuple[str, float]]
    slowdowns: list[tuple[str, float]]

    def is_service(self, name: str) -> bool:
        """Tell whether a name is a service's."""
        return any(name == service for service, _ in self.slowdowns)


class LeaseGrant(NamedTuple):
    """A worker's answer to a lease call.

    `stamp` is the worker's clock, echoed by the next renewal; `left` are the seconds
    until the lease ends.
    """

    token: Token
    stamp: float
    left: float
    inventory: Inventory | None
    report: Report | None = None


class StartOrder(NamedTuple):
    """All that a worker needs to start an attempt."""

    task: Task
    cls: str
    customer: str
    size: Size
    seconds: float
    checkpoint: int
    service: str = ""


class Change(NamedTuple):
    """One row as the table reports it; `value` is None for a deleted row."""

    key: str
    version: int
    txn: str
    value: Row | None


class Scan(NamedTuple):
    """The rows that changed since a revision."""

    revision: int
    changes: list[Change]


class Commit(NamedTuple):
    """A transaction: versions that must hold, rows to write (None deletes)."""

    txn: str
    checks: dict[str, int]
    writes: dict[str, Row | None]


class BlockRow(TypedDict):
    """A block of a job's tasks as it stands in the table."""

    job: str
    customer: str
    cls: str
    first: int
    count: int
    deadline: float
    holder: str | None
    incarnation: int
    clean: bool
    started: list[int]
    done: str
    attempts: dict[str, int]
    checkpoints: dict[str, int]
    ended: dict[str, str]
    failures: dict[str, int]
    cancel: list[list[int]]
    closed: bool
    service: str
    seconds: NotRequired[float]
