"""Rows of task blocks: pure functions that read and change them."""

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Any, NamedTuple, cast

from curranthall.model import BlockRow, Outcome, OutcomeKind, Row, Task

BLOCK_TASKS = 64
QUEUE_PREFIX = "queue/"
BLOCK_PREFIX = "block/"
DONE_PREFIX = "done/"
JOB_PREFIX = "job/"
SERVICE_JOB = "svc."

CANCELLED = "cancelled"
HELD = "held"
FAILED = "failed"


class AttemptOutcome(NamedTuple):
    """The final outcome of an attempt."""

    task: Task
    outcome: Outcome


class TaskState(Enum):
    """The state of a task in its block's row."""

    OPEN = "open"
    DONE = "done"
    CANCELLED = "cancelled"
    HELD = "held"
    FAILED = "failed"


class RetryPolicy(NamedTuple):
    """How a class handles failed and lost attempts."""

    max_attempts: int = 5
    on_worker_loss: str = "resume"


def queue_key(job: str, first: int) -> str:
    """Return the row key of an unclaimed block; `first` is its first task."""
    return f"{QUEUE_PREFIX}{job}/{first}"


def block_key(domain: str, job: str, first: int) -> str:
    """Return the row key of a claimed block."""
    return f"{BLOCK_PREFIX}{domain}/{job}/{first}"


def done_key(job: str, first: int) -> str:
    """Return the row key of a finished block."""
    return f"{DONE_PREFIX}{job}/{first}"


def job_key(job: str) -> str:
    """Return the row key of a job."""
    return f"{JOB_PREFIX}{job}"


def job_id(customer: str, key: str) -> str:
    """Return a job's id: its customer and the caller's job key."""
    return f"{customer}.{key}"


def service_job(service: str, domain: str) -> str:
    """Return the id of the job whose tasks are a service's replicas in a failure domain."""
    return f"{SERVICE_JOB}{service}.{domain}"


def customer_of(job: str) -> str:
    """Return the customer in a job's id."""
    return job.split(".")[0]


def domain_of(key: str) -> str | None:
    """Return the failure domain in a claimed block's key, None for other keys."""
    return key.split("/")[1] if key.startswith(BLOCK_PREFIX) else None


def new_block(
    job: str, customer: str, cls: str, first: int, count: int, deadline: float
) -> BlockRow:
    """Create the row of an unclaimed block."""
    return BlockRow(
        job=job,
        customer=customer,
        cls=cls,
        first=first,
        count=count,
        deadline=deadline,
        holder=None,
        incarnation=0,
        clean=True,
        started=[],
        done="0",
        attempts={},
        checkpoints={},
        ended={},
        failures={},
        cancel=[],
        closed=False,
        service="",
    )


def as_block(row: Row) -> BlockRow:
    """Cast a row to a block row."""
    return cast(BlockRow, row)


def copy_of(row: BlockRow) -> BlockRow:
    """Copy a row and its dicts; lists are shared."""
    new: Any = {key: dict(v) if isinstance(v, dict) else v for key, v in row.items()}
    return cast(BlockRow, new)


def indices(row: BlockRow) -> range:
    """Return the indices of a block's tasks."""
    return range(row["first"], row["first"] + row["count"])


def state_of(row: BlockRow, index: int) -> TaskState:
    """Return the state of a task."""
    if int(row["done"], 16) >> (index - row["first"]) & 1:
        return TaskState.DONE
    ended = row["ended"].get(str(index))
    return TaskState.OPEN if ended is None else TaskState(ended.split(":")[0])


def attempt_of(row: BlockRow, index: int) -> int:
    """Return the number of the only attempt that may run or start."""
    return row["attempts"].get(str(index), 0)


def is_cancelled(row: BlockRow, index: int) -> bool:
    """Return whether a task was cancelled."""
    return any(low <= index < high for low, high in row["cancel"])


def is_current(row: BlockRow, task: Task) -> bool:
    """Return whether the outcome of an attempt can still change the row."""
    in_range = task.number in indices(row)
    is_open = in_range and state_of(row, task.number) in (TaskState.OPEN, TaskState.HELD)
    return is_open and attempt_of(row, task.number) == task.attempt


def is_obsolete(row: BlockRow, task: Task) -> bool:
    """Return whether a row supersedes an attempt.

    An attempt newer than the row's only shows that the row is stale.
    """
    if attempt_of(row, task.number) > task.attempt:
        return True
    final = (TaskState.DONE, TaskState.CANCELLED, TaskState.FAILED)
    return task.number in indices(row) and state_of(row, task.number) in final


