"""Predicted finish of jobs in a cell, from the backlog that the cell publishes.

Designed for demand of a failure domain that varies by 0.55 around its mean within 13 s. Pure: the
caller passes the loads and what it has sent since they were published.
"""

from collections.abc import Iterable
from math import ceil, inf, isfinite
from typing import NamedTuple, Protocol

from curranthall.cells.load import LAST_RANK, MIN_CORES, Load, rank_work, widest_step
from curranthall.cells.tracking import LATE_FACTOR, LATE_VALUE, relative_value
from curranthall.dag import Job, Queue, Step

# Predictions that differ by less than this, or by less than this share, count as equal: published
# loads are up to 1.6 s old, and callers' estimates are off by half and more.
EQUAL_S = 0.1
EQUAL_SHARE = 0.1
# A refused job may come back up to this share of its delay later, so that refused callers do not
# all retry at once.
SPREAD_SHARE = 0.5
# Weight of a new job in the moving average of its queue's work, as at the holders.
USUAL_WORK_GAIN = 0.05
MIN_RETRY_AFTER_S = 1


class Estimates(Protocol):
    """Source of expected run times."""

    def expected_s(self, queue: str, step: Step) -> float:
        """Return the expected seconds of one task, 0 if unknown."""


class CallerEstimates:
    """Run times as callers estimate them."""

    def expected_s(self, queue: str, step: Step) -> float:
        """Return the caller's estimate in seconds, 0 if there is none."""
        return step.estimate_ms / 1000


CALLER_ESTIMATES = CallerEstimates()


class Sent(NamedTuple):
    """Cores and core-seconds sent to a cell that its published load may not include."""

    cores: float = 0.0
    work: float = 0.0

    def plus(self, cores: float, work: float) -> "Sent":
        """Return a copy with the given cores and core-seconds added."""
        return Sent(self.cores + cores, self.work + work)


NOTHING_SENT = Sent()


class Prediction(NamedTuple):
    """Predicted seconds until a job starts, and from then on until it is done."""

    start_s: float
    run_s: float

    @property
    def finish_s(self) -> float:
        """Return the predicted seconds until the job is done, infinite if no worker fits."""
        return self.start_s + self.run_s


NEVER = Prediction(inf, 0.0)


class Place(NamedTuple):
    """Where a new job goes in the order of a cell's waiting jobs: its priority, and rank in it.

    If it cannot be done within `late_after_s`, it goes back to `late_rank` meanwhile.
    """

    priority: int
    rank: int
    late_rank: int = LAST_RANK
    late_after_s: float = inf
    # The share of the work of the same rank that goes before it, on average.
    share: float = 0.5


class Remaining(NamedTuple):
    """What a job still needs: core-seconds, and its longest chain in seconds."""

    step: Step
    work: float
    chain_s: float


def is_predictable(job: Job) -> bool:
    """Return whether a job has a finish that can be predicted: all steps have estimates.

    Filling tasks have none: interference and the load of serving tasks, not the work ahead, decide
    when they start and how fast they run.
    """
    is_known = all(step.estimate_ms > 0 and not step.filling for step in job.steps)
    return is_known and not job.is_timed and not job.lasting


def measure_job(job: Job, estimates: Estimates = CALLER_ESTIMATES) -> Remaining:
    """Return what a job needs that has not begun."""
    seconds = [estimates.expected_s(job.queue, step) for step in job.steps]
    work = sum(
        step.width * step.size.cores * each_s
        for step, each_s in zip(job.steps, seconds, strict=True)
    )
    chains_s = list(seconds)
    for number in reversed(range(len(job.steps))):
        for before in job.steps[number].after:
            chains_s[before] = max(chains_s[before], seconds[before] + chains_s[number])
    return Remaining(widest_step(job), work, max(chains_s))


