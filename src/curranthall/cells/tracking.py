"""Jobs tracked by a cell's holder: queue, waiting tasks and runs of each."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import floor, log2
from typing import Any, NamedTuple

from curranthall.cells.advice import Tickets
from curranthall.cells.fleet import FormerRun, Run, RunState, Wait
from curranthall.dag import Job, Phase, Progress, Queue, Step, TaskId
from curranthall.dag.progress import TaskKey, drop_keys_below

# A job is worth nothing once it takes this multiple of its objective; it is then placed last.
LATE_FACTOR = 3.0
# Value of a job completed late, relative to one in time, as the platform's queues define it.
LATE_VALUE = 0.15
# A job's value is this base plus a part proportional to its work relative to its queue's usual
# work, capped at a multiple of the usual job (the platform's rules).
BASE_VALUE = 0.3
MAX_VALUE = 4.0
# Leases are no longer than this, whatever the platform allows: a lasting task has to run again 9 s
# after the loss of its worker, and nothing proves the loss before the last lease is over.
MAX_LEASE_S = 6.0
# Size classes of jobs: powers of two of their queue's usual work. The first and last class also
# contain all smaller and larger jobs.
MIN_CLASS_POWER = -2
MAX_CLASS_POWER = 3


def classify(work: float, usual_work: float) -> str:
    """Return a job's size class, named by its lower bound as a multiple of the usual work."""
    if work <= 0 or usual_work <= 0:
        return "1"
    power = floor(log2(work / usual_work))
    return f"{2.0 ** min(max(power, MIN_CLASS_POWER), MAX_CLASS_POWER):g}"


def relative_value(work: float, usual_work: float) -> float:
    """Return the value of a job by its core-seconds, relative to a usual job of its queue."""
    if usual_work <= 0:
        return 1.0
    return min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * work / usual_work)


def _earliest(*times: float | None) -> float | None:
    """Return the earliest of the known times."""
    return min((each for each in times if each is not None), default=None)


class JobMove(NamedTuple):
    """A waiting job of a queue that a row of this version moved to another cell."""

    cell: str
    version: int
    queue: str


class Bounds(NamedTuple):
    """Platform limits that placement decisions depend on, in seconds."""

    max_hold_s: float = 6.0
    gang_timeout_s: float = 3.0
    early_s: float = 0.25
    status_s: float = 120.0

    @property
    def lease_s(self) -> float:
        """Return how long a lease lasts at most."""
        return min(self.max_hold_s, MAX_LEASE_S)


class OpenStart(NamedTuple):
    """A task's start that its worker did not answer, and that a later boot may still execute.

    `run` is its number. `since` is when the first of `attempts` such starts in a row was sent, or
    the last one answered; of a task whose last run lapsed, when that was lost.
    """

    worker: str
    run: int
    sent_at: float
    since: float
    attempts: int = 0
    # No earlier start of the task is open.
    is_only: bool = True


