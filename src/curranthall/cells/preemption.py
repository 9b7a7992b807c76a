"""Stops of checkpointing runs of lower priority for urgent tasks that find no worker.

Designed for a cell with too little room for a few seconds: a burst of one queue, or a lost failure
domain. The room that a stopped run leaves is held for the task until it starts. Does no I/O.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from curranthall.cells.fleet import Member, Run, RunState
from curranthall.cells.placement import PlacementRequest, fits
from curranthall.cells.tracking import Batch
from curranthall.events import Event, log
from curranthall.model import ZERO_SIZE, Size
from curranthall.telemetry import preempted_runs

# A task is urgent once it has found no worker for this share of the time that its job has: less
# would stop runs for waits that end by themselves, more would use up the slack.
WAIT_SHARE = 0.1
# Expected time until a stopped run's end is listed; the platform allows 0.9 s. Room that becomes
# free by itself within it is waited for.
STOP_S = 0.45
# Work that a stopped run loses besides that since its checkpoint: a restore takes up to this.
RESTORE_S = 0.6
# A run is stopped only this long after its start, so that it gets to its next checkpoint.
MIN_RUN_S = 1.0
# At most this share of the cell's cores is stopped within the window.
MAX_STOPPED_SHARE = 0.05
WINDOW_S = 4.0
# Room is held for a task no longer than this; a stop without an answer is repeated meanwhile.
HOLD_S = 3.0
# Interval between searches for runs to stop. Each looks at all runs of the cell for every urgent
# batch, which takes 4 ms with 58 workers of 9 runs.
SEARCH_INTERVAL_S = 0.2
# The most batches that one search looks at.
MAX_SEARCHED = 2
# Tells whether a run may be stopped beside others that are chosen already.
MayStop = Callable[[Run, Sequence[Run]], bool]


class Urgent(NamedTuple):
    """A batch for which runs may be stopped, and how many tasks take room of its kind before it."""

    batch: Batch
    ahead: int


class Reservation(NamedTuple):
    """Room on a worker that is held for one task of a batch, from when runs were stopped there."""

    batch: Batch
    member: Member
    runs: tuple[Run, ...]
    until: float


class Preemption:
    """Reservations of a cell, and the cores that were recently stopped."""

    def __init__(self) -> None:
        # With the size that is held at present.
        self._held: list[tuple[Reservation, Size]] = []
        self._stopped: deque[tuple[float, float]] = deque()
        self._searched_at = float("-inf")

    def find_urgent(self, ready: Iterable[Batch], now: float) -> list[Urgent]:
        """Return the first urgent batches of an order that have tasks without a reservation.

        Returns none until SEARCH_INTERVAL_S after some were found.
        """
        found: list[Urgent] = []
        if now - self._searched_at < SEARCH_INTERVAL_S:
            return found
        held, ahead = Counter(each.batch for each, _ in self._held), Counter[str]()
        for batch in ready:
            count, service = len(batch.waiting) - held[batch], batch.tracked.queue.service
            # Those that are late even with a stop would use up the search: some come first.
            if count > 0 and is_urgent(batch, now) and is_in_time(batch, now):
                self._searched_at = now
                found.append(Urgent(batch, ahead[service]))
                if len(found) == MAX_SEARCHED:
                    break
            if not batch.step.filling:
                ahead[service] += max(count, 0)
        return found

    def choose(
        self,
        urgent: Urgent,
        req: PlacementRequest,
        members: Sequence[Member],
        may_stop: MayStop,
        now: float,
    ) -> list[Run]:
        """Return the runs to stop for one task of a batch, and hold their worker's room for it.

        Returns no runs if the task gains nothing.
        """
        batch, ahead = urgent
        if not gains(batch, predict_wait(req, members, ahead, now), now):
            return []
        while self._stopped and now - self._stopped[0][0] >= WINDOW_S:
            self._stopped.popleft()
        allowed = MAX_STOPPED_SHARE * sum(member.host.size.cores for member in members)
        budget = allowed - sum(cores for _, cores in self._stopped)
        runs = choose_victims(req, members, may_stop, budget, now)
        if runs:
            self._stopped.append((now, sum(run.step.size.cores for run in runs)))
            member = next(each for each in members if each.name == runs[0].worker)
            self._hold(Reservation(batch, member, tuple(runs), now + HOLD_S))
        return runs

    def take_ready(self, members: Mapping[str, Member], now: float) -> list[Reservation]:
        """Release the room of reservations whose runs are over, and return them.

        Those beyond a batch's waiting tasks, whose worker is gone, or that took too long, are
        dropped.
        """
        held, self._held, ready = self._held, [], list[Reservation]()
        counts = Counter[Batch]()
        for reservation, size in held:
            batch, member, runs, until = reservation
            member.used = member.used.minus(size)
            # The record of a worker that is gone keeps its runs.
            is_gone = members.get(member.name) is not member
            if counts[batch] == len(batch.waiting) or is_gone or now >= until:
                continue
            counts[batch] += 1
            if any((run.task, run.number) in member.runs for run in runs):
                self._hold(reservation)
            else:
                ready.append(reservation)
        return ready

    def _hold(self, reservation: Reservation) -> None:
        """Hold the room that the task needs besides that which its stopped runs still take."""
        member, size = reservation.member, reservation.batch.step.reserved
        for run in reservation.runs:
            if (run.task, run.number) in member.runs:
                size = _positive(size.minus(run.step.reserved))
        member.used = member.used.plus(size)
        self._held.append((reservation, size))


def is_urgent(batch: Batch, now: float) -> bool:
    """Return whether a task may cause stops: of priority 0, finite, and waiting for long."""
    tracked, step, since = batch.tracked, batch.step, batch.unplaced_since
    if tracked.queue.priority > 0 or step.lasting or step.filling or step.gang or since is None:
        return False
    return now - since >= WAIT_SHARE * (tracked.objective_at() - tracked.due)


def gains(batch: Batch, wait_s: float, now: float) -> bool:
    """Return whether a job is in time if a task starts after a stop, and not after a wait.

    In plays, stops for jobs that were late anyway cost more than those jobs earned.
    """
    left_s, due = batch.tracked.critical_paths_s[batch.number], batch.tracked.objective_at()
    return is_in_time(batch, now) and due < now + wait_s + left_s


def is_in_time(batch: Batch, now: float) -> bool:
    """Return whether a job is in time if a task starts after a stop."""
    tracked = batch.tracked
    return now + STOP_S + tracked.critical_paths_s[batch.number] <= tracked.objective_at()


def predict_wait(req: PlacementRequest, members: Iterable[Member], ahead: int, now: float) -> float:
    """Predict the seconds until a task finds room without any stop, after `ahead` other tasks."""
    anywhere = _without_size(req)
    waits = sorted(_predict_room(req, member, now) for member in members if fits(anywhere, member))
    return waits[ahead] if ahead < len(waits) else float("inf")


def choose_victims(
    req: PlacementRequest,
    members: Iterable[Member],
    may_stop: MayStop,
    budget: float,
    now: float,
) -> list[Run]:
    """Return runs of one worker whose stop makes room for a task and discards the least work.

    Returns none if no worker has such runs, or all of them request more cores than `budget`.
    """
    anywhere, best, least = _without_size(req), list[Run](), float("inf")
    for member in members:
        if not fits(anywhere, member):
            continue
        chosen = _choose_on(req.step.reserved, member, may_stop, now)
        loss = sum(lost_work(run, now) for run in chosen)
        if chosen and loss < least and sum(run.step.size.cores for run in chosen) <= budget:
            best, least = chosen, loss
    return best


def lost_work(run: Run, now: float) -> float:
    """Return the core-seconds that a stop of a run discards."""
    return run.step.size.cores * (now - max(run.checkpointed_at, run.sent_at) + RESTORE_S)


def is_eligible(run: Run, now: float) -> bool:
    """Return whether a run may be stopped by what it is; its job's priority is not looked at."""
    step = run.step
    return (
        step.checkpointing
        and not (step.lasting or step.gang)
        and run.state is RunState.RUNNING
        and now - run.sent_at >= MIN_RUN_S
    )


