"""Values shared by all modules: tokens, tasks, sizes, lease grants, rows and commits."""

from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple, NotRequired, TypedDict

Row = Mapping[str, Any]


class Token(NamedTuple):
    """Fencing token of a worker lease; a greater token fences a smaller one."""

    counter: int
    holder: str


class Task(NamedTuple):
    """One attempt of one task of a job."""

    job: str
    number: int
    attempt: int

    @property
    def key(self) -> tuple[str, int]:
        """Return the job and number, which all attempts of the task share."""
        return self.job, self.number


class Size(NamedTuple):
    """Resources that a task reserves: cores, memory in GB, accelerators."""

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
        """Subtract another size."""
        return Size(
            self.cores - other.cores,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def fits(self, room: "Size") -> bool:
        """Return whether this size fits into the free room, with a tolerance for rounding."""
        return all(a <= b + 1e-9 for a, b in zip(self, room, strict=True))


ZERO_SIZE = Size(0.0, 0.0, 0)


class HostState(Enum):
    """State of a worker in the platform's host list, which lags behind."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Host(NamedTuple):
    """A worker in the platform's host list."""

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
    # The least time, in milliseconds, that a leaving worker had left when it was listed.
    remaining_ms: int = 0


class OutcomeKind(Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    EVICTED = "evicted"
    LOST = "lost"


class Outcome(NamedTuple):
    """Result of an attempt; `checkpoint` counts finished work units."""

    kind: OutcomeKind
    checkpoint: int = 0
    reason: str = ""


class Running(NamedTuple):
    """A task running on a worker."""

    cls: str
    size: Size
    service: str = ""
    throttled: bool = False


class Inventory(NamedTuple):
    """A worker's tasks and unacknowledged outcomes; `busy` counts requests in flight."""

    boot: str
    running: dict[Task, Running]
    outcomes: dict[Task, Outcome]
    busy: int


class Report(NamedTuple):
    """Past measurement of a worker; `stamp` is the time by its own clock.

    `usage` has an item for each running task: its service or class, and the cores it used;
    `slowdowns` is each service's latency divided by its latency when run alone.
    """

    stamp: float
    usage: list[tuple[str, float]]
    slowdowns: list[tuple[str, float]]

    def is_service(self, name: str) -> bool:
        """Return whether the name is that of a service."""
        return any(name == service for service, _ in self.slowdowns)


class LeaseGrant(NamedTuple):
    """A worker's response to a lease call.

    `stamp` is the worker's clock, echoed by the next renewal; `left` is the remaining
    lease time in seconds.
    """

    token: Token
    stamp: float
    left: float
    inventory: Inventory | None
    report: Report | None = None


class StartOrder(NamedTuple):
    """Order to a worker to start an attempt."""

    task: Task
    cls: str
    customer: str
    size: Size
    seconds: float
    checkpoint: int
    service: str = ""


class Change(NamedTuple):
    """Version of one row of the table; `value` is None for a deleted row."""

    key: str
    version: int
    txn: str
    value: Row | None


class Scan(NamedTuple):
    """Rows that changed since a revision."""

    revision: int
    changes: list[Change]


class Commit(NamedTuple):
    """A transaction: expected row versions and rows to write (None deletes)."""

    txn: str
    checks: dict[str, int]
    writes: dict[str, Row | None]


class BlockRow(TypedDict):
    """Table row of a block of a job's tasks.

    `done` is a hexadecimal bit mask of the done tasks, counted from `first`; `clean` means
    that `started` lists every task whose current attempt may have started.
    """

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