@dataclass(slots=True, eq=False)
class Batch:
    """One occurrence of one step: its waiting tasks and those with runs."""

    tracked: "TrackedJob"
    occurrence: int
    number: int
    step: Step
    waiting: set[int] = field(default_factory=set)
    # Tasks that wait until a worker of a former holder is proven not to run them.
    held: set[int] = field(default_factory=set)
    active: dict[int, list[Run]] = field(default_factory=dict)
    # When the oldest of the tasks without a run began to wait at the latest, held or not.
    waiting_since: float | None = None
    unplaced_since: float | None = None
    # When a task last began to wait here that has had no run under this holder.
    moved_in_at: float = -float("inf")
    # Since when the platform has expected a run of a task whose last one lapsed.
    expected_since: float | None = None
    # Seconds, summed up over that time, for which the platform expected the tasks to start, less a
    # share of the other ones.
    overdue_s: float = 0.0
    # The step had begun when this holder took the job over.
    prior: bool = False
    tickets: Tickets = field(default_factory=Tickets)
    # How many members of a gang found a worker when it was last tried.
    fitting: int = 0
    # Run times in seconds of the first runs that ended as done, for a step that allows copies.
    ended_s: list[float] = field(default_factory=list)

    def count_waiting(self) -> int:
        """Return how many tasks wait, held or not."""
        return len(self.waiting) + len(self.held)

    def note_placed(self) -> None:
        """Record that none of the tasks waits for a worker."""
        self.unplaced_since, self.expected_since, self.overdue_s = None, None, 0.0

    def wait(self) -> Wait:
        """Return how long tasks have found no worker."""
        return Wait(self.unplaced_since, self.expected_since, self.overdue_s)

    def resume(self, wait: Wait) -> None:
        """Go on with a wait that a start without effect has interrupted."""
        self.unplaced_since = _earliest(self.unplaced_since, wait.unplaced_since)
        self.expected_since = _earliest(self.expected_since, wait.expected_since)
        self.overdue_s = max(self.overdue_s, wait.overdue_s)

    def siblings(self) -> dict[str, int]:
        """Return the number of runs by worker; one that moves counts where it will start."""
        counts: dict[str, int] = {}
        for runs in self.active.values():
            for run in runs:
                worker = run.moving_to or run.worker
                counts[worker] = counts.get(worker, 0) + 1
        return counts

    def count_unavailable(self) -> int:
        """Return how many of the tasks in this cell are not at work."""
        at_work = [any(run.is_at_work for run in runs) for runs in self.active.values()]
        return self.count_waiting() + len(at_work) - sum(at_work)

    def count_interrupted(self) -> int:
        """Return how many of the tasks in this cell have no run, or one that is being stopped."""
        stopping = [
            all(run.state is RunState.STOPPING for run in runs) for runs in self.active.values()
        ]
        return self.count_waiting() + sum(stopping)

    def together_with(self, indexes: Iterable[int] | None = None) -> Iterable[int]:
        """Return the given tasks, by default all, and those that only start together with them."""
        if self.step.gang or indexes is None:
            return range(self.step.width)
        return indexes

    def keep_gang_whole(self) -> None:
        """Let all members of a gang wait, or be held, or neither."""
        if not self.step.gang:
            return
        if self.count_waiting() < self.step.width:
            self.waiting.clear()
            self.held.clear()
        elif self.held:
            self.held |= self.waiting
            self.waiting.clear()

    def key(self, index: int) -> TaskKey:
        """Return a task's key in the job's row."""
        return self.occurrence, self.number, index

    def task(self, index: int) -> TaskId:
        """Return the id of a task."""
        return TaskId(self.tracked.job.id, self.occurrence, self.number, index)

    def has_moved_in(self, cell: str) -> bool:
        """Return whether a waiting task was moved to the cell and has had no run there."""
        progress = self.tracked.progress
        is_moved_job = progress.moves > 0 and progress.cell == cell
        return any(
            progress.moved_to[key] == cell if key in progress.moved_to else is_moved_job
            for key in self._never_run()
        )

    def has_waited_before(self, due_by: float) -> bool:
        """Return whether a waiting task of a job due by then had no run as of the takeover."""
        return self.prior and self.tracked.due <= due_by and bool(self._never_run())

    def _never_run(self) -> set[TaskKey]:
        """Return the waiting tasks that have had no run under this holder."""
        return {self.key(index) for index in self.waiting} - self.tracked.former.keys()


