"""Load of a cell by service, by which entries and other cells choose a cell."""

import hashlib
import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from curranthall.cells.fleet import Member
from curranthall.cells.headroom import NO_HEADROOM, Headroom
from curranthall.cells.interference import Interference
from curranthall.dag import Job, Step
from curranthall.values import checked, fields, figures, finite, integer, items, text, whole

# Serving tasks of one image prefer one cell, so that filling images that interfere with it find
# room in other cells.
COLOCATION_BONUS = 0.25
# Bonus of the entry's own failure domain; decides only between about equal cells.
HOME_BONUS = 0.05
# Cores counted for a task that requests fewer.
MIN_CORES = 0.1
# Published loads are up to two renewals old, so moved tasks are subtracted for this long.
MOVED_S = 1.8
# The rooms listed in a load; more would enlarge the rows that every entry reads.
LISTED_ROOMS = 16
# The other rooms are counted by lower bounds, so many to each power of two of cores.
BOUNDS_PER_POWER = 8
# Tolerance of sums and quotients of cores, so that rounding errors hide no room.
ROUNDING = 1e-9
# Lower bound of a job's value relative to a usual one, by which its work is divided.
MIN_VALUE = 0.01
# Lower bound of the weight by which the room for a filling image is divided.
MIN_WEIGHT = 0.05


class Waiting(NamedTuple):
    """Cores requested by waiting tasks; `filling` by image, as images fit on different workers."""

    plain: float = 0.0
    lasting: float = 0.0
    filling: dict[str, float] = {}

    def plus(self, cores: float, step: Step) -> "Waiting":
        """Return a copy with the cores of a step's tasks added."""
        if step.lasting:
            return self._replace(lasting=self.lasting + cores)
        if step.filling:
            image_cores = self.filling.get(step.image, 0.0) + cores
            return self._replace(filling={**self.filling, step.image: image_cores})
        return self._replace(plain=self.plain + cores)


# Priority under which the work of running tasks counts: it goes before all that waits.
RUNNING = -1
# Less urgent priorities count as this one, so that the row stays small.
LEAST_PRIORITY = 3
# Bounds of the ranks of waiting work, in core-seconds for the value of a usual job: holders start
# first what is worth most for its work. Few, so that the row stays small.
RANK_BOUNDS = (1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 256.0)
# The rank of jobs whose value has expired, which start after all others.
LAST_RANK = len(RANK_BOUNDS) + 1


class Work(NamedTuple):
    """Core-seconds of running work, or of waiting work of one priority and rank."""

    priority: int
    rank: int
    core_seconds: float


class Backlog(NamedTuple):
    """Core-seconds that running and waiting finite work still needs, and the cores for it.

    `cores` are those not reserved by lasting tasks, `filling_cores` those that filling tasks use or
    may use.
    """

    cores: float = 0.0
    filling_cores: float = 0.0
    plain: tuple[Work, ...] = ()
    filling: tuple[Work, ...] = ()

    def cores_for(self, step: Step) -> float:
        """Return the cores that tasks of a finite step can use."""
        return self.filling_cores if step.filling else self.cores

    def ahead(self, step: Step, priority: int, rank: int, share: float) -> float:
        """Return the core-seconds that go before a new job of a finite step.

        Of the work of the same rank, `share` goes before it.
        """
        place = min(priority, LEAST_PRIORITY), rank
        work = self.filling if step.filling else self.plain
        return sum(
            each.core_seconds * (share if each[:2] == place else 1.0)
            for each in work
            if each[:2] <= place
        )

    def total(self, step: Step, priority: int) -> float:
        """Return the core-seconds of all work that is as urgent as a priority or more so."""
        work = self.filling if step.filling else self.plain
        least = min(priority, LEAST_PRIORITY)
        return sum(each.core_seconds for each in work if each.priority <= least)


def rank_work(work: float, value: float) -> int:
    """Return the rank of a job by its remaining core-seconds and what it is worth."""
    return bisect_left(RANK_BOUNDS, work / max(value, MIN_VALUE))


