"""Cell ownership of one entry: it reads the owner rows, takes vacant cells and releases them."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from curranthall.cells.advice import Advice
from curranthall.cells.balance import CellLoads, WorkerKind, group_kinds
from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.fencing import RunEnd
from curranthall.cells.open_starts import StartRow
from curranthall.cells.options import NO_OPTIONS, Options
from curranthall.cells.owner import (
    ABSTAIN_S,
    CELL_PART,
    CELL_TABLE,
    DETAIL_TABLE,
    HANDOVER_SLACK_S,
    LEASE_SLACK_S,
    ORDER_LIMIT_S,
    RENEW_S,
    Claimant,
    Details,
    Owner,
    OwnerWatch,
    Vacancy,
    guess_roster,
)
from curranthall.cells.ports import AskAdvice, WorkerPort
from curranthall.cells.quota import Quota
from curranthall.cells.records import StoredJob, read_details
from curranthall.cells.runtime import CellRuntime, OtherCells, TakenCell
from curranthall.cells.shares import SharesKeeper
from curranthall.cells.tracking import Bounds, JobMove
from curranthall.customers import NO_CUSTOMERS, Customer, Customers
from curranthall.dag import Job, Queue, TaskId
from curranthall.dag.progress import decode_progress
from curranthall.errors import AnswerLost, PlatformDown
from curranthall.events import Event, log
from curranthall.model import Host, HostState
from curranthall.store import Check, Committed, Put, Stale, Store

# The pause between two reads of the owner rows while a cell is about to be taken.
MIN_PAUSE_S = 0.05
# How many workers are probed before a cell is taken.
REACH_SAMPLE = 3


class Environment(NamedTuple):
    """Dependencies of held cells that the process provides."""

    store: Store
    connect: Callable[[Host], WorkerPort]
    clock: Callable[[], float]
    wall_ms: Callable[[], float]
    queue_of: Callable[[Job], Queue | None]
    hosts: Callable[[], dict[str, Host] | None]
    evacuated: Callable[[], frozenset[str]]
    cast: Callable[[str, str, Any], None]
    can_reach: Callable[[Host], Awaitable[bool]]
    refresh_hosts: Callable[[], None]
    advise: Callable[[AskAdvice], Awaitable[Advice]]
    # When a link to another entry was last lost, by its address and the clock above; -inf if never.
    lost_at: Callable[[str], float]
    # The customers in force, None before a configuration was read; each as it was last read.
    customers: Callable[[], Customers | None] = lambda: NO_CUSTOMERS
    customer_of: Callable[[str], Customer | None] = lambda name: None


class Succession:
    """Manages the cells that this entry holds, and tracks the holders of the others."""

    def __init__(
        self,
        me: Claimant,
        cells: tuple[str, ...],
        bounds: Bounds,
        env: Environment,
        options: Options = NO_OPTIONS,
    ) -> None:
        self.me = me
        self.options = options
        self.watch = OwnerWatch(cells, bounds.lease_s)
        self.held: dict[str, CellRuntime] = {}
        self.read_ok_at = 0.0
        self._bounds = bounds
        self._env = env
        self._leaving = False
        # The workers that `_kinds` was made of, by failure domain.
        self._grouped_hosts: dict[str, Host] | None = None
        self._kinds: dict[str, Counter[WorkerKind]] = {}

    async def run(self) -> None:
        """Poll the owner rows until cancelled; take cells that become vacant."""
        while True:
            await asyncio.sleep(await self._poll())

    async def _poll(self) -> float:
        """Read the owner rows and take a cell if one is due; return the pause in seconds."""
        env = self._env
        started_at = env.clock()
        try:
            listing = await env.store.scan(CELL_TABLE, CELL_PART)
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="cells", error=exc)
            return RENEW_S
        self.read_ok_at = started_at
        now = env.clock()
        self.watch.observe(listing, now, started_at)
        self._end_deposed()
        if self._leaving or env.hosts() is None:
            return MIN_PAUSE_S
        vacancy = self.watch.vacancy(self.me, self.held.keys(), now)
        if vacancy is None:
            return RENEW_S
        if vacancy.probe_at > now:
            return max(MIN_PAUSE_S, min(RENEW_S, vacancy.probe_at - now))
        if vacancy.cell not in self.held:
            await self._try_take(vacancy)
        return MIN_PAUSE_S

    def _end_deposed(self) -> None:
        """End the cells that another entry took; while renewals fail, only the rows show it."""
        for cell, runtime in list(self.held.items()):
            owner = self.watch.observations[cell].owner
            if owner is not None and owner.epoch > runtime.dispatcher.epoch:
                runtime.end("deposed")

    async def _try_take(self, vacancy: Vacancy) -> None:
        try:
            # Read after the owner row: a later change of the roster also changes that row, and then
            # the take, which checks its version, fails.
            details = await read_details(self._env.store, vacancy.cell)
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="roster", error=exc)
            return
        if not details.readable:
            listed = (self._env.hosts() or {}).values()
            details = details._replace(roster=guess_roster(vacancy.cell, listed))
        details = vacancy.drop_foreign_ends(details)
        reached = await self._can_reach_workers(vacancy, details)
        now = self._env.clock()
        if self.watch.note_probe(vacancy.cell, reached, self.me, self.held.keys(), now):
            await self._take(vacancy, details)

    async def _can_reach_workers(self, vacancy: Vacancy, details: Details) -> bool:
        """Return whether this entry reaches any of the cell's workers (a few are probed).

        If not, the domain may be partitioned together with its holder, which then keeps the cell.
        """
        listed = (self._env.hosts() or {}).values()
        hosts = [host for host in listed if host.domain == vacancy.cell]
        if listed and not hosts and self._is_over(vacancy, details):
            # They are gone, or cut off from the platform without a holder that may go on.
            return True
        hosts = hosts or [host for host in details.roster if host.state is not HostState.GONE]
        if not hosts:
            return True
        asked = random.sample(hosts, min(REACH_SAMPLE, len(hosts)))
        found = await asyncio.gather(*(self._env.can_reach(host) for host in asked))
        if not any(found):
            log(Event.CELL_OUT_OF_REACH, cell=vacancy.cell, asked=len(asked))
        return any(found)

    def _is_over(self, vacancy: Vacancy, details: Details) -> bool:
        """Return whether a vacant cell has no holder, or all leases of its last one are over."""
        if vacancy.owner is None or not vacancy.owner.holder:
            return True
        known = {name: self.watch.local_time_of(end) for name, end in details.lease_ends.items()}
        ends = [known.get(host.name, vacancy.silent_until) for host in details.roster]
        return self._env.clock() >= min(vacancy.silent_until, max(ends, default=0.0))

    async def _take(self, vacancy: Vacancy, details: Details) -> None:
        env = self._env
        # The store's version never decreases, so the epoch is greater than any before.
        former_epoch = vacancy.owner.epoch if vacancy.owner else 0
        epoch = max(self.watch.epoch_seen, former_epoch) + 1
        me = self.me
        # Publish the former holder's counts until the jobs are loaded.
        waiting = vacancy.waiting
        workers = len(details.roster)
        sent_at = env.clock()
        written_ms = self.watch.store_ms(sent_at)
        orders_over_at = sent_at + ORDER_LIMIT_S + LEASE_SLACK_S + HANDOVER_SLACK_S
        owner = Owner(
            me.name,
            me.address,
            me.incarnation,
            epoch,
            {},
            waiting.by_queue,
            fenced=not workers,
            written_ms=written_ms,
            workers=workers,
            orders_until_ms=self.watch.store_time_of(orders_over_at) or 0,
            counted_to=waiting.counted_to,
            moved=waiting.moved,
        )
        former = details
        # A holder that is lost before its first renewal does not start the wait anew.
        lease_ends = self._lease_ends(vacancy, details)
        details = details._replace(lease_ends=lease_ends, run_ends={}, epoch=epoch, unheard=())
        try:
            answer = await env.store.commit(
                CELL_PART,
                [Check(CELL_TABLE, vacancy.cell, vacancy.version)],
                [
                    Put(CELL_TABLE, vacancy.cell, owner.encode()),
                    Put(DETAIL_TABLE, vacancy.cell, details.encode()),
                ],
                [],
            )
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="take", error=exc)
            return
        match answer:
            case Committed(version, now_ms):
                taken = TakenCell(owner, version, sent_at, now_ms, details)
                runtime = self._start_runtime(vacancy, taken, former)
                if self._leaving:
                    # The shutdown began during the call and did not find this cell.
                    await runtime.release()
            case Stale():
                log(Event.CELL_CONTESTED, cell=vacancy.cell, epoch=epoch)

    def _lease_ends(self, vacancy: Vacancy, details: Details) -> dict[str, int]:
        """Return until when leases of each worker may last if this holder is lost at once.

        A released cell's workers that are listed as up keep the longest time, so that their leases
        outlast an outage of the store which begins before the first renewal. Those that never
        answered the holder that released it don't: each taker in turn would put their time off.
        """
        former, hosts = details.lease_ends, self._env.hosts() or {}
        longest_ms = self.watch.store_time_of(max(vacancy.proof_at, vacancy.silent_until))
        if longest_ms is None:
            return former
        kept = set(former)
        if vacancy.is_released:
            live = {name for name, host in hosts.items() if host.state is HostState.LIVE}
            kept -= live.difference(details.unheard)
        return {
            host.name: former[host.name] if host.name in kept else longest_ms
            for host in details.roster
        }

    def _start_runtime(self, vacancy: Vacancy, taken: TakenCell, former: Details) -> CellRuntime:
        env, owner, now = self._env, taken.owner, self._env.clock()
        roster = taken.details.roster
        lease_ends = {
            name: min(vacancy.proof_at, self.watch.local_time_of(end_ms))
            for name, end_ms in former.lease_ends.items()
        }
        if lease_ends and vacancy.is_released:
            # A release names no worker of which a later boot may execute a start.
            unnamed = {host.name for host in roster} - lease_ends.keys()
            lease_ends |= dict.fromkeys(unnamed, vacancy.silent_until)
        run_ends = {
            name: RunEnd(
                min(vacancy.proof_at, self.watch.local_time_of(end_ms)),
                frozenset(
                    TaskId.parse(task) for worker, task, *_ in former.open_starts if worker == name
                ),
            )
            for name, end_ms in former.run_ends.items()
        }
        ends = [lease_ends.get(host.name, vacancy.proof_at) for host in roster]
        log(
            Event.CELL_TAKEN,
            cell=vacancy.cell,
            epoch=owner.epoch,
            former=vacancy.owner.holder if vacancy.owner else None,
            workers=len(roster),
            proof_in_s=round(max(0.0, max(ends, default=now) - now), 2),
            handed_over=len(former.lease_ends),
            run_ends=len(run_ends),
            waiting=owner.waiting,
        )
        keeper = SharesKeeper(vacancy.cell, self.watch.cells)
        dispatcher = Dispatcher(
            vacancy.cell,
            owner.epoch,
            self._bounds,
            env.queue_of,
            env.wall_ms,
            self.options,
            Quota(keeper, env.customers, env.customer_of),
        )
        dispatcher.take_over(roster, vacancy.proof_at, lease_ends, now, run_ends)
        dispatcher.open_starts.inherit(
            StartRow(worker, TaskId.parse(task), run, min(now, self.watch.local_time_of(sent_ms)))
            for worker, task, run, sent_ms in taken.details.open_starts
        )
        dispatcher.interference.import_rows(taken.details.learned)
        dispatcher.closed = vacancy.cell in env.evacuated()
        for moved in owner.moved:
            dispatcher.job_moves[JobMove(moved.cell, moved.version, moved.queue)] = moved.jobs
        runtime = CellRuntime(
            dispatcher,
            taken,
            env.store,
            env.connect,
            env.clock,
            self._on_end,
            self._on_renewed,
            OtherCells(self._other_loads, self.send_to_holder, self._is_counted),
            env.advise,
        )
        self.held[vacancy.cell] = runtime
        self._on_renewed(vacancy.cell, owner, taken.version)
        runtime.start()
        env.refresh_hosts()
        hosts = env.hosts()
        if hosts is not None:
            runtime.on_hosts(hosts)
        return runtime

    def _other_loads(self, cell: str) -> list[CellLoads]:
        """Return the loads of the cells to which tasks may be moved.

        They are not evacuated, and their holder is live and not doubted.
        """
        now, evacuated = self._env.clock(), self._env.evacuated()
        self._group_hosts()
        found = []
        for other in self.watch.cells:
            owner = self.watch.live_holder(other, now)
            if owner is None or other == cell or other in evacuated:
                continue
            if not self.may_be_gone(other, owner, now):
                age_ms = self.watch.row_age_ms(other, now)
                kinds = self._kinds.get(other)
                found.append(CellLoads(other, owner.load, owner.epoch, kinds, age_ms))
        return found

    def _group_hosts(self) -> bool:
        """Group the listed workers by kind; return whether they are known."""
        hosts = self._env.hosts()
        if hosts is not None and hosts is not self._grouped_hosts:
            self._grouped_hosts, self._kinds = hosts, group_kinds(hosts.values())
        return hosts is not None

    def can_run(self, cell: str, job: Job) -> bool:
        """Return whether a cell, if it is empty, can run all steps of a job; True if unknown."""
        if not self._group_hosts():
            return True
        listed = CellLoads(cell, {}, 0, self._kinds.get(cell, Counter()))
        return all(listed.can_run(job.service, step) for step in job.steps)

    def _is_counted(self, cell: str, version: int) -> bool:
        """Return whether a cell's published count includes a version of the progress rows."""
        return version <= self.watch.waiting(cell).counted_to

    def may_be_gone(self, cell: str, owner: Owner, now: float) -> bool:
        """Return whether a holder may be gone, though its row is too new to replace it."""
        if owner.address == self.me.address and cell not in self.held:
            # The row is of this entry's former process, or of a cell that it has given up.
            return True
        return self.watch.is_doubtful(cell, self._env.lost_at(owner.address), now)

    def send_to_holder(self, cell: str, stored: StoredJob) -> None:
        """Send a stored job to a cell's holder, which would else read it later from its feed."""
        runtime = self.held.get(cell)
        owner = self.watch.holder(cell)
        if runtime is not None:
            copy = decode_progress(stored.progress.encode())
            runtime.offer(stored._replace(progress=copy))
        elif owner is not None:
            self._env.cast(owner.address, "job", stored.encode())

    def _on_renewed(self, cell: str, owner: Owner, version: int) -> None:
        self.watch.record(cell, owner, version, self._env.clock())

    def _on_end(self, runtime: CellRuntime, why: str) -> None:
        if self.held.get(runtime.cell) is runtime:
            del self.held[runtime.cell]
        self.watch.abstain_until[runtime.cell] = self._env.clock() + ABSTAIN_S

    def on_hosts(self, hosts: dict[str, Host]) -> None:
        """Pass the listed workers to the held cells."""
        for runtime in list(self.held.values()):
            runtime.on_hosts(hosts)

    def on_evacuated(self, domains: frozenset[str]) -> None:
        """Close the held cells of evacuated failure domains, and reopen the others."""
        for cell, runtime in self.held.items():
            if not self._leaving:
                runtime.dispatcher.closed = cell in domains
            runtime.wake()

    async def leave(self) -> None:
        """Release all held cells and take no more."""
        self._leaving = True
        await asyncio.gather(*(runtime.release() for runtime in list(self.held.values())))

    def stop(self) -> None:
        """End all held cells without releasing them."""
        for runtime in list(self.held.values()):
            runtime.end("stopped")