def is_finished(row: BlockRow) -> bool:
    """Return whether no task of a block is open or held; never true for a service."""
    if row["service"]:
        return False
    unfinished = (TaskState.OPEN, TaskState.HELD)
    return not any(state_of(row, index) in unfinished for index in indices(row))


def apply_outcomes(
    row: BlockRow, outcomes: Iterable[AttemptOutcome], policy: RetryPolicy
) -> BlockRow:
    """Return the row with outcomes applied; those of outdated attempts change nothing."""
    new = copy_of(row)
    for attempt in outcomes:
        if is_current(new, attempt.task):
            _apply_outcome(new, attempt, policy)
    return new


def _apply_outcome(row: BlockRow, attempt: AttemptOutcome, policy: RetryPolicy) -> None:
    index, key = attempt.task.number, str(attempt.task.number)
    outcome = attempt.outcome
    match outcome.kind:
        case OutcomeKind.DONE:
            row["done"] = format(int(row["done"], 16) | 1 << (index - row["first"]), "x")
            row["ended"].pop(key, None)
            return
        case _ if is_cancelled(row, index):
            row["ended"][key] = CANCELLED
            return
        case OutcomeKind.EVICTED:
            row["checkpoints"][key] = outcome.checkpoint
            row["ended"].pop(key, None)
        case OutcomeKind.FAILED:
            row["failures"][key] = row["failures"].get(key, 0) + 1
            row["ended"].pop(key, None)
            if row["failures"][key] >= policy.max_attempts:
                row["ended"][key] = f"{FAILED}:{outcome.reason}"
                return
        case OutcomeKind.LOST:
            if policy.on_worker_loss == "hold" and not outcome.reason:
                row["ended"][key] = f"{HELD}:worker lost"
                return
    row["attempts"][key] = attempt_of(row, index) + 1


def end_waiting_tasks(row: BlockRow, running: set[int]) -> BlockRow:
    """Return the row with waiting tasks ended: cancelled ones, and all if the job is closed."""
    new = copy_of(row)
    for index in indices(row):
        if index in running or state_of(new, index) is not TaskState.OPEN:
            continue
        if is_cancelled(new, index):
            new["ended"][str(index)] = CANCELLED
        elif new["closed"]:
            new["done"] = format(int(new["done"], 16) | 1 << (index - new["first"]), "x")
    return new


def startable_tasks(row: BlockRow, placed: set[int]) -> Iterator[tuple[Task, int]]:
    """Iterate over the tasks that may start, with their checkpoints."""
    for index in indices(row):
        is_waiting = state_of(row, index) is TaskState.OPEN and not is_cancelled(row, index)
        if is_waiting and index not in placed and not row["closed"]:
            checkpoint = row["checkpoints"].get(str(index), 0)
            yield Task(row["job"], index, attempt_of(row, index)), checkpoint


def split_block(row: BlockRow, split_at: int) -> tuple[BlockRow, BlockRow]:
    """Split a block in two before the task `split_at`."""
    head, tail = copy_of(row), copy_of(row)
    offset = split_at - row["first"]
    done = int(row["done"], 16)
    head["count"] = offset
    head["done"] = format(done & ((1 << offset) - 1), "x")
    tail["first"], tail["count"] = split_at, row["count"] - offset
    tail["done"] = format(done >> offset, "x")
    for part in (head, tail):
        kept = indices(part)
        part["attempts"] = {i: v for i, v in row["attempts"].items() if int(i) in kept}
        part["checkpoints"] = {i: v for i, v in row["checkpoints"].items() if int(i) in kept}
        part["failures"] = {i: v for i, v in row["failures"].items() if int(i) in kept}
        part["ended"] = {i: v for i, v in row["ended"].items() if int(i) in kept}
    return head, tail


def split_point(row: BlockRow, wanted: int) -> int:
    """Return the task to split at so that the head has `wanted` open tasks."""
    for index in indices(row):
        if state_of(row, index) is TaskState.OPEN:
            if not wanted:
                return index
            wanted -= 1
    return row["first"] + row["count"]


def count_by_state(rows: Iterable[BlockRow]) -> dict[str, int]:
    """Count tasks by state."""
    counts = {state.value: 0 for state in TaskState}
    for row in rows:
        for index in indices(row):
            counts[state_of(row, index).value] += 1
    return counts
