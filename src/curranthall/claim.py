"""Claim blocks from the queue, split to fit the free capacity."""

from curranthall.block import (
    QUEUE_PREFIX,
    as_block,
    block_key,
    queue_key,
    split_block,
    split_point,
    startable_tasks,
)
from curranthall.events import Event, log
from curranthall.ledger import Ledger
from curranthall.model import (
    BlockRow,
    Row,
)
from curranthall.rows import allows_domain
from curranthall.takeover import Takeover

CLAIM_BLOCKS = 2
BACKLOG_TASKS = 4
CLAIM_AHEAD = 4


class BlockClaimer:
    """Claim blocks by priority, customer share and deadline."""

    def __init__(self, ledger: Ledger, takeover: Takeover) -> None:
        self._ledger = ledger
        self._takeover = takeover

    async def claim_blocks(self) -> None:
        if not self._ledger.config.may_start(self._ledger.domain) or not self._ledger.own_workers():
            return
        mirror = self._ledger.config.mirror
        queued = [(key, as_block(row)) for key, row in mirror.rows_under(QUEUE_PREFIX)]
        wanted = [(key, row) for key, row in queued if self._is_wanted(key, row)]
        if self._backlog() >= BACKLOG_TASKS:
            # Urgent tasks evict batch work to get room, so a backlog does not delay them.
            wanted = [(key, row) for key, row in wanted if self._ledger.is_urgent(row)]
        cores = self._ledger.cores_by_customer()
        wanted.sort(key=lambda item: self._ledger.priority_key(item[1], cores))
        keys = [key for key, _ in wanted[:CLAIM_BLOCKS]]
        if keys and not await self._claim(keys) and len(keys) > 1:
            for key in keys:
                await self._claim([key])

    async def _claim(self, keys: list[str]) -> bool:
        writes: dict[str, Row | None] = {}
        claimed = []
        for key in keys:
            row = self._ledger.block(key)
            if row is None:
                continue
            split_at = split_point(row, self._room_for(row) + CLAIM_AHEAD)
            head, tail = split_block(row, split_at)
            head["holder"], head["incarnation"] = self._ledger.id, self._ledger.incarnation
            head["clean"] = False
            writes[key] = None
            claimed.append(block_key(self._ledger.domain, row["job"], row["first"]))
            writes[claimed[-1]] = head
            if tail["count"]:
                writes[queue_key(row["job"], split_at)] = tail
        self._ledger.trusted.update(claimed)
        if not writes:
            return True
        if not await self._ledger.commit(writes, list(writes)):
            return False
        for key in claimed:
            log(Event.BLOCK_CLAIMED, block=key)
        return True

    def _room_for(self, row: BlockRow) -> int:
        """Count the tasks of a block's class that still fit on the held workers."""
        spec = self._ledger.spec_of(row)
        if spec is None:
            return 0
        cores = spec["cores"]
        return sum(int(held.room().cores / cores) for held in self._ledger.own_workers())

    def _backlog(self) -> int:
        total = 0
        for key, row in self._ledger.held_blocks():
            total += sum(1 for _ in startable_tasks(row, self._ledger.placed_indices(key, row)))
        return total

    def _is_wanted(self, key: str, row: BlockRow) -> bool:
        return self._is_allowed_here(row) and self._takeover.is_preferred(key, row)

    def _is_allowed_here(self, row: BlockRow) -> bool:
        spec = self._ledger.spec_of(row)
        return spec is not None and allows_domain(spec["domains"], self._ledger.domain)
