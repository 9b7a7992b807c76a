"""Release blocks to the queue, or to their failure domain on shutdown."""

from typing import NamedTuple

from curranthall.block import (
    copy_of,
    queue_key,
    split_block,
    startable_tasks,
)
from curranthall.events import Event, log
from curranthall.ledger import Ledger
from curranthall.model import (
    BlockRow,
    Row,
    Task,
)

IDLE_BLOCK_S = 10.0
RELEASE_WAITING_S = 2.0


class PendingRelease(NamedTuple):
    """A release being committed; while the row has `version`, tasks from `start` on must wait."""

    version: int
    start: int


class BlockReleaser:
    """Release blocks, and keep tasks that are being released from starting."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._pending: dict[str, PendingRelease] = {}
        self._busy_at: dict[str, float] = {}
        self._waiting_since: dict[str, tuple[int, float]] = {}

    async def release_blocks(self) -> None:
        for key in [key for key, _ in self._ledger.held_blocks()]:
            row = self._ledger.block(key)
            if row is None or not self._ledger.is_held_here(row):
                continue
            if key not in self._ledger.trusted or self._ledger.unrecorded_in(key, row):
                continue
            if self._ledger.placed_indices(key, row):
                self._busy_at[key] = self._ledger.clock()
            if self._ledger.draining:
                await self._return_to_domain(key, row)
            elif not self._ledger.placed_indices(key, row):
                await self._release_idle(key, row)
            elif not row["service"]:
                await self._release_waiting(key, row)

    async def _release_waiting(self, key: str, row: BlockRow) -> None:
        """Requeue the waiting tail of a block that has found no room here for RELEASE_WAITING_S."""
        placed = self._ledger.placed_indices(key, row)
        start = max(placed) + 1
        waiting = sum(1 for task, _ in startable_tasks(row, placed) if task.number >= start)
        now = self._ledger.clock()
        if not waiting or self._waiting_since.get(key, (0, now))[0] != waiting:
            self._waiting_since[key] = (waiting, now)
        elif now - self._waiting_since[key][1] > RELEASE_WAITING_S:
            self._waiting_since.pop(key)
            head, tail = split_block(row, start)
            tail["holder"], tail["clean"] = None, True
            queued_key = queue_key(row["job"], start)
            await self._release(key, start, {key: head, queued_key: tail}, queued_key)

    async def _release(self, key: str, start: int, writes: dict[str, Row | None], to: str) -> None:
        """Commit a release; the released tasks must not start before its result is known.

        If the answer is lost, the commit may still take effect, so the release stays pending
        until the row has another version.
        """
        self._pending[key] = PendingRelease(self._ledger.config.mirror.version(key), start)
        if await self._ledger.commit(writes, list(writes)):
            log(Event.BLOCK_RELEASED, block=key, from_=start, to=to)

    def is_being_released(self, key: str, task: Task) -> bool:
        pending = self._pending.get(key)
        if pending is None:
            return False
        if pending.version != self._ledger.config.mirror.version(key):
            del self._pending[key]
            return False
        return task.number >= pending.start

    async def _release_idle(self, key: str, row: BlockRow) -> None:
        """Release a block without running tasks if it cannot continue here."""
        domain_in = self._ledger.config.is_domain_in(key.split("/")[1])
        if row["service"]:
            if domain_in and not self._ledger.own_workers() and self._is_idle(key):
                await self._return_to_domain(key, row)
        elif not domain_in or self._is_idle(key):
            await self._requeue(key, row)

    def _is_idle(self, key: str) -> bool:
        """Return whether no task of a block has run for IDLE_BLOCK_S."""
        now = self._ledger.clock()
        return now - self._busy_at.setdefault(key, now) > IDLE_BLOCK_S

    async def _return_to_domain(self, key: str, row: BlockRow) -> None:
        new = copy_of(row)
        new["holder"], new["clean"] = None, True
        new["started"] = sorted(self._ledger.placed_indices(key, row))
        await self._release(key, row["first"], {key: new}, key)

    async def _requeue(self, key: str, row: BlockRow) -> None:
        new = copy_of(row)
        new["holder"], new["clean"] = None, True
        self._busy_at.pop(key, None)
        queued_key = queue_key(row["job"], row["first"])
        await self._release(key, row["first"], {key: None, queued_key: new}, queued_key)
