"""Jobs: graphs of steps with identical tasks, run once or at due times."""

from typing import NamedTuple

from cbor2 import dumps, loads

from curranthall.model import Size
from curranthall.values import checked, fields, items, whole


class TaskId(NamedTuple):
    """Id of a task: occurrence, step and index within a job."""

    job: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.number}"

    @classmethod
    def parse(cls, text: str) -> "TaskId":
        """Parse the text form; raise ValueError if it is malformed."""
        job, occurrence, step, index = text.split(".")
        return cls(job, int(occurrence), int(step), int(index))


class Queue(NamedTuple):
    """Configuration of a queue; times in milliseconds."""

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    # Workers need an advisor's approval.
    advised: bool = False
    # The version of the configuration in which it was last read.
    version: int = 0

    def has_settings_of(self, other: "Queue") -> bool:
        """Return whether both are configured alike, in whatever version."""
        return self._replace(version=other.version) == other


class Step(NamedTuple):
    """Identical tasks and constraints on where they run; times in milliseconds."""

    width: int
    size: Size
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    # All tasks run at the same time, or none does.
    gang: bool = False
    same_rack: bool = False
    # A label that the worker must have.
    requires: str = ""
    # A worker's label that is preferred but not required.
    near_rack: str = ""
    max_per_worker: int = 0
    # Duplicate runs of a task are allowed.
    copies: bool = False
    # The tasks run until the job is cancelled.
    lasting: bool = False
    image: str = ""
    # Tail latency target of a serving task; 0 for other tasks.
    target_ms: int = 0
    # The tasks reserve no cores and use those that are idle.
    filling: bool = False
    max_unavailable: int = 0

    def work(self) -> float:
        """Estimate the core-seconds of all tasks of an occurrence."""
        return self.width * self.size.cores * self.estimate_ms / 1000

    @property
    def full_mask(self) -> int:
        """Return a mask with a bit for each task."""
        return (1 << self.width) - 1

    @property
    def records_starts(self) -> bool:
        """Return whether each start is recorded before it is sent, so that no task starts twice."""
        return self.lasting and not self.copies

    @property
    def reserved(self) -> Size:
        """Return the size a task reserves on a worker; a filling task reserves no cores."""
        return self.size._replace(cores=0.0) if self.filling else self.size


class Job(NamedTuple):
    """A job as accepted; `accepted_ms` and `first_due_ms` are Unix times."""

    id: str
    queue: str
    service: str
    spec: str
    steps: tuple[Step, ...]
    accepted_ms: int
    occurrences: int = 1
    first_due_ms: int = 0
    interval_ms: int = 0
    # Name of the customer whose key the caller sent; empty without one.
    customer: str = ""

    @property
    def is_timed(self) -> bool:
        """Return whether the job runs at due times."""
        return self.first_due_ms > 0

    @property
    def lasting(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)

    def has_task(self, task: TaskId) -> bool:
        """Return whether a task's id is one of this job's."""
        if task.occurrence >= self.occurrences or task.step >= len(self.steps):
            return False
        return task.number < self.steps[task.step].width

    def due_ms(self, occurrence: int) -> int:
        """Return the due time of an occurrence."""
        return self.first_due_ms + occurrence * self.interval_ms

    def critical_path_ms(self, first: int | None = None) -> int:
        """Estimate the length of the critical path, or of the longest path from a given step."""
        lengths_ms: list[int] = [0] * len(self.steps)
        for number in reversed(range(len(self.steps))):
            lengths_ms[number] += self.steps[number].estimate_ms
            for dependency in self.steps[number].after:
                lengths_ms[dependency] = max(lengths_ms[dependency], lengths_ms[number])
        return lengths_ms[first] if first is not None else max(lengths_ms, default=0)

    def work(self) -> float:
        """Estimate the core-seconds of all tasks."""
        return self.occurrences * sum(step.work() for step in self.steps)

    def encode(self) -> bytes:
        """Encode the job as a row's value."""
        fields = {**self._asdict(), "steps": [list(step) for step in self.steps]}
        return dumps(fields)


def decode_job(data: bytes) -> Job:
    """Decode a row's value, without the fields of later versions; raise one of DECODE_ERRORS."""
    value = fields(loads(data))
    steps = tuple(_decode_step(step, at) for at, step in enumerate(items(value["steps"])))
    known = {name: value[name] for name in Job._fields if name in value}
    job = checked(Job(**{**known, "steps": steps}))
    if not steps or job.occurrences < 1 or min(job.accepted_ms, job.interval_ms) < 0:
        raise ValueError("a job out of range")
    return job


def _decode_step(values: object, number: int) -> Step:
    width, size, estimate_ms, after, *others = items(values)[: len(Step._fields)]
    before = tuple(map(whole, items(after)))
    step = checked(Step(width, checked(Size(*size)), estimate_ms, before, *others))
    least = min(step.estimate_ms, step.max_per_worker, step.target_ms, step.max_unavailable)
    if step.width < 1 or least < 0 or min(step.size) < 0 or max(before, default=-1) >= number:
        raise ValueError("a step out of range")
    return step
