"""Schema of the configuration table: kinds of rows, their columns and allowed values."""

from typing import Any, NamedTuple

from voluptuous import All, Coerce, In, MultipleInvalid, Range, Schema

from curranthall.errors import BadInput

CONFIG_PREFIX = "config/"


class Column(NamedTuple):
    """Validator, default and help text of a column."""

    check: Any
    default: Any
    help: str


def _float_in(low: float, high: float) -> Any:
    return All(Coerce(float), Range(min=low, max=high))


def _int_in(low: int, high: int) -> Any:
    return All(Coerce(int), Range(min=low, max=high))


_SIZE_COLUMNS = {
    "cores": Column(_float_in(0.01, 1024), 1.0, "declared cores of one task"),
    "memory": Column(_float_in(0.01, 16384), 1.0, "declared memory of one task, GB"),
    "accelerators": Column(_int_in(0, 64), 0, "accelerators of one task"),
    "domains": Column(str, "*", "failure domains it may use: * or names with commas"),
}

KINDS: dict[str, dict[str, Column]] = {
    "domain": {"state": Column(In(["in", "out"]), "in", "out: nothing starts here, work leaves")},
    "customer": {
        "weight": Column(_float_in(0.01, 1000), 1.0, "part of scarce room against other customers"),
        "limit": Column(_int_in(0, 100_000), 100, "requests in flight at one time"),
        "quota_cores": Column(_float_in(0, 1e6), 1e6, "cores of batch work at one time"),
    },
    "service": {
        "customer": Column(str, "", "owner"),
        "deadline_ms": Column(_float_in(1, 600_000), 500.0, "latency target"),
        "replicas": Column(_int_in(0, 256), 1, "replicas in each failure domain"),
        **_SIZE_COLUMNS,
    },
    "class": {
        "kind": Column(In(["batch", "urgent", "watcher"]), "batch", "watcher: ends when closed"),
        "seconds": Column(_float_in(0, 1e7), 60.0, "declared run time of one task"),
        "priority": Column(_int_in(0, 100), 50, "higher goes first"),
        "max_attempts": Column(_int_in(1, 1000), 5, "failures after which a task is given up"),
        "on_worker_loss": Column(In(["resume", "hold"]), "resume", "hold: an operator decides"),
        **_SIZE_COLUMNS,
    },
}


def check_row(kind: str, value: dict[str, Any]) -> dict[str, Any]:
    """Validate a row and fill in defaults; raise BadInput for the first bad column."""
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
    """Return the table key of a configuration row."""
    return f"{CONFIG_PREFIX}{kind}/{name}"


def allows_domain(domains: str, domain: str) -> bool:
    """Return whether a row's `domains` column includes a failure domain."""
    return domains == "*" or domain in [name.strip() for name in domains.split(",")]
