"""Where the time of jobs went, from the logs of all entries: `python -m tools.explain LOG...`.

`python -m tools.explain sizes LOG...` tells by queue and size of job what was served and what
tasks waited for; `python -m tools.explain twice LOG...` shows doubtful second starts of a task.

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


def parse_events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
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


class JobEnd(NamedTuple):
    """What became of one job, by its size."""

    queue: str
    work: float
    size: str
    begun: bool
    outcome: str


ENDS = ("in_time", "late", "expired", "failed", "cancelled", "open")


def job_ends(found: Iterable[dict[str, Any]]) -> list[JobEnd]:
    """Give each stored job's size and what became of it."""
    jobs: dict[str, JobEnd] = {}
    for event in sorted(found, key=lambda event: float(event["t"])):
        job_id = event.get("job") or str(event.get("task", "")).partition(".")[0]
        if event["name"] == "JOB_STORED":
            work = float(event.get("work", 0.0))
            jobs[job_id] = JobEnd(str(event["queue"]), work, "", False, "open")
        elif job_id in jobs:
            jobs[job_id] = _ended(jobs[job_id], event)
    return list(jobs.values())


def _ended(job: JobEnd, event: dict[str, Any]) -> JobEnd:
    match event["name"]:
        case "JOB_ADOPTED" if not job.size:
            return job._replace(size=str(event.get("size", "")))
        case "RUN_PLACED":
            return job._replace(begun=True)
        case "JOB_CANCELLED":
            return job._replace(outcome="cancelled")
        case "JOB_ENDED" if job.outcome == "open":
            return job._replace(outcome=str(event.get("outcome", event["phase"])))
    return job


def _ranks(jobs: list[JobEnd]) -> Iterator[tuple[str, list[JobEnd]]]:
    """Part a queue's jobs: all, the largest tenth, the fifth below it, and by size class."""
    ordered = sorted(jobs, key=lambda job: -job.work)
    tenth, third = -(-len(ordered) // 10), -(-3 * len(ordered) // 10)
    yield "all", ordered
    yield "largest 10%", ordered[:tenth]
    yield "next 20%", ordered[tenth:third]
    for size in sorted({job.size for job in jobs if job.size}, key=float):
        yield f"x{size}", [job for job in jobs if job.size == size]


def waits(found: Iterable[dict[str, Any]]) -> dict[tuple[str, str], Counter[str]]:
    """Sum up by queue and size class what tasks waited for in the cells' summaries."""
    reasons: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    for event in found:
        for queue, size, why, tasks, *_ in event.get("waits", ()):
            reasons[queue, f"x{size}"][why] += tasks
            reasons[queue, "all"][why] += tasks
    return reasons


def sizes(found: list[dict[str, Any]]) -> Iterator[str]:
    """Give a table by queue and size: jobs stored, begun, ended how, and what tasks waited for."""
    queues: dict[str, list[JobEnd]] = defaultdict(list)
    for job in job_ends(found):
        queues[job.queue].append(job)
    reasons = waits(found)
    yield "queue        size        stored begun" + "".join(
        f"{end:>10}" for end in ENDS
    ) + "  waits"
    for queue, jobs in sorted(queues.items()):
        for name, rows in _ranks(jobs):
            ends = Counter(job.outcome for job in rows)
            ends["in_time"] += ends["completed"]
            counts = "".join(f"{ends[end]:10}" for end in ENDS)
            why = " ".join(f"{why}:{n}" for why, n in reasons[queue, name].most_common())
            yield f"{queue:<13}{name:<12}{len(rows):6}{sum(j.begun for j in rows):6}{counts}  {why}"


class Pair(NamedTuple):
    """Two starts of one task that should not both be, and the kind of doubt."""

    kind: str
    first: dict[str, Any]
    second: dict[str, Any]
    ends: list[dict[str, Any]]


OVER = {"RUN_ENDED", "RUN_REFUSED", "RUN_VANISHED"}


def pairs(found: Iterable[dict[str, Any]]) -> Iterator[Pair]:
    """Give starts of a task while an earlier run may be at work, or after it was done."""
    tasks: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for event in sorted(found, key=lambda event: float(event["t"])):
        if event["name"] == "RUN_PLACED" or event["name"] in OVER:
            tasks[str(event["task"])].append(event)
    for lines in tasks.values():
        starts = [line for line in lines if line["name"] == "RUN_PLACED"]
        for first, second in zip(starts, starts[1:], strict=False):
            ends = [e for e in lines if e["name"] in OVER and e.get("run") == first["run"]]
            kind = _doubt(ends, first, second)
            if kind:
                yield Pair(kind, first, second, ends)


def _doubt(ends: list[dict[str, Any]], first: dict[str, Any], second: dict[str, Any]) -> str:
    before = [end for end in ends if float(end["t"]) <= float(second["t"])]
    # The second start names the end that its holder knew, should that line be left out.
    why, run, _ = second.get("after") or ("", None, "")
    known = why if run == first["run"] else ""
    if known == "ended done" or any(end.get("how") == "done" for end in before):
        return "started after done"
    # Two holders may both hear of an end around a takeover: the first line counts.
    listed = [float(end["t"]) for end in ends if end["name"] == "RUN_ENDED"]
    if min(listed, default=0.0) > float(second["t"]):
        return "two runs at once"
    return "" if before or known else "no end of the first run in the logs"


def twice(found: list[dict[str, Any]]) -> Iterator[str]:
    """Give each pair of doubtful starts: both lines field by field, then the first run's ends."""
    listed = sorted(pairs(found), key=lambda pair: (pair.kind, float(pair.second["t"])))
    for pair in listed:
        yield f"{pair.second['task']}: {pair.kind}"
        for key in dict.fromkeys([*pair.first, *pair.second]):
            if key not in ("event", "name", "task"):
                yield f"  {key:<12}{pair.first.get(key)!s:<32}{pair.second.get(key)}"
        for end in pair.ends:
            yield "  " + json.dumps(end)
    for kind, count in Counter(pair.kind for pair in listed).items():
        yield f"{count} x {kind}"
    yield f"{sum(event['name'] == 'RUN_DUPLICATE' for event in found)} RUN_DUPLICATE"


def left_out(found: Iterable[dict[str, Any]]) -> Iterator[str]:
    """Tell what the logs are missing."""
    total: Counter[str] = Counter()
    for event in found:
        if event["name"] == "LEFT_OUT":
            total.update(event["counts"])
    if total:
        yield "left out by the writers: " + " ".join(f"{k}:{n}" for k, n in total.items())


def main(arguments: list[str]) -> None:
    """Print a table of some logs: `sizes`, `twice`, or where the time went."""
    table = {"sizes": sizes, "twice": twice}.get(arguments[0]) if arguments else None
    found: list[dict[str, Any]] = []
    for path in arguments[1:] if table else arguments:
        with open(path, encoding="utf-8", errors="replace") as log:
            found.extend(parse_events(log))
    for line in (*(table(found) if table else report(trace(found))), *left_out(found)):
        print(line)


if __name__ == "__main__":
    main(sys.argv[1:])
