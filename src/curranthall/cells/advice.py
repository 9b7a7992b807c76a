"""Tickets of steps whose workers an advisor chooses: which to ask for, which are still good."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from curranthall.cells.fleet import Member

# Workers named in one call: the platform's objective counts one call on 30 workers a step.
MAX_ASKED = 30
# A ticket that ends sooner than this may be refused by the time that a start arrives.
MARGIN_S = 0.3
# After a call without an answer, and after a worker refused a ticket.
RETRY_S = 0.5


class Advice(NamedTuple):
    """An advisor's answer: tickets by worker, and how long they are good, in seconds."""

    tickets: dict[str, str]
    valid_s: float


class _Ticket(NamedTuple):
    text: str
    born: int
    until: float


@dataclass(slots=True, eq=False)
class Tickets:
    """What is known of one occurrence of one step."""

    asking: bool = False
    retry_at: float = 0.0
    _held: dict[str, _Ticket] = field(default_factory=dict)
    # The boots that were asked about and not approved, which does not change.
    _turned_down: dict[str, int] = field(default_factory=dict)
    _asked: dict[str, int] = field(default_factory=dict)

    def approved(self, members: Iterable[Member], now: float) -> list[Member]:
        """Give the members that may be used now."""
        return [member for member in members if self._is_good(member, now)]

    def is_pending(self, now: float) -> bool:
        """Tell whether an answer may come soon, so that tasks had better stay."""
        return self.asking or now < self.retry_at

    def start_request(self, members: Iterable[Member], now: float) -> tuple[str, ...]:
        """Give the workers to ask about now; none while an answer is awaited."""
        if self.is_pending(now):
            return ()
        unknown = [
            member
            for member in members
            if self._turned_down.get(member.name) != member.born and not self._is_good(member, now)
        ]
        chosen = sorted(unknown, key=lambda member: -member.room.cores)[:MAX_ASKED]
        self._asked = {member.name: member.born for member in chosen}
        self.asking = bool(chosen)
        return tuple(self._asked)

    def apply_answer(self, advice: Advice | None, asked_at: float, now: float) -> None:
        """Take in an answer; None when none came."""
        self.asking = False
        if advice is None:
            self.retry_at = now + RETRY_S
            return
        for name, born in self._asked.items():
            if name in advice.tickets:
                until = asked_at + advice.valid_s
                self._held[name] = _Ticket(advice.tickets[name], born, until)
            else:
                self._turned_down[name] = born

    def drop(self, worker: str, now: float) -> None:
        """Forget a ticket that its worker refused."""
        self._held.pop(worker, None)
        self.retry_at = max(self.retry_at, now + RETRY_S)

    def get_ticket(self, worker: str) -> str:
        """Give the ticket to send."""
        ticket = self._held.get(worker)
        return ticket.text if ticket is not None else ""

    def _is_good(self, member: Member, now: float) -> bool:
        ticket = self._held.get(member.name)
        return ticket is not None and ticket.born == member.born and now < ticket.until - MARGIN_S
