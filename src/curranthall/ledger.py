"""What is known of blocks and tasks here, and the record of their ends in the table."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from curranthall.block import (
    BLOCK_PREFIX,
    Fact,
    Policy,
    TaskState,
    as_block,
    attempt_of,
    customer_of,
    done_key,
    indices,
    is_current,
    is_finished,
    is_obsolete,
    state_of,
    with_facts,
    with_waiting_ended,
)
from curranthall.config import Config
from curranthall.errors import CurranthallError
from curranthall.events import Event, log
from curranthall.lease import LOST, HeldWorker, LeaseKeeper
from curranthall.model import (
    BlockRow,
    Change,
    Commit,
    HostState,
    Outcome,
    Row,
    Task,
)
from curranthall.roster import Roster
from curranthall.table import Platform, commit_surely

COMMIT_S = 1.0
URGENT_BOOST = 1_000
COMMIT_ROWS = 64


class Placed(NamedTuple):
    """Where an attempt runs."""

    attempt: int
    worker: str


class Ended(NamedTuple):
    """A certain end that is not recorded yet, and the worker that holds its outcome."""

    outcome: Outcome
    held: HeldWorker | None
    at: float


class Ledger:
    """The blocks' rows, where attempts run, and ends that are not recorded yet."""

    def __init__(
        self,
        entry_id: str,
        incarnation: int,
        domain: str,
        clock: Callable[[], float],
        new_txn: Callable[[], str],
        config: Config,
        roster: Roster,
        platform: Platform,
    ) -> None:
        self.id = entry_id
        self.incarnation = incarnation
        self.domain = domain
        self.clock = clock
        self._new_txn = new_txn
        self.config = config
        self.roster = roster
        self._platform = platform
        self.keeper: LeaseKeeper
        self.ends: dict[tuple[str, Task], Ended] = {}
        self.placed: dict[tuple[str, int], Placed] = {}
        # Blocks whose running tasks are known: claimed from the queue, or recovered.
        self.trusted: set[str] = set()
        self.draining = False
        self.hosts_listed_at = float("-inf")
        self.reasons: dict[str, str] = {}
        self.counts: dict[str, int] = defaultdict(int)
        self.due: dict[str, bool] = {"workers": True, "table": True}
        self._committed_at = float("-inf")

    def mark_due(self) -> None:
        """Note that something changed, so that the next steps look at it."""
        self.due = {"workers": True, "table": True}

    def end_lost(self, domain: str, task: Task) -> None:
        """Note that an attempt is certainly not running anywhere."""
        self.ends.setdefault((domain, task), Ended(LOST, None, self.clock()))

    def held_blocks(self) -> Iterator[tuple[str, BlockRow]]:
        """Give the blocks that this entry holds."""
        for key, row in self.config.mirror.under(BLOCK_PREFIX):
            if self.is_mine(as_block(row)):
                yield key, as_block(row)

    def is_mine(self, row: BlockRow) -> bool:
        return row["holder"] == self.id and row["incarnation"] == self.incarnation

    def usable(self) -> list[HeldWorker]:
        return [
            held
            for held in self.keeper.held()
            if held.host.domain == self.domain and held.host.state is HostState.LIVE
        ]

    def block(self, key: str) -> BlockRow | None:
        row = self.config.mirror.value(key)
        return None if row is None else as_block(row)

    def block_of(self, domain: str, task: Task) -> tuple[str, BlockRow | None]:
        """Find the claimed block that a task on a domain's worker belongs to."""
        for key, row in self.config.mirror.beside(f"{BLOCK_PREFIX}{domain}/{task.job}"):
            if task.number in indices(as_block(row)):
                return key, as_block(row)
        return "", None

    def class_row(self, row: BlockRow) -> dict[str, Any] | None:
        kind = "service" if row["service"] else "class"
        found = self.config.rows(kind).get(row["service"] or row["cls"])
        return None if found is None else dict(found)

    def placed_in(self, key: str, row: BlockRow) -> set[int]:
        found = set()
        for index in indices(row):
            placed = self.placed.get((row["job"], index))
            if placed is None:
                continue
            over = placed.attempt < attempt_of(row, index)
            if over or state_of(row, index) is not TaskState.OPEN:
                del self.placed[(row["job"], index)]
            else:
                found.add(index)
        # An end that is known but not recorded keeps its task from starting again.
        found |= {task.number for task in self.ends_in(key, row) if is_current(row, task)}
        return found

    def note_placed(self) -> None:
        for held in self.keeper.workers.values():
            if held.lease is None:
                continue
            for task in held.lease.tasks():
                known = self.placed.get(task.key)
                # A worker may still hold the outcome of an attempt that is long superseded.
                if known is None or known.attempt <= task.attempt:
                    self.placed[task.key] = Placed(task.attempt, held.host.name)

    def is_past(self, domain: str, row: BlockRow | None, task: Task, learned_at: float) -> bool:
        """Tell whether the table has certainly gone past an attempt seen on a worker."""
        if row is not None:
            return is_obsolete(row, task)
        # A claim is committed before a start, so only a read after the attempt was seen counts.
        read_since = self.config.confirmed_at > learned_at
        return read_since and f"{BLOCK_PREFIX}{domain}/" in self.config.prefixes

    def ends_in(self, key: str, row: BlockRow) -> dict[Task, Ended]:
        """Give the ends of a block's tasks that are not recorded yet."""
        domain, within = key.split("/")[1], indices(row)
        return {
            task: ended
            for (place, task), ended in self.ends.items()
            if place == domain and task.job == row["job"] and task.number in within
        }

    async def record_ends(self) -> None:
        now = self.clock()
        if now - self._committed_at < COMMIT_S:
            self.due["table"] |= bool(self.ends)
            return
        self._acknowledge_past()
        keys = {self.block_of(domain, task)[0] for domain, task in self.ends}
        keys |= {key for key, _ in self.held_blocks()}
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
            row = self.block(key)
            if row is None:
                continue
            facts = [Fact(task, end.outcome) for task, end in self.ends_in(key, row).items()]
            new = with_facts(row, facts, self._policy(row))
            if self.is_mine(row) and key in self.trusted:
                new = with_waiting_ended(new, self.placed_in(key, row))
            if new != row or is_finished(new):
                changed[key] = new
        return changed

    def _acknowledge_past(self) -> None:
        past = {}
        for (domain, task), ended in list(self.ends.items()):
            if self.is_past(domain, self.block_of(domain, task)[1], task, ended.at):
                past[task] = self.ends.pop((domain, task))
        self._acknowledge(past)

    async def _commit_rows(self, rows: dict[str, BlockRow]) -> bool:
        if not rows:
            return True
        writes: dict[str, Row | None] = {}
        ends = {}
        for key, row in rows.items():
            ends[key] = self.ends_in(key, row)
            writes[key] = row
            if is_finished(row):
                writes[key] = None
                writes[done_key(row["job"], row["first"])] = row
        if not await self.commit(writes, list(rows)):
            return False
        for key, row in rows.items():
            if is_finished(row):
                log(Event.BLOCK_DONE, block=key)
            for task in ends[key]:
                self.ends.pop((key.split("/")[1], task), None)
            self._acknowledge(ends[key])
        return True

    async def commit(self, writes: dict[str, Row | None], checked: list[str]) -> bool:
        """Commit against the versions known now; the rows must have been read since the last wait.

        A row read before a wait and committed with the version known after it would
        overwrite what another entry wrote meanwhile.
        """
        mirror = self.config.mirror
        commit = Commit(self._new_txn(), {key: mirror.version(key) for key in checked}, writes)
        try:
            result = await commit_surely(self._platform, commit)
        except CurranthallError:
            return False
        if result.is_err():
            log(Event.COMMIT_CONFLICT, keys=",".join(checked))
            return False
        self.mark_due()
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

    def _policy(self, row: BlockRow) -> Policy:
        spec = self.class_row(row)
        if spec is None or row["service"]:
            return Policy(max_attempts=1_000_000)
        return Policy(spec["max_attempts"], spec["on_worker_loss"])

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

    def is_urgent(self, row: BlockRow) -> bool:
        """Tell whether a block's tasks may evict batch work."""
        spec = self.class_row(row)
        return spec is not None and (bool(row["service"]) or spec["kind"] == "urgent")

    def urgency(self, row: BlockRow, cores: dict[str, float]) -> tuple[float, float, float]:
        """Order by priority, then by the customer's use against its weight, then by deadline."""
        spec = self.class_row(row)
        if spec is None:
            return (0.0, 0.0, row["deadline"])
        boost = URGENT_BOOST if self.is_urgent(row) else 0
        customer = self.config.rows("customer").get(row["customer"])
        weight = 1.0 if customer is None else customer["weight"]
        used = cores.get(row["customer"], 0.0) / weight
        return (-(spec.get("priority", 100) + boost), used, row["deadline"])
