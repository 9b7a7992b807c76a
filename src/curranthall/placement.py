"""Where a task goes: sizes from usage, interference of classes, blame, room for urgent work."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from itertools import accumulate
from typing import NamedTuple

from curranthall.model import Outcome, OutcomeKind, Size, Task

USAGE_BINS = 32
BIN_RATIO = 0.25
USAGE_QUANTILE = 0.95
USAGE_FULL_TRUST = 24
LEARNING_RATE = 0.3
APART_SLOWDOWN = 0.25
TOLERATED_SLOWDOWN = 0.08
QUARANTINE_CLASSES = 2
QUARANTINE_FAILURES = 4
QUARANTINE_S = 30.0
BACKOFF_WORKERS = 3
BACKOFF_S = 10.0
BACKOFF_MAX_S = 600.0
BLAME_WINDOW_S = 120.0


class Want(NamedTuple):
    """A task that may start."""

    task: Task
    cls: str
    service: str
    declared: Size
    urgent: bool
    checkpoint: int


class Candidate(NamedTuple):
    """A worker that may take a task; `classes` names what runs there, services by name."""

    name: str
    total: Size
    room: Size
    classes: tuple[str, ...]
    services: set[str]


class Usage:
    """A histogram of used cores over declared cores for one class."""

    def __init__(self) -> None:
        self._bins = [0] * USAGE_BINS
        self._count = 0

    def add(self, ratio: float) -> None:
        """Take in one task's use."""
        self._bins[min(USAGE_BINS - 1, int(ratio / BIN_RATIO))] += 1
        self._count += 1

    def factor(self) -> float:
        """Give the factor on the declared size; the declared size is the prior."""
        if not self._count:
            return 1.0
        wanted = self._count * USAGE_QUANTILE
        seen = accumulate(self._bins)
        bins = next(number for number, total in enumerate(seen, start=1) if total >= wanted)
        trust = min(1.0, self._count / USAGE_FULL_TRUST)
        learned = bins * BIN_RATIO
        # Growth is believed at once, since it guards the worker; shrinking only with evidence.
        return learned if learned > 1.0 else trust * learned + (1.0 - trust)


class Interference:
    """How much a class slows a service down, learned from reports."""

    def __init__(self) -> None:
        self._added: dict[tuple[str, str], float] = defaultdict(float)
        self._seen: dict[tuple[str, str], int] = defaultdict(int)

    def observe(self, service: str, together: Iterable[str], slowdown: float) -> None:
        """Take in a slowdown factor and what ran together at the report's own time."""
        classes = list(together)
        if not classes:
            return
        error = (slowdown - 1.0) - self.added(service, classes)
        step = LEARNING_RATE * error / len(classes)
        for cls in set(classes):
            pair = (service, cls)
            self._seen[pair] += 1
            self._added[pair] = max(0.0, self._added[pair] + step)

    def added(self, service: str, classes: Iterable[str]) -> float:
        """Predict the slowdown that classes add to a service."""
        return sum(self._added[(service, cls)] for cls in classes)

    def pair(self, service: str, cls: str) -> float:
        """Give what one task of a class adds to a service."""
        return self._added[(service, cls)]


class _Failure(NamedTuple):
    at: float
    worker: str
    cls: str


class Blame:
    """Tell a bad worker from a bad class."""

    def __init__(self) -> None:
        self._failures: list[_Failure] = []
        self._quarantined: dict[str, float] = {}
        self._backed_off: dict[str, tuple[float, float]] = {}

    def ended(self, worker: str, cls: str, kind: OutcomeKind, now: float) -> None:
        """Take in how an attempt ended."""
        if kind is OutcomeKind.DONE:
            self._failures = [f for f in self._failures if f.worker != worker or f.cls != cls]
            self._backed_off.pop(cls, None)
            return
        if kind is not OutcomeKind.FAILED:
            return
        self._failures.append(_Failure(now, worker, cls))
        self._failures = [f for f in self._failures if now - f.at < BLAME_WINDOW_S]
        here = [f for f in self._failures if f.worker == worker]
        elsewhere = {f.worker for f in self._failures if f.cls == cls}
        if len({f.cls for f in here}) >= QUARANTINE_CLASSES or (
            len(here) >= QUARANTINE_FAILURES and len(elsewhere) == 1
        ):
            self._quarantined[worker] = now + QUARANTINE_S
        elif len(elsewhere) >= BACKOFF_WORKERS:
            last = self._backed_off.get(cls, (0.0, BACKOFF_S / 2))[1]
            wait = min(last * 2, BACKOFF_MAX_S)
            self._backed_off[cls] = (now + wait, wait)

    def is_quarantined(self, worker: str, now: float) -> bool:
        """Tell whether a worker gets nothing; after its time one task probes it."""
        return now < self._quarantined.get(worker, 0.0)

    def is_backed_off(self, cls: str, now: float) -> bool:
        """Tell whether a class waits."""
        return now < self._backed_off.get(cls, (0.0, 0.0))[0]


class Placer:
    """Choose workers; pure but for what it has learned."""

    def __init__(self) -> None:
        self.usage: dict[str, Usage] = defaultdict(Usage)
        self.interference = Interference()
        self.blame = Blame()

    def reservation(self, want: Want) -> Size:
        """Give the size to reserve."""
        factor = self.usage[want.service or want.cls].factor()
        declared = want.declared
        return Size(declared.cores * factor, declared.memory, declared.accelerators)

    def choose(
        self, want: Want, size: Size, candidates: Iterable[Candidate], now: float
    ) -> str | None:
        """Give the best worker, None when none may take the task."""
        best, best_cost = None, float("inf")
        for candidate in candidates:
            if not size.fits(candidate.room) or self.blame.is_quarantined(candidate.name, now):
                continue
            cost = self._cost(want, size, candidate)
            if cost < best_cost:
                best, best_cost = candidate.name, cost
        return best

    def _cost(self, want: Want, size: Size, candidate: Candidate) -> float:
        left = candidate.room.minus(size)
        if want.service:
            added = self.interference.added(want.service, candidate.classes)
            same = candidate.classes.count(want.service)
            return 10.0 * added + 5.0 * same - left.cores / candidate.total.cores
        added = 0.0
        for service in candidate.services:
            pair = self.interference.pair(service, want.cls)
            now = self.interference.added(service, candidate.classes)
            if pair > 0.01 and now + pair > APART_SLOWDOWN:
                return float("inf")
            added += max(0.0, now + pair - TOLERATED_SLOWDOWN)
        return 10.0 * added + left.cores / candidate.total.cores

    def why_not(self, size: Size, totals: Iterable[Size]) -> str:
        """Say why nothing was chosen."""
        if not any(size.fits(total) for total in totals):
            return f"fits no worker: {size.cores:g} cores, {size.memory:g} GB"
        return "waiting for room"

    def victims(
        self,
        size: Size,
        candidates: Iterable[Candidate],
        evictable: Mapping[str, Mapping[Task, Size]],
    ) -> tuple[str, list[Task]] | None:
        """Choose the fewest tasks to evict so that a size fits somewhere."""
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

    def ended(self, worker: str, cls: str, outcome: Outcome, now: float) -> None:
        """Learn from an attempt's end."""
        self.blame.ended(worker, cls, outcome.kind, now)

    def backed_off(self, cls: str, now: float) -> bool:
        """Tell whether a class waits."""
        return self.blame.is_backed_off(cls, now)
