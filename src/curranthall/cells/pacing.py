"""How hard filling tasks may work beside serving ones on a worker.

The level is the greatest at which the serving tasks are predicted to stay under their target,
lowered further while a report shows one over it, and raised by steps.
"""

from collections.abc import Iterator

from curranthall.cells.fleet import Member, Run, RunState
from curranthall.cells.interference import Interference
from curranthall.cells.placement import LEAST_PRESS
from curranthall.cells.ports import PaceTask

FULL_PACE = 100
# The part of the load at the target that is aimed at; reports lag half a second.
AIM = 0.88
# While a tail is over this part of its target, the prediction is not trusted: the level halves.
OVER = 0.95
CAUTION_FALL = 0.5
CAUTION_RISE = 2.0
LEAST_CAUTION = 0.3
RISE_PERCENT = 100
# Levels below this do no good, and smaller changes are not worth an order.
LEAST = 10
LEAST_CHANGE = 12
# Where no pair is known to press, a shorter peak is taken for a swing of the serving load.
TOLERATED_S = 0.6
# Over the target for this long, all filling work stops, whatever is known of it: the platform
# allows 4 s, of which a look, a report and the order's way take 1.2.
LAST_RESORT_S = 2.4
# Two changes are this far apart, so that each shows in a report first.
SETTLE_S = 0.7


def worst_tail_ratio(member: Member) -> float:
    """Give the worst tail over target of the serving tasks."""
    return max((run.gauge / run.step.target_ms for run in _serving(member)), default=0.0)


def adjust_pace(member: Member, interference: Interference, now: float) -> Iterator[PaceTask]:
    """Move the worker's level and order the filling runs that press to it."""
    filling = [run for run in member.runs.values() if _paced(run)]
    if not filling and member.pace == FULL_PACE:
        return
    over = worst_tail_ratio(member) >= OVER
    if not over:
        member.over_target_since = None
    elif member.over_target_since is None:
        member.over_target_since = now
    lasting = over and (
        now - (member.over_target_since or now) >= TOLERATED_S
        or any(_surely_presses(run, member, interference) for run in filling)
    )
    if member.over_target_since is not None and now - member.over_target_since >= LAST_RESORT_S:
        if member.pace > 0:
            member.pace, member.pace_changed_at = 0, now
        member.pace_all_runs = True
    elif now - member.pace_changed_at >= SETTLE_S and (lasting or member.pace < FULL_PACE):
        _move_level(member, filling, interference, now)
    for run in filling:
        pressed = member.pace_all_runs or _presses(run, member, interference)
        level = member.pace if pressed else FULL_PACE
        if run.pace != level:
            member.set_pace(run, level)
            yield PaceTask(member.name, run.task, run.number, level)


def _move_level(member: Member, filling: list[Run], known: Interference, now: float) -> None:
    worst = worst_tail_ratio(member)
    over = worst >= OVER
    factor = CAUTION_FALL if over else CAUTION_RISE
    member.pace_factor = min(1.0, max(LEAST_CAUTION, member.pace_factor * factor))
    best = min([1.0, *(_allowed(run, member, filling, known) for run in _serving(member))])
    level = int(FULL_PACE * best * member.pace_factor)
    level = min(level, member.pace if over else member.pace + RISE_PERCENT)
    if level < LEAST:
        level = 0
    # When nothing is left to take from those known to press, it may be any of them.
    member.pace_all_runs = (member.pace_all_runs and level < FULL_PACE) or (
        over and member.pace == 0
    )
    small = abs(level - member.pace) < LEAST_CHANGE and level not in (0, FULL_PACE)
    if level != member.pace and not small:
        member.pace, member.pace_changed_at = level, now


def _allowed(run: Run, member: Member, filling: list[Run], known: Interference) -> float:
    """Give the share of full work at which one serving task stays under its target."""
    image, target = run.step.image, run.step.target_ms
    now_pressing = full_pressing = 0.0
    for other in filling:
        share = other.step.size.cores / member.host.size.cores
        press = known.weight(image, other.step.image) * share
        full_pressing += press
        now_pressing += press * max(other.pace, 0) / FULL_PACE
    if full_pressing <= 0:
        return 1.0
    # A tail far over the target says little of the load, so the usual own load counts, too.
    own = known.observed_load(image, run.gauge, target) - now_pressing
    own = max(own, 0.7 * known.own_load(image))
    return (AIM * known.limit(image, target) - own) / full_pressing


def _presses(run: Run, member: Member, known: Interference) -> bool:
    share = run.step.size.cores / member.host.size.cores
    return any(
        known.weight(other.step.image, run.step.image) * share >= LEAST_PRESS
        for other in _serving(member)
    )


def _surely_presses(run: Run, member: Member, known: Interference) -> bool:
    """Tell whether reports have shown the run's image to press on a task over its target."""
    share = run.step.size.cores / member.host.size.cores
    return any(
        known.is_learned(other.step.image, run.step.image)
        and known.weight(other.step.image, run.step.image) * share >= LEAST_PRESS
        for other in _serving(member)
        if other.gauge >= OVER * other.step.target_ms
    )


def _serving(member: Member) -> Iterator[Run]:
    for run in member.runs.values():
        if run.step.target_ms and run.state is RunState.RUNNING:
            yield run


def _paced(run: Run) -> bool:
    return run.step.filling and run.state is RunState.RUNNING
