"""Rows that keep a job from being stored: refused jobs, and jobs cancelled before they were stored.

A row is needed as long as a creation that was sent before can take effect. Later it is removed by
an entry that writes other rows of its part.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from curranthall.cells import records
from curranthall.cells.records import CANCELLATION_TABLE, REFUSAL_TABLE, part_of
from curranthall.errors import AnswerLost, PlatformDown, RateExceeded
from curranthall.events import Event, log
from curranthall.ratelimit import TokenBucket
from curranthall.store import Check, Committed, Drop, Row, Stale, Store

# Rows stay for at least this long, during which a caller may also send a cancelled job again.
RETENTION_S = 600.0
# Cancels of unknown jobs that an entry records; callers could make up any number of ids.
CANCELS_PER_S = 5
# Rows removed by one transaction: each takes two of its entries.
ROWS_PER_TRANSACTION = 40


class _Sweep(NamedTuple):
    """When a part was swept last, and a version of the store from before."""

    at: float
    version: int


class Tombstones:
    """Writes and removes the rows of one entry."""

    def __init__(self, store: Store, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._cancels = TokenBucket(CANCELS_PER_S, clock)
        self._sweeps: dict[str, _Sweep] = {}
        # By part, the sweep that is under way.
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def refuse(self, job_id: str) -> Committed | Stale:
        """Record a refusal; return Stale if the job is stored."""
        answer = await records.refuse_job(self._store, job_id)
        self._sweep_later(part_of(job_id))
        return answer

    async def cancel(self, job_id: str) -> Committed | Stale:
        """Record a cancel; return Stale if the job is stored. Raise RateExceeded."""
        if not self._cancels.take():
            raise RateExceeded(what="cancels of unknown jobs", per_s=CANCELS_PER_S)
        answer = await records.cancel_unstored(self._store, job_id)
        self._sweep_later(part_of(job_id))
        return answer

    def _sweep_later(self, part: str) -> None:
        last = self._sweeps.get(part)
        is_due = last is None or self._clock() - last.at >= RETENTION_S
        if is_due and part not in self._tasks:
            task = self._tasks[part] = asyncio.ensure_future(self._sweep(part, last))
            task.add_done_callback(lambda _: self._tasks.pop(part, None))

    async def _sweep(self, part: str, last: _Sweep | None) -> None:
        """Remove the rows that were there at the last sweep and haven't changed since."""
        try:
            refused = await self._store.scan(REFUSAL_TABLE, part)
            cancelled = await self._store.scan(CANCELLATION_TABLE, part)
            if last is not None:
                for table, listing in ((REFUSAL_TABLE, refused), (CANCELLATION_TABLE, cancelled)):
                    rows = [row for row in listing.rows if row.version <= last.version]
                    await self._remove(table, part, rows)
        except (PlatformDown, AnswerLost) as exc:
            # The next row of this part that is written starts another sweep.
            log(Event.STORE_FAILED, what="sweep", part=part, error=exc)
        else:
            self._sweeps[part] = _Sweep(self._clock(), refused.version)

    async def _remove(self, table: str, part: str, rows: list[Row]) -> None:
        for at in range(0, len(rows), ROWS_PER_TRANSACTION):
            some = rows[at : at + ROWS_PER_TRANSACTION]
            checks = [Check(table, row.key, row.version) for row in some]
            await self._store.commit(part, checks, [], [Drop(table, row.key) for row in some])
