"""Which worker a task is started on."""

from collections.abc import Iterable
from typing import NamedTuple

from curranthall.cells.fleet import Member
from curranthall.cells.pacing import FULL
from curranthall.dag import Step
from curranthall.model import Size

# A filling task starts only where this share of its cores is idle.
FILLING_SHARE = 1.0


class Wish(NamedTuple):
    """What narrows the choice for one task."""

    service: str
    step: Step
    siblings: dict[str, int]
    avoid: frozenset[str] = frozenset()
    racks: frozenset[str] = frozenset()


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
    if not step.filling:
        return True
    return member.pace == FULL and member.idle_cores >= step.size.cores * FILLING_SHARE


def possible(service: str, step: Step, hosts: Iterable[tuple[str, tuple[str, ...], Size]]) -> bool:
    """Tell whether any worker, when empty, could run a task of the step."""
    return any(
        name == service and (not step.requires or step.requires in labels) and step.size.fits(size)
        for name, labels, size in hosts
    )


def _rank(wish: Wish, member: Member) -> tuple[bool, bool, bool, float, float]:
    step, host = wish.step, member.host
    far = bool(step.near_rack) and step.near_rack not in host.labels
    other_rack = step.same_rack and bool(wish.racks) and host.rack not in wish.racks
    if step.filling:
        # Filling tasks disturb serving ones, so they go where few serve.
        disturbance = float(member.serving)
    elif step.target_ms:
        disturbance = member.filling_cores / host.size.cores + member.serving
    else:
        disturbance = 0.0
    idle = member.idle_cores / host.size.cores
    return host.name in wish.avoid, far, other_rack, disturbance, -idle
