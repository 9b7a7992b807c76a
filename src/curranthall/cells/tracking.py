"""What a cell's holder keeps of each job: its queue, its steps' waiting tasks and runs."""

from dataclasses import dataclass, field
from math import floor, log2
from typing import NamedTuple

from curranthall.cells.advice import Tickets
from curranthall.cells.fleet import FormerRun, Run
from curranthall.dag import Job, Phase, Progress, Step, TaskId
from curranthall.dag.progress import TaskKey

# A job past this many times its objective earns nothing more, so it yields.
LATE_FACTOR = 3.0


# What a job shown as completed late is worth, as a part of one in time (the platform's queues).
LATE_VALUE = 0.15
# A job is worth this, and the rest by its work against the usual work of its queue; at most so
# many times the usual job (the platform's rules).
BASE_VALUE = 0.3
MOST_VALUE = 4.0
# Classes of jobs by work, in powers of two of the usual work of their queue; the first and the
# last take in what is beyond.
LEAST_CLASS = -2
MOST_CLASS = 3


def classify(work: float, usual_work: float) -> str:
    """Name the size class of a job by the least multiple of the usual work in it."""
    if work <= 0 or usual_work <= 0:
        return "1"
    power = floor(log2(work / usual_work))
    return f"{2.0 ** min(max(power, LEAST_CLASS), MOST_CLASS):g}"


class Queue(NamedTuple):
    """What the configuration says of a queue; times in milliseconds."""

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    # An advisor chooses the workers of its steps.
    advised: bool = False


class Bounds(NamedTuple):
    """The platform's bounds that decisions need, in seconds."""

    max_hold_s: float = 6.0
    gang_timeout_s: float = 3.0
    early_s: float = 0.25
    status_s: float = 120.0


@dataclass(slots=True, eq=False)
class Batch:
    """One occurrence of one step: the tasks that wait and those with runs."""

    tracked: "TrackedJob"
    occurrence: int
    number: int
    step: Step
    waiting: set[int] = field(default_factory=set)
    active: dict[int, list[Run]] = field(default_factory=dict)
    unplaced_since: float | None = None
    tickets: Tickets = field(default_factory=Tickets)

    def siblings(self) -> dict[str, int]:
        """Count the runs by worker."""
        counts: dict[str, int] = {}
        for runs in self.active.values():
            for run in runs:
                counts[run.worker] = counts.get(run.worker, 0) + 1
        return counts

    def task(self, index: int) -> TaskId:
        """Name a task."""
        return TaskId(self.tracked.job.id, self.occurrence, self.number, index)


@dataclass(slots=True, eq=False)
class TrackedJob:
    """A job that this cell runs tasks of."""

    job: Job
    progress: Progress
    version: int
    queue: Queue
    due: float
    # The row named another epoch when the job became known here.
    prior: bool = False
    has_started: bool = False
    batches: dict[tuple[int, int], Batch] = field(default_factory=dict)
    checkpoints: dict[TaskKey, str] = field(default_factory=dict)
    failed_on: dict[TaskKey, set[str]] = field(default_factory=dict)
    former: dict[TaskKey, FormerRun] = field(default_factory=dict)
    change: int = 0
    recorded: int = 0
    # The change that takes the job over from a former holder; 0 where none is needed.
    claim_change: int = 0
    pause_until: float = 0.0
    final_at: float | None = None
    size_class: str = "1"
    # Counted as past the time after which it earns nothing.
    expired: bool = False
    # By the caller's estimates: core-seconds in all, and the longest chain that each step begins.
    work: float = 0.0
    critical_paths_s: tuple[float, ...] = ()
    # The work left as of a change and a version: it is asked for at each planning.
    _left: tuple[int, int, float] = (-1, -1, 0.0)

    def __post_init__(self) -> None:
        self.work = self.job.work()
        self.critical_paths_s = tuple(
            self.job.critical_path_ms(at) / 1000 for at in range(len(self.job.steps))
        )

    @property
    def visible_phase(self) -> Phase:
        """Give the phase to show: final only once recorded."""
        phase = self.progress.phase
        if phase.is_final and self.recorded < self.change:
            return Phase.RUNNING
        return Phase.RUNNING if phase is Phase.QUEUED and self.has_started else phase

    def active(self) -> bool:
        """Tell whether any run of the job is known here."""
        return any(batch.active for batch in self.batches.values())

    def objective_at(self) -> float:
        """Give the local time by which the job should be shown as completed."""
        chain_s = max(self.critical_paths_s, default=0.0)
        return self.due + self.queue.stretch * chain_s + self.queue.objective_ms / 1000

    def work_left(self) -> float:
        """Estimate the core-seconds that the job still needs."""
        if self._left[:2] != (self.change, self.version):
            self._left = self.change, self.version, self._sum_left()
        return self._left[2]

    def _sum_left(self) -> float:
        left = 0.0
        for occurrence in range(self.job.occurrences):
            for number, step in enumerate(self.job.steps):
                ended = self.progress.done.get((occurrence, number), 0).bit_count()
                left += (step.width - ended) * step.size.cores * step.estimate_ms / 1000
        return left

    def value(self, usual_work: float) -> float:
        """Give what the job is worth, in usual jobs of its queue."""
        if usual_work <= 0:
            return 1.0
        return min(MOST_VALUE, BASE_VALUE + (1 - BASE_VALUE) * self.work / usual_work)

    def outcome(self) -> str:
        """Name what became of a job that is over, by its objective where it has one."""
        phase, at = self.progress.phase, self.final_at
        if phase is not Phase.COMPLETED or at is None or self.job.is_timed or self.job.lasting:
            return phase.name.lower()
        if at <= self.objective_at():
            return "in_time"
        return "late" if at <= self.expires_at() else "expired"

    def expires_at(self) -> float:
        """Give the local time after which the job earns nothing."""
        return self.due + LATE_FACTOR * (self.objective_at() - self.due)
