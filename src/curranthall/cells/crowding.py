"""Lasting tasks that wait for room, against the cores that become free in each cell."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from curranthall.cells.load import MIN_CORES, Load
from curranthall.dag import Step


@dataclass(slots=True)
class Crowd:
    """The lasting tasks of a service that wait in a cell, as they concern tasks of one step.

    `waiting` is their cores, `turnover` the cores that become free there in pieces for the step.
    """

    cell: str
    waiting: float
    turnover: float

    def pressure(self, more: float = 0.0) -> float:
        """Return the waiting cores, with some more, relative to those that become free."""
        return (self.waiting + more) / max(self.turnover, MIN_CORES)


def count_crowd(cell: str, load: Load, step: Step, moved: float = 0.0) -> Crowd:
    """Return the waiting tasks that a load tells, and those moved there since."""
    return Crowd(cell, load.waiting.lasting + moved, load.turnover_for(step))


def spread_out(own: Crowd, others: Iterable[Crowd], cores: float, tasks: int) -> Counter[str]:
    """Move waiting tasks of the given cores to less crowded cells; return how many by cell."""
    others, moved = [crowd for crowd in others if crowd.turnover > 0], Counter[str]()
    while others and moved.total() < tasks:
        target = min(others, key=lambda crowd: crowd.pressure(cores))
        if target.pressure(cores) >= own.pressure():
            break
        own.waiting -= cores
        target.waiting += cores
        moved[target.cell] += 1
    return moved