@dataclass(slots=True, eq=False)
class TrackedJob:
    """A job with tasks in this cell."""

    job: Job
    progress: Progress
    version: int
    queue: Queue
    due: float
    # The version of the row that gave the job to its cell.
    given_version: int = 0
    # The row named another epoch when the job was adopted.
    prior: bool = False
    has_started: bool = False
    batches: dict[tuple[int, int], Batch] = field(default_factory=dict)
    # The first occurrence whose steps are not open yet: it is not due, or too many wait before it.
    next_occurrence: int = 0
    checkpoints: dict[TaskKey, str] = field(default_factory=dict)
    failed_on: dict[TaskKey, set[str]] = field(default_factory=dict)
    refused_on: dict[TaskKey, set[str]] = field(default_factory=dict)
    former: dict[TaskKey, FormerRun] = field(default_factory=dict)
    # When the last run of a lasting task here was over, for the log.
    ran_until: dict[TaskKey, float] = field(default_factory=dict)
    open_starts: dict[TaskKey, OpenStart] = field(default_factory=dict)
    # Number of the last local change, and of the last one that the row contains.
    change: int = 0
    recorded: int = 0
    # The change that claims the job from a former holder; 0 if none is needed.
    claim_change: int = 0
    # The change whose record shows that the row read after all workers were fenced is the last one
    # of a former holder, for a job that was claimed before; 0 if none is needed.
    proof_change: int = 0
    pause_until: float = 0.0
    final_at: float | None = None
    size_class: str = "1"
    # The customer had submitted as many jobs in its time as have a value.
    exceeds_rate: bool = False
    # Already counted as past `expires_at`.
    expired: bool = False
    # The longest time that one of its tasks waited in this cell for a worker.
    waited_s: float = 0.0
    # From the caller's estimates: total core-seconds, and the critical path starting at each step.
    work: float = 0.0
    critical_paths_s: tuple[float, ...] = ()
    # Remaining work as of a change and a version; cached because every planning pass reads it.
    _work_left_cache: tuple[int, int, float] = (-1, -1, 0.0)

    def __post_init__(self) -> None:
        self.work = self.job.work()
        self.critical_paths_s = tuple(
            self.job.critical_path_ms(at) / 1000 for at in range(len(self.job.steps))
        )

    @property
    def is_waiting(self) -> bool:
        """Return whether the job counts as waiting: it has not begun, and has no due times."""
        return not (self.has_started or self.job.is_timed or self.progress.phase.is_final)

    @property
    def visible_phase(self) -> Phase:
        """Return the phase shown to callers: final only once recorded."""
        phase = self.progress.phase
        if phase.is_final and self.recorded < self.change:
            return Phase.RUNNING
        return Phase.RUNNING if phase is Phase.QUEUED and self.has_started else phase

    def avoided_workers(self, key: TaskKey) -> frozenset[str]:
        """Return the workers on which a task failed or that refused it."""
        return frozenset(self.failed_on.get(key, set()) | self.refused_on.get(key, set()))

    def open_occurrences(self, cell: str) -> set[int]:
        """Return the occurrences that a cell runs: its own that are open, and those moved there."""
        found = {key[0] for key, to in self.progress.moved_to.items() if to == cell}
        if self.progress.cell == cell:
            found.update(range(self.progress.finished, self.next_occurrence))
        return found

    def count_waiting_steps(self) -> int:
        """Return how many steps have tasks that wait in this cell."""
        return sum(batch.count_waiting() > 0 for batch in self.batches.values())

    def drop_finished(self) -> None:
        """Drop the state of occurrences that are done; steps with runs are dropped later."""
        self.progress.drop_finished(self.job)
        first = self.progress.finished
        if not first:
            return
        for key, batch in list(self.batches.items()):
            if key[0] < first and not batch.active:
                del self.batches[key]
        tables: tuple[dict[TaskKey, Any], ...] = (
            self.checkpoints,
            self.failed_on,
            self.refused_on,
            self.former,
            self.ran_until,
            self.open_starts,
        )
        for table in tables:
            drop_keys_below(table, first)

    def active(self) -> bool:
        """Return whether this cell knows any run of the job."""
        return any(batch.active for batch in self.batches.values())

    def objective_at(self) -> float:
        """Return the local time by which the job should be shown as completed."""
        critical_path_s = max(self.critical_paths_s, default=0.0)
        return self.due + self.queue.stretch * critical_path_s + self.queue.objective_ms / 1000

    def work_left(self) -> float:
        """Estimate the remaining core-seconds of the job."""
        if self._work_left_cache[:2] != (self.change, self.version):
            self._work_left_cache = self.change, self.version, self._sum_work_left()
        return self._work_left_cache[2]

    def _sum_work_left(self) -> float:
        left = (self.job.occurrences - self.progress.finished) * sum(
            step.work() for step in self.job.steps
        )
        for (_, number), mask in self.progress.done.items():
            step = self.job.steps[number]
            left -= mask.bit_count() * step.work() / step.width
        return left

    def value(self, usual_work: float) -> float:
        """Return the job's value relative to a usual job of its queue."""
        return relative_value(self.work, usual_work)

    def outcome(self) -> str:
        """Return the outcome of a finished job, relative to its objective if it has one."""
        phase, at = self.progress.phase, self.final_at
        if phase is not Phase.COMPLETED or at is None or self.job.is_timed or self.job.lasting:
            return phase.name.lower()
        if at <= self.objective_at():
            return "in_time"
        return "late" if at <= self.expires_at() else "expired"

    def expires_at(self) -> float:
        """Return the local time after which the job is worth nothing."""
        return self.due + LATE_FACTOR * (self.objective_at() - self.due)
