"""Decoder from the platform's settings file to a Deployment."""

import os
from typing import Any

import orjson

from curranthall.admission import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB
from curranthall.cells.options import parse_options
from curranthall.cells.tracking import Bounds
from curranthall.daemon import Deployment
from curranthall.errors import SettingsInvalid

FILE_VARIABLE = "CURRANTHALL_NODE_FILE"
FEATURES_VARIABLE = "CURRANTHALL_FEATURES"
# The platform's own bound on removed keys, used if it is enforced without a figure.
DEFAULT_REVOKE_MS = 5_000


def load_deployment() -> Deployment:
    """Load the file named by CURRANTHALL_NODE_FILE; raise SettingsInvalid."""
    path = os.environ.get(FILE_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            return decode_deployment(orjson.loads(file.read()))
    except (OSError, ValueError, KeyError, TypeError, IndexError) as exc:
        raise SettingsInvalid(file=path, problems=[repr(exc)]) from exc


def decode_deployment(value: dict[str, Any]) -> Deployment:
    """Decode the file's fields; raise KeyError, IndexError, TypeError or ValueError."""
    limits, bounds, listen = value["limits"], value["bounds"], value["listen-addrs"]
    # `zones` maps each failure domain to its region.
    return Deployment(
        name=value["node-name"],
        domain=value["zone"],
        domains=tuple(sorted(value["zones"])),
        frontend=listen["frontend"],
        readiness=listen["readiness"],
        mesh=f"{value['ip']}:{value['internal-ports'][0]}",
        store=value["platform"]["address"],
        # `cpu-share` is a share of one core, which runs `cores` times as fast.
        cpu_cores=float(limits["cpu-share"]) * float(limits.get("cores", 1)),
        advisor=value.get("advisor") or "",
        grace_s=float(bounds["grace-s"]),
        bounds=Bounds(
            max_hold_s=bounds["max-hold-ms"] / 1000,
            gang_timeout_s=bounds["gang-timeout-ms"] / 1000,
            early_s=bounds["early_ms"] / 1000,
            status_s=float(bounds["status_s"]),
        ),
        revoke_s=_decode_revoke_s(bounds),
        options=parse_options(os.environ.get(FEATURES_VARIABLE, "")),
        memory_mb=_decode_limit(limits, "memory-mb", DEFAULT_MEMORY_MB),
        max_fds=_decode_limit(limits, "max-fds", DEFAULT_MAX_FDS),
    )


def _decode_revoke_s(bounds: dict[str, Any]) -> float | None:
    enforced = bounds.get("enforce-revocation", False)
    if not isinstance(enforced, bool):
        raise ValueError("enforce-revocation is not a boolean")
    return float(bounds.get("revoke-ms", DEFAULT_REVOKE_MS)) / 1000 if enforced else None


def _decode_limit(limits: dict[str, Any], name: str, default: int) -> int:
    value = int(limits.get(name, default))
    if value < 1:
        raise ValueError(f"limits.{name} must be at least 1")
    return value
