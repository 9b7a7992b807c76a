"""Blocks of tasks: pure changes of their rows, and which tasks may start."""

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


class Fact(NamedTuple):
    """What is certain about an attempt that is over."""

    task: Task
    outcome: Outcome


class TaskState(Enum):
    """How a task stands in its row."""

    OPEN = "open"
    DONE = "done"
    CANCELLED = "cancelled"
    HELD = "held"
    FAILED = "failed"


class Policy(NamedTuple):
    """What a class says of its tasks' ends."""

    max_attempts: int = 5
    on_worker_loss: str = "resume"


def queue_key(job: str, first: int) -> str:
    """Name the row of an unclaimed block by its first task."""
    return f"{QUEUE_PREFIX}{job}/{first}"


def block_key(domain: str, job: str, first: int) -> str:
    """Name the row of a claimed block."""
    return f"{BLOCK_PREFIX}{domain}/{job}/{first}"


def done_key(job: str, first: int) -> str:
    """Name the row of a finished block."""
    return f"{DONE_PREFIX}{job}/{first}"


def job_key(job: str) -> str:
    """Name the row of a job."""
    return f"{JOB_PREFIX}{job}"


def job_id(customer: str, key: str) -> str:
    """Name a job by its customer and the caller's job key."""
    return f"{customer}.{key}"


def service_job(service: str, domain: str) -> str:
    """Name the job of a service's replicas in a failure domain; each replica is one task."""
    return f"{SERVICE_JOB}{service}.{domain}"


def customer_of(job: str) -> str:
    """Tell the customer from a job's name."""
    return job.split(".")[0]


def domain_of(key: str) -> str | None:
    """Tell the failure domain of a claimed block's key."""
    return key.split("/")[1] if key.startswith(BLOCK_PREFIX) else None


def new_block(
    job: str, customer: str, cls: str, first: int, count: int, deadline: float
) -> BlockRow:
    """Make the row of a block that nobody has claimed."""
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
    """See a row as a block."""
    return cast(BlockRow, row)


def copy_of(row: BlockRow) -> BlockRow:
    """Copy a row that is to be changed."""
    new: Any = {key: dict(v) if isinstance(v, dict) else v for key, v in row.items()}
    return cast(BlockRow, new)


def indices(row: BlockRow) -> range:
    """Give the indices of a block's tasks."""
    return range(row["first"], row["first"] + row["count"])


def state_of(row: BlockRow, index: int) -> TaskState:
    """Tell how a task stands."""
    if int(row["done"], 16) >> (index - row["first"]) & 1:
        return TaskState.DONE
    ended = row["ended"].get(str(index))
    return TaskState.OPEN if ended is None else TaskState(ended.split(":")[0])


def attempt_of(row: BlockRow, index: int) -> int:
    """Give the attempt that may run or start."""
    return row["attempts"].get(str(index), 0)


def is_cancelled(row: BlockRow, index: int) -> bool:
    """Tell whether a task was cancelled."""
    return any(low <= index < high for low, high in row["cancel"])


def is_current(row: BlockRow, task: Task) -> bool:
    """Tell whether a fact about an attempt still changes anything."""
    in_range = task.number in indices(row)
    open_ = in_range and state_of(row, task.number) in (TaskState.OPEN, TaskState.HELD)
    return open_ and attempt_of(row, task.number) == task.attempt


def is_obsolete(row: BlockRow, task: Task) -> bool:
    """Tell whether a row has gone past an attempt; one ahead of the row only proves it stale."""
    if attempt_of(row, task.number) > task.attempt:
        return True
    over = (TaskState.DONE, TaskState.CANCELLED, TaskState.FAILED)
    return task.number in indices(row) and state_of(row, task.number) in over


def is_finished(row: BlockRow) -> bool:
    """Tell whether nothing of a block is left to do."""
    if row["service"]:
        return False
    unfinished = (TaskState.OPEN, TaskState.HELD)
    return not any(state_of(row, index) in unfinished for index in indices(row))


