"""Settings files: JSON with comments, validated into typed data."""

from typing import Any, NamedTuple

from curranthall.admission import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB
from curranthall.errors import SettingsInvalid

MIN_KEY_CHARS = 16
TYPE_NAMES = {"str": "a string", "int": "a whole number", "bool": "true or false"}


class Settings(NamedTuple):
    """Settings of an entry; addresses are host:port."""

    id: str
    domain: str
    caller: str
    operators: str
    mesh: str
    platform: str
    mesh_key: str
    operator_tokens: dict[str, str]
    customer_tokens: dict[str, str] = {}
    peers: tuple[str, ...] = ()
    max_body_bytes: int = 1_048_576
    log_decisions: bool = True
    # Memory and descriptors of the process, of which clients get a part.
    memory_mb: int = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS


class Problem(NamedTuple):
    """One error in a settings file."""

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}; allowed: {self.allowed}"


def load_settings(path: str) -> Settings:
    """Read a settings file; raise SettingsInvalid with every problem."""
    import json5

    try:
        with open(path, encoding="utf-8") as file:
            value = json5.load(file)
    except (OSError, ValueError) as exc:
        problem = Problem("(file)", str(exc), "JSON with comments")
        raise SettingsInvalid(file=path, problems=[problem]) from exc
    return settings_from(value, path)


def settings_from(value: Any, path: str = "") -> Settings:
    """Validate a decoded settings file; raise SettingsInvalid with every problem."""
    from voluptuous import MultipleInvalid

    try:
        checked = _schema()(value)
    except MultipleInvalid as exc:
        problems = [_describe_problem(error, value) for error in exc.errors]
        raise SettingsInvalid(file=path, problems=problems) from exc
    return Settings(**{**checked, "peers": tuple(checked.get("peers", ()))})


def _schema() -> Any:
    from voluptuous import PREVENT_EXTRA, All, Length, Match, Optional, Range, Required, Schema

    address = All(str, Match(r"^[0-9A-Za-z.:-]+:[0-9]{1,5}$", msg="host:port"))
    name = All(str, Match(r"^[A-Za-z0-9_-]{1,64}$", msg="1 to 64 of A-Z a-z 0-9 _ -"))
    secret = All(
        str, Length(min=MIN_KEY_CHARS, msg=f"a string of at least {MIN_KEY_CHARS} characters")
    )
    body = All(int, Range(min=1_024, max=64 * 1_048_576, msg="1024 to 67108864"))
    return Schema(
        {
            Required("id"): name,
            Required("domain"): name,
            Required("caller"): address,
            Required("operators"): address,
            Required("mesh"): address,
            Required("platform"): address,
            Required("mesh_key"): secret,
            Required("operator_tokens"): {str: secret},
            Optional("customer_tokens"): {str: secret},
            Optional("peers"): [address],
            Optional("max_body_bytes"): body,
            Optional("log_decisions"): bool,
            Optional("memory_mb"): All(int, Range(min=64, msg="at least 64")),
            Optional("max_fds"): All(int, Range(min=64, msg="at least 64")),
        },
        extra=PREVENT_EXTRA,
    )


def _describe_problem(error: Any, value: Any) -> Problem:
    path = ".".join(str(part) for part in error.path) or "(top)"
    match error.msg:
        case "extra keys not allowed":
            allowed = "one of " + ", ".join(Settings._fields) if len(error.path) == 1 else "no key"
            return Problem(path, "unknown key", allowed)
        case "required key not provided":
            return Problem(path, "nothing", "a value: this key is required")
        case message:
            faulty = value
            for part in error.path:
                faulty = faulty[part]
            shown = "a secret" if "token" in path or "key" in path else repr(faulty)
            expected = message.removeprefix("expected ")
            return Problem(path, shown, TYPE_NAMES.get(expected, expected))
