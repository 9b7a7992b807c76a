"""Throttle, then evict batch tasks that slow a service, with hysteresis.

Placer keeps new tasks away from the services that they would slow down.
"""

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
MIN_CLASS_EFFECT = 0.01


class Throttle(NamedTuple):
    """Slow a task down."""

    task: Task


class Unthrottle(NamedTuple):
    """Return a task to full speed."""

    task: Task


class Evict(NamedTuple):
    """Checkpoint and stop a task."""

    task: Task


Action = Throttle | Unthrottle | Evict


@dataclass
class _WorkerState:
    acted_at: float = float("-inf")
    calm_reports: int = 0
    throttled: list[Task] = field(default_factory=list)


class Ladder:
    """Decide on actions; as reports lag, at most one per worker within ACTION_GAP_S."""

    def __init__(self, interference: Interference) -> None:
        self._interference = interference
        self._states: dict[str, _WorkerState] = {}

    def decide(
        self, worker: str, report: Report, running: Mapping[Task, Running], now: float
    ) -> Action | None:
        """Return the next action for a worker after a report, if any."""
        state = self._states.setdefault(worker, _WorkerState())
        state.throttled = [task for task in state.throttled if task in running]
        worst = max(report.slowdowns, key=lambda item: item[1], default=("", 1.0))
        state.calm_reports = state.calm_reports + 1 if worst[1] < LOW_SLOWDOWN else 0
        if now - state.acted_at < ACTION_GAP_S:
            return None
        action = self._next_action(state, worst[0], worst[1], running)
        if action is not None:
            state.acted_at = now
        return action

    def _next_action(
        self, state: _WorkerState, service: str, slowdown: float, running: Mapping[Task, Running]
    ) -> Action | None:
        if state.throttled and state.calm_reports >= CALM_REPORTS:
            return Unthrottle(state.throttled.pop())
        if slowdown < THROTTLE_SLOWDOWN:
            return None
        batch = [task for task, run in running.items() if not run.service]
        effects = {t: self._interference.class_effect(service, running[t].cls) for t in batch}
        unthrottled = [task for task in batch if task not in state.throttled]
        suspect = max(unthrottled, key=lambda task: effects[task], default=None)
        if suspect is not None and effects[suspect] > MIN_CLASS_EFFECT:
            state.throttled.append(suspect)
            return Throttle(suspect)
        if state.throttled and slowdown > EVICT_SLOWDOWN:
            worst = max(state.throttled, key=lambda task: effects[task])
            state.throttled.remove(worst)
            return Evict(worst)
        return None
