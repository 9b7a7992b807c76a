"""Count the accepted jobs that have not begun, also those that no cell's holder counts yet."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from curranthall.cells.owner import WaitingJobs
from curranthall.cells.records import PARTS, PROGRESS_TABLE, decode_progress_row
from curranthall.cells.succession import Succession
from curranthall.dag import Phase, Progress
from curranthall.errors import AnswerLost, HistoryLost, PlatformDown
from curranthall.events import Event, log
from curranthall.store import Row, Store

# How long a count waits for a read of the feed, and the least time between the starts of two.
READ_TIMEOUT_S = 0.6
READ_INTERVAL_S = 0.5
# The least time between two reads of all rows, if the store no longer keeps the changes.
SCAN_INTERVAL_S = 5.0


class CellCount(NamedTuple):
    """What a cell adds to a count, and the owner row as this entry knows it.

    The `source` of the count is "held" (this entry's own row), "row" or "none". It is complete up
    to the store version `counted_to`; `added` jobs are known from newer rows, `moved` ones are in
    no other cell's count yet. `loaded` is None for a cell that is not held here, `age_ms` for a
    cell whose row was never read.
    """

    shown: int
    moved: int
    added: int
    source: str
    holder: str
    epoch: int
    version: int
    counted_to: int
    age_ms: int | None
    live: bool
    loaded: bool | None

    @property
    def may_miss_jobs(self) -> bool:
        """Return whether jobs of the cell may be missing from the count of its holder."""
        return self.added > 0 or not self.live or self.loaded is False


class _GivenJob(NamedTuple):
    """A job that has not begun, and the version of the row that gave it to its cell."""

    cell: str
    queue: str
    version: int


class PendingJobs:
    """Adds up the counts of all cells, completed by newer rows of the jobs where they are old.

    A count is old if its holder is lost, can't read the store, or has just taken the cell: jobs
    that were given to the cell meanwhile are only in the store. While all counts are recent,
    nothing is read.
    """

    def __init__(self, succession: Succession, store: Store, clock: Callable[[], float]) -> None:
        self._succession = succession
        self._store = store
        self._clock = clock
        self._reading: asyncio.Future[None] | None = None
        self._read_at = self._scanned_at = -float("inf")
        # The versions between which changes were read, and what they show.
        self._from: int | None = None
        self._to = 0
        self._given: dict[str, _GivenJob] = {}

    async def count(self, queue: str) -> int:
        """Count the accepted jobs of a queue that have not begun."""
        if self._old_counts(self._published()):
            await self._await_changes()
        elif self._reading is None or self._reading.done():
            self._from, self._given = None, {}
        counts = self.count_by_cell(queue)
        shown = sum(count.shown + count.moved + count.added for count in counts.values())
        if any(count.may_miss_jobs for count in counts.values()):
            cells = {cell: count._asdict() for cell, count in counts.items()}
            log(Event.PENDING_SHOWN, queue=queue, shown=shown, cells=cells)
        return shown

    def count_by_cell(self, queue: str) -> dict[str, CellCount]:
        """Return the waiting jobs of a queue by cell, as far as they are known."""
        published = self._published()
        known_to = {cell: each.counted_to for cell, each in published.items()}
        for cell in self._old_counts(published):
            if self._from is not None and self._from <= known_to[cell]:
                known_to[cell] = max(known_to[cell], self._to)
        return {
            cell: self._count(
                cell, queue, each, known_to, self._count_given(cell, queue, each, known_to[cell])
            )
            for cell, each in published.items()
        }

    def _count(
        self, cell: str, queue: str, waiting: WaitingJobs, known_to: dict[str, int], added: int
    ) -> CellCount:
        watch, runtime = self._succession.watch, self._succession.held.get(cell)
        seen, now = watch.observations.get(cell), self._clock()
        # A released row keeps its epoch.
        owner = seen.owner if seen is not None else None
        source = "held" if runtime is not None else "row" if owner is not None else "none"
        return CellCount(
            waiting.by_queue.get(queue, 0),
            sum(
                move.jobs
                for move in waiting.moved
                if move.queue == queue and move.version > known_to.get(move.cell, 0)
            ),
            added,
            source,
            owner.holder if owner is not None else "",
            owner.epoch if owner is not None else 0,
            seen.version if seen is not None else 0,
            waiting.counted_to,
            watch.row_age_ms(cell, now),
            watch.live_holder(cell, now) is not None,
            runtime.loaded if runtime is not None else None,
        )

    def _count_given(self, cell: str, queue: str, waiting: WaitingJobs, known_to: int) -> int:
        """Count the jobs that were given to a cell after its count was made."""
        return sum(
            job.cell == cell and job.queue == queue and waiting.counted_to < job.version <= known_to
            for job in self._given.values()
        )

    def _published(self) -> dict[str, WaitingJobs]:
        """Return the cells' counts as of one read of all their rows."""
        watch, held = self._succession.watch, self._succession.held
        found = {cell: watch.waiting(cell) for cell in watch.cells}
        for cell, runtime in held.items():
            if runtime.loaded:
                # Newer, but without jobs that other cells' rows of that read may still count.
                found[cell] = runtime.count_waiting(found[cell].counted_to)
        return found

    def _old_counts(self, published: dict[str, WaitingJobs]) -> dict[str, int]:
        """Return by cell up to which version its count is complete, where that is too old."""
        due = self._succession.watch.due_version(self._clock())
        return {cell: each.counted_to for cell, each in published.items() if each.counted_to < due}

    # Changes in the store

    async def _await_changes(self) -> None:
        """Wait for a read of the changes that all counts share; a long one goes on without them."""
        if self._reading is None or self._reading.done():
            now = self._clock()
            if now - self._read_at < READ_INTERVAL_S or self._store.failing:
                return
            self._read_at = now
            self._reading = asyncio.ensure_future(self._read_changes())
        await asyncio.wait({self._reading}, timeout=READ_TIMEOUT_S)

    async def _read_changes(self) -> None:
        """Read what has changed since the old counts were made."""
        start = min(self._old_counts(self._published()).values(), default=self._to)
        if self._from is None or start < self._from:
            self._from = self._to = start
            self._given = {}
        try:
            await self._follow_feed()
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="waiting", error=exc)
        except Exception as exc:
            # A defect must not end the counting: the next count reads the changes again.
            log(Event.LOOP_FAILED, where="waiting", error=repr(exc))

    async def _follow_feed(self) -> None:
        """Apply the changes up to the version in which the owner rows were last read."""
        try:
            while True:
                page = await self._store.feed(PROGRESS_TABLE, self._to, 0)
                _apply(page.rows, self._given)
                self._to = max(self._to, page.version)
                if not page.rows or self._to >= self._succession.watch.epoch_seen:
                    return
        except HistoryLost:
            log(Event.FEED_RESTARTED, table=PROGRESS_TABLE, after=self._to)
            await self._scan()

    async def _scan(self) -> None:
        """Read all rows in place of changes that the store no longer keeps."""
        now = self._clock()
        if now - self._scanned_at < SCAN_INTERVAL_S:
            return
        self._scanned_at = now
        given: dict[str, _GivenJob] = {}
        versions = []
        for part in PARTS:
            listing = await self._store.scan(PROGRESS_TABLE, part)
            _apply(listing.rows, given)
            versions.append(listing.version)
        self._to, self._given = min(versions), given


def _apply(rows: Iterable[Row], given: dict[str, _GivenJob]) -> None:
    """Note in `given` what rows tell about jobs that have not begun."""
    for row in rows:
        progress = decode_progress_row(row)
        if progress is None or progress.queue is None or _has_begun(progress) or progress.timed:
            given.pop(row.key, None)
        else:
            version = progress.given_version or row.version
            given[row.key] = _GivenJob(progress.cell, progress.queue.name, version)


def _has_begun(progress: Progress) -> bool:
    """Return whether a row tells that a task has started."""
    return progress.phase is not Phase.QUEUED or bool(progress.done or progress.places)
