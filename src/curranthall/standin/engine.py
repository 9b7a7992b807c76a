"""State of the worker stand-in: lease, tasks, outcomes, endpoint slots and run log."""

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
    """Record of the run log; `at` is when the event took effect."""

    at: float
    written_at: float
    worker: str
    what: str
    name: str
    attempt: int
    checkpoint: int


class _ActiveTask:
    def __init__(self, order: StartOrder, now: float) -> None:
        self.order = order
        self.progress = float(order.checkpoint)
        self.rate = 1.0
        self.updated_at = now
        self.timer: asyncio.TimerHandle | None = None

    def advance(self, now: float) -> None:
        self.progress += (now - self.updated_at) * self.rate
        self.updated_at = now


class WorkerEngine:
    """A worker; while its lease is held, it refuses lease and task calls with another token."""

    def __init__(
        self, host: Host, clock: Callable[[], float], boot: str, log: list[Run] | None = None
    ) -> None:
        self.host = host
        self.log: list[Run] = [] if log is None else log
        self._clock = clock
        self._boot = boot
        self._active: dict[Task, _ActiveTask] = {}
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
        self.fails_all_tasks = False
        self.leaving = False

    # Lease

    def lease(
        self, token: Token, echo: float, seq: int, seen: int, term: float, boot: str = ""
    ) -> LeaseGrant:
        """Grant or renew the lease; a renewed term starts at the earlier stamp `echo`, not now."""
        self.expire_lease()
        if self._is_former(boot):
            raise Fenced(token=self.token)
        now = self._clock()
        if token == self.token and not self._released:
            self._lease_end = max(self._lease_end, min(echo, now) + term)
            self._seq = max(self._seq, seq)
        else:
            self._claim(token, now + term)
            self._seq = seq
            seen = -1
        self._schedule_lapse()
        unchanged = seen == self._changes
        inventory = None if unchanged else self.inventory()
        report, self._report = self._report, None
        return LeaseGrant(self.token, now, self._lease_end - now, inventory, report)

    def _is_former(self, boot: str) -> bool:
        """Return whether a call was sent to a former boot; a claim names none."""
        return boot not in ("", self._boot)

    def set_report(self, report: Report) -> None:
        """Set the report to send with the next renewal."""
        self._report = report

    def _claim(self, token: Token, end: float) -> None:
        if not self._released or token <= self.token:
            left = max(0.0, self._lease_end - self._clock())
            raise Fenced(token=self.token, left_s=left)
        self.token = token
        self._lease_end = end
        self._released = False

    def release(self, token: Token) -> None:
        """Release the lease; tasks run on until its term ends, so a new holder may keep them."""
        self._check_token(token)
        self._released = True

    @property
    def is_free(self) -> bool:
        """Return whether no lease holds the worker."""
        self.expire_lease()
        return self._released

    @property
    def changes(self) -> int:
        """Return the number of changes of the inventory."""
        return self._changes

    def inventory(self) -> Inventory:
        """Return the running tasks and the unacknowledged outcomes."""
        running = {task: _to_running(active) for task, active in self._active.items()}
        return Inventory(self._boot, running, dict(self._outcomes), self.busy)

    def expire_lease(self) -> None:
        """End the lease if it has lapsed: checkpoint and stop all tasks except services."""
        end = self._lease_end
        if not end or self._clock() < end:
            return
        self._lease_end = 0.0
        self._released = True
        for task, active in list(self._active.items()):
            if not active.order.service:
                # If the worker was frozen past its term, it made no progress after the term.
                active.advance(end)
                self._end(task, Outcome(OutcomeKind.EVICTED, int(active.progress)), end)

    def _schedule_lapse(self) -> None:
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        loop = asyncio.get_running_loop()
        left_s = max(0.0, self._lease_end - self._clock())
        self._lapse_timer = loop.call_later(left_s, self._lapse_due)

    def _lapse_due(self) -> None:
        self.expire_lease()

    def _check_token(self, token: Token) -> None:
        self.expire_lease()
        if token != self.token or self._released:
            raise Fenced(token=self.token)

    # Tasks

    def start(
        self, token: Token, seq: int, order: StartOrder, until: float, boot: str = ""
    ) -> None:
        """Start an attempt; repeats have no effect; overtaken or late calls are refused."""
        self._check_token(token)
        if self._is_former(boot):
            raise Refused(why="sent to a former boot")
        if order.task in self._active:
            return
        if seq < self._seq or self._clock() > until:
            raise Refused(why="overtaken or too late")
        if order.task in self._outcomes or self._has_other_attempt(order.task):
            raise Refused(why="attempt exists")
        if not self._reserved().plus(order.size).fits(self.host.size):
            self.overcommits += 1
            raise Refused(why="no room")
        active = _ActiveTask(order, self._clock())
        self._active[order.task] = active
        self._log_run("start", order.task, order.checkpoint)
        self._schedule_finish(order.task, active)
        self._changes += 1

    def _has_other_attempt(self, task: Task) -> bool:
        return any(other.key == task.key for other in self._active)

    def _reserved(self) -> Size:
        total = ZERO_SIZE
        for active in self._active.values():
            total = total.plus(active.order.size)
        return total

    def _schedule_finish(self, task: Task, active: _ActiveTask) -> None:
        if active.timer is not None:
            active.timer.cancel()
        if self.fails_all_tasks:
            left_s = 0.05
        elif active.order.seconds <= 0:
            return
        else:
            left_s = max(0.0, (active.order.seconds - active.progress) / active.rate)
        active.timer = asyncio.get_running_loop().call_later(left_s, self._finish, task)

    def _finish(self, task: Task) -> None:
        self.expire_lease()
        active = self._active.get(task)
        if active is None:
            return
        if self.fails_all_tasks:
            self._end(task, Outcome(OutcomeKind.FAILED, active.order.checkpoint, "worker fault"))
        else:
            self._end(task, Outcome(OutcomeKind.DONE, int(active.order.seconds)))

    def _end(self, task: Task, outcome: Outcome, at: float | None = None) -> None:
        active = self._active.pop(task)
        if active.timer is not None:
            active.timer.cancel()
        self._outcomes[task] = outcome
        self._changes += 1
        what = outcome.kind.value if at is None else "lapsed"
        self._log_run(what, task, outcome.checkpoint, at)

    def stop(self, token: Token, task: Task, finish: bool) -> Outcome | None:
        """Checkpoint and stop an attempt; return its outcome, None if it is unknown."""
        self._check_token(token)
        active = self._active.get(task)
        if active is not None:
            kind = OutcomeKind.DONE if finish else OutcomeKind.EVICTED
            self._end(task, Outcome(kind, self._progress(active)))
        return self._outcomes.get(task)

    def throttle(self, token: Token, task: Task, on: bool) -> None:
        """Turn throttling of a task on or off."""
        self._check_token(token)
        active = self._active.get(task)
        if active is None:
            return
        active.advance(self._clock())
        active.rate = THROTTLED_RATE if on else 1.0
        self._schedule_finish(task, active)
        self._changes += 1

    def acknowledge(self, token: Token, tasks: list[Task]) -> None:
        """Drop outcomes that the holder has recorded."""
        self._check_token(token)
        for task in tasks:
            if self._outcomes.pop(task, None) is not None:
                self._changes += 1

    def _progress(self, active: _ActiveTask) -> int:
        active.advance(self._clock())
        return int(active.progress)

    def _log_run(self, what: str, task: Task, checkpoint: int, at: float | None = None) -> None:
        now = self._clock()
        event_at = now if at is None else at
        name = f"{task.job}/{task.number}"
        self.log.append(Run(event_at, now, self.host.name, what, name, task.attempt, checkpoint))

    # Endpoint

    async def serve(self, service: str, request: str, body: bytes, seconds: float) -> bytes:
        """Serve one request of a service; raise Refused if it certainly did not run."""
        if self.leaving:
            raise Refused(why="leaving")
        if not any(active.order.service == service for active in self._active.values()):
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


def _to_running(active: _ActiveTask) -> Running:
    order = active.order
    return Running(order.cls, order.size, order.service, throttled=active.rate < 1.0)
