"""List the lasting tasks that were without a run, from the events of all entries' logs."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

Event = dict[str, Any]
# Job and step.
StepKey = tuple[str, int]

# A shorter time without a run is not listed: a run that ends is followed by the next one.
MIN_GAP_S = 6.0
# A cell logs its state every 2 s: its last one counts for at most this long.
STATE_AGE_S = 2.5
# A moved task that starts in the other cell within this time found the room that it was moved to.
ARRIVAL_S = 2.5
# Lines that are left out are counted with the first line of a later second.
LEFT_OUT_S = 1.5
# The most rows of `lasting_waits`: a cell with as many may have left out others.
FULL_LIST_ROWS = 32
# The most tasks of a step that are listed one by one, those without a run for longest.
MAX_LISTED_TASKS = 12

JOB_ENDS = {"JOB_ENDED", "JOB_CLOSED", "JOB_CANCELLED", "TASK_GIVEN_UP"}
UNLISTED = "unlisted"
LEASE = "lease"


@dataclass(slots=True)
class Gap:
    """A time without a run of a lasting task; times are in seconds since the Unix epoch.

    `since` is when the run was last known to be in reach, `noted_at` when a holder noted its end.
    `until` is None if the task has no run at the end of the logs.
    """

    task: str
    since: float
    noted_at: float
    why: str
    until: float | None = None
    next: str = ""
    # It may have ended at `until` or go on: the line of the next start may be left out.
    doubtful: bool = False
    # Seconds by what the task waited for.
    reasons: dict[str, float] = field(default_factory=dict)

    def add(self, why: str, seconds: float) -> None:
        """Add seconds to those of a reason."""
        self.reasons[why] = self.reasons.get(why, 0.0) + seconds


class Move(NamedTuple):
    """A move of waiting tasks of a lasting step, and how many of them started on arrival."""

    at: float
    cell: str
    to: str
    tasks: int
    started: int
    line: Event


class Unlisted(NamedTuple):
    """A time in which the cells listed fewer waiting tasks of a step than had no run.

    `full`: a cell listed so many steps that it may have left this one out. `left_out`: starts that
    were noted before have no line, so the tasks may run.
    """

    since: float
    until: float
    tasks: int
    full: bool
    left_out: bool


class _State(NamedTuple):
    """What a cell listed of a step from one summary to the next."""

    since: float
    until: float
    tasks: int
    reasons: dict[str, int]


@dataclass(slots=True)
class _Run:
    number: int
    worker: str
    cell: str
    at: float


@dataclass(slots=True)
class _Task:
    run: _Run | None = None
    gap: Gap | None = None
    over: bool = False
    numbers: set[int] = field(default_factory=set)


def get_step(task: str) -> StepKey:
    """Return the job and the step of a task's id."""
    job, _, step, _ = task.split(".")
    return job, int(step)


def find_lasting_steps(events: Iterable[Event]) -> set[StepKey]:
    """Return the steps that a line shows to be lasting."""
    found: set[StepKey] = set()
    for event in events:
        match event["name"]:
            case "CELL_STATE":
                found.update((row[0], row[1]) for row in event.get("lasting_waits", ()))
            case "JOB_NOT_MOVED":
                found.add((event["job"], event["step"]))
            case "RUN_VANISHED" if event.get("lasting"):
                found.add(get_step(event["task"]))
            case "RUN_RELIEVED" if event.get("why") == "departing":
                found.add(get_step(event["task"]))
            case "RUN_PLACED" if "gap_ms" in event:
                found.add(get_step(event["task"]))
    return found


