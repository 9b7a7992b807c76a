"""What waiting tasks wait for, summed up by queue and size of job."""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

from curranthall.cells.fleet import Member
from curranthall.cells.interference import Interference
from curranthall.cells.placement import FILLING_SHARE, Wish, fits
from curranthall.cells.tracking import Batch
from curranthall.model import Size

# Batches that one summary looks at; of more, every so many.
MAX_SEEN = 40


class Wait(Enum):
    """Why a task has not started."""

    CLOSED = "closed"
    HELD = "held"
    GANG = "gang"
    WORKER = "worker"
    TICKET = "ticket"
    ORDER = "order"
    FULL = "full"
    FRAGMENTS = "fragments"
    KEPT = "kept"
    STRAIN = "strain"


class WaitRow(NamedTuple):
    """Tasks that wait for one thing; `idle_jobs` are those of the jobs that have no run at all."""

    queue: str
    size: str
    why: str
    tasks: int
    cores: float
    jobs: int
    idle_jobs: int


class Scene(NamedTuple):
    """What the reasons are judged by."""

    usable: list[tuple[Member, Size]]
    interference: Interference
    now: float
    kept_share: float
    closed: bool
    held_back: Callable[[Batch, float], bool]


def reason(batch: Batch, scene: Scene) -> Wait:
    """Tell what the next task of a batch waits for."""
    step, queue, now = batch.step, batch.tracked.queue, scene.now
    if scene.closed or scene.held_back(batch, now):
        return Wait.CLOSED if scene.closed else Wait.HELD
    siblings = batch.siblings()
    suited = [
        (member, room)
        for member, room in scene.usable
        if member.host.service == queue.service
        and (not step.requires or step.requires in member.host.labels)
        and (not step.max_per_worker or siblings.get(member.name, 0) < step.max_per_worker)
    ]
    if not suited:
        return Wait.WORKER
    if queue.advised:
        good = batch.tickets.approved((member for member, _ in suited), now)
        suited = [(member, room) for member, room in suited if member in good]
        if not suited:
            return Wait.TICKET
    if step.gang:
        return Wait.GANG
    wish = Wish(
        queue.service,
        step,
        siblings,
        interference=scene.interference,
        now=now,
        kept_share=scene.kept_share,
    )
    roomy = [member for member, room in suited if step.reserved.fits(room)]
    if any(fits(wish, member) for member in roomy):
        return Wait.ORDER
    return _lack(wish, roomy) if roomy else _full(step.size.cores, [room for _, room in suited])


def _lack(wish: Wish, roomy: list[Member]) -> Wait:
    """Tell why a task may not join the workers that have the room."""
    step = wish.step
    if step.lasting:
        return Wait.KEPT
    cores = step.size.cores * FILLING_SHARE
    idle = [member for member in roomy if member.idle_cores >= cores]
    if not idle:
        return _full(cores, [Size(member.idle_cores, 0.0) for member in roomy])
    left = [
        member
        for member in idle
        if step.size.memory + wish.kept_share * member.host.size.memory <= member.room.memory
    ]
    return Wait.STRAIN if left else Wait.KEPT


def _full(cores: float, rooms: list[Size]) -> Wait:
    """Tell whether the cores would do if they were on one worker."""
    return Wait.FRAGMENTS if sum(max(0.0, room.cores) for room in rooms) >= cores else Wait.FULL


def summarize(batches: list[Batch], scene: Scene) -> list[WaitRow]:
    """Sum up the batches by queue, size of job and reason."""
    found: dict[tuple[str, str, str], list[Batch]] = {}
    for batch in batches[:: -(-len(batches) // MAX_SEEN) or 1]:
        tracked = batch.tracked
        key = tracked.queue.name, tracked.size_class, reason(batch, scene).value
        found.setdefault(key, []).append(batch)
    return [_row(*key, each) for key, each in sorted(found.items())]


def _row(queue: str, size: str, why: str, batches: list[Batch]) -> WaitRow:
    tasks = sum(len(batch.waiting) for batch in batches)
    cores = sum(len(batch.waiting) * batch.step.size.cores for batch in batches)
    jobs = {batch.tracked.job.id: batch.tracked for batch in batches}
    idle = sum(not tracked.active() for tracked in jobs.values())
    return WaitRow(queue, size, why, tasks, round(cores, 1), len(jobs), idle)


def idle_jobs(rows: Iterable[WaitRow]) -> dict[tuple[str, str], int]:
    """Count by queue and size the waiting jobs of which nothing runs."""
    counts: dict[tuple[str, str], int] = {}
    for row in rows:
        counts[row.queue, row.size] = counts.get((row.queue, row.size), 0) + row.idle_jobs
    return counts
