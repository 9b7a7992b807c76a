"""Report where jobs spent their time, from all entries' logs: `python -m tools.explain LOG...`.

`python -m tools.explain sizes LOG...` counts outcomes and wait reasons by queue and job size;
`python -m tools.explain twice LOG...` lists suspect second starts of a task;
`python -m tools.explain lasting LOG...` lists lasting tasks that were without a run.

A log line is a JSON object, optionally after a prefix (time, process name).
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from tools import lasting


class StepTimes(NamedTuple):
    """Seconds from ready to first start, first to last start, and last start to last end."""

    to_first_start_s: float
    to_last_start_s: float
    to_last_end_s: float


@dataclass(slots=True)
class _Step:
    first_start: float = 0.0
    last_start: float = 0.0
    last_end: float = 0.0


@dataclass(slots=True)
class JobTrace:
    """The logged history of one job; times are in seconds since the Unix epoch."""

    queue: str
    stored_at: float
    steps: dict[tuple[int, int], _Step] = field(default_factory=dict)
    ends: Counter[str] = field(default_factory=Counter)
    refused: int = 0
    moved: int = 0
    ended_at: float | None = None
    phase: str = ""

    def step_times(self) -> Iterator[StepTimes]:
        """Yield the times of the steps that ended, in order."""
        ready = self.stored_at
        for _, step in sorted(self.steps.items()):
            if step.first_start and step.last_end:
                yield StepTimes(
                    max(0.0, step.first_start - ready),
                    step.last_start - step.first_start,
                    max(0.0, step.last_end - step.last_start),
                )
                ready = step.last_end


def parse_events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the events of log lines; lines without one are skipped."""
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


def trace(events: Iterable[dict[str, Any]]) -> dict[str, JobTrace]:
    """Merge the events of all entries by job."""
    jobs: dict[str, JobTrace] = {}
    for event in sorted(events, key=lambda event: float(event["t"])):
        job_id = event.get("job") or str(event.get("task", "")).partition(".")[0]
        if event["name"] == "JOB_STORED":
            jobs[job_id] = JobTrace(str(event["queue"]), float(event["t"]))
        elif job_id in jobs:
            _apply_event(jobs[job_id], event)
    return jobs


def _apply_event(job: JobTrace, event: dict[str, Any]) -> None:
    at = float(event["t"])
    match event["name"]:
        case "RUN_PLACED":
            step = _get_step(job, event)
            step.first_start, step.last_start = step.first_start or at, at
        case "RUN_ENDED":
            job.ends[str(event["how"])] += 1
            _get_step(job, event).last_end = at
        case "RUN_REFUSED":
            job.refused += 1
        case "JOB_MOVED":
            job.moved += 1
        case "JOB_ENDED" if job.ended_at is None:
            job.ended_at, job.phase = at, str(event["phase"])


def _get_step(job: JobTrace, event: dict[str, Any]) -> _Step:
    _, occurrence, step, _ = str(event["task"]).split(".")
    return job.steps.setdefault((int(occurrence), int(step)), _Step())


def _format_quantiles(values: list[float]) -> str:
    if not values:
        return "      -      -"
    ordered = sorted(values)
    return f"{ordered[len(ordered) // 2]:7.2f}{ordered[int(len(ordered) * 0.9)]:7.2f}"


def tabulate_times(jobs: dict[str, JobTrace]) -> Iterator[str]:
    """Yield a table of times by queue: median and 90th percentile, in seconds."""
    queues: dict[str, list[JobTrace]] = defaultdict(list)
    for job in jobs.values():
        queues[job.queue].append(job)
    yield "queue          jobs  ended  moved  failed stopped refused"
    yield "   step: ready to first start, first to last start, to last end; job: to its shown end"
    for queue, rows in sorted(queues.items()):
        ends: Counter[str] = sum((job.ends for job in rows), Counter())
        yield (
            f"{queue:<13}{len(rows):6}{sum(job.ended_at is not None for job in rows):7}"
            f"{sum(job.moved for job in rows):7}{ends['failed']:8}{ends['stopped']:8}"
            f"{sum(job.refused for job in rows):8}"
        )
        times = [step for job in rows for step in job.step_times()]
        totals = [job.ended_at - job.stored_at for job in rows if job.ended_at is not None]
        columns = [[step[index] for step in times] for index in range(3)]
        yield "   " + " |".join(_format_quantiles(column) for column in [*columns, totals])


