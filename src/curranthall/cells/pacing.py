"""How hard filling tasks may work beside serving ones on a worker.

The level falls as soon as a serving task's tail nears its target, and rises by small steps.
"""

from collections.abc import Iterator

from curranthall.cells.fleet import Member, Run, RunState
from curranthall.cells.ports import PaceTask

FULL = 100
# Tail over target: above the first the level falls, above the second to nothing at once,
# below the third it rises. Reports lag half a second and serving load moves within seconds.
FALL_AT = 0.75
STOP_AT = 1.0
RISE_AT = 0.55
FALL_FACTOR = 0.4
LEAST = 10
RISE_PERCENT = 15
# Two changes of the level are this far apart, so that each shows in a report first.
SETTLE_S = 0.8


def pressure(member: Member) -> float:
    """Give the worst tail over target of the serving tasks."""
    return max(
        (
            run.gauge / run.step.target_ms
            for run in member.runs.values()
            if run.step.target_ms and run.state is RunState.RUNNING
        ),
        default=0.0,
    )


def adjust(member: Member, now: float) -> Iterator[PaceTask]:
    """Move the worker's level and order every filling run to it."""
    filling = [run for run in member.runs.values() if _paced(run)]
    if not filling and member.pace == FULL:
        return
    if now - member.pace_changed_at >= SETTLE_S:
        level = _next_level(member.pace, pressure(member))
        if level != member.pace:
            member.pace, member.pace_changed_at = level, now
    for run in filling:
        if run.pace != member.pace:
            run.pace = member.pace
            yield PaceTask(member.name, run.task, run.number, member.pace)


def _paced(run: Run) -> bool:
    return run.step.filling and run.state is RunState.RUNNING


def _next_level(level: int, worst: float) -> int:
    if worst >= STOP_AT:
        return 0
    if worst >= FALL_AT:
        lower = int(level * FALL_FACTOR)
        return lower if lower >= LEAST else 0
    if worst < RISE_AT:
        return min(FULL, level + RISE_PERCENT)
    return level