class UsualWork:
    """Core-seconds of a usual job by queue, from the jobs that one entry got."""

    def __init__(self) -> None:
        self._work: dict[str, float] = {}

    def place(self, job: Job, queue: Queue) -> Place:
        """Return where a new job goes among waiting ones; unknown queues have usual jobs only."""
        work = job.work()
        value = relative_value(work, self._work.get(job.queue, 0.0))
        late_rank = rank_work(work, value * LATE_VALUE)
        return Place(queue.priority, rank_work(work, value), late_rank, objective_s(job, queue))

    def observe(self, job: Job) -> None:
        """Take a job into its queue's moving average."""
        work = job.work()
        usual = self._work.setdefault(job.queue, work)
        self._work[job.queue] = usual + USUAL_WORK_GAIN * (work - usual)


def predict(
    load: Load | None,
    needed: Remaining,
    place: Place,
    sent: Sent = NOTHING_SENT,
    can_run: bool = True,
) -> Prediction | None:
    """Predict start and finish of a job that is sent to a cell now; None if nothing is known.

    Tasks that find room start at once; the others wait for the work ahead of them.
    """
    if not can_run:
        return NEVER
    if load is None or load.backlog is None:
        return None
    step, cores = needed.step, load.backlog.cores_for(needed.step)
    if cores < max(step.size.cores, MIN_CORES):
        return NEVER
    wanted = max(step.width * step.size.cores, MIN_CORES)
    room = load.room(step) - sent.cores
    missing_share = min(1.0, max(0.0, wanted - room) / wanted)
    if step.gang and missing_share:
        # All members start at once.
        missing_share = 1.0
    run_s = max(needed.chain_s, needed.work / cores)
    for rank in (place.rank, place.late_rank):
        ahead = load.backlog.ahead(step, place.priority, rank, place.share) + sent.work
        found = Prediction(missing_share * ahead / cores, run_s)
        if found.finish_s <= place.late_after_s:
            break
    return found


def finish_s(
    load: Load | None,
    job: Job,
    place: Place,
    estimates: Estimates = CALLER_ESTIMATES,
    sent: Sent = NOTHING_SENT,
    can_run: bool = True,
) -> float | None:
    """Predict the seconds until a job sent to a cell now is done; None if nothing is known."""
    if not is_predictable(job):
        return None
    found = predict(load, measure_job(job, estimates), place, sent, can_run)
    return None if found is None else found.finish_s


def predict_waiting(load: Load | None, needed: Remaining, ahead: float) -> Prediction | None:
    """Predict start and finish of a job that waits in a cell; None if nothing is known.

    `ahead` is the core-seconds of the work that goes before it there.
    """
    if load is None or load.backlog is None:
        return None
    cores = load.backlog.cores_for(needed.step)
    if cores < max(needed.step.size.cores, MIN_CORES):
        return NEVER
    return Prediction(max(0.0, ahead) / cores, max(needed.chain_s, needed.work / cores))


def latest_equal_s(finishes: Iterable[float]) -> float:
    """Return the latest finish that counts as equal to the earliest one, -inf if there is none."""
    earliest = min(finishes, default=inf)
    if not isfinite(earliest):
        return -inf
    return earliest + max(EQUAL_S, EQUAL_SHARE * earliest)


def objective_s(job: Job, queue: Queue) -> float:
    """Return the seconds within which a job should be done, by the caller's estimates."""
    return (queue.stretch * job.critical_path_ms() + queue.objective_ms) / 1000


def refusal_delay_s(predictions: Iterable[Prediction | None], objective: float) -> float | None:
    """Return after how many seconds a job would be in time, None unless it is to be refused.

    It is refused if it would be worth nothing in every cell. Where no worker fits, no delay can be
    told: such a job is refused only because of the other cells, and not if there are none.
    """
    known = list(predictions)
    if objective <= 0 or any(each is None for each in known):
        return None
    finite = [each for each in known if each is not None and isfinite(each.finish_s)]
    if not finite or min(each.finish_s for each in finite) <= LATE_FACTOR * objective:
        return None
    # A job whose run alone exceeds its objective is not made earlier by a longer delay.
    return min(min(each.finish_s - objective, each.start_s) for each in finite)


def retry_after_s(delay_s: float, draw: float) -> int:
    """Return whole seconds after which to retry; `draw` from 0 to 1 spreads the callers."""
    return max(MIN_RETRY_AFTER_S, ceil(delay_s * (1 + SPREAD_SHARE * draw)))