class JobOutcome(NamedTuple):
    """The size and outcome of one job."""

    queue: str
    work: float
    size: str
    begun: bool
    outcome: str


OUTCOMES = ("in_time", "late", "expired", "failed", "cancelled", "open")


def collect_outcomes(events: Iterable[dict[str, Any]]) -> list[JobOutcome]:
    """Return the size and outcome of each stored job."""
    jobs: dict[str, JobOutcome] = {}
    for event in sorted(events, key=lambda event: float(event["t"])):
        job_id = event.get("job") or str(event.get("task", "")).partition(".")[0]
        if event["name"] == "JOB_STORED":
            work = float(event.get("work", 0.0))
            jobs[job_id] = JobOutcome(str(event["queue"]), work, "", False, "open")
        elif job_id in jobs:
            jobs[job_id] = _update_outcome(jobs[job_id], event)
    return list(jobs.values())


def _update_outcome(job: JobOutcome, event: dict[str, Any]) -> JobOutcome:
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


def _group_by_size(jobs: list[JobOutcome]) -> Iterator[tuple[str, list[JobOutcome]]]:
    """Yield a queue's jobs by group: all, the largest tenth by work, the next fifth, each size."""
    ordered = sorted(jobs, key=lambda job: -job.work)
    tenth_end, fifth_end = -(-len(ordered) // 10), -(-3 * len(ordered) // 10)
    yield "all", ordered
    yield "largest 10%", ordered[:tenth_end]
    yield "next 20%", ordered[tenth_end:fifth_end]
    for size in sorted({job.size for job in jobs if job.size}, key=float):
        yield f"x{size}", [job for job in jobs if job.size == size]


def count_wait_reasons(events: Iterable[dict[str, Any]]) -> dict[tuple[str, str], Counter[str]]:
    """Sum the wait reasons in the cells' state events by queue and size class."""
    reasons: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    for event in events:
        for queue, size, why, tasks, *_ in event.get("waits", ()):
            reasons[queue, f"x{size}"][why] += tasks
            reasons[queue, "all"][why] += tasks
    return reasons


def sizes(events: list[dict[str, Any]]) -> Iterator[str]:
    """Yield a table by queue and size: jobs stored, started, by outcome, and wait reasons."""
    queues: dict[str, list[JobOutcome]] = defaultdict(list)
    for job in collect_outcomes(events):
        queues[job.queue].append(job)
    reasons = count_wait_reasons(events)
    yield "queue        size        stored begun" + "".join(
        f"{end:>10}" for end in OUTCOMES
    ) + "  waits"
    for queue, jobs in sorted(queues.items()):
        for name, rows in _group_by_size(jobs):
            ends = Counter(job.outcome for job in rows)
            ends["in_time"] += ends["completed"]
            counts = "".join(f"{ends[end]:10}" for end in OUTCOMES)
            why = " ".join(f"{why}:{n}" for why, n in reasons[queue, name].most_common())
            yield f"{queue:<13}{name:<12}{len(rows):6}{sum(j.begun for j in rows):6}{counts}  {why}"


class SuspectPair(NamedTuple):
    """Two starts of a task that may overlap or repeat finished work, and the first run's ends."""

    kind: str
    first: dict[str, Any]
    second: dict[str, Any]
    ends: list[dict[str, Any]]


END_EVENTS = {"RUN_ENDED", "RUN_REFUSED", "RUN_VANISHED"}
WORKER_EVENTS = {"WORKER_SILENT", "WORKER_LAPSED", "WORKER_REBORN", "WORKER_GONE"}
CELL_EVENTS = {"CELL_TAKEN", "CELL_PROVEN", "CELL_LOST"}


def find_suspect_pairs(events: Iterable[dict[str, Any]]) -> Iterator[SuspectPair]:
    """Yield starts of a task while an earlier run may still be running, or after it was done."""
    tasks: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for event in sorted(events, key=lambda event: float(event["t"])):
        if event["name"] in ("RUN_PLACED", "RUN_REAPPEARED") or event["name"] in END_EVENTS:
            tasks[str(event["task"])].append(event)
    for lines in tasks.values():
        starts = [line for line in lines if line["name"] == "RUN_PLACED"]
        for first, second in zip(starts, starts[1:], strict=False):
            ends = [e for e in lines if e["name"] in END_EVENTS and e.get("run") == first["run"]]
            seen = [e for e in lines if _is_sighting(e, first, second)]
            kind = _classify_pair(ends, first, second)
            if kind or seen:
                kind = kind or "first run listed after the second start"
                yield SuspectPair(kind, first, second, [*ends, *seen])


def _is_sighting(event: dict[str, Any], first: dict[str, Any], second: dict[str, Any]) -> bool:
    """Return whether the first run was listed as running after the second start."""
    if event["name"] != "RUN_REAPPEARED" or event["run"] != first["run"]:
        return False
    return event["listed"] == "running" and float(event["t"]) > float(second["t"])


def _classify_pair(
    ends: list[dict[str, Any]], first: dict[str, Any], second: dict[str, Any]
) -> str:
    before = [end for end in ends if float(end["t"]) <= float(second["t"])]
    # `after` has the end of the previous run as its holder knows it; the line of that end may be
    # missing from the logs.
    why, run, _ = second.get("after") or ("", None, "")
    known_end = why if run == first["run"] else ""
    if known_end == "ended done" or any(end.get("how") == "done" for end in before):
        return "started after done"
    # Around a takeover two holders may both log an end: the first line counts.
    ended_at = [float(end["t"]) for end in ends if end["name"] == "RUN_ENDED"]
    if min(ended_at, default=0.0) > float(second["t"]):
        return "two runs at once"
    return "" if before or known_end else "no end of the first run in the logs"


def _is_context(event: dict[str, Any], pair: SuspectPair) -> bool:
    """Return whether an event of the worker or a cell may explain a pair."""
    worker = pair.first["worker"]
    match event["name"]:
        case "ENDS_ACKED" if event["worker"] == worker:
            numbers = [end.get("number", 0) for end in pair.ends]
            return any(event["after"] < number <= event["upto"] for number in numbers)
        case name if name in WORKER_EVENTS:
            is_about = event["worker"] == worker
        case name if name in CELL_EVENTS:
            is_about = event["cell"] in (pair.first.get("cell"), pair.second.get("cell"))
        case _:
            return False
    return is_about and float(pair.first["t"]) <= float(event["t"]) <= float(pair.second["t"])


def twice(events: list[dict[str, Any]]) -> Iterator[str]:
    """Yield each suspect pair: both lines field by field, the first run's ends, and the context."""
    suspects = sorted(
        find_suspect_pairs(events), key=lambda pair: (pair.kind, float(pair.second["t"]))
    )
    for pair in suspects:
        yield f"{pair.second['task']}: {pair.kind}"
        for key in dict.fromkeys([*pair.first, *pair.second]):
            if key not in ("event", "name", "task"):
                yield f"  {key:<12}{pair.first.get(key)!s:<32}{pair.second.get(key)}"
        for event in (*pair.ends, *(each for each in events if _is_context(each, pair))):
            yield "  " + json.dumps(event)
    for kind, count in Counter(pair.kind for pair in suspects).items():
        yield f"{count} x {kind}"
    yield f"{sum(event['name'] == 'RUN_DUPLICATE' for event in events)} RUN_DUPLICATE"


def format_left_out(events: Iterable[dict[str, Any]]) -> Iterator[str]:
    """Yield a line with the number of events left out of the logs, if any."""
    total: Counter[str] = Counter()
    for event in events:
        if event["name"] == "LEFT_OUT":
            total.update(event["counts"])
    if total:
        yield "left out by the writers: " + " ".join(f"{k}:{n}" for k, n in total.items())


def find_zero(lines: Iterable[str]) -> float:
    """Return the time from which the times before the lines count, or that of the first event."""
    for line in lines:
        for event in parse_events([line]):
            prefix = line.partition("{")[0].split()
            try:
                return float(event["t"]) - float(prefix[0])
            except (IndexError, ValueError):
                return float(event["t"])
    return 0.0


def main(arguments: list[str]) -> None:
    """Print a table of the given logs, by default the times of jobs."""
    name = arguments[0] if arguments and arguments[0] in ("sizes", "twice", "lasting") else ""
    events: list[dict[str, Any]] = []
    zero: float | None = None
    for path in arguments[1:] if name else arguments:
        with open(path, encoding="utf-8", errors="replace") as log:
            if zero is None:
                zero = find_zero(log)
                log.seek(0)
            events.extend(parse_events(log))
    match name:
        case "sizes":
            rows = sizes(events)
        case "twice":
            rows = twice(events)
        case "lasting":
            rows = lasting.report(events, zero or 0.0)
        case _:
            rows = tabulate_times(trace(events))
    for line in (*rows, *format_left_out(events)):
        print(line)


if __name__ == "__main__":
    main(sys.argv[1:])
