"""Copies of slow runs: which runs get one and where, and which copy is stopped.

Made for loads in which 3 % of the tasks take 7 times as long and some workers are slow although
they answer. A copy helps where the worker or the single run is slow, not where the task itself has
more work; which of them applies is learned by kind of run from the copies made.
"""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from curranthall.cells.fleet import LATE_CALL_S, STALE_ANSWER_S, Member, Run, RunState
from curranthall.cells.interference import Interference
from curranthall.cells.placement import PlacementRequest, choose_worker, possible
from curranthall.cells.poison import count_suspicions
from curranthall.cells.ports import EndKind
from curranthall.cells.run_times import (
    MAX_KINDS,
    RunKind,
    RunTimes,
    WorkerSpeeds,
    kind_of,
    median,
    quantile,
)
from curranthall.cells.tracking import Batch, TrackedJob
from curranthall.dag import Step, TaskId
from curranthall.events import Event, log
from curranthall.model import Size
from curranthall.telemetry import copied_core_seconds, copies_total

# Interval of the checks for slow runs.
CHECK_INTERVAL_S = 0.2
# A worker refuses the start of a copy that it processes later than this, by its own clock: once its
# task is recorded as done, no run of it may start more than 1 s later.
COPY_START_WINDOW_S = 0.8
# A run gets a copy only if its worker's last answer, which listed it, is at most this old. A worker
# answers at once when a run ends, and otherwise within the 1 s that a call waits for that.
FRESH_S = 1.2
# A run is slow once it lasts longer than this share of comparable runs did, and than this multiple
# of their median. With a multiple of 1.5 fewer jobs were in time (docs/design/stragglers.md).
SLOW_SHARE = 0.9
SLOW_FACTOR = 1.25
# With this many ended runs of the same step they are the comparable ones: they share the error of
# the step's estimate. With fewer, all runs of the kind are.
MIN_SIBLINGS = 3
MAX_SIBLINGS = 32
# Shorter run times count as this much where others are divided by them.
MIN_USUAL_S = 0.01
# Time from the decision to a copy's start, and from a job's last end until callers see it.
START_S = 0.2
SHOW_S = 0.5
# A copy is made only if it is predicted to end within this share of the run's remaining time.
MAX_REMAINING_SHARE = 0.8
# Share of the cores of a service's usable workers that copies may take at a time.
MAX_COPY_SHARE = 0.08
# Copies started for one run: a second one if the first was refused or lost.
MAX_COPIES = 2
# A worker with this many slow runs at a time gets no copy.
MAX_SLOW_RUNS = 1
# The level of a kind of run says how far its copies failed to help: one that did not help raises it
# by one, one that did lowers it by HELP_LEVELS. At level 0 MAX_OPEN copies of the kind may be
# without an outcome, at a higher level fewer, at a lower one more. From PAUSE_LEVEL on none starts
# for a pause that doubles with each level. The cell as a whole has a level, too; kinds that copies
# have not helped so far also keep its pauses.
MAX_OPEN = 2
HELP_LEVELS = 2
PAUSE_LEVEL = 2
PAUSE_S = 2.0
MIN_LEVEL = -6
MAX_LEVEL = 8


class CopyContext(NamedTuple):
    """The cell as of a planning pass, after its waiting tasks were placed."""

    tracked: Mapping[str, TrackedJob]
    members: Mapping[str, Member]
    usable: list[Member]
    # The steps with tasks that wait, held or not.
    waiting: list[Batch]
    # Returns the batch of a run whose task this holder may start again, else None.
    get_restartable: Callable[[Run], Batch | None]
    interference: Interference
    now: float


class OpenCopy(NamedTuple):
    """A copy without an outcome, and the number of the run that it duplicates."""

    kind: RunKind
    of: int
    started_at: float


class SlowRun(NamedTuple):
    """A run that lasts longer than comparable ones, with the local time its job has to end by."""

    batch: Batch
    run: Run
    priority: int
    deadline: float


@dataclass(slots=True)
class _Record:
    """How far copies of a kind have failed to help."""

    level: int = 0
    paused_until: float = 0.0

    def note(self, helped: bool, now: float) -> None:
        if helped:
            self.level, self.paused_until = max(MIN_LEVEL, self.level - HELP_LEVELS), 0.0
            return
        self.level = min(MAX_LEVEL, self.level + 1)
        if self.level >= PAUSE_LEVEL:
            self.paused_until = now + PAUSE_S * 2 ** (self.level - PAUSE_LEVEL)


@dataclass(slots=True)
class _Survey:
    """What one check found: slow runs, and how many there are on each worker."""

    slow: list[SlowRun] = field(default_factory=list)
    slow_on: Counter[str] = field(default_factory=Counter)
    # By service.
    copied_cores: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))


