"""Take over blocks whose holder is gone; start none of their tasks before a full survey."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from curranthall.block import (
    BLOCK_PREFIX,
    QUEUE_PREFIX,
    TaskState,
    attempt_of,
    copy_of,
    indices,
    is_current,
    state_of,
)
from curranthall.config import PERMIT_S
from curranthall.events import Event, log
from curranthall.ledger import Ledger, Placement
from curranthall.model import (
    BlockRow,
    HostState,
    Task,
)
from curranthall.roster import SUSPICION_S, choose_entry

SURVEY_S = 2.0

Survey = dict[str, list[Task]]


class Adoption(NamedTuple):
    """A block taken over whose running tasks are not known yet."""

    at: float
    not_before: float
    clean: bool


class Takeover:
    """Adopt blocks and find out which of their tasks run."""

    def __init__(self, ledger: Ledger, survey_peers: Callable[[str], Awaitable[Survey]]) -> None:
        self._ledger = ledger
        self._survey_peers = survey_peers
        self._adopting: dict[str, Adoption] = {}
        self._surveyed_at = float("-inf")
        self._since = ledger.clock()

    async def adopt_blocks(self) -> None:
        now = self._ledger.clock()
        permitted = self._ledger.config.may_start(self._ledger.domain)
        if now - self._since < 2 * SUSPICION_S or not permitted or not self._ledger.own_workers():
            return
        prefix = f"{BLOCK_PREFIX}{self._ledger.domain}/"
        for key in [key for key, _ in self._ledger.config.mirror.rows_under(prefix)]:
            row = self._ledger.block(key)
            if row is not None and self._is_orphan(row) and self.is_preferred(key, row):
                await self._adopt(key, row)

    def _is_orphan(self, row: BlockRow) -> bool:
        holder = row["holder"]
        if holder is None:
            return True
        if holder == self._ledger.id:
            return row["incarnation"] != self._ledger.incarnation
        peer = self._ledger.roster.peers.get(holder)
        if peer is None or not self._ledger.roster.is_live(holder):
            return True
        return row["incarnation"] < peer.heartbeat["incarnation"]

    async def _adopt(self, key: str, row: BlockRow) -> None:
        new = copy_of(row)
        new["holder"], new["incarnation"], new["clean"] = (
            self._ledger.id,
            self._ledger.incarnation,
            False,
        )
        clean = row["holder"] is None and row["clean"]
        self._ledger.trusted.discard(key)
        if not await self._ledger.commit({key: new}, [key]):
            return
        log(Event.BLOCK_TAKEN_OVER, block=key, of=row["holder"], clean=clean)
        wait = 0.0 if clean else PERMIT_S
        now = self._ledger.clock()
        self._adopting[key] = Adoption(now, now + wait, clean)

    async def recover(self) -> None:
        now = self._ledger.clock()
        for key, _ in self._ledger.held_blocks():
            if key not in self._ledger.trusted and key not in self._adopting:
                # Adopted by a commit whose answer was lost; its running tasks are unknown.
                self._adopting[key] = Adoption(now, now + PERMIT_S, False)
        # A host list older than the adoption might lack a worker of the former holder.
        due = [
            key
            for key, adoption in self._adopting.items()
            if now >= adoption.not_before and self._ledger.hosts_listed_at >= adoption.at
        ]
        if not due or now - self._surveyed_at < SURVEY_S / 4:
            return
        self._surveyed_at = now
        for domain in sorted({key.split("/")[1] for key in due}):
            found, missing = await self._survey(domain)
            for key in due:
                if key.split("/")[1] == domain:
                    self._finish_recovery(key, found, missing)

    async def _survey(self, domain: str) -> tuple[Survey, list[str]]:
        """Collect the attempts on each worker; list the domain's workers that no entry reports."""
        found = {**await self._survey_peers(domain), **self.own_survey(domain)}
        missing = [
            name
            for name, held in self._ledger.keeper.workers.items()
            if held.host.domain == domain
            and held.host.state is not HostState.GONE
            and name not in found
        ]
        return found, missing

    def _finish_recovery(self, key: str, found: Survey, missing: list[str]) -> None:
        row = self._ledger.block(key)
        if row is None or row["holder"] != self._ledger.id:
            del self._adopting[key]
            return
        if missing:
            self._ledger.wait_reasons[key] = "waiting for proof: " + ",".join(sorted(missing))
            log(Event.BLOCK_WAITS_FOR_PROOF, block=key, workers=",".join(sorted(missing)))
            return
        adoption = self._adopting.pop(key)
        self._ledger.trusted.add(key)
        self._ledger.mark_due()
        self._ledger.wait_reasons.pop(key, None)
        seen = {task: worker for worker, tasks in found.items() for task in tasks}
        for task, worker in seen.items():
            if task.job == row["job"] and task.number in indices(row):
                self._ledger.placements[task.key] = Placement(task.attempt, worker)
        log(Event.BLOCK_RECOVERED, block=key, running=len(seen))
        # A clean release lists its started tasks; the current attempts of the others never ran.
        uncertain = row["started"] if adoption.clean else list(indices(row))
        self._mark_absent(key, row, set(seen), uncertain)

    def _mark_absent(self, key: str, row: BlockRow, seen: set[Task], uncertain: list[int]) -> None:
        for index in uncertain:
            task = Task(row["job"], index, attempt_of(row, index))
            if is_current(row, task) and state_of(row, index) is TaskState.OPEN:
                if task not in seen:
                    domain = key.split("/")[1]
                    self._ledger.mark_lost(domain, task)

    async def resolve_moved_tasks(self) -> None:
        """Find lost tasks among those started here whose worker another entry holds now."""
        now = self._ledger.clock()
        if now - self._surveyed_at < SURVEY_S:
            return
        held = {name for name, w in self._ledger.keeper.workers.items() if w.lease is not None}
        moved = [
            (Task(job, index, placement.attempt), placement.worker)
            for (job, index), placement in self._ledger.placements.items()
            if placement.worker not in held
        ]
        if not moved:
            return
        self._surveyed_at = now
        found = await self._survey_peers(self._ledger.domain)
        for task, worker in moved:
            # The task may have been restarted during the survey.
            changed = self._ledger.placements.get(task.key) != Placement(task.attempt, worker)
            if not changed and worker in found and task not in found[worker]:
                self._mark_moved_lost(task, worker)

    def _mark_moved_lost(self, task: Task, worker: str) -> None:
        self._ledger.placements.pop(task.key, None)
        row = self._ledger.block_of(self._ledger.domain, task)[1]
        if row is not None and is_current(row, task):
            self._ledger.mark_lost(self._ledger.domain, task)

    def own_survey(self, domain: str) -> Survey:
        """Return the attempts that may be on this entry's workers in a domain."""
        return {
            held.host.name: sorted(held.lease.tasks())
            for held in self._ledger.keeper.held()
            if held.host.domain == domain and held.lease is not None
        }

    def is_preferred(self, key: str, row: BlockRow) -> bool:
        """Return whether this entry is preferred for a block; this spreads claims over entries."""
        is_queued = key.startswith(QUEUE_PREFIX)
        eligible = [
            peer.heartbeat["id"]
            for peer in self._ledger.roster.live()
            if peer.heartbeat["ready"] and peer.heartbeat["workers"]
            if is_queued or peer.heartbeat["domain"] == self._ledger.domain
            if self._ledger.config.is_domain_in(peer.heartbeat["domain"])
        ]
        if row["service"]:
            # Replicas rotate over the entries, so that they run on different workers.
            ring = sorted([*eligible, self._ledger.id])
            first = ring.index(choose_entry(row["job"], ring))
            return ring[(first + row["first"]) % len(ring)] == self._ledger.id
        return choose_entry(key, [*eligible, self._ledger.id]) == self._ledger.id
