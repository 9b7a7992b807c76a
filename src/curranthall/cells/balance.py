"""Move waiting tasks to cells with free cores when this cell has none or is evacuated."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from curranthall.cells.crowding import Crowd, count_crowd, spread_out
from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.early_moves import EarlyMove, EarlyMoves
from curranthall.cells.load import MIN_CORES, MOVED_S, ROUNDING, Load
from curranthall.cells.owner import RENEW_S
from curranthall.cells.tracking import Batch
from curranthall.dag import Step
from curranthall.events import Event, log
from curranthall.model import Host, HostState, Size
from curranthall.telemetry import early_moves

# A task is moved after it has found no worker for this long; a closed cell moves tasks at once.
STRANDED_S = 0.4
# At most this share of the room that another cell published is used.
ROOM_SHARE = 0.7
# The most steps of which tasks are moved to wait elsewhere at once: each is a write.
MAX_SPREAD_STEPS = 16
# Interval between log lines about one batch that no cell has room for.
REFUSAL_LOG_INTERVAL_S = 2.0


class WorkerKind(NamedTuple):
    """What several workers of a cell have in common."""

    service: str
    labels: tuple[str, ...]
    size: Size

    def can_run(self, service: str, step: Step) -> bool:
        """Return whether such a worker, if it is empty, can run tasks of a step."""
        has_label = not step.requires or step.requires in self.labels
        return self.service == service and has_label and step.reserved.fits(self.size)

    def slots(self, service: str, step: Step) -> int:
        """Return how many tasks of a step such a worker, if it is empty, can run at once."""
        if not self.can_run(service, step):
            return 0
        sizes = zip(self.size, step.reserved, strict=True)
        fitting = [int(size / each + ROUNDING) for size, each in sizes if each > 0]
        return min([step.max_per_worker or step.width, *fitting])


class CellLoads(NamedTuple):
    """The load that another cell published, by service, and the kinds of its workers."""

    cell: str
    loads: dict[str, Load]
    epoch: int = 0
    # The number of its workers by kind, or None if they are not known.
    kinds: Mapping[WorkerKind, int] | None = None
    # For how long the row has not changed, or None if that is not known.
    row_age_ms: int | None = None

    def can_run(self, service: str, step: Step) -> bool:
        """Return whether the cell, if it is empty, can run a task of a step, or a whole gang."""
        if self.kinds is None:
            return True
        if not step.gang:
            return any(kind.can_run(service, step) for kind in self.kinds)
        slots = (workers * kind.slots(service, step) for kind, workers in self.kinds.items())
        return sum(slots) >= step.width

    def is_uniform(self, service: str, step: Step) -> bool:
        """Return whether all workers of a service have the label that a step requires."""
        if not step.requires or self.kinds is None:
            return True
        return all(step.requires in kind.labels for kind in self.kinds if kind.service == service)


def group_kinds(hosts: Iterable[Host]) -> dict[str, Counter[WorkerKind]]:
    """Count the workers by failure domain and kind."""
    found: dict[str, Counter[WorkerKind]] = {}
    for host in hosts:
        if host.state is HostState.LIVE:
            kind = WorkerKind(host.service, host.labels, host.size)
            found.setdefault(host.domain, Counter())[kind] += 1
    return found


class _Move(NamedTuple):
    at: float
    cell: str
    service: str
    step: Step
    tasks: int
    # No room was seen for them: they wait there.
    waits: bool = False


class _Target:
    """Another cell and the room that recent moves have left of what it published."""

    def __init__(self, published: CellLoads, moves: Iterable[_Move]) -> None:
        self.cell, self.epoch = published.cell, published.epoch
        self._can_run, self.is_uniform = published.can_run, published.is_uniform
        self.row_age_ms = published.row_age_ms
        self.published = published.loads
        self.left = dict(published.loads)
        # What tasks that must start may use: they start before short ones that were moved there.
        self.left_by_lasting = dict(published.loads)
        # Cores of the lasting tasks that were moved there, by service.
        self._sent_lasting: dict[str, float] = {}
        for move in moves:
            self.subtract(move)

    def can_run(self, service: str, step: Step) -> bool:
        """Return whether the cell, if it is empty, can run a task of a step, or a whole gang."""
        return self._can_run(service, step)

    def subtract(self, move: _Move) -> None:
        """Subtract a move if it went to this cell."""
        if move.service not in self.published or move.cell != self.cell:
            return
        if move.step.lasting:
            cores = move.tasks * move.step.size.cores
            self._sent_lasting[move.service] = self._sent_lasting.get(move.service, 0.0) + cores
        if move.waits:
            return
        for loads in (self.left, self.left_by_lasting) if move.step.lasting else (self.left,):
            loads[move.service] = loads[move.service].less(move.step, move.tasks)

    def crowd(self, service: str, step: Step) -> Crowd:
        """Return the lasting tasks of a service that wait here, as they concern a step."""
        sent = self._sent_lasting.get(service, 0.0)
        return count_crowd(self.cell, self.published[service], step, sent)

    def room(self, batch: Batch, must_start: bool) -> float:
        """Return the cores that tasks of a batch may use here, all of them if it must start."""
        service, step = batch.tracked.queue.service, batch.step
        load, cores = self.left.get(service), max(step.size.cores, MIN_CORES)
        if load is None or not self.can_run(service, step):
            return 0.0
        if must_start and step.lasting:
            # They start before all others that wait there, so they may use each whole room.
            load = self.left_by_lasting[service]
        if step.gang and not load.holds_gang(step):
            return 0.0
        if not step.lasting:
            room = load.room(step)
            shared = room - (1 - ROOM_SHARE) * max(0.0, self.published[service].room(step))
            least = cores * (step.width if step.gang else 1)
            return least if must_start and shared < least <= room else shared
        if not must_start:
            return min(load.room(step), load.slots(step) * cores)
        return (load.slots(step) or load.slots_of_last_resort(step)) * cores

    def is_last_resort(self, batch: Batch) -> bool:
        """Return whether a task of a lasting step only fits on quarantined workers."""
        load = self.left_by_lasting.get(batch.tracked.queue.service)
        if load is None or not batch.step.lasting or load.slots(batch.step):
            return False
        return load.slots_of_last_resort(batch.step) > 0


class Balancer:
    """Moves tasks, and subtracts recent moves from the stale loads that other cells published."""

    def __init__(self) -> None:
        self._moves: list[_Move] = []
        self._early = EarlyMoves()
        self._spread_at = -float("inf")
        # By lasting batch that no cell has room for, when that was last logged.
        self._logged_at: dict[Batch, float] = {}

    def move_stranded(self, dispatcher: Dispatcher, others: list[CellLoads], now: float) -> None:
        """Move tasks that found no worker to the cells with the most room for them."""
        for batch, indexes in dispatcher.list_strays(now):
            cell = batch.tracked.progress.owner(batch.key(0))
            dispatcher.move(batch.tracked, batch, indexes, cell, now)
            _log_move(dispatcher, batch, len(indexes), cell, why="stray")
        self._moves = [row for row in self._moves if now - row.at < MOVED_S]
        targets = [_Target(other, self._moves) for other in others]
        dispatcher.other_cell_loads = _by_service(target.published for target in targets)
        dispatcher.other_cell_rooms = _by_service(target.left for target in targets)
        stranded = dispatcher.stranded(0.0 if dispatcher.closed else STRANDED_S, now)
        must_start = {batch for batch in stranded if dispatcher.must_start(batch, now)}
        stranded.sort(key=lambda batch: batch not in must_start)
        if not any(batch.step.lasting for batch in stranded):
            # The last rooms are for lasting tasks first.
            must_start.update(batch for batch in stranded if dispatcher.stands_still(batch, now))
        self._logged_at = {
            batch: self._logged_at[batch] for batch in stranded if batch in self._logged_at
        }
        refused: list[Batch] = []
        for batch in stranded:
            if self._move_batch(dispatcher, batch, targets, batch in must_start, now):
                dispatcher.other_cell_rooms = _by_service(target.left for target in targets)
            elif batch.step.lasting:
                self._log_refusal(batch, targets, batch in must_start, now)
                refused.append(batch)
        self._spread_crowd(dispatcher, refused, targets, now)
        if dispatcher.options.projected_load and not dispatcher.closed and self._early.is_due(now):
            self._move_early(dispatcher, targets, now)

    def _move_early(self, dispatcher: Dispatcher, targets: list[_Target], now: float) -> None:
        """Move whole jobs that have not begun to cells where they would be done earlier."""
        by_cell = {target.cell: target for target in targets}
        waiting = dispatcher.stranded(0.0, now)
        for early in self._early.choose(dispatcher, waiting, targets, now):
            batch, target = early.batch, by_cell[early.cell]
            service, step = batch.tracked.queue.service, batch.step
            move = _Move(now, target.cell, service, step, step.width)
            self._moves.append(move)
            target.subtract(move)
            dispatcher.move(batch.tracked, batch, None, target.cell, now, target.epoch)
            early_moves.count(cell=dispatcher.cell, to=target.cell)
            _log_early_move(dispatcher, early)
        dispatcher.other_cell_rooms = _by_service(target.left for target in targets)

    def _move_batch(
        self,
        dispatcher: Dispatcher,
        batch: Batch,
        targets: list[_Target],
        must_start: bool,
        now: float,
    ) -> bool:
        """Move the tasks of a batch that one other cell has room for; return whether it has any."""
        cores = max(batch.step.size.cores, MIN_CORES)
        sound = [target for target in targets if not target.is_last_resort(batch)]
        target = _roomiest(sound, batch, must_start)
        if target is None or target.room(batch, must_start) < cores:
            target = _roomiest(targets, batch, must_start)
        if target is None:
            return False
        waiting = dispatcher.open_starts.list_movable(batch, now)
        count = min(int(target.room(batch, must_start) / cores + ROUNDING), len(waiting))
        if count < (len(batch.waiting) if batch.step.gang else 1):
            return False
        numbers = waiting[:count]
        move = _Move(now, target.cell, batch.tracked.queue.service, batch.step, count)
        seen = _describe_move(dispatcher, batch, target, must_start, now)
        self._moves.append(move)
        target.subtract(move)
        _move_tasks(dispatcher, batch, numbers, target, now, seen)
        return True

    def _spread_crowd(
        self, dispatcher: Dispatcher, refused: list[Batch], targets: list[_Target], now: float
    ) -> None:
        """Let lasting tasks that no cell has room for wait where the most cores become free.

        Only the holder of a cell sees its room in time, and it keeps it for tasks that wait there.
        """
        crowded = dispatcher.list_crowded(refused, now)
        # Other cells publish no newer loads sooner.
        if not crowded or now - self._spread_at < RENEW_S:
            return
        self._spread_at = now
        loads, left = dispatcher.load(now), dict[str, float]()
        for batch in crowded[:MAX_SPREAD_STEPS]:
            service, step = batch.tracked.queue.service, batch.step
            # The turnover doesn't tell which workers have the label.
            able = [
                each
                for each in targets
                if service in each.published
                and each.can_run(service, step)
                and each.is_uniform(service, step)
            ]
            movable = dispatcher.open_starts.list_movable(batch, now)
            own = count_crowd(dispatcher.cell, loads.get(service, Load()), step)
            own.waiting = left.get(service, own.waiting)
            others, cores = [each.crowd(service, step) for each in able], max(
                step.size.cores, MIN_CORES
            )
            moved = spread_out(own, others, cores, len(movable))
            left[service] = own.waiting
            for target in able:
                count = moved[target.cell]
                numbers, movable = movable[:count], movable[count:]
                if numbers:
                    self._send_to_wait(dispatcher, batch, numbers, target, now)

    def _send_to_wait(
        self, dispatcher: Dispatcher, batch: Batch, numbers: list[int], target: _Target, now: float
    ) -> None:
        seen = _describe_move(dispatcher, batch, target, False, now)
        if not dispatcher.closed:
            seen["why"] = "crowded"
        service, tasks = batch.tracked.queue.service, len(numbers)
        move = _Move(now, target.cell, service, batch.step, tasks, waits=True)
        self._moves.append(move)
        target.subtract(move)
        _move_tasks(dispatcher, batch, numbers, target, now, seen)

    def _log_refusal(
        self, batch: Batch, targets: list[_Target], must_start: bool, now: float
    ) -> None:
        """Log the rooms that a lasting batch was refused by, at most once in a while."""
        if now - self._logged_at.get(batch, -float("inf")) < REFUSAL_LOG_INTERVAL_S:
            return
        self._logged_at[batch] = now
        service, step = batch.tracked.queue.service, batch.step
        none = Load()
        log(
            Event.JOB_NOT_MOVED,
            job=batch.tracked.job.id,
            step=batch.number,
            tasks=len(batch.waiting),
            cores=step.size.cores,
            must_start=must_start,
            slots={each.cell: each.published.get(service, none).slots(step) for each in targets},
            left={
                each.cell: each.left_by_lasting.get(service, none).slots(step) for each in targets
            },
            rooms={each.cell: round(each.room(batch, must_start), 1) for each in targets},
        )


def _by_service(cells: Iterable[dict[str, Load]]) -> dict[str, list[Load]]:
    found: dict[str, list[Load]] = {}
    for loads in cells:
        for service, load in loads.items():
            found.setdefault(service, []).append(load)
    return found


def _roomiest(targets: list[_Target], batch: Batch, must_start: bool) -> _Target | None:
    """Return the cell with the most room for tasks of a batch."""
    return max(targets, key=lambda target: target.room(batch, must_start), default=None)


def _move_tasks(
    dispatcher: Dispatcher,
    batch: Batch,
    numbers: list[int],
    target: _Target,
    now: float,
    seen: dict[str, object],
) -> None:
    tracked = batch.tracked
    # Move the whole job only if no task of it can be running, here or in a cell it was moved to.
    whole = not dispatcher.may_have_started(tracked, now) and len(numbers) == batch.step.width
    dispatcher.move(tracked, batch, None if whole else numbers, target.cell, now, target.epoch)
    _log_move(dispatcher, batch, len(numbers), target.cell, whole, **seen)


def _describe_move(
    dispatcher: Dispatcher, batch: Batch, target: _Target, must_start: bool, now: float
) -> dict[str, object]:
    """Return why a batch moves and the room that was seen, as fields of its log line."""
    service, step, none = batch.tracked.queue.service, batch.step, Load()
    rooms: dict[str, object] = {}
    if step.lasting:
        slots = target.published.get(service, none).slots(step)
        left = target.left_by_lasting.get(service, none).slots(step)
        rooms = {"lasting": True, "slots": slots, "left": left}
    return {
        "why": "closed" if dispatcher.closed else "stranded",
        "cores": step.size.cores,
        "waited_s": round(now - (now if batch.waiting_since is None else batch.waiting_since), 2),
        "must_start": must_start,
        "row_age_ms": target.row_age_ms,
        **rooms,
    }


def _log_early_move(dispatcher: Dispatcher, early: EarlyMove) -> None:
    log(
        Event.JOB_MOVED_EARLY,
        job=early.batch.tracked.job.id,
        to=early.cell,
        cell=dispatcher.cell,
        epoch=dispatcher.epoch,
        version=early.batch.tracked.version,
        finish_s=round(early.here.finish_s, 2),
        finish_there_s=round(early.there.finish_s, 2),
    )


def _log_move(
    dispatcher: Dispatcher,
    batch: Batch,
    tasks: int,
    to: str,
    whole: bool = False,
    **seen: object,
) -> None:
    log(
        Event.JOB_MOVED,
        job=batch.tracked.job.id,
        step=batch.number,
        tasks=tasks,
        whole=whole,
        to=to,
        cell=dispatcher.cell,
        epoch=dispatcher.epoch,
        version=batch.tracked.version,
        **seen,
    )
