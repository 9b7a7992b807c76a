"""Order in which a cell's waiting tasks are placed.

Designed for a cell with up to a few thousand jobs of which a few hundred wait, planned up to 300
times a second: `key` takes constant time, and `update` does its work at most every REORDER_S.
"""

import heapq
from collections.abc import Callable, Iterable
from typing import NamedTuple

from curranthall.cells.fleet import Member
from curranthall.cells.tracking import LATE_VALUE, Batch, TrackedJob
from curranthall.events import Event, log

# Weight of a new job in its queue's moving average of work.
USUAL_WORK_GAIN = 0.05
# Lower bound, in core-seconds, of the remaining work that a job's value is divided by.
MIN_WORK = 0.1
# Interval at which the jobs to be late are chosen again: short beside objectives of seconds.
REORDER_S = 0.25
# Up to so many open jobs; with more, the interval grows, so that the cost a second does not.
JOBS_PER_INTERVAL = 500
# Interval between log lines on the jobs to be late.
LOG_INTERVAL_S = 2.0
# A job that has to start within this time to be in time goes before denser ones with more slack.
# In plays, ordering all jobs by slack earned less: a capacity that is estimated too high then makes
# many jobs late at once.
URGENT_S = 0.5
# Once tasks have found no worker for this long, the cores in use are their service's capacity.
FULL_AFTER_S = 0.2
# Of this capacity, jobs that arrive later and go first take a part. With all of it, plays of two
# priorities earned less in the lower one.
FULL_SHARE = 0.5


class SortKey(NamedTuple):
    """Position of a batch in the order of placement; the least comes first."""

    rank: int
    priority: int
    fair_rank: float
    # 0 for jobs that are in time only if they start now, by slack; 1 for the others, by density.
    lateness: int
    urgency: float


class Demand(NamedTuple):
    """Remaining work of a job and the local time by which it should be done."""

    tracked: TrackedJob
    due: float
    work: float
    density: float


def _no_fair_rank(_: TrackedJob) -> float:
    return 0.0


