"""A cell's figures by service: what entries and other cells choose by."""

import hashlib
from collections.abc import Iterable
from typing import Any, NamedTuple

from curranthall.cells.fleet import Member
from curranthall.cells.interference import Interference
from curranthall.dag import Job, Step

# Serving tasks of one image prefer one cell: filling images that press on it find room elsewhere.
TOGETHER_BONUS = 0.25
# The own failure domain is preferred when all else is about equal.
HOME_BONUS = 0.05
# A task without cores counts as this much.
MIN_CORES = 0.1
# The least weight that a filling room is divided by.
LEAST_WEIGHT = 0.05


class Waiting(NamedTuple):
    """Cores that waiting tasks ask for; `filling` by image, as each finds its own workers."""

    plain: float = 0.0
    lasting: float = 0.0
    filling: dict[str, float] = {}

    def plus(self, cores: float, step: Step) -> "Waiting":
        """Add tasks of a step."""
        if step.lasting:
            return self._replace(lasting=self.lasting + cores)
        if step.filling:
            sum_of_image = self.filling.get(step.image, 0.0) + cores
            return self._replace(filling={**self.filling, step.image: sum_of_image})
        return self._replace(plain=self.plain + cores)


class Load(NamedTuple):
    """Cores of the usable workers of one service; `filling` is the room by filling image.

    `lasting` is the part of the free cores that lasting tasks may take at once, `largest_lasting`
    the most of it on one worker; `largest` are the largest free rooms of two workers.
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

    def room(self, step: Step) -> float:
        """Give the cores that tasks of a step find, less those that others wait for."""
        if step.lasting:
            fits = step.size.cores <= self.largest_lasting
            return self.lasting - self.waiting.lasting if fits else 0.0
        if not step.filling:
            return self.free - self.waiting.plain if self.slots(step) else 0.0
        room = min(self.idle, self.filling.get(step.image, self.idle))
        return room - self.waiting.filling.get(step.image, 0.0)

    def slots(self, step: Step) -> int:
        """Count how often a task of a step fits; 2 stands for more, too."""
        return sum(int(room / max(step.size.cores, MIN_CORES)) for room in self.largest)


def measure(
    members: Iterable[Member],
    waiting: dict[str, Waiting],
    known: Interference,
    kept_share: float = 0.0,
) -> dict[str, Load]:
    """Sum up the usable workers."""
    found: dict[str, Load] = {}
    for member in members:
        load = found.get(member.host.service, Load(filling={}, serving={}))
        for image in known.filling_images():
            room = _filling_room(member, image, known)
            load.filling[image] = round(load.filling.get(image, 0.0) + room, 1)
        for run in member.runs.values():
            if run.step.target_ms:
                image = run.step.image
                load.serving[image] = load.serving.get(image, 0.0) + run.step.size.cores
        free, cores = member.room.cores, member.host.size.cores
        lasting = max(0.0, min(free, (1 - kept_share) * cores - member.lasting.cores))
        found[member.host.service] = load._replace(
            cores=load.cores + cores,
            free=load.free + free,
            lasting=load.lasting + lasting,
            largest=tuple(sorted((*load.largest, free), reverse=True)[:2]),
            largest_lasting=max(load.largest_lasting, lasting),
            idle=load.idle + max(0.0, member.idle_cores),
        )
    for service, asked in waiting.items():
        found[service] = found.get(service, Load())._replace(waiting=asked)
    return found


def _filling_room(member: Member, image: str, known: Interference) -> float:
    """Give the cores of an image that fit beside the serving tasks without pressing them over."""
    room, shares = max(0.0, member.idle_cores), member.filling_shares()
    for run in member.runs.values():
        if run.step.target_ms:
            serving, target = run.step.image, run.step.target_ms
            left = known.limit(serving, target) - known.load(serving, shares)
            weight = max(known.weight(serving, image), LEAST_WEIGHT)
            room = min(room, max(0.0, left) / weight * member.host.size.cores)
    return room


def widest_step(job: Job) -> Step:
    """Give the step that asks for the most cores at once."""
    return max(job.steps, key=lambda step: step.width * step.size.cores)


def rate_cell(load: Load, step: Step, cell: str, cells: tuple[str, ...], sent: float) -> float:
    """Rate a cell for a job's widest step; greater is better."""
    if load.cores <= 0:
        return -float("inf")
    need = step.width * step.size.cores
    left = load.room(step) - sent - need
    rate = left / load.cores
    if step.target_ms and left > 0:
        together = load.serving.get(step.image, 0.0) > 0 or cell == _first_cell(step.image, cells)
        rate += TOGETHER_BONUS if together else 0.0
    return rate


def _first_cell(image: str, cells: tuple[str, ...]) -> str:
    digest = hashlib.blake2b(image.encode(), digest_size=4).digest()
    return cells[int.from_bytes(digest, "big") % len(cells)]


def encode_loads(loads: dict[str, Load]) -> dict[str, list[Any]]:
    """Write for a row."""
    return {service: list(load) for service, load in loads.items()}


def decode_loads(value: dict[str, list[Any]]) -> dict[str, Load]:
    """Read from a row."""
    loads = {service: Load(*fields) for service, fields in value.items()}
    return {
        key: load._replace(waiting=Waiting(*load.waiting), largest=tuple(load.largest))
        for key, load in loads.items()
    }
