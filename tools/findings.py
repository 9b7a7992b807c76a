"""Print the findings of journal entries by day: `python -m tools.findings journal/*.json`."""

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any


def format_findings(entry: dict[str, Any]) -> Iterator[str]:
    """Yield the violated rules, labels, fault and missed minimums of each day of an entry."""
    source = f"{entry.get('id', '?')} {entry.get('site') or '?'}"
    if entry.get("error"):
        yield f"{source}: error: {entry['error']}"
    days = entry.get("days") or []
    for day in days:
        yield from _format_day(f"{source} {_format_name(day)}", day)
    if entry.get("days_left_out"):
        yield f"{source}: {entry['days_left_out']} days are not in the entry"


def _format_name(day: dict[str, Any]) -> str:
    """Return the name that replays a day; names of generated days already hold the seed."""
    name, seed = str(day.get("name", "?")), day.get("seed")
    return name if seed is None or f"--seed {seed}" in name else f"{name} --seed {seed}"


def _format_day(name: str, day: dict[str, Any]) -> Iterator[str]:
    counts = {**(day.get("rules") or {}), **(day.get("labels") or {})}
    if counts:
        yield f"{name}: " + ", ".join(f"{label} {count}" for label, count in counts.items())
    if day.get("fault"):
        yield f"{name}: fault: {day['fault']}"
    for line in day.get("short") or ():
        yield f"{name}: short: {line}"


def main(paths: list[str]) -> None:
    """Print the findings of the given entries and the number of their days."""
    days = clean = 0
    for path in paths:
        entry = json.loads(Path(path).read_text(encoding="utf-8"))
        for line in format_findings(entry):
            print(line)
        entry_days = entry.get("days") or []
        days += len(entry_days)
        clean += sum(not list(_format_day("", day)) for day in entry_days)
    print(f"{len(paths)} entries, {days} days, {clean} of them without a finding")


if __name__ == "__main__":
    main(sys.argv[1:])