class GapFinder:
    """Follows the runs of lasting tasks through the events of all entries, in order of time."""

    def __init__(self, steps: set[StepKey]) -> None:
        self.gaps: list[Gap] = []
        # Second starts of tasks of which no line tells when the first run was over.
        self.unknown_ends = 0
        self._steps = steps
        self._tasks: defaultdict[str, _Task] = defaultdict(_Task)
        self._by_job: defaultdict[str, set[str]] = defaultdict(set)
        self._on_worker: defaultdict[str, set[str]] = defaultdict(set)
        self._stored: set[str] = set()
        self._silent_since: dict[str, float] = {}
        self._taken_at: dict[str, float] = {}
        # Since when a worker holds up tasks of a step, and when that was last listed.
        self._held: dict[tuple[str, int, str], tuple[float, float]] = {}

    def follow(self, events: Iterable[Event]) -> list[Gap]:
        """Return the gaps in order of their begin."""
        last_at = 0.0
        for event in events:
            last_at = float(event["t"])
            self._apply(event, last_at)
        for name, task in self._tasks.items():
            if task.run is not None and not task.over:
                self._end_if_lost(name, task, last_at)
        self.gaps.sort(key=lambda gap: gap.since)
        return self.gaps

    def _apply(self, event: Event, at: float) -> None:
        match event["name"]:
            case "RUN_PLACED" | "RUN_REFUSED" | "RUN_ENDED" | "RUN_VANISHED":
                self._apply_run(event, at)
            case "JOB_STORED":
                self._stored.add(event["job"])
            case name if name in JOB_ENDS:
                self._close_job(event, at)
            case "WORKER_SILENT":
                self._silent_since.setdefault(event["worker"], at)
            case "WORKER_LAPSED" | "WORKER_GONE":
                why = str(event["name"]).partition("_")[2].lower()
                self._end_runs_on(event["worker"], at, f"{why} on {event['worker']}")
            case "CELL_PROVEN":
                for worker in event.get("names", ()):
                    self._end_runs_on(worker, at, f"lapsed on {worker}")
            case "CELL_TAKEN":
                self._taken_at[event["cell"]] = at
            case "CELL_STATE":
                for job, step, worker, _ in event.get("held_by", ()):
                    since, _ = self._held.get((job, step, worker), (at, at))
                    self._held[job, step, worker] = since, at

    def _apply_run(self, event: Event, at: float) -> None:
        name, worker = event["task"], event["worker"]
        if event["name"] in ("RUN_PLACED", "RUN_ENDED"):
            self._silent_since.pop(worker, None)
        if get_step(name) not in self._steps:
            return
        self._by_job[name.partition(".")[0]].add(name)
        task, number = self._tasks[name], int(event["run"])
        if event["name"] == "RUN_PLACED":
            self._place(name, task, event, at)
        elif event["name"] == "RUN_REFUSED" or event.get("why") == "unsent" or event.get("unsure"):
            self._undo_start(name, task, number)
        else:
            self._end(name, task, event, at)
        task.numbers.add(number)

    def _place(self, name: str, task: _Task, event: Event, at: float) -> None:
        gap_ms, cell = event.get("gap_ms"), event.get("cell", "")
        if task.run is not None and gap_ms is None:
            if not self._end_if_lost(name, task, at):
                self.unknown_ends += 1
        elif task.gap is None and gap_ms is not None:
            since = at - gap_ms / 1000
            self._open(name, task, Gap(name, since, since, "end not in the logs"))
        elif task.gap is None and not task.numbers and self._is_first(name):
            since = at - event["waited_ms"] / 1000
            self._open(name, task, Gap(name, since, since, "never ran"))
        if task.gap is not None:
            task.gap.until, task.gap.next = at, f"placed in {cell}"
        task.run, task.gap = _Run(int(event["run"]), event["worker"], cell, at), None
        self._on_worker[event["worker"]].add(name)

    def _is_first(self, name: str) -> bool:
        """Return whether a task without earlier lines has waited since its job came."""
        job, step = get_step(name)
        return job in self._stored and step == 0

    def _open(self, name: str, task: _Task, gap: Gap) -> None:
        if task.run is not None:
            self._on_worker[task.run.worker].discard(name)
        task.run, task.gap = None, gap
        self.gaps.append(gap)

    def _undo_start(self, name: str, task: _Task, number: int) -> None:
        """Go on with the gap before a start that is not known to have had an effect."""
        if task.run is None or task.run.number != number:
            return
        self._on_worker[task.run.worker].discard(name)
        last = next((gap for gap in reversed(self.gaps) if gap.task == name), None)
        if last is not None and last.until == task.run.at:
            last.until, last.next, task.gap = None, "", last
        task.run = None

    def _end(self, name: str, task: _Task, event: Event, at: float) -> None:
        number, worker = int(event["run"]), event["worker"]
        is_current = task.run is not None and task.run.number == number
        # Two holders may log one end; a run of before the logs has no start in them.
        if task.over or (not is_current and (number in task.numbers or task.run is not None)):
            return
        if event.get("how") == "done":
            task.run, task.over = None, True
            return
        if task.gap is not None:
            task.gap.until, task.gap.next = at, "at the latest: a start is not in the logs"
        since = at
        if event["name"] == "RUN_VANISHED":
            since = self._silent_since.get(worker, at)
            if task.run is not None:
                since = max(since, task.run.at)
        why = str(event.get("how") or event.get("why"))
        self._open(name, task, Gap(name, since, at, f"{why} on {worker}"))

    def _end_runs_on(self, worker: str, at: float, why: str) -> None:
        since = self._silent_since.get(worker, at)
        for name in list(self._on_worker[worker]):
            task = self._tasks[name]
            if task.run is not None and not task.over and task.run.at <= since:
                self._open(name, task, Gap(name, since, at, why))

    def _end_if_lost(self, name: str, task: _Task, at: float) -> bool:
        """End a run of which no holder logged the end, if its worker is known to be lost."""
        run = task.run
        assert run is not None
        silent = self._silent_since.get(run.worker)
        held_since, held_at = self._held.get((*get_step(name), run.worker), (0.0, 0.0))
        if silent is None and (held_since < run.at or at - held_at > STATE_AGE_S):
            return False
        since = max(run.at, held_since if silent is None else silent)
        noted_at = max(since, self._taken_at.get(run.cell, since))
        self._open(name, task, Gap(name, since, noted_at, f"lost on {run.worker}"))
        return True

    def _close_job(self, event: Event, at: float) -> None:
        job = event.get("job") or str(event["task"]).partition(".")[0]
        for name in self._by_job[job]:
            task = self._tasks[name]
            if task.gap is not None and not task.over:
                task.gap.until, task.gap.next = at, "its job ended"
            task.over, task.gap = True, None