def log_preempted(run: Run, batch: Batch, cell: str, epoch: int, now: float) -> None:
    """Log and count that a run is stopped for a task of a batch."""
    tracked = batch.tracked
    preempted_runs.count(queue=tracked.queue.name)
    log(
        Event.RUN_PREEMPTED,
        task=run.task,
        run=run.number,
        worker=run.worker,
        for_job=tracked.job.id,
        for_step=batch.number,
        waited_ms=int((now - (batch.unplaced_since or now)) * 1000),
        lost_work=round(lost_work(run, now), 1),
        cell=cell,
        epoch=epoch,
    )


def _choose_on(need: Size, member: Member, may_stop: MayStop, now: float) -> list[Run]:
    """Return runs of a worker that leave room for a size, those that lose least first."""
    room, chosen = member.room, list[Run]()
    eligible = [run for run in member.runs.values() if is_eligible(run, now)]
    for run in sorted(eligible, key=lambda run: lost_work(run, now)):
        if need.fits(room):
            break
        if may_stop(run, chosen):
            room = room.plus(run.step.reserved)
            chosen.append(run)
    if not chosen or not need.fits(room):
        return []
    # A larger run chosen last may make the smaller ones before it needless.
    for run in sorted(chosen, key=lambda run: -lost_work(run, now)):
        less = room.minus(run.step.reserved)
        if need.fits(less):
            room = less
            chosen.remove(run)
    return chosen


def _predict_room(req: PlacementRequest, member: Member, now: float) -> float:
    """Predict the seconds until finite runs of a worker have ended that leave room for a task."""
    need, room, wait_s = req.step.reserved, member.room, 0.0
    if need.fits(room):
        return wait_s
    finite = [run for run in member.runs.values() if not run.step.lasting]
    for left_s, _, run in sorted((_left_s(run, now), id(run), run) for run in finite):
        room, wait_s = room.plus(run.step.reserved), left_s
        if need.fits(room):
            return wait_s
    return float("inf")


def _left_s(run: Run, now: float) -> float:
    """Estimate the seconds until a run ends."""
    if run.state is RunState.STOPPING:
        return max(0.0, run.stop_sent_at + STOP_S - now)
    estimate_s = run.step.estimate_ms / 1000
    left_s = estimate_s * (1 - run.percent / 100) if run.percent else estimate_s
    return max(0.0, left_s if run.percent else left_s - (now - run.sent_at))


def _without_size(req: PlacementRequest) -> PlacementRequest:
    """Return a request that fits wherever only room is missing."""
    return req._replace(step=req.step._replace(size=ZERO_SIZE))


def _positive(size: Size) -> Size:
    return Size(max(0.0, size.cores), max(0.0, size.memory), max(0, size.accelerators))
