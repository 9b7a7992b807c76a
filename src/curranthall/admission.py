"""Admission of clients' connections and bodies: one budget per process, shared by all its ports.

Designed for crowds of clients outside our control that open many connections, stop short of the end
of their requests, or send them in many tiny chunks. Does no I/O: owners of connections report what
they hold and are told what to drop.
"""

import time
from collections import Counter
from collections.abc import Callable, Iterator
from enum import Enum
from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple

from curranthall.events import Event, log
from curranthall.telemetry import Sample

BYTES_PER_MB = 1_048_576
# Limits of a process whose settings have none: the smallest machines, and the usual soft limit.
DEFAULT_MEMORY_MB = 200
DEFAULT_MAX_FDS = 1_024
BODY_MEMORY_SHARE = 0.25
CONNECTION_MEMORY_SHARE = 0.25
CONNECTION_FD_SHARE = 0.5
# Memory of a connection besides the bytes that are counted: its objects and the parser's state.
CONNECTION_BYTES = 32_768
# Room for one body of the largest legal size beside its framing.
BODY_MARGIN_BYTES = 262_144
# Evictions free this share of the budget at once, so that not each arriving piece causes one.
EVICTED_SHARE = 0.1
# A process writes at most one line about dropped connections in this time, in seconds.
REPORT_INTERVAL_S = 1.0
# Parse time after which a request's priority is lowered for the first time, in seconds.
FIRST_LEVEL_S = 0.008
# Waits given up that are kept in the queue before it is cleaned.
MIN_WITHDRAWN = 64


class Limits(NamedTuple):
    """Most bytes held for clients, and most connections."""

    held_bytes: int
    connections: int


def derive_limits(memory_mb: int, max_fds: int, max_body: int) -> Limits:
    """Return the limits of a process with this memory, descriptors and largest body in bytes."""
    memory = memory_mb * BYTES_PER_MB
    by_memory = int(memory * CONNECTION_MEMORY_SHARE) // CONNECTION_BYTES
    return Limits(
        max(int(memory * BODY_MEMORY_SHARE), max_body + BODY_MARGIN_BYTES),
        max(1, min(by_memory, int(max_fds * CONNECTION_FD_SHARE))),
    )


class State(Enum):
    """What a connection is doing."""

    IDLE = "idle"
    READING = "reading"
    # A handler has the request; the connection is not dropped.
    SERVING = "serving"
    WRITING = "writing"


class Drop(Enum):
    """Why a connection is dropped."""

    # It held the most bytes when the budget was exceeded.
    BODY = "body"
    # It was idle or unfinished the longest when there were too many connections.
    OLDEST = "oldest"
    # A new one, when all others were being served.
    REFUSED = "refused"
    # Its client did not read an answer.
    UNREAD = "unread"


class Slot:
    """One admitted connection."""

    def __init__(self, drop: Callable[[Drop], None]) -> None:
        self.drop = drop
        self.state = State.IDLE
        self.held = 0
        self.is_open = True


class ParseTicket:
    """A request's wait for its turn to be parsed; `grant` returns whether it still wants it."""

    def __init__(self, grant: Callable[[], bool]) -> None:
        self.grant = grant
        self.is_waiting = True