class CellLists:
    """What the cells listed of waiting lasting steps, summary by summary."""

    def __init__(self, events: list[Event]) -> None:
        self._states: defaultdict[StepKey, list[_State]] = defaultdict(list)
        self._summaries: defaultdict[str, list[Event]] = defaultdict(list)
        # When it was logged that lines of starts were left out.
        self._left_out_at: list[float] = []
        own_limit = False
        for event in events:
            if event["name"] == "CELL_STATE":
                self._summaries[event["cell"]].append(event)
            own_limit = own_limit or (event["name"] == "RUN_PLACED" and "gap_ms" in event)
        # Lines of lasting tasks have had their own limit since they have `gap_ms`.
        name = "RUN_PLACED lasting" if own_limit else "RUN_PLACED"
        for event in events:
            if event["name"] == "LEFT_OUT" and name in event["counts"]:
                self._left_out_at.append(float(event["t"]))
        for summaries in self._summaries.values():
            self._add_cell(summaries)

    def _add_cell(self, summaries: list[Event]) -> None:
        listed = [_list_steps(event) for event in summaries]
        for index, event in enumerate(summaries):
            since = float(event["t"])
            until, next_rows = since + STATE_AGE_S, {}
            if index + 1 < len(summaries) and float(summaries[index + 1]["t"]) <= until:
                until, next_rows = float(summaries[index + 1]["t"]), listed[index + 1]
            # A task that the next summary lists began to wait some time before it.
            for key in listed[index].keys() | next_rows.keys():
                rows = max(listed[index].get(key, {}), next_rows.get(key, {}), key=_count)
                self._states[key].append(_State(since, until, _count(rows), rows))

    def cut(self, gap: Gap, end: float) -> None:
        """End a gap where its step was listed no more while lines of starts were left out."""
        until, covered = end if gap.until is None else gap.until, gap.noted_at
        spans = sorted((state.since, state.until) for state in self._states[get_step(gap.task)])
        for since, to in [*spans, (until, until)]:
            if min(since, until) - covered > STATE_AGE_S and self._are_starts_left_out(covered):
                gap.until, gap.doubtful = covered, True
                gap.next = "listed no more, its start may be left out"
                return
            covered = max(covered, to)

    def _are_starts_left_out(self, at: float) -> bool:
        """Return whether lines of starts up to a time, since the summary before, are left out."""
        return any(at - STATE_AGE_S < each <= at + LEFT_OUT_S for each in self._left_out_at)

    def _is_full(self, since: float, until: float) -> bool:
        """Return whether a cell listed so many steps that it may have left out others."""
        return any(
            len(event.get("lasting_waits", ())) >= FULL_LIST_ROWS
            for summaries in self._summaries.values()
            for event in summaries
            if since - STATE_AGE_S < float(event["t"]) < until
        )

    def count_last(self, end: float) -> Counter[StepKey]:
        """Count the waiting tasks by step that the last summaries before the end list."""
        found: Counter[StepKey] = Counter()
        for summaries in self._summaries.values():
            if end - float(summaries[-1]["t"]) < STATE_AGE_S:
                for key, rows in _list_steps(summaries[-1]).items():
                    found[key] += _count(rows)
        return found

    def explain(self, gap: Gap, end: float) -> None:
        """Sum up what a task waited for: the shares of the reasons listed for its step."""
        until = end if gap.until is None else gap.until
        noted_at = min(gap.noted_at, until)
        if noted_at > gap.since:
            gap.add(LEASE, noted_at - gap.since)
        states = self._states[get_step(gap.task)]
        for since, to in _split(states, noted_at, until):
            reasons: Counter[str] = Counter()
            for state in states:
                if state.since <= since and to <= state.until:
                    reasons.update(state.reasons)
            for why, tasks in reasons.items():
                gap.add(why, (to - since) * tasks / reasons.total())
            if not reasons:
                gap.add(UNLISTED, to - since)

    def find_unlisted(self, key: StepKey, gaps: list[Gap], end: float) -> Iterator[Unlisted]:
        """Yield the times in which the cells listed too few tasks of a step for long."""
        states = self._states[key]
        spans = [(gap.noted_at, end if gap.until is None else gap.until) for gap in gaps]
        marks = {mark for span in spans for mark in span}
        marks.update(mark for state in states for mark in (state.since, state.until))
        since, missing = None, 0
        for mark, to in zip(ordered := sorted(marks), [*ordered[1:], end], strict=True):
            without_run = sum(begin <= mark and to <= until for begin, until in spans)
            listed = sum(s.tasks for s in states if s.since <= mark and to <= s.until)
            if without_run > listed and to > mark:
                since = mark if since is None else since
                missing = max(missing, without_run - listed)
                if to < end:
                    continue
                mark = to
            if since is not None and mark - since > STATE_AGE_S:
                yield Unlisted(
                    since,
                    mark,
                    missing,
                    self._is_full(since, mark),
                    self._are_starts_left_out(since),
                )
            since, missing = None, 0


