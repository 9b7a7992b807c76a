"""Choice of workers by learned sizes, interference and failures; room for urgent tasks."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from curranthall.blame import Blame
from curranthall.learning import Interference, Usage
from curranthall.model import Outcome, Report, Size, Task

APART_SLOWDOWN = 0.25
TOLERATED_SLOWDOWN = 0.03
INTERFERENCE_WEIGHT = 10.0
SPREAD_WEIGHT = 5.0


class WaitingTask(NamedTuple):
    """A task that waits for a worker."""

    task: Task
    cls: str
    service: str
    declared: Size
    urgent: bool
    checkpoint: int


class Candidate(NamedTuple):
    """A worker that may take a task; `classes` has the class or service of each task on it."""

    name: str
    total: Size
    room: Size
    classes: tuple[str, ...]
    services: set[str]


class Placer:
    """Choose workers; its only state is what it has learned."""

    def __init__(self) -> None:
        self.usage: dict[str, Usage] = defaultdict(Usage)
        self.declared: dict[str, float] = {}
        self.interference = Interference()
        self.blame = Blame()

    def reservation(self, waiting: WaitingTask) -> Size:
        """Return the size to reserve for a task."""
        name = waiting.service or waiting.cls
        factor = self.usage[name].factor()
        declared = waiting.declared
        self.declared[name] = declared.cores
        return Size(declared.cores * factor, declared.memory, declared.accelerators)

    def choose_worker(
        self, waiting: WaitingTask, size: Size, candidates: Iterable[Candidate], now: float
    ) -> str | None:
        """Return the best worker, None if none may take the task."""
        best, best_cost = None, float("inf")
        for candidate in candidates:
            if not size.fits(candidate.room) or self.blame.is_quarantined(candidate.name, now):
                continue
            cost = self._cost(waiting, size, candidate)
            if cost < best_cost:
                best, best_cost = candidate.name, cost
        return best

    def _cost(self, waiting: WaitingTask, size: Size, candidate: Candidate) -> float:
        left = candidate.room.minus(size)
        if waiting.service:
            added = self.interference.predict(waiting.service, candidate.classes)
            replicas = candidate.classes.count(waiting.service)
            return (
                INTERFERENCE_WEIGHT * added
                + SPREAD_WEIGHT * replicas
                - left.cores / candidate.total.cores
            )
        added = 0.0
        for service in candidate.services:
            effect = self.interference.class_effect(service, waiting.cls)
            current = self.interference.predict(service, candidate.classes)
            if effect > 0.01 and current + effect > APART_SLOWDOWN:
                return float("inf")
            added += max(0.0, current + effect - TOLERATED_SLOWDOWN)
        return INTERFERENCE_WEIGHT * added + left.cores / candidate.total.cores

    def wait_reason(self, size: Size, totals: Iterable[Size]) -> str:
        """Return why no worker was chosen."""
        if not any(size.fits(total) for total in totals):
            return f"fits no worker: {size.cores:g} cores, {size.memory:g} GB"
        return "waiting for room"

    def choose_victims(
        self,
        size: Size,
        candidates: Iterable[Candidate],
        evictable: Mapping[str, Mapping[Task, Size]],
    ) -> tuple[str, list[Task]] | None:
        """Choose the worker that fits a size after the fewest evictions, and the tasks to evict."""
        best: tuple[str, list[Task]] | None = None
        for candidate in candidates:
            room, chosen = candidate.room, []
            tasks = evictable.get(candidate.name, {})
            for task, used in sorted(tasks.items(), key=lambda item: -item[1].cores):
                if size.fits(room):
                    break
                room = room.plus(used)
                chosen.append(task)
            if size.fits(room) and (best is None or len(chosen) < len(best[1])):
                best = (candidate.name, chosen)
        return best

    def observe(self, report: Report) -> None:
        """Learn from a worker's measurements and the tasks that ran when they were taken."""
        for name, cores in report.usage:
            declared = self.declared.get(name)
            if declared:
                self.usage[name].add(cores / declared)
        classes = [name for name, _ in report.usage if not report.is_service(name)]
        for service, slowdown in report.slowdowns:
            self.interference.observe(service, classes, slowdown)

    def record_outcome(self, worker: str, cls: str, outcome: Outcome, now: float) -> None:
        """Learn from the outcome of an attempt."""
        self.blame.record_outcome(worker, cls, outcome.kind, now)

    def is_backed_off(self, cls: str, now: float) -> bool:
        """Return whether a class must wait."""
        return self.blame.is_backed_off(cls, now)
