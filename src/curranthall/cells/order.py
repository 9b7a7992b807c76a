"""Order in which a cell's waiting tasks are placed."""

from collections.abc import Callable
from typing import NamedTuple

from curranthall.cells.tracking import LATE_VALUE, Batch, TrackedJob

# Weight of a new job in its queue's moving average of work.
USUAL_WORK_GAIN = 0.05
# Lower bound, in core-seconds, of the remaining work that a job's value is divided by.
MIN_WORK = 0.1


class SortKey(NamedTuple):
    """Position of a batch in the order of placement; the least comes first."""

    rank: int
    priority: int
    fair_rank: float
    density: float


def _no_fair_rank(_: TrackedJob) -> float:
    return 0.0


class Order:
    """Order of a cell's batches; `fair_rank` ranks a job's customer within a priority."""

    def __init__(self, fair_rank: Callable[[TrackedJob], float] = _no_fair_rank) -> None:
        self._fair_rank = fair_rank
        # Moving average of a job's core-seconds, by queue.
        self._usual_work: dict[str, float] = {}

    def note_job(self, tracked: TrackedJob) -> float:
        """Include a new job in its queue's usual work; return that in core-seconds."""
        queue = tracked.job.queue
        usual = self._usual_work.setdefault(queue, tracked.work)
        self._usual_work[queue] = usual + USUAL_WORK_GAIN * (tracked.work - usual)
        return usual

    def key(self, batch: Batch, now: float) -> SortKey:
        """Return a sort key: lasting tasks first, then priority and value per remaining work.

        Nearly finished jobs come before new ones, late jobs after those in time, and jobs whose
        value has expired last.
        """
        tracked = batch.tracked
        if batch.step.lasting:
            return SortKey(0, 0, 0.0, tracked.due)
        rank = 2 if now > tracked.expires_at() else 1
        left_s = tracked.critical_paths_s[batch.number]
        late = now + left_s > tracked.objective_at()
        value = tracked.value(self._usual_work.get(tracked.job.queue, 0.0))
        density = value * (LATE_VALUE if late else 1.0) / max(tracked.work_left(), MIN_WORK)
        return SortKey(rank, tracked.queue.priority, self._fair_rank(tracked), -density)
