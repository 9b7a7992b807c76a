"""Batch work and replicas: claim blocks, start tasks, record ends, resume exactly once."""

from collections import defaultdict
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from typing import Any, NamedTuple

from curranthall.block import (
    BLOCK_PREFIX,
    QUEUE_PREFIX,
    Fact,
    Policy,
    TaskState,
    after_open,
    as_block,
    attempt_of,
    block_key,
    copy_of,
    customer_of,
    done_key,
    indices,
    is_cancelled,
    is_current,
    is_finished,
    is_obsolete,
    queue_key,
    split,
    startable,
    state_of,
    with_facts,
    with_waiting_ended,
)
from curranthall.config import PERMIT_S, Config
from curranthall.errors import AnswerLost, ConnectFailed, CurranthallError, Fenced, Refused
from curranthall.events import Event, log
from curranthall.ladder import Evict, Ladder, Throttle, Unthrottle
from curranthall.lease import LOST, Held, LeaseKeeper
from curranthall.model import (
    BlockRow,
    Change,
    Commit,
    HostState,
    Outcome,
    OutcomeKind,
    Report,
    Row,
    Size,
    StartOrder,
    Task,
)
from curranthall.placement import Candidate, Placer, Want
from curranthall.platform import Platform, commit_surely
from curranthall.roster import SUSPICION_S, Roster, preferred
from curranthall.rows import allows

COMMIT_S = 1.0
COMMIT_ROWS = 64
CLAIM_BLOCKS = 2
BACKLOG_TASKS = 4
CLAIM_AHEAD = 4
IDLE_BLOCK_S = 10.0
SHED_S = 2.0
IDLE_STEP_S = 1.0
STARTS_AT_ONCE = 32
SURVEY_S = 2.0
URGENT_BOOST = 1_000

Survey = dict[str, list[Task]]


class Placed(NamedTuple):
    """Where an attempt runs."""

    attempt: int
    worker: str


class Ended(NamedTuple):
    """A certain end that is not recorded yet, and the worker that holds its outcome."""

    outcome: Outcome
    held: Held | None
    at: float


class Leaving(NamedTuple):
    """A release on its way: tasks from `middle` on don't start while the row has this version."""

    version: int
    middle: int


class Adoption(NamedTuple):
    """A block taken over whose running tasks are not known yet."""

    at: float
    not_before: float
    clean: bool


