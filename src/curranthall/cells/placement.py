"""Which worker a task is started on."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from curranthall.cells.fleet import Member, Run
from curranthall.cells.interference import Interference
from curranthall.dag import Step
from curranthall.model import Size

# A filling task starts only where this share of its cores is idle.
FILLING_SHARE = 0.5
# A filling task joins serving ones where their load stays under this part of its limit; the
# rest is kept for the swing of their own load.
STRAIN_LIMIT = 0.85
# One that adds less than this to a serving task's load may do so up to this part of the limit: the
# swing of the own load is most of what is seen there, and such tasks are not slowed.
LEAST_PRESS = 0.04
LIGHT_LIMIT = 0.97
# Workers report the last half second, so what started later does not show yet.
REPORT_SPAN_S = 0.6
# Part of a worker that lasting tasks leave to short ones, and filling tasks of its memory. Without
# it short urgent tasks find only fragments once lasting tasks, which keep what they have, fill up.
SHORT_SHARE = 0.125
# Differences in load below this, of a limit of about 0.8, do not outweigh idle cores.
PRESS_STEP = 0.02


class Wish(NamedTuple):
    """What narrows the choice for one task."""

    service: str
    step: Step
    siblings: dict[str, int]
    avoid: frozenset[str] = frozenset()
    racks: frozenset[str] = frozenset()
    interference: Interference = Interference()
    margin: float = STRAIN_LIMIT
    now: float = 0.0
    # A filling task may join others where no core is idle.
    crowded: bool = False
    # Part of a worker that lasting and filling tasks leave to short ones.
    kept_share: float = 0.0


class Refusal(NamedTuple):
    """A step without a label or limit for a task of which no worker was found."""

    service: str
    step: Step

    def covers(self, service: str, step: Step) -> bool:
        """Tell whether tasks of another step will find no worker either."""
        known = self.step
        # Filling images press on different serving ones, so each finds its own workers.
        alike = (step.filling, step.lasting, step.image if step.filling else "") == (
            known.filling,
            known.lasting,
            known.image if known.filling else "",
        )
        return service == self.service and alike and known.size.fits(step.size)


def choose(wish: Wish, members: Iterable[Member]) -> Member | None:
    """Give the best of the usable members that has room, or None."""
    best, best_rank = None, None
    for member in members:
        if not fits(wish, member):
            continue
        rank = _rank(wish, member)
        if best_rank is None or rank < best_rank:
            best, best_rank = member, rank
    return best


def fits(wish: Wish, member: Member) -> bool:
    """Tell whether the task may run here and has room."""
    step, host = wish.step, member.host
    if host.service != wish.service:
        return False
    if step.requires and step.requires not in host.labels:
        return False
    if step.max_per_worker and wish.siblings.get(host.name, 0) >= step.max_per_worker:
        return False
    if not step.reserved.fits(member.room):
        return False
    if step.lasting:
        return leaves_short(step, member, wish.kept_share)
    return not step.filling or _may_fill(wish, member)


def leaves_short(step: Step, member: Member, kept_share: float) -> bool:
    """Tell whether one more lasting task leaves a part of the worker to short ones.

    It always does where the task fits twice: the platform expects it to start there.
    """
    size, taken = member.host.size, member.lasting.plus(step.size)
    kept = Size(
        min(step.size.cores, kept_share * size.cores),
        min(step.size.memory, kept_share * size.memory),
    )
    return taken.plus(kept).fits(size)


def _may_fill(wish: Wish, member: Member) -> bool:
    step = wish.step
    if step.size.memory + wish.kept_share * member.host.size.memory > member.room.memory:
        return False
    if not wish.crowded and member.idle_cores < step.size.cores * FILLING_SHARE:
        return False
    return not member.serving or not _overloads(wish, member)


def _overloads(wish: Wish, member: Member) -> bool:
    """Tell whether a serving task here is predicted over its part of the limit beside this task."""
    known, share = wish.interference, wish.step.size.cores / member.host.size.cores
    for image, (load, limit) in _strain(wish, member).items():
        press = known.weight(image, wish.step.image) * share
        margin = wish.margin if press >= LEAST_PRESS else max(wish.margin, LIGHT_LIMIT)
        if load + press >= margin * limit:
            return True
    return False


def _strain(wish: Wish, member: Member) -> dict[str, tuple[float, float]]:
    """Give by serving image the greatest load of its tasks here and its limit.

    The same for all wishes of one planning, until a run is added.
    """
    as_of = wish.now, len(member.runs)
    if member.serving_loads_as_of == as_of:
        return member.serving_loads
    known, cores = wish.interference, member.host.size.cores
    hidden = []
    for run in member.runs.values():
        if run.step.filling:
            unseen = 1.0 if wish.now - run.sent_at < REPORT_SPAN_S else 1 - run.pace / 100
            if unseen > 0:
                hidden.append((run.step.image, unseen * run.step.size.cores / cores))
    found: dict[str, tuple[float, float]] = {}
    for run in _serving(member):
        image, target = run.step.image, run.step.target_ms
        # Serving load swings over many seconds, so what a report shows now holds a while.
        seen = known.observed_load(image, run.gauge, target) if run.gauge else known.own_load(image)
        limit = known.limit(image, target)
        if image not in found or seen / limit > found[image][0] / found[image][1]:
            found[image] = seen, limit
    for image, (seen, limit) in found.items():
        found[image] = (
            seen + sum(known.weight(image, other) * part for other, part in hidden),
            limit,
        )
    member.serving_loads, member.serving_loads_as_of = found, as_of
    return found


def _press(wish: Wish, member: Member) -> float:
    """Predict how much this task adds to the load of the serving tasks here, at most."""
    known, step = wish.interference, wish.step
    share = step.size.cores / member.host.size.cores
    images = {run.step.image for run in _serving(member)}
    return max((known.weight(image, step.image) * share for image in images), default=0.0)


def possible(service: str, step: Step, hosts: Iterable[tuple[str, tuple[str, ...], Size]]) -> bool:
    """Tell whether any worker, when empty, could run a task of the step."""
    return any(
        name == service and (not step.requires or step.requires in labels) and step.size.fits(size)
        for name, labels, size in hosts
    )


def _serving(member: Member) -> Iterator[Run]:
    return (run for run in member.runs.values() if run.step.target_ms)


def _rank(wish: Wish, member: Member) -> tuple[bool, bool, bool, float, float]:
    step, host = wish.step, member.host
    far = bool(step.near_rack) and step.near_rack not in host.labels
    other_rack = step.same_rack and bool(wish.racks) and host.rack not in wish.racks
    idle = member.idle_cores / host.size.cores
    if step.filling:
        # Filling tasks go where they press least on serving ones.
        kind, room = float(round(_press(wish, member) / PRESS_STEP)), -idle
    elif step.target_ms:
        # A filling image that presses on one of the serving images of a worker can't work there
        # at all, so serving images are kept apart as far as the room allows.
        alike = sum(run.step.size.cores for run in _serving(member) if run.step.image == step.image)
        kind, room = (member.serving_cores - alike) / host.size.cores, -alike
    else:
        # Plain tasks disturb nobody: they take the least room that holds them, which leaves the
        # larger rooms to larger tasks.
        kind, room = 0.0, member.room.cores
    return host.name in wish.avoid, far, other_rack, kind, room
