"""Blocks whose holder is gone: adopt them, and start nothing before all workers are vouched for."""

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
from curranthall.ledger import Ledger, Placed
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
    """Adopt blocks and find out what runs of them."""

    def __init__(self, ledger: Ledger, survey_peers: Callable[[str], Awaitable[Survey]]) -> None:
        self._ledger = ledger
        self._survey_peers = survey_peers
        self._adopting: dict[str, Adoption] = {}
        self._surveyed_at = float("-inf")
        self._since = ledger.clock()

    async def adopt_blocks(self) -> None:
        now = self._ledger.clock()
        permitted = self._ledger.config.may_start(self._ledger.domain)
        if now - self._since < 2 * SUSPICION_S or not permitted or not self._ledger.usable():
            return
        prefix = f"{BLOCK_PREFIX}{self._ledger.domain}/"
        for key in [key for key, _ in self._ledger.config.mirror.under(prefix)]:
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
                # An adoption whose answer was lost: what runs of it is not known either.
                self._adopting[key] = Adoption(now, now + PERMIT_S, False)
        # The list must be as new as the adoption, or a worker of the past holder might be missing.
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
                    self._recovered(key, found, missing)

    async def _survey(self, domain: str) -> tuple[Survey, list[str]]:
        """Ask who runs what; name the workers of the domain that nobody vouches for."""
        found = {**await self._survey_peers(domain), **self.own_survey(domain)}
        missing = [
            name
            for name, held in self._ledger.keeper.workers.items()
            if held.host.domain == domain
            and held.host.state is not HostState.GONE
            and name not in found
        ]
        return found, missing

    def _recovered(self, key: str, found: Survey, missing: list[str]) -> None:
        row = self._ledger.block(key)
        if row is None or row["holder"] != self._ledger.id:
            del self._adopting[key]
            return
        if missing:
            self._ledger.reasons[key] = "waiting for proof: " + ",".join(sorted(missing))
            log(Event.BLOCK_WAITS_FOR_PROOF, block=key, workers=",".join(sorted(missing)))
            return
        adoption = self._adopting.pop(key)
        self._ledger.trusted.add(key)
        self._ledger.mark_due()
        self._ledger.reasons.pop(key, None)
        seen = {task: worker for worker, tasks in found.items() for task in tasks}
        for task, worker in seen.items():
            if task.job == row["job"] and task.number in indices(row):
                self._ledger.placed[task.key] = Placed(task.attempt, worker)
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
                    self._ledger.end_lost(domain, task)

    async def check_elsewhere(self) -> None:
        """Resolve tasks that were started here and whose worker another entry holds now."""
        now = self._ledger.clock()
        if now - self._surveyed_at < SURVEY_S:
            return
        held = {name for name, w in self._ledger.keeper.workers.items() if w.lease is not None}
        elsewhere = [
            (Task(job, index, placed.attempt), placed.worker)
            for (job, index), placed in self._ledger.placed.items()
            if placed.worker not in held
        ]
        if not elsewhere:
            return
        self._surveyed_at = now
        found = await self._survey_peers(self._ledger.domain)
        for task, worker in elsewhere:
            # The task may have been started anew while the answers were on their way.
            moved = self._ledger.placed.get(task.key) != Placed(task.attempt, worker)
            if not moved and worker in found and task not in found[worker]:
                self._end_elsewhere(task, worker)

    def _end_elsewhere(self, task: Task, worker: str) -> None:
        self._ledger.placed.pop(task.key, None)
        row = self._ledger.block_of(self._ledger.domain, task)[1]
        if row is not None and is_current(row, task):
            self._ledger.end_lost(self._ledger.domain, task)

    def own_survey(self, domain: str) -> Survey:
        """List the attempts that may be on the workers of a domain that this entry holds."""
        return {
            held.host.name: sorted(held.lease.tasks())
            for held in self._ledger.keeper.held()
            if held.host.domain == domain and held.lease is not None
        }

    def is_preferred(self, key: str, row: BlockRow) -> bool:
        """Spread claims: of the entries that can start tasks, one is first for each block."""
        abroad = key.startswith(QUEUE_PREFIX)
        able = [
            peer.heartbeat["id"]
            for peer in self._ledger.roster.live()
            if peer.heartbeat["ready"] and peer.heartbeat["workers"]
            if abroad or peer.heartbeat["domain"] == self._ledger.domain
            if self._ledger.config.domain_in(peer.heartbeat["domain"])
        ]
        if row["service"]:
            # Replicas go round the holders, so that they end up on different workers.
            ring = sorted([*able, self._ledger.id])
            first = ring.index(choose_entry(row["job"], ring))
            return ring[(first + row["first"]) % len(ring)] == self._ledger.id
        return choose_entry(key, [*able, self._ledger.id]) == self._ledger.id
