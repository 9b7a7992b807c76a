"""Parts of customers' limits: how many of them each cell holds, and how they move between cells.

A cell may have running at most its parts of each resource of a customer's limit, as a fraction.
Only the holder of a cell changes the cell's parts, in one row by compare-and-set. Designed for 93
customers with one burst among them: a burst in one cell draws the parts that others do not use.
"""

from collections.abc import Iterable, Mapping
from functools import cache
from typing import Any, NamedTuple

from cbor2 import dumps, loads

from curranthall.cells.owner import CELL_PART, CELL_TABLE
from curranthall.events import Event, log
from curranthall.store import ABSENT, Check, Put, Row
from curranthall.values import DECODE_ERRORS, fields, items, reason, text, whole

SHARE_TABLE = "customer-shares"
SHARE_KEY = "shares"
SHARE_PART = CELL_PART
# A limit is divided into this many parts.
PARTS_OF_LIMIT = 1_000
# Parts that a cell with work of a customer keeps beyond what runs, for the tasks that come next.
RESERVE_PARTS = 20
# Busy cells give up parts for a task, or gang, of at most this size that is stuck elsewhere. Parts
# for larger ones might never suffice, e.g. beside lasting tasks, and lie idle meanwhile.
MAX_FAVOURED_PARTS = PARTS_OF_LIMIT // 2


class Need(NamedTuple):
    """What a cell needs of a customer's limit, in parts; each number includes the one before.

    `used` is for what counts as running, `first` also for the next task that the limit keeps from
    starting, `all` for all of those tasks. All are equal if the limit keeps no task from starting.
    """

    used: int
    first: int
    all: int


NO_NEED = Need(0, 0, 0)


class Request(NamedTuple):
    """Parts that a cell misses for its next task and for all; the lowest ticket is served first.

    `unit` are the parts that the next task takes by itself. `over` are those by which running work
    exceeds the cell's parts, as the limit was lowered: others start no more beside it.
    """

    first: int
    all: int
    ticket: int
    unit: int
    over: int = 0


class Shares(NamedTuple):
    """The stored row; parts are listed where they differ from the even share."""

    cells: tuple[str, ...]
    parts: Mapping[str, Mapping[str, int]] = {}
    requests: Mapping[str, Mapping[str, Request]] = {}
    ticket: int = 0

    def default(self, cell: str) -> int:
        """Return the parts of a cell where none are stored."""
        return PARTS_OF_LIMIT // len(self.cells) if cell in _as_set(self.cells) else 0

    def held(self, customer: str, cell: str) -> int:
        """Return the parts that a cell holds."""
        return self.parts.get(customer, {}).get(cell, self.default(cell))

    def free(self, customer: str) -> int:
        """Return the parts that no cell holds."""
        own, known = self.parts.get(customer, {}), _as_set(self.cells)
        at_default = len(known) - sum(cell in known for cell in own)
        even = PARTS_OF_LIMIT // len(known)
        return PARTS_OF_LIMIT - sum(own.values()) - even * at_default

    def replace(self, customer: str, cell: str, held: int, request: Request | None) -> "Shares":
        """Return shares with other parts and another request of a cell."""
        parts, requests = dict(self.parts), dict(self.requests)
        own = {**parts.pop(customer, {}), cell: held}
        own = {each: count for each, count in own.items() if count != self.default(each)}
        if own:
            parts[customer] = own
        waiting = {each: r for each, r in requests.pop(customer, {}).items() if each != cell}
        if request is not None:
            waiting[cell] = request
        if waiting:
            requests[customer] = waiting
        ticket = max(self.ticket, request.ticket if request is not None else 0)
        return Shares(self.cells, parts, requests, ticket)

    def encode(self) -> bytes:
        """Encode the row's value."""
        requests = {
            customer: {cell: list(request) for cell, request in by_cell.items()}
            for customer, by_cell in self.requests.items()
        }
        return dumps([list(self.cells), self.parts, requests, self.ticket])


@cache
def _as_set(cells: tuple[str, ...]) -> frozenset[str]:
    """Return the cells for quick look-ups; there are few lists of cells in a process's life."""
    return frozenset(cells)


