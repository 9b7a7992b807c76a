"""The summary of a cell's state that its holder logs."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from curranthall.cells.fleet import Member
from curranthall.cells.interference import Interference
from curranthall.cells.load import Load
from curranthall.cells.quota import CustomerState
from curranthall.cells.tracking import Batch
from curranthall.cells.waits import (
    LastingWait,
    WaitContext,
    WaitRow,
    count_lasting,
    find_longest_waits,
    list_held,
    list_lasting_waits,
    summarize,
)
from curranthall.events import Event, log

# The most workers that one summary lists as not proven.
MAX_LISTED_UNPROVEN = 8
# The most customers that one summary lists, those with the most running work.
MAX_LISTED_CUSTOMERS = 8


class CellView(NamedTuple):
    """State of a cell that its summary is made of; `spare_cores` are by service."""

    cell: str
    epoch: int
    members: Mapping[str, Member]
    waiting: list[Batch]
    loads: Mapping[str, Load]
    ctx: WaitContext
    unproven: Collection[str]
    proven: bool
    kept_room_access: Callable[[Batch], str]
    spare_cores: Mapping[str, float]
    interference: Interference
    customers: Iterable[CustomerState]


def log_summary(view: CellView) -> tuple[list[WaitRow], list[LastingWait]]:
    """Log a summary of a cell; return why its tasks wait, and the longest waits of lasting ones."""
    now, waiting, members = view.ctx.now, view.waiting, view.members.values()
    waits = summarize(waiting, view.ctx)
    longest = find_longest_waits(waiting)
    lasting_waits = list_lasting_waits(longest, view.ctx)
    log(
        Event.CELL_STATE,
        cell=view.cell,
        epoch=view.epoch,
        usable=sum(member.is_usable(now) for member in members),
        members=len(members),
        unproven=len(view.unproven),
        unproven_workers=_list_unproven(view),
        proven=view.proven,
        closed=view.ctx.closed,
        runs=sum(len(member.runs) for member in members),
        lasting=count_lasting(waiting, members)._asdict(),
        lasting_waits=[list(row) for row in lasting_waits],
        held_by=[list(row) for row in list_held(longest)],
        kept_room_access=[
            [batch.tracked.job.id, batch.number, view.kept_room_access(batch)]
            for _, batch in longest
        ],
        spare_cores=view.spare_cores,
        interference=view.interference.weights(),
        idle_cores=[round(member.idle_cores, 1) for member in members],
        free_cores=[round(member.room.cores, 1) for member in members],
        lasting_cores=round(sum(member.lasting.cores for member in members), 1),
        waiting_cores=_waiting_cores(waiting),
        filling_room={name: load.filling for name, load in view.loads.items()},
        filling_waits={name: load.waiting.filling for name, load in view.loads.items()},
        free_gb=[round(member.room.memory / 1000, 1) for member in members],
        waiting_tasks=sum(batch.count_waiting() for batch in waiting),
        waits=[list(row) for row in waits],
        waiting_first=[
            [
                batch.tracked.job.id,
                batch.number,
                batch.count_waiting(),
                batch.step.size.cores,
                round(batch.step.size.memory / 1000, 1),
                batch.step.filling,
            ]
            for batch in waiting[:4]
        ],
        customers=[list(each) for each in list(view.customers)[:MAX_LISTED_CUSTOMERS]],
    )
    return waits, lasting_waits


def _waiting_cores(batches: list[Batch]) -> dict[str, float]:
    """Sum the cores that waiting tasks request, by kind of step."""
    found = {"lasting": 0.0, "filling": 0.0, "plain": 0.0}
    for batch in batches:
        step = batch.step
        kind = "lasting" if step.lasting else "filling" if step.filling else "plain"
        found[kind] += batch.count_waiting() * step.size.cores
    return {kind: round(cores, 1) for kind, cores in found.items()}


def _list_unproven(view: CellView) -> list[list[object]]:
    """Return name, listed state and seconds of silence of some workers not proven yet."""
    found = [view.members[name] for name in sorted(view.unproven) if name in view.members]
    return [
        [
            member.name,
            member.listed_state,
            None if member.silent_since is None else round(view.ctx.now - member.silent_since, 2),
        ]
        for member in found[:MAX_LISTED_UNPROVEN]
    ]
