"""Worker leases: claim, renew, release and expire them, and track the tasks on each worker."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from curranthall.errors import AnswerLost, ConnectFailed, CurranthallError, Fenced, Refused
from curranthall.events import Event, log
from curranthall.model import (
    ZERO_SIZE,
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
    """A lease that this entry holds on a worker, and what is known to be on the worker.

    Times are this entry's monotonic seconds: the lease is certainly valid on the worker until
    `usable_until` and certainly over at `lapsed_at`.
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
    inventory_at: float = 0.0

    def to_worker_time(self, at: float) -> float:
        """Convert a time on this entry's clock to the worker's; it may be early, never late."""
        return self.stamp + (at - self.stamped_at)

    def reserved(self) -> Size:
        """Sum the reservations of running and pending attempts."""
        total = ZERO_SIZE
        for run in self.running.values():
            total = total.plus(run.size)
        for _, order in self.pending.values():
            total = total.plus(order.size)
        return total

    def tasks(self) -> set[Task]:
        """Return every attempt that may be on the worker."""
        return {*self.running, *self.pending, *self.outcomes}


def apply_grant(lease: Lease | None, grant: LeaseGrant, sent_at: float, now: float) -> Lease:
    """Return the lease updated by the answer to a claim or a renewal.

    The worker counts the term from the stamp that the renewal echoes, so a renewal that
    arrives late cannot extend the lease beyond what its sender assumes.
    """
    usable_until = sent_at + grant.left - MARGIN_S
    lapsed_at = now + TERM_S + DRIFT_S
    if lease is None or lease.token != grant.token:
        return Lease(grant.token, grant.stamp, now, usable_until, lapsed_at)
    lease.usable_until = max(lease.usable_until, usable_until)
    lease.lapsed_at = lapsed_at
    lease.stamp, lease.stamped_at = grant.stamp, now
    return lease


def apply_inventory(lease: Lease, inventory: Inventory, seq: int) -> tuple[list[Task], list[Task]]:
    """Apply an inventory; return attempts that vanished and starts that had no effect.

    The worker refuses starts numbered below the call's `seq` from then on, so one that is
    not in the inventory never takes effect; a start with a higher number may have arrived
    after the inventory was written.
    """
    newer = {task: run for task, run in lease.running.items() if lease.started[task] >= seq}
    before = set(lease.running) - set(newer)
    resolved = {task for task, (at, _) in lease.pending.items() if at < seq}
    lease.boot = inventory.boot
    lease.running = {**inventory.running, **newer}
    lease.outcomes = dict(inventory.outcomes)
    lease.started = {task: lease.started.get(task, 0) for task in lease.running}
    for task in resolved:
        del lease.pending[task]
    present = set(lease.running) | set(lease.outcomes)
    return sorted(before - present), sorted(resolved - present)


class HeldWorker:
    """A worker, its connection and this entry's lease on it, if any."""

    def __init__(self, host: Host, worker: Worker) -> None:
        self.host = host
        self.worker = worker
        self.lease: Lease | None = None
        self.inflight = 0
        self.draining = False
        self.claim_token: Token | None = None
        self.highest_counter = 0
        self.retry_at = 0.0
        self.is_calling = False
        # Attempts that were on the worker when an earlier lease of this entry ended.
        self.unconfirmed: set[Task] = set()

    def is_usable(self, now: float) -> bool:
        """Return whether the worker may be used now."""
        return self.lease is not None and now < self.lease.usable_until and not self.draining

    def room(self) -> Size:
        """Return the capacity that is not reserved."""
        assert self.lease is not None
        return self.host.size.minus(self.lease.reserved())


