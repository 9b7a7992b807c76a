"""The transactional store as the slices see it: rows in parts, conditions, ranges, a feed."""

from typing import NamedTuple, Protocol

ABSENT = 0


class Row(NamedTuple):
    """A row as read; `value` is None when it was dropped."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


class Check(NamedTuple):
    """The version that a row must have; ABSENT means that there must be none."""

    table: str
    key: str
    version: int


class Put(NamedTuple):
    """A row to write."""

    table: str
    key: str
    value: bytes


class Drop(NamedTuple):
    """A row to remove."""

    table: str
    key: str


class Committed(NamedTuple):
    """A transaction took effect at this version."""

    version: int
    now_ms: int


class Stale(NamedTuple):
    """A transaction had no effect; these are the rows of its conditions as they stand."""

    rows: list[Row]


class Listing(NamedTuple):
    """The rows of a range, and the store's newest version and steady clock at that moment."""

    rows: list[Row]
    version: int
    now_ms: int


class Store(Protocol):
    """What the slices ask; each call raises PlatformDown (no effect) or AnswerLost (unknown)."""

    @property
    def failing(self) -> bool:
        """Tell whether the last calls failed and none has succeeded since."""

    async def commit(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        """Apply a transaction inside one part, wholly or not at all."""

    async def scan(self, table: str, part: str, start: str = "", end: str = "") -> Listing:
        """List the rows of one part with keys from `start` up to, not including, `end`."""

    async def feed(self, table: str, after: int, wait_ms: int) -> Listing:
        """Wait for changes of a table after a version; raise HistoryLost when they are gone."""
