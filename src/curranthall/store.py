"""Interface of the transactional store: rows in partitions (parts), range scans, a change feed."""

from typing import NamedTuple, Protocol

ABSENT = 0


class Row(NamedTuple):
    """A row as read; `value` is None if the row was deleted."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


class Check(NamedTuple):
    """Precondition: a row has this version; ABSENT requires that it does not exist."""

    table: str
    key: str
    version: int


class Put(NamedTuple):
    """A row to write."""

    table: str
    key: str
    value: bytes


class Drop(NamedTuple):
    """A row to delete."""

    table: str
    key: str


class Committed(NamedTuple):
    """A transaction was committed at this version."""

    version: int
    now_ms: int


class Stale(NamedTuple):
    """A precondition failed and nothing was written; `rows` are the checked rows as stored."""

    rows: list[Row]


class Listing(NamedTuple):
    """Rows of a range, with the store's newest version and monotonic clock when read."""

    rows: list[Row]
    version: int
    now_ms: int


class Store(Protocol):
    """A store; calls raise PlatformDown (no effect) or AnswerLost (effect unknown)."""

    @property
    def failing(self) -> bool:
        """Return whether the store was unavailable to the call that ended last."""

    async def commit(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        """Apply a transaction to one part atomically."""

    async def scan(self, table: str, part: str, start: str = "", end: str = "") -> Listing:
        """List the rows of one part with `start` <= key < `end`; an empty `end` sets no bound."""

    async def feed(self, table: str, after: int, wait_ms: int) -> Listing:
        """Wait for changes to a table after a version; raise HistoryLost if no longer kept."""
