"""The operators' table: its kinds of row, their columns and what each may hold."""

from typing import Any, NamedTuple

from voluptuous import All, Coerce, In, MultipleInvalid, Range, Schema

from curranthall.errors import BadInput

CONFIG_PREFIX = "config/"


class Column(NamedTuple):
    """A column: its check, its default and what it is for."""

    check: Any
    default: Any
    help: str


def _number(low: float, high: float) -> Any:
    return All(Coerce(float), Range(min=low, max=high))


def _whole(low: int, high: int) -> Any:
    return All(Coerce(int), Range(min=low, max=high))


_SIZES = {
    "cores": Column(_number(0.01, 1024), 1.0, "declared cores of one task"),
    "memory": Column(_number(0.01, 16384), 1.0, "declared memory of one task, GB"),
    "accelerators": Column(_whole(0, 64), 0, "accelerators of one task"),
    "domains": Column(str, "*", "failure domains it may use: * or names with commas"),
}

KINDS: dict[str, dict[str, Column]] = {
    "domain": {"state": Column(In(["in", "out"]), "in", "out: nothing starts here, work leaves")},
    "customer": {
        "weight": Column(_number(0.01, 1000), 1.0, "part of scarce room against other customers"),
        "limit": Column(_whole(0, 100_000), 100, "requests in flight at one time"),
        "quota_cores": Column(_number(0, 1e6), 1e6, "cores of batch work at one time"),
    },
    "service": {
        "customer": Column(str, "", "owner"),
        "deadline_ms": Column(_number(1, 600_000), 500.0, "latency target"),
        "replicas": Column(_whole(0, 256), 1, "replicas in each failure domain"),
        **_SIZES,
    },
    "class": {
        "kind": Column(In(["batch", "urgent", "watcher"]), "batch", "watcher: ends when closed"),
        "seconds": Column(_number(0, 1e7), 60.0, "declared run time of one task"),
        "priority": Column(_whole(0, 100), 50, "higher goes first"),
        "max_attempts": Column(_whole(1, 1000), 5, "failures after which a task is given up"),
        "on_worker_loss": Column(In(["resume", "hold"]), "resume", "hold: an operator decides"),
        **_SIZES,
    },
}


def check_row(kind: str, value: dict[str, Any]) -> dict[str, Any]:
    """Check a whole row, defaults filled in; raise BadInput naming each bad column."""
    columns = KINDS.get(kind)
    if columns is None:
        raise BadInput(field="kind", found=kind, allowed=sorted(KINDS))
    full = {name: value.get(name, column.default) for name, column in columns.items()}
    unknown = sorted(set(value) - set(columns))
    if unknown:
        raise BadInput(field=unknown[0], found="unknown column", allowed=sorted(columns))
    try:
        checked: dict[str, Any] = Schema({n: c.check for n, c in columns.items()})(full)
    except MultipleInvalid as exc:
        first = exc.errors[0]
        name = str(first.path[0]) if first.path else ""
        raise BadInput(field=name, found=full.get(name), allowed=first.msg) from exc
    return checked


def config_key(kind: str, name: str) -> str:
    """Name a configuration row in the table."""
    return f"{CONFIG_PREFIX}{kind}/{name}"


def allows_domain(domains: str, domain: str) -> bool:
    """Tell whether a row's domains column admits a failure domain."""
    return domains == "*" or domain in [name.strip() for name in domains.split(",")]
