"""Reads and writes the parts of customers' limits for one held cell."""

import asyncio
import random
from collections.abc import Callable

from curranthall.cells.owner import RENEW_S
from curranthall.cells.quota import Quota
from curranthall.cells.shares import SHARE_KEY, SHARE_PART, SHARE_TABLE, Shares
from curranthall.errors import AnswerLost, PlatformDown
from curranthall.events import Event, log
from curranthall.store import Committed, Stale, Store

POLL_S = 0.05
# While a limit keeps tasks from starting, the row is read more often for a while, so that parts
# that other cells give back at their next read start tasks soon. A longer shortage means that they
# have none to spare, or that the whole limit is in use.
SHORT_READ_S = 0.2
SHORT_READS_FOR_S = 2.4
# The pause after a read, and its write if any, as a multiple of their duration: lending leaves most
# of the part's time to the renewals of the cells. With 5 beside a store that takes 0.1 s, a lasting
# task waited longer than the 3 s in which it has to start.
PAUSE_FACTOR = 2.0
# A store with which both take as long is slow, and gets longer pauses.
SLOW_STEP_S = 0.5
SLOW_PAUSE_FACTOR = 5.0


class ShareLoop:
    """Keeps the parts of one cell; its holder's row has the version `owner_version`."""

    def __init__(
        self,
        cell: str,
        quota: Quota,
        store: Store,
        clock: Callable[[], float],
        owner_version: Callable[[], int],
        is_closed: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._cell = cell
        self._quota = quota
        self._store = store
        self._clock = clock
        self._owner_version = owner_version
        self._is_closed = is_closed
        self._on_change = on_change
        # When the row may be read again, and has to be.
        self._may_read_at = 0.0
        self._read_by = 0.0
        self._short_since: float | None = None
        self._short_at = 0.0

    async def run(self) -> None:
        """Read the row at each renewal interval while customers have limits, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            if not self._quota.is_limited:
                continue
            began = self._clock()
            if began < self._may_read_at or not (began >= self._read_by or self._is_short(began)):
                continue
            try:
                is_refused = await self._step()
            except (PlatformDown, AnswerLost) as exc:
                log(Event.STORE_FAILED, what="customer shares", cell=self._cell, error=exc)
                is_refused = False
            now = self._clock()
            took_s = now - began
            pause_s = took_s * (PAUSE_FACTOR if took_s < SLOW_STEP_S else SLOW_PAUSE_FACTOR)
            if is_refused:
                self._may_read_at = self._read_by = now + random.uniform(POLL_S, POLL_S + took_s)
            else:
                self._may_read_at = now + max(SHORT_READ_S, pause_s)
                self._read_by = now + max(RENEW_S, pause_s)

    def _is_short(self, now: float) -> bool:
        """Return whether a limit has kept tasks from starting, for a short time so far."""
        if self._quota.is_short():
            if self._short_since is None or now - self._short_at > SHORT_READS_FOR_S:
                self._short_since = now
            self._short_at = now
            return now - self._short_since < SHORT_READS_FOR_S
        return False

    async def _step(self) -> bool:
        """Read the row, and write it if parts have to move; return whether the write is refused."""
        keeper, version = self._quota.keeper, self._owner_version()
        listing = await self._store.scan(SHARE_TABLE, SHARE_PART, SHARE_KEY, SHARE_KEY + "\0")
        keeper.on_read(next((row for row in listing.rows if row.key == SHARE_KEY), None), version)
        self._apply()
        shares = keeper.propose(self._quota.needs(), self._is_closed())
        if shares is None:
            return False
        transaction = keeper.send(shares, self._owner_version())
        # What the write lowers applies before it is sent.
        self._apply()
        try:
            answer = await self._store.commit(*transaction)
        except PlatformDown:
            keeper.on_refused()
            self._apply()
            raise
        match answer:
            case Committed(version):
                self._log_change(shares)
                keeper.on_committed(version)
            case Stale():
                keeper.on_refused()
        self._apply()
        return isinstance(answer, Stale)

    def _apply(self) -> None:
        self._quota.note_shares()
        self._on_change()

    def _log_change(self, shares: Shares) -> None:
        """Log the customers whose parts or requests a write changed."""
        former = self._quota.keeper.shares or shares
        changes = {
            name: [former.held(name, self._cell), shares.held(name, self._cell), free]
            for name in {*former.parts, *shares.parts}
            if (free := shares.free(name)) != former.free(name)
        }
        requests = {
            name: list(by_cell[self._cell])
            for name, by_cell in shares.requests.items()
            if self._cell in by_cell
        }
        log(Event.SHARES_WRITTEN, cell=self._cell, changes=changes, requests=requests)
