"""An entry's part in holding cells: it reads their rows, takes vacant ones, gives them back."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from curranthall.cells.advice import Advice
from curranthall.cells.balance import CellLoads
from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.owner import (
    ABSTAIN_S,
    CELL_PART,
    CELL_TABLE,
    RENEW_S,
    Claimant,
    Details,
    Owner,
    OwnerWatch,
    Vacancy,
)
from curranthall.cells.ports import AskAdvice, WorkerPort
from curranthall.cells.records import StoredJob, read_details
from curranthall.cells.runtime import CellRuntime, Holding, Neighbours
from curranthall.cells.tracking import Bounds, Queue
from curranthall.dag import Job
from curranthall.dag.progress import decode_progress
from curranthall.errors import AnswerLost, PlatformDown
from curranthall.events import Event, log
from curranthall.model import Host
from curranthall.store import Check, Committed, Put, Stale, Store

# Between two reads of the rows while a cell is about to be taken.
MIN_PAUSE_S = 0.05


# Workers that are tried before a cell is taken.
REACH_SAMPLE = 3


class Environment(NamedTuple):
    """What a held cell needs from its process."""

    store: Store
    connect: Callable[[Host], WorkerPort]
    clock: Callable[[], float]
    wall_ms: Callable[[], float]
    queue_of: Callable[[Job], Queue]
    hosts: Callable[[], dict[str, Host] | None]
    evacuated: Callable[[], frozenset[str]]
    cast: Callable[[str, str, Any], None]
    reaches: Callable[[Host], Awaitable[bool]]
    hurry_hosts: Callable[[], None]
    advise: Callable[[AskAdvice], Awaitable[Advice]]


class Succession:
    """The cells that this entry holds, and what it knows of the others."""

    def __init__(
        self, me: Claimant, cells: tuple[str, ...], bounds: Bounds, around: Environment
    ) -> None:
        self.me = me
        self.watch = OwnerWatch(cells, bounds.max_hold_s)
        self.held: dict[str, CellRuntime] = {}
        self.read_ok_at = 0.0
        self._bounds = bounds
        self._around = around
        self._leaving = False

    async def run(self) -> None:
        """Read the rows for ever; take the cells that fall to this entry."""
        while True:
            await asyncio.sleep(await self._look())

    async def _look(self) -> float:
        """Read the rows, take a cell if it is this entry's turn; give the pause to the next."""
        around = self._around
        asked_at = around.clock()
        try:
            listing = await around.store.scan(CELL_TABLE, CELL_PART)
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="cells", error=exc)
            return RENEW_S
        self.read_ok_at = asked_at
        now = around.clock()
        self.watch.observe(listing, now)
        self._end_deposed()
        if self._leaving or around.hosts() is None:
            return MIN_PAUSE_S
        vacancy = self.watch.vacancy(self.me, self.held.keys(), now)
        if vacancy is None:
            return RENEW_S
        if vacancy.takeable_at > now:
            return max(MIN_PAUSE_S, min(RENEW_S, vacancy.takeable_at - now))
        if vacancy.cell not in self.held:
            await self._try_to_take(vacancy)
        return MIN_PAUSE_S

    def _end_deposed(self) -> None:
        """End what the rows show with a later holder: a renewal may fail for long."""
        for cell, runtime in list(self.held.items()):
            owner = self.watch.observations[cell].owner
            if owner is not None and owner.epoch > runtime.dispatcher.epoch:
                runtime.end("deposed")

    async def _try_to_take(self, vacancy: Vacancy) -> None:
        try:
            # Read after the cell's row: a later change of the roster changes that row, too, and
            # then the cell can't be taken by the version read.
            details = await read_details(self._around.store, vacancy.cell)
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="roster", error=exc)
            return
        if await self._reaches(vacancy, details.roster):
            await self._take(vacancy, details)

    async def _reaches(self, vacancy: Vacancy, roster: list[Host]) -> bool:
        """Tell whether some worker of the cell can be reached from here.

        In a failure domain that is cut off with its holder, the holder goes on by itself.
        """
        listed = (self._around.hosts() or {}).values()
        hosts = [host for host in listed if host.domain == vacancy.cell] or roster
        if not hosts:
            return True
        asked = random.sample(hosts, min(REACH_SAMPLE, len(hosts)))
        found = await asyncio.gather(*(self._around.reaches(host) for host in asked))
        if not any(found):
            log(Event.CELL_OUT_OF_REACH, cell=vacancy.cell, asked=len(asked))
            self.watch.abstain_until[vacancy.cell] = self._around.clock() + RENEW_S
        return any(found)

    async def _take(self, vacancy: Vacancy, details: Details) -> None:
        around = self._around
        # The store's version only grows, so each taking has a greater epoch than any before.
        former = vacancy.owner.epoch if vacancy.owner else 0
        epoch = max(self.watch.epoch_seen, former) + 1
        me = self.me
        # The former holder's count stands until the rows are loaded.
        waiting = vacancy.owner.waiting if vacancy.owner else {}
        fenced = not details.roster
        owner = Owner(me.name, me.address, me.incarnation, epoch, {}, waiting, fenced)
        sent_at = around.clock()
        try:
            answer = await around.store.commit(
                CELL_PART,
                [Check(CELL_TABLE, vacancy.cell, vacancy.version)],
                [Put(CELL_TABLE, vacancy.cell, owner.encode())],
                [],
            )
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="take", error=exc)
            return
        match answer:
            case Committed(version):
                self._hold(vacancy, Holding(owner, version, sent_at, details))
            case Stale():
                log(Event.CELL_CONTESTED, cell=vacancy.cell, epoch=epoch)

    def _hold(self, vacancy: Vacancy, holding: Holding) -> None:
        around, owner = self._around, holding.owner
        log(
            Event.CELL_TAKEN,
            cell=vacancy.cell,
            epoch=owner.epoch,
            former=vacancy.owner.holder if vacancy.owner else None,
            workers=len(holding.details.roster),
            proof_in_s=round(vacancy.proof_at - around.clock(), 2),
        )
        dispatcher = Dispatcher(
            vacancy.cell, owner.epoch, self._bounds, around.queue_of, around.wall_ms
        )
        dispatcher.take_over(holding.details.roster, vacancy.proof_at)
        dispatcher.interference.take_in(holding.details.learned)
        dispatcher.closed = vacancy.cell in around.evacuated()
        runtime = CellRuntime(
            dispatcher,
            holding,
            around.store,
            around.connect,
            around.clock,
            self._on_end,
            self._on_renewed,
            Neighbours(self._rooms, self.send_to_holder),
            around.advise,
        )
        self.held[vacancy.cell] = runtime
        self._on_renewed(vacancy.cell, owner, holding.version)
        runtime.start()
        around.hurry_hosts()
        hosts = around.hosts()
        if hosts is not None:
            runtime.on_hosts(hosts)

    def _rooms(self, cell: str) -> list[CellLoads]:
        """Give the figures of the other cells that are held and open."""
        now, out = self._around.clock(), self._around.evacuated()
        found = []
        for other in self.watch.cells:
            owner = self.watch.live_holder(other, now)
            if owner is not None and other != cell and other not in out:
                found.append(CellLoads(other, owner.load, owner.epoch))
        return found

    def send_to_holder(self, cell: str, stored: StoredJob) -> None:
        """Bring a stored job to the holder of a cell; its feed would, a while later."""
        runtime = self.held.get(cell)
        owner = self.watch.holder(cell)
        if runtime is not None:
            copy = decode_progress(stored.progress.encode())
            runtime.offer(stored._replace(progress=copy))
        elif owner is not None:
            self._around.cast(owner.address, "job", stored.encode())

    def _on_renewed(self, cell: str, owner: Owner, version: int) -> None:
        self.watch.record(cell, owner, version, self._around.clock())

    def _on_end(self, runtime: CellRuntime, why: str) -> None:
        if self.held.get(runtime.cell) is runtime:
            del self.held[runtime.cell]
        self.watch.abstain_until[runtime.cell] = self._around.clock() + ABSTAIN_S

    def on_hosts(self, hosts: dict[str, Host]) -> None:
        """Pass the listed workers on to the held cells."""
        for runtime in list(self.held.values()):
            runtime.on_hosts(hosts)

    def on_evacuated(self, domains: frozenset[str]) -> None:
        """Close the cells of failure domains that are taken out, and open the others."""
        for cell, runtime in self.held.items():
            if not self._leaving:
                runtime.dispatcher.closed = cell in domains
            runtime.wake()

    async def leave(self) -> None:
        """Give all cells back."""
        self._leaving = True
        await asyncio.gather(*(runtime.release() for runtime in list(self.held.values())))

    def stop(self) -> None:
        """End all loops at once."""
        for runtime in list(self.held.values()):
            runtime.end("stopped")
