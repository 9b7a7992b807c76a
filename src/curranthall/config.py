"""An entry's copy of the table, its age, and the permit to start tasks."""

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

ScanCall = Callable[[int, list[str]], Awaitable[Scan]]


class Mirror:
    """Local copy of table rows; a row never reverts to an older version."""

    def __init__(self) -> None:
        self.rows: dict[str, Change] = {}
        self._children: dict[str, set[str]] = defaultdict(set)
        # `scanned` is the revision of the last scan; rows of a peer's snapshot may be newer.
        self.scanned = 0
        self.revision = 0

    def apply(self, change: Change) -> None:
        """Store a row unless a newer version is known."""
        known = self.rows.get(change.key)
        if known is None or change.version > known.version:
            self.rows[change.key] = change
            self._children[change.key.rpartition("/")[0]].add(change.key)

    def child_rows(self, parent: str) -> Iterator[tuple[str, Row]]:
        """Yield the existing rows directly below a parent key."""
        for key in self._children.get(parent, ()):
            value = self.rows[key].value
            if value is not None:
                yield key, value

    def version(self, key: str) -> int:
        """Return the version to check in a transaction, 0 if the row does not exist."""
        change = self.rows.get(key)
        return 0 if change is None or change.value is None else change.version

    def value(self, key: str) -> Row | None:
        """Return a row's value, None if it does not exist."""
        change = self.rows.get(key)
        return None if change is None else change.value

    def rows_under(self, prefix: str) -> Iterator[tuple[str, Row]]:
        """Yield the existing rows whose keys start with a prefix."""
        for key, change in self.rows.items():
            if change.value is not None and key.startswith(prefix):
                yield key, change.value


class Config:
    """Follow the table and serve the configuration rows."""

    def __init__(
        self,
        platform: Platform,
        clock: Callable[[], float],
        prefixes: list[str],
        scan_via_peer: ScanCall,
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
        """Return the revision in force."""
        return self.mirror.revision

    @property
    def prefixes(self) -> list[str]:
        """Return the followed key prefixes."""
        return self._prefixes

    def add_prefix(self, prefix: str) -> None:
        """Follow one more prefix from the next scan on."""
        if prefix not in self._prefixes and prefix not in self._new_prefixes:
            self._new_prefixes.append(prefix)

    async def poll(self) -> None:
        """Read changes from the table, or through a peer if the table is unreachable."""
        asked_at = self._clock()
        try:
            scan, added = await self._read(self._platform.scan)
            self._set_platform_down(down=False)
        except CurranthallError as exc:
            self._set_platform_down(down=True, why=exc)
            asked_at = self._clock()
            try:
                scan, added = await self._read(self._scan_via_peer)
            except CurranthallError:
                return
        self._apply(scan, asked_at)
        self._prefixes += added
        self._new_prefixes = [prefix for prefix in self._new_prefixes if prefix not in added]

    async def _read(self, scan: ScanCall) -> tuple[Scan, list[str]]:
        added = list(self._new_prefixes)
        if added:
            for change in (await scan(0, added)).changes:
                self.mirror.apply(change)
        return await scan(self.mirror.scanned, self._prefixes + added), added

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
        """Apply a peer's rows; this does not extend the permit."""
        if revision <= self.mirror.revision:
            return
        for change in changes:
            self.mirror.apply(change)
        self.mirror.revision = revision

    def may_start(self, domain: str) -> bool:
        """Return whether tasks may start in a failure domain now."""
        age = self._clock() - self.confirmed_at
        permitted = self._clock() < self.permit_until
        if permitted != self._permitted:
            self._permitted = permitted
            self.on_change()
            log(Event.PERMIT_REGAINED if permitted else Event.PERMIT_LOST, age_s=age)
        return permitted and self.is_domain_in(domain)

    @property
    def permit_until(self) -> float:
        """Return the time until which tasks may start unless a newer scan succeeds."""
        return self.confirmed_at + PERMIT_S - PERMIT_MARGIN_S

    def is_domain_in(self, domain: str) -> bool:
        """Return whether the known configuration has the failure domain in service."""
        row = self.mirror.value(config_key("domain", domain))
        return row is not None and row["state"] == "in"

    def row(self, kind: str, name: str) -> Row:
        """Return a configuration row; raise UnknownName if it does not exist."""
        row = self.mirror.value(config_key(kind, name))
        if row is None:
            raise UnknownName(kind=kind, name=name)
        return row

    def rows(self, kind: str) -> dict[str, Row]:
        """Return all rows of a kind by name."""
        prefix = config_key(kind, "")
        return {key[len(prefix) :]: row for key, row in self.mirror.rows_under(prefix)}

    def snapshot(self) -> dict[str, Any]:
        """Return all followed rows, for a peer that cannot reach the table."""
        return {"revision": self.revision, "changes": list(self.mirror.rows.values())}

    def _set_platform_down(self, down: bool, why: object = "") -> None:
        if down != self._down:
            self._down = down
            log(Event.PLATFORM_DOWN if down else Event.PLATFORM_BACK, why=why)