class Load(NamedTuple):
    """Cores of the usable workers of one service.

    `free` cores are not reserved; `idle` ones are estimated to be available to filling tasks.
    `filling` is the room by filling image, `serving` the cores of serving tasks by image.
    `lasting` is the part of the free cores available to lasting tasks, `largest_lasting` the most
    of it on one worker; `largest` holds the free cores of the LISTED_ROOMS workers with the most,
    `quarantined` those of quarantined ones, which count nowhere else. `others` counts the workers
    with fewer free cores by lower bounds of these, for gangs that need many rooms at once.
    `backlog` is None in rows of earlier code and while no feature needs it. `turnover` counts the
    workers by lower bounds of the cores that lasting tasks don't reserve there, so that they become
    free as other tasks end; empty in rows of earlier code.
    """

    cores: float = 0.0
    free: float = 0.0
    idle: float = 0.0
    waiting: Waiting = Waiting()
    filling: dict[str, float] = {}
    serving: dict[str, float] = {}
    lasting: float = 0.0
    largest_lasting: float = 0.0
    largest: tuple[float, ...] = ()
    quarantined: tuple[float, ...] = ()
    others: tuple[tuple[float, int], ...] = ()
    backlog: Backlog | None = None
    turnover: tuple[tuple[float, int], ...] = ()

    def room(self, step: Step) -> float:
        """Return the cores available to tasks of a step, less those requested by waiting tasks."""
        if step.lasting:
            fits = step.size.cores <= self.largest_lasting + ROUNDING
            return self.lasting - self.waiting.lasting if fits else 0.0
        if not step.filling:
            return self._whole_room(step) - self.waiting.plain
        room = min(self.idle, self.filling.get(step.image, self.idle))
        return room - self.waiting.filling.get(step.image, 0.0)

    def _whole_room(self, step: Step) -> float:
        """Return the free cores that tasks of a step can use: each needs one worker's room."""
        cores = max(step.size.cores, MIN_CORES)
        room = self.slots(step) * cores
        if step.gang:
            return min(room, self.free)
        if 2 * cores <= min(self.largest, default=0.0):
            # Only the sum is known of the other workers; most of it is usable by small tasks.
            room += self.free - sum(self.largest)
        return min(room, self.free)

    def slots(self, step: Step) -> int:
        """Return how many tasks of a step fit on the workers with the most free cores.

        The members of a gang, which start all at once, may use all workers.
        """
        slots = count_slots(step, self.largest)
        if step.gang:
            slots += sum(count * count_slots(step, (room,)) for room, count in self.others)
        return slots

    def slots_of_last_resort(self, step: Step) -> int:
        """Return how many tasks of a step fit on the quarantined workers with the most."""
        return count_slots(step, self.quarantined)

    def turnover_for(self, step: Step) -> float:
        """Return the cores that become free in pieces which hold tasks of a step."""
        cores, most = max(step.size.cores, MIN_CORES), step.max_per_worker or math.inf
        slots = (workers * min(count_slots(step, (room,)), most) for room, workers in self.turnover)
        return sum(slots) * cores

    def holds_gang(self, step: Step) -> bool:
        """Return whether all members of a gang find room at once, in the last resort quarantined.

        Only the cores of the rooms are known.
        """
        listed = self.largest if self.slots(step) else self.quarantined
        rooms = [*((room, 1) for room in listed), *self.others]
        return sum(workers * _slots_in(room, step) for room, workers in rooms) >= step.width

    def less(self, step: Step, count: int) -> "Load":
        """Return the load once `count` more tasks of a step have the room that they use.

        Filling tasks reserve no cores; each other one takes a room that fits it.
        """
        cores = max(step.size.cores, MIN_CORES)
        if step.filling:
            return self._less_idle(cores * count)
        largest, quarantined, others = list(self.largest), list(self.quarantined), self.others
        left = _take_rooms(largest, step, count)
        for _ in range(left if step.gang else 0):
            others, is_taken = _without_room(others, cores)
            left -= is_taken
        # Lasting tasks start on quarantined workers where no other has room.
        last_resort = left - _take_rooms(quarantined, step, left) if step.lasting else 0
        taken = cores * (count - last_resort)
        return self._less_idle(taken)._replace(
            free=self.free - taken,
            lasting=self.lasting - taken,
            largest=tuple(sorted(largest, reverse=True)),
            quarantined=tuple(sorted(quarantined, reverse=True)),
            others=others,
        )

    def _less_idle(self, cores: float) -> "Load":
        filling = {image: room - cores for image, room in self.filling.items()}
        return self._replace(idle=self.idle - cores, filling=filling)


