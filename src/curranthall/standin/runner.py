"""A worker that runs tasks of jobs as graphs: epochs, leases, guards, ends until acknowledged."""

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

MAX_HOLD_S = 6.0


class Work(NamedTuple):
    """What a start stands for: the step tells the size, `seconds` the time at full pace."""

    step: Step
    seconds: float
    fails: bool = False


@dataclass(slots=True, eq=False)
class _Run:
    order: StartTask
    work: Work
    done_s: float = 0.0
    since: float = 0.0
    pace: int = 100


class Runner:
    """One life of a worker; `find` gives the work of a task, `note` hears of starts and ends."""

    def __init__(
        self,
        host: Host,
        clock: Callable[[], float],
        find: Callable[[TaskId], Work],
        note: Callable[[str, TaskId, int, str], None],
    ) -> None:
        self.host = host
        self.running: dict[TaskId, _Run] = {}
        self._clock = clock
        self._find = find
        self._note = note
        self._born_at = clock()
        self.born = int(clock() * 1000)
        self._epoch = 0
        self._lease_ms = 0
        self._ended: list[Ending] = []
        self._count = 0
        # Ends up to this number were listed before a lapse of the lease.
        self._lapsed_to = 0
        self._barred: dict[TaskId, int] = {}
        self._news = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Give the worker's own clock, which begins with its boot."""
        return int((self._clock() - self._born_at) * 1000)

    async def hold(self, epoch: int, cursor: int, lease_ms: int | None, wait_ms: int) -> Snapshot:
        """Extend the lease, acknowledge ends, list; wait for an end."""
        self._obey(epoch)
        self._note_lapse()
        for end in self._ended:
            if end.number <= cursor:
                # An end from before a lapse counts as not taken note of, for good.
                kind = "lapsed" if end.number <= self._lapsed_to else f"acked {end.kind.value}"
                self._note(kind, end.task, end.run, self.host.name)
        self._ended = [end for end in self._ended if end.number > cursor]
        if lease_ms is not None:
            self._extend(lease_ms)
        if wait_ms and not self._ended:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._news.wait()
            except TimeoutError:
                pass
            self._obey(epoch)
        self.step()
        running = [
            ListedRun(run.order.task, run.order.run, "", self._percent(run), 0.0)
            for run in self.running.values()
        ]
        return Snapshot(self.clock_ms, self.born, running, list(self._ended))

    def start(self, epoch: int, order: StartTask) -> StartResult:
        """Start a run."""
        self._obey(epoch)
        self.step()
        here = self.running.get(order.task)
        if here is not None and here.order.run == order.run:
            return StartResult.STARTED
        if order.run <= self._barred.get(order.task, 0) or here is not None:
            return StartResult.OLD_RUN
        if order.deadline_ms < self.clock_ms:
            return StartResult.TOO_LATE
        work = self._find(order.task)
        if not work.step.reserved.fits(self.host.size.minus(self.total_reserved())):
            return StartResult.NO_ROOM
        self._extend(order.deadline_ms)
        self.running[order.task] = _Run(order, work, since=self._clock())
        self._note("start", order.task, order.run, self.host.name)
        return StartResult.STARTED

    def stop(self, epoch: int, order: StopTask) -> None:
        """Stop a run, and bar it from starting."""
        self._obey(epoch)
        self._barred[order.task] = max(order.run, self._barred.get(order.task, 0))
        run = self.running.get(order.task)
        if run is not None and run.order.run <= order.run:
            self._end(run, EndKind.STOPPED)

    def pace(self, epoch: int, order: PaceTask) -> None:
        """Set the share at which a run works."""
        self._obey(epoch)
        self.step()
        run = self.running.get(order.task)
        if run is not None:
            run.pace = order.percent

    def step(self) -> None:
        """Bring runs to the present time."""
        if self.running and self.clock_ms > self._lease_ms:
            for run in list(self.running.values()):
                self._end(run, EndKind.LAPSED)
        now = self._clock()
        for run in list(self.running.values()):
            run.done_s += (now - run.since) * run.pace / 100
            run.since = now
            if not run.work.step.lasting and run.done_s >= run.work.seconds:
                self._end(run, EndKind.FAILED if run.work.fails else EndKind.DONE)

    def total_reserved(self) -> Size:
        """Sum up what runs."""
        total = ZERO_SIZE
        for run in self.running.values():
            total = total.plus(run.work.step.reserved)
        return total

    def _obey(self, epoch: int) -> None:
        if epoch < self._epoch:
            raise Fenced(worker=self.host.name, epoch=epoch, newest=self._epoch)
        self._epoch = epoch

    def _note_lapse(self) -> None:
        if self.clock_ms > self._lease_ms:
            self._lapsed_to = self._count

    def _extend(self, lease_ms: int) -> None:
        self._note_lapse()
        most = self.clock_ms + int(MAX_HOLD_S * 1000)
        self._lease_ms = max(self._lease_ms, min(lease_ms, most))

    def _end(self, run: _Run, kind: EndKind) -> None:
        task = run.order.task
        del self.running[task]
        self._barred[task] = max(run.order.run, self._barred.get(task, 0))
        self._count += 1
        self._ended.append(Ending(self._count, task, run.order.run, kind, ""))
        self._note(kind.value, task, run.order.run, self.host.name)
        self._news.set()
        self._news = asyncio.Event()

    def _percent(self, run: _Run) -> float:
        return 100 if run.work.step.lasting else 100 * run.done_s / run.work.seconds