def decode_shares(data: bytes) -> Shares:
    """Decode a row's value; raise one of DECODE_ERRORS when it is invalid."""
    cells, parts, requests, ticket = items(loads(data))[:4]
    found = Shares(
        tuple(map(text, items(cells))),
        {text(name): _decode_parts(by_cell) for name, by_cell in fields(parts).items()},
        {text(name): _decode_requests(by_cell) for name, by_cell in fields(requests).items()},
        whole(ticket),
    )
    if not found.cells or any(found.free(customer) < 0 for customer in found.parts):
        raise ValueError("shares out of range")
    return found


def _decode_parts(value: object) -> dict[str, int]:
    return {text(cell): whole(count, PARTS_OF_LIMIT) for cell, count in fields(value).items()}


def _decode_requests(value: object) -> dict[str, Request]:
    return {
        text(cell): Request(*(whole(each) for each in items(values)[:5]))
        for cell, values in fields(value).items()
    }


def rebalance(
    shares: Shares, cell: str, needs: Mapping[str, Need], closed: bool = False
) -> Shares | None:
    """Return the shares after a cell took, gave back or requested parts; None if nothing changes.

    A closed cell gives back all parts that are not in use.
    """
    found = shares
    for customer, need in needs.items():
        found = _rebalance_customer(found, customer, cell, need, closed)
    return None if found is shares else found


def _rebalance_customer(
    shares: Shares, customer: str, cell: str, need: Need, closed: bool
) -> Shares:
    held, free = shares.held(customer, cell), shares.free(customer)
    requests = shares.requests.get(customer, {})
    own = requests.get(cell)
    others = {each: request for each, request in requests.items() if each != cell}
    if closed:
        new_held = min(held, need.used)
        request = None
    else:
        new_held = held + _take(shares, customer, cell, need, own, others)
        if new_held == held:
            new_held -= _give(shares, customer, cell, need, own, others)
        # A cell that took parts lets requests that are older by now go first.
        ticket = own.ticket if own is not None and new_held <= held else shares.ticket + 1
        request = _request(need, new_held, ticket)
    if new_held == held and not _is_news(own, request):
        return shares
    assert new_held <= held + free
    return shares.replace(customer, cell, new_held, request)


def _request(need: Need, held: int, ticket: int) -> Request | None:
    """Return the request of a cell that holds less than it needs."""
    missing = max(0, min(need.all, PARTS_OF_LIMIT) - held)
    over = max(0, need.used - held)
    if not (missing or over):
        return None
    first = max(0, min(need.first, PARTS_OF_LIMIT) - held)
    return Request(first, missing, ticket, need.first - need.used, over)


