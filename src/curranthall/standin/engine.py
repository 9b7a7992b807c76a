"""The worker stand-in's state: lease, tasks, outcomes, endpoint slots and the run log."""

import asyncio
import hashlib
from collections.abc import Callable
from typing import NamedTuple

from curranthall.errors import Fenced, Refused
from curranthall.model import (
    ZERO_SIZE,
    Host,
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

TERM_S = 8.0
NO_TOKEN = Token(0, "")
THROTTLED_RATE = 0.5


class Run(NamedTuple):
    """One line of the run log: when it took effect and when it was written."""

    at: float
    written_at: float
    worker: str
    what: str
    name: str
    attempt: int
    checkpoint: int


class _Active:
    def __init__(self, order: StartOrder, now: float) -> None:
        self.order = order
        self.progress = float(order.checkpoint)
        self.rate = 1.0
        self.since = now
        self.timer: asyncio.TimerHandle | None = None

    def advance(self, now: float) -> None:
        self.progress += (now - self.since) * self.rate
        self.since = now


class WorkerEngine:
    """A worker; it alone decides who may use it."""

    def __init__(
        self, host: Host, clock: Callable[[], float], boot: str, log: list[Run] | None = None
    ) -> None:
        self.host = host
        self.log: list[Run] = [] if log is None else log
        self._clock = clock
        self._boot = boot
        self._active: dict[Task, _Active] = {}
        self._outcomes: dict[Task, Outcome] = {}
        self.token = NO_TOKEN
        self._lease_end = 0.0
        self._seq = 0
        self._released = True
        self._changes = 0
        self._report: Report | None = None
        self._lapse_timer: asyncio.TimerHandle | None = None
        self.busy = 0
        self.served: dict[str, int] = {}
        self.overcommits = 0
        self.fails_everything = False
        self.leaving = False

    # Lease

    def lease(self, token: Token, echo: float, seq: int, seen: int, term: float) -> LeaseGrant:
        """Grant or renew; a renewal runs from the echoed stamp, never from its arrival."""
        self.expire_lease()
        now = self._clock()
        if token == self.token and not self._released:
            self._lease_end = max(self._lease_end, min(echo, now) + term)
            self._seq = max(self._seq, seq)
        else:
            self._claim(token, now + term)
            self._seq = seq
            seen = -1
        self._watch_lapse()
        unchanged = seen == self._changes
        inventory = None if unchanged else self.inventory()
        report, self._report = self._report, None
        return LeaseGrant(self.token, now, self._lease_end - now, inventory, report)

    def measure(self, report: Report) -> None:
        """Have a report go out with the next renewal."""
        self._report = report

    def _claim(self, token: Token, end: float) -> None:
        if not self._released or token <= self.token:
            left = max(0.0, self._lease_end - self._clock())
            raise Fenced(token=self.token, left_s=left)
        self.token = token
        self._lease_end = end
        self._released = False

    def release(self, token: Token) -> None:
        """Give the lease back; tasks run on until the term ends, for the next holder."""
        self._check(token)
        self._released = True

    @property
    def is_free(self) -> bool:
        """Tell whether nobody holds the worker."""
        self.expire_lease()
        return self._released

    @property
    def changes(self) -> int:
        """Count the changes of the inventory."""
        return self._changes

    def inventory(self) -> Inventory:
        """List what runs and what has ended."""
        running = {task: _running(act) for task, act in self._active.items()}
        return Inventory(self._boot, running, dict(self._outcomes), self.busy)

    def expire_lease(self) -> None:
        """End a lapsed lease: checkpoint and stop all but services."""
        end = self._lease_end
        if not end or self._clock() < end:
            return
        self._lease_end = 0.0
        self._released = True
        for task, act in list(self._active.items()):
            if not act.order.service:
                # A worker that was frozen past its term made no progress after it.
                act.advance(end)
                self._end(task, Outcome(OutcomeKind.EVICTED, int(act.progress)), end)

    def _watch_lapse(self) -> None:
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        loop = asyncio.get_running_loop()
        left = max(0.0, self._lease_end - self._clock())
        self._lapse_timer = loop.call_later(left, self._lapse_due)

    def _lapse_due(self) -> None:
        self.expire_lease()

    def _check(self, token: Token) -> None:
        self.expire_lease()
        if token != self.token or self._released:
            raise Fenced(token=self.token)

    # Tasks

    def start(self, token: Token, seq: int, order: StartOrder, until: float) -> None:
        """Start an attempt; the same one again is harmless, an overtaken call is refused."""
        self._check(token)
        if order.task in self._active:
            return
        if seq < self._seq or self._clock() > until:
            raise Refused(why="overtaken or too late")
        if order.task in self._outcomes or self._conflicting(order.task):
            raise Refused(why="attempt exists")
        if not self._reserved().plus(order.size).fits(self.host.size):
            self.overcommits += 1
            raise Refused(why="no room")
        act = _Active(order, self._clock())
        self._active[order.task] = act
        self._log_run("start", order.task, order.checkpoint)
        self._schedule(order.task, act)
        self._changes += 1

    def _conflicting(self, task: Task) -> bool:
        return any(other.key == task.key for other in self._active)

    def _reserved(self) -> Size:
        total = ZERO_SIZE
        for act in self._active.values():
            total = total.plus(act.order.size)
        return total

    def _schedule(self, task: Task, act: _Active) -> None:
        if act.timer is not None:
            act.timer.cancel()
        if self.fails_everything:
            left = 0.05
        elif act.order.seconds <= 0:
            return
        else:
            left = max(0.0, (act.order.seconds - act.progress) / act.rate)
        act.timer = asyncio.get_running_loop().call_later(left, self._finish, task)

    def _finish(self, task: Task) -> None:
        self.expire_lease()
        act = self._active.get(task)
        if act is None:
            return
        if self.fails_everything:
            self._end(task, Outcome(OutcomeKind.FAILED, act.order.checkpoint, "worker fault"))
        else:
            self._end(task, Outcome(OutcomeKind.DONE, int(act.order.seconds)))

    def _end(self, task: Task, outcome: Outcome, at: float | None = None) -> None:
        act = self._active.pop(task)
        if act.timer is not None:
            act.timer.cancel()
        self._outcomes[task] = outcome
        self._changes += 1
        what = outcome.kind.value if at is None else "lapsed"
        self._log_run(what, task, outcome.checkpoint, at)

    def stop(self, token: Token, task: Task, finish: bool) -> Outcome | None:
        """Checkpoint and stop an attempt; give its outcome, None when it is not here."""
        self._check(token)
        act = self._active.get(task)
        if act is not None:
            kind = OutcomeKind.DONE if finish else OutcomeKind.EVICTED
            self._end(task, Outcome(kind, self._progress(act)))
        return self._outcomes.get(task)

    def throttle(self, token: Token, task: Task, on: bool) -> None:
        """Slow a task down, or let it go."""
        self._check(token)
        act = self._active.get(task)
        if act is None:
            return
        act.advance(self._clock())
        act.rate = THROTTLED_RATE if on else 1.0
        self._schedule(task, act)
        self._changes += 1

    def acknowledge(self, token: Token, tasks: list[Task]) -> None:
        """Forget outcomes that are recorded."""
        self._check(token)
        for task in tasks:
            if self._outcomes.pop(task, None) is not None:
                self._changes += 1

    def _progress(self, act: _Active) -> int:
        act.advance(self._clock())
        return int(act.progress)

    def _log_run(self, what: str, task: Task, checkpoint: int, at: float | None = None) -> None:
        now = self._clock()
        moment = now if at is None else at
        name = f"{task.job}/{task.number}"
        self.log.append(Run(moment, now, self.host.name, what, name, task.attempt, checkpoint))

    # Endpoint

    async def serve(self, service: str, request: str, body: bytes, seconds: float) -> bytes:
        """Answer one request of a service; raise Refused when it certainly did not run."""
        if self.leaving:
            raise Refused(why="leaving")
        if not any(act.order.service == service for act in self._active.values()):
            raise Refused(why="no such service here")
        if self.busy >= self.host.slots:
            self.overcommits += 1
            raise Refused(why="no slot")
        self.busy += 1
        now = self._clock()
        self.log.append(Run(now, now, self.host.name, "serve", request, 0, 0))
        try:
            await asyncio.sleep(seconds)
        finally:
            self.busy -= 1
        self.served[service] = self.served.get(service, 0) + 1
        return hashlib.sha256(body).hexdigest().encode()


def _running(act: _Active) -> Running:
    order = act.order
    return Running(order.cls, order.size, order.service, throttled=act.rate < 1.0)
