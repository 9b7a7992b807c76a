"""Room that short tasks leave unused, which lasting tasks that waited long may take."""

from collections import deque
from collections.abc import Iterable
from enum import Enum

from curranthall.cells.fleet import Member
from curranthall.cells.load import count_slots
from curranthall.dag import Step

# Room that no task has taken for this long is spare.
SPARE_AFTER_S = 0.5
# A task that should have started for this long, summed up, takes room that short tasks still use.
MAX_OVERDUE_S = 0.8
# The share of other time that is taken off that sum: room that is there for moments never adds up.
OVERDUE_DECAY = 0.25
# Planning passes within this time are noted as one, with the least room that any of them left.
NOTE_INTERVAL_S = 0.1


class KeptRoomAccess(Enum):
    """Whether a lasting task may take room kept free for short ones, or why not."""

    GRANTED = "granted"
    RECENT = "recent"  # it has not waited long
    FEW_ROOMS = "few_rooms"  # two tasks like it don't fit on the workers of all cells
    IN_USE = "in_use"  # the room was in use by short tasks a moment ago


class SpareRoom:
    """The largest room of a worker that no task has taken for a while, by service."""

    def __init__(self) -> None:
        # By time, the most free cores on one worker after a planning pass.
        self._noted: deque[tuple[float, dict[str, float]]] = deque()

    def note(self, members: Iterable[Member], now: float) -> None:
        """Note the room that a planning pass has left."""
        rooms: dict[str, float] = {}
        for member in members:
            service, room = member.host.service, member.room.cores
            rooms[service] = max(rooms.get(service, 0.0), room)
        if self._noted and now - self._noted[-1][0] < NOTE_INTERVAL_S:
            _, last = self._noted[-1]
            for service in last.keys() | rooms.keys():
                last[service] = min(last.get(service, 0.0), rooms.get(service, 0.0))
        else:
            self._noted.append((now, rooms))

    def fits(self, step: Step, service: str, now: float) -> bool:
        """Return whether a task of a step would have fit all the while, as far as was noted."""
        return not self._noted or count_slots(step, [self.least(service, now)]) > 0

    def least(self, service: str, now: float) -> float:
        """Return the least of the noted rooms, in cores; 0 if none was noted."""
        # A note stands until the next one.
        while len(self._noted) > 1 and now - self._noted[1][0] >= SPARE_AFTER_S:
            self._noted.popleft()
        return min((rooms.get(service, 0.0) for _, rooms in self._noted), default=0.0)