def _is_news(old: Request | None, new: Request | None) -> bool:
    """Return whether a request has to be stored in place of another one.

    Amounts that change by less than half are not: they do with each task that starts or ends.
    """
    if old is None or new is None:
        return old is not new
    amounts = (old.all, new.all), (old.over, new.over)
    return new.first > old.first or any(not a // 2 <= b <= 2 * a for a, b in amounts)


def _rank(request: Request) -> tuple[bool, int]:
    """Return the order in which requests are served.

    Those for a task that others give up no parts for come last: an older one would keep parts that
    the cell can't use from tasks that fit.
    """
    return request.unit > MAX_FAVOURED_PARTS, request.ticket


def _own_rank(shares: Shares, need: Need, own: Request | None) -> tuple[bool, int]:
    """Return the rank of a cell's request, stored or not."""
    ticket = own.ticket if own is not None else shares.ticket + 1
    return need.first - need.used > MAX_FAVOURED_PARTS, ticket


def _take(
    shares: Shares,
    customer: str,
    cell: str,
    need: Need,
    own: Request | None,
    others: Mapping[str, Request],
) -> int:
    """Return how many free parts a cell takes.

    While others request parts it takes none with which it could start nothing. Up to its even share
    it leaves what older requests need for their next task, where that is free; beyond it also what
    other cells miss of their even shares.
    """
    held, even, free = shares.held(customer, cell), shares.default(cell), shares.free(customer)
    missing = min(need.all, PARTS_OF_LIMIT) - held
    if missing <= 0 or free <= 0:
        return 0
    rank = _own_rank(shares, need, own)
    older = [request for request in others.values() if 0 < request.first and _rank(request) < rank]
    left = max(0, free - sum(request.first for request in older if request.first <= free))
    if others and need.first - held > left:
        return 0
    taken = min(missing, max(0, even - held), left)
    unmet = _unmet(shares, customer, cell)
    beyond = max(0, min(missing - taken, left - taken - unmet))
    # Its next task may go beyond the even share if no older request waits.
    next_task = 0 if older else min(need.first - held - taken, left - taken)
    return taken + max(beyond, next_task, 0)


def _give(
    shares: Shares,
    customer: str,
    cell: str,
    need: Need,
    own: Request | None,
    others: Mapping[str, Request],
) -> int:
    """Return how many parts a cell gives back for the requests of others."""
    if not others:
        return 0
    held, free = shares.held(customer, cell), shares.free(customer)
    wanted = sum(request.all for request in others.values()) - free
    # What is neither in use nor needed by tasks that the limit keeps from starting.
    reserve = RESERVE_PARTS if need.all > 0 else 0
    given = min(held - need.all - reserve, wanted)
    owed = debt(shares, customer, cell)
    given = max(given, min(held - need.used, owed))
    if need.first > held - owed:
        # The cell can start nothing with its parts, e.g. as a task needs more than an even share.
        rank = _own_rank(shares, need, own)
        older = sum(request.first for request in others.values() if _rank(request) < rank)
        given = max(given, min(held - need.used, older - free))
    return max(0, given)


def debt(shares: Shares, customer: str, cell: str) -> int:
    """Return how many of its parts a cell owes to requests of others, as its tasks end.

    Those beyond its even share go to cells that miss some of theirs. A task that needs more than an
    even share gets parts from the cell that holds the most, or it would never start.
    """
    requests = shares.requests.get(customer, {})
    if not requests.keys() - {cell}:
        return 0
    held, free = shares.held(customer, cell), shares.free(customer)
    unmet = _unmet(shares, customer, cell)
    owed = min(held - shares.default(cell), unmet - free)
    waiting = [
        (request.ticket, each)
        for each, request in requests.items()
        if request.first > 0 and request.unit <= MAX_FAVOURED_PARTS
    ]
    _, oldest = min(waiting, default=(0, cell))
    if oldest != cell:
        request, even = requests[oldest], shares.default(oldest)
        donor = max(shares.cells, key=lambda each: (each != oldest, shares.held(customer, each)))
        if donor == cell and request.unit > max(even, shares.held(customer, oldest)):
            owed = max(owed, request.first - free)
    return max(0, min(owed, held))


def _unmet(shares: Shares, customer: str, cell: str) -> int:
    """Return how many parts of their even shares the other cells request."""
    requests = shares.requests.get(customer, {})
    return sum(
        min(request.all, max(0, shares.default(each) - shares.held(customer, each)))
        for each, request in requests.items()
        if each != cell
    )


class SharesKeeper:
    """What one holder of a cell knows of the row, and the parts that it may use.

    A lowered number applies from when its write is sent, a raised one once that is confirmed. Each
    write also checks the version of the cell's row, so that no former holder changes its parts, and
    a write without an answer can't take effect any more once the cell's row was renewed.
    """

    def __init__(self, cell: str, cells: Iterable[str]) -> None:
        self._cell = cell
        self._empty = Shares(tuple(sorted(cells)))
        self.shares: Shares | None = None
        # The row's version, ABSENT if there is none.
        self._version = ABSENT
        # Written shares without an answer, and the versions of both rows that their write checks.
        self._unsure: list[tuple[Shares, int, int]] = []
        # Parts as first read by this holder: all that former holders started is within them.
        self.first_read: Shares | None = None
        # Customers whose parts the last confirmed write raised: it may use them whatever it owes,
        # or cells that each need more than an even share would pass them on unused for ever.
        self._raised: set[str] = set()
        # Usable parts by customer, as each planning pass may need them.
        self._usable: dict[str, int] = {}

    def held(self, customer: str) -> int:
        """Return the parts that the holder may use; none before it has read the row."""
        if self.shares is None:
            return 0
        known = [self.shares, *(shares for shares, _, _ in self._unsure)]
        return min(each.held(customer, self._cell) for each in known)

    def usable(self, customer: str) -> int:
        """Return the parts within which new tasks may start: what is held, less what is owed."""
        if customer not in self._usable:
            self._usable[customer] = self._count_usable(customer)
        return self._usable[customer]

    def _count_usable(self, customer: str) -> int:
        if self.shares is None:
            return 0
        owed = 0 if customer in self._raised else debt(self.shares, customer, self._cell)
        requests = self.shares.requests.get(customer, {})
        over = sum(request.over for cell, request in requests.items() if cell != self._cell)
        return self.held(customer) - max(owed, over - self.shares.free(customer))

    def inherited(self, customer: str) -> int:
        """Return the parts that the cell held when this holder read the row first."""
        return 0 if self.first_read is None else self.first_read.held(customer, self._cell)

    def on_read(self, row: Row | None, owner_version: int) -> None:
        """Process the row, read after the cell's row was known to have `owner_version`."""
        version = ABSENT if row is None else row.version
        shares = self._empty if row is None or row.value is None else _decode_row(row)
        if shares is None or (self.shares is not None and version < self._version):
            return
        if self._is_raised_by_another(shares):
            # A successor counts on this holder's parts as of the takeover, not on more.
            return
        if version != self._version or self.shares is None or self._unsure:
            self._usable.clear()
        self.shares, self._version = shares, version
        self.first_read = self.first_read or shares
        self._unsure = [
            each for each in self._unsure if each[1] == version and each[2] == owner_version
        ]

    def _is_raised_by_another(self, shares: Shares) -> bool:
        """Return whether the row gives the cell parts that no write of this holder gave it."""
        if self.shares is None:
            return False
        known = [self.shares, *(each for each, _, _ in self._unsure)]
        names = set(shares.parts).union(*(each.parts for each in known))
        return any(
            shares.held(name, self._cell) > max(each.held(name, self._cell) for each in known)
            for name in names
        )

    def propose(self, needs: Mapping[str, Need], closed: bool) -> Shares | None:
        """Return the shares to write, or None if there are none.

        Nothing is written while an earlier write may still take effect.
        """
        if self.shares is None or self._unsure:
            return None
        if self._raised:
            self._raised.clear()
            self._usable.clear()
        return rebalance(self.shares, self._cell, needs, closed)

    def send(
        self, shares: Shares, owner_version: int
    ) -> tuple[str, list[Check], list[Put], list[Any]]:
        """Apply what a write lowers; return the transaction."""
        self._unsure.append((shares, self._version, owner_version))
        self._usable.clear()
        checks = [
            Check(SHARE_TABLE, SHARE_KEY, self._version),
            Check(CELL_TABLE, self._cell, owner_version),
        ]
        return SHARE_PART, checks, [Put(SHARE_TABLE, SHARE_KEY, shares.encode())], []

    def on_committed(self, version: int) -> None:
        """Apply the last write: it was confirmed."""
        former, shares = self.shares or self._empty, self._unsure.pop()[0]
        self._usable.clear()
        self.shares, self._version = shares, version
        self._raised = {
            name
            for name in former.parts.keys() | shares.parts.keys()
            if shares.held(name, self._cell) > former.held(name, self._cell)
        }

    def on_refused(self) -> None:
        """Drop the last write: it had no effect and will have none."""
        self._unsure.pop()
        self._usable.clear()


def _decode_row(row: Row) -> Shares | None:
    """Decode the row; log and return None when it is invalid."""
    try:
        return decode_shares(row.value or b"")
    except DECODE_ERRORS as exc:
        log(Event.ROW_SKIPPED, table=row.table, key=row.key, why=reason(exc))
        return None