def with_facts(row: BlockRow, facts: Iterable[Fact], policy: Policy) -> BlockRow:
    """Apply facts; one about an attempt that is no longer current changes nothing."""
    new = copy_of(row)
    for fact in facts:
        if is_current(new, fact.task):
            _apply(new, fact, policy)
    return new


def _apply(row: BlockRow, fact: Fact, policy: Policy) -> None:
    index, name = fact.task.number, str(fact.task.number)
    outcome = fact.outcome
    match outcome.kind:
        case OutcomeKind.DONE:
            row["done"] = format(int(row["done"], 16) | 1 << (index - row["first"]), "x")
            row["ended"].pop(name, None)
            return
        case _ if is_cancelled(row, index):
            row["ended"][name] = CANCELLED
            return
        case OutcomeKind.EVICTED:
            row["checkpoints"][name] = outcome.checkpoint
            row["ended"].pop(name, None)
        case OutcomeKind.FAILED:
            row["failures"][name] = row["failures"].get(name, 0) + 1
            row["ended"].pop(name, None)
            if row["failures"][name] >= policy.max_attempts:
                row["ended"][name] = f"{FAILED}:{outcome.reason}"
                return
        case OutcomeKind.LOST:
            if policy.on_worker_loss == "hold" and not outcome.reason:
                row["ended"][name] = f"{HELD}:worker lost"
                return
    row["attempts"][name] = attempt_of(row, index) + 1


def with_waiting_ended(row: BlockRow, running: set[int]) -> BlockRow:
    """End waiting tasks that were cancelled or whose order was closed."""
    new = copy_of(row)
    for index in indices(row):
        if index in running or state_of(new, index) is not TaskState.OPEN:
            continue
        if is_cancelled(new, index):
            new["ended"][str(index)] = CANCELLED
        elif new["closed"]:
            new["done"] = format(int(new["done"], 16) | 1 << (index - new["first"]), "x")
    return new


def startable(row: BlockRow, placed: set[int]) -> Iterator[tuple[Task, int]]:
    """Give the tasks that may start, with their checkpoints."""
    for index in indices(row):
        wanted = state_of(row, index) is TaskState.OPEN and not is_cancelled(row, index)
        if wanted and index not in placed and not row["closed"]:
            checkpoint = row["checkpoints"].get(str(index), 0)
            yield Task(row["job"], index, attempt_of(row, index)), checkpoint


def split(row: BlockRow, middle: int) -> tuple[BlockRow, BlockRow]:
    """Cut a block in two before the task `middle`."""
    head, tail = copy_of(row), copy_of(row)
    offset = middle - row["first"]
    done = int(row["done"], 16)
    head["count"] = offset
    head["done"] = format(done & ((1 << offset) - 1), "x")
    tail["first"], tail["count"] = middle, row["count"] - offset
    tail["done"] = format(done >> offset, "x")
    for part in (head, tail):
        kept = indices(part)
        part["attempts"] = {i: v for i, v in row["attempts"].items() if int(i) in kept}
        part["checkpoints"] = {i: v for i, v in row["checkpoints"].items() if int(i) in kept}
        part["failures"] = {i: v for i, v in row["failures"].items() if int(i) in kept}
        part["ended"] = {i: v for i, v in row["ended"].items() if int(i) in kept}
    return head, tail


def after_open(row: BlockRow, wanted: int) -> int:
    """Give the task before which to cut so that the head has `wanted` open tasks."""
    for index in indices(row):
        if state_of(row, index) is TaskState.OPEN:
            if not wanted:
                return index
            wanted -= 1
    return row["first"] + row["count"]


def tally(rows: Iterable[BlockRow]) -> dict[str, int]:
    """Count tasks by state."""
    counts = {state.value: 0 for state in TaskState}
    for row in rows:
        for index in indices(row):
            counts[state_of(row, index).value] += 1
    return counts
