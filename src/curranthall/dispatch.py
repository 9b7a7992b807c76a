"""Batch work and replicas: the parts put together, and what workers tell."""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from curranthall.block import (
    BLOCK_PREFIX,
    is_cancelled,
    is_current,
)
from curranthall.claim import Claims
from curranthall.events import Event, log
from curranthall.ladder import Evict, Ladder, Throttle, Unthrottle
from curranthall.lease import LOST, HeldWorker
from curranthall.ledger import Ended, Ledger
from curranthall.model import (
    HostState,
    Outcome,
    OutcomeKind,
    Report,
    Task,
)
from curranthall.placement import Placer
from curranthall.release import Releases
from curranthall.start import Starts
from curranthall.takeover import Survey, Takeover

IDLE_STEP_S = 1.0


class Dispatcher:
    """Run the blocks that this entry holds on the workers that it holds."""

    def __init__(
        self,
        ledger: Ledger,
        placer: Placer,
        survey_peers: Callable[[str], Awaitable[Survey]],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._ledger = ledger
        self.takeover = Takeover(ledger, survey_peers)
        self.releases = Releases(ledger)
        self.claims = Claims(ledger, self.takeover)
        self.starts = Starts(ledger, self.releases, placer, spawn)
        self.placer = placer
        self._ladder = Ladder(placer.interference)
        self._stepped_at = {"workers": float("-inf"), "table": float("-inf")}

    def on_outcome(self, held: HeldWorker, task: Task, outcome: Outcome) -> None:
        """Take in the certain end of an attempt on a worker that this entry holds."""
        domain = held.host.domain
        self._ledger.config.also_follow(f"{BLOCK_PREFIX}{domain}/")
        known = self._ledger.ends.get((domain, task))
        if known is None:
            self._ledger.mark_due()
            log(Event.TASK_ENDED, task=task, worker=held.host.name, how=outcome.kind.value)
            row = self._ledger.block_of(domain, task)[1]
            cls = "" if row is None else row["cls"]
            self.placer.record_outcome(held.host.name, cls, outcome, self._ledger.clock())
        if known is None or known.outcome.kind is OutcomeKind.LOST:
            self._ledger.ends[(domain, task)] = Ended(outcome, held, self._ledger.clock())

    def on_report(self, held: HeldWorker, report: Report) -> None:
        """Learn from a report and act on a service that is slowed down."""
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
        """Take the platform's word that a worker is no more."""
        held = self._ledger.keeper.workers[worker]
        tasks = {
            Task(job, index, placed.attempt)
            for (job, index), placed in self._ledger.placed.items()
            if placed.worker == worker
        }
        for task in sorted(tasks | held.suspects):
            self.on_outcome(held, task, LOST)
        held.suspects.clear()

    def _is_due(self, step: str) -> bool:
        """Tell whether a step has something to look at; time alone makes it due, but seldom."""
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
        """Stop what must not run and start what may; waits for nothing."""
        if not self._is_due("workers"):
            return
        self._ledger.note_placed()
        self._clear_workers()
        if not self._ledger.draining:
            self.starts.start_tasks()

    async def step_table(self) -> None:
        """Record ends, recover, release, adopt and claim blocks."""
        if not self._is_due("table"):
            return
        await self._ledger.record_ends()
        await self.takeover.recover()
        await self.takeover.check_elsewhere()
        await self.releases.release_blocks()
        if not self._ledger.draining:
            await self.takeover.adopt_blocks()
            await self.claims.claim_blocks()

    def _clear_workers(self) -> None:
        for held in self._ledger.keeper.held():
            lease = held.lease
            assert lease is not None
            out = self._must_empty(held)
            for task in lease.running.keys() - lease.stopping:
                verdict = self._verdict(held, task, out)
                if verdict is not None:
                    self._ledger.keeper.stop_soon(held, task, finish=verdict)

    def _must_empty(self, held: HeldWorker) -> bool:
        known = bool(self._ledger.config.rows("domain"))
        out = known and not self._ledger.config.domain_in(held.host.domain)
        return out or held.host.state is HostState.LEAVING

    def _verdict(self, held: HeldWorker, task: Task, out: bool) -> bool | None:
        """Tell whether a task must stop (None: no), and whether that finishes it."""
        domain = held.host.domain
        assert held.lease is not None
        row = self._ledger.block_of(domain, task)[1]
        if self._ledger.is_past(domain, row, task, held.lease.learned_at):
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
            self._ledger.counts["evictions"] += 1
            return False
        return None
