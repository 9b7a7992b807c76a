"""Leases on workers: claim, renew, hand over, lapse; and what is known to be on them."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from curranthall.errors import AnswerLost, ConnectFailed, CurranthallError, Fenced, Refused
from curranthall.events import Event, log
from curranthall.model import (
    NOTHING,
    Host,
    HostState,
    Inventory,
    LeaseGrant,
    Outcome,
    OutcomeKind,
    Report,
    Running,
    Size,
    StartOrder,
    Task,
    Token,
)
from curranthall.worker import Worker

TERM_S = 8.0
RENEW_S = 2.0
MARGIN_S = 0.5
DRIFT_S = 0.5
CLAIM_RETRY_S = 0.4
LOST = Outcome(OutcomeKind.LOST)
NOT_STARTED = Outcome(OutcomeKind.LOST, reason="not started")


@dataclass
class Lease:
    """What this entry knows of a worker that it holds.

    `usable_until` and `lapsed_at` are this entry's monotonic seconds: before the first
    the worker certainly honours the lease, after the second it certainly does not.
    """

    token: Token
    stamp: float
    stamped_at: float
    usable_until: float
    lapsed_at: float
    changes: int = -1
    seq: int = 1
    boot: str = ""
    running: dict[Task, Running] = field(default_factory=dict)
    started: dict[Task, int] = field(default_factory=dict)
    pending: dict[Task, tuple[int, StartOrder]] = field(default_factory=dict)
    outcomes: dict[Task, Outcome] = field(default_factory=dict)
    stopping: set[Task] = field(default_factory=set)
    other_inflight: int = 0
    learned_at: float = 0.0

    def on_worker(self, moment: float) -> float:
        """Translate a moment of this entry's clock to the worker's, never too late."""
        return self.stamp + (moment - self.stamped_at)

    def reserved(self) -> Size:
        """Add up what running and pending attempts reserve."""
        total = NOTHING
        for run in self.running.values():
            total = total.plus(run.size)
        for _, order in self.pending.values():
            total = total.plus(order.size)
        return total

    def tasks(self) -> set[Task]:
        """Name every attempt that may be on the worker."""
        return {*self.running, *self.pending, *self.outcomes}


def apply_grant(lease: Lease | None, grant: LeaseGrant, sent_at: float, now: float) -> Lease:
    """Give the lease after a claim or a renewal was answered.

    The worker counts a renewal's term from the stamp it echoes, so a renewal that is
    delivered late can't stretch the lease past what its sender knows.
    """
    usable_until = sent_at + grant.left - MARGIN_S
    lapsed_at = now + TERM_S + DRIFT_S
    if lease is None or lease.token != grant.token:
        return Lease(grant.token, grant.stamp, now, usable_until, lapsed_at)
    lease.usable_until = max(lease.usable_until, usable_until)
    lease.lapsed_at = lapsed_at
    lease.stamp, lease.stamped_at = grant.stamp, now
    return lease


def absorb(lease: Lease, inventory: Inventory, seq: int) -> tuple[list[Task], list[Task]]:
    """Take in an inventory; list attempts that vanished and starts that took no effect.

    A start with a number below the call's `seq` that is not in the inventory can never take
    effect, since the worker refuses it from then on; one with a higher number may have come
    after the inventory was written.
    """
    later = {task: run for task, run in lease.running.items() if lease.started[task] >= seq}
    before = set(lease.running) - set(later)
    unsure = {task for task, (at, _) in lease.pending.items() if at < seq}
    lease.boot = inventory.boot
    lease.running = {**inventory.running, **later}
    lease.outcomes = dict(inventory.outcomes)
    lease.started = {task: lease.started.get(task, 0) for task in lease.running}
    for task in unsure:
        del lease.pending[task]
    present = set(lease.running) | set(lease.outcomes)
    return sorted(before - present), sorted(unsure - present)


class HeldWorker:
    """A worker with its lease, for the slices that use it."""

    def __init__(self, host: Host, worker: Worker) -> None:
        self.host = host
        self.worker = worker
        self.lease: Lease | None = None
        self.inflight = 0
        self.draining = False
        self.wanted_token: Token | None = None
        self.seen_counter = 0
        self.retry_at = 0.0
        self.calling = False
        # Attempts that were here when an earlier lease of ours ended.
        self.suspects: set[Task] = set()

    def is_usable(self, now: float) -> bool:
        """Tell whether the worker may be used right now."""
        return self.lease is not None and now < self.lease.usable_until and not self.draining

    def room(self) -> Size:
        """Give what is not reserved."""
        assert self.lease is not None
        return self.host.size.minus(self.lease.reserved())


class LeaseKeeper:
    """Hold the workers that this entry should hold."""

    def __init__(
        self,
        holder: str,
        clock: Callable[[], float],
        connect: Callable[[Host], Worker],
        on_outcome: Callable[[HeldWorker, Task, Outcome], None],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        on_report: Callable[[HeldWorker, Report], None] = lambda held, report: None,
    ) -> None:
        self._on_report = on_report
        self._holder = holder
        self._clock = clock
        self._connect = connect
        self._on_outcome = on_outcome
        self._spawn = spawn
        self.on_change: Callable[[], None] = lambda: None
        self.workers: dict[str, HeldWorker] = {}

    def held(self) -> list[HeldWorker]:
        """List the workers that may be used right now."""
        now = self._clock()
        return [held for held in self.workers.values() if held.is_usable(now)]

    def update_hosts(self, hosts: list[Host]) -> None:
        """Take in the platform's list."""
        for host in hosts:
            known = self.workers.get(host.name)
            if known is None or known.host.address != host.address:
                self.workers[host.name] = HeldWorker(host, self._connect(host))
            else:
                known.host = host

    def step(self, wanted: Callable[[Host], bool]) -> None:
        """Renew, claim and lapse; one worker's slowness holds up no other."""
        for held in self.workers.values():
            if not held.calling:
                held.calling = True
                self._spawn(self._step(held, wanted(held.host)))

    async def _step(self, held: HeldWorker, wanted: bool) -> None:
        try:
            await self._advance(held, wanted)
        finally:
            held.calling = False

    async def _advance(self, held: HeldWorker, wanted: bool) -> None:
        now = self._clock()
        if held.lease is not None and now >= held.lease.lapsed_at:
            self._lapse(held)
        lease = held.lease
        if now < held.retry_at or held.host.state is HostState.GONE:
            return
        if lease is None and wanted:
            held.retry_at = now + CLAIM_RETRY_S
            await self._call(held, self._next_token(held), None)
        elif lease is not None and not wanted and not held.inflight and not lease.pending:
            await self.release(held)
        elif lease is not None:
            held.retry_at = now + RENEW_S if now < lease.usable_until else now + CLAIM_RETRY_S
            await self._call(held, lease.token, lease)

    def _next_token(self, held: HeldWorker) -> Token:
        # A claim whose answer was lost is repeated as it was.
        if held.wanted_token is None or held.wanted_token.counter <= held.seen_counter:
            held.wanted_token = Token(held.seen_counter + 1, self._holder)
        return held.wanted_token

    async def _call(self, held: HeldWorker, token: Token, lease: Lease | None) -> None:
        sent_at = self._clock()
        echo, seq, seen = 0.0, 1, -1
        if lease is not None:
            lease.seq += 1
            echo, seq, seen = lease.stamp, lease.seq, lease.changes
        try:
            grant, changes = await held.worker.lease(token, echo, seq, seen, TERM_S)
        except Fenced as exc:
            self._fenced(held, lease, exc)
        except (ConnectFailed, AnswerLost, Refused):
            held.retry_at = min(held.retry_at, self._clock() + CLAIM_RETRY_S)
        else:
            if held.lease is lease:
                self._granted(held, grant, changes, sent_at, seq)

    def _granted(
        self, held: HeldWorker, grant: LeaseGrant, changes: int, sent_at: float, seq: int
    ) -> None:
        fresh = held.lease is None
        held.lease = apply_grant(held.lease, grant, sent_at, self._clock())
        if fresh:
            held.draining = False
            log(Event.LEASE_CLAIMED, worker=held.host.name, token=grant.token.counter)
        held.lease.changes = changes
        if grant.report is not None:
            self._on_report(held, grant.report)
        if grant.inventory is None:
            unsure = [task for task, (at, _) in held.lease.pending.items() if at < seq]
            for task in unsure:
                del held.lease.pending[task]
            self._report(held, unsure, NOT_STARTED)
            self._repeat_outcomes(held)
            return
        held.lease.other_inflight = max(0, grant.inventory.busy - held.inflight)
        vanished, unsure = absorb(held.lease, grant.inventory, seq)
        vanished += sorted(held.suspects - held.lease.tasks())
        held.suspects.clear()
        for task in vanished:
            log(Event.TASK_VANISHED, worker=held.host.name, task=task)
        self._report(held, vanished, LOST)
        self._report(held, unsure, NOT_STARTED)
        held.lease.learned_at = self._clock()
        self.on_change()
        self._repeat_outcomes(held)

    def _repeat_outcomes(self, held: HeldWorker) -> None:
        # Until they are acknowledged: an acknowledgement may have been lost.
        assert held.lease is not None
        for task, outcome in list(held.lease.outcomes.items()):
            self._on_outcome(held, task, outcome)

    def _report(self, held: HeldWorker, tasks: list[Task], outcome: Outcome) -> None:
        for task in tasks:
            self._on_outcome(held, task, outcome)

    def _fenced(self, held: HeldWorker, lease: Lease | None, exc: Fenced) -> None:
        current = exc.fields.get("token")
        if isinstance(current, Token):
            held.seen_counter = max(held.seen_counter, current.counter)
        if lease is not None and held.lease is lease:
            log(Event.LEASE_FENCED, worker=held.host.name, by=current)
            held.suspects |= set(lease.running) | set(lease.pending)
            held.lease = None
        left = exc.fields.get("left_s", 0.0)
        wait = min(max(float(str(left)), 0.05), CLAIM_RETRY_S)
        held.retry_at = self._clock() + wait

    def _lapse(self, held: HeldWorker) -> None:
        lease = held.lease
        assert lease is not None
        held.lease = None
        log(Event.LEASE_LAPSED, worker=held.host.name, token=lease.token.counter)
        services = {task for task, run in lease.running.items() if run.service}
        services |= {task for task, (_, order) in lease.pending.items() if order.service}
        batch = (set(lease.running) | set(lease.pending)) - services - set(lease.outcomes)
        # Services outlive a lease; only the worker or the platform can say that they are over.
        held.suspects |= services
        self._report(held, sorted(batch), LOST)

    async def release(self, held: HeldWorker) -> None:
        """Hand a worker back, its tasks running."""
        lease = held.lease
        if lease is None:
            return
        held.draining = True
        try:
            await held.worker.release(lease.token)
        except CurranthallError:
            pass
        if held.lease is lease:
            held.lease = None
            held.draining = False
            held.suspects |= set(lease.running) | set(lease.pending)
            held.seen_counter = max(held.seen_counter, lease.token.counter)
            held.retry_at = self._clock() + RENEW_S
            log(Event.LEASE_RELEASED, worker=held.host.name)

    # Use of a held worker

    def reserve(self, held: HeldWorker, order: StartOrder) -> int:
        """Take the room of an attempt about to start; give its sequence number."""
        lease = held.lease
        assert lease is not None
        lease.seq += 1
        lease.pending[order.task] = (lease.seq, order)
        return lease.seq

    def unreserve(self, held: HeldWorker, order: StartOrder) -> None:
        """Give back the room of an attempt that certainly did not start."""
        if held.lease is not None:
            held.lease.pending.pop(order.task, None)

    async def start(self, held: HeldWorker, order: StartOrder, seq: int, until: float) -> None:
        """Start a reserved attempt; Fenced, Refused or ConnectFailed: it did not start.

        The worker refuses it after `until`, on this entry's clock: a start that is delivered
        late must not outlive the permit that it was sent under.
        """
        lease = held.lease
        if lease is None or not held.is_usable(self._clock()):
            self.unreserve(held, order)
            raise Refused(why="lease not usable")
        try:
            await held.worker.start(lease.token, seq, order, lease.on_worker(until))
        except (Fenced, Refused, ConnectFailed):
            lease.pending.pop(order.task, None)
            raise
        if held.lease is lease and lease.pending.pop(order.task, None) is not None:
            lease.running[order.task] = Running(order.cls, order.size, order.service)
            lease.started[order.task] = seq

    def stop_soon(self, held: HeldWorker, task: Task, finish: bool = False) -> None:
        """Stop an attempt and take in its outcome; a lost answer comes with the inventory."""
        if held.lease is not None and task not in held.lease.stopping:
            held.lease.stopping.add(task)
            self._spawn(self._stop(held, held.lease, task, finish))

    async def _stop(self, held: HeldWorker, lease: Lease, task: Task, finish: bool) -> None:
        try:
            outcome = await held.worker.stop(lease.token, task, finish)
        except CurranthallError:
            return
        finally:
            lease.stopping.discard(task)
        if held.lease is lease and outcome is not None:
            lease.running.pop(task, None)
            lease.outcomes[task] = outcome
            self._on_outcome(held, task, outcome)

    def throttle_soon(self, held: HeldWorker, task: Task, on: bool) -> None:
        """Slow a task down, or let it go; the next inventory tells whether it took effect."""
        self._spawn(self._throttle(held, task, on))

    async def _throttle(self, held: HeldWorker, task: Task, on: bool) -> None:
        if held.lease is None:
            return
        try:
            await held.worker.throttle(held.lease.token, task, on)
        except CurranthallError:
            return

    def acknowledge_soon(self, held: HeldWorker, tasks: list[Task]) -> None:
        """Let the worker forget recorded outcomes."""
        self._spawn(self._acknowledge(held, tasks))

    async def _acknowledge(self, held: HeldWorker, tasks: list[Task]) -> None:
        lease = held.lease
        if lease is None:
            return
        try:
            await held.worker.acknowledge(lease.token, tasks)
        except CurranthallError:
            return
        for task in tasks:
            lease.outcomes.pop(task, None)
