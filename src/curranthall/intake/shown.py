"""How an entry's count of waiting jobs comes about, by cell."""

from typing import NamedTuple

from curranthall.cells.succession import Succession
from curranthall.events import Event, log


class ShownCount(NamedTuple):
    """What a cell adds to a count, and the owner row as this entry knows it.

    The `source` of the count is "held" (this entry's own), "row" or "none". `loaded` is None for a
    cell that is not held here, `age_ms` for a cell whose row was never read. A row doesn't count
    jobs that were stored at a later version than its own.
    """

    shown: int
    source: str
    holder: str
    epoch: int
    version: int
    age_ms: int | None
    live: bool
    loaded: bool | None

    @property
    def is_doubtful(self) -> bool:
        """Return whether jobs of the cell may be missing from the count."""
        return not self.live or self.loaded is False


def count_by_cell(succession: Succession, queue: str, now: float) -> dict[str, ShownCount]:
    """Return the waiting jobs of a queue by cell."""
    return {cell: _count(succession, cell, queue, now) for cell in succession.watch.cells}


def log_doubtful(queue: str, counts: dict[str, ShownCount]) -> None:
    """Log a count that is shown, if jobs of a cell may be missing from it."""
    if any(count.is_doubtful for count in counts.values()):
        shown = sum(count.shown for count in counts.values())
        cells = {cell: count._asdict() for cell, count in counts.items()}
        log(Event.PENDING_SHOWN, queue=queue, shown=shown, cells=cells)


def _count(succession: Succession, cell: str, queue: str, now: float) -> ShownCount:
    watch, runtime = succession.watch, succession.held.get(cell)
    seen = watch.observations.get(cell)
    # A released row keeps its epoch.
    owner = seen.owner if seen is not None else None
    if runtime is not None:
        source, waiting = "held", runtime.waiting_jobs()
    else:
        source, waiting = "row" if owner is not None else "none", watch.waiting(cell)
    return ShownCount(
        waiting.get(queue, 0),
        source,
        owner.holder if owner is not None else "",
        owner.epoch if owner is not None else 0,
        seen.version if seen is not None else 0,
        watch.row_age_ms(cell, now),
        watch.live_holder(cell, now) is not None,
        runtime.loaded if runtime is not None else None,
    )
