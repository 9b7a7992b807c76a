"""Move waiting tasks to cells with free cores when this cell has none or is evacuated."""

from typing import NamedTuple

from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.load import MIN_CORES, Load
from curranthall.cells.tracking import Batch, TrackedJob
from curranthall.events import Event, log

# A task is moved after it has found no worker for this long; a closed cell moves tasks at once.
STRANDED_S = 0.4
# Published loads are up to two renewals old, so moved cores are subtracted for this long.
MOVED_S = 1.8
# At most this share of the room that another cell published is used.
ROOM_SHARE = 0.7
# Interval between log lines about one batch that no cell has room for.
REFUSAL_LOG_INTERVAL_S = 2.0


class CellLoads(NamedTuple):
    """The load that another cell published, by service."""

    cell: str
    loads: dict[str, Load]
    epoch: int = 0


class _Move(NamedTuple):
    at: float
    cell: str
    cores: float


class Balancer:
    """Moves tasks, and subtracts recent moves from the stale loads that other cells published."""

    def __init__(self) -> None:
        self._moves: list[_Move] = []
        # By lasting batch that no cell has room for, when that was last logged.
        self._logged_at: dict[Batch, float] = {}

    def move_stranded(self, dispatcher: Dispatcher, others: list[CellLoads], now: float) -> None:
        """Move tasks that found no worker to the cells with the most room for them."""
        self._moves = [row for row in self._moves if now - row.at < MOVED_S]
        dispatcher.other_cell_loads = self._loads_by_service(others)
        stranded = dispatcher.stranded(0.0 if dispatcher.closed else STRANDED_S, now)
        self._logged_at = {
            batch: self._logged_at[batch] for batch in stranded if batch in self._logged_at
        }
        for batch in stranded:
            if not self._move_batch(dispatcher, batch, others, now) and batch.step.lasting:
                self._log_refusal(dispatcher, batch, others, now)
            dispatcher.other_cell_loads = self._loads_by_service(others)

    def _moved_to(self, cell: str) -> float:
        return sum(row.cores for row in self._moves if row.cell == cell)

    def _loads_by_service(self, others: list[CellLoads]) -> dict[str, list[Load]]:
        """Return the published loads, less the room for lasting tasks that moves may take."""
        found: dict[str, list[Load]] = {}
        for target in others:
            moved = self._moved_to(target.cell)
            for service, load in target.loads.items():
                left = load._replace(lasting=load.lasting - moved)
                found.setdefault(service, []).append(left)
        return found

    def _room(self, dispatcher: Dispatcher, target: CellLoads, batch: Batch, now: float) -> float:
        load = target.loads.get(batch.tracked.queue.service)
        if load is None:
            return 0.0
        moved = self._moved_to(target.cell)
        if batch.step.lasting:
            must_start = dispatcher.must_start(batch, now)
            if must_start and _is_last_resort(target, batch):
                return sum(load.quarantined) - moved
            if must_start and (slots := load.slots(batch.step)):
                # They start before all others that wait there, so they may use each whole room.
                return slots * max(batch.step.size.cores, MIN_CORES) - moved
            return load.room(batch.step) - moved
        return load.room(batch.step) * ROOM_SHARE - moved

    def _move_batch(
        self, dispatcher: Dispatcher, batch: Batch, others: list[CellLoads], now: float
    ) -> bool:
        """Move the tasks of a batch that one other cell has room for; return whether it has any."""
        cores = max(batch.step.size.cores, MIN_CORES)
        sound = [other for other in others if not _is_last_resort(other, batch)]
        target = self._roomiest(dispatcher, batch, sound, now)
        if target is None or self._room(dispatcher, target, batch, now) < cores:
            target = self._roomiest(dispatcher, batch, others, now)
        if target is None:
            return False
        waiting = sorted(batch.waiting)
        count = min(int(self._room(dispatcher, target, batch, now) / cores), len(waiting))
        if count < (len(waiting) if batch.step.gang else 1):
            return False
        numbers = waiting[:count]
        self._moves.append(_Move(now, target.cell, cores * count))
        _move_tasks(dispatcher, batch.tracked, batch, numbers, target, now)
        return True

    def _log_refusal(
        self, dispatcher: Dispatcher, batch: Batch, others: list[CellLoads], now: float
    ) -> None:
        """Log the rooms that a lasting batch was refused by, at most once in a while."""
        if now - self._logged_at.get(batch, -float("inf")) < REFUSAL_LOG_INTERVAL_S:
            return
        self._logged_at[batch] = now
        service = batch.tracked.queue.service
        loads = {other.cell: other.loads.get(service, Load()) for other in others}
        log(
            Event.JOB_NOT_MOVED,
            job=batch.tracked.job.id,
            step=batch.number,
            tasks=len(batch.waiting),
            cores=batch.step.size.cores,
            must_start=dispatcher.must_start(batch, now),
            slots={cell: load.slots(batch.step) for cell, load in loads.items()},
            moved={cell: round(self._moved_to(cell), 1) for cell in loads},
            rooms={
                other.cell: round(self._room(dispatcher, other, batch, now), 1) for other in others
            },
        )

    def _roomiest(
        self, dispatcher: Dispatcher, batch: Batch, targets: list[CellLoads], now: float
    ) -> CellLoads | None:
        rooms = [self._room(dispatcher, target, batch, now) for target in targets]
        return targets[rooms.index(max(rooms))] if rooms else None


def _is_last_resort(target: CellLoads, batch: Batch) -> bool:
    """Return whether a task of a lasting step only fits on quarantined workers of a cell."""
    load = target.loads.get(batch.tracked.queue.service)
    if load is None or not batch.step.lasting or load.slots(batch.step):
        return False
    return load.slots_of_last_resort(batch.step) > 0


def _move_tasks(
    dispatcher: Dispatcher,
    tracked: TrackedJob,
    batch: Batch,
    numbers: list[int],
    target: CellLoads,
    now: float,
) -> None:
    # Move the whole job only if no task of it can be running, here or in a cell it was moved to.
    whole = not dispatcher.may_have_started(tracked) and len(numbers) == batch.step.width
    dispatcher.move(tracked, batch, None if whole else numbers, target.cell, now, target.epoch)
    log(
        Event.JOB_MOVED,
        job=tracked.job.id,
        step=batch.number,
        tasks=len(numbers),
        whole=whole,
        to=target.cell,
    )
