"""Watch a store table: scan it once, then apply changes from the feed in order."""

import asyncio
import time
from collections.abc import Callable

from curranthall.errors import AnswerLost, HistoryLost, PlatformDown
from curranthall.events import Event, log
from curranthall.store import Row, Store

# Bounds the time until a silently dropped connection is noticed.
FEED_WAIT_MS = 1_500
RETRY_S = 0.2


class TableWatch:
    """Mirrors a table's rows in the unnamed part and calls `on_change` after each update."""

    def __init__(
        self,
        store: Store,
        table: str,
        on_change: Callable[[], None],
        pause_s: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = time.monotonic,
        feed_wait_ms: int = FEED_WAIT_MS,
    ) -> None:
        self.rows: dict[str, Row] = {}
        self.loaded = False
        # When the last successful read was sent; its answer may have waited in a stopped process.
        self.read_at = -float("inf")
        self._changed = False
        self._store = store
        self._table = table
        self._on_change = on_change
        self._pause_s = pause_s
        self._clock = clock
        self._feed_wait_ms = feed_wait_ms
        self._after = 0
        self._pause_skipped = asyncio.Event()

    def skip_pause(self) -> None:
        """End the current pause, or skip the next one."""
        self._pause_skipped.set()

    async def run(self) -> None:
        """Watch the table until cancelled."""
        while True:
            started_at = self._clock()
            try:
                await self._read_once()
                if self._changed:
                    self._on_change()
                    self._changed = False
                self.read_at = started_at
                await self._pause()
            except HistoryLost:
                log(Event.FEED_RESTARTED, table=self._table, after=self._after)
                self.loaded = False
            except (PlatformDown, AnswerLost) as exc:
                log(Event.STORE_FAILED, what=self._table, error=exc)
                await asyncio.sleep(RETRY_S)
            except Exception as exc:
                # A defect must not end the watch: the change is processed again after a read.
                log(Event.LOOP_FAILED, where=f"watch of {self._table}", error=repr(exc))
                await asyncio.sleep(RETRY_S)

    async def _pause(self) -> None:
        """Wait so that one read returns several changes."""
        try:
            async with asyncio.timeout(self._pause_s()):
                await self._pause_skipped.wait()
        except TimeoutError:
            pass
        self._pause_skipped.clear()

    async def _read_once(self) -> None:
        if not self.loaded:
            listing = await self._store.scan(self._table, "")
            self.rows = {row.key: row for row in listing.rows}
            self._after, self.loaded = listing.version, True
            self._changed = True
            return
        page = await self._store.feed(self._table, self._after, self._feed_wait_ms)
        for row in page.rows:
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
        self._after = max(self._after, page.version)
        self._changed = self._changed or bool(page.rows)
