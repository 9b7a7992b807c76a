"""Tickets for steps whose workers need an advisor's approval."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from curranthall.cells.fleet import Member

# Workers per call: the platform's objective counts one call on 30 workers for a step.
MAX_WORKERS = 30
# A ticket that expires sooner than this may be refused when the start arrives.
MARGIN_S = 0.3
# Pause after a call without an answer, and after a worker refused a ticket.
RETRY_S = 0.5


class Advice(NamedTuple):
    """An advisor's answer: tickets by worker and their validity in seconds."""

    tickets: dict[str, str]
    valid_s: float


class _Ticket(NamedTuple):
    text: str
    born: int
    until: float


@dataclass(slots=True, eq=False)
class Tickets:
    """Approvals for one occurrence of one step."""

    asking: bool = False
    retry_at: float = 0.0
    _tickets: dict[str, _Ticket] = field(default_factory=dict)
    # By worker, the boot id that was not approved; the advisor's answer for a boot is final.
    _rejected: dict[str, int] = field(default_factory=dict)
    _requested: dict[str, int] = field(default_factory=dict)

    def approved(self, members: Iterable[Member], now: float) -> list[Member]:
        """Return the members with a valid ticket."""
        return [member for member in members if self._is_approved(member, now)]

    def is_pending(self, now: float) -> bool:
        """Return whether an answer may come soon, so that tasks should wait for it."""
        return self.asking or now < self.retry_at

    def start_request(self, members: Iterable[Member], now: float) -> tuple[str, ...]:
        """Return the workers to ask about now; none while an answer is pending."""
        if self.is_pending(now):
            return ()
        candidates = [
            member
            for member in members
            if self._rejected.get(member.name) != member.born and not self._is_approved(member, now)
        ]
        chosen = sorted(candidates, key=lambda member: -member.room.cores)[:MAX_WORKERS]
        self._requested = {member.name: member.born for member in chosen}
        self.asking = bool(chosen)
        return tuple(self._requested)

    def apply_answer(self, advice: Advice | None, asked_at: float, now: float) -> None:
        """Store an answer; None if the advisor did not answer."""
        self.asking = False
        if advice is None:
            self.retry_at = now + RETRY_S
            return
        for name, born in self._requested.items():
            if name in advice.tickets:
                until = asked_at + advice.valid_s
                self._tickets[name] = _Ticket(advice.tickets[name], born, until)
            else:
                self._rejected[name] = born

    def drop(self, worker: str, now: float) -> None:
        """Drop a ticket that its worker refused."""
        self._tickets.pop(worker, None)
        self.retry_at = max(self.retry_at, now + RETRY_S)

    def get_ticket(self, worker: str) -> str:
        """Return the ticket to send; empty if there is none."""
        ticket = self._tickets.get(worker)
        return ticket.text if ticket is not None else ""

    def _is_approved(self, member: Member, now: float) -> bool:
        ticket = self._tickets.get(member.name)
        return ticket is not None and ticket.born == member.born and now < ticket.until - MARGIN_S