def count_slots(step: Step, rooms: Iterable[float]) -> int:
    """Return how many tasks of a step fit into rooms of the given free cores."""
    cores = max(step.size.cores, MIN_CORES)
    return sum(int(room / cores + ROUNDING) for room in rooms)


def _slots_in(room: float, step: Step) -> int:
    """Return how many tasks of a step may start in one worker's room, for a gang all at once."""
    slots = count_slots(step, (room,))
    return min(slots, step.max_per_worker) if step.gang and step.max_per_worker else slots


def _take_rooms(rooms: list[float], step: Step, count: int) -> int:
    """Take cores for tasks from the smallest rooms that fit; return how many tasks find none."""
    cores = max(step.size.cores, MIN_CORES)
    rooms.sort()
    for at, room in enumerate(rooms):
        tasks = min(_slots_in(room, step), count)
        rooms[at] = max(0.0, room - tasks * cores)
        count -= tasks
    return count


def _without_room(
    others: tuple[tuple[float, int], ...], cores: float
) -> tuple[tuple[tuple[float, int], ...], bool]:
    """Return counted rooms without the smallest one that fits, and whether any does."""
    fitting = [room for room, count in others if count and room >= cores - ROUNDING]
    if not fitting:
        return others, False
    smallest = min(fitting)
    return tuple((room, count - (room == smallest)) for room, count in others), True


def _count_rooms(rooms: Iterable[float]) -> tuple[tuple[float, int], ...]:
    """Count the LISTED_ROOMS largest lower bounds of rooms."""
    counts = Counter(_round_down(room) for room in rooms if room >= MIN_CORES)
    return tuple(sorted(counts.items(), reverse=True)[:LISTED_ROOMS])


def _round_down(room: float) -> float:
    unit = 2.0 ** math.floor(math.log2(room)) / BOUNDS_PER_POWER
    return math.floor(room / unit + ROUNDING) * unit


def _add_room(rooms: tuple[float, ...], room: float) -> tuple[float, ...]:
    return tuple(sorted((*rooms, room), reverse=True)[:LISTED_ROOMS])


def measure(
    members: Iterable[Member],
    waiting: dict[str, Waiting],
    known: Interference,
    headroom: Headroom = NO_HEADROOM,
    quarantined: Iterable[Member] = (),
) -> dict[str, Load]:
    """Return the load of the given usable workers, and the room on quarantined ones, by service."""
    loads: dict[str, Load] = {}
    free_by_service: dict[str, list[float]] = {}
    turnover_by_service: dict[str, list[float]] = {}
    members = list(members)
    images = known.filling_images()
    weights = _tabulate_weights(members, images, known)
    for member in members:
        load = loads.get(member.host.service, Load(filling={}, serving={}))
        for image, room in _filling_rooms(member, images, weights, known).items():
            load.filling[image] = round(load.filling.get(image, 0.0) + room, 1)
        for run in member.runs.values():
            if run.step.target_ms:
                image = run.step.image
                load.serving[image] = load.serving.get(image, 0.0) + run.step.size.cores
        free, cores = _free_cores(member), member.host.size.cores
        free_by_service.setdefault(member.host.service, []).append(free)
        turnover = max(0.0, cores - member.lasting.cores)
        turnover_by_service.setdefault(member.host.service, []).append(turnover)
        kept = headroom.kept_on(member).cores
        lasting = max(0.0, min(free, cores - kept - member.lasting.cores))
        loads[member.host.service] = load._replace(
            cores=load.cores + cores,
            free=load.free + free,
            lasting=load.lasting + lasting,
            largest=_add_room(load.largest, free),
            largest_lasting=max(load.largest_lasting, lasting),
            idle=load.idle + _idle_cores(member),
        )
    for service, each_free in free_by_service.items():
        others = _count_rooms(sorted(each_free, reverse=True)[LISTED_ROOMS:])
        turnovers = _count_rooms(turnover_by_service[service])
        loads[service] = loads[service]._replace(others=others, turnover=turnovers)
    for member in quarantined:
        load = loads.get(member.host.service, Load(filling={}, serving={}))
        rooms = _add_room(load.quarantined, _free_cores(member))
        loads[member.host.service] = load._replace(quarantined=rooms)
    for service, cores_waiting in waiting.items():
        loads[service] = loads.get(service, Load())._replace(waiting=cores_waiting)
    return loads


