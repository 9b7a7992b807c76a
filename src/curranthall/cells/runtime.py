"""A held cell at work: carries the dispatcher's orders out and brings it what happens."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from curranthall.cells.advice import Advice
from curranthall.cells.balance import Balancer, CellLoads
from curranthall.cells.dispatcher import START_WINDOW_S, Dispatcher
from curranthall.cells.fleet import Member
from curranthall.cells.owner import (
    CELL_PART,
    CELL_TABLE,
    DETAIL_TABLE,
    ORDER_LIMIT_S,
    RENEW_S,
    Details,
    Owner,
    decode_details,
    decode_owner,
)
from curranthall.cells.ports import (
    AskAdvice,
    Order,
    PaceTask,
    StartTask,
    StopTask,
    WorkerPort,
)
from curranthall.cells.records import (
    PARTS,
    PROGRESS_TABLE,
    StoredJob,
    decode_progress_row,
    has_tasks_in,
    other_cells,
    part_of,
    read_all,
    read_job,
)
from curranthall.cells.tracking import Tracked
from curranthall.dag import Job, Progress
from curranthall.dag.progress import decode_progress
from curranthall.errors import (
    AnswerLost,
    ConnectFailed,
    CurranthallError,
    Fenced,
    HistoryLost,
    OtherBoot,
    PlatformDown,
)
from curranthall.events import Event, log
from curranthall.model import Host
from curranthall.store import Check, Committed, Put, Row, Stale, Store

TICK_S = 0.1
# Between two plans: the least pause, and a pause by how long the last one took, so that planning
# leaves half of the process to looks, starts and records however large a cell is.
GATHER_EVENTS_S = 0.003
PLAN_REST = 1.0
# Holds: how long a worker may keep one open, and the least pause between two.
BUSY_WAIT_MS = 1_000
IDLE_WAIT_MS = 2_000
# Where filling tasks work beside serving ones, tails are looked at more often.
SHARED_WAIT_MS = 500
HOLD_PAUSE_S = 0.05
SILENT_PAUSE_S = 0.2
# Ends are recorded together: at once when a job is over, else after this long.
RECORD_S = 0.15
GATHER_S = 0.01
# While the store is slow, records leave its parts free for new jobs: a pause of so many answers'
# time, up to a limit that keeps what is shown fresh (3 s are allowed).
RECORD_SPACING = 3.0
MAX_RECORD_S = 0.9
MAX_ROWS = 45
STORE_RETRY_S = 0.2
# The feed of progress rows: how long a read waits, and the pause that gathers changes.
FEED_WAIT_MS = 1_500
FEED_PAUSE_S = 0.4
# What was learned of interference is told to other cells, and theirs taken over, this often.
SHARE_S = 3.0
# Workers silent for this long, at least half of them, mean that this entry is cut off.
CUT_OFF_S = 1.0


class TakenCell(NamedTuple):
    """How a cell was taken."""

    owner: Owner
    version: int
    taken_at: float
    details: Details


class OtherCells(NamedTuple):
    """What a cell knows of the others, and how it tells them of jobs that they share."""

    loads: Callable[[str], list[CellLoads]]
    send: Callable[[str, StoredJob], None]


class CellRuntime:
    """One held cell."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        taken: TakenCell,
        store: Store,
        connect: Callable[[Host], WorkerPort],
        clock: Callable[[], float],
        on_end: Callable[["CellRuntime", str], None],
        on_renewed: Callable[[str, Owner, int], None],
        others: "OtherCells",
        advise: Callable[[AskAdvice], Awaitable[Advice]],
    ) -> None:
        self.dispatcher = dispatcher
        self.cell = dispatcher.cell
        self.owner = taken.owner
        self.confirmed_at = taken.taken_at
        self._version = taken.version
        self._store = store
        self._connect = connect
        self._clock = clock
        self._on_end = on_end
        self._on_renewed = on_renewed
        self._others = others
        self._advise = advise
        self._balance = Balancer()
        self._ports: dict[str, WorkerPort] = {}
        self._holds: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._record = asyncio.Event()
        self._renew_now = asyncio.Event()
        self._details = taken.details
        self._details_stored = True
        self._shared_at = 0.0
        self._commits = 0
        self._ended = False
        self._releasing = False
        self._feed_from = 0
        # The store's version up to which the rows of each part were read.
        self._read_to: dict[str, int] = {}
        self._resolving = False
        self.loaded = False

    # Life

    def start(self) -> None:
        """Start the loops."""
        for loop in (self._renew_loop, self._work_loop, self._tick_loop, self._load_jobs):
            self._spawn(loop())
        for part in PARTS:
            self._spawn(self._record_loop(part))
        for member in list(self.dispatcher.members.values()):
            self._watch(member)

    def end(self, why: str) -> None:
        """Stop all loops; what runs goes on until another holder comes."""
        if self._ended:
            return
        self._ended = True
        log(Event.CELL_LOST, cell=self.cell, epoch=self.dispatcher.epoch, why=why)
        for task in [*self._tasks, *self._holds.values()]:
            task.cancel()
        for port in self._ports.values():
            port.close()
        self._on_end(self, why)

    async def release(self) -> None:
        """Give the cell back: record what is known, then free the row."""
        self.dispatcher.closed = True
        for _ in range(3):
            if not self.dispatcher.dirty:
                break
            await asyncio.gather(*(self._record_part(part) for part in PARTS))
        # From here on another holder may be there, which waits out the leases from now.
        self._releasing = True
        for hold in self._holds.values():
            hold.cancel()
        freed = self.owner._replace(
            holder="",
            load={},
            waiting=self.waiting_jobs(),
            fenced=self.dispatcher.fenced_all,
        )
        try:
            await self._put_owner(freed, self._details._replace(roster=self.dispatcher.roster()))
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="release", error=exc)
        self.end("released")

    def permitted(self) -> bool:
        """Tell whether this holder may still give orders."""
        return not self._releasing and self._permitted_s() > 0

    def _permitted_s(self) -> float:
        """Give how long this holder may still give orders, and what they allow may last."""
        return self.confirmed_at + ORDER_LIMIT_S - self._clock()

    def waiting_jobs(self) -> dict[str, int]:
        """Count by queue the jobs of which nothing has begun."""
        return self.dispatcher.waiting_jobs() if self.loaded else self.owner.waiting

    def wake(self) -> None:
        """Have orders planned and carried out soon."""
        self._wake.set()

    def _spawn(self, coroutine: Awaitable[Any]) -> None:
        task = asyncio.ensure_future(self._guard(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, coroutine: Awaitable[Any]) -> None:
        try:
            await coroutine
        except Fenced as exc:
            self.end(f"fenced by {exc}")
        except CurranthallError as exc:
            log(Event.LOOP_FAILED, where=self.cell, error=exc)
        except Exception as exc:
            # A defect must not leave a cell held and idle: another entry takes it.
            log(Event.LOOP_FAILED, where=self.cell, error=repr(exc))
            self.end("defect")
            raise

    # The row

    async def _renew_loop(self) -> None:
        while True:
            try:
                async with asyncio.timeout(RENEW_S):
                    await self._renew_now.wait()
            except TimeoutError:
                pass
            self._renew_now.clear()
            await self._renew()

    async def _renew(self) -> None:
        now = self._clock()
        if self._cut_off(now):
            await self.release()
            return
        fresh = self.owner._replace(
            load=self.dispatcher.load(now),
            waiting=self.waiting_jobs(),
            fenced=self.dispatcher.fenced_all,
        )
        details = self._details._replace(roster=self.dispatcher.roster())
        lives = self.dispatcher.lives()
        if now - self._shared_at >= SHARE_S:
            self._shared_at = now
            details = details._replace(learned=self.dispatcher.interference.shared())
            self._spawn(self._learn_from_others())
        try:
            if await self._put_owner(fresh, details):
                self.confirmed_at = max(self.confirmed_at, now)
                self.dispatcher.confirm_roster(self.dispatcher.same_lives(lives))
                self.wake()
            else:
                self.end("deposed")
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="renewal", error=exc)

    async def _learn_from_others(self) -> None:
        """Take over what the other cells learned of interference."""
        listing = await self._store.scan(DETAIL_TABLE, CELL_PART)
        for row in listing.rows:
            if row.key != self.cell and row.value is not None:
                self.dispatcher.interference.take_in(decode_details(row.value).learned)

    async def _put_owner(self, owner: Owner, details: Details) -> bool:
        """Write the cell's rows; tell whether it is still this holder's."""
        puts = [Put(CELL_TABLE, self.cell, owner.encode())]
        if details != self._details or not self._details_stored:
            puts.append(Put(DETAIL_TABLE, self.cell, details.encode()))
            # Without an answer, either row may stand there.
            self._details_stored = False
        for _ in range(2):
            match await self._store.commit(
                CELL_PART, [Check(CELL_TABLE, self.cell, self._version)], puts, []
            ):
                case Committed(version):
                    self.owner, self._version = owner, version
                    self._details, self._details_stored = details, True
                    self._on_renewed(self.cell, owner, version)
                    return True
                case Stale(rows):
                    if not self._late_own(rows):
                        return False
        return False

    def _late_own(self, rows: list[Row]) -> bool:
        """Take in an own renewal that took effect without an answer."""
        for row in rows:
            if row.key == self.cell and row.value is not None:
                found = decode_owner(row.value)
                if found[:4] == self.owner[:4]:
                    self._version = row.version
                    return True
        return False

    def _cut_off(self, now: float) -> bool:
        members = [m for m in self.dispatcher.members.values() if m.missing_since is None]
        silent = [
            m for m in members if m.silent_since is not None and now - m.silent_since > CUT_OFF_S
        ]
        return bool(members) and 2 * len(silent) > len(members)

    # Workers

    def on_hosts(self, hosts: dict[str, Host]) -> None:
        """Take in the listed workers of the cell's failure domain."""
        now = self._clock()
        for host in hosts.values():
            if host.domain != self.cell:
                continue
            member = self.dispatcher.see_host(host)
            if member is not None:
                self._renew_now.set()
                self._watch(member)
        for name in list(self.dispatcher.members):
            if name not in hosts:
                self.dispatcher.miss_host(name, now)
        self.wake()

    def _watch(self, member: Member) -> None:
        former = self._holds.get(member.name)
        if former is not None:
            # A worker is listed again under its name while its last hold may still wait.
            former.cancel()
            self._ports[member.name].close()
        self._ports[member.name] = self._connect(member.host)
        self._holds[member.name] = asyncio.ensure_future(self._guard(self._hold_loop(member)))

    async def _hold_loop(self, member: Member) -> None:
        while self.dispatcher.members.get(member.name) is member:
            pause = await self._hold(member)
            self.wake()
            await asyncio.sleep(pause)
        self._holds.pop(member.name, None)
        self._ports.pop(member.name).close()

    async def _hold(self, member: Member) -> float:
        dispatcher, asked_at = self.dispatcher, self._clock()
        # A successor takes no lease to last longer than this holder's permission.
        hold_s = min(dispatcher.bounds.max_hold_s, self._permitted_s())
        # A lease that a silent worker may never hear of would only put off the proof of its lapse.
        extend = hold_s > 0 and member.silent_since is None
        lease = member.grant(asked_at, hold_s) if extend else None
        wait_ms = BUSY_WAIT_MS if member.runs else IDLE_WAIT_MS
        if member.serving and member.filling_cores > 0:
            wait_ms = SHARED_WAIT_MS
        soon = lease is None and hold_s > 0
        if soon:
            # The answer tells how far to extend the lease.
            wait_ms = 0
        try:
            snapshot = await self._ports[member.name].hold(
                dispatcher.epoch, dispatcher.cursor(member), lease, wait_ms
            )
        except (ConnectFailed, AnswerLost):
            dispatcher.on_silence(member.name, self._clock())
            return SILENT_PAUSE_S
        except OtherBoot:
            dispatcher.on_gone(member.name, self._clock())
            return 0.0
        usable = member.in_roster
        dispatcher.on_snapshot(member, snapshot, asked_at, self._clock())
        if usable and not member.in_roster:
            self._renew_now.set()
        if dispatcher.unknown and not self._resolving:
            self._resolving = True
            self._spawn(self._resolve_unknown())
        return 0.0 if soon else HOLD_PAUSE_S

    async def _resolve_unknown(self) -> None:
        """Look up the jobs that workers know and this holder doesn't."""
        try:
            while self.dispatcher.unknown and not self.loaded:
                await asyncio.sleep(TICK_S)
            for job_id in list(self.dispatcher.unknown):
                try:
                    stored = await read_job(self._store, job_id)
                except (PlatformDown, AnswerLost):
                    await asyncio.sleep(STORE_RETRY_S)
                    continue
                if stored is None:
                    self.dispatcher.forget_stray(job_id)
                else:
                    self._adopt(stored, by="listed run")
                    self.wake()
        finally:
            self._resolving = False

    # Orders

    async def _work_loop(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            began = self._clock()
            if self._permitted_s() > START_WINDOW_S:
                self.dispatcher.plan(began)
            took_s = self._clock() - began
            orders = self.dispatcher.orders
            while orders:
                self._carry_out(orders.popleft())
            if self.dispatcher.dirty:
                self._record.set()
            # Events that come together are planned for together.
            await asyncio.sleep(max(GATHER_EVENTS_S, PLAN_REST * took_s))

    def _carry_out(self, order: Order) -> None:
        if isinstance(order, AskAdvice):
            self._spawn(self._ask_advice(order))
            return
        port = self._ports.get(order.worker)
        if port is None:
            return
        match order:
            case StartTask():
                self._spawn(self._send_start(port, order))
            case StopTask():
                self._spawn(self._send_stop(port, order))
            case PaceTask():
                self._spawn(self._send_pace(port, order))

    async def _ask_advice(self, order: AskAdvice) -> None:
        asked_at, advice = self._clock(), None
        try:
            advice = await self._advise(order)
        except (ConnectFailed, AnswerLost) as exc:
            log(Event.ORDER_UNANSWERED, what="advice", job=order.job, step=order.step, error=exc)
        self.dispatcher.on_advice(order, advice, asked_at, self._clock())
        self.wake()

    async def _send_start(self, port: WorkerPort, order: StartTask) -> None:
        dispatcher = self.dispatcher
        try:
            result = await port.start(dispatcher.epoch, order)
        except ConnectFailed:
            dispatcher.on_start_unsent(order, self._clock())
        except AnswerLost:
            dispatcher.on_start_unanswered(order, self._clock())
        except OtherBoot:
            dispatcher.on_gone(order.worker, self._clock())
        else:
            dispatcher.on_start_result(order, result, self._clock())
        self.wake()

    async def _send_stop(self, port: WorkerPort, order: StopTask) -> None:
        try:
            await port.stop(self.dispatcher.epoch, order)
        except (ConnectFailed, AnswerLost, OtherBoot) as exc:
            log(Event.ORDER_UNANSWERED, what="stop", task=order.task, error=exc)
            return
        self.dispatcher.on_stop_answered(order, self._clock())

    async def _send_pace(self, port: WorkerPort, order: PaceTask) -> None:
        try:
            await port.pace(self.dispatcher.epoch, order)
        except (ConnectFailed, AnswerLost, OtherBoot) as exc:
            log(Event.ORDER_UNANSWERED, what="pace", task=order.task, error=exc)
            self.dispatcher.on_pace_failed(order)

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = self._clock()
            self.dispatcher.tick(now, self.confirmed_at)
            if self.loaded and self.dispatcher.fenced_all and not self.dispatcher.proven:
                await self._prove()
            if self.permitted() and self.loaded:
                self._balance.move_stranded(self.dispatcher, self._others.loads(self.cell), now)
            self.wake()

    # Records

    async def _record_loop(self, part: str) -> None:
        spacing_s = 0.0
        while True:
            await self._record.wait()
            gather_s = GATHER_S if self.dispatcher.urgent else RECORD_S
            await asyncio.sleep(max(gather_s, spacing_s))
            began = self._clock()
            if not await self._record_part(part):
                await asyncio.sleep(STORE_RETRY_S)
            spacing_s = min(RECORD_SPACING * (self._clock() - began), MAX_RECORD_S)
            if not self.dispatcher.dirty:
                self._record.clear()
                self.dispatcher.urgent = False

    async def _record_part(self, part: str) -> bool:
        """Write the changed rows of a part; tell whether the store answered."""
        dirty = self.dispatcher.dirty
        batch = [tracked for job, tracked in dirty.items() if part_of(job) == part][:MAX_ROWS]
        if not batch:
            return True
        changes = []
        for tracked in batch:
            del dirty[tracked.job.id]
            self._commits += 1
            tracked.progress.writer = f"{self.dispatcher.epoch}.{self._commits}"
            changes.append((tracked, tracked.change, tracked.progress.writer))
        checks = [Check(PROGRESS_TABLE, t.job.id, t.version) for t in batch]
        puts = [Put(PROGRESS_TABLE, t.job.id, t.progress.encode()) for t in batch]
        try:
            match await self._store.commit(part, checks, puts, []):
                case Committed(version):
                    for (tracked, change, _), put in zip(changes, puts, strict=True):
                        committed = decode_progress(put.value)
                        tracked.progress.confirm(committed)
                        self.dispatcher.note_recorded(tracked, change, version)
                        self._tell_others(tracked.job, committed, version)
                case Stale(rows):
                    self._reconcile(changes, rows)
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="record", rows=len(batch), error=exc)
            for tracked in batch:
                dirty[tracked.job.id] = tracked
            return False
        self.wake()
        return True

    def _tell_others(self, job: Job, committed: Progress, version: int) -> None:
        """Tell the other cells with tasks of a job; their feed would, a while later.

        Only what was committed: a move made since may be lost to another cell's commit.
        """
        for cell in other_cells(committed, self.cell):
            self._others.send(cell, StoredJob(job, committed, version))

    def _reconcile(self, changes: list[tuple[Tracked, int, str]], rows: list[Row]) -> None:
        """Take in the rows that another writer changed, and write the rest again."""
        found = {row.key: row for row in rows}
        for tracked, _, _ in changes:
            self.dispatcher.dirty[tracked.job.id] = tracked
            row = found.get(tracked.job.id)
            if row is None or row.version == tracked.version:
                continue
            progress = decode_progress_row(row)
            if progress is not None:
                self.dispatcher.refresh(tracked.job.id, progress, row.version, self._clock())

    # Jobs

    def offer(self, stored: StoredJob) -> None:
        """Take in a job that an entry just accepted or another cell just gave to this one.

        The message may have been held up, and the job given on by this cell since. Rows up to
        the version read were looked at, so an older one of a job that is not tracked is stale.
        """
        if stored.job.id in self.dispatcher.tracked:
            self._take_in(stored, "message")
        elif not self.loaded or stored.version <= self._read_version(stored.job.id):
            log(Event.JOB_OFFER_STALE, job=stored.job.id, version=stored.version, cell=self.cell)
        else:
            self._take_in(stored, "message")

    def _read_version(self, job_id: str) -> int:
        return max(self._feed_from, self._read_to.get(part_of(job_id), 0))

    def _take_in(self, stored: StoredJob, by: str) -> None:
        """Take in a job as its row stands."""
        if stored.job.id in self.dispatcher.tracked:
            self.dispatcher.refresh(stored.job.id, stored.progress, stored.version, self._clock())
        elif has_tasks_in(stored.progress, self.cell):
            self._adopt(stored, by=by)
        self.wake()

    def _adopt(self, stored: StoredJob, by: str) -> None:
        """Start to track a job, and log by what it became known."""
        if stored.job.id in self.dispatcher.tracked:
            return
        self.dispatcher.adopt(*stored, self._clock())
        tracked = self.dispatcher.tracked[stored.job.id]
        log(
            Event.JOB_ADOPTED,
            job=stored.job.id,
            cell=self.cell,
            epoch=self.dispatcher.epoch,
            version=stored.version,
            prior=tracked.prior,
            by=by,
            size=tracked.size_class,
        )

    def refresh(self, job_id: str, row: Row) -> None:
        """Take in a row that another writer changed."""
        progress = decode_progress_row(row)
        if progress is not None and job_id in self.dispatcher.tracked:
            self.dispatcher.refresh(job_id, progress, row.version, self._clock())
            self.wake()

    async def _load_jobs(self) -> None:
        """Read all jobs of the cell, then follow their rows."""
        while not self.loaded:
            try:
                stored, self._read_to = await read_all(self._store, self.cell, frozenset())
            except (PlatformDown, AnswerLost) as exc:
                log(Event.STORE_FAILED, what="load", error=exc)
                await asyncio.sleep(STORE_RETRY_S)
                continue
            self._feed_from = min(self._read_to.values())
            for found in stored:
                self._adopt(found, by="rows")
            self.loaded = True
            log(Event.CELL_LOADED, cell=self.cell, jobs=len(stored))
            self._renew_now.set()
            self.wake()
        while True:
            await self._follow()

    async def _follow(self) -> None:
        try:
            page = await self._store.feed(PROGRESS_TABLE, self._feed_from, FEED_WAIT_MS)
            for row in page.rows:
                await self._on_row(row)
        except HistoryLost:
            log(Event.FEED_RESTARTED, table=PROGRESS_TABLE, after=self._feed_from)
            await self._reload()
            return
        except (PlatformDown, AnswerLost) as exc:
            # The page is read again, so no row of it is missed.
            log(Event.STORE_FAILED, what="feed", error=exc)
            await asyncio.sleep(STORE_RETRY_S)
            return
        self._feed_from = max(self._feed_from, page.version)
        await asyncio.sleep(FEED_PAUSE_S)

    async def _prove(self) -> None:
        """Read the rows once more, now that no former holder can add to them unseen."""
        if await self._reload():
            self.dispatcher.note_rows_read()
            log(Event.CELL_PROVEN, cell=self.cell, by="rows")

    async def _on_row(self, row: Row) -> None:
        if row.key in self.dispatcher.tracked:
            self.refresh(row.key, row)
            return
        progress = decode_progress_row(row)
        if progress is None or progress.phase.final or not has_tasks_in(progress, self.cell):
            return
        stored = await read_job(self._store, row.key)
        if stored is not None:
            self._take_in(stored, "feed")

    async def _reload(self) -> bool:
        """Read all rows of the cell again; tell whether the store answered."""
        try:
            stored, self._read_to = await read_all(self._store, self.cell, self._known())
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="reload", error=exc)
            await asyncio.sleep(STORE_RETRY_S)
            return False
        self._feed_from = min(self._read_to.values())
        for found in stored:
            self._take_in(found, "rows")
        return True

    def _known(self) -> frozenset[str]:
        """Name the jobs whose end has not been seen."""
        tracked = self.dispatcher.tracked.items()
        return frozenset(job for job, each in tracked if not each.progress.phase.final)
