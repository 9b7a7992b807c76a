"""Why waiting tasks have not started, summarized by queue and size of job."""

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

from curranthall.cells.fleet import Member
from curranthall.cells.headroom import Headroom
from curranthall.cells.interference import Interference
from curranthall.cells.placement import FILLING_SHARE, PlacementRequest, fits, has_room
from curranthall.cells.poison import startable
from curranthall.cells.tracking import Batch
from curranthall.model import Size

# Most batches that one summary looks at; a larger number is sampled evenly.
MAX_SAMPLED_BATCHES = 40
# The most lasting batches that one summary lists, those that waited longest.
MAX_LASTING_WAITS = 32
# The most rows of held lasting tasks that one summary lists.
MAX_HELD_ROWS = 16


class WaitReason(Enum):
    """Why a task has not started."""

    CLOSED = "closed"  # the cell is evacuated or being released
    HELD = "held"  # the job is paused, or its stored row does not name this epoch
    LIMIT = "limit"  # the customer's limit is used up, or other cells hold the rest of it
    ANSWER = "answer"  # a worker may have crashed with the task, or a task before it is isolated
    GANG = "gang"  # the gang has not started
    WORKER = "worker"  # no usable worker meets the step's constraints
    TICKET = "ticket"  # no eligible worker has a valid ticket
    ORDER = "order"  # it would fit, but e.g. the worker is reserved for a lasting task
    FULL = "full"  # too few free cores in total
    FRAGMENTS = "fragments"  # enough free cores in total, but no worker has room for the task
    KEPT = "kept"  # only the room kept free for short tasks is left
    STRAIN = "strain"  # a serving task on the worker would come too close to its load limit


class WaitRow(NamedTuple):
    """Tasks that wait for one reason; `idle_jobs` counts their jobs without any run.

    `task_cores` is the most that one of them requests, `largest_room` the most free cores on a
    usable worker.
    """

    queue: str
    size: str
    why: str
    tasks: int
    cores: float
    jobs: int
    idle_jobs: int
    task_cores: float
    largest_room: float


class LastingState(NamedTuple):
    """Lasting tasks of a cell: waiting ones, and runs that are at work or over their target."""

    waiting: int
    runs: int
    at_work: int
    over_target: int
    over_beside_filling: int


class LastingWait(NamedTuple):
    """Tasks of a lasting step, the first of which has waited for `waited_s`, held or not."""

    job: str
    step: int
    tasks: int
    cores: float
    waited_s: float
    why: str


class HeldTasks(NamedTuple):
    """Tasks of a lasting step that wait until the worker of their last start is proven.

    `worker` is empty if the job's row does not name it.
    """

    job: str
    step: int
    worker: str
    tasks: int


class WaitContext(NamedTuple):
    """State of a cell that wait reasons are derived from."""

    usable: list[tuple[Member, Size]]
    interference: Interference
    now: float
    headroom: Headroom
    closed: bool
    is_held: Callable[[Batch, float], bool]
    # Whether the customer's limit lets a batch start.
    is_allowed: Callable[[Batch], bool] = lambda batch: True


def find_reason(batch: Batch, ctx: WaitContext) -> WaitReason:
    """Return what the next task of a batch waits for."""
    step, queue, now = batch.step, batch.tracked.queue, ctx.now
    if ctx.closed or ctx.is_held(batch, now):
        return WaitReason.CLOSED if ctx.closed else WaitReason.HELD
    if not ctx.is_allowed(batch):
        return WaitReason.LIMIT
    if not startable(batch):
        return WaitReason.ANSWER
    siblings = batch.siblings()
    eligible = [
        (member, room)
        for member, room in ctx.usable
        if member.host.service == queue.service
        and (not step.requires or step.requires in member.host.labels)
        and (not step.max_per_worker or siblings.get(member.name, 0) < step.max_per_worker)
    ]
    if not eligible:
        return WaitReason.WORKER
    if queue.advised:
        good = batch.tickets.approved((member for member, _ in eligible), now)
        eligible = [(member, room) for member, room in eligible if member in good]
        if not eligible:
            return WaitReason.TICKET
    if step.gang:
        return WaitReason.GANG
    req = PlacementRequest(
        queue.service,
        step,
        siblings,
        interference=ctx.interference,
        now=now,
        headroom=ctx.headroom,
    )
    with_room = [member for member, _ in eligible if has_room(step, member)]
    if any(fits(req, member) for member in with_room):
        return WaitReason.ORDER
    return (
        _classify_refusal(req, with_room)
        if with_room
        else _classify_shortage(step.size.cores, [room for _, room in eligible])
    )


def _classify_refusal(req: PlacementRequest, with_room: list[Member]) -> WaitReason:
    """Return why a task is refused by workers that have room for what it reserves."""
    step = req.step
    if step.lasting:
        return WaitReason.KEPT
    cores = step.size.cores * FILLING_SHARE
    idle = [member for member in with_room if member.idle_cores >= cores]
    if not idle:
        return _classify_shortage(cores, [Size(member.idle_cores, 0.0) for member in with_room])
    with_memory = [
        member
        for member in idle
        if step.size.memory + req.headroom.memory_share * member.host.size.memory
        <= member.room.memory
    ]
    return WaitReason.STRAIN if with_memory else WaitReason.KEPT


