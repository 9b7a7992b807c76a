"""Dispatch of batch tasks and replicas, and handling of what workers report."""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from curranthall.block import (
    BLOCK_PREFIX,
    is_cancelled,
    is_current,
)
from curranthall.claim import BlockClaimer
from curranthall.events import Event, log
from curranthall.ladder import Evict, Ladder, Throttle, Unthrottle
from curranthall.lease import LOST, HeldWorker
from curranthall.ledger import Ledger, UnrecordedOutcome
from curranthall.model import (
    HostState,
    Outcome,
    OutcomeKind,
    Report,
    Task,
)
from curranthall.placement import Placer
from curranthall.release import BlockReleaser
from curranthall.start import TaskStarter
from curranthall.takeover import Survey, Takeover

IDLE_STEP_S = 1.0


class Dispatcher:
    """Run the blocks that this entry holds on its workers."""

    def __init__(
        self,
        ledger: Ledger,
        placer: Placer,
        survey_peers: Callable[[str], Awaitable[Survey]],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._ledger = ledger
        self.takeover = Takeover(ledger, survey_peers)
        self.releases = BlockReleaser(ledger)
        self.claims = BlockClaimer(ledger, self.takeover)
        self.starts = TaskStarter(ledger, self.releases, placer, spawn)
        self.placer = placer
        self._ladder = Ladder(placer.interference)
        self._stepped_at = {"workers": float("-inf"), "table": float("-inf")}

    def on_outcome(self, held: HeldWorker, task: Task, outcome: Outcome) -> None:
        """Note the final outcome of an attempt on a held worker."""
        domain = held.host.domain
        self._ledger.config.add_prefix(f"{BLOCK_PREFIX}{domain}/")
        known = self._ledger.unrecorded.get((domain, task))
        if known is None:
            self._ledger.mark_due()
            log(Event.TASK_ENDED, task=task, worker=held.host.name, how=outcome.kind.value)
            row = self._ledger.block_of(domain, task)[1]
            cls = "" if row is None else row["cls"]
            self.placer.record_outcome(held.host.name, cls, outcome, self._ledger.clock())
        if known is None or known.outcome.kind is OutcomeKind.LOST:
            self._ledger.unrecorded[(domain, task)] = UnrecordedOutcome(
                outcome, held, self._ledger.clock()
            )

    def on_report(self, held: HeldWorker, report: Report) -> None:
        """Learn from a report, and act if a service is slowed down."""
        self.placer.observe(report)
        if held.lease is None:
            return
        action = self._ladder.decide(
            held.host.name, report, held.lease.running, self._ledger.clock()
        )
        match action:
            case Throttle(task):
                log(Event.TASK_THROTTLED, task=task, worker=held.host.name, on=True)
                self._ledger.keeper.throttle_soon(held, task, True)
            case Unthrottle(task):
                log(Event.TASK_THROTTLED, task=task, worker=held.host.name, on=False)
                self._ledger.keeper.throttle_soon(held, task, False)
            case Evict(task):
                log(Event.TASK_EVICTING, task=task, worker=held.host.name, why="interference")
                self._ledger.counts["evictions"] += 1
                self._ledger.keeper.stop_soon(held, task)

    def on_gone(self, worker: str) -> None:
        """Mark the attempts on a worker as lost after the platform listed it as gone."""
        held = self._ledger.keeper.workers[worker]
        tasks = {
            Task(job, index, placement.attempt)
            for (job, index), placement in self._ledger.placements.items()
            if placement.worker == worker
        }
        for task in sorted(tasks | held.unconfirmed):
            self.on_outcome(held, task, LOST)
        held.unconfirmed.clear()

    def _is_due(self, step: str) -> bool:
        """Return whether a step is due: after a change, or after IDLE_STEP_S without one."""
        now = self._ledger.clock()
        due = (
            self._ledger.due[step]
            or self._ledger.draining
            or now - self._stepped_at[step] >= IDLE_STEP_S
        )
        if due:
            self._ledger.due[step] = False
            self._stepped_at[step] = now
        return due

    def step_workers(self) -> None:
        """Stop tasks that must not run and start waiting ones, without blocking."""
        if not self._is_due("workers"):
            return
        self._ledger.update_placements()
        self._stop_unwanted()
        if not self._ledger.draining:
            self.starts.start_tasks()

    async def step_table(self) -> None:
        """Record outcomes, then recover, release, adopt and claim blocks."""
        if not self._is_due("table"):
            return
        await self._ledger.record_outcomes()
        await self.takeover.recover()
        await self.takeover.resolve_moved_tasks()
        await self.releases.release_blocks()
        if not self._ledger.draining:
            await self.takeover.adopt_blocks()
            await self.claims.claim_blocks()

    def _stop_unwanted(self) -> None:
        for held in self._ledger.keeper.held():
            lease = held.lease
            assert lease is not None
            evacuate = self._must_evacuate(held)
            for task in lease.running.keys() - lease.stopping:
                decision = self._decide_stop(held, task, evacuate)
                if decision is not None:
                    self._ledger.keeper.stop_soon(held, task, finish=decision)

    def _must_evacuate(self, held: HeldWorker) -> bool:
        known = bool(self._ledger.config.rows("domain"))
        domain_out = known and not self._ledger.config.is_domain_in(held.host.domain)
        return domain_out or held.host.state is HostState.LEAVING

    def _decide_stop(self, held: HeldWorker, task: Task, evacuate: bool) -> bool | None:
        """Return None to let a task run, else the `finish` argument of its stop call."""
        domain = held.host.domain
        assert held.lease is not None
        row = self._ledger.block_of(domain, task)[1]
        if self._ledger.is_superseded(domain, row, task, held.lease.inventory_at):
            log(Event.ORPHAN_STOPPED, task=task, worker=held.host.name)
            return False
        if row is None or not is_current(row, task):
            return None
        if row["closed"]:
            return True
        if evacuate and row["service"] and held.inflight:
            return None
        if evacuate or is_cancelled(row, task.number):
            log(Event.TASK_EVICTING, task=task, worker=held.host.name)
            self._ledger.counts["evictions"] += 1
            return False
        return None
