"""Choice of waiting jobs that would be done earlier in another cell, before they are stranded.

Designed for demand of a failure domain that varies by 0.55 around its mean within 13 s. Pure.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

from curranthall.cells.backlog import measure_remaining, rank_job
from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.forecast import (
    NOTHING_SENT,
    Place,
    Prediction,
    Remaining,
    Sent,
    is_predictable,
    predict,
    predict_waiting,
)
from curranthall.cells.load import LEAST_PRIORITY, Load
from curranthall.cells.tracking import Batch
from curranthall.dag import Step

# A pass takes milliseconds in a cell with hundreds of jobs, so it is not made more often than this.
PASS_INTERVAL_S = 0.4
# A move is a commit in the store, which does 26 a second while it is slow; ends need them, too.
MOVES_PER_PASS = 4
# So many jobs are considered in a pass, those that go last: they gain the most.
MAX_CANDIDATES = 32
# A move takes a commit (0.1 s to 0.3 s); the gain exceeds it, and this share of the prediction.
MARGIN_S = 0.5
MARGIN_SHARE = 0.25
# A job that was moved here stays for this long: more than the age of any published load.
STAY_S = 4.0
# Work that was moved counts for this long: a commit, and two renewals until the load that has it is
# read.
MOVED_S = 2.4


class Target(Protocol):
    """Another cell, with what recent moves have left of the load that it published."""

    cell: str
    left: dict[str, Load]

    def can_run(self, service: str, step: Step) -> bool:
        """Return whether the cell, if it is empty, can run a task of a step."""


class EarlyMove(NamedTuple):
    """A job to move to a cell, with the predictions here and there."""

    batch: Batch
    cell: str
    here: Prediction
    there: Prediction


# A service, and whether its filling tasks are meant.
_Kind = tuple[str, bool]


class _Moved(NamedTuple):
    at: float
    cell: str
    service: str
    step: Step
    work: float


def may_move(dispatcher: Dispatcher, batch: Batch, now: float) -> bool:
    """Return whether a job has certainly not begun, may wait anywhere, and has not just come."""
    tracked = batch.tracked
    job, progress = tracked.job, tracked.progress
    if not is_predictable(job) or any(step.gang for step in job.steps):
        return False
    if progress.cell != dispatcher.cell or progress.doubts:
        return False
    if dispatcher.may_have_started(tracked, now):
        return False
    if tracked.former:
        return False
    if not progress.moves:
        return True
    since = [batch.waiting_since for batch in tracked.batches.values()]
    return all(at is not None and now - at >= STAY_S for at in since)


class EarlyMoves:
    """Chooses the jobs to move, at a bounded rate."""

    def __init__(self) -> None:
        self._next_at = 0.0
        self._moved: list[_Moved] = []

    def is_due(self, now: float) -> bool:
        """Return whether the next pass is due, and begin it."""
        if now < self._next_at:
            return False
        self._next_at = now + PASS_INTERVAL_S
        self._moved = [row for row in self._moved if now - row.at < MOVED_S]
        return True

    def choose(
        self,
        dispatcher: Dispatcher,
        waiting: Iterable[Batch],
        targets: Sequence[Target],
        now: float,
    ) -> Iterable[EarlyMove]:
        """Yield the moves to make; `waiting` is in scheduling order."""
        jobs: dict[str, Batch] = {}
        for batch in waiting:
            jobs.setdefault(batch.tracked.job.id, batch)
        if not jobs or not targets:
            return
        own, count = dispatcher.load(now), 0
        # The published work includes these jobs; only those that go first are ahead of a job.
        listed: dict[_Kind, dict[int, float]] = {}
        passed = defaultdict[_Kind, float](float)
        for batch in jobs.values():
            queue = batch.tracked.queue
            work = listed.setdefault((queue.service, batch.step.filling), {})
            priority = min(queue.priority, LEAST_PRIORITY)
            work[priority] = work.get(priority, 0.0) + batch.tracked.work_left()
        first_candidate = len(jobs) - MAX_CANDIDATES
        for at, batch in enumerate(jobs.values()):
            queue = batch.tracked.queue
            kind = queue.service, batch.step.filling
            load, first = own.get(queue.service), passed[kind]
            passed[kind] += batch.tracked.work_left()
            if at < first_candidate or load is None or load.backlog is None:
                continue
            if not may_move(dispatcher, batch, now):
                continue
            needed = measure_remaining(batch.tracked, dispatcher.estimates)
            behind = sum(
                core_seconds
                for priority, core_seconds in listed[kind].items()
                if priority <= min(queue.priority, LEAST_PRIORITY)
            )
            ahead = load.backlog.total(needed.step, queue.priority) - behind + first
            here = predict_waiting(load, needed, ahead)
            found = self._best(batch, needed, rank_job(batch.tracked, now), targets)
            if here is None or found is None:
                continue
            cell, there = found
            margin_s = max(MARGIN_S, MARGIN_SHARE * here.finish_s)
            if not here.finish_s - there.finish_s > margin_s:
                continue
            passed[kind] = first
            self._moved.append(_Moved(now, cell, queue.service, needed.step, needed.work))
            yield EarlyMove(batch, cell, here, there)
            count += 1
            if count >= MOVES_PER_PASS:
                return

    def _best(
        self, batch: Batch, needed: Remaining, rank: int, targets: Sequence[Target]
    ) -> tuple[str, Prediction] | None:
        """Return the cell with the earliest predicted finish of a job, if any is known."""
        queue, found = batch.tracked.queue, []
        for target in targets:
            fits = all(target.can_run(queue.service, step) for step in batch.tracked.job.steps)
            sent = self._sent_to(target.cell, queue.service, needed.step)
            # The other cells see the same load, and may move as much there.
            sent = sent._replace(work=sent.work * len(targets))
            load = target.left.get(queue.service)
            # Which jobs of its rank go first there is not known: all, lest it is moved to and fro.
            place = Place(queue.priority, rank, rank, share=1.0)
            there = predict(load, needed, place, sent, fits)
            if there is not None:
                found.append((target.cell, there))
        return min(found, key=lambda each: each[1].finish_s, default=None)

    def _sent_to(self, cell: str, service: str, step: Step) -> Sent:
        sent = NOTHING_SENT
        for row in self._moved:
            if (row.cell, row.service, row.step.filling) == (cell, service, step.filling):
                sent = sent.plus(0.0, row.work)
        return sent