class ParseQueue:
    """Gives the event loop's parse time to one request at a time.

    The request that has used the least time goes first, by powers of two, so that a new one does
    not wait for long ones; among equal ones the first, so that not all of them end last.
    """

    def __init__(self) -> None:
        self._numbers = count()
        self._waiting: list[tuple[int, int, int, ParseTicket]] = []
        # Tickets in `_waiting` whose wait was given up.
        self._withdrawn = 0
        self._is_taken = False
        self.spent_s = 0.0

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting) - self._withdrawn

    def new_number(self) -> int:
        """Return the number of a new request."""
        return next(self._numbers)

    def request(self, number: int, spent_s: float, grant: Callable[[], bool]) -> ParseTicket:
        """Ask for a turn, which may be granted at once; `spent_s` is the time used so far."""
        ticket = ParseTicket(grant)
        level = int(spent_s / FIRST_LEVEL_S).bit_length()
        heappush(self._waiting, (level, number, next(self._numbers), ticket))
        if not self._is_taken:
            self._grant_next()
        return ticket

    def withdraw(self, ticket: ParseTicket) -> None:
        """Give up a wait."""
        if not ticket.is_waiting:
            return
        ticket.is_waiting = False
        self._withdrawn += 1
        # Behind a crowd that reconnects all the time, given up waits would pile up.
        if self._withdrawn > max(MIN_WITHDRAWN, len(self._waiting) // 2):
            self._waiting = [item for item in self._waiting if item[-1].is_waiting]
            heapify(self._waiting)
            self._withdrawn = 0

    def release(self, spent_s: float) -> None:
        """End a turn that took `spent_s` and grant the next one."""
        self.spent_s += spent_s
        self._grant_next()

    def _grant_next(self) -> None:
        self._is_taken = False
        while self._waiting and not self._is_taken:
            *_, ticket = heappop(self._waiting)
            if ticket.is_waiting:
                ticket.is_waiting = False
                self._is_taken = ticket.grant()
            else:
                self._withdrawn -= 1


class Admission:
    """The budget of a process: bytes held, connections, and parse time."""

    def __init__(self, limits: Limits, clock: Callable[[], float] = time.monotonic) -> None:
        self.limits = limits
        self.parsing = ParseQueue()
        self.held = 0
        self.connections = 0
        self.dropped: Counter[str] = Counter()
        self._clock = clock
        # Connections that may be dropped, the longest idle or unfinished first.
        self._droppable: dict[Slot, None] = {}
        self._reported_at = -REPORT_INTERVAL_S
        self._unreported: Counter[str] = Counter()

    def open(self, drop: Callable[[Drop], None]) -> Slot | None:
        """Admit a new connection, or return None: it must be closed."""
        if self.connections >= self.limits.connections:
            oldest = next(iter(self._droppable), None)
            if oldest is None:
                self.note_dropped(Drop.REFUSED)
                return None
            self._drop(oldest, Drop.OLDEST)
        slot = Slot(drop)
        self._droppable[slot] = None
        self.connections += 1
        return slot

    def set_state(self, slot: Slot, state: State) -> None:
        """Note what a connection does from now on."""
        slot.state = state
        self._droppable.pop(slot, None)
        if slot.is_open and state is not State.SERVING:
            self._droppable[slot] = None

    def set_held(self, slot: Slot, held: int) -> None:
        """Note the bytes that a connection holds; drop the largest ones if all hold too many."""
        if not slot.is_open:
            return
        self.held += held - slot.held
        slot.held = held
        if self.held > self.limits.held_bytes:
            self._drop_largest()

    def close(self, slot: Slot) -> None:
        """Forget a connection that has ended."""
        if slot.is_open:
            slot.is_open = False
            self.connections -= 1
            self.held -= slot.held
            self._droppable.pop(slot, None)

    def note_dropped(self, reason: Drop) -> None:
        """Count a dropped connection; write a line about all since the last one if it is due."""
        self.dropped[reason.value] += 1
        self._unreported[reason.value] += 1
        now = self._clock()
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            log(
                Event.CLIENTS_DROPPED,
                reasons=dict(self._unreported),
                held=self.held,
                connections=self.connections,
            )
            self._unreported.clear()

    def samples(self) -> Iterator[Sample]:
        """Yield the metric samples of the budget."""
        yield Sample("client_held_bytes", {}, self.held)
        yield Sample("client_held_bytes_limit", {}, self.limits.held_bytes)
        yield Sample("client_connections", {}, self.connections)
        yield Sample("client_connections_limit", {}, self.limits.connections)
        yield Sample("client_parse_waiting", {}, self.parsing.waiting)
        yield Sample("client_parse_seconds_total", {}, self.parsing.spent_s)
        for reason in Drop:
            yield Sample(
                "clients_dropped_total", {"reason": reason.value}, self.dropped[reason.value]
            )

    def _drop_largest(self) -> None:
        allowed = int(self.limits.held_bytes * (1 - EVICTED_SHARE))
        # Equal ones stay in their order: the longest unfinished first.
        for slot in sorted(self._droppable, key=lambda slot: slot.held, reverse=True):
            # Idle connections hold nothing: to drop them frees nothing.
            if self.held <= allowed or not slot.held:
                return
            self._drop(slot, Drop.BODY)

    def _drop(self, slot: Slot, reason: Drop) -> None:
        self.close(slot)
        self.note_dropped(reason)
        slot.drop(reason)


def default_admission(max_body: int) -> Admission:
    """Return the budget of a process without settings for it."""
    return Admission(derive_limits(DEFAULT_MEMORY_MB, DEFAULT_MAX_FDS, max_body))