class Order:
    """Order of a cell's batches; `fair_rank` ranks a job's customer within a priority."""

    def __init__(
        self,
        by_deadline: bool = False,
        fair_rank: Callable[[TrackedJob], float] = _no_fair_rank,
        cell: str = "",
    ) -> None:
        self._cell = cell
        self._by_deadline = by_deadline
        self._fair_rank = fair_rank
        # Moving average of a job's core-seconds, by queue.
        self._usual_work: dict[str, float] = {}
        # Ids of the jobs that are to be late, and when to choose them again.
        self._late: set[str] = set()
        self._update_at = self._log_at = float("-inf")

    def note_job(self, tracked: TrackedJob) -> float:
        """Include a new job in its queue's usual work; return that in core-seconds."""
        queue = tracked.job.queue
        usual = self._usual_work.setdefault(queue, tracked.work)
        self._usual_work[queue] = usual + USUAL_WORK_GAIN * (tracked.work - usual)
        return usual

    def key(self, batch: Batch, now: float) -> SortKey:
        """Return a sort key: lasting tasks first, then priority, then value per remaining work.

        Nearly finished jobs come before new ones, late jobs after those in time, and jobs whose
        value has expired last. By deadline, jobs that must start now to be in time, and can be,
        come before all others of their priority. Filling tasks are left out: how many of them can
        run depends on what their images do to serving ones, so their capacity is not known.
        """
        tracked = batch.tracked
        if batch.step.lasting:
            return SortKey(0, 0, self._fair_rank(tracked), 0, tracked.due)
        rank = 2 if now > tracked.expires_at() else 1
        latest_start = tracked.objective_at() - tracked.critical_paths_s[batch.number]
        late = now > latest_start
        fair_rank, priority = self._fair_rank(tracked), tracked.queue.priority
        may_hurry = self._by_deadline and not (late or batch.step.filling)
        if may_hurry and latest_start - now < URGENT_S:
            if tracked.job.id not in self._late:
                return SortKey(rank, priority, fair_rank, 0, latest_start)
        density = self._density(tracked) * (LATE_VALUE if late else 1.0)
        return SortKey(rank, priority, fair_rank, 1, -density)

    def update(self, jobs: Iterable[TrackedJob], members: Iterable[Member], now: float) -> None:
        """Choose the jobs to be late, at most once in REORDER_S.

        Of each service's jobs that don't fill, some are dropped as long as those due by a time need
        more than the capacity until then: the one that costs least for its remaining work first.
        """
        if not self._by_deadline or now < self._update_at:
            return
        self._late = set()
        full: set[str] = set()
        demands: dict[str, list[Demand]] = {}
        for tracked in jobs:
            demand = self._measure(tracked, now)
            if demand is not None:
                demands.setdefault(tracked.queue.service, []).append(demand)
                if _has_no_room(tracked, now):
                    full.add(tracked.queue.service)
        count = sum(map(len, demands.values()))
        self._update_at = now + REORDER_S * max(1.0, count / JOBS_PER_INTERVAL)
        capacities = _measure_capacities(members, full)
        for service, found in demands.items():
            self._late |= choose_late(found, capacities.get(service, 0.0), now)
        if self._late and now >= self._log_at:
            self._log_at = now + LOG_INTERVAL_S
            cores = {name: round(capacities.get(name, 0.0), 1) for name in demands}
            log(
                Event.LATE_JOBS_CHOSEN,
                cell=self._cell,
                jobs=count,
                late=len(self._late),
                work=round(sum(each.work for found in demands.values() for each in found), 1),
                cores=cores,
            )

    def count_late(self) -> int:
        """Return how many open jobs are to be late because not all can be in time."""
        return len(self._late)

    def _measure(self, tracked: TrackedJob, now: float) -> Demand | None:
        """Return what a job needs to be in time; None if it can't be, or has no objective."""
        job = tracked.job
        if tracked.final_at is not None or job.lasting or job.is_timed:
            return None
        if all(step.filling for step in job.steps):
            return None
        due = tracked.objective_at()
        if now > due:
            return None
        return Demand(tracked, due, tracked.work_left(), self._density(tracked))

    def _density(self, tracked: TrackedJob) -> float:
        """Return a job's value for each core-second of its remaining work."""
        value = tracked.value(self._usual_work.get(tracked.job.queue, 0.0))
        return value / max(tracked.work_left(), MIN_WORK)


def choose_late(demands: list[Demand], capacity: float, now: float) -> set[str]:
    """Return the ids of the jobs that can't all be in time with a capacity in cores.

    Jobs of a lower priority are dropped first, then those of least value for their work.
    """
    late: set[str] = set()
    kept: list[tuple[int, float, str, float]] = []
    needed = 0.0
    for demand in sorted(demands, key=lambda each: each.due):
        job, priority = demand.tracked.job.id, demand.tracked.queue.priority
        heapq.heappush(kept, (-priority, demand.density, job, demand.work))
        needed += demand.work
        while kept and needed > capacity * (demand.due - now):
            *_, dropped, work = heapq.heappop(kept)
            late.add(dropped)
            needed -= work
    return late


def _has_no_room(tracked: TrackedJob, now: float) -> bool:
    """Return whether tasks of a job have found no worker for a while."""
    return any(
        batch.waiting
        and not (batch.step.lasting or batch.step.filling)
        and batch.unplaced_since is not None
        and now - batch.unplaced_since > FULL_AFTER_S
        for batch in tracked.batches.values()
    )


def _measure_capacities(members: Iterable[Member], full: set[str]) -> dict[str, float]:
    """Return the cores for finite work by service: a share of those in use where it is full."""
    found: dict[str, float] = {}
    for member in members:
        service = member.host.service
        if service in full:
            cores = FULL_SHARE * member.used.minus(member.lasting).cores
        else:
            cores = member.host.size.minus(member.lasting).cores
        found[service] = found.get(service, 0.0) + max(cores, 0.0)
    return found
