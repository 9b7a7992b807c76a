"""Lasting tasks that wait for room, against the cores that become free in each cell."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from curranthall.cells.load import MIN_CORES, Load


@dataclass(slots=True)
class Crowd:
    """The lasting tasks of a service that wait in a cell.

    `waiting` is their cores, `turnover` the cores that become free there as finite tasks end.
    """

    cell: str
    waiting: float
    turnover: float

    def pressure(self, more: float = 0.0) -> float:
        """Return the waiting cores, with some more, relative to those that become free."""
        return (self.waiting + more) / max(self.turnover, MIN_CORES)


def count_crowd(cell: str, load: Load, moved: float = 0.0) -> Crowd:
    """Return the waiting tasks that a load tells, and those moved there since."""
    return Crowd(cell, load.waiting.lasting + moved, load.turnover)


def spread_out(own: Crowd, others: Iterable[Crowd], cores: float, tasks: int) -> Counter[str]:
    """Move waiting tasks of the given cores to less crowded cells; return how many by cell."""
    others, moved = list(others), Counter[str]()
    while others and moved.total() < tasks:
        target = min(others, key=lambda crowd: crowd.pressure(cores))
        if target.pressure(cores) >= own.pressure():
            break
        own.waiting -= cores
        target.waiting += cores
        moved[target.cell] += 1
    return moved
