"""What the days in journal entries broke or missed: `python -m tools.findings journal/*.json`."""

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any


def findings(entry: dict[str, Any]) -> Iterator[str]:
    """Give for each day of an entry its broken rules, labels, fault and missed floors."""
    source = f"{entry.get('id', '?')} {entry.get('site') or '?'}"
    if entry.get("error"):
        yield f"{source}: error: {entry['error']}"
    days = entry.get("days") or []
    for day in days:
        yield from _day(f"{source} {_name(day)}", day)
    if entry.get("days_left_out"):
        yield f"{source}: {entry['days_left_out']} days are not in the entry"


def _name(day: dict[str, Any]) -> str:
    """Name a day as it is played again; drawn days have their seed in the name."""
    name, seed = str(day.get("name", "?")), day.get("seed")
    return name if seed is None or f"--seed {seed}" in name else f"{name} --seed {seed}"


def _day(name: str, day: dict[str, Any]) -> Iterator[str]:
    marks = {**(day.get("rules") or {}), **(day.get("labels") or {})}
    if marks:
        yield f"{name}: " + ", ".join(f"{mark} {count}" for mark, count in marks.items())
    if day.get("fault"):
        yield f"{name}: fault: {day['fault']}"
    for line in day.get("short") or ():
        yield f"{name}: short: {line}"


def main(paths: list[str]) -> None:
    """Print the findings of some entries and how many days they hold."""
    days = clean = 0
    for path in paths:
        entry = json.loads(Path(path).read_text(encoding="utf-8"))
        for line in findings(entry):
            print(line)
        found = entry.get("days") or []
        days += len(found)
        clean += sum(not list(_day("", day)) for day in found)
    print(f"{len(paths)} entries, {days} days, {clean} of them without a finding")


if __name__ == "__main__":
    main(sys.argv[1:])
