"""Blocks given back: to the queue, or to the failure domain on shutdown."""

from typing import NamedTuple

from curranthall.block import (
    copy_of,
    queue_key,
    split,
    startable,
)
from curranthall.events import Event, log
from curranthall.ledger import Ledger
from curranthall.model import (
    BlockRow,
    Row,
    Task,
)

IDLE_BLOCK_S = 10.0
SHED_S = 2.0


class Leaving(NamedTuple):
    """A release on its way: tasks from `middle` on don't start while the row has this version."""

    version: int
    middle: int


class Releases:
    """Give blocks back, and start nothing of what is on its way out."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._leaving: dict[str, Leaving] = {}
        self._busy_at: dict[str, float] = {}
        self._shed_at: dict[str, tuple[int, float]] = {}

    async def release_blocks(self) -> None:
        for key in [key for key, _ in self._ledger.held_blocks()]:
            row = self._ledger.block(key)
            if row is None or not self._ledger.is_mine(row):
                continue
            if key not in self._ledger.trusted or self._ledger.ends_in(key, row):
                continue
            if self._ledger.placed_in(key, row):
                self._busy_at[key] = self._ledger.clock()
            if self._ledger.draining:
                await self._hand_back(key, row)
            elif not self._ledger.placed_in(key, row):
                await self._let_go(key, row)
            elif not row["service"]:
                await self._shed(key, row)

    async def _shed(self, key: str, row: BlockRow) -> None:
        """Give the waiting end of a block back when it has found no room here for a while."""
        placed = self._ledger.placed_in(key, row)
        middle = max(placed) + 1
        waiting = sum(1 for task, _ in startable(row, placed) if task.number >= middle)
        now = self._ledger.clock()
        if not waiting or self._shed_at.get(key, (0, now))[0] != waiting:
            self._shed_at[key] = (waiting, now)
        elif now - self._shed_at[key][1] > SHED_S:
            self._shed_at.pop(key)
            head, tail = split(row, middle)
            tail["holder"], tail["clean"] = None, True
            back = queue_key(row["job"], middle)
            await self._release(key, middle, {key: head, back: tail}, back)

    async def _release(self, key: str, middle: int, writes: dict[str, Row | None], to: str) -> None:
        """Commit a release; what is released must not start while the commit is on its way.

        When its answer is lost the commit may still take effect, so the mark stays until the
        row is known at another version.
        """
        self._leaving[key] = Leaving(self._ledger.config.mirror.version(key), middle)
        if await self._ledger.commit(writes, list(writes)):
            log(Event.BLOCK_RELEASED, block=key, from_=middle, to=to)

    def is_leaving(self, key: str, task: Task) -> bool:
        mark = self._leaving.get(key)
        if mark is None:
            return False
        if mark.version != self._ledger.config.mirror.version(key):
            del self._leaving[key]
            return False
        return task.number >= mark.middle

    async def _let_go(self, key: str, row: BlockRow) -> None:
        """Give up a block of which nothing runs, when it can't go on here."""
        domain_in = self._ledger.config.domain_in(key.split("/")[1])
        if row["service"]:
            if domain_in and not self._ledger.usable() and self._idle(key):
                await self._hand_back(key, row)
        elif not domain_in or self._idle(key):
            await self._requeue(key, row)

    def _idle(self, key: str) -> bool:
        """Tell whether nothing of a block has run for a while."""
        now = self._ledger.clock()
        return now - self._busy_at.setdefault(key, now) > IDLE_BLOCK_S

    async def _hand_back(self, key: str, row: BlockRow) -> None:
        new = copy_of(row)
        new["holder"], new["clean"] = None, True
        new["started"] = sorted(self._ledger.placed_in(key, row))
        await self._release(key, row["first"], {key: new}, key)

    async def _requeue(self, key: str, row: BlockRow) -> None:
        new = copy_of(row)
        new["holder"], new["clean"] = None, True
        self._busy_at.pop(key, None)
        back = queue_key(row["job"], row["first"])
        await self._release(key, row["first"], {key: None, back: new}, back)
