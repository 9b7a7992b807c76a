"""When a service is slowed down: throttle, then evict, with hysteresis; apart is the placer's."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from curranthall.learning import Interference
from curranthall.model import Report, Running, Task

THROTTLE_SLOWDOWN = 1.3
EVICT_SLOWDOWN = 1.45
LOW_SLOWDOWN = 1.05
CALM_REPORTS = 2
ACTION_GAP_S = 20.0
PAIR_WORTH_ACTING = 0.01


class Throttle(NamedTuple):
    """Slow a task down."""

    task: Task


class Unthrottle(NamedTuple):
    """Let a task go at full speed again."""

    task: Task


class Evict(NamedTuple):
    """Checkpoint and stop a task."""

    task: Task


Action = Throttle | Unthrottle | Evict


@dataclass
class _Rung:
    acted_at: float = float("-inf")
    calm: int = 0
    throttled: list[Task] = field(default_factory=list)


class Ladder:
    """Decide at most one action a worker within the reports' lag."""

    def __init__(self, interference: Interference) -> None:
        self._interference = interference
        self._rungs: dict[str, _Rung] = {}

    def decide(
        self, worker: str, report: Report, running: Mapping[Task, Running], now: float
    ) -> Action | None:
        """Give the next action for a worker after a report."""
        rung = self._rungs.setdefault(worker, _Rung())
        rung.throttled = [task for task in rung.throttled if task in running]
        worst = max(report.slowdowns, key=lambda item: item[1], default=("", 1.0))
        rung.calm = rung.calm + 1 if worst[1] < LOW_SLOWDOWN else 0
        if now - rung.acted_at < ACTION_GAP_S:
            return None
        action = self._next(rung, worst[0], worst[1], running)
        if action is not None:
            rung.acted_at = now
        return action

    def _next(
        self, rung: _Rung, service: str, slowdown: float, running: Mapping[Task, Running]
    ) -> Action | None:
        if rung.throttled and rung.calm >= CALM_REPORTS:
            return Unthrottle(rung.throttled.pop())
        if slowdown < THROTTLE_SLOWDOWN:
            return None
        batch = [task for task, run in running.items() if not run.service]
        guilt = {t: self._interference.pair(service, running[t].cls) for t in batch}
        free = [task for task in batch if task not in rung.throttled]
        suspect = max(free, key=lambda task: guilt[task], default=None)
        if suspect is not None and guilt[suspect] > PAIR_WORTH_ACTING:
            rung.throttled.append(suspect)
            return Throttle(suspect)
        if rung.throttled and slowdown > EVICT_SLOWDOWN:
            worst = max(rung.throttled, key=lambda task: guilt[task])
            rung.throttled.remove(worst)
            return Evict(worst)
        return None