class Dispatcher:
    """Run the blocks that this entry holds on the workers that it holds."""

    def __init__(
        self,
        entry_id: str,
        incarnation: int,
        domain: str,
        clock: Callable[[], float],
        wall: Callable[[], float],
        new_txn: Callable[[], str],
        config: Config,
        roster: Roster,
        platform: Platform,
        placer: Placer,
        survey_peers: Callable[[str], Awaitable[Survey]],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._id = entry_id
        self._incarnation = incarnation
        self._domain = domain
        self._clock = clock
        self._wall = wall
        self._new_txn = new_txn
        self._config = config
        self._roster = roster
        self._platform = platform
        self.placer = placer
        self._ladder = Ladder(placer.interference)
        self._survey_peers = survey_peers
        self._spawn = spawn
        self.keeper: LeaseKeeper
        self._ends: dict[tuple[str, Task], Ended] = {}
        # Blocks whose running tasks are known: claimed from the queue, or recovered.
        self._trusted: set[str] = set()
        self._placed: dict[tuple[str, int], Placed] = {}
        self._adopting: dict[str, Adoption] = {}
        self._committed_at = float("-inf")
        self._surveyed_at = float("-inf")
        self._since = clock()
        self.draining = False
        self.listed_at = float("-inf")
        self._due = {"workers": True, "table": True}
        self._stepped_at = {"workers": float("-inf"), "table": float("-inf")}
        self._leaving: dict[str, Leaving] = {}
        self._busy_at: dict[str, float] = {}
        self._shed_at: dict[str, tuple[int, float]] = {}
        self.reasons: dict[str, str] = {}
        self.counts: dict[str, int] = defaultdict(int)

    # What the workers tell

    def on_outcome(self, held: Held, task: Task, outcome: Outcome) -> None:
        """Take in the certain end of an attempt on a worker that this entry holds."""
        domain = held.host.domain
        self._config.also_follow(f"{BLOCK_PREFIX}{domain}/")
        known = self._ends.get((domain, task))
        if known is None:
            self.touch()
            log(Event.TASK_ENDED, task=task, worker=held.host.name, how=outcome.kind.value)
            row = self._block_of(domain, task)[1]
            cls = "" if row is None else row["cls"]
            self.placer.ended(held.host.name, cls, outcome, self._clock())
        if known is None or known.outcome.kind is OutcomeKind.LOST:
            self._ends[(domain, task)] = Ended(outcome, held, self._clock())

    def on_report(self, held: Held, report: Report) -> None:
        """Learn from a report and act on a service that is slowed down."""
        self.placer.observe(report)
        if held.lease is None:
            return
        action = self._ladder.decide(held.host.name, report, held.lease.running, self._clock())
        match action:
            case Throttle(task):
                log(Event.TASK_THROTTLED, task=task, worker=held.host.name, on=True)
                self.keeper.throttle_soon(held, task, True)
            case Unthrottle(task):
                log(Event.TASK_THROTTLED, task=task, worker=held.host.name, on=False)
                self.keeper.throttle_soon(held, task, False)
            case Evict(task):
                log(Event.TASK_EVICTING, task=task, worker=held.host.name, why="interference")
                self.counts["evictions"] += 1
                self.keeper.stop_soon(held, task)

    def on_gone(self, worker: str) -> None:
        """Take the platform's word that a worker is no more."""
        held = self.keeper.workers[worker]
        tasks = {
            Task(job, index, placed.attempt)
            for (job, index), placed in self._placed.items()
            if placed.worker == worker
        }
        for task in sorted(tasks | held.suspects):
            self.on_outcome(held, task, LOST)
        held.suspects.clear()

    def own_survey(self, domain: str) -> Survey:
        """List the attempts that may be on the workers of a domain that this entry holds."""
        return {
            held.host.name: sorted(held.lease.tasks())
            for held in self.keeper.held()
            if held.host.domain == domain and held.lease is not None
        }

    # One round

    def touch(self) -> None:
        """Note that something changed, so that the next steps look at it."""
        self._due = {"workers": True, "table": True}

    def _is_due(self, step: str) -> bool:
        """Tell whether a step has something to look at; time alone makes it due, but seldom."""
        now = self._clock()
        due = self._due[step] or self.draining or now - self._stepped_at[step] >= IDLE_STEP_S
        if due:
            self._due[step] = False
            self._stepped_at[step] = now
        return due

    def step_workers(self) -> None:
        """Stop what must not run and start what may; waits for nothing."""
        if not self._is_due("workers"):
            return
        self._note_placed()
        self._clear_workers()
        if not self.draining:
            self._start_tasks()

    async def step_table(self) -> None:
        """Record ends, recover, release, adopt and claim blocks."""
        if not self._is_due("table"):
            return
        await self._commit_facts()
        await self._recover()
        await self._check_elsewhere()
        await self._release_blocks()
        if not self.draining:
            await self._adopt_blocks()
            await self._claim_blocks()

    def mine(self) -> Iterator[tuple[str, BlockRow]]:
        """Give the blocks that this entry holds."""
        for key, row in self._config.mirror.under(BLOCK_PREFIX):
            if self._is_mine(as_block(row)):
                yield key, as_block(row)

    def _is_mine(self, row: BlockRow) -> bool:
        return row["holder"] == self._id and row["incarnation"] == self._incarnation

    def _note_placed(self) -> None:
        for held in self.keeper.workers.values():
            if held.lease is None:
                continue
            for task in held.lease.tasks():
                known = self._placed.get(task.key)
                # A worker may still hold the outcome of an attempt that is long superseded.
                if known is None or known.attempt <= task.attempt:
                    self._placed[task.key] = Placed(task.attempt, held.host.name)

    def _placed_in(self, key: str, row: BlockRow) -> set[int]:
        found = set()
        for index in indices(row):
            placed = self._placed.get((row["job"], index))
            if placed is None:
                continue
            over = placed.attempt < attempt_of(row, index)
            if over or state_of(row, index) is not TaskState.OPEN:
                del self._placed[(row["job"], index)]
            else:
                found.add(index)
        # An end that is known but not recorded keeps its task from starting again.
        found |= {task.number for task in self._ends_in(key, row) if is_current(row, task)}
        return found

    # Stop what must not run

    def _clear_workers(self) -> None:
        for held in self.keeper.held():
            lease = held.lease
            assert lease is not None
            out = self._must_empty(held)
            for task in lease.running.keys() - lease.stopping:
                verdict = self._verdict(held, task, out)
                if verdict is not None:
                    self.keeper.stop_soon(held, task, finish=verdict)

    def _must_empty(self, held: Held) -> bool:
        known = bool(self._config.rows("domain"))
        out = known and not self._config.domain_in(held.host.domain)
        return out or held.host.state is HostState.LEAVING

    def _verdict(self, held: Held, task: Task, out: bool) -> bool | None:
        """Tell whether a task must stop (None: no), and whether that finishes it."""
        domain = held.host.domain
        assert held.lease is not None
        row = self._block_of(domain, task)[1]
        if self._is_past(domain, row, task, held.lease.learned_at):
            log(Event.ORPHAN_STOPPED, task=task, worker=held.host.name)
            return False
        if row is None or not is_current(row, task):
            return None
        if row["closed"]:
            return True
        if out and row["service"] and held.inflight:
            return None
        if out or is_cancelled(row, task.number):
            log(Event.TASK_EVICTING, task=task, worker=held.host.name)
            self.counts["evictions"] += 1
            return False
        return None

    def _is_past(self, domain: str, row: BlockRow | None, task: Task, learned_at: float) -> bool:
        """Tell whether the table has certainly gone past an attempt seen on a worker."""
        if row is not None:
            return is_obsolete(row, task)
        # A claim is committed before a start, so only a read after the attempt was seen counts.
        read_since = self._config.confirmed_at > learned_at
        return read_since and f"{BLOCK_PREFIX}{domain}/" in self._config.prefixes

    def _block(self, key: str) -> BlockRow | None:
        row = self._config.mirror.value(key)
        return None if row is None else as_block(row)

    def _block_of(self, domain: str, task: Task) -> tuple[str, BlockRow | None]:
        """Find the claimed block that a task on a domain's worker belongs to."""
        for key, row in self._config.mirror.beside(f"{BLOCK_PREFIX}{domain}/{task.job}"):
            if task.number in indices(as_block(row)):
                return key, as_block(row)
        return "", None

    def _ends_in(self, key: str, row: BlockRow) -> dict[Task, Ended]:
        """Give the ends of a block's tasks that are not recorded yet."""
        domain, within = key.split("/")[1], indices(row)
        return {
            task: ended
            for (place, task), ended in self._ends.items()
            if place == domain and task.job == row["job"] and task.number in within
        }

    # Record ends

    async def _commit_facts(self) -> None:
        now = self._clock()
        if now - self._committed_at < COMMIT_S:
            self._due["table"] |= bool(self._ends)
            return
        self._acknowledge_past()
        keys = {self._block_of(domain, task)[0] for domain, task in self._ends}
        keys |= {key for key, _ in self.mine()}
        batch = dict(list(self._changed_rows(sorted(keys)).items())[:COMMIT_ROWS])
        if not batch:
            return
        self._committed_at = now
        if not await self._commit_rows(batch) and len(batch) > 1:
            # One row that another entry changed must not hold up the others.
            for key in batch:
                await self._commit_rows(self._changed_rows([key]))

    def _changed_rows(self, keys: list[str]) -> dict[str, BlockRow]:
        changed = {}
        for key in keys:
            row = self._block(key)
            if row is None:
                continue
            facts = [Fact(task, end.outcome) for task, end in self._ends_in(key, row).items()]
            new = with_facts(row, facts, self._policy(row))
            if self._is_mine(row) and key in self._trusted:
                new = with_waiting_ended(new, self._placed_in(key, row))
            if new != row or is_finished(new):
                changed[key] = new
        return changed

    def _acknowledge_past(self) -> None:
        past = {}
        for (domain, task), ended in list(self._ends.items()):
            if self._is_past(domain, self._block_of(domain, task)[1], task, ended.at):
                past[task] = self._ends.pop((domain, task))
        self._acknowledge(past)

    async def _commit_rows(self, rows: dict[str, BlockRow]) -> bool:
        if not rows:
            return True
        writes: dict[str, Row | None] = {}
        ends = {}
        for key, row in rows.items():
            ends[key] = self._ends_in(key, row)
            writes[key] = row
            if is_finished(row):
                writes[key] = None
                writes[done_key(row["job"], row["first"])] = row
        if not await self._commit(writes, list(rows)):
            return False
        for key, row in rows.items():
            if is_finished(row):
                log(Event.BLOCK_DONE, block=key)
            for task in ends[key]:
                self._ends.pop((key.split("/")[1], task), None)
            self._acknowledge(ends[key])
        return True

    async def _commit(self, writes: dict[str, Row | None], checked: list[str]) -> bool:
        """Commit against the versions known now; the rows must have been read since the last wait.

        A row read before a wait and committed with the version known after it would
        overwrite what another entry wrote meanwhile.
        """
        mirror = self._config.mirror
        commit = Commit(self._new_txn(), {key: mirror.version(key) for key in checked}, writes)
        try:
            result = await commit_surely(self._platform, commit)
        except CurranthallError:
            return False
        if result.is_err():
            log(Event.COMMIT_CONFLICT, keys=",".join(checked))
            return False
        self.touch()
        for key, value in writes.items():
            mirror.take(Change(key, result.unwrap(), commit.txn, value))
        return True

    def _acknowledge(self, ends: dict[Task, Ended]) -> None:
        by_worker: dict[str, list[Task]] = defaultdict(list)
        for task, (_, held, _) in ends.items():
            if held is not None and held.lease is not None and task in held.lease.outcomes:
                by_worker[held.host.name].append(task)
        for name, tasks in by_worker.items():
            self.keeper.acknowledge_soon(self.keeper.workers[name], tasks)

    # Take over

    async def _adopt_blocks(self) -> None:
        now = self._clock()
        if now - self._since < 2 * SUSPICION_S or not self._config.may_start(self._domain):
            return
        if not self._usable():
            return
        prefix = f"{BLOCK_PREFIX}{self._domain}/"
        for key in [key for key, _ in self._config.mirror.under(prefix)]:
            row = self._block(key)
            if row is not None and self._is_orphan(row) and self._preferred(key, row):
                await self._adopt(key, row)

    def _is_orphan(self, row: BlockRow) -> bool:
        holder = row["holder"]
        if holder is None:
            return True
        if holder == self._id:
            return row["incarnation"] != self._incarnation
        peer = self._roster.peers.get(holder)
        if peer is None or not self._roster.is_live(holder):
            return True
        return row["incarnation"] < peer.beat["incarnation"]

    async def _adopt(self, key: str, row: BlockRow) -> None:
        new = copy_of(row)
        new["holder"], new["incarnation"], new["clean"] = self._id, self._incarnation, False
        clean = row["holder"] is None and row["clean"]
        self._trusted.discard(key)
        if not await self._commit({key: new}, [key]):
            return
        log(Event.BLOCK_TAKEN_OVER, block=key, of=row["holder"], clean=clean)
        wait = 0.0 if clean else PERMIT_S
        now = self._clock()
        self._adopting[key] = Adoption(now, now + wait, clean)

    async def _recover(self) -> None:
        now = self._clock()
        for key, _ in self.mine():
            if key not in self._trusted and key not in self._adopting:
                # An adoption whose answer was lost: what runs of it is not known either.
                self._adopting[key] = Adoption(now, now + PERMIT_S, False)
        # The list must be as new as the adoption, or a worker of the past holder might be missing.
        due = [
            key
            for key, adoption in self._adopting.items()
            if now >= adoption.not_before and self.listed_at >= adoption.at
        ]
        if not due or now - self._surveyed_at < SURVEY_S / 4:
            return
        self._surveyed_at = now
        for domain in sorted({key.split("/")[1] for key in due}):
            found, missing = await self._survey(domain)
            for key in due:
                if key.split("/")[1] == domain:
                    self._recovered(key, found, missing)

    async def _survey(self, domain: str) -> tuple[Survey, list[str]]:
        """Ask who runs what; name the workers of the domain that nobody vouches for."""
        found = {**await self._survey_peers(domain), **self.own_survey(domain)}
        missing = [
            name
            for name, held in self.keeper.workers.items()
            if held.host.domain == domain
            and held.host.state is not HostState.GONE
            and name not in found
        ]
        return found, missing

    def _recovered(self, key: str, found: Survey, missing: list[str]) -> None:
        row = self._block(key)
        if row is None or row["holder"] != self._id:
            del self._adopting[key]
            return
        if missing:
            self.reasons[key] = "waiting for proof: " + ",".join(sorted(missing))
            log(Event.BLOCK_WAITS_FOR_PROOF, block=key, workers=",".join(sorted(missing)))
            return
        adoption = self._adopting.pop(key)
        self._trusted.add(key)
        self.touch()
        self.reasons.pop(key, None)
        seen = {task: worker for worker, tasks in found.items() for task in tasks}
        for task, worker in seen.items():
            if task.job == row["job"] and task.number in indices(row):
                self._placed[task.key] = Placed(task.attempt, worker)
        log(Event.BLOCK_RECOVERED, block=key, running=len(seen))
        # A clean release names what it had started; the rest never ran under its attempt.
        doubtful = row["started"] if adoption.clean else list(indices(row))
        self._lose_absent(key, row, set(seen), doubtful)

    def _lose_absent(self, key: str, row: BlockRow, seen: set[Task], doubtful: list[int]) -> None:
        for index in doubtful:
            task = Task(row["job"], index, attempt_of(row, index))
            if is_current(row, task) and state_of(row, index) is TaskState.OPEN:
                if task not in seen:
                    domain = key.split("/")[1]
                    self._ends.setdefault((domain, task), Ended(LOST, None, self._clock()))

    async def _check_elsewhere(self) -> None:
        """Resolve tasks that were started here and whose worker another entry holds now."""
        now = self._clock()
        if now - self._surveyed_at < SURVEY_S:
            return
        held = {name for name, w in self.keeper.workers.items() if w.lease is not None}
        elsewhere = [
            (Task(job, index, placed.attempt), placed.worker)
            for (job, index), placed in self._placed.items()
            if placed.worker not in held
        ]
        if not elsewhere:
            return
        self._surveyed_at = now
        found = await self._survey_peers(self._domain)
        for task, worker in elsewhere:
            # The task may have been started anew while the answers were on their way.
            moved = self._placed.get(task.key) != Placed(task.attempt, worker)
            if not moved and worker in found and task not in found[worker]:
                self._end_elsewhere(task, worker)

    def _end_elsewhere(self, task: Task, worker: str) -> None:
        self._placed.pop(task.key, None)
        row = self._block_of(self._domain, task)[1]
        if row is not None and is_current(row, task):
            end = Ended(LOST, None, self._clock())
            self._ends.setdefault((self._domain, task), end)

    # Let go

    async def _release_blocks(self) -> None:
        for key in [key for key, _ in self.mine()]:
            row = self._block(key)
            if row is None or not self._is_mine(row):
                continue
            if key not in self._trusted or self._ends_in(key, row):
                continue
            if self._placed_in(key, row):
                self._busy_at[key] = self._clock()
            if self.draining:
                await self._hand_back(key, row)
            elif not self._placed_in(key, row):
                await self._let_go(key, row)
            elif not row["service"]:
                await self._shed(key, row)

    async def _shed(self, key: str, row: BlockRow) -> None:
        """Give the waiting end of a block back when it has found no room here for a while."""
        placed = self._placed_in(key, row)
        middle = max(placed) + 1
        waiting = sum(1 for task, _ in startable(row, placed) if task.number >= middle)
        now = self._clock()
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
        self._leaving[key] = Leaving(self._config.mirror.version(key), middle)
        if await self._commit(writes, list(writes)):
            log(Event.BLOCK_RELEASED, block=key, from_=middle, to=to)

    def _is_leaving(self, key: str, task: Task) -> bool:
        mark = self._leaving.get(key)
        if mark is None:
            return False
        if mark.version != self._config.mirror.version(key):
            del self._leaving[key]
            return False
        return task.number >= mark.middle

    async def _let_go(self, key: str, row: BlockRow) -> None:
        """Give up a block of which nothing runs, when it can't go on here."""
        domain_in = self._config.domain_in(key.split("/")[1])
        if row["service"]:
            if domain_in and not self._usable() and self._idle(key):
                await self._hand_back(key, row)
        elif not domain_in or self._idle(key):
            await self._requeue(key, row)

    def _idle(self, key: str) -> bool:
        """Tell whether nothing of a block has run for a while."""
        now = self._clock()
        return now - self._busy_at.setdefault(key, now) > IDLE_BLOCK_S

    async def _hand_back(self, key: str, row: BlockRow) -> None:
        new = copy_of(row)
        new["holder"], new["clean"] = None, True
        new["started"] = sorted(self._placed_in(key, row))
        await self._release(key, row["first"], {key: new}, key)

    async def _requeue(self, key: str, row: BlockRow) -> None:
        new = copy_of(row)
        new["holder"], new["clean"] = None, True
        self._busy_at.pop(key, None)
        back = queue_key(row["job"], row["first"])
        await self._release(key, row["first"], {key: None, back: new}, back)

    # Claim

    async def _claim_blocks(self) -> None:
        if not self._config.may_start(self._domain) or not self._usable():
            return
        if self._backlog() >= BACKLOG_TASKS:
            return
        queued = [(key, as_block(row)) for key, row in self._config.mirror.under(QUEUE_PREFIX)]
        wanted = [
            (key, row) for key, row in queued if self._admits(row) and self._preferred(key, row)
        ]
        cores = self.cores_by_customer()
        wanted.sort(key=lambda item: self._urgency(item[1], cores))
        keys = [key for key, _ in wanted[:CLAIM_BLOCKS]]
        if keys and not await self._claim(keys) and len(keys) > 1:
            for key in keys:
                await self._claim([key])

    async def _claim(self, keys: list[str]) -> bool:
        writes: dict[str, Row | None] = {}
        claimed = []
        for key in keys:
            row = self._block(key)
            if row is None:
                continue
            middle = after_open(row, self._room_for(row) + CLAIM_AHEAD)
            head, tail = split(row, middle)
            head["holder"], head["incarnation"] = self._id, self._incarnation
            head["clean"] = False
            writes[key] = None
            claimed.append(block_key(self._domain, row["job"], row["first"]))
            writes[claimed[-1]] = head
            if tail["count"]:
                writes[queue_key(row["job"], middle)] = tail
        self._trusted.update(claimed)
        if not writes:
            return True
        if not await self._commit(writes, list(writes)):
            return False
        for key in claimed:
            log(Event.BLOCK_CLAIMED, block=key)
        return True

    def _room_for(self, row: BlockRow) -> int:
        """Count how many more tasks of a block's class the held workers can take."""
        spec = self._class_row(row)
        if spec is None:
            return 0
        cores = spec["cores"]
        return sum(int(held.room().cores / cores) for held in self._usable())

    def _backlog(self) -> int:
        total = 0
        for key, row in self.mine():
            total += sum(1 for _ in startable(row, self._placed_in(key, row)))
        return total

    def _admits(self, row: BlockRow) -> bool:
        spec = self._class_row(row)
        return spec is not None and allows(spec["domains"], self._domain)

    def _preferred(self, key: str, row: BlockRow) -> bool:
        """Spread claims: of the entries that can start tasks, one is first for each block."""
        abroad = key.startswith(QUEUE_PREFIX)
        able = [
            peer.beat["id"]
            for peer in self._roster.live()
            if peer.beat["ready"] and peer.beat["workers"]
            if abroad or peer.beat["domain"] == self._domain
            if self._config.domain_in(peer.beat["domain"])
        ]
        if row["service"]:
            # Replicas go round the holders, so that they end up on different workers.
            ring = sorted([*able, self._id])
            first = ring.index(preferred(row["job"], ring))
            return ring[(first + row["first"]) % len(ring)] == self._id
        return preferred(key, [*able, self._id]) == self._id

    def _urgency(self, row: BlockRow, cores: dict[str, float]) -> tuple[float, float, float]:
        """Order by priority, then by the customer's use against its weight, then by deadline."""
        spec = self._class_row(row)
        if spec is None:
            return (0.0, 0.0, row["deadline"])
        boost = URGENT_BOOST if spec.get("kind") == "urgent" or row["service"] else 0
        customer = self._config.rows("customer").get(row["customer"])
        weight = 1.0 if customer is None else customer["weight"]
        used = cores.get(row["customer"], 0.0) / weight
        return (-(spec.get("priority", 100) + boost), used, row["deadline"])

    # Start

    def _start_tasks(self) -> None:
        if not self._config.may_start(self._domain):
            return
        started = 0
        for want, row in self._wants():
            held = self._place(want)
            if held is None:
                continue
            order = self._order(want, row)
            seq = self.keeper.reserve(held, order)
            self._placed[order.task.key] = Placed(order.task.attempt, held.host.name)
            self._spawn(self._start(held, order, seq))
            started += 1
            if started >= STARTS_AT_ONCE:
                return

    def _wants(self) -> list[tuple[Want, BlockRow]]:
        found: list[tuple[Want, BlockRow]] = []
        now = self._clock()
        cores = self.cores_by_customer()
        mine = [(key, row) for key, row in self.mine() if key in self._trusted]
        for key, row in sorted(mine, key=lambda item: self._urgency(item[1], cores)):
            spec = self._class_row(row)
            if spec is None or self.placer.backed_off(row["cls"], now):
                continue
            if not row["service"] and self._over_quota(row["customer"], cores, spec["cores"]):
                self.reasons[key] = "quota of customer " + row["customer"]
                continue
            declared = Size(spec["cores"], spec["memory"], spec["accelerators"])
            urgent = spec.get("kind") == "urgent"
            for task, checkpoint in startable(row, self._placed_in(key, row)):
                if self._is_leaving(key, task):
                    break
                want = Want(task, row["cls"], row["service"], declared, urgent, checkpoint)
                found.append((want, row))
                if len(found) >= STARTS_AT_ONCE * 2:
                    return found
        return found

    def cores_by_customer(self) -> dict[str, float]:
        """Add up the batch cores that run for each customer on the held workers."""
        cores: dict[str, float] = defaultdict(float)
        for held in self.keeper.held():
            assert held.lease is not None
            sizes = {task: (run.service, run.size) for task, run in held.lease.running.items()}
            for task, (_, order) in held.lease.pending.items():
                sizes[task] = (order.service, order.size)
            for task, (service, size) in sizes.items():
                if not service:
                    cores[customer_of(task.job)] += size.cores
        return dict(cores)

    def _over_quota(self, customer: str, own: dict[str, float], cores: float) -> bool:
        row = self._config.rows("customer").get(customer)
        if row is None:
            return False
        others = sum(p.beat["cores"].get(customer, 0.0) for p in self._roster.live())
        return own.get(customer, 0.0) + others + cores > row["quota_cores"]

    def _place(self, want: Want) -> Held | None:
        by_name = {held.host.name: held for held in self._usable()}
        if not by_name:
            return None
        size = self.placer.reservation(want)
        candidates = [self._candidate(held) for held in by_name.values()]
        name = self.placer.choose(want, size, candidates, self._clock())
        key = f"{want.task.job}/{want.task.number}"
        if name is None:
            totals = [worker.host.size for worker in self.keeper.workers.values()]
            if key not in self.reasons and not any(size.fits(total) for total in totals):
                log(Event.TASK_NEVER_FITS, task=want.task, cores=size.cores, memory=size.memory)
            self.reasons[key] = self.placer.why_not(size, totals)
            if want.urgent or want.service:
                self._make_room(want, size, candidates, by_name)
            return None
        self.reasons.pop(key, None)
        return by_name[name]

    def _usable(self) -> list[Held]:
        return [
            held
            for held in self.keeper.held()
            if held.host.domain == self._domain and held.host.state is HostState.LIVE
        ]

    def _candidate(self, held: Held) -> Candidate:
        lease = held.lease
        assert lease is not None
        classes = [run.service or run.cls for run in lease.running.values()]
        classes += [order.service or order.cls for _, order in lease.pending.values()]
        services = {run.service for run in lease.running.values() if run.service}
        services |= {order.service for _, order in lease.pending.values() if order.service}
        return Candidate(held.host.name, held.host.size, held.room(), tuple(classes), services)

    def _make_room(
        self, want: Want, size: Size, candidates: list[Candidate], held: dict[str, Held]
    ) -> None:
        evictable = {
            name: {
                task: run.size
                for task, run in w.lease.running.items()
                if not run.service and not self._is_urgent(run.cls)
            }
            for name, w in held.items()
            if w.lease is not None
        }
        chosen = self.placer.victims(size, candidates, evictable)
        if chosen is None:
            return
        name, victims = chosen
        for task in victims:
            log(Event.TASK_EVICTING, task=task, worker=name, for_=want.task)
            self.counts["evictions"] += 1
            self.keeper.stop_soon(held[name], task)

    def _is_urgent(self, cls: str) -> bool:
        spec = self._config.rows("class").get(cls)
        return spec is not None and spec["kind"] == "urgent"

    def _order(self, want: Want, row: BlockRow) -> StartOrder:
        spec = self._class_row(row) or {}
        seconds = 0.0 if row["service"] or spec.get("kind") == "watcher" else spec["seconds"]
        seconds = row.get("seconds", seconds)
        size = self.placer.reservation(want)
        return StartOrder(
            want.task, row["cls"], row["customer"], size, seconds, want.checkpoint, row["service"]
        )

    async def _start(self, held: Held, order: StartOrder, seq: int) -> None:
        where = {"task": order.task, "worker": held.host.name}
        self.touch()
        try:
            if not self._config.may_start(self._domain):
                self.keeper.unreserve(held, order)
                raise Refused(why="no permit")
            await self.keeper.start(held, order, seq, self._config.permit_until)
        except (Fenced, Refused, ConnectFailed) as exc:
            self._placed.pop(order.task.key, None)
            self.touch()
            log(Event.TASK_START_REFUSED, **where, why=exc)
        except AnswerLost as exc:
            log(Event.TASK_START_UNKNOWN, **where, why=exc)
        else:
            self.counts["starts"] += 1
            log(Event.TASK_PLACED, **where, cores=order.size.cores)

    # Rows

    def _class_row(self, row: BlockRow) -> dict[str, Any] | None:
        kind = "service" if row["service"] else "class"
        found = self._config.rows(kind).get(row["service"] or row["cls"])
        return None if found is None else dict(found)

    def _class_of(self, key: str) -> str:
        row = self._block(key)
        return "" if row is None else row["cls"]

    def _policy(self, row: BlockRow) -> Policy:
        spec = self._class_row(row)
        if spec is None or row["service"]:
            return Policy(max_attempts=1_000_000)
        return Policy(spec["max_attempts"], spec["on_worker_loss"])
