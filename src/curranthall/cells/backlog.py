"""Sums of a cell's waiting cores and of the work that its jobs still need."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping

from curranthall.cells.departure import departing_runs
from curranthall.cells.fleet import Member, Run
from curranthall.cells.forecast import Estimates, Remaining
from curranthall.cells.load import (
    LAST_RANK,
    LEAST_PRIORITY,
    RUNNING,
    Backlog,
    Load,
    Waiting,
    Work,
    rank_work,
    widest_step,
)
from curranthall.cells.tracking import LATE_VALUE, Batch, TrackedJob

# A task that has run for longer than expected counts as needing this share of that time.
OVERRUN_SHARE = 0.1
# The middle of a size class, relative to its lower bound.
CLASS_MIDDLE = 1.4

# Core-seconds by service, whether filling tasks need them, priority and rank.
_Work = defaultdict[tuple[str, bool, int, int], float]


def sum_waiting(batches: Iterable[Batch], members: Mapping[str, Member]) -> dict[str, Waiting]:
    """Sum by service the cores of waiting tasks, and of those that leave departing workers."""
    waiting: dict[str, Waiting] = {}
    for batch in batches:
        service = batch.tracked.queue.service
        cores = batch.count_waiting() * batch.step.size.cores
        waiting[service] = waiting.get(service, Waiting()).plus(cores, batch.step)
    for run in departing_runs(members.values()):
        service = members[run.worker].host.service
        needed = waiting.get(service, Waiting())
        waiting[service] = needed.plus(run.step.size.cores, run.step)
    return waiting


def with_backlogs(
    loads: dict[str, Load],
    cell: str,
    jobs: Iterable[TrackedJob],
    usable: Iterable[Member],
    estimates: Estimates,
    now: float,
    allows: Callable[[Batch], bool],
) -> dict[str, Load]:
    """Return loads with the work that the cell's finite tasks still need.

    `allows` tells whether the limit of a batch's customer lets its next task start.
    """
    cores, filling_cores = defaultdict[str, float](float), defaultdict[str, float](float)
    for member in usable:
        service = member.host.service
        cores[service] += max(0.0, member.host.size.cores - member.lasting.cores)
        filling_cores[service] += max(0.0, member.idle_cores) + member.filling_cores
    work = _Work(float)
    for tracked in jobs:
        if not tracked.progress.phase.is_final:
            # Work that a customer's limit keeps waiting goes before no other customer's work.
            may_start = all(allows(batch) for batch in tracked.batches.values())
            rank = rank_job(tracked, now)
            _add_work(work, cell, tracked, rank, estimates, now, may_start)
    return {
        service: load._replace(
            backlog=Backlog(
                round(cores[service], 1),
                round(filling_cores[service], 1),
                _list_work(work, service, filling=False),
                _list_work(work, service, filling=True),
            )
        )
        for service, load in loads.items()
    }


def measure_remaining(tracked: TrackedJob, estimates: Estimates) -> Remaining:
    """Return what a waiting job still needs, from its rows alone."""
    done, job = tracked.progress.done, tracked.job
    seconds = [estimates.expected_s(job.queue, step) for step in job.steps]
    work, chains_s = 0.0, [0.0] * len(seconds)
    for number in reversed(range(len(seconds))):
        step = job.steps[number]
        left = step.width - done.get((0, number), 0).bit_count()
        work += left * step.size.cores * seconds[number]
        chains_s[number] += seconds[number] if left else 0.0
        for before in step.after:
            chains_s[before] = max(chains_s[before], chains_s[number])
    return Remaining(widest_step(job), work, max(chains_s))


def rank_job(tracked: TrackedJob, now: float) -> int:
    """Return the rank of a job among the waiting ones of its priority."""
    if now > tracked.expires_at():
        return LAST_RANK
    open_steps = [batch.number for batch in tracked.batches.values()]
    left_s = tracked.critical_paths_s[min(open_steps, default=0)]
    late = now + left_s > tracked.objective_at()
    usual_work = tracked.work / (CLASS_MIDDLE * float(tracked.size_class))
    return rank_work(tracked.work_left(), tracked.value(usual_work) * (LATE_VALUE if late else 1))


def _list_work(work: _Work, service: str, filling: bool) -> tuple[Work, ...]:
    return tuple(
        Work(priority, rank, round(core_seconds, 1))
        for (each, is_filling, priority, rank), core_seconds in sorted(work.items())
        if (each, is_filling) == (service, filling) and core_seconds > 0
    )


def _add_work(
    work: _Work,
    cell: str,
    tracked: TrackedJob,
    rank: int,
    estimates: Estimates,
    now: float,
    may_start: bool,
) -> None:
    """Add the work of a job's finite tasks in this cell, the waiting ones if they may start."""
    job, progress = tracked.job, tracked.progress
    service = tracked.queue.service
    priority = max(0, min(tracked.queue.priority, LEAST_PRIORITY))
    # Steps that are not open yet count, unless another cell may run them or they are not due.
    is_whole = progress.cell == cell and not progress.moved_to and not job.is_timed
    running: Counter[int] = Counter()
    tasks: Counter[int] = Counter()
    for batch in tracked.batches.values():
        if batch.step.lasting:
            continue
        expected_s = estimates.expected_s(job.queue, batch.step)
        tasks[batch.number] += batch.count_waiting()
        for runs in batch.active.values():
            running[batch.number] += 1
            left_s = max(_left_s(run, expected_s, now) for run in runs) if runs else 0.0
            work[service, batch.step.filling, RUNNING, 0] += left_s * batch.step.size.cores
    for number, step in enumerate(job.steps):
        if step.lasting or not may_start:
            continue
        waiting = tasks[number]
        if is_whole:
            done = progress.done.get((0, number), 0).bit_count()
            waiting = max(0, step.width - done - running[number])
        if waiting:
            seconds = estimates.expected_s(job.queue, step)
            work[service, step.filling, priority, rank] += waiting * step.size.cores * seconds


def _left_s(run: Run, expected_s: float, now: float) -> float:
    """Return for how many seconds a run is expected to go on."""
    return max(expected_s - (now - run.sent_at), OVERRUN_SHARE * expected_s)
