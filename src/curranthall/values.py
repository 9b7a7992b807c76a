"""Checks of values that other programs wrote: types and ranges; they raise ValueError or KeyError.

No message contains the value itself, which may be too long or too deeply nested to print.
"""

import socket
from functools import cache
from types import UnionType
from typing import Any, TypeVar, get_origin, get_type_hints

from cbor2 import CBORDecodeError

# What decoding invalid input raises: syntax errors of the codecs, and the checks below.
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
    EOFError,
    CBORDecodeError,
)
# The largest number that JSON parsers keep exact.
MAX_WHOLE = 2**53 - 1
MAX_REASON_CHARS = 200
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5

Record = TypeVar("Record", bound=tuple[Any, ...])


def reason(exc: Exception) -> str:
    """Return why a value was refused, short enough for a log line."""
    return repr(exc)[:MAX_REASON_CHARS]


def text(value: object) -> str:
    """Return a text."""
    if not isinstance(value, str):
        raise ValueError(f"{type(value).__name__} instead of a text")
    return value


def number(value: object, most: float = MAX_WHOLE) -> float:
    """Return a number from 0 to `most`."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{type(value).__name__} instead of a number")
    if not 0 <= value <= most:
        raise ValueError(f"a number outside 0 to {most}")
    return value


def whole(value: object, most: int = MAX_WHOLE) -> int:
    """Return a number from 0 to `most`, without its fraction."""
    if type(value) is int and 0 <= value <= most:
        return value
    return int(number(value, most))


def items(value: object) -> list[Any]:
    """Return a list."""
    if not isinstance(value, list):
        raise ValueError(f"{type(value).__name__} instead of a list")
    return value


def fields(value: object) -> dict[str, Any]:
    """Return an object."""
    if not isinstance(value, dict):
        raise ValueError(f"{type(value).__name__} instead of an object")
    return value


def name(value: object) -> str:
    """Return a text that may stand in a header: printable ASCII without spaces."""
    found = text(value)
    if not found or not found.isascii() or not found.isprintable() or " " in found:
        raise ValueError("not a name")
    return found


def address(value: object) -> str:
    """Return an IPv4 address and a port, separated by a colon."""
    host, _, port = text(value).rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        raise ValueError("not a port")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"a port outside 1 to {MAX_PORT}")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError as exc:
        raise ValueError("not an IPv4 address") from exc
    return f"{host}:{port}"


def integer(value: object) -> int:
    """Return a whole number of any size and sign."""
    if type(value) is not int:
        raise ValueError(f"{type(value).__name__} instead of an integer")
    return value


def figures(value: object) -> dict[str, float]:
    """Return an object whose values are numbers."""
    return {text(key): finite(figure) for key, figure in fields(value).items()}


def finite(value: object) -> float:
    """Return a number of either sign, up to MAX_WHOLE."""
    if isinstance(value, int | float) and not isinstance(value, bool) and abs(value) <= MAX_WHOLE:
        return value
    raise ValueError(f"{type(value).__name__} that is no finite number")


def checked(record: Record) -> Record:
    """Return a record whose fields have their annotated types; its numbers are finite."""
    for value, kind in zip(record, _kinds(type(record)), strict=True):
        found = type(value)
        if found is kind and (found is not int and found is not float or abs(value) <= MAX_WHOLE):
            continue
        if kind is float or kind is int and found is int:
            finite(value)
        elif not isinstance(value, kind) or found is bool:
            raise ValueError(f"{type(record).__name__} with a {found.__name__}")
    return record


@cache
def _kinds(record_type: type) -> tuple[Any, ...]:
    """Return the types of a record's fields, without those of their items."""
    hints = get_type_hints(record_type).values()
    return tuple(
        kind if isinstance(kind, UnionType) else get_origin(kind) or kind for kind in hints
    )
