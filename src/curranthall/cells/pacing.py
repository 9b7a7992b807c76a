"""Pace of filling tasks that share a worker with serving tasks.

The pace is the highest at which all serving tasks are predicted to stay under their target. It is
lowered further while a report shows one over its target, and raised in steps.
"""

from collections.abc import Iterable, Iterator

from curranthall.cells.fleet import Member, Run, RunState
from curranthall.cells.interference import Interference
from curranthall.cells.placement import MIN_INTERFERENCE
from curranthall.cells.ports import PaceTask

FULL_PACE = 100
# Load to aim for, relative to the load at the target; the margin covers the 0.5 s lag of reports.
TARGET_LOAD_SHARE = 0.88
# While a tail exceeds this part of its target, the prediction is not trusted and the pace halves.
OVER_TARGET_RATIO = 0.95
PACE_FACTOR_DOWN = 0.5
PACE_FACTOR_UP = 2.0
MIN_PACE_FACTOR = 0.3
MAX_RISE_PERCENT = 100
# A lower pace is useless and becomes 0; smaller changes are not worth an order.
MIN_PACE = 10
MIN_PACE_CHANGE = 12
# If no pair is known to interfere, a shorter peak counts as variation of the serving load.
UNEXPLAINED_GRACE_S = 0.6
# Over the target for this long, all filling runs are paused, whatever their weights: the platform
# allows 4 s, of which polling, reporting and delivering the order take 1.2.
PAUSE_ALL_AFTER_S = 2.4
# Minimum time between two changes, so that a report shows the effect of each.
SETTLE_S = 0.7
# A run paced below this percentage for this long is moved to a free worker.
RELIEF_PACE = 50
RELIEF_AFTER_S = 0.5


def worst_tail_ratio(member: Member) -> float:
    """Return the highest ratio of tail to target among the serving tasks."""
    return max((run.gauge / run.step.target_ms for run in _serving(member)), default=0.0)


def adjust_pace(member: Member, interference: Interference, now: float) -> Iterator[PaceTask]:
    """Update the worker's pace and yield orders for the filling runs whose pace changes."""
    filling = [run for run in member.runs.values() if _is_running_filling(run)]
    if not filling and member.pace == FULL_PACE:
        return
    is_over = worst_tail_ratio(member) >= OVER_TARGET_RATIO
    if not is_over:
        member.over_target_since = None
    elif member.over_target_since is None:
        member.over_target_since = now
    must_slow = is_over and (
        now - (member.over_target_since or now) >= UNEXPLAINED_GRACE_S
        or any(_is_known_to_interfere(run, member, interference) for run in filling)
    )
    if member.over_target_since is not None and now - member.over_target_since >= PAUSE_ALL_AFTER_S:
        if member.pace > 0:
            member.pace, member.pace_changed_at = 0, now
        member.pace_all = True
    elif now - member.pace_changed_at >= SETTLE_S and (must_slow or member.pace < FULL_PACE):
        _update_pace(member, filling, interference, now)
    for run in filling:
        is_paced = member.pace_all or _interferes(run, member, interference)
        pace = member.pace if is_paced else FULL_PACE
        if run.pace != pace:
            member.set_pace(run, pace)
            yield PaceTask(member.name, run.task, run.number, pace)


def _update_pace(member: Member, filling: list[Run], known: Interference, now: float) -> None:
    worst = worst_tail_ratio(member)
    is_over = worst >= OVER_TARGET_RATIO
    factor = PACE_FACTOR_DOWN if is_over else PACE_FACTOR_UP
    member.pace_factor = min(1.0, max(MIN_PACE_FACTOR, member.pace_factor * factor))
    share = min([1.0, *(_allowed_share(run, member, filling, known) for run in _serving(member))])
    pace = int(FULL_PACE * share * member.pace_factor)
    pace = min(pace, member.pace if is_over else member.pace + MAX_RISE_PERCENT)
    if pace < MIN_PACE:
        pace = 0
    # Once the runs known to interfere are paused, any other may be the cause.
    member.pace_all = (member.pace_all and pace < FULL_PACE) or (is_over and member.pace == 0)
    is_small = abs(pace - member.pace) < MIN_PACE_CHANGE and pace not in (0, FULL_PACE)
    if pace != member.pace and not is_small:
        member.pace, member.pace_changed_at = pace, now


def _allowed_share(run: Run, member: Member, filling: list[Run], known: Interference) -> float:
    """Return the share of full pace at which one serving task stays under its target."""
    image, target = run.step.image, run.step.target_ms
    current_load = full_load = 0.0
    for other in filling:
        share = member.share(other.step.size.cores)
        load = known.weight(image, other.step.image) * share
        full_load += load
        current_load += load * max(other.pace, 0) / FULL_PACE
    if full_load <= 0:
        return 1.0
    # A tail far over the target is a poor measure of load, so the usual own load is a lower bound.
    own = known.observed_load(image, run.gauge, target) - current_load
    own = max(own, 0.7 * known.own_load(image))
    return (TARGET_LOAD_SHARE * known.limit(image, target) - own) / full_load


def _interferes(run: Run, member: Member, known: Interference) -> bool:
    share = member.share(run.step.size.cores)
    return any(
        known.weight(other.step.image, run.step.image) * share >= MIN_INTERFERENCE
        for other in _serving(member)
    )


def _is_known_to_interfere(run: Run, member: Member, known: Interference) -> bool:
    """Return whether the run's image has a learned weight on a serving task over its target."""
    share = member.share(run.step.size.cores)
    return any(
        known.is_learned(other.step.image, run.step.image)
        and known.weight(other.step.image, run.step.image) * share >= MIN_INTERFERENCE
        for other in _serving(member)
        if other.gauge >= OVER_TARGET_RATIO * other.step.target_ms
    )


def _serving(member: Member) -> Iterator[Run]:
    for run in member.runs.values():
        if run.step.target_ms and run.state is RunState.RUNNING:
            yield run


def _is_running_filling(run: Run) -> bool:
    return run.step.filling and run.state is RunState.RUNNING


def list_slowed(members: Iterable[Member], now: float) -> list[Run]:
    """Return the checkpointing runs that have been paced below RELIEF_PACE for RELIEF_AFTER_S."""
    return [
        run
        for member in members
        if member.pace < RELIEF_PACE and now - member.pace_changed_at >= RELIEF_AFTER_S
        for run in member.runs.values()
        if run.pace < RELIEF_PACE and run.state is RunState.RUNNING
        if run.step.checkpointing and not run.step.gang
    ]