def _classify_shortage(cores: float, rooms: list[Size]) -> WaitReason:
    """Return FRAGMENTS if the cores would suffice on one worker, else FULL."""
    return (
        WaitReason.FRAGMENTS
        if sum(max(0.0, room.cores) for room in rooms) >= cores
        else WaitReason.FULL
    )


def summarize(batches: list[Batch], ctx: WaitContext) -> list[WaitRow]:
    """Summarize the batches by queue, size of job and reason."""
    found: dict[tuple[str, str, str], list[tuple[Batch, int]]] = {}
    for batch in batches[:: -(-len(batches) // MAX_SAMPLED_BATCHES) or 1]:
        tracked = batch.tracked
        for why, tasks in _count_by_reason(batch, ctx).items():
            key = tracked.queue.name, tracked.size_class, why.value
            found.setdefault(key, []).append((batch, tasks))
    largest_room = max((room.cores for _, room in ctx.usable), default=0.0)
    return [_build_row(*key, each, largest_room) for key, each in sorted(found.items())]


def _count_by_reason(batch: Batch, ctx: WaitContext) -> dict[WaitReason, int]:
    """Count the waiting tasks of a batch by reason."""
    held = WaitReason.CLOSED if ctx.closed else WaitReason.HELD
    counts = {held: len(batch.held)} if batch.held else {}
    if batch.waiting:
        why = find_reason(batch, ctx)
        counts[why] = counts.get(why, 0) + len(batch.waiting)
    return counts


def _build_row(
    queue: str, size: str, why: str, found: list[tuple[Batch, int]], largest_room: float
) -> WaitRow:
    tasks = sum(count for _, count in found)
    cores = sum(count * batch.step.size.cores for batch, count in found)
    jobs = {batch.tracked.job.id: batch.tracked for batch, _ in found}
    idle = sum(not tracked.active() for tracked in jobs.values())
    task_cores = max(batch.step.size.cores for batch, _ in found)
    totals = tasks, round(cores, 1), len(jobs), idle
    return WaitRow(queue, size, why, *totals, round(task_cores, 1), round(largest_room, 1))


def idle_jobs(rows: Iterable[WaitRow]) -> dict[tuple[str, str], int]:
    """Count the waiting jobs without any run, by queue and size."""
    counts: dict[tuple[str, str], int] = {}
    for row in rows:
        counts[row.queue, row.size] = counts.get((row.queue, row.size), 0) + row.idle_jobs
    return counts


def count_lasting(batches: Iterable[Batch], members: Iterable[Member]) -> LastingState:
    """Count the lasting tasks that wait, and the runs by what the workers last reported."""
    runs = [(run, each) for each in members for run in each.runs.values() if run.step.lasting]
    at_work = [run for run, _ in runs if run.is_at_work]
    over = [member for run, member in runs if 0 < run.step.target_ms < run.gauge]
    return LastingState(
        waiting=sum(batch.count_waiting() for batch in batches if batch.step.lasting),
        runs=len(runs),
        at_work=len(at_work),
        over_target=len(over),
        over_beside_filling=sum(member.filling_cores > 0 for member in over),
    )


def find_longest_waits(batches: Iterable[Batch]) -> list[tuple[float, Batch]]:
    """Return the lasting batches with tasks that have waited longest, and since when."""
    found = [
        (batch.waiting_since, batch)
        for batch in batches
        if batch.step.lasting and batch.count_waiting() and batch.waiting_since is not None
    ]
    found.sort(key=lambda row: row[0])
    return found[:MAX_LASTING_WAITS]


def list_lasting_waits(found: Iterable[tuple[float, Batch]], ctx: WaitContext) -> list[LastingWait]:
    """Return the lasting tasks that have waited longest, by batch and reason."""
    return [
        LastingWait(
            batch.tracked.job.id,
            batch.number,
            tasks,
            batch.step.size.cores,
            round(ctx.now - since, 2),
            why.value,
        )
        for since, batch in found
        for why, tasks in _count_by_reason(batch, ctx).items()
    ][:MAX_LASTING_WAITS]


def list_held(found: Iterable[tuple[float, Batch]]) -> list[HeldTasks]:
    """Return the held tasks of lasting batches by the worker that holds them up."""
    rows = []
    for _, batch in found:
        places = batch.tracked.progress.places or {}
        held = (places.get(batch.key(index)) for index in sorted(batch.held))
        workers = Counter(place.worker if place is not None else "" for place in held)
        job = batch.tracked.job.id
        rows += [HeldTasks(job, batch.number, *each) for each in workers.items()]
    return rows[:MAX_HELD_ROWS]