class LeaseKeeper:
    """Claim, renew and release the leases on workers."""

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
        """Return the workers that may be used now."""
        now = self._clock()
        return [held for held in self.workers.values() if held.is_usable(now)]

    def update_hosts(self, hosts: list[Host]) -> None:
        """Update the known workers from the platform's host list."""
        for host in hosts:
            known = self.workers.get(host.name)
            if known is None or known.host.address != host.address:
                self.workers[host.name] = HeldWorker(host, self._connect(host))
            else:
                known.host = host

    def step(self, wanted: Callable[[Host], bool]) -> None:
        """Renew, claim and expire leases; a slow worker delays no other."""
        for held in self.workers.values():
            if not held.is_calling:
                held.is_calling = True
                self._spawn(self._step(held, wanted(held.host)))

    async def _step(self, held: HeldWorker, wanted: bool) -> None:
        try:
            await self._advance(held, wanted)
        finally:
            held.is_calling = False

    async def _advance(self, held: HeldWorker, wanted: bool) -> None:
        now = self._clock()
        if held.lease is not None and now >= held.lease.lapsed_at:
            self._on_lapse(held)
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
        # A claim whose answer was lost is repeated with the same token.
        if held.claim_token is None or held.claim_token.counter <= held.highest_counter:
            held.claim_token = Token(held.highest_counter + 1, self._holder)
        return held.claim_token

    async def _call(self, held: HeldWorker, token: Token, lease: Lease | None) -> None:
        sent_at = self._clock()
        echo, seq, seen, boot = 0.0, 1, -1, ""
        if lease is not None:
            lease.seq += 1
            echo, seq, seen, boot = lease.stamp, lease.seq, lease.changes, lease.boot
        try:
            grant, changes = await held.worker.lease(token, echo, seq, seen, TERM_S, boot)
        except Fenced as exc:
            self._on_fenced(held, lease, exc)
        except (ConnectFailed, AnswerLost, Refused):
            held.retry_at = min(held.retry_at, self._clock() + CLAIM_RETRY_S)
        else:
            if held.lease is lease:
                self._on_grant(held, grant, changes, sent_at, seq)

    def _on_grant(
        self, held: HeldWorker, grant: LeaseGrant, changes: int, sent_at: float, seq: int
    ) -> None:
        is_new = held.lease is None
        held.lease = apply_grant(held.lease, grant, sent_at, self._clock())
        if is_new:
            held.draining = False
            log(Event.LEASE_CLAIMED, worker=held.host.name, token=grant.token.counter)
        held.lease.changes = changes
        if grant.report is not None:
            self._on_report(held, grant.report)
        if grant.inventory is None:
            not_started = [task for task, (at, _) in held.lease.pending.items() if at < seq]
            for task in not_started:
                del held.lease.pending[task]
            self._report_outcome(held, not_started, NOT_STARTED)
            self._repeat_outcomes(held)
            return
        held.lease.other_inflight = max(0, grant.inventory.busy - held.inflight)
        vanished, not_started = apply_inventory(held.lease, grant.inventory, seq)
        vanished += sorted(held.unconfirmed - held.lease.tasks())
        held.unconfirmed.clear()
        for task in vanished:
            log(Event.TASK_VANISHED, worker=held.host.name, task=task)
        self._report_outcome(held, vanished, LOST)
        self._report_outcome(held, not_started, NOT_STARTED)
        held.lease.inventory_at = self._clock()
        self.on_change()
        self._repeat_outcomes(held)

    def _repeat_outcomes(self, held: HeldWorker) -> None:
        # Repeated until acknowledged, since an acknowledgement may be lost.
        assert held.lease is not None
        for task, outcome in list(held.lease.outcomes.items()):
            self._on_outcome(held, task, outcome)

    def _report_outcome(self, held: HeldWorker, tasks: list[Task], outcome: Outcome) -> None:
        for task in tasks:
            self._on_outcome(held, task, outcome)

    def _on_fenced(self, held: HeldWorker, lease: Lease | None, exc: Fenced) -> None:
        current = exc.fields.get("token")
        if isinstance(current, Token):
            held.highest_counter = max(held.highest_counter, current.counter)
        if lease is not None and held.lease is lease:
            log(Event.LEASE_FENCED, worker=held.host.name, by=current)
            held.unconfirmed |= set(lease.running) | set(lease.pending)
            held.lease = None
        left = exc.fields.get("left_s", 0.0)
        wait = min(max(float(str(left)), 0.05), CLAIM_RETRY_S)
        held.retry_at = self._clock() + wait

    def _on_lapse(self, held: HeldWorker) -> None:
        lease = held.lease
        assert lease is not None
        held.lease = None
        log(Event.LEASE_LAPSED, worker=held.host.name, token=lease.token.counter)
        services = {task for task, run in lease.running.items() if run.service}
        services |= {task for task, (_, order) in lease.pending.items() if order.service}
        batch = (set(lease.running) | set(lease.pending)) - services - set(lease.outcomes)
        # Services outlive a lease; only the worker or the platform can report their end.
        held.unconfirmed |= services
        self._report_outcome(held, sorted(batch), LOST)

    async def release(self, held: HeldWorker) -> None:
        """Release a worker; its tasks keep running."""
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
            held.unconfirmed |= set(lease.running) | set(lease.pending)
            held.highest_counter = max(held.highest_counter, lease.token.counter)
            held.retry_at = self._clock() + RENEW_S
            log(Event.LEASE_RELEASED, worker=held.host.name)

    # Operations on a held worker

    def reserve(self, held: HeldWorker, order: StartOrder) -> int:
        """Reserve room for an attempt about to start; return its sequence number."""
        lease = held.lease
        assert lease is not None
        lease.seq += 1
        lease.pending[order.task] = (lease.seq, order)
        return lease.seq

    def unreserve(self, held: HeldWorker, order: StartOrder) -> None:
        """Free the room of an attempt that did not start."""
        if held.lease is not None:
            held.lease.pending.pop(order.task, None)

    async def start(self, held: HeldWorker, order: StartOrder, seq: int, until: float) -> None:
        """Start a reserved attempt; on Fenced, Refused or ConnectFailed it did not start.

        The worker refuses it after `until` (this entry's clock), so that a start which arrives
        late does not outlive the permit it was sent under.
        """
        lease = held.lease
        if lease is None or not held.is_usable(self._clock()):
            self.unreserve(held, order)
            raise Refused(why="lease not usable")
        try:
            worker_until = lease.to_worker_time(until)
            await held.worker.start(lease.token, seq, order, worker_until, lease.boot)
        except (Fenced, Refused, ConnectFailed):
            lease.pending.pop(order.task, None)
            raise
        if held.lease is lease and lease.pending.pop(order.task, None) is not None:
            lease.running[order.task] = Running(order.cls, order.size, order.service)
            lease.started[order.task] = seq

    def stop_soon(self, held: HeldWorker, task: Task, finish: bool = False) -> None:
        """Stop an attempt; if the answer is lost, the next inventory has its outcome."""
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
        """Turn throttling of a task on or off; the next inventory shows whether it took effect."""
        self._spawn(self._throttle(held, task, on))

    async def _throttle(self, held: HeldWorker, task: Task, on: bool) -> None:
        if held.lease is None:
            return
        try:
            await held.worker.throttle(held.lease.token, task, on)
        except CurranthallError:
            return

    def acknowledge_soon(self, held: HeldWorker, tasks: list[Task]) -> None:
        """Let the worker drop outcomes that are recorded."""
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
