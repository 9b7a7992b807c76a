"""In-memory store like the platform's: parts, version checks, ranges and a feed with history."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from curranthall.errors import HistoryLost
from curranthall.store import Check, Committed, Drop, Listing, Put, Row, Stale


class _Change(NamedTuple):
    version: int
    row: Row


class MemoryStore:
    """Rows by table, part and key."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._rows: dict[tuple[str, str, str], Row] = {}
        self._history: list[_Change] = []
        self._dropped_to = 0
        self._changed = asyncio.Event()
        self.version = 0
        self.failing = False

    async def commit(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        """Apply a transaction."""
        return self.apply(part, checks, puts, drops)

    def find(self, table: str, part: str, key: str) -> Row | None:
        """Return a row without awaiting."""
        return self._rows.get((table, part, key))

    def apply(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        """Apply a transaction without awaiting."""
        stale = [check for check in checks if self._version(check, part) != check.version]
        if stale:
            current = [self._rows.get((check.table, part, check.key)) for check in checks]
            return Stale([row for row in current if row is not None])
        self.version += 1
        for put in puts:
            self._write(Row(put.table, part, put.key, put.value, self.version))
        for drop in drops:
            if (drop.table, part, drop.key) in self._rows:
                self._write(Row(drop.table, part, drop.key, None, self.version))
        self._changed.set()
        self._changed = asyncio.Event()
        return Committed(self.version, self._now_ms())

    async def scan(self, table: str, part: str, start: str = "", end: str = "") -> Listing:
        """List rows of one part of a table, with keys from `start` up to, not including, `end`."""
        rows = [
            row
            for (row_table, row_part, key), row in sorted(self._rows.items())
            if row_table == table and row_part == part and key >= start and (not end or key < end)
        ]
        return Listing(rows, self.version, self._now_ms())

    async def feed(self, table: str, after: int, wait_ms: int) -> Listing:
        """Return the changes of a table after a version; wait up to `wait_ms` for the first."""
        if after < self._dropped_to:
            raise HistoryLost(table=table, after=after)
        until = self._clock() + wait_ms / 1000
        while True:
            rows = [c.row for c in self._history if c.version > after and c.row.table == table]
            left_s = until - self._clock()
            if rows or left_s <= 0:
                return Listing(rows, self.version, self._now_ms())
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def drop_history(self) -> None:
        """Drop the history, so that older feeds get HistoryLost."""
        self._history.clear()
        self._dropped_to = self.version

    def _version(self, check: Check, part: str) -> int:
        row = self._rows.get((check.table, part, check.key))
        return row.version if row is not None else 0

    def _write(self, row: Row) -> None:
        row_key = row.table, row.part, row.key
        if row.value is None:
            del self._rows[row_key]
        else:
            self._rows[row_key] = row
        self._history.append(_Change(self.version, row))

    def _now_ms(self) -> int:
        return int(self._clock() * 1000)
