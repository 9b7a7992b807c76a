"""Worker stand-in for tasks of DAG jobs: tokens, lease, start checks, ends until acknowledged."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from curranthall.cells.ports import (
    Ending,
    EndKind,
    ListedRun,
    PaceTask,
    Snapshot,
    StartResult,
    StartTask,
    StopTask,
)
from curranthall.dag import Step, TaskId
from curranthall.errors import Fenced
from curranthall.model import ZERO_SIZE, Host, Size

MAX_LEASE_S = 6.0


class Work(NamedTuple):
    """Work of one task: `step` has its size, `seconds` is its run time at full pace."""

    step: Step
    seconds: float
    fails: bool = False


@dataclass(slots=True, eq=False)
class _Run:
    order: StartTask
    work: Work
    progress_s: float = 0.0
    updated_at: float = 0.0
    pace: int = 100


class Runner:
    """One boot of a worker; `on_event` is called when a run starts, ends or is acknowledged."""

    def __init__(
        self,
        host: Host,
        clock: Callable[[], float],
        find_work: Callable[[TaskId], Work],
        on_event: Callable[[str, TaskId, int, str], None],
    ) -> None:
        self.host = host
        self.running: dict[TaskId, _Run] = {}
        # Speed of the worker's own clock.
        self.clock_rate = 1.0
        self._clock = clock
        self._find_work = find_work
        self._on_event = on_event
        self._booted_at = clock()
        self.born = int(clock() * 1000)
        self._token = 0
        self._lease_ms = 0
        self._ended: list[Ending] = []
        self._last_end = 0
        # Ends up to this number precede the last lapse of the lease.
        self.lapsed_to = 0
        self._barred_runs: dict[TaskId, int] = {}
        self._end_added = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Return the worker's own clock, which starts at 0 at its boot."""
        return int((self._clock() - self._booted_at) * self.clock_rate * 1000)

    def lease_left_s(self) -> float:
        """Return the real time until the lease is over; 0 or less once it is."""
        return (self._lease_ms - self.clock_ms) / 1000 / self.clock_rate

    async def hold(self, token: int, cursor: int, lease_ms: int | None, wait_ms: int) -> Snapshot:
        """Acknowledge ends up to `cursor`, extend the lease, wait for an end, list all runs."""
        self._check_token(token)
        self._record_lapse()
        for end in self._ended:
            if end.number <= cursor:
                # An end from before a lapse is never reported as acknowledged.
                event = "lapsed" if end.number <= self.lapsed_to else f"acked {end.kind.value}"
                self._on_event(event, end.task, end.run, self.host.name)
        self._ended = [end for end in self._ended if end.number > cursor]
        if lease_ms is not None:
            self._extend(lease_ms)
        if wait_ms and not self._ended:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._end_added.wait()
            except TimeoutError:
                pass
            self._check_token(token)
        self.step()
        running = [
            ListedRun(run.order.task, run.order.run, "", self._percent(run), 0.0)
            for run in self.running.values()
        ]
        return Snapshot(self.clock_ms, self.born, running, list(self._ended))

    def start(self, token: int, order: StartTask) -> StartResult:
        """Start a run, unless it is stale, late or has no room."""
        self._check_token(token)
        self.step()
        current = self.running.get(order.task)
        if current is not None and current.order.run == order.run:
            return StartResult.STARTED
        if order.run <= self._barred_runs.get(order.task, 0) or current is not None:
            self._extend(order.deadline_ms)
            return StartResult.OLD_RUN
        if order.deadline_ms < self.clock_ms:
            return StartResult.TOO_LATE
        self._extend(order.deadline_ms)
        work = self._find_work(order.task)
        if not work.step.reserved.fits(self.host.size.minus(self.total_reserved())):
            return StartResult.NO_ROOM
        self.running[order.task] = _Run(order, work, updated_at=self._clock())
        self._on_event("start", order.task, order.run, self.host.name)
        return StartResult.STARTED

    def stop(self, token: int, order: StopTask) -> None:
        """Stop the task's run up to the ordered number, and bar such runs from starting."""
        self._check_token(token)
        self._barred_runs[order.task] = max(order.run, self._barred_runs.get(order.task, 0))
        run = self.running.get(order.task)
        if run is not None and run.order.run <= order.run:
            self._end(run, EndKind.STOPPED)

    def pace(self, token: int, order: PaceTask) -> None:
        """Set a run's pace in percent."""
        self._check_token(token)
        self.step()
        run = self.running.get(order.task)
        if run is not None:
            run.pace = order.percent

    def end(self, task: TaskId, kind: EndKind) -> None:
        """End a run for a reason outside this worker, e.g. the end of another member of a gang."""
        self._end(self.running[task], kind)

    def step(self) -> None:
        """Advance all runs to the current time and end those that lapsed or finished."""
        if self.running and self.clock_ms > self._lease_ms:
            for run in list(self.running.values()):
                self._end(run, EndKind.LAPSED)
        now = self._clock()
        for run in list(self.running.values()):
            run.progress_s += (now - run.updated_at) * run.pace / 100
            run.updated_at = now
            if not run.work.step.lasting and run.progress_s >= run.work.seconds:
                self._end(run, EndKind.FAILED if run.work.fails else EndKind.DONE)

    def total_reserved(self) -> Size:
        """Return the total reserved size of all runs."""
        total = ZERO_SIZE
        for run in self.running.values():
            total = total.plus(run.work.step.reserved)
        return total

    def _check_token(self, token: int) -> None:
        if token < self._token:
            raise Fenced(worker=self.host.name, token=token, newest=self._token)
        self._token = token

    def _record_lapse(self) -> None:
        if self.clock_ms > self._lease_ms:
            self.lapsed_to = self._last_end

    def _extend(self, lease_ms: int) -> None:
        self._record_lapse()
        limit_ms = self.clock_ms + int(MAX_LEASE_S * 1000)
        self._lease_ms = max(self._lease_ms, min(lease_ms, limit_ms))

    def _end(self, run: _Run, kind: EndKind) -> None:
        task = run.order.task
        del self.running[task]
        self._barred_runs[task] = max(run.order.run, self._barred_runs.get(task, 0))
        self._last_end += 1
        self._ended.append(Ending(self._last_end, task, run.order.run, kind, ""))
        self._on_event(kind.value, task, run.order.run, self.host.name)
        self._end_added.set()
        self._end_added = asyncio.Event()

    def _percent(self, run: _Run) -> float:
        return 100 if run.work.step.lasting else 100 * run.progress_s / run.work.seconds
