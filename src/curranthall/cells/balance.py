"""Hand waiting tasks to cells with room, when this cell has none or is taken out."""

from typing import NamedTuple

from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.load import LEAST_CORES, Load
from curranthall.cells.tracking import Batch, Tracked
from curranthall.events import Event, log

# A task is handed on when it found no worker for this long; a closed cell hands on at once.
STRANDED_S = 0.4
# A cell's figures are up to two renewals old; what was handed to it counts this long.
HANDED_S = 1.8
# Another cell is given at most this part of the room it showed.
ROOM_SHARE = 0.7


class CellLoads(NamedTuple):
    """What another cell showed, by service."""

    cell: str
    loads: dict[str, Load]
    epoch: int = 0


class _Handed(NamedTuple):
    at: float
    cell: str
    cores: float


class Balancer:
    """Remembers what was handed on, so that a cell's stale figures are not used up twice."""

    def __init__(self) -> None:
        self._handed: list[_Handed] = []

    def move_stranded(self, dispatcher: Dispatcher, rooms: list[CellLoads], now: float) -> None:
        """Assign stranded tasks to the cells with the most room for them."""
        self._handed = [row for row in self._handed if now - row.at < HANDED_S]
        dispatcher.elsewhere = _by_service(rooms)
        for batch in dispatcher.stranded(0.0 if dispatcher.closed else STRANDED_S, now):
            self._hand_batch(dispatcher, batch, rooms, now)

    def _left(self, dispatcher: Dispatcher, room: CellLoads, batch: Batch, now: float) -> float:
        load = room.loads.get(batch.tracked.queue.service)
        if load is None:
            return 0.0
        handed = sum(row.cores for row in self._handed if row.cell == room.cell)
        if batch.step.lasting:
            # Lasting tasks go before all others that wait there.
            forced = dispatcher.must_start(batch, now) and load.slots(batch.step)
            return (load.free if forced else load.room(batch.step)) - handed
        return load.room(batch.step) * ROOM_SHARE - handed

    def _hand_batch(
        self, dispatcher: Dispatcher, batch: Batch, rooms: list[CellLoads], now: float
    ) -> None:
        cores = max(batch.step.size.cores, LEAST_CORES)
        room = max(rooms, key=lambda room: self._left(dispatcher, room, batch, now), default=None)
        if room is None:
            return
        waiting = sorted(batch.waiting)
        fitting = min(int(self._left(dispatcher, room, batch, now) / cores), len(waiting))
        if fitting < (len(waiting) if batch.step.gang else 1):
            return
        numbers = waiting[:fitting]
        self._handed.append(_Handed(now, room.cell, cores * fitting))
        _assign(dispatcher, batch.tracked, batch, numbers, room, now)


def _by_service(rooms: list[CellLoads]) -> dict[str, list[Load]]:
    found: dict[str, list[Load]] = {}
    for room in rooms:
        for service, load in room.loads.items():
            found.setdefault(service, []).append(load)
    return found


def _assign(
    dispatcher: Dispatcher,
    tracked: Tracked,
    batch: Batch,
    numbers: list[int],
    room: CellLoads,
    now: float,
) -> None:
    # Other cells may be at work on tasks that were given to them before.
    untouched = not (tracked.active() or tracked.began or tracked.progress.elsewhere)
    whole = untouched and len(numbers) == batch.step.width
    dispatcher.move(tracked, batch, None if whole else numbers, room.cell, now, room.epoch)
    log(
        Event.JOB_MOVED,
        job=tracked.job.id,
        step=batch.number,
        tasks=len(numbers),
        whole=whole,
        to=room.cell,
    )
