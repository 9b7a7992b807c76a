"""This entry's view of blocks and tasks, and commits of task outcomes to the table."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from curranthall.block import (
    BLOCK_PREFIX,
    AttemptOutcome,
    RetryPolicy,
    TaskState,
    apply_outcomes,
    as_block,
    attempt_of,
    customer_of,
    done_key,
    end_waiting_tasks,
    indices,
    is_current,
    is_finished,
    is_obsolete,
    state_of,
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
from curranthall.table import Platform, commit_and_resolve

COMMIT_S = 1.0
URGENT_BOOST = 1_000
COMMIT_ROWS = 64


class Placement(NamedTuple):
    """An attempt and the worker that runs it."""

    attempt: int
    worker: str


class UnrecordedOutcome(NamedTuple):
    """A final outcome that is not in the table yet, and the held worker it is from, if any."""

    outcome: Outcome
    held: HeldWorker | None
    at: float


class Ledger:
    """Block rows, placements of attempts, and outcomes that are not recorded yet."""

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
        self.unrecorded: dict[tuple[str, Task], UnrecordedOutcome] = {}
        self.placements: dict[tuple[str, int], Placement] = {}
        # Blocks whose running tasks are known: claimed from the queue, or recovered.
        self.trusted: set[str] = set()
        self.draining = False
        self.hosts_listed_at = float("-inf")
        self.wait_reasons: dict[str, str] = {}
        self.counts: dict[str, int] = defaultdict(int)
        self.due: dict[str, bool] = {"workers": True, "table": True}
        self._committed_at = float("-inf")

    def mark_due(self) -> None:
        """Mark the next steps as due after a change."""
        self.due = {"workers": True, "table": True}

    def mark_lost(self, domain: str, task: Task) -> None:
        """Mark an attempt that runs on no worker as lost."""
        self.unrecorded.setdefault((domain, task), UnrecordedOutcome(LOST, None, self.clock()))

    def held_blocks(self) -> Iterator[tuple[str, BlockRow]]:
        """Iterate over the blocks that this entry holds."""
        for key, row in self.config.mirror.rows_under(BLOCK_PREFIX):
            if self.is_held_here(as_block(row)):
                yield key, as_block(row)

    def is_held_here(self, row: BlockRow) -> bool:
        return row["holder"] == self.id and row["incarnation"] == self.incarnation

    def own_workers(self) -> list[HeldWorker]:
        return [
            held
            for held in self.keeper.held()
            if held.host.domain == self.domain and held.host.state is HostState.LIVE
        ]

    def block(self, key: str) -> BlockRow | None:
        row = self.config.mirror.value(key)
        return None if row is None else as_block(row)

    def block_of(self, domain: str, task: Task) -> tuple[str, BlockRow | None]:
        """Find the claimed block of a task on a worker of a domain."""
        for key, row in self.config.mirror.child_rows(f"{BLOCK_PREFIX}{domain}/{task.job}"):
            if task.number in indices(as_block(row)):
                return key, as_block(row)
        return "", None

    def spec_of(self, row: BlockRow) -> dict[str, Any] | None:
        kind = "service" if row["service"] else "class"
        found = self.config.rows(kind).get(row["service"] or row["cls"])
        return None if found is None else dict(found)

    def placed_indices(self, key: str, row: BlockRow) -> set[int]:
        found = set()
        for index in indices(row):
            placement = self.placements.get((row["job"], index))
            if placement is None:
                continue
            superseded = placement.attempt < attempt_of(row, index)
            if superseded or state_of(row, index) is not TaskState.OPEN:
                del self.placements[(row["job"], index)]
            else:
                found.add(index)
        # A task whose outcome is not recorded yet must not start again.
        found |= {task.number for task in self.unrecorded_in(key, row) if is_current(row, task)}
        return found

    def update_placements(self) -> None:
        for held in self.keeper.workers.values():
            if held.lease is None:
                continue
            for task in held.lease.tasks():
                known = self.placements.get(task.key)
                # A worker may still hold the outcome of a superseded attempt.
                if known is None or known.attempt <= task.attempt:
                    self.placements[task.key] = Placement(task.attempt, held.host.name)

    def is_superseded(self, domain: str, row: BlockRow | None, task: Task, seen_at: float) -> bool:
        """Return whether the table proves that an attempt seen on a worker is superseded."""
        if row is not None:
            return is_obsolete(row, task)
        # A claim is committed before a start, so a missing block is proof only if the table was
        # read after the attempt was seen.
        read_since = self.config.confirmed_at > seen_at
        return read_since and f"{BLOCK_PREFIX}{domain}/" in self.config.prefixes

    def unrecorded_in(self, key: str, row: BlockRow) -> dict[Task, UnrecordedOutcome]:
        """Return the outcomes of a block's tasks that are not recorded yet."""
        domain, numbers = key.split("/")[1], indices(row)
        return {
            task: ended
            for (task_domain, task), ended in self.unrecorded.items()
            if task_domain == domain and task.job == row["job"] and task.number in numbers
        }

    async def record_outcomes(self) -> None:
        now = self.clock()
        if now - self._committed_at < COMMIT_S:
            self.due["table"] |= bool(self.unrecorded)
            return
        self._acknowledge_superseded()
        keys = {self.block_of(domain, task)[0] for domain, task in self.unrecorded}
        keys |= {key for key, _ in self.held_blocks()}
        batch = dict(list(self._changed_rows(sorted(keys)).items())[:COMMIT_ROWS])
        if not batch:
            return
        self._committed_at = now
        if not await self._commit_rows(batch) and len(batch) > 1:
            # A row that another entry changed must not block the others.
            for key in batch:
                await self._commit_rows(self._changed_rows([key]))

    def _changed_rows(self, keys: list[str]) -> dict[str, BlockRow]:
        changed = {}
        for key in keys:
            row = self.block(key)
            if row is None:
                continue
            outcomes = [
                AttemptOutcome(task, end.outcome)
                for task, end in self.unrecorded_in(key, row).items()
            ]
            new = apply_outcomes(row, outcomes, self._retry_policy(row))
            if self.is_held_here(row) and key in self.trusted:
                new = end_waiting_tasks(new, self.placed_indices(key, row))
            if new != row or is_finished(new):
                changed[key] = new
        return changed

    def _acknowledge_superseded(self) -> None:
        superseded = {}
        for (domain, task), ended in list(self.unrecorded.items()):
            if self.is_superseded(domain, self.block_of(domain, task)[1], task, ended.at):
                superseded[task] = self.unrecorded.pop((domain, task))
        self._acknowledge(superseded)

    async def _commit_rows(self, rows: dict[str, BlockRow]) -> bool:
        if not rows:
            return True
        writes: dict[str, Row | None] = {}
        outcomes = {}
        for key, row in rows.items():
            outcomes[key] = self.unrecorded_in(key, row)
            writes[key] = row
            if is_finished(row):
                writes[key] = None
                writes[done_key(row["job"], row["first"])] = row
        if not await self.commit(writes, list(rows)):
            return False
        for key, row in rows.items():
            if is_finished(row):
                log(Event.BLOCK_DONE, block=key)
            for task in outcomes[key]:
                self.unrecorded.pop((key.split("/")[1], task), None)
            self._acknowledge(outcomes[key])
        return True

    async def commit(self, writes: dict[str, Row | None], checked: list[str]) -> bool:
        """Commit against the versions known now; the rows must be read after the last await.

        A row read before an await and committed with the version known after it would
        overwrite a concurrent write of another entry.
        """
        mirror = self.config.mirror
        commit = Commit(self._new_txn(), {key: mirror.version(key) for key in checked}, writes)
        try:
            result = await commit_and_resolve(self._platform, commit)
        except CurranthallError:
            return False
        if result.is_err():
            log(Event.COMMIT_CONFLICT, keys=",".join(checked))
            return False
        self.mark_due()
        for key, value in writes.items():
            mirror.apply(Change(key, result.unwrap(), commit.txn, value))
        return True

    def _acknowledge(self, outcomes: dict[Task, UnrecordedOutcome]) -> None:
        by_worker: dict[str, list[Task]] = defaultdict(list)
        for task, (_, held, _) in outcomes.items():
            if held is not None and held.lease is not None and task in held.lease.outcomes:
                by_worker[held.host.name].append(task)
        for name, tasks in by_worker.items():
            self.keeper.acknowledge_soon(self.keeper.workers[name], tasks)

    def _retry_policy(self, row: BlockRow) -> RetryPolicy:
        spec = self.spec_of(row)
        if spec is None or row["service"]:
            return RetryPolicy(max_attempts=1_000_000)
        return RetryPolicy(spec["max_attempts"], spec["on_worker_loss"])

    def cores_by_customer(self) -> dict[str, float]:
        """Sum the batch cores that each customer uses on the held workers."""
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
        """Return whether a block's tasks may evict batch work."""
        spec = self.spec_of(row)
        return spec is not None and (bool(row["service"]) or spec["kind"] == "urgent")

    def priority_key(self, row: BlockRow, cores: dict[str, float]) -> tuple[float, float, float]:
        """Return a sort key: priority, the customer's cores per weight, deadline."""
        spec = self.spec_of(row)
        if spec is None:
            return (0.0, 0.0, row["deadline"])
        boost = URGENT_BOOST if self.is_urgent(row) else 0
        customer = self.config.rows("customer").get(row["customer"])
        weight = 1.0 if customer is None else customer["weight"]
        used = cores.get(row["customer"], 0.0) / weight
        return (-(spec.get("priority", 100) + boost), used, row["deadline"])