class Copies:
    """Learned run times and the copies of one cell."""

    def __init__(self) -> None:
        self.times = RunTimes()
        self.speeds = WorkerSpeeds()
        # By task and number of the copy's run.
        self.open: dict[tuple[TaskId, int], OpenCopy] = {}
        self._records: OrderedDict[RunKind, _Record] = OrderedDict()
        self._overall = _Record()
        self._checked_at = -CHECK_INTERVAL_S

    # Learning

    def note_end(self, batch: Batch, run: Run, kind: EndKind, was_done: bool, now: float) -> None:
        """Learn from the end of a run that a worker has listed, before it is removed."""
        if kind is not EndKind.DONE or run.step.lasting:
            return
        # A run that a former holder started began at an unknown time, and the end of one that was
        # not heard of for long was some time ago.
        is_timed = run.token > 0 and now - run.idle_as_of <= STALE_ANSWER_S
        if is_timed and not run.is_atypical:
            self._observe(batch, run, now - run.sent_at)
        if not was_done:
            self._settle_pair(batch, run, now)

    def _observe(self, batch: Batch, run: Run, took_s: float) -> None:
        """Learn a run time; that on a slow worker only tells of the worker."""
        self.speeds.observe(run.worker, took_s / max(self.usual_s(batch), MIN_USUAL_S))
        if self.speeds.is_slow(run.worker):
            return
        self.times.observe(batch.tracked.queue.name, batch.number, run.step, took_s)
        if run.step.copies and len(batch.ended_s) < MAX_SIBLINGS:
            batch.ended_s.append(took_s)

    def _settle_pair(self, batch: Batch, done: Run, now: float) -> None:
        """Note which of a task's runs ended as done first."""
        for run in batch.active.get(done.task.number, ()):
            copy = self.open.pop((run.task, run.number), None)
            if copy is not None:
                helped = run is done
                self._note_outcome(copy.kind, helped, now)
                self._report(run, copy, "won" if helped else "lost", now)

    def note_removed(self, run: Run, now: float) -> None:
        """Note that a run is over; a copy without an outcome tells nothing of its kind."""
        copy = self.open.pop((run.task, run.number), None)
        if copy is not None:
            self._report(run, copy, "dropped", now)

    def _note_outcome(self, kind: RunKind, helped: bool, now: float) -> None:
        for record in (self._record(kind), self._overall):
            record.note(helped, now)

    def _record(self, kind: RunKind) -> _Record:
        record = self._records.setdefault(kind, _Record())
        self._records.move_to_end(kind)
        if len(self._records) > MAX_KINDS:
            self._records.popitem(last=False)
        return record

    def _report(self, run: Run, copy: OpenCopy, outcome: str, now: float) -> None:
        """Log and count the outcome of a copy and the work that it took."""
        took_s = now - copy.started_at
        copies_total.count(outcome=outcome)
        copied_core_seconds.add(took_s * run.step.size.cores, outcome=outcome)
        record = self._record(copy.kind)
        log(
            Event.COPY_SETTLED,
            task=run.task,
            run=copy.of,
            copy=run.number,
            worker=run.worker,
            outcome=outcome,
            copy_ms=int(took_s * 1000),
            image=run.step.image,
            level=record.level,
            paused_ms=int(max(0.0, record.paused_until - now) * 1000),
        )

    # Prediction

    def usual_s(self, batch: Batch) -> float:
        """Return the usual run time of a step's tasks in seconds."""
        if len(batch.ended_s) >= MIN_SIBLINGS:
            return median(sorted(batch.ended_s))
        return self.times.expected_s(batch.tracked.queue.name, batch.number, batch.step)

    def slow_after_s(self, batch: Batch, worker: str) -> float:
        """Return after how many seconds a run of a step on a worker is slow."""
        least_s = SLOW_FACTOR * self.usual_s(batch)
        if self.speeds.is_slow(worker):
            return least_s
        if len(batch.ended_s) >= MIN_SIBLINGS:
            high_s = quantile(sorted(batch.ended_s), SLOW_SHARE)
        else:
            queue, number = batch.tracked.queue.name, batch.number
            high_s = self.times.quantile_s(queue, number, batch.step, SLOW_SHARE)
        return max(high_s, least_s)

    @staticmethod
    def remaining_s(run: Run, now: float) -> float:
        """Predict the seconds until a run ends; one without progress lasts as long again."""
        elapsed_s = now - run.sent_at
        if run.percent <= 0:
            return elapsed_s
        # The progress is as of the last answer.
        listed_s = max(run.idle_as_of - run.sent_at, 0.0)
        total_s = listed_s * 100 / run.percent
        return max(0.0, total_s - elapsed_s)

    def find_deadline(self, batch: Batch, run: Run, now: float) -> float | None:
        """Return the deadline that a job misses with a slow run and can meet with a copy, if any.

        That is its objective, or the time after which it is worth nothing.
        """
        tracked = batch.tracked
        remaining_s, copy_s = self.remaining_s(run, now), START_S + self.usual_s(batch)
        if copy_s > MAX_REMAINING_SHARE * remaining_s:
            return None
        after_s = tracked.critical_paths_s[batch.number] - batch.step.estimate_ms / 1000
        shown_at = now + after_s + SHOW_S
        for deadline in (tracked.objective_at(), tracked.expires_at()):
            if shown_at + copy_s <= deadline < shown_at + remaining_s:
                return deadline
        return None

    # Decisions

    def is_due(self, now: float) -> bool:
        """Return whether the interval since the last check is over; begin a new one if so."""
        if now - self._checked_at < CHECK_INTERVAL_S:
            return False
        self._checked_at = now
        return True

    def find_hopeless(self, ctx: CopyContext) -> list[Run]:
        """Return the copies to stop: as slow as the runs that they duplicate, and behind them."""
        found = []
        for task, number in list(self.open):
            pair = self._find_pair(ctx, task, number)
            if pair is None:
                continue
            batch, copy, original = pair
            is_slow = ctx.now - copy.sent_at > self.slow_after_s(batch, copy.worker)
            member = ctx.members.get(original.worker)
            if not is_slow or copy.is_atypical or member is None or member.silent_since is not None:
                continue
            if original.percent <= 0 or copy.percent <= 0:
                continue
            if self.remaining_s(copy, ctx.now) >= self.remaining_s(original, ctx.now):
                opened = self.open.pop((task, number))
                self._note_outcome(opened.kind, False, ctx.now)
                self._report(copy, opened, "hopeless", ctx.now)
                found.append(copy)
        return found

    def _find_pair(
        self, ctx: CopyContext, task: TaskId, number: int
    ) -> tuple[Batch, Run, Run] | None:
        """Return a copy that runs beside the run that it duplicates."""
        tracked = ctx.tracked.get(task.job)
        batch = tracked.batches.get((task.occurrence, task.step)) if tracked is not None else None
        if batch is None:
            return None
        running = {
            run.number: run
            for run in batch.active.get(task.number, ())
            if run.state is RunState.RUNNING
        }
        copy, original = running.get(number), running.get(self.open[task, number].of)
        return (batch, copy, original) if copy is not None and original is not None else None

    def choose(self, ctx: CopyContext) -> Iterator[tuple[Batch, Run, Member]]:
        """Yield the runs that get a copy, the most urgent first, each with the copy's worker.

        The caller starts each copy before it asks for the next one.
        """
        survey = self._survey(ctx)
        if not survey.slow:
            return
        free = self._find_free(ctx, survey)
        left = self._measure_budget(ctx, survey)
        for batch, run, _, _ in sorted(survey.slow, key=lambda each: each[2:]):
            service, cores = batch.tracked.queue.service, run.step.size.cores
            if cores > left[service] or not self._helps(batch, ctx.now):
                continue
            if ctx.get_restartable(run) is not batch:
                continue
            member = self._find_worker(batch, run, free, ctx)
            if member is not None:
                left[service] -= cores
                yield batch, run, member

    def note_start(self, batch: Batch, run: Run, number: int, worker: str, now: float) -> None:
        """Note that a copy with a number is about to start on a worker."""
        kind = kind_of(batch.tracked.queue.name, batch.number, batch.step)
        self.open[run.task, number] = OpenCopy(kind, run.number, now)
        run.copies += 1
        log(
            Event.RUN_COPIED,
            task=run.task,
            run=run.number,
            on=run.worker,
            copy=number,
            worker=worker,
            ran_ms=int((now - run.sent_at) * 1000),
            slow_after_ms=int(self.slow_after_s(batch, run.worker) * 1000),
            usual_ms=int(self.usual_s(batch) * 1000),
            percent=round(run.percent, 1),
        )

    def _survey(self, ctx: CopyContext) -> _Survey:
        """Look at all finite runs whose steps allow copies."""
        survey, slow_after = _Survey(), dict[tuple[Batch, str], float]()
        for member in ctx.members.values():
            for run in member.runs.values():
                if not may_have_copies(run.step):
                    continue
                tracked = ctx.tracked.get(run.task.job)
                if tracked is None or tracked.progress.phase.is_final:
                    continue
                batch = tracked.batches[run.task.occurrence, run.task.step]
                runs = batch.active.get(run.task.number, [])
                if len(runs) > 1 and run is not runs[0]:
                    survey.copied_cores[tracked.queue.service] += run.step.size.cores
                key = batch, member.name
                if key not in slow_after:
                    slow_after[key] = self.slow_after_s(*key)
                if ctx.now - run.sent_at <= slow_after[key]:
                    continue
                survey.slow_on[member.name] += 1
                if len(runs) == 1 and self._may_copy(batch, run, member, ctx.now):
                    deadline = self.find_deadline(batch, run, ctx.now)
                    if deadline is not None:
                        priority = tracked.queue.priority
                        survey.slow.append(SlowRun(batch, run, priority, deadline))
        return survey

    def _may_copy(self, batch: Batch, run: Run, member: Member, now: float) -> bool:
        """Return whether a second run of a task is allowed and certainly harmless."""
        tracked, key = batch.tracked, run.task[1:]
        start = tracked.open_starts.get(key)
        failed = len(tracked.progress.failures.get(key, ()))
        return (
            run.state is RunState.RUNNING
            and run.copies < MAX_COPIES
            and not tracked.job.is_timed
            and not tracked.progress.is_done(*key)
            and member.silent_since is None
            and now - member.answered_at <= FRESH_S
            # It has outlasted its start, and no worker crashed with the task.
            and not run.probation_until
            and not count_suspicions(batch, run.task.number)
            and (start is None or now >= start.sent_at + LATE_CALL_S)
            # If both fail, that is no more failed runs than the queue allows.
            and failed + 2 <= tracked.queue.max_attempts
        )

    def _helps(self, batch: Batch, now: float) -> bool:
        """Return whether copies of this kind helped often enough for one more at a time."""
        kind = kind_of(batch.tracked.queue.name, batch.number, batch.step)
        record = self._records.get(kind, _Record())
        running = sum(copy.kind == kind for copy in self.open.values())
        if record.level >= 0 and now < self._overall.paused_until:
            return False
        return now >= record.paused_until and running < max(1, MAX_OPEN - record.level)

    def _find_free(self, ctx: CopyContext, survey: _Survey) -> list[Member]:
        """Return the workers that are not slow, and on which no waiting task could run.

        Filling tasks that still wait after a planning pass do not wait for the cores that it left
        idle, so they keep no copy from these.
        """
        waiting: dict[tuple[str, str, Size], Step] = {}
        for batch in ctx.waiting:
            if batch.count_waiting() and not batch.step.filling:
                step = batch.step
                waiting[batch.tracked.queue.service, step.requires, step.size] = step
        wanted = [(service, step) for (service, _, _), step in waiting.items()]
        return [
            member
            for member in ctx.usable
            if survey.slow_on[member.name] <= MAX_SLOW_RUNS
            and not self.speeds.is_slow(member.name)
            and not any(_could_run(service, step, member) for service, step in wanted)
        ]

    @staticmethod
    def _measure_budget(ctx: CopyContext, survey: _Survey) -> defaultdict[str, float]:
        """Return the cores that further copies may take, by service."""
        left: defaultdict[str, float] = defaultdict(float)
        for member in ctx.usable:
            left[member.host.service] += MAX_COPY_SHARE * member.host.size.cores
        for service, cores in survey.copied_cores.items():
            left[service] -= cores
        return left

    @staticmethod
    def _find_worker(batch: Batch, run: Run, free: list[Member], ctx: CopyContext) -> Member | None:
        """Return the worker for a copy, or None.

        Filling tasks may use cores that are not reserved; a copy takes only those that are idle.
        """
        tracked, step = batch.tracked, batch.step
        siblings = batch.siblings()
        excluded = tracked.avoided_workers(run.task[1:]) | {run.worker}
        members = [
            member
            for member in free
            if member.name not in excluded and member.idle_cores >= step.size.cores
        ]
        if tracked.queue.advised:
            members = batch.tickets.approved(members, ctx.now)
        racks = frozenset(ctx.members[name].host.rack for name in siblings if name in ctx.members)
        req = PlacementRequest(
            tracked.queue.service,
            step,
            siblings,
            racks=racks if step.same_rack else frozenset(),
            interference=ctx.interference,
            now=ctx.now,
        )
        return choose_worker(req, members)


def may_have_copies(step: Step) -> bool:
    """Return whether runs of a step may get copies here."""
    return step.copies and not (step.lasting or step.gang or step.filling)


def _could_run(service: str, step: Step, member: Member) -> bool:
    host = member.host
    return possible(service, step, [(host.service, host.labels, host.size)])
