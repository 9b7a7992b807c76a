"""Where the time of jobs went, from the logs of all entries: `python -m tools.explain LOG...`.

A line is a JSON object, alone or behind other words (time, name of the process).
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple


class Stay(NamedTuple):
    """How long one step of a job spent where, in seconds."""

    to_first_start: float
    to_last_start: float
    to_last_end: float


@dataclass(slots=True)
class _Step:
    first: float = 0.0
    last: float = 0.0
    ended: float = 0.0


@dataclass(slots=True)
class JobTrace:
    """What the logs say of one job; times in seconds since 1970."""

    queue: str
    stored: float
    steps: dict[tuple[int, int], _Step] = field(default_factory=dict)
    ends: Counter[str] = field(default_factory=Counter)
    refused: int = 0
    moved: int = 0
    shown: float | None = None
    phase: str = ""

    def stays(self) -> Iterator[Stay]:
        """Give the steps' times one after the other."""
        ready = self.stored
        for _, step in sorted(self.steps.items()):
            if step.first and step.ended:
                yield Stay(
                    max(0.0, step.first - ready),
                    step.last - step.first,
                    max(0.0, step.ended - step.last),
                )
                ready = step.ended


def events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Give the events of log lines; skip what is none."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(event, dict) and "name" in event and "t" in event:
            yield event


def trace(found: Iterable[dict[str, Any]]) -> dict[str, JobTrace]:
    """Put the events of all entries together, by job."""
    jobs: dict[str, JobTrace] = {}
    for event in sorted(found, key=lambda event: float(event["t"])):
        job_id = event.get("job") or str(event.get("task", "")).partition(".")[0]
        if event["name"] == "JOB_STORED":
            jobs[job_id] = JobTrace(str(event["queue"]), float(event["t"]))
        elif job_id in jobs:
            _note(jobs[job_id], event)
    return jobs


def _note(job: JobTrace, event: dict[str, Any]) -> None:
    at = float(event["t"])
    match event["name"]:
        case "RUN_PLACED":
            step = _step(job, event)
            step.first, step.last = step.first or at, at
        case "RUN_ENDED":
            job.ends[str(event["how"])] += 1
            _step(job, event).ended = at
        case "RUN_REFUSED":
            job.refused += 1
        case "JOB_MOVED":
            job.moved += 1
        case "JOB_ENDED" if job.shown is None:
            job.shown, job.phase = at, str(event["phase"])


def _step(job: JobTrace, event: dict[str, Any]) -> _Step:
    _, occurrence, step, _ = str(event["task"]).split(".")
    return job.steps.setdefault((int(occurrence), int(step)), _Step())


def _spread(values: list[float]) -> str:
    if not values:
        return "      -      -"
    ordered = sorted(values)
    return f"{ordered[len(ordered) // 2]:7.2f}{ordered[int(len(ordered) * 0.9)]:7.2f}"


def report(jobs: dict[str, JobTrace]) -> Iterator[str]:
    """Give a table by queue: seconds, median and nine tenths."""
    queues: dict[str, list[JobTrace]] = defaultdict(list)
    for job in jobs.values():
        queues[job.queue].append(job)
    yield "queue          jobs  ended  moved  failed stopped refused"
    yield "   step: ready to first start, first to last start, to last end; job: to its shown end"
    for queue, rows in sorted(queues.items()):
        ends: Counter[str] = sum((job.ends for job in rows), Counter())
        yield (
            f"{queue:<13}{len(rows):6}{sum(job.shown is not None for job in rows):7}"
            f"{sum(job.moved for job in rows):7}{ends['failed']:8}{ends['stopped']:8}"
            f"{sum(job.refused for job in rows):8}"
        )
        stays = [stay for job in rows for stay in job.stays()]
        shown = [job.shown - job.stored for job in rows if job.shown is not None]
        parts = [[stay[at] for stay in stays] for at in range(3)]
        yield "   " + " |".join(_spread(part) for part in [*parts, shown])


def main(paths: list[str]) -> None:
    """Print the table of some logs."""
    found: list[dict[str, Any]] = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as log:
            found.extend(events(log))
    for line in report(trace(found)):
        print(line)


if __name__ == "__main__":
    main(sys.argv[1:])