def _list_steps(event: Event) -> dict[StepKey, dict[str, int]]:
    """Return the waiting tasks of a cell's summary by step and reason."""
    access = {(row[0], row[1]): row[2] for row in event.get("kept_room_access", ())}
    found: defaultdict[StepKey, dict[str, int]] = defaultdict(dict)
    for job, step, tasks, _, _, why in event.get("lasting_waits", ()):
        if why == "kept":
            why = f"kept({access.get((job, step), '')})"
        found[job, step][why] = found[job, step].get(why, 0) + tasks
    return found


def _count(rows: dict[str, int]) -> int:
    return sum(rows.values())


def _split(states: list[_State], since: float, until: float) -> Iterator[tuple[float, float]]:
    """Yield the parts of a time in which the same states count."""
    marks = {mark for state in states for mark in (state.since, state.until)}
    ordered = [since, *sorted(mark for mark in marks if since < mark < until), until]
    yield from zip(ordered, ordered[1:], strict=False)


def find_moves(events: Iterable[Event], steps: set[StepKey]) -> dict[StepKey, list[Move]]:
    """Return the moves of lasting steps; a start counts as one move's arrival."""
    placed: defaultdict[tuple[StepKey, str], list[float]] = defaultdict(list)
    lines: list[Event] = []
    for event in events:
        if event["name"] == "RUN_PLACED" and get_step(event["task"]) in steps:
            placed[get_step(event["task"]), event.get("cell", "")].append(float(event["t"]))
        elif event["name"] == "JOB_MOVED" and (event["job"], event["step"]) in steps:
            lines.append(event)
    moves: defaultdict[StepKey, list[Move]] = defaultdict(list)
    for line in lines:
        key, at = (line["job"], line["step"]), float(line["t"])
        starts = placed[key, line["to"]]
        arrived = [start for start in starts if at < start <= at + ARRIVAL_S][: line["tasks"]]
        for start in arrived:
            starts.remove(start)
        moves[key].append(Move(at, line["cell"], line["to"], line["tasks"], len(arrived), line))
    return moves


