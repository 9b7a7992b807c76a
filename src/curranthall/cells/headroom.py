"""Room that lasting and filling tasks leave free for short ones.

Lasting tasks never end, so a short task only finds room that they left in one piece. It is kept on
the workers that have most of it, where a short task of any size fits that fits a worker at all.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from curranthall.cells.fleet import Member
from curranthall.dag import Step
from curranthall.model import Size

# Lasting tasks leave this share of a service's cores free for short tasks, filling tasks this share
# of each worker's memory.
SHORT_SHARE = 0.125
# Whole workers are kept free only if there are this many, so that the loss of one leaves some room.
MIN_WHOLE_WORKERS = 2


class Headroom(NamedTuple):
    """Room kept free for short tasks.

    `shares` are, by worker, those of its cores and memory that lasting tasks leave free,
    `memory_share` that of each worker's memory that filling tasks leave free.
    """

    shares: Mapping[str, float] = MappingProxyType({})
    memory_share: float = 0.0

    def kept_on(self, member: Member) -> Size:
        """Return the size that lasting tasks leave free on a worker."""
        share, size = self.shares.get(member.name, 0.0), member.host.size
        return Size(share * size.cores, share * size.memory)

    def allows(self, step: Step, member: Member) -> bool:
        """Return whether one more lasting task leaves the room kept on a worker."""
        taken = member.lasting.plus(step.size)
        return taken.plus(self.kept_on(member)).fits(member.host.size)


NO_HEADROOM = Headroom()
# What filling tasks leave free does not depend on the workers.
FILLING_HEADROOM = Headroom(memory_share=SHORT_SHARE)


def keep_headroom(members: Iterable[Member]) -> Headroom:
    """Keep room for short tasks on the workers of each service."""
    services: dict[str, list[Member]] = {}
    for member in members:
        services.setdefault(member.host.service, []).append(member)
    shares: dict[str, float] = {}
    for found in services.values():
        shares.update(_share_out(found))
    return Headroom(shares, SHORT_SHARE)


def _share_out(members: list[Member]) -> dict[str, float]:
    """Return the share of each worker to keep: all room of the roomiest, if there are enough."""
    missing = SHORT_SHARE * sum(member.host.size.cores for member in members)
    if missing < MIN_WHOLE_WORKERS * max(member.host.size.cores for member in members):
        return {member.name: SHORT_SHARE for member in members}
    shares: dict[str, float] = {}
    rooms = sorted((-_room_beside_lasting(member), member.name, member) for member in members)
    for negative_room, name, member in rooms:
        kept = min(-negative_room, missing)
        if kept > 0:
            shares[name] = kept / member.host.size.cores
            missing -= kept
    return shares


def _room_beside_lasting(member: Member) -> float:
    """Return the cores that lasting tasks leave, with the same share of the memory."""
    size, lasting = member.host.size, member.lasting
    memory_share = 1 - lasting.memory / size.memory if size.memory > 0 else 0.0
    return max(0.0, min(size.cores - lasting.cores, memory_share * size.cores))
