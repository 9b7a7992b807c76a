"""Builders for tests of a cell: hosts, jobs, snapshots and a dispatcher with its own clock."""

from collections.abc import Callable

from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.fleet import Member, RunState
from curranthall.cells.options import NO_OPTIONS, Options
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
from curranthall.cells.quota import Quota
from curranthall.cells.shares import SharesKeeper
from curranthall.cells.tracking import Bounds, TrackedJob
from curranthall.customers import NO_CUSTOMERS, Customers
from curranthall.dag import Job, Progress, Queue, Step, TaskId
from curranthall.model import Host, HostState, Size

CELL = "north"
SERVICE = "desk"
EPOCH = 7
BORN = 1_000


def host(name: str, cores: float = 8, rack: str = "r1", **fields: object) -> Host:
    """Build a worker's listing."""
    size = Size(cores, cores * 4_000)
    base = Host(name, CELL, rack, f"{name}:1", size, 8, 0, HostState.LIVE, SERVICE, ("a", rack))
    return base._replace(**fields)  # type: ignore[arg-type]


def job(job_id: str = "0" * 16, *steps: Step, **fields: object) -> Job:
    """Build a job; it has one step of two tasks if no steps are given."""
    base = Job(job_id, "q", SERVICE, "spec", steps or (step(2),), 0)
    return base._replace(**fields)  # type: ignore[arg-type]


def step(width: int = 1, cores: float = 1, **fields: object) -> Step:
    """Build a step of equal tasks with an estimate of 1 s."""
    return Step(width, Size(cores, 1_000), 1_000)._replace(**fields)  # type: ignore[arg-type]


def claimed_progress(epoch: int = EPOCH, **fields: object) -> Progress:
    """Build a row that is claimed by the cell's holder of an epoch."""
    return Progress(CELL, claims={CELL: epoch}, **fields)  # type: ignore[arg-type]


class Cell:
    """A dispatcher under test with its own clock; workers answer only by calls of `answer`."""

    def __init__(
        self,
        *hosts: Host,
        max_attempts: int = 2,
        settled: bool = True,
        queue_of: Callable[[Job], Queue | None] | None = None,
        options: Options = NO_OPTIONS,
        customers: Customers = NO_CUSTOMERS,
        wall_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.now, self.row_version = 100.0, EPOCH
        self.queue = Queue("q", SERVICE, 0, max_attempts, 2.0, 1_000)
        configured = queue_of or (lambda job: self.queue)
        self.keeper = SharesKeeper(CELL, (CELL,))
        self.keeper.on_read(None, 0)
        quota = Quota(self.keeper, lambda: customers, customers.find)
        self.dispatcher = Dispatcher(
            CELL, EPOCH, Bounds(), configured, wall_ms, options, quota=quota
        )
        for each in hosts:
            self.dispatcher.update_host(each)
        if settled:
            for each in hosts:
                self.answer(each.name)

    def add(self, new_job: Job, prior: bool = False, version: int = 1) -> None:
        """Track a new job whose row names this epoch, or the one before if `prior`."""
        progress = claimed_progress(EPOCH - 1 if prior else EPOCH)
        self.dispatcher.adopt(new_job, progress, version, self.now)

    def member(self, name: str) -> Member:
        """Return the dispatcher's record of a worker."""
        return self.dispatcher.members[name]

    def plan(self) -> list[StartTask]:
        """Plan, commit the rows that starts wait for, and return the starts as they were placed."""
        self.dispatcher.plan(self.now)
        self.record_starts()
        self.dispatcher.send_recorded(self.now)
        return sorted(self.take(StartTask), key=lambda order: order.run)

    def record_starts(self) -> None:
        """Record the jobs whose starts wait for it as committed."""
        for tracked in list(self.dispatcher.dirty.values()):
            runs = [
                run for batch in tracked.batches.values() for run in sum(batch.active.values(), [])
            ]
            if any(run.state is RunState.RECORDING for run in runs):
                self.record_job(tracked)

    def record(self) -> None:
        """Record all changed jobs as committed."""
        for tracked in list(self.dispatcher.dirty.values()):
            self.record_job(tracked)

    def record_job(self, tracked: TrackedJob) -> None:
        """Record a job as committed with all its changes."""
        del self.dispatcher.dirty[tracked.job.id]
        self.dispatcher.note_recorded(tracked, tracked.change, tracked.version + 1)

    def take(self, kind: type) -> list:  # type: ignore[type-arg]
        """Remove and return the queued orders of a kind."""
        found = [order for order in self.dispatcher.orders if isinstance(order, kind)]
        for order in found:
            self.dispatcher.orders.remove(order)
        return found

    def stops(self) -> list[StopTask]:
        """Remove and return the queued stops."""
        return self.take(StopTask)

    def paces(self) -> list[PaceTask]:
        """Remove and return the queued paces."""
        return self.take(PaceTask)

    def started(self, *orders: StartTask) -> None:
        """Answer the starts with STARTED."""
        for order in orders:
            self.dispatcher.on_start_result(order, StartResult.STARTED, self.now)

    def answer(
        self,
        name: str,
        running: list[ListedRun] | None = None,
        ended: list[Ending] | None = None,
        born: int = BORN,
        asked_at: float | None = None,
        confirm: bool = True,
    ) -> None:
        """Process a worker's answer to a hold and, if `confirm`, a renewal sent after it."""
        snapshot = Snapshot(int(self.now * 1000), born, running or [], ended or [])
        asked = self.now if asked_at is None else asked_at
        member = self.dispatcher.members[name]
        self.dispatcher.on_snapshot(member, snapshot, asked, self.now, member.token)
        if confirm:
            self.confirm_roster()
            if not member.is_fenced:
                self.dispatcher.on_snapshot(member, snapshot, asked, self.now, member.token)

    def confirm_roster(self) -> None:
        """Process a confirmed renewal."""
        self.row_version += 1
        self.dispatcher.raise_tokens(self.row_version)
        self.dispatcher.confirm_roster(self.dispatcher.boot_ids())


def listed(order: StartTask, percent: float = 50, gauge: float = 0, saved: str = "") -> ListedRun:
    """Build the listing of an ordered run that is running."""
    return ListedRun(order.task, order.run, saved, percent, gauge)


def ended(number: int, order: StartTask, kind: EndKind, saved: str = "") -> Ending:
    """Build the end of an ordered run."""
    return Ending(number, order.task, order.run, kind, saved)


def task(job_id: str = "0" * 16, at: int = 0, number: int = 0) -> TaskId:
    """Build a task's id."""
    return TaskId(job_id, 0, at, number)
