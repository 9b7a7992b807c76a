"""Edits of configuration rows: based on a version and committed together with a history row."""

from collections.abc import Callable
from typing import Any

from curranthall.block import BLOCK_PREFIX, SERVICE_JOB, block_key, new_block, service_job
from curranthall.config import Config
from curranthall.errors import BadInput, Conflict
from curranthall.events import Event, log
from curranthall.jobs import NAME
from curranthall.model import Change, Commit, Row
from curranthall.rows import CONFIG_PREFIX, KINDS, allows_domain, check_row, config_key
from curranthall.table import Platform, commit_and_resolve

HISTORY_PREFIX = "history/"
MAX_REPLICAS = 256


class Edits:
    """Write configuration rows."""

    def __init__(
        self,
        platform: Platform,
        config: Config,
        wall_clock: Callable[[], float],
        new_txn: Callable[[], str],
    ) -> None:
        self._platform = platform
        self._config = config
        self._wall_clock = wall_clock
        self._new_txn = new_txn

    async def edit(
        self, who: str, kind: str, name: str, values: dict[str, Any], base: int
    ) -> dict[str, Any]:
        """Change columns of a row at version `base` (0: a new row); raise Conflict if stale."""
        if not NAME.fullmatch(name):
            raise BadInput(field="name", found=name, allowed=NAME.pattern)
        key = config_key(kind, name)
        before = await self._read_row(key)
        current = 0 if before is None or before.value is None else before.version
        if current != base:
            log(Event.EDIT_CONFLICT, key=key, base=base, found=current)
            raise Conflict(key=key, base=base, version=current)
        old = dict(before.value) if before is not None and before.value is not None else {}
        new = check_row(kind, {**old, **values})
        txn = self._new_txn()
        writes: dict[str, Row | None] = {key: new}
        checks = {key: base}
        await self._add_replica_blocks(kind, name, new, checks, writes)
        writes[f"{HISTORY_PREFIX}{int(self._wall_clock() * 1000):014d}-{txn}"] = {
            "who": who,
            "at": self._wall_clock(),
            "key": key,
            "before": old or None,
            "after": new,
        }
        result = await commit_and_resolve(self._platform, Commit(txn, checks, writes))
        if result.is_err():
            log(Event.EDIT_CONFLICT, key=key, base=base)
            raise Conflict(key=key, base=base)
        revision = result.unwrap()
        self._config.mirror.apply(Change(key, revision, txn, new))
        log(Event.EDIT_ACCEPTED, key=key, who=who, revision=revision)
        return {"key": key, "version": revision, "revision": revision, "row": new}

    async def _read_row(self, key: str) -> Change | None:
        scan = await self._platform.scan(0, [key])
        rows = [change for change in scan.changes if change.key == key]
        return rows[0] if rows else None

    async def _add_replica_blocks(
        self,
        kind: str,
        name: str,
        new: dict[str, Any],
        checks: dict[str, int],
        writes: dict[str, Row | None],
    ) -> None:
        """Add the replica blocks that the edit of a service or failure domain requires."""
        scan = await self._platform.scan(0, [CONFIG_PREFIX])
        rows = {c.key: c.value for c in scan.changes if c.value is not None}
        rows[config_key(kind, name)] = new
        domains = [key.split("/")[2] for key in rows if key.startswith(config_key("domain", ""))]
        services = {
            key.split("/")[2]: row
            for key, row in rows.items()
            if key.startswith(config_key("service", ""))
        }
        match kind:
            case "service":
                services = {name: new}
            case "domain":
                domains = [name]
            case _:
                return
        scan = await self._platform.scan(0, [f"{BLOCK_PREFIX}{d}/{SERVICE_JOB}" for d in domains])
        known = {c.key: c for c in scan.changes if c.value is not None}
        for domain in domains:
            for service, row in services.items():
                if allows_domain(row["domains"], domain):
                    _set_replica_blocks(domain, service, row, known, checks, writes)

    async def history(self) -> list[dict[str, Any]]:
        """Return the accepted edits, newest first."""
        scan = await self._platform.scan(0, [HISTORY_PREFIX])
        rows = [dict(c.value, revision=c.version) for c in scan.changes if c.value is not None]
        return sorted(rows, key=lambda row: -row["revision"])

    async def load(self, who: str, table: dict[str, dict[str, dict[str, Any]]]) -> list[str]:
        """Write the rows that are new or differ and return their keys."""
        written = []
        for kind in KINDS:
            for name, values in table.get(kind, {}).items():
                change = await self._read_row(config_key(kind, name))
                old = None if change is None else change.value
                if old is not None and dict(old) == check_row(kind, {**old, **values}):
                    continue
                base = 0 if change is None or old is None else change.version
                await self.edit(who, kind, name, values, base)
                written.append(config_key(kind, name))
        return written

    def table(self) -> dict[str, Any]:
        """Return all rows in force with their versions."""
        rows_by_kind: dict[str, Any] = {}
        for kind in KINDS:
            prefix = config_key(kind, "")
            rows_by_kind[kind] = [
                {"name": key[len(prefix) :], "version": self._config.mirror.version(key), **row}
                for key, row in sorted(self._config.mirror.rows_under(prefix))
            ]
        return rows_by_kind


def _set_replica_blocks(
    domain: str,
    service: str,
    row: Row,
    known: dict[str, Change],
    checks: dict[str, int],
    writes: dict[str, Row | None],
) -> None:
    """Write one block for each replica; the block of a removed replica gets no tasks."""
    job = service_job(service, domain)
    for n in range(MAX_REPLICAS):
        key, count = block_key(domain, job, n), int(n < row["replicas"])
        change = known.get(key)
        if change is None or change.value is None:
            if not count:
                return
            block = new_block(job, row["customer"], service, n, 1, 0.0)
            checks[key], writes[key] = 0, {**block, "service": service}
        elif change.value["count"] != count:
            checks[key], writes[key] = change.version, {**change.value, "count": count}
