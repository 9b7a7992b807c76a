"""The table as an entry knows it, how fresh that is, and the permit to start tasks."""

from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from curranthall.errors import CurranthallError, UnknownName
from curranthall.events import Event, log
from curranthall.model import Change, Row, Scan
from curranthall.rows import CONFIG_PREFIX, config_key
from curranthall.table import Platform

POLL_S = 0.5
PERMIT_S = 2.0
PERMIT_MARGIN_S = 0.2

ScanVia = Callable[[int, list[str]], Awaitable[Scan]]


class Mirror:
    """Rows read from the table; a row never goes back to an older version."""

    def __init__(self) -> None:
        self.rows: dict[str, Change] = {}
        self._parents: dict[str, set[str]] = defaultdict(set)
        # Rows may be known from a peer beyond what this entry's own scans have covered.
        self.scanned = 0
        self.revision = 0

    def apply(self, change: Change) -> None:
        """Take in one row unless a newer one is known."""
        known = self.rows.get(change.key)
        if known is None or change.version > known.version:
            self.rows[change.key] = change
            self._parents[change.key.rpartition("/")[0]].add(change.key)

    def child_rows(self, parent: str) -> Iterator[tuple[str, Row]]:
        """Give the live rows right below a name."""
        for key in self._parents.get(parent, ()):
            value = self.rows[key].value
            if value is not None:
                yield key, value

    def version(self, key: str) -> int:
        """Give the version to check in a transaction; 0 where there is no row."""
        change = self.rows.get(key)
        return 0 if change is None or change.value is None else change.version

    def value(self, key: str) -> Row | None:
        """Give a row's value."""
        change = self.rows.get(key)
        return None if change is None else change.value

    def rows_under(self, prefix: str) -> Iterator[tuple[str, Row]]:
        """Give the live rows under a prefix."""
        for key, change in self.rows.items():
            if change.value is not None and key.startswith(prefix):
                yield key, change.value


class Config:
    """Follow the table and answer what is configured."""

    def __init__(
        self,
        platform: Platform,
        clock: Callable[[], float],
        prefixes: list[str],
        scan_via_peer: ScanVia,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._prefixes = list(prefixes)
        self._scan_via_peer = scan_via_peer
        self._new_prefixes: list[str] = []
        self.mirror = Mirror()
        self.confirmed_at = float("-inf")
        self.on_change: Callable[[], None] = lambda: None
        self._down = False
        self._permitted = False

    @property
    def revision(self) -> int:
        """Give the revision in force."""
        return self.mirror.revision

    @property
    def prefixes(self) -> list[str]:
        """Name what is followed."""
        return self._prefixes

    def add_prefix(self, prefix: str) -> None:
        """Follow one more prefix from the next scan on."""
        if prefix not in self._prefixes and prefix not in self._new_prefixes:
            self._new_prefixes.append(prefix)

    async def poll(self) -> None:
        """Read what changed, directly or by way of a peer that reaches the table."""
        asked_at = self._clock()
        try:
            scan, fresh = await self._read(self._platform.scan)
            self._platform_is(down=False)
        except CurranthallError as exc:
            self._platform_is(down=True, why=exc)
            asked_at = self._clock()
            try:
                scan, fresh = await self._read(self._scan_via_peer)
            except CurranthallError:
                return
        self._apply(scan, asked_at)
        self._prefixes += fresh
        self._new_prefixes = [prefix for prefix in self._new_prefixes if prefix not in fresh]

    async def _read(self, scan: ScanVia) -> tuple[Scan, list[str]]:
        fresh = list(self._new_prefixes)
        if fresh:
            for change in (await scan(0, fresh)).changes:
                self.mirror.apply(change)
        return await scan(self.mirror.scanned, self._prefixes + fresh), fresh

    def _apply(self, scan: Scan, asked_at: float) -> None:
        if scan.revision < self.mirror.scanned:
            return
        for change in scan.changes:
            self.mirror.apply(change)
        if scan.changes:
            self.on_change()
        if any(change.key.startswith(CONFIG_PREFIX) for change in scan.changes):
            log(Event.CONFIG_IN_FORCE, revision=scan.revision)
        self.mirror.scanned = scan.revision
        self.mirror.revision = max(self.mirror.revision, scan.revision)
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def apply_snapshot(self, revision: int, changes: list[Change]) -> None:
        """Take a peer's rows when the table can't be reached; confirms nothing."""
        if revision <= self.mirror.revision:
            return
        for change in changes:
            self.mirror.apply(change)
        self.mirror.revision = revision

    def may_start(self, domain: str) -> bool:
        """Tell whether tasks may start in a failure domain right now."""
        age = self._clock() - self.confirmed_at
        permitted = self._clock() < self.permit_until
        if permitted != self._permitted:
            self._permitted = permitted
            self.on_change()
            log(Event.PERMIT_REGAINED if permitted else Event.PERMIT_LOST, age_s=age)
        return permitted and self.is_domain_in(domain)

    @property
    def permit_until(self) -> float:
        """Give the moment after which no task may start without a newer confirmation."""
        return self.confirmed_at + PERMIT_S - PERMIT_MARGIN_S

    def is_domain_in(self, domain: str) -> bool:
        """Tell whether a failure domain is in service, as far as known."""
        row = self.mirror.value(config_key("domain", domain))
        return row is not None and row["state"] == "in"

    def row(self, kind: str, name: str) -> Row:
        """Give a configuration row; raise UnknownName."""
        row = self.mirror.value(config_key(kind, name))
        if row is None:
            raise UnknownName(kind=kind, name=name)
        return row

    def rows(self, kind: str) -> dict[str, Row]:
        """Give all rows of a kind by name."""
        prefix = config_key(kind, "")
        return {key[len(prefix) :]: row for key, row in self.mirror.rows_under(prefix)}

    def snapshot(self) -> dict[str, Any]:
        """Give all followed rows, for a peer without the table."""
        return {"revision": self.revision, "changes": list(self.mirror.rows.values())}

    def _platform_is(self, down: bool, why: object = "") -> None:
        if down != self._down:
            self._down = down
            log(Event.PLATFORM_DOWN if down else Event.PLATFORM_BACK, why=why)
