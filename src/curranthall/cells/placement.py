"""Selection of the worker that a task is started on."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from curranthall.cells.fleet import Member, Run
from curranthall.cells.headroom import NO_HEADROOM, Headroom
from curranthall.cells.interference import Interference
from curranthall.dag import Step
from curranthall.model import Size

# A filling task starts only where at least this share of its cores is idle.
FILLING_SHARE = 0.5
# A filling task starts beside serving tasks only while their load stays below this share of their
# limit; the rest absorbs fluctuations of their own load.
MAX_LOAD_SHARE = 0.85
# A task that adds less load than this may start up to the higher share below: there most of the
# measured load is the serving task's own fluctuation, and such tasks are never paced.
MIN_INTERFERENCE = 0.04
LIGHT_MAX_LOAD_SHARE = 0.97
# Reports cover the last half second, so they do not show runs started more recently than this.
REPORT_SPAN_S = 0.6
# Load differences below this (of a limit of about 0.8) do not outweigh idle cores.
INTERFERENCE_STEP = 0.02
# Tolerance of sums of sizes, as in `Size.fits`.
ROUNDING = 1e-9


class PlacementRequest(NamedTuple):
    """Constraints on the worker for one task."""

    service: str
    step: Step
    siblings: dict[str, int]
    avoid: frozenset[str] = frozenset()
    racks: frozenset[str] = frozenset()
    interference: Interference = Interference()
    max_load_share: float = MAX_LOAD_SHARE
    now: float = 0.0
    # Start a filling task even where no core is idle.
    ignore_idle_cores: bool = False
    # What lasting and filling tasks leave free for short ones.
    headroom: Headroom = NO_HEADROOM
    # Whether a lasting task may take that room.
    takes_headroom: bool = False
    # How often in a row a worker crashed with the task.
    crashes: int = 0
    # Only where no other run has just started.
    needs_quiet: bool = False


class Refusal(NamedTuple):
    """A step, without a required label or per-worker limit, that no worker was found for."""

    service: str
    step: Step
    takes_headroom: bool = False

    def covers(self, req: PlacementRequest) -> bool:
        """Return whether tasks of another step will find no worker either."""
        known, step = self.step, req.step
        return (
            step.filling == known.filling
            and step.lasting == known.lasting
            # Filling images interfere with different serving ones, so one may fit where another
            # fails.
            and (not step.filling or step.image == known.image)
            and req.service == self.service
            and self.takes_headroom >= req.takes_headroom
            and known.size.fits(step.size)
        )


def choose_worker(req: PlacementRequest, members: Iterable[Member]) -> Member | None:
    """Return the best of the usable members that fits, or None."""
    best, best_rank = None, None
    if req.step.filling:
        # Rules most workers of a loaded cell out before the other conditions are looked at.
        least_idle = _least_idle_cores(req)
        members = [member for member in members if member.idle_cores >= least_idle]
    for member in members:
        if not fits(req, member):
            continue
        rank = _rank(req, member)
        if best_rank is None or rank < best_rank:
            best, best_rank = member, rank
    return best


def fits(req: PlacementRequest, member: Member) -> bool:
    """Return whether the task may run on the worker and has room there."""
    step, host = req.step, member.host
    if host.service != req.service:
        return False
    if step.requires and step.requires not in host.labels:
        return False
    if step.max_per_worker and req.siblings.get(host.name, 0) >= step.max_per_worker:
        return False
    # A crash of a worker with two suspects would not tell which one caused it.
    if member.isolated is not None or (req.crashes and member.has_suspect()):
        return False
    if req.needs_quiet and not member.is_quiet():
        return False
    if step.filling:
        return _can_fill(req, member)
    if not has_room(step, member):
        return False
    if not step.lasting or req.takes_headroom:
        return True
    return req.headroom.allows(step, member)


def has_room(step: Step, member: Member) -> bool:
    """Return whether the worker has room for what a task of the step reserves.

    Planning asks this for each task and worker, so the figures are compared one by one.
    """
    need, size, used = step.size, member.host.size, member.used
    cores = 0.0 if step.filling else need.cores
    return (
        cores <= size.cores - used.cores + ROUNDING
        and need.memory <= size.memory - used.memory + ROUNDING
        and need.accelerators <= size.accelerators - used.accelerators + ROUNDING
    )


def _least_idle_cores(req: PlacementRequest) -> float:
    """Return the idle cores that a worker needs to have for a filling task."""
    return -float("inf") if req.ignore_idle_cores else req.step.size.cores * FILLING_SHARE


def _can_fill(req: PlacementRequest, member: Member) -> bool:
    step, memory = req.step, member.host.size.memory
    if member.idle_cores < _least_idle_cores(req):
        return False
    if step.size.memory + req.headroom.memory_share * memory > memory - member.used.memory:
        return False
    if not has_room(step, member):
        return False
    return not member.serving or not _would_overload(req, member)


def _would_overload(req: PlacementRequest, member: Member) -> bool:
    """Predict whether the task would push a serving task over its allowed share of the limit."""
    known, share = req.interference, member.share(req.step.size.cores)
    for image, (load, limit) in _serving_loads(req, member).items():
        added = known.weight(image, req.step.image) * share
        max_load_share = (
            req.max_load_share
            if added >= MIN_INTERFERENCE
            else max(req.max_load_share, LIGHT_MAX_LOAD_SHARE)
        )
        if load + added >= max_load_share * limit:
            return True
    return False


def _serving_loads(req: PlacementRequest, member: Member) -> dict[str, tuple[float, float]]:
    """Return, by serving image, the greatest load of its tasks on the worker and its limit.

    Cached for one planning pass, until a run is added.
    """
    as_of = req.now, len(member.runs)
    if member.serving_loads_as_of == as_of:
        return member.serving_loads
    known = req.interference
    unreported = []
    for run in member.runs.values():
        if run.step.filling:
            unseen = 1.0 if req.now - run.sent_at < REPORT_SPAN_S else 1 - run.pace / 100
            if unseen > 0:
                unreported.append((run.step.image, unseen * member.share(run.step.size.cores)))
    loads: dict[str, tuple[float, float]] = {}
    for run in _serving(member):
        image, target = run.step.image, run.step.target_ms
        # Serving load fluctuates over many seconds, so the last report stays valid for a while.
        seen = known.observed_load(image, run.gauge, target) if run.gauge else known.own_load(image)
        limit = known.limit(image, target)
        if image not in loads or seen / limit > loads[image][0] / loads[image][1]:
            loads[image] = seen, limit
    for image, (seen, limit) in loads.items():
        loads[image] = (
            seen + sum(known.weight(image, other) * share for other, share in unreported),
            limit,
        )
    member.serving_loads, member.serving_loads_as_of = loads, as_of
    return loads


def _predict_interference(req: PlacementRequest, member: Member) -> float:
    """Predict the most that this task adds to the load of any serving task on the worker."""
    known, step = req.interference, req.step
    share = member.share(step.size.cores)
    images = {run.step.image for run in _serving(member)}
    return max((known.weight(image, step.image) * share for image in images), default=0.0)


def possible(service: str, step: Step, hosts: Iterable[tuple[str, tuple[str, ...], Size]]) -> bool:
    """Return whether any worker could run a task of the step when empty."""
    return any(
        name == service and (not step.requires or step.requires in labels) and step.size.fits(size)
        for name, labels, size in hosts
    )


def without_reserved(step: Step, usable: list[Member], reserved: dict[str, Size]) -> list[Member]:
    """Exclude workers reserved for lasting tasks.

    Filling tasks reserve only memory, so they may use a worker with memory for both.
    """
    if not reserved:
        return usable
    return [
        member
        for member in usable
        if member.name not in reserved
        or (step.filling and step.reserved.plus(reserved[member.name]).memory <= member.room.memory)
    ]


def _serving(member: Member) -> Iterator[Run]:
    return (run for run in member.runs.values() if run.step.target_ms)


def _rank(req: PlacementRequest, member: Member) -> tuple[bool, bool, bool, float, float]:
    step, host = req.step, member.host
    is_far = bool(step.near_rack) and step.near_rack not in host.labels
    other_rack = step.same_rack and bool(req.racks) and host.rack not in req.racks
    idle = member.share(member.idle_cores)
    if req.crashes:
        # Where a crash costs least.
        kind, room = member.lasting.cores, member.used.cores + member.filling_cores
    elif step.filling:
        # Filling tasks go where they interfere least with serving ones.
        kind, room = float(round(_predict_interference(req, member) / INTERFERENCE_STEP)), -idle
    elif req.takes_headroom and not req.headroom.allows(step, member):
        # The largest pieces of the room kept for short tasks are taken last.
        kind, room = float("inf"), host.size.cores - member.lasting.cores
    elif step.target_ms:
        # A filling image that interferes with one serving image of a worker is excluded from that
        # worker, so different serving images are kept apart as far as the room allows.
        same_image = sum(
            run.step.size.cores for run in _serving(member) if run.step.image == step.image
        )
        kind, room = member.share(member.serving_cores - same_image), -same_image
    else:
        # Plain tasks interfere with nothing: best fit, which leaves larger gaps to larger tasks.
        kind, room = 0.0, member.room.cores
    return host.name in req.avoid, is_far, other_rack, kind, room