def count_straight_back(moves: list[Move]) -> int:
    """Count the moves that undo the move of the same step before."""
    return sum(
        first.cell == second.to and first.to == second.cell
        for first, second in zip(moves, moves[1:], strict=False)
    )


def format_move(move: Move, zero: float) -> str:
    """Return time, cells, tasks, those that started on arrival, and what the holder saw."""
    seen = [f"{key} {move.line[key]}" for key in ("why", "slots", "left") if key in move.line]
    if move.line.get("row_age_ms") is not None:
        seen.append(f"row {move.line['row_age_ms'] / 1000:.1f} s")
    text = ", ".join([f"{move.started} of {move.tasks} started", *seen])
    return f"{move.at - zero:.1f} {_short(move.cell)}>{_short(move.to)} ({text})"


def _short(cell: str) -> str:
    return cell.rpartition("-")[2]


def format_reasons(gaps: Iterable[Gap]) -> str:
    """Return the seconds of gaps by reason, the largest first."""
    total: defaultdict[str, float] = defaultdict(float)
    for gap in gaps:
        for why, seconds in gap.reasons.items():
            total[why] += seconds
    ordered = sorted(total.items(), key=lambda item: -item[1])
    return " ".join(f"{why}:{seconds:.1f}" for why, seconds in ordered if seconds >= 0.05)


