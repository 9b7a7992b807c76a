"""Small builders for tests of a cell: hosts, jobs, snapshots and a dispatcher with a clock."""

from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.fleet import Member
from curranthall.cells.ports import (
    Ending,
    EndKind,
    ListedRun,
    PaceTask,
    Snapshot,
    StartResult,
    StartTask,
    StopTask,
)
from curranthall.cells.tracking import Bounds, Queue
from curranthall.dag import Job, Progress, Step, TaskId
from curranthall.model import Host, HostState, Size

CELL = "north"
SERVICE = "desk"
EPOCH = 7
BORN = 1_000


def host(name: str, cores: float = 8, rack: str = "r1", **fields: object) -> Host:
    """Build a worker's listing."""
    size = Size(cores, cores * 4_000)
    made = Host(name, CELL, rack, f"{name}:1", size, 8, 0, HostState.LIVE, SERVICE, ("a", rack))
    return made._replace(**fields)  # type: ignore[arg-type]


def job(job_id: str = "0" * 16, *steps: Step, **fields: object) -> Job:
    """Build a job of steps; one step of two tasks if none is given."""
    made = Job(job_id, "q", SERVICE, "spec", steps or (step(2),), 0)
    return made._replace(**fields)  # type: ignore[arg-type]


def step(width: int = 1, cores: float = 1, **fields: object) -> Step:
    """Build a step of equal tasks of a second."""
    return Step(width, Size(cores, 1_000), 1_000)._replace(**fields)  # type: ignore[arg-type]


def granted(epoch: int = EPOCH, **fields: object) -> Progress:
    """Build a row that gives a job to the cell's holder of an epoch."""
    return Progress(CELL, claims={CELL: epoch}, **fields)  # type: ignore[arg-type]


class Cell:
    """A dispatcher under test with a clock of its own; workers answer when told to."""

    def __init__(self, *hosts: Host, max_attempts: int = 2, settled: bool = True) -> None:
        self.now = 100.0
        self.queue = Queue("q", SERVICE, 0, max_attempts, 2.0, 1_000)
        self.core = Dispatcher(CELL, EPOCH, Bounds(), lambda job: self.queue, lambda: 0.0)
        for each in hosts:
            self.core.see_host(each)
        self.core.confirm_roster([each.name for each in hosts])
        if settled:
            for each in hosts:
                self.answer(each.name)

    def add(self, made: Job, prior: bool = False, version: int = 1) -> None:
        """Track a job that nothing is known of; its row names this epoch, or an earlier one."""
        progress = granted(EPOCH - 1 if prior else EPOCH)
        self.core.adopt(made, progress, version, self.now)

    def member(self, name: str) -> Member:
        """Give a worker as the dispatcher sees it."""
        return self.core.members[name]

    def plan(self) -> list[StartTask]:
        """Plan; give the starts that were ordered."""
        self.core.plan(self.now)
        return self.take(StartTask)

    def record(self) -> None:
        """Have the store take all that changed."""
        for tracked in list(self.core.dirty.values()):
            self.core.note_recorded(tracked, tracked.change, tracked.version + 1)
        self.core.dirty.clear()

    def take(self, kind: type) -> list:  # type: ignore[type-arg]
        """Take the orders of a kind out of the queue."""
        found = [order for order in self.core.orders if isinstance(order, kind)]
        for order in found:
            self.core.orders.remove(order)
        return found

    def stops(self) -> list[StopTask]:
        """Take the stops."""
        return self.take(StopTask)

    def paces(self) -> list[PaceTask]:
        """Take the paces."""
        return self.take(PaceTask)

    def started(self, *orders: StartTask) -> None:
        """Answer starts with success."""
        for order in orders:
            self.core.on_start_result(order, StartResult.STARTED, self.now)

    def answer(
        self,
        name: str,
        running: list[ListedRun] | None = None,
        ended: list[Ending] | None = None,
        born: int = BORN,
        asked_at: float | None = None,
    ) -> None:
        """Have a worker answer a hold."""
        snapshot = Snapshot(int(self.now * 1000), born, running or [], ended or [])
        asked = self.now if asked_at is None else asked_at
        self.core.on_snapshot(self.core.members[name], snapshot, asked, self.now)


def listed(order: StartTask, percent: float = 50, gauge: float = 0, saved: str = "") -> ListedRun:
    """List an ordered run as running."""
    return ListedRun(order.task, order.run, saved, percent, gauge)


def ended(number: int, order: StartTask, kind: EndKind, saved: str = "") -> Ending:
    """List an ordered run as ended."""
    return Ending(number, order.task, order.run, kind, saved)


def task(job_id: str = "0" * 16, at: int = 0, number: int = 0) -> TaskId:
    """Name a task."""
    return TaskId(job_id, 0, at, number)