def measure_cores(members: Iterable[Member], service: str) -> Load:
    """Return only the cores, free and idle ones, of a service's usable workers."""
    found = [member for member in members if member.host.service == service]
    return Load(
        cores=sum(member.host.size.cores for member in found),
        free=sum(_free_cores(member) for member in found),
        idle=sum(_idle_cores(member) for member in found),
    )


def _free_cores(member: Member) -> float:
    # A worker whose capacity shrank below what runs there must not hide the room of others.
    return max(0.0, member.room.cores)


def _idle_cores(member: Member) -> float:
    return max(0.0, member.idle_cores)


def _tabulate_weights(
    members: Iterable[Member], images: Iterable[str], known: Interference
) -> dict[str, dict[str, float]]:
    """Return, by serving and filling image, the weight by which the room is divided."""
    runs = (run for member in members for run in member.runs.values())
    return {
        serving: {image: max(known.weight(serving, image), MIN_WEIGHT) for image in images}
        for serving in {run.step.image for run in runs if run.step.target_ms}
    }


def _filling_rooms(
    member: Member,
    images: Iterable[str],
    weights: dict[str, dict[str, float]],
    known: Interference,
) -> dict[str, float]:
    """Return by image the cores that fit without pushing a serving task over its target."""
    rooms = dict.fromkeys(images, _idle_cores(member))
    steps = (run.step for run in member.runs.values())
    targets = {(step.image, step.target_ms) for step in steps if step.target_ms}
    if not rooms or not targets:
        return rooms
    shares, cores = member.filling_shares(), member.host.size.cores
    for serving, target_ms in targets:
        left = max(0.0, known.limit(serving, target_ms) - known.load(serving, shares))
        for image, weight in weights[serving].items():
            rooms[image] = min(rooms[image], left / weight * cores)
    return rooms


def widest_step(job: Job) -> Step:
    """Return the step that requests the most cores at once."""
    return max(job.steps, key=lambda step: step.width * step.size.cores)


def rate_cell(load: Load, step: Step, cell: str, cells: tuple[str, ...], assigned: float) -> float:
    """Rate a cell for a job's widest step; higher is better.

    `assigned` is the cores of jobs sent there recently, which its published load may not include.
    """
    if load.cores <= 0:
        return -float("inf")
    need = step.width * step.size.cores
    left = load.room(step) - assigned - need
    rate = left / load.cores
    if step.target_ms and left > 0:
        colocated = load.serving.get(step.image, 0.0) > 0 or cell == _pick_cell(step.image, cells)
        rate += COLOCATION_BONUS if colocated else 0.0
    return rate


def _pick_cell(image: str, cells: tuple[str, ...]) -> str:
    digest = hashlib.blake2b(image.encode(), digest_size=4).digest()
    return cells[int.from_bytes(digest, "big") % len(cells)]


def encode_loads(loads: dict[str, Load]) -> dict[str, list[Any]]:
    """Encode loads for a row."""
    return {service: list(load) for service, load in loads.items()}


def decode_loads(value: object) -> dict[str, Load]:
    """Decode loads from a row; raise one of DECODE_ERRORS."""
    return {text(service): _decode_load(load) for service, load in fields(value).items()}


def _decode_load(values: object) -> Load:
    # A later version may add fields.
    load = Load(*items(values)[: len(Load._fields)])
    waiting = checked(Waiting(*load.waiting))
    return checked(
        load._replace(
            waiting=waiting._replace(filling=figures(waiting.filling)),
            filling=figures(load.filling),
            serving=figures(load.serving),
            largest=tuple(map(finite, load.largest)),
            quarantined=tuple(map(finite, load.quarantined)),
            others=tuple((finite(room), whole(count)) for room, count in load.others),
            backlog=_decode_backlog(load.backlog),
            turnover=tuple((finite(room), whole(count)) for room, count in load.turnover),
        )
    )


def _decode_backlog(value: object) -> Backlog | None:
    if value is None:
        return None
    # A later version may add fields.
    cores, filling_cores, plain, filling = items(value)[: len(Backlog._fields)]
    return Backlog(finite(cores), finite(filling_cores), _decode_work(plain), _decode_work(filling))


def _decode_work(value: object) -> tuple[Work, ...]:
    return tuple(
        Work(integer(priority), whole(rank), finite(core_seconds))
        for priority, rank, core_seconds in map(items, items(value))
    )