class Report:
    """What the logs show of lasting tasks without a run."""

    def __init__(self, events: list[Event], zero: float) -> None:
        self._events = sorted(events, key=lambda event: float(event["t"]))
        self._zero = zero
        self._end = float(self._events[-1]["t"]) if events else zero
        self._steps = find_lasting_steps(self._events)
        finder = GapFinder(self._steps)
        self._all_gaps = finder.follow(self._events)
        self._unknown_ends = finder.unknown_ends
        self._lists = CellLists(self._events)
        self._moves = find_moves(self._events, self._steps)
        for gap in self._all_gaps:
            self._lists.cut(gap, self._end)

    def lines(self) -> Iterator[str]:
        """Yield the gaps by step, the longest first, and the sums."""
        gaps = [gap for gap in self._all_gaps if self._length(gap) > MIN_GAP_S]
        by_step: defaultdict[StepKey, list[Gap]] = defaultdict(list)
        for gap in gaps:
            self._lists.explain(gap, self._end)
            by_step[get_step(gap.task)].append(gap)
        yield f"times in seconds from {self._zero:.3f}; the logs end at {self._at(self._end)}"
        for key, rows in sorted(by_step.items(), key=lambda each: -max(map(self._length, each[1]))):
            yield from self._format_step(key, rows)
        yield from self._format_sums(gaps)

    def _length(self, gap: Gap) -> float:
        return (self._end if gap.until is None else gap.until) - gap.since

    def _at(self, at: float) -> str:
        return f"{at - self._zero:.1f}"

    def _format_step(self, key: StepKey, gaps: list[Gap]) -> Iterator[str]:
        yield f"{key[0]} step {key[1]}: {len({gap.task for gap in gaps})} tasks"
        ordered = sorted(gaps, key=self._length, reverse=True)
        for gap in ordered[:MAX_LISTED_TASKS]:
            until = "end" if gap.until is None else self._at(gap.until)
            yield (
                f"  {gap.task}: {self._length(gap):.1f} s, {self._at(gap.since)} ({gap.why}) to "
                f"{until} ({gap.next or 'no run'}): {format_reasons([gap])}"
            )
        if len(ordered) > MAX_LISTED_TASKS:
            yield f"  and {len(ordered) - MAX_LISTED_TASKS} shorter times"
        begin = min(gap.since for gap in gaps)
        end = max(gap.since + self._length(gap) for gap in gaps)
        yield from self._format_context(key, begin, end)

    def _format_context(self, key: StepKey, since: float, until: float) -> Iterator[str]:
        """Yield what happened to a step in the time of its gaps."""
        all_gaps = [gap for gap in self._all_gaps if get_step(gap.task) == key]
        for each in self._lists.find_unlisted(key, all_gaps, self._end):
            note = " (lists full)" if each.full else ""
            note += " (starts left out before: they may run)" if each.left_out else ""
            span = f"{self._at(each.since)} to {self._at(each.until)}"
            yield f"  in no cell's list: {each.tasks} tasks, {span}{note}"
        moves = [move for move in self._moves.get(key, []) if since <= move.at <= until]
        if moves:
            yield f"  moves, {count_straight_back(moves)} straight back:"
            yield from (f"    {format_move(move, self._zero)}" for move in moves)
        held, refusals = Counter[str](), []
        for event in self._events:
            if not since <= float(event["t"]) <= until:
                continue
            if event["name"] == "CELL_STATE":
                rows = event.get("held_by", ())
                held.update(row[2] or "no worker named" for row in rows if (row[0], row[1]) == key)
            elif event["name"] == "JOB_NOT_MOVED" and (event["job"], event["step"]) == key:
                refusals.append(event)
        if held:
            yield "  held by (summaries): " + " ".join(f"{k}:{n}" for k, n in held.items())
        if refusals:
            yield f"  not moved: {_format_refusals(refusals)}"

    def _format_sums(self, gaps: list[Gap]) -> Iterator[str]:
        to_end = sum(gap.until is None for gap in gaps)
        doubtful = sum(gap.doubtful for gap in gaps)
        yield (
            f"{len(gaps)} times without a run over {MIN_GAP_S:.0f} s, of "
            f"{len({gap.task for gap in gaps})} lasting tasks; {to_end} to the end, "
            f"{doubtful} whose next start may be left out"
        )
        yield f"task seconds by reason: {format_reasons(gaps)}"
        moves = [move for rows in self._moves.values() for move in rows]
        back = sum(map(count_straight_back, self._moves.values()))
        started, tasks = sum(m.started for m in moves), sum(m.tasks for m in moves)
        yield (
            f"{len(moves)} moves of {len(self._moves)} lasting steps, {back} straight back; "
            f"{started} of {tasks} moved tasks have the line of a start there within {ARRIVAL_S} s"
        )
        refusals = [event for event in self._events if event["name"] == "JOB_NOT_MOVED"]
        if refusals:
            yield f"not moved: {_format_refusals(refusals)}"
        waiting = self._lists.count_last(self._end)
        for gap in self._all_gaps:
            if gap.until is None or (gap.doubtful and gap.until > self._end - STATE_AGE_S):
                waiting[get_step(gap.task)] -= 1
        never = {key: tasks for key, tasks in waiting.items() if tasks > 0}
        if never:
            listed = " ".join(f"{job}.{step}:{tasks}" for (job, step), tasks in never.items())
            yield f"wait at the end, without a line of a run: {listed}"
        if self._unknown_ends:
            yield f"{self._unknown_ends} starts after a run of which no line tells the end"


def _format_refusals(refusals: list[Event]) -> str:
    """Sum up lines of tasks that no cell had room for."""
    must_start = sum(bool(event["must_start"]) for event in refusals)
    hidden = sum(
        any(n > event["left"].get(cell, 0) for cell, n in event["slots"].items())
        for event in refusals
    )
    no_room = sum(not any(event["slots"].values()) for event in refusals)
    return (
        f"{len(refusals)} lines, {must_start} must_start, {no_room} without a slot in any cell, "
        f"{hidden} with slots that recent moves hide"
    )


def report(events: list[Event], zero: float) -> Iterator[str]:
    """Yield the report with times that count from `zero`, in seconds since the Unix epoch."""
    yield from Report(events, zero).lines()
