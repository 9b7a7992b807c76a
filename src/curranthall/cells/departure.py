"""Selection of the lasting runs to stop on departing workers, so that their tasks move in time."""

from collections.abc import Iterable

from curranthall.cells.fleet import Member, Run, RunState
from curranthall.cells.load import MIN_CORES, Load
from curranthall.cells.tracking import Batch
from curranthall.dag import Step
from curranthall.model import HostState

# Lasting tasks leave a worker that may exit this soon. It is time enough for a successor to take
# the cell over, and for the task to be stopped and to start in another cell.
MOVE_AHEAD_S = 4.0
# On a worker that may exit this soon, tasks move regardless of their step's `max_unavailable`.
UNLIMITED_AHEAD_S = 3.0


class Departures:
    """Workers that have announced their shutdown and have yet to exit."""

    def __init__(self) -> None:
        # By worker, when it may exit at the earliest.
        self._exits_at: dict[str, float] = {}

    def find_due(self, members: Iterable[Member], now: float) -> list[Run]:
        """Track departing workers; return the runs to move off those that answer, by exit time."""
        departing = [member for member in members if member.host.state is HostState.LEAVING]
        if not departing and not self._exits_at:
            return []
        # A listing is processed again and again while it ages: only its first estimate is right.
        self._exits_at = {
            member.name: min(
                self._exits_at.get(member.name, float("inf")),
                now + member.host.remaining_ms / 1000,
            )
            for member in departing
        }
        departing.sort(key=lambda member: self._exits_at[member.name])
        return departing_runs(
            member
            for member in departing
            if member.silent_since is None and self._exits_at[member.name] - now <= MOVE_AHEAD_S
        )

    def may_stop(self, run: Run, batch: Batch, now: float) -> bool:
        """Return whether the step can spare one more task, or its worker may exit soon."""
        if self._exits_at.get(run.worker, now) - now <= UNLIMITED_AHEAD_S:
            return True
        return batch.count_unavailable() < max(1, batch.step.max_unavailable)


def departing_runs(members: Iterable[Member]) -> list[Run]:
    """Return the lasting runs that need a place elsewhere as their workers depart.

    Gangs are left out: a stop of one run ends those on sound workers, too.
    """
    return [
        run
        for member in members
        if member.host.state is HostState.LEAVING
        for run in member.runs.values()
        if run.step.lasting and not run.step.gang and run.state is RunState.RUNNING
    ]


def has_room_elsewhere(
    step: Step, loads: Iterable[Load], members: Iterable[Member], waiting: Iterable[Batch]
) -> bool:
    """Return whether another cell has room for a task, besides those that already need it.

    `loads` are those of its service in the other cells, `waiting` the service's lasting batches.
    """
    cores = max(step.size.cores, MIN_CORES)
    slots = sum(min(load.slots(step), max(0, int(load.room(step) / cores))) for load in loads)
    if not slots:
        return False
    needed = sum(batch.count_waiting() * batch.step.size.cores for batch in waiting)
    needed += sum(
        run.step.size.cores
        for member in members
        for run in member.runs.values()
        if run.state is RunState.STOPPING and run.step.lasting and not run.moving_to
    )
    return slots * cores >= needed + cores
