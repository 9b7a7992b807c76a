"""Runs a held cell: sends the dispatcher's orders, and passes it answers and store rows."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple, TypeVar

from curranthall.cells.advice import Advice
from curranthall.cells.balance import Balancer, CellLoads
from curranthall.cells.dispatcher import START_WINDOW_S, Dispatcher
from curranthall.cells.fleet import Member
from curranthall.cells.guard import GuardedPort, first_answer, guard
from curranthall.cells.open_starts import UNANSWERED_S
from curranthall.cells.owner import (
    CELL_PART,
    CELL_TABLE,
    DETAIL_TABLE,
    HANDOVER_SLACK_S,
    LEASE_SLACK_S,
    ORDER_LIMIT_S,
    RENEW_S,
    Details,
    MovedJobs,
    OpenStartRows,
    Owner,
    WaitingJobs,
    decode_details_row,
    decode_owner_row,
    longest_lease_s,
)
from curranthall.cells.ports import (
    AskAdvice,
    Order,
    PaceTask,
    Snapshot,
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
    read_job,
    read_part,
)
from curranthall.cells.share_loop import ShareLoop
from curranthall.cells.tracking import TrackedJob
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
from curranthall.values import MAX_WHOLE

Answer = TypeVar("Answer")

TICK_S = 0.1
# A worker that answers for the first time waits for a renewal; this delay lets one cover several.
CONFIRM_DELAY_S = 0.05
# The least pause between two plans, and the pause as a multiple of the last plan's duration:
# planning leaves half of the process's time to polls, starts and writes, however large the cell is.
MIN_PLAN_PAUSE_S = 0.003
PLAN_PAUSE_FACTOR = 1.0
# Holds (long polls of a worker): how long one may stay open, and the pause before the next.
BUSY_WAIT_MS = 1_000
IDLE_WAIT_MS = 2_000
# Tail latencies are polled more often where filling tasks share a worker with serving ones.
SHARED_WAIT_MS = 500
# While a stored row limits a worker's leases, or its token has to be raised, until the next renewal
# is confirmed.
LIMITED_WAIT_MS = 100
HOLD_PAUSE_S = 0.05
SILENT_PAUSE_S = 0.2
# The pause between the calls to a silent worker of which the next boot may execute a late start.
PROBE_PAUSE_S = 0.1
# The pause after an answer whose processing failed.
DEFECT_PAUSE_S = 1.0
# Delays that batch changes of progress rows: usual, and urgent (e.g. the end of a job).
RECORD_DELAY_S = 0.15
URGENT_DELAY_S = 0.01
# The pause after a write of progress rows, as a multiple of its duration: it leaves the parts of a
# slow store free for new jobs. The limit keeps the phases shown to callers fresh (3 s are allowed).
RECORD_PAUSE_FACTOR = 3.0
MAX_RECORD_PAUSE_S = 0.9
# The most jobs that are looked up at once; renewals and records share the store's connections.
LOOKUP_JOBS = 4
# The most rows in one write.
BATCH_ROWS = 45
STORE_RETRY_S = 0.2
# For how long a refused release is sent again: without it, successors wait as after a crash.
RELEASE_RETRY_S = 1.0
# The feed of progress rows: how long a read waits, and the pause that batches changes.
FEED_WAIT_MS = 1_500
FEED_PAUSE_S = 0.4
# Cells publish their interference estimates, and merge those of others, at this interval.
EXCHANGE_S = 3.0
# With more than half of the workers silent for this long, this entry counts as cut off.
CUT_OFF_S = 1.0


class TakenCell(NamedTuple):
    """The rows with which a cell was taken.

    `taken_at` is when the write was sent, `now_ms` the store's clock when it was committed.
    """

    owner: Owner
    version: int
    taken_at: float
    now_ms: int
    details: Details


class OtherCells(NamedTuple):
    """Access to the other cells: their loads, a way to send them jobs, and whether they count one.

    A cell counts a job from the version of its row on.
    """

    loads: Callable[[str], list[CellLoads]]
    send: Callable[[str, StoredJob], None]
    is_counted: Callable[[str, int], bool]


class CellRuntime:
    """The loops, worker connections and store writes of one held cell."""

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
        # The store's clock minus the local one, at most the delay of a call too large, if known.
        self._store_offset_ms: float | None = None
        self._note_store_clock(taken.now_ms, taken.taken_at)
        self._orders_end = self._bound_orders(taken.owner)
        self._store = store
        self._connect = connect
        self._clock = clock
        self._on_end = on_end
        self._on_renewed = on_renewed
        self._others = others
        self._advise = advise
        self._balancer = Balancer()
        self._share_loop = ShareLoop(
            self.cell,
            dispatcher.quota,
            store,
            clock,
            lambda: self._version,
            lambda: dispatcher.closed and not dispatcher.releasing,
            self.wake,
        )
        self._ports: dict[str, WorkerPort] = {}
        self._holds: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._record_now = asyncio.Event()
        self._renew_now = asyncio.Event()
        self._details = taken.details
        self._details_stored = True
        # By worker, the lease ends of all rows that may be stored now: no lease goes beyond them.
        self._lease_limits = taken.details.lease_limits
        # Workers with run ends in any row that may be stored now: they get no lease.
        self._unleased: set[str] = set()
        self._renewal_failed = False
        self._exchanged_at = 0.0
        self._commits = 0
        self._ended = False
        self._releasing = False
        # The version after which the feed has to be read; None while that is not known.
        self._feed_from: int | None = None
        # The version up to which the feed was read, and whether the last read of it failed.
        self._fed_to = 0
        self._feed_failed = False
        # By part, the store version up to which its rows were read.
        self._read_versions: dict[str, int] = {}
        # The parts whose rows have to be read, in this order; a part leaves it as its read begins.
        self._due_parts = dict.fromkeys(PARTS)
        self._part_in_reading: str | None = None
        self._parts_due = asyncio.Event()
        self._proof_requested = False
        self._resolving = False
        self._lookups = asyncio.Semaphore(LOOKUP_JOBS)
        self.loaded = False

    # Lifecycle

    def start(self) -> None:
        """Start the loops."""
        loops = (self._renew_loop, self._plan_loop, self._tick_loop, self._load_jobs)
        for loop in (*loops, self._share_loop.run):
            self._spawn(loop(), is_loop=True)
        for part in PARTS:
            self._spawn(self._record_loop(part), is_loop=True)
        for member in list(self.dispatcher.members.values()):
            self._start_holds(member)

    def end(self, why: str) -> None:
        """Stop all loops; running tasks continue until another entry takes the cell."""
        if self._ended:
            return
        self._ended = True
        log(Event.CELL_LOST, cell=self.cell, epoch=self.dispatcher.epoch, why=why)
        for task in [*self._tasks, *self._holds.values()]:
            task.cancel()
        for port in self._ports.values():
            port.close()
        self._on_end(self, why)
        self.dispatcher.log_open_starts(why, self._clock())

    async def release(self) -> None:
        """Write pending progress, then release the owner row for another entry to take."""
        self.dispatcher.closed = self.dispatcher.releasing = True
        self.dispatcher.doubt_new_runs(self._clock())
        for _ in range(3):
            if not self.dispatcher.dirty:
                break
            await asyncio.gather(*(self._record_part(part) for part in PARTS))
        # From here on a successor may hold the cell; it waits only for leases granted by now, so
        # nothing more is planned, held or started.
        self._releasing = True
        for hold in self._holds.values():
            hold.cancel()
        waiting = self._count_to_publish()
        released = self.owner._replace(
            holder="",
            load={},
            waiting=waiting.by_queue,
            fenced=self.dispatcher.is_fully_fenced,
            written_ms=self._store_ms(),
            workers=len(self.dispatcher.members),
            orders_until_ms=self._orders_until_ms(),
            counted_to=waiting.counted_to,
            moved=waiting.moved,
        )
        members, open_starts = self.dispatcher.members.values(), self._open_starts(0.0)
        details = self._details._replace(
            roster=self.dispatcher.roster(),
            lease_ends=self._lease_ends(members),
            unheard=tuple(member.name for member in members if not member.born),
            open_starts=open_starts,
            run_ends=self._run_ends(members, open_starts),
        )
        retry_until = self._clock() + RELEASE_RETRY_S
        while not await self._write_release(released, details) and self._clock() < retry_until:
            await asyncio.sleep(STORE_RETRY_S)
        self.end("released")

    async def _write_release(self, released: Owner, details: Details) -> bool:
        """Write the released row; return False if the store refused it."""
        try:
            await self._write_owner(released, details)
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="release", error=exc)
            return isinstance(exc, AnswerLost)
        return True

    def _lease_ends(self, members: Iterable[Member]) -> dict[str, int]:
        """Return by worker, if known, when its last lease is over, by the store's clock."""
        now, found = self._clock(), {}
        for member in members:
            end = self.dispatcher.lease_end(member, now)
            if end is None:
                continue
            # Nothing was granted beyond the limit: converting the time back only makes it later.
            stored = self._details.lease_ends
            known = [stored[member.name]] if member.name in stored else []
            known.extend(self._by_stores_clock(member, end).values())
            if known:
                found[member.name] = min(known)
        return found

    def _run_ends(self, members: Iterable[Member], open_starts: OpenStartRows) -> dict[str, int]:
        """Return by worker with open starts, if known, when its other runs are over.

        Only if a successor is told of all its open starts.
        """
        now, found = self._clock(), dict[str, int]()
        told = {(worker, task) for worker, task, *_ in open_starts}
        for member in members:
            end = self.dispatcher.run_end(member, now)
            if end is None or any((member.name, str(task)) not in told for task in end.open_tasks):
                continue
            ends = self._by_stores_clock(member, end.at)
            # A time that was handed over is copied; a former boot's tells nothing of this one.
            stored = {} if member.born else self._details.run_ends
            found |= {name: min(at, stored.get(name, at)) for name, at in ends.items()}
        return found

    def _open_starts(self, unanswered_s: float) -> OpenStartRows:
        """Return the starts that later boots may execute, if the store's clock is known."""
        offset_ms = self._store_offset_ms
        if offset_ms is None:
            return ()
        rows = self.dispatcher.list_open_starts(self._clock(), unanswered_s)
        return tuple(
            (row.worker, str(row.task), row.run, max(0, math.ceil(row.sent_at * 1000 + offset_ms)))
            for row in rows
        )

    def _lease_limit(self, member: Member) -> float:
        """Return the local time by which a worker's leases must be over."""
        end_ms = self._lease_limits.get(member.name)
        if end_ms is None:
            return math.inf
        if self._store_offset_ms is None:
            return -math.inf
        return (end_ms - self._store_offset_ms) / 1000 - HANDOVER_SLACK_S

    def can_order(self) -> bool:
        """Return whether this holder may still send orders."""
        return self._order_time_s() > 0

    def _order_time_s(self) -> float:
        """Return for how many seconds orders may still be sent and leases may last."""
        if self._releasing:
            return 0.0
        return min(self.confirmed_at + ORDER_LIMIT_S, self._orders_end) - self._clock()

    def _orders_until_ms(self) -> int:
        """Return until when orders may have effect if the cell is confirmed now; 0 if unknown."""
        if self._store_offset_ms is None:
            return 0
        over_at = self._clock() + ORDER_LIMIT_S + LEASE_SLACK_S + HANDOVER_SLACK_S
        return max(0, math.ceil(over_at * 1000 + self._store_offset_ms))

    def _bound_orders(self, owner: Owner) -> float:
        """Return the local time by which the last order is sent, as a stored row tells others."""
        if not owner.orders_until_ms:
            return math.inf
        if self._store_offset_ms is None:
            return -math.inf
        over_at = (owner.orders_until_ms - self._store_offset_ms) / 1000
        return over_at - LEASE_SLACK_S - HANDOVER_SLACK_S

    def waiting_jobs(self) -> dict[str, int]:
        """Return the number of jobs that have not begun, by queue."""
        return self.dispatcher.waiting_jobs() if self.loaded else self.owner.waiting

    def _count_to_publish(self) -> WaitingJobs:
        """Return the count of waiting jobs for the owner row.

        A holder that has just taken the cell goes on with the former count until it knows the jobs.
        """
        if not self.loaded:
            return WaitingJobs(self.owner.waiting, self.owner.counted_to, self.owner.moved)
        if self._due_parts or self._part_in_reading is not None:
            # The feed may have passed jobs that are still to be read.
            return self.count_waiting(self.owner.counted_to)
        return self.count_waiting(max(self._fed_to, min(self._read_versions.values())))

    def count_waiting(self, counted_to: int) -> WaitingJobs:
        """Count the jobs that have not begun, as of a version of the progress rows.

        While the feed fails, later ones that came by message count, too: others can't read them.
        """
        waiting = self.dispatcher.waiting_jobs(MAX_WHOLE if self._feed_failed else counted_to)
        return WaitingJobs(waiting, counted_to, self._list_moved())

    def _list_moved(self) -> tuple[MovedJobs, ...]:
        """Return the waiting jobs moved to cells that don't count them yet."""
        moves = self.dispatcher.job_moves
        for move in list(moves):
            if self._others.is_counted(move.cell, move.version):
                del moves[move]
        return tuple(
            MovedJobs(move.cell, move.version, move.queue, jobs) for move, jobs in moves.items()
        )

    def wake(self) -> None:
        """Request a planning round."""
        self._wake.set()

    def _spawn(self, coroutine: Awaitable[Any], is_loop: bool = False) -> None:
        task = asyncio.ensure_future(self._supervise(coroutine, is_loop))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _supervise(self, coroutine: Awaitable[Any], is_loop: bool = False) -> None:
        try:
            await coroutine
        except Fenced as exc:
            self.end(f"fenced by {exc}")
        except CurranthallError as exc:
            log(Event.LOOP_FAILED, where=self.cell, error=exc)
            if is_loop:
                self.end("defect")
        except Exception as exc:
            # End the cell so that another entry takes it: a bug must not leave it held and idle.
            log(Event.LOOP_FAILED, where=self.cell, error=repr(exc))
            self.end("defect")
            raise

    # Owner row

    async def _renew_loop(self) -> None:
        pause_s = RENEW_S
        while True:
            try:
                async with asyncio.timeout(pause_s):
                    await self._renew_now.wait()
                    await asyncio.sleep(CONFIRM_DELAY_S)
            except TimeoutError:
                pass
            self._renew_now.clear()
            # Others may take the cell as soon as the store is back.
            pause_s = RENEW_S if await self._renew() else STORE_RETRY_S

    def _note_store_clock(self, now_ms: int, sent_at: float) -> None:
        """Take the store's clock from the answer to a call; it is 0 in an answer without it."""
        if now_ms:
            self._store_offset_ms = now_ms - sent_at * 1000

    def _store_ms(self) -> int:
        """Return the store's clock, or 0 if it is unknown."""
        if self._store_offset_ms is None:
            return 0
        return int(self._clock() * 1000 + self._store_offset_ms)

    async def _renew(self) -> bool:
        """Renew the owner row, or give the cell up; return False when the store failed."""
        now = self._clock()
        if self._is_cut_off(now):
            await self.release()
            return True
        waiting = self._count_to_publish()
        renewed = self.owner._replace(
            load=self.dispatcher.load(now),
            waiting=waiting.by_queue,
            fenced=self.dispatcher.is_fully_fenced,
            written_ms=self._store_ms(),
            workers=len(self.dispatcher.members),
            orders_until_ms=self._orders_until_ms(),
            counted_to=waiting.counted_to,
            moved=waiting.moved,
        )
        limits, unleased = self._lease_limits, set(self._unleased)
        unheard = self._unheard_members(now)
        open_starts = self._open_starts(UNANSWERED_S)
        details = self._details._replace(
            roster=self.dispatcher.roster(),
            lease_ends=self._lease_ends(unheard) | self._departing_lease_ends(now),
            open_starts=open_starts,
            run_ends=self._run_ends(unheard, open_starts),
        )
        limited = details.lease_limits.keys()
        suspended = self.dispatcher.suspend(limited)
        boot_ids = self.dispatcher.boot_ids()
        for name in limited:
            boot_ids.pop(name, None)
        if now - self._exchanged_at >= EXCHANGE_S:
            self._exchanged_at = now
            details = details._replace(learned=self.dispatcher.interference.export_rows())
            self._spawn(self._learn_from_others())
        try:
            if await self._write_owner(renewed, details):
                self.confirmed_at = max(self.confirmed_at, now)
                self.dispatcher.raise_tokens(self._version)
                self.dispatcher.confirm_roster(boot_ids)
                self.wake()
            else:
                self.end("deposed")
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="renewal", error=exc)
            self._renewal_failed = True
            if isinstance(exc, PlatformDown):
                # Nothing was written, so it binds to nothing.
                self._lease_limits, self._unleased = limits, unleased
                self.dispatcher.confirm_roster(suspended)
            return False
        self._renewal_failed = False
        return True

    def _unheard_members(self, now: float) -> list[Member]:
        """Return the unheard workers whose lease ends a renewal stores."""
        return [each for each in self.dispatcher.unheard_members(now) if self._may_limit(each)]

    def _departing_lease_ends(self, now: float) -> dict[str, int]:
        """Return by departing worker, if known, until when its leases last without a renewal.

        It may exit right after this holder is lost, where a successor can't tell that from a cut.
        """
        longest_s = RENEW_S + longest_lease_s(self.dispatcher.bounds.lease_s)
        found: dict[str, int] = {}
        for member in self.dispatcher.departing_members():
            end = self.dispatcher.lease_end(member, now)
            if end is not None and self._may_limit(member):
                found |= self._by_stores_clock(member, max(end, now + longest_s))
        return found

    def _may_limit(self, member: Member) -> bool:
        """Return whether a renewal may store a worker's lease end.

        While renewals fail these are no more than before: the limits would outlast the outage.
        """
        return not self._renewal_failed or member.name in self._lease_limits

    def _by_stores_clock(self, member: Member, at: float) -> dict[str, int]:
        """Return a time by worker, by the store's clock if that is known."""
        if self._store_offset_ms is None:
            return {}
        end_ms = math.ceil((at + HANDOVER_SLACK_S) * 1000 + self._store_offset_ms)
        return {member.name: max(0, end_ms)}

    async def _learn_from_others(self) -> None:
        """Merge the interference estimates of the other cells."""
        listing = await self._store.scan(DETAIL_TABLE, CELL_PART)
        for row in listing.rows:
            if row.key != self.cell and row.value is not None:
                self.dispatcher.interference.import_rows(decode_details_row(row).learned)

    async def _write_owner(self, owner: Owner, details: Details) -> bool:
        """Write the owner row and changed details; return whether the cell is still held."""
        puts = [Put(CELL_TABLE, self.cell, owner.encode())]
        if details != self._details or not self._details_stored:
            puts.append(Put(DETAIL_TABLE, self.cell, details.encode()))
            # If the answer is lost, the row may have the old or the new details.
            self._details_stored = False
            self._limit_leases(details.lease_limits)
            self._unleased |= details.run_ends.keys()
        for _ in range(2):
            sent_at = self._clock()
            match await self._store.commit(
                CELL_PART, [Check(CELL_TABLE, self.cell, self._version)], puts, []
            ):
                case Committed(version, now_ms):
                    self._note_store_clock(now_ms, sent_at)
                    self._orders_end = self._bound_orders(owner)
                    self.owner, self._version = owner, version
                    self._details, self._details_stored = details, True
                    self._lease_limits = details.lease_limits
                    self._unleased = {*details.run_ends}
                    self._on_renewed(self.cell, owner, version)
                    return True
                case Stale(rows):
                    if not self._accept_own_renewal(rows):
                        return False
        return False

    def _limit_leases(self, lease_ends: dict[str, int]) -> None:
        """Limit leases also to those of a row that is about to be written."""
        limits = self._lease_limits
        self._lease_limits = limits | {
            name: min(end_ms, limits.get(name, end_ms)) for name, end_ms in lease_ends.items()
        }

    def _accept_own_renewal(self, rows: list[Row]) -> bool:
        """Accept an own renewal whose answer was lost; return whether there is one."""
        for row in rows:
            if row.key == self.cell:
                found = decode_owner_row(row)
                if found is not None and found[:4] == self.owner[:4]:
                    self._version = row.version
                    return True
        return False

    def _is_cut_off(self, now: float) -> bool:
        # Workers that have announced their shutdown fall silent when they exit.
        members = [member for member in self.dispatcher.members.values() if member.is_listed_live]
        silent = [
            m for m in members if m.silent_since is not None and now - m.silent_since > CUT_OFF_S
        ]
        return bool(members) and 2 * len(silent) > len(members)

    # Workers

    def on_hosts(self, hosts: dict[str, Host]) -> None:
        """Update the members from the list of all workers."""
        if self._releasing:
            return
        now = self._clock()
        for host in hosts.values():
            if host.domain != self.cell:
                continue
            member = self.dispatcher.update_host(host)
            if member is not None:
                self._start_holds(member)
        for name in list(self.dispatcher.members):
            if name not in hosts:
                self.dispatcher.mark_host_missing(name, now)
        self.wake()

    def _start_holds(self, member: Member) -> None:
        open_hold = self._holds.get(member.name)
        if open_hold is not None:
            # The worker is listed again while the hold of its former listing may still be open.
            open_hold.cancel()
            self._ports[member.name].close()
        self._ports[member.name] = GuardedPort(member.host, self._connect)
        self._holds[member.name] = asyncio.ensure_future(self._run_holds(member))

    async def _run_holds(self, member: Member) -> None:
        await self._supervise(self._hold_loop(member))

    async def _hold_loop(self, member: Member) -> None:
        while self.dispatcher.members.get(member.name) is member:
            try:
                pause = await self._hold(member)
            except Fenced:
                raise
            except Exception as exc:
                # A defect concerns this worker only; nothing is proven of it, and its runs stay.
                log(Event.LOOP_FAILED, where=f"{self.cell} {member.name}", error=repr(exc))
                self.dispatcher.on_silence(member.name, self._clock(), repr(exc))
                pause = DEFECT_PAUSE_S
            self.wake()
            await asyncio.sleep(pause)
        self._holds.pop(member.name, None)
        self._ports.pop(member.name).close()

    async def _hold(self, member: Member) -> float:
        dispatcher, asked_at = self.dispatcher, self._clock()
        # Successors assume that no lease outlasts the time in which this holder may send orders.
        hold_s = min(dispatcher.bounds.lease_s, self._order_time_s())
        # A later boot may carry this call out late, and extend what an open start has begun there.
        is_unleased = member.name in self._unleased
        # An extension that a silent worker may not receive would only delay the proof of its lapse.
        extend = hold_s > 0 and member.silent_since is None and not is_unleased
        limit = self._lease_limit(member)
        lease = member.grant(asked_at, hold_s, limit) if extend else None
        wait_ms = BUSY_WAIT_MS if member.runs else IDLE_WAIT_MS
        if member.serving and member.filling_cores > 0:
            wait_ms = SHARED_WAIT_MS
        if not member.is_fenced:
            wait_ms = SHARED_WAIT_MS if self._renewal_failed else LIMITED_WAIT_MS
        if is_unleased or limit < asked_at + hold_s:
            wait_ms = LIMITED_WAIT_MS
        is_unheard = member.silent_since is not None or not member.born
        retry_now = lease is None and hold_s > 0 and is_unheard
        if retry_now:
            # The answer has the worker's clock, on which the next lease is based.
            wait_ms = 0
        # A silent worker may have restarted, and a new boot numbers its ends from 1 again.
        cursor = dispatcher.cursor(member) if member.silent_since is None else 0
        cursor = member.next_cursor(cursor, asked_at)
        token = member.token
        try:
            if member.needs_probes(asked_at):
                (snapshot, token), asked_at = await self._probe(member)
            else:
                snapshot = await self._ports[member.name].hold(token, cursor, lease, wait_ms)
        except Fenced:
            if not dispatcher.is_outdated(member.name, token):
                raise
            return HOLD_PAUSE_S
        except (ConnectFailed, AnswerLost) as exc:
            if member.silent_since is None and member.has_open_start(asked_at):
                self._renew_now.set()
            dispatcher.on_silence(member.name, self._clock(), exc)
            return SILENT_PAUSE_S
        except OtherBoot:
            dispatcher.on_gone(member.name, self._clock())
            return 0.0
        born, was_silent = member.born, member.silent_since is not None
        if snapshot.born == born:
            member.answered_ack = max(member.answered_ack, cursor)
        dispatcher.on_snapshot(member, snapshot, asked_at, self._clock(), token)
        if member.born != born or (was_silent and member.name in self._lease_limits):
            self._renew_now.set()
        if dispatcher.unknown_jobs and not self._resolving:
            self._resolving = True
            self._spawn(self._resolve_unknown())
        return 0.0 if retry_now else HOLD_PAUSE_S

    async def _probe(self, member: Member) -> tuple[tuple[Snapshot, int], float]:
        """Return a silent worker's first answer, its token and when it was asked for."""
        port = self._ports[member.name]

        async def hold() -> tuple[Snapshot, int]:
            token = member.token
            return await port.hold(token, 0, None, 0), token

        return await first_answer(
            hold, self._clock, PROBE_PAUSE_S, lambda: member.needs_probes(self._clock())
        )

    async def _resolve_unknown(self) -> None:
        """Look up the jobs of listed runs and ends that this holder does not track."""
        try:
            failed: set[str] = set()
            while unknown := self.dispatcher.list_unknown_jobs():
                # Those whose read failed come again after the others.
                wanted = [each for each in unknown if self._is_read(each) and each not in failed]
                job_ids = wanted[:LOOKUP_JOBS]
                if not job_ids:
                    await asyncio.sleep(STORE_RETRY_S if failed else TICK_S)
                    failed.clear()
                    continue
                found = await asyncio.gather(*(self._resolve(job_id) for job_id in job_ids))
                failed.update(each for each, ok in zip(job_ids, found, strict=True) if not ok)
                self.wake()
        finally:
            self._resolving = False

    async def _resolve(self, job_id: str) -> bool:
        """Adopt a job, or stop its runs if it is not stored; return False if the store failed."""
        try:
            async with self._lookups:
                stored = await read_job(self._store, job_id)
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="unknown job", error=exc)
            return False
        if stored is None:
            self.dispatcher.stop_unknown_runs(job_id)
        else:
            self._adopt(stored, by="listed run")
        return True

    # Orders

    async def _plan_loop(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            began = self._clock()
            if self._order_time_s() > START_WINDOW_S:
                self.dispatcher.plan(began)
            took_s = self._clock() - began
            orders = self.dispatcher.orders
            while orders:
                self._send(orders.popleft())
            if self.dispatcher.dirty:
                self._record_now.set()
            # The pause lets one plan cover several events.
            await asyncio.sleep(max(MIN_PLAN_PAUSE_S, PLAN_PAUSE_FACTOR * took_s))

    def _send(self, order: Order) -> None:
        if isinstance(order, AskAdvice):
            self._spawn(self._ask_advice(order))
            return
        port = self._ports.get(order.worker)
        if port is None:
            return
        token = self.dispatcher.token(order.worker)
        match order:
            case StartTask():
                self._spawn(self._send_start(port, token, order))
            case StopTask():
                self._spawn(self._send_stop(port, token, order))
            case PaceTask():
                self._spawn(self._send_pace(port, token, order))

    async def _ask_advice(self, order: AskAdvice) -> None:
        asked_at, advice = self._clock(), None
        try:
            advice = await guard("advisor", lambda: self._advise(order))
        except (ConnectFailed, AnswerLost) as exc:
            log(Event.ORDER_UNANSWERED, what="advice", job=order.job, step=order.step, error=exc)
        self.dispatcher.on_advice(order, advice, asked_at, self._clock())
        self.wake()

    async def _unless_outdated(self, worker: str, token: int, call: Awaitable[Answer]) -> Answer:
        """Return an order's answer; raise ConnectFailed if this holder's newer calls fenced it."""
        try:
            return await call
        except Fenced as exc:
            if not self.dispatcher.is_outdated(worker, token):
                raise
            raise ConnectFailed(peer=worker, why="token raised since") from exc

    async def _send_start(self, port: WorkerPort, token: int, order: StartTask) -> None:
        dispatcher, asked_at = self.dispatcher, self._clock()
        try:
            answer = await self._unless_outdated(order.worker, token, port.start(token, order))
        except ConnectFailed:
            dispatcher.on_start_unsent(order, self._clock())
        except AnswerLost:
            dispatcher.on_start_unanswered(order, self._clock())
        except OtherBoot:
            dispatcher.on_gone(order.worker, self._clock(), order)
        else:
            now = self._clock()
            if dispatcher.note_clock(order.worker, answer.clock_ms, asked_at, now):
                self._renew_now.set()
            dispatcher.on_start_result(order, answer.result, now)
        self.wake()

    async def _send_stop(self, port: WorkerPort, token: int, order: StopTask) -> None:
        try:
            await self._unless_outdated(order.worker, token, port.stop(token, order))
        except (ConnectFailed, AnswerLost, OtherBoot) as exc:
            log(Event.ORDER_UNANSWERED, what="stop", task=order.task, error=exc)
            return
        self.dispatcher.on_stop_answered(order, self._clock())

    async def _send_pace(self, port: WorkerPort, token: int, order: PaceTask) -> None:
        try:
            await self._unless_outdated(order.worker, token, port.pace(token, order))
        except (ConnectFailed, AnswerLost, OtherBoot) as exc:
            log(Event.ORDER_UNANSWERED, what="pace", task=order.task, error=exc)
            self.dispatcher.on_pace_failed(order)

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = self._clock()
            self.dispatcher.tick(now, self.confirmed_at)
            if self.dispatcher.is_fully_fenced and not self._proof_requested:
                self._proof_requested = True
                self._request_rows(part for part in PARTS if self.dispatcher.needs_proof(part))
            if self.can_order() and self._read_versions:
                self._balancer.move_stranded(self.dispatcher, self._others.loads(self.cell), now)
            self.wake()

    # Progress rows

    async def _record_loop(self, part: str) -> None:
        pause_s = 0.0
        while True:
            await self._record_now.wait()
            delay_s = URGENT_DELAY_S if self.dispatcher.urgent else RECORD_DELAY_S
            await asyncio.sleep(max(delay_s, pause_s))
            began = self._clock()
            if not await self._record_part(part):
                await asyncio.sleep(STORE_RETRY_S)
            pause_s = min(RECORD_PAUSE_FACTOR * (self._clock() - began), MAX_RECORD_PAUSE_S)
            if not self.dispatcher.dirty:
                self._record_now.clear()
                self.dispatcher.urgent = False

    async def _record_part(self, part: str) -> bool:
        """Write the changed rows of a part; return False when the store failed."""
        dirty = self.dispatcher.dirty
        batch = [tracked for job, tracked in dirty.items() if part_of(job) == part][:BATCH_ROWS]
        if not batch:
            return True
        changes = []
        for tracked in batch:
            del dirty[tracked.job.id]
            self._commits += 1
            tracked.progress.writer = f"{self.dispatcher.epoch}.{self._commits}"
            is_given = bool(tracked.progress.uncommitted_job_move)
            tracked.progress.given_version = 0 if is_given else tracked.given_version
            changes.append((tracked, tracked.change, tracked.progress.writer))
        checks = [Check(PROGRESS_TABLE, t.job.id, t.version) for t in batch]
        puts = [Put(PROGRESS_TABLE, t.job.id, t.progress.encode()) for t in batch]
        try:
            match await self._store.commit(part, checks, puts, []):
                case Committed(version):
                    for (tracked, change, _), put in zip(changes, puts, strict=True):
                        committed = decode_progress(put.value)
                        self.dispatcher.confirm(tracked, committed, change, version)
                        self._send_to_others(tracked.job, committed, version)
                case Stale(rows):
                    self._reconcile(changes, rows)
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="record", rows=len(batch), error=exc)
            for tracked in batch:
                dirty[tracked.job.id] = tracked
            return False
        self.wake()
        return True

    def _send_to_others(self, job: Job, committed: Progress, version: int) -> None:
        """Send a committed row to the job's other cells, before they read it from their feeds.

        Uncommitted changes are left out: a commit of another cell may override a move.
        """
        for cell in other_cells(committed, self.cell):
            self._others.send(cell, StoredJob(job, committed, version))

    def _reconcile(self, changes: list[tuple[TrackedJob, int, str]], rows: list[Row]) -> None:
        """Merge the rows that another writer changed, and queue all changes for another write."""
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
        """Process a message about a job that an entry accepted or another cell moved here.

        The message may be delayed, and this cell may have moved the job on since. All rows up to
        the version read are known, so an older message about an untracked job is stale.
        """
        if stored.job.id in self.dispatcher.tracked:
            self._apply(stored, "message")
        elif self._is_stale(stored):
            log(Event.JOB_OFFER_STALE, job=stored.job.id, version=stored.version, cell=self.cell)
        else:
            self._apply(stored, "message")

    def _is_stale(self, stored: StoredJob) -> bool:
        """Return whether rows that were read, or will be, are newer than a message."""
        job_id = stored.job.id
        read = max(self._fed_to, self._read_versions.get(part_of(job_id), 0))
        return not self._is_read(job_id) or stored.version <= read

    def _is_read(self, job_id: str) -> bool:
        """Return whether the rows of a job's part were read."""
        return self.loaded or part_of(job_id) in self._read_versions

    def _apply(self, stored: StoredJob, by: str) -> None:
        """Refresh a job if it is tracked, or adopt it if this cell owns tasks of it."""
        if stored.job.id in self.dispatcher.tracked:
            self.dispatcher.refresh(stored.job.id, stored.progress, stored.version, self._clock())
        elif has_tasks_in(stored.progress, self.cell):
            self._adopt(stored, by=by)
        self.wake()

    def _adopt(self, stored: StoredJob, by: str) -> None:
        """Start to track a job; `by` names the source of the row in the log."""
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
            home=stored.progress.cell,
            begun=tracked.has_started,
            size=tracked.size_class,
            done=stored.progress.count_done(stored.job),
        )

    def refresh(self, job_id: str, row: Row) -> None:
        """Apply a progress row that another writer changed."""
        progress = decode_progress_row(row)
        if progress is not None and job_id in self.dispatcher.tracked:
            self.dispatcher.refresh(job_id, progress, row.version, self._clock())
            self.wake()

    async def _load_jobs(self) -> None:
        """Read the rows of the parts that are due, one at a time, and follow their feed."""
        failures, is_followed = 0, False
        while True:
            while not self._due_parts:
                self._parts_due.clear()
                await self._parts_due.wait()
            part = self._part_in_reading = next(iter(self._due_parts))
            del self._due_parts[part]
            try:
                await self._read_rows(part)
                failures = 0
            except (PlatformDown, AnswerLost) as exc:
                log(Event.STORE_FAILED, what="rows", part=part, error=exc)
                # It comes again after the others, which it must not hold up.
                self._request_rows([part])
                failures += 1
                if failures >= len(self._due_parts):
                    await asyncio.sleep(STORE_RETRY_S)
            self._part_in_reading = None
            if not is_followed and (self.loaded or failures):
                # A part that can't be read does not hold up the feed of the others.
                is_followed = True
                self._spawn(self._feed_loop(), is_loop=True)

    def _request_rows(self, parts: Iterable[str]) -> None:
        """Read the rows of parts, again if a read of them is under way."""
        for part in parts:
            self._due_parts.setdefault(part)
        self._parts_due.set()

    async def _read_rows(self, part: str) -> None:
        """Read and apply the rows of a part; they are proof if all workers were fenced before."""
        dispatcher, is_fenced = self.dispatcher, self.dispatcher.is_fully_fenced
        stored, version = await read_part(self._store, self.cell, part, self._is_known)
        self._read_versions[part] = max(version, self._read_versions.get(part, 0))
        # What the feed showed of jobs that were not known before may be newer than their rows.
        self._feed_after(version)
        for found in stored:
            if found.job.id in dispatcher.unknown_jobs:
                self._adopt(found, by="rows")
            else:
                self._apply(found, "rows")
        if is_fenced and dispatcher.needs_proof(part):
            dispatcher.note_rows_read((part,))
            if dispatcher.proven:
                log(Event.CELL_PROVEN, cell=self.cell, by="rows")
        if not self.loaded and len(self._read_versions) == len(PARTS):
            self.loaded = True
            log(
                Event.CELL_LOADED,
                cell=self.cell,
                epoch=dispatcher.epoch,
                jobs=len(dispatcher.tracked),
                waiting=dispatcher.waiting_jobs(),
            )
            self._renew_now.set()
        self.wake()

    def _is_known(self, job_id: str) -> bool:
        """Return whether a job is read though it may be finished or without tasks here."""
        tracked = self.dispatcher.tracked.get(job_id)
        if tracked is None:
            return job_id in self.dispatcher.unknown_jobs
        return not tracked.progress.phase.is_final

    def _feed_after(self, version: int) -> None:
        """Read the feed from a version on, or an earlier one that is due."""
        self._feed_from = version if self._feed_from is None else min(self._feed_from, version)

    async def _feed_loop(self) -> None:
        while True:
            if self._feed_from is None:
                await asyncio.sleep(TICK_S)
            else:
                await self._follow_feed(self._feed_from)

    async def _follow_feed(self, after: int) -> None:
        # Rows that are applied from here on set it.
        self._feed_from = None
        try:
            page = await self._store.feed(PROGRESS_TABLE, after, FEED_WAIT_MS)
            new = [row.key for row in page.rows if self._refresh_or_select(row)]
            for at in range(0, len(new), LOOKUP_JOBS):
                chunk = new[at : at + LOOKUP_JOBS]
                await asyncio.gather(*(self._apply_stored(job_id) for job_id in chunk))
        except HistoryLost:
            log(Event.FEED_RESTARTED, table=PROGRESS_TABLE, after=after)
            self._request_rows(PARTS)
            return
        except (PlatformDown, AnswerLost) as exc:
            # The page is read again, so no row is missed.
            self._feed_after(after)
            self._feed_failed = True
            log(Event.STORE_FAILED, what="feed", error=exc)
            await asyncio.sleep(STORE_RETRY_S)
            return
        self._fed_to, self._feed_failed = max(self._fed_to, page.version), False
        self._feed_after(max(after, page.version))
        await asyncio.sleep(FEED_PAUSE_S)

    def _refresh_or_select(self, row: Row) -> bool:
        """Refresh a tracked job; return True for another unfinished one with tasks here."""
        if row.key in self.dispatcher.tracked:
            self.refresh(row.key, row)
            return False
        progress = decode_progress_row(row)
        if progress is None or progress.phase.is_final:
            return False
        return has_tasks_in(progress, self.cell)

    async def _apply_stored(self, job_id: str) -> None:
        """Read and apply a job that the feed shows; if that fails, its part is read in its place.

        So the feed goes on with the jobs of other parts.
        """
        try:
            async with self._lookups:
                stored = await read_job(self._store, job_id)
        except (PlatformDown, AnswerLost) as exc:
            log(Event.STORE_FAILED, what="new job", job=job_id, error=exc)
            self._request_rows([part_of(job_id)])
            return
        if stored is not None:
            self._apply(stored, "feed")
