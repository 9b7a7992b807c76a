"""The decisions of a cell's holder: which run starts and stops where, and what is recorded.

Nothing here waits or calls: events come in with the local time, orders go out through `orders`.
"""

from collections import deque
from collections.abc import Callable, Iterable

from curranthall.cells.advice import Advice
from curranthall.cells.fleet import (
    QUARANTINE_S,
    UNLISTED,
    FormerRun,
    Member,
    Over,
    Run,
    RunState,
    Unrecorded,
)
from curranthall.cells.interference import Interference, Observation
from curranthall.cells.load import LEAST_CORES, Load, Waiting, measure
from curranthall.cells.pacing import FULL, adjust, pressure
from curranthall.cells.placement import SHORT_SHARE, Refusal, Wish, choose, leaves_short
from curranthall.cells.ports import (
    AskAdvice,
    Ending,
    EndKind,
    ListedRun,
    Order,
    PaceTask,
    Snapshot,
    StartResult,
    StartTask,
    StopTask,
    WorkerOrder,
)
from curranthall.cells.records import has_tasks_in
from curranthall.cells.tracking import LATE_VALUE, Batch, Bounds, Queue, Tracked, classify
from curranthall.cells.waits import Scene, WaitRow, summarize
from curranthall.dag import Job, Phase, Progress, Step, TaskId
from curranthall.events import Event, log
from curranthall.model import Host, Size
from curranthall.telemetry import completion_seconds, jobs_by_size

# A start that is carried out later than this is refused by the worker's clock.
START_WINDOW_S = 1.5
# A stop without an answer is sent again.
STOP_RETRY_S = 0.6
# Run numbers: the epoch in the high digits, a counter in the low ones.
RUNS_PER_EPOCH = 1_000_000
# A worker that refused for want of room is left until its next snapshot, this long at most.
NO_ROOM_PAUSE_S = 0.5
# A job whose start is malformed to the worker is not tried again for a while.
MALFORMED_PAUSE_S = 5.0
# A run slowed below this share, in percent, for this long is worth moving to a free worker.
RELIEF_PACE = 50
RELIEF_AFTER_S = 0.5
# A job of which nothing runs for this long gets one task started whatever the strain, and a
# while later where no core is idle, too: the platform allows 3 s.
STANDSTILL_S = 1.2
FORCE_S = 2.0
# Cores are kept for short tasks while one came within this time.
SHORT_MEMORY_S = 20.0
# A lasting task that waited this long and fits twice takes any room: the platform allows 3 s, of
# which handing it to another cell takes 0.4 s.
LASTING_WAIT_S = 1.5
# A job may stand still while this part of its service is in use: the platform says half. Whether
# it counts what is reserved or what is used is open, so both have to be that much.
BUSY_SHARE = 0.6
# The part of a new job's work that its queue's average takes over, and the least work counted.
USUAL_GAIN = 0.05
LEAST_WORK = 0.1
# A summary of the cell is logged this often.
SUMMARY_S = 2.0
# No share in percent, so that the next one ordered differs.
UNKNOWN_PACE = -1


def _waiting_cores(batches: list[Batch]) -> dict[str, float]:
    """Sum up the cores that waiting tasks ask for, by what keeps them apart in placing."""
    found = {"lasting": 0.0, "filling": 0.0, "plain": 0.0}
    for batch in batches:
        step = batch.step
        kind = "lasting" if step.lasting else "filling" if step.filling else "plain"
        found[kind] += len(batch.waiting) * step.size.cores
    return {kind: round(cores, 1) for kind, cores in found.items()}


def _open_to(step: Step, usable: list[Member], kept: dict[str, Size]) -> list[Member]:
    """Leave out the workers kept for lasting tasks; filling tasks take only memory from those."""
    if not kept:
        return usable
    return [
        member
        for member in usable
        if member.name not in kept
        or (step.filling and step.reserved.plus(kept[member.name]).memory <= member.room.memory)
    ]


class Dispatcher:
    """Decides for one cell under one epoch."""

    def __init__(
        self,
        cell: str,
        epoch: int,
        bounds: Bounds,
        queue_of: Callable[[Job], Queue],
        wall_ms: Callable[[], float],
    ) -> None:
        self.cell = cell
        self.epoch = epoch
        self.bounds = bounds
        self.members: dict[str, Member] = {}
        self.tracked: dict[str, Tracked] = {}
        self.orders: deque[Order] = deque()
        self.interference = Interference()
        self.dirty: dict[str, Tracked] = {}
        self.urgent = False
        self.closed = False
        self.unknown: set[str] = set()
        self._queue_of = queue_of
        self._wall_ms = wall_ms
        self._ready: dict[tuple[str, int, int], Batch] = {}
        self._timed: dict[tuple[str, int], float] = {}
        self._unproven: set[str] = set()
        self._proof_at = 0.0
        self.proven = True
        self._last_run = epoch * RUNS_PER_EPOCH
        self._told_at = 0.0
        self._short_at: float | None = None
        self._busy: dict[str, bool] = {}
        # Core-seconds of a job by queue, on average.
        self._usual_work: dict[str, float] = {}
        # What tasks waited for at the last summary.
        self.waits: list[WaitRow] = []
        # By service, what other cells last showed.
        self.elsewhere: dict[str, list[Load]] = {}

    # The cell's workers

    def take_over(self, roster: Iterable[Host], proof_at: float) -> None:
        """Begin with the former holder's workers; after `proof_at` their leases are over."""
        for host in roster:
            self.members[host.name] = Member(host, prior=True, in_roster=True)
        self._unproven = set(self.members)
        self._proof_at = proof_at
        self.proven = not self._unproven

    @property
    def fenced_all(self) -> bool:
        """Tell whether no worker obeys a former holder any more."""
        return not self._unproven

    def note_rows_read(self) -> None:
        """Note that rows were read after all workers were fenced.

        A former holder acknowledges an end only after its row is committed, so what no worker
        lists by now stands in the rows.
        """
        self.proven = True
        for tracked in self.tracked.values():
            self._claim(tracked)

    def _claim(self, tracked: Tracked) -> None:
        """Write this epoch into a row that names an earlier one, before a task of it starts.

        A write of the former holder that is still on its way, or comes when it wakes, finds the
        row changed, and learns that the cell is not its own any more.
        """
        progress = tracked.progress
        if progress.phase.final or not has_tasks_in(progress, self.cell):
            return
        if progress.claims.get(self.cell, 0) < self.epoch:
            progress.claims[self.cell] = self.epoch
            self._touch(tracked, urgent=True)
            tracked.claimed = tracked.change

    def see_host(self, host: Host) -> Member | None:
        """Take in a worker's listing; give the member when it is new or at another address."""
        member = self.members.get(host.name)
        if member is None:
            member = self.members[host.name] = Member(host)
            return member
        moved = member.host.address != host.address
        member.host, member.missing_since = host, None
        return member if moved else None

    def miss_host(self, name: str, now: float) -> None:
        """Note that a worker is no longer listed."""
        member = self.members.get(name)
        if member is not None and member.missing_since is None:
            member.missing_since = now

    def roster(self) -> list[Host]:
        """List the workers that may run something of this cell."""
        return [member.host for member in self.members.values()]

    def lives(self) -> dict[str, int]:
        """Give the boot that each worker last answered from; 0 where none has."""
        return {member.name: member.born for member in self.members.values()}

    def same_lives(self, lives: dict[str, int]) -> list[str]:
        """Name the workers that have not restarted since."""
        return [
            name
            for name, born in lives.items()
            if name in self.members and born in (0, self.members[name].born)
        ]

    def confirm_roster(self, names: Iterable[str]) -> None:
        """Note the workers that the committed owner row names: they may be used."""
        for name in names:
            if name in self.members:
                self.members[name].in_roster = True

    # Jobs

    def adopt(self, job: Job, progress: Progress, version: int, now: float) -> None:
        """Start to track a job."""
        if job.id in self.tracked:
            return
        due = now - (self._wall_ms() - job.accepted_ms) / 1000
        tracked = Tracked(job, progress, version, self._queue_of(job), due)
        tracked.prior = progress.claims.get(self.cell, 0) != self.epoch
        self.tracked[job.id] = tracked
        usual = self._usual_work.setdefault(job.queue, tracked.work)
        self._usual_work[job.queue] = usual + USUAL_GAIN * (tracked.work - usual)
        self._classify(tracked, usual, now)
        if any(not (step.lasting or step.filling) for step in job.steps):
            self._short_at = now
        self.unknown.discard(job.id)
        if progress.phase.final:
            tracked.final_at = now
        else:
            tracked.began = progress.phase is Phase.RUNNING
            if self.proven:
                self._claim(tracked)
            self._open_steps(tracked, now)
        for member in self.members.values():
            parked, member.parked = member.parked, []
            for ending in parked:
                self._on_end(member, ending, now)
            # What a worker listed before the job was known runs all the same.
            for entry in member.strays.pop(job.id, ()):
                self._on_listed(member, entry, member.asked_at, now)

    def _classify(self, tracked: Tracked, usual_work: float, now: float) -> None:
        """Note a job's size class; count the job where its cell takes it in first."""
        tracked.size_class = classify(tracked.work, usual_work)
        progress = tracked.progress
        if tracked.prior:
            tracked.expired = now > tracked.hopeless_at()
        elif progress.cell == self.cell and not progress.moves:
            self._count(tracked, "accepted")

    def _count(self, tracked: Tracked, outcome: str) -> None:
        queue = tracked.queue.name
        jobs_by_size.count(queue=queue, size=tracked.size_class, outcome=outcome)

    def _count_expired(self, now: float) -> None:
        """Count the jobs that earn nothing any more, each once."""
        for tracked in self.tracked.values():
            if tracked.expired or tracked.final_at is not None:
                continue
            if tracked.job.timed or tracked.job.lasting or tracked.progress.cell != self.cell:
                continue
            if now > tracked.hopeless_at():
                tracked.expired = True
                self._count(tracked, "expired")

    def refresh(self, job_id: str, progress: Progress, version: int, now: float) -> None:
        """Take in a newer row of a tracked job."""
        tracked = self.tracked[job_id]
        if version <= tracked.version:
            return
        was_final = tracked.progress.phase.final
        own_facts = tracked.recorded < tracked.change
        tracked.progress.merge(progress, self.cell, self.epoch)
        tracked.version = version
        if own_facts:
            self.dirty[job_id] = tracked
        if tracked.progress.phase.final and not was_final:
            self._close(tracked, now)
            log(Event.JOB_CLOSED, job=job_id, phase=tracked.progress.phase.name.lower())
        elif not tracked.progress.phase.final:
            if self.proven:
                self._claim(tracked)
            self._open_steps(tracked, now)
            if tracked.progress.all_done(tracked.job):
                tracked.progress.phase = Phase.COMPLETED
                self._touch(tracked, urgent=True)
                self._close(tracked, now)

    def reconfigure(self) -> None:
        """Take in a new configuration of the queues."""
        for tracked in self.tracked.values():
            tracked.queue = self._queue_of(tracked.job)

    def stranded(self, after_s: float, now: float) -> list[Batch]:
        """List the batches whose tasks found no worker here for a time, in queue order."""
        found = [
            batch
            for batch in self._ready.values()
            if batch.waiting
            and not self._held_back(batch, now)
            and (
                self.closed
                or (batch.stranded_since is not None and now - batch.stranded_since >= after_s)
            )
        ]
        return sorted(found, key=lambda batch: self._order(batch, now))

    def move(
        self,
        tracked: Tracked,
        batch: Batch,
        numbers: list[int] | None,
        cell: str,
        now: float,
        epoch: int = 0,
    ) -> None:
        """Give tasks of a batch, or the whole job, to another cell held under an epoch."""
        progress = tracked.progress
        if numbers is None:
            progress.give_whole(cell, epoch)
        else:
            keys = [(batch.occurrence, batch.number, each) for each in numbers]
            progress.give(keys, cell, epoch)
        progress.run_floor = max(progress.run_floor, self._last_run)
        self._touch(tracked, urgent=True)
        for each in tracked.batches.values():
            self._share_out(each, now)

    def forget_stray(self, job_id: str) -> None:
        """Stop what runs of a job that is over or was never stored."""
        self.unknown.discard(job_id)
        for member in self.members.values():
            for entry in member.strays.pop(job_id, ()):
                log(Event.RUN_UNKNOWN, task=entry.task, run=entry.run, worker=member.name)
                self.orders.append(StopTask(member.name, entry.task, entry.run))
            member.parked = [end for end in member.parked if end.task.job != job_id]

    def _open_steps(self, tracked: Tracked, now: float) -> None:
        job, progress = tracked.job, tracked.progress
        for occurrence in range(job.occurrences):
            if job.timed and not self._is_due(tracked, occurrence, now):
                continue
            for number, step in enumerate(job.steps):
                if (occurrence, number) in tracked.batches:
                    self._share_out(tracked.batches[occurrence, number], now)
                elif all(progress.step_done(job, occurrence, i) for i in step.after):
                    self._open(tracked, occurrence, number, now)

    def _is_due(self, tracked: Tracked, occurrence: int, now: float) -> bool:
        wait_s = (tracked.job.due_ms(occurrence) - self._wall_ms()) / 1000
        if wait_s <= 0:
            return True
        self._timed[tracked.job.id, occurrence] = now + wait_s
        return False

    def _open(self, tracked: Tracked, occurrence: int, number: int, now: float) -> None:
        batch = Batch(tracked, occurrence, number, tracked.job.steps[number])
        tracked.batches[occurrence, number] = batch
        self._share_out(batch, now)

    def _share_out(self, batch: Batch, now: float) -> None:
        """Take the tasks of a batch that are this cell's and neither done nor at work."""
        progress = batch.tracked.progress
        for index in range(batch.step.width):
            key = batch.occurrence, batch.number, index
            mine = progress.owner(key) == self.cell
            done = progress.is_done(*key) and not batch.step.lasting
            if mine and not done and index not in batch.active:
                batch.waiting.add(index)
            else:
                batch.waiting.discard(index)
            if done:
                for run in list(batch.active.get(index, ())):
                    self._stop(run, now)
        if batch.waiting:
            self._ready[batch.tracked.job.id, batch.occurrence, batch.number] = batch

    def _close(self, tracked: Tracked, now: float) -> None:
        """Stop all of a job that is over."""
        tracked.final_at = now
        for batch in tracked.batches.values():
            batch.waiting.clear()
            self._ready.pop((tracked.job.id, batch.occurrence, batch.number), None)
            for runs in list(batch.active.values()):
                for run in list(runs):
                    self._stop(run, now)
        for key in [key for key in self._timed if key[0] == tracked.job.id]:
            del self._timed[key]

    # Recording

    def _touch(self, tracked: Tracked, urgent: bool = False) -> None:
        tracked.change += 1
        self.dirty[tracked.job.id] = tracked
        self.urgent = self.urgent or urgent

    def note_recorded(self, tracked: Tracked, change: int, version: int) -> None:
        """Note that the row holds all up to a change."""
        if tracked.progress.phase.final and tracked.recorded < tracked.change <= change:
            phase = tracked.progress.phase.name.lower()
            took_s = (tracked.final_at or tracked.due) - tracked.due
            completion_seconds.observe(took_s, queue=tracked.queue.name, phase=phase)
            outcome = tracked.outcome()
            if not tracked.expired:
                self._count(tracked, outcome)
            log(
                Event.JOB_ENDED,
                job=tracked.job.id,
                phase=phase,
                took_ms=int(took_s * 1000),
                queue=tracked.queue.name,
                work=round(tracked.work, 1),
                size=tracked.size_class,
                outcome=outcome,
            )
        tracked.recorded = max(tracked.recorded, change)
        tracked.version = max(tracked.version, version)

    def cursor(self, member: Member) -> int:
        """Give the number up to which a worker's ends may be acknowledged."""
        for number in sorted(member.unrecorded):
            job, change = member.unrecorded[number]
            tracked = self.tracked.get(job)
            if tracked is not None and tracked.recorded < change:
                return number - 1
            del member.unrecorded[number]
        parked = [end.number for end in member.parked]
        return min(parked) - 1 if parked else member.seen

    # What workers say

    def on_snapshot(self, member: Member, snapshot: Snapshot, asked_at: float, now: float) -> None:
        """Take in what runs and what ended on a worker."""
        reborn = member.note_answer(snapshot, now, self.bounds.max_hold_s)
        if reborn:
            # It knows of no epoch, so this holder's has to be confirmed first.
            member.in_roster = False
            self._await_stops(member)
            log(Event.WORKER_REBORN, worker=member.name, born=snapshot.born)
        # Until its last ends are listed, a run that is not may have ended as done.
        member.settled = snapshot.complete
        if snapshot.complete:
            self._unproven.discard(member.name)
        for ending in snapshot.ended:
            if ending.number > member.seen:
                member.seen = ending.number
                self._on_end(member, ending, now)
        member.strays.clear()
        member.asked_at = asked_at
        listed = set()
        for entry in snapshot.running:
            listed.add((entry.task, entry.run))
            self._on_listed(member, entry, asked_at, now)
        for run in list(member.runs.values()) if snapshot.complete else ():
            if (run.task, run.number) not in listed and asked_at > run.sure_from:
                self._drop(run, now, Over.REBORN if reborn else Over.VANISHED)
        self._leave_stalled(member, now)
        self._learn(member)
        level = member.pace
        self.orders.extend(adjust(member, self.interference, now))
        if member.pace != level:
            log(
                Event.WORKER_PACED,
                worker=member.name,
                percent=member.pace,
                tail_over_target=round(pressure(member), 2),
            )

    def _await_stops(self, member: Member) -> None:
        """Ask a restarted worker to bar the starts that got no answer.

        Their deadline is on the former life's clock, so it may lie far ahead on the new one.
        """
        for run in member.runs.values():
            if run.state is RunState.STOPPING:
                run.sure_from, run.stop_sent_at = float("inf"), 0.0

    def _leave_stalled(self, member: Member, now: float) -> None:
        """Take runs that stand still off a worker, and leave it alone for a while."""
        stalled = [run for run in member.runs.values() if run.stalled(now)]
        if not stalled:
            return
        log(Event.WORKER_QUARANTINED, worker=member.name, why="runs stand still", runs=len(stalled))
        member.avoid_until = max(member.avoid_until, now + QUARANTINE_S)
        for run in stalled:
            tracked = self.tracked.get(run.task.job)
            if tracked is not None:
                tracked.failed_on.setdefault(run.task[1:], set()).add(member.name)
            self._stop(run, now)

    def _learn(self, member: Member) -> None:
        """Learn interference from the worker's reports, each of them once."""
        serving: dict[str, list[Run]] = {}
        for run in member.runs.values():
            if run.step.target_ms and run.gauge and run.state is RunState.RUNNING:
                serving.setdefault(run.step.image, []).append(run)
        tails = tuple(run.gauge for runs in serving.values() for run in runs)
        if tails == member.tails:
            return
        member.tails = tails
        shares = member.used_shares()
        for image, runs in serving.items():
            tail_ms = len(runs) / sum(1 / run.gauge for run in runs)
            tasks = tuple(run.number for run in runs)
            target_ms = runs[0].step.target_ms
            self.interference.observe(
                Observation(image, tail_ms, target_ms, shares, member.name, tasks)
            )

    def _on_listed(self, member: Member, entry: ListedRun, asked_at: float, now: float) -> None:
        run = member.runs.get((entry.task, entry.run))
        if run is None:
            run = self._find_listed(member, entry, now)
            if run is None:
                return
        if run.state is RunState.STARTING:
            self._confirm(run, asked_at)
        if entry.checkpoint:
            run.checkpoint = entry.checkpoint
        if entry.percent != run.percent:
            run.percent, run.moved_at = entry.percent, now
        run.gauge = entry.gauge if run.step.target_ms else entry.gauge / 1000

    def _find_listed(self, member: Member, entry: ListedRun, now: float) -> Run | None:
        """Adopt a run that this holder did not start, or stop it."""
        task = entry.task
        tracked = self.tracked.get(task.job)
        if tracked is None:
            self.unknown.add(task.job)
            member.strays.setdefault(task.job, []).append(entry)
            return None
        if task.step >= len(tracked.job.steps):
            self.orders.append(StopTask(member.name, task, entry.run))
            return None
        self._infer_done(tracked, task, now)
        batch = self._batch(tracked, task)
        run = Run(task, entry.run, member.name, batch.step, RunState.RUNNING, now)
        run.moved_at = now
        self._confirm(run, now)
        others = batch.active.get(task.number, [])
        self._enter(batch, run, member)
        over = tracked.progress.phase.final or (
            tracked.progress.is_done(*task[1:]) and not batch.step.lasting
        )
        if over or (others and not batch.step.copies):
            self._tell_duplicate(tracked, run, others)
            self._stop(run, now)
        return run

    def _tell_duplicate(self, tracked: Tracked, run: Run, others: list[Run]) -> None:
        """Log a listed run of a task that is done or has another run."""
        if tracked.progress.phase.final or run.step.copies:
            return
        log(
            Event.RUN_DUPLICATE,
            task=run.task,
            run=run.number,
            worker=run.worker,
            cell=self.cell,
            epoch=self.epoch,
            done=tracked.progress.is_done(*run.task[1:]),
            others=[[other.number, other.worker] for other in others if other is not run],
        )

    def _infer_done(self, tracked: Tracked, task: TaskId, now: float) -> None:
        """Steps before one that runs have ended: a former holder started it only then."""
        for before in tracked.job.steps[task.step].after:
            full = (1 << tracked.job.steps[before].width) - 1
            if tracked.progress.done.get((task.occurrence, before), 0) != full:
                tracked.progress.done[task.occurrence, before] = full
                self._touch(tracked)
                earlier = TaskId(task.job, task.occurrence, before, 0)
                self._infer_done(tracked, earlier, now)
                batch = tracked.batches.get((task.occurrence, before))
                if batch is not None:
                    self._share_out(batch, now)

    def _batch(self, tracked: Tracked, task: TaskId) -> Batch:
        key = task.occurrence, task.step
        if key not in tracked.batches:
            tracked.batches[key] = Batch(tracked, *key, tracked.job.steps[task.step])
        return tracked.batches[key]

    def _enter(self, batch: Batch, run: Run, member: Member) -> None:
        batch.active.setdefault(run.task.number, []).append(run)
        batch.waiting.discard(run.task.number)
        member.add(run)

    def _confirm(self, run: Run, known_at: float) -> None:
        """Note that a run is there."""
        if run.state is not RunState.STOPPING:
            run.state = RunState.RUNNING
        run.sure_from = known_at
        tracked = self.tracked[run.task.job]
        if not tracked.began:
            tracked.began = True
            if tracked.progress.phase is Phase.QUEUED:
                tracked.progress.phase = Phase.RUNNING

    def _on_end(self, member: Member, ending: Ending, now: float) -> None:
        task = ending.task
        tracked = self.tracked.get(task.job)
        if tracked is None:
            if ending.kind in (EndKind.DONE, EndKind.FAILED):
                self.unknown.add(task.job)
                member.parked.append(ending)
            else:
                self._tell_end(member, ending)
            return
        run = member.runs.get((task, ending.run))
        if tracked.progress.phase.final or task.step >= len(tracked.job.steps):
            if run is not None:
                self._drop(run, now, Over.ENDED, ending.kind.value)
            return
        if ending.checkpoint:
            tracked.checkpoints[task[1:]] = ending.checkpoint
        step = tracked.job.steps[task.step]
        if member.note_end(ending.kind, now):
            log(Event.WORKER_QUARANTINED, worker=member.name, why="its runs fail")
        self._tell_end(member, ending)
        if run is not None:
            run.checkpoint = ending.checkpoint or run.checkpoint
        match ending.kind:
            case EndKind.DONE if not step.lasting:
                self._on_done(tracked, task, now)
            case EndKind.FAILED if not step.lasting:
                self._on_failed(tracked, task, ending, member)
        if not step.lasting and ending.kind in (EndKind.DONE, EndKind.FAILED):
            member.unrecorded[ending.number] = Unrecorded(task.job, tracked.change)
        if run is not None:
            self._drop(run, now, Over.ENDED, ending.kind.value)
        if tracked.progress.phase.final and tracked.final_at is None:
            self._close(tracked, now)

    def _tell_end(self, member: Member, ending: Ending) -> None:
        log(
            Event.RUN_ENDED,
            task=ending.task,
            run=ending.run,
            worker=member.name,
            how=ending.kind.value,
        )

    def _on_done(self, tracked: Tracked, task: TaskId, now: float) -> None:
        step, progress = tracked.job.steps[task.step], tracked.progress
        tracked.checkpoints.pop(task[1:], None)
        if step.gang:
            progress.done[task.occurrence, task.step] = (1 << step.width) - 1
        else:
            progress.add_done(*task[1:])
        complete = progress.all_done(tracked.job)
        if complete:
            progress.phase = Phase.COMPLETED
        away = progress.cell != self.cell
        step_complete = progress.step_done(tracked.job, task.occurrence, task.step)
        self._touch(tracked, urgent=complete or (away and step_complete))
        if step_complete and not complete:
            self._open_steps(tracked, now)
        batch = tracked.batches.get((task.occurrence, task.step))
        if batch is not None:
            self._share_out(batch, now)

    def _on_failed(self, tracked: Tracked, task: TaskId, ending: Ending, member: Member) -> None:
        key = task[1:]
        tracked.failed_on.setdefault(key, set()).add(member.name)
        tracked.checkpoints.pop(key, None)
        count = tracked.progress.add_failure(key, ending.run)
        if tracked.job.steps[task.step].gang:
            runs = [r for k, s in tracked.progress.failures.items() if k[:2] == key[:2] for r in s]
            count = len(set(runs))
        failed = count >= tracked.queue.max_attempts
        if failed:
            tracked.progress.phase = Phase.FAILED
        self._touch(tracked, urgent=failed)

    def _drop(self, run: Run, now: float, why: Over, how: str = "") -> None:
        """Forget a run that is over; its task waits again unless it is done."""
        if why in UNLISTED:
            self._tell_unlisted(run, why)
        member = self.members.get(run.worker)
        if member is not None:
            member.remove(run)
        tracked = self.tracked.get(run.task.job)
        if tracked is None:
            return
        batch = tracked.batches[run.task.occurrence, run.task.step]
        runs = batch.active.get(run.task.number, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            batch.active.pop(run.task.number, None)
        if run.checkpoint and run.step.checkpointing:
            tracked.checkpoints[run.task[1:]] = run.checkpoint
        if tracked.progress.phase.final:
            return
        if run.step.lasting or not tracked.progress.is_done(*run.task[1:]):
            text = f"{why.value} {how}".rstrip()
            tracked.former[run.task[1:]] = FormerRun(text, run.number, run.worker)
        if run.step.gang:
            self._break_gang(batch, now)
        else:
            self._share_out(batch, now)

    def _tell_unlisted(self, run: Run, why: Over) -> None:
        """Log a run that is taken for over though no end of it was listed."""
        log(
            Event.RUN_VANISHED,
            task=run.task,
            run=run.number,
            worker=run.worker,
            cell=self.cell,
            epoch=self.epoch,
            state=run.state.value,
            why=why.value,
        )

    def _break_gang(self, batch: Batch, now: float) -> None:
        """Members work only together: the rest stop, and start again once all are over."""
        for runs in list(batch.active.values()):
            for run in list(runs):
                self._stop(run, now)
        if not batch.active:
            self._share_out(batch, now)

    # Orders and their answers

    def _stop(self, run: Run, now: float) -> None:
        if run.state is RunState.STOPPING:
            return
        run.state, run.stop_sent_at = RunState.STOPPING, now
        self.orders.append(StopTask(run.worker, run.task, run.number))

    def find(self, order: WorkerOrder) -> Run | None:
        """Give the run that an order is about."""
        member = self.members.get(order.worker)
        return member.runs.get((order.task, order.run)) if member else None

    def on_start_result(self, order: StartTask, result: StartResult, now: float) -> None:
        """Take in a worker's answer to a start."""
        run, member = self.find(order), self.members.get(order.worker)
        if run is None or member is None:
            return
        if result is StartResult.STARTED:
            run.moved_at = now
            self._confirm(run, now)
            return
        log(
            Event.RUN_REFUSED,
            task=run.task,
            run=run.number,
            worker=member.name,
            why=result.value,
        )
        match result:
            case StartResult.NO_ROOM:
                member.avoid_until = max(member.avoid_until, now + NO_ROOM_PAUSE_S)
            case StartResult.UNHEALTHY | StartResult.TOO_LATE:
                member.avoid_until = max(member.avoid_until, now + NO_ROOM_PAUSE_S)
            case StartResult.NO_TICKET:
                self._batch(self.tracked[run.task.job], run.task).tickets.drop(member.name, now)
            case StartResult.MALFORMED:
                self.tracked[run.task.job].pause_until = now + MALFORMED_PAUSE_S
        self._drop(run, now, Over.REFUSED, result.value)

    def on_advice(
        self, order: AskAdvice, advice: Advice | None, asked_at: float, now: float
    ) -> None:
        """Take in which workers may run a step; None when the advisor did not answer."""
        tracked = self.tracked.get(order.job)
        batch = tracked.batches.get((order.occurrence, order.step)) if tracked else None
        if batch is not None:
            batch.tickets.take_in(advice, asked_at, now)
        log(
            Event.ADVICE_TAKEN,
            job=order.job,
            step=order.step,
            asked=len(order.workers),
            approved=len(advice.tickets) if advice is not None else None,
        )

    def on_start_unsent(self, order: StartTask, now: float) -> None:
        """Note that a start never left this process."""
        run = self.find(order)
        if run is not None:
            self.on_silence(order.worker, now)
            self._drop(run, now, Over.UNSENT)

    def on_start_unanswered(self, order: StartTask, now: float) -> None:
        """Note that a start may or may not be carried out: stop it and find out."""
        run, member = self.find(order), self.members.get(order.worker)
        if run is None or member is None or run.state is not RunState.STARTING:
            return
        log(Event.RUN_UNSURE, task=run.task, run=run.number, worker=run.worker)
        run.sure_from = member.passed_at(order.deadline_ms)
        self._stop(run, now)

    def on_stop_answered(self, order: StopTask, now: float) -> None:
        """Note that a run is over or will never start: the next snapshot shows it."""
        run = self.find(order)
        if run is not None:
            run.sure_from = min(run.sure_from, now)

    def on_pace_failed(self, order: PaceTask) -> None:
        """Note that a pace may not be in force: the next snapshot brings it again."""
        run, member = self.find(order), self.members.get(order.worker)
        if run is not None and member is not None:
            member.set_pace(run, UNKNOWN_PACE)

    def on_silence(self, worker: str, now: float) -> None:
        """Note that a worker did not answer."""
        member = self.members.get(worker)
        if member is not None and member.silent_since is None:
            member.silent_since = now
            log(Event.WORKER_SILENT, worker=worker, running=len(member.runs))

    def on_gone(self, worker: str, now: float) -> None:
        """Note that a worker's life is over: all that ran there is."""
        member = self.members.pop(worker, None)
        if member is None:
            return
        log(Event.WORKER_GONE, worker=worker, running=len(member.runs))
        self._unproven.discard(worker)
        self.interference.forget_worker(worker)
        for run in list(member.runs.values()):
            self._drop(run, now, Over.GONE)

    # Time

    def tick(self, now: float, confirmed_at: float) -> None:
        """Do what time alone brings about; the cell was this holder's at `confirmed_at`."""
        for key, at in list(self._timed.items()):
            if now >= at:
                del self._timed[key]
                tracked = self.tracked.get(key[0])
                if tracked is not None and not tracked.progress.phase.final:
                    self._open_steps(tracked, now)
        if self._unproven and now >= self._proof_at:
            log(Event.CELL_PROVEN, cell=self.cell, by="lapse", workers=len(self._unproven))
            self._unproven.clear()
        for member in list(self.members.values()):
            self._tick_member(member, now, confirmed_at)
        self._forget_old(now)
        if now - self._told_at >= SUMMARY_S:
            self._told_at = now
            self._count_expired(now)
            self._tell(now)

    def _tell(self, now: float) -> None:
        """Log what the cell looks like."""
        waiting, loads = [batch for batch in self._ready.values() if batch.waiting], self.load(now)
        self.waits = self._summarize(waiting, now)
        log(
            Event.CELL_STATE,
            cell=self.cell,
            epoch=self.epoch,
            usable=sum(member.usable(now) for member in self.members.values()),
            members=len(self.members),
            unproven=len(self._unproven),
            proven=self.proven,
            closed=self.closed,
            runs=sum(len(member.runs) for member in self.members.values()),
            interference=self.interference.table(),
            idle_cores=[round(member.idle_cores, 1) for member in self.members.values()],
            free_cores=[round(member.room.cores, 1) for member in self.members.values()],
            lasting_cores=round(sum(m.lasting.cores for m in self.members.values()), 1),
            waiting_cores=_waiting_cores(waiting),
            filling_room={name: load.filling for name, load in loads.items()},
            filling_waits={name: load.waiting.filling for name, load in loads.items()},
            free_gb=[round(member.room.memory / 1000, 1) for member in self.members.values()],
            waiting_tasks=sum(len(batch.waiting) for batch in waiting),
            waits=[list(row) for row in self.waits],
            waiting_first=[
                [
                    batch.tracked.job.id,
                    batch.number,
                    len(batch.waiting),
                    batch.step.size.cores,
                    round(batch.step.size.memory / 1000, 1),
                    batch.step.filling,
                ]
                for batch in waiting[:4]
            ],
        )

    def _summarize(self, waiting: list[Batch], now: float) -> list[WaitRow]:
        members = self.members.values()
        usable = [(member, member.room) for member in members if member.usable(now)]
        kept_share = self._kept_share(now)
        scene = Scene(usable, self.interference, now, kept_share, self.closed, self._held_back)
        return summarize(waiting, scene)

    def _tick_member(self, member: Member, now: float, confirmed_at: float) -> None:
        for run in list(member.runs.values()):
            if run.state is RunState.STOPPING and now - run.stop_sent_at > STOP_RETRY_S:
                run.stop_sent_at = now
                self.orders.append(StopTask(run.worker, run.task, run.number))
        # A successor may have extended the leases since this holder was last confirmed.
        lapsed = member.silent_since is not None and confirmed_at > member.lapses_at()
        if lapsed and member.runs:
            log(Event.WORKER_LAPSED, worker=member.name, runs=len(member.runs))
            for run in list(member.runs.values()):
                self._drop(run, now, Over.LAPSED)
        if member.missing_since is not None and lapsed and member.name not in self._unproven:
            self.interference.forget_worker(member.name)
            del self.members[member.name]

    def _forget_old(self, now: float) -> None:
        keep_s = self.bounds.status_s
        old = [
            tracked
            for tracked in self.tracked.values()
            if tracked.final_at is not None and now - tracked.final_at > keep_s
        ]
        for tracked in old:
            if tracked.recorded >= tracked.change:
                del self.tracked[tracked.job.id]

    # Placing

    def must_start(self, batch: Batch, now: float) -> bool:
        """Tell whether a lasting task waited long though it fits twice, here or elsewhere."""
        since = batch.stranded_since
        if since is None or now - since < LASTING_WAIT_S:
            return False
        service, size = batch.tracked.queue.service, batch.step.size
        cores = max(size.cores, LEAST_CORES)
        rooms = [
            member.room.cores
            for member in self.members.values()
            if member.host.service == service
            and member.usable(now)
            and not self.closed
            and size.fits(member.room)
        ]
        slots = sum(int(room / cores) for room in rooms)
        return slots + sum(load.slots(batch.step) for load in self.elsewhere.get(service, ())) >= 2

    def _kept_from(self, batch: Batch, now: float) -> float:
        """Give the part of a worker that a batch leaves to short tasks."""
        return 0.0 if batch.step.lasting and self.must_start(batch, now) else self._kept_share(now)

    def _kept_share(self, now: float) -> float:
        """Give the part of each worker that is left to short tasks."""
        if self._short_at is None:
            # Nothing is known yet of what else comes.
            self._short_at = now
        return SHORT_SHARE if now - self._short_at < SHORT_MEMORY_S else 0.0

    def plan(self, now: float) -> None:
        """Start what can be started."""
        if self.closed:
            return
        usable = [member for member in self.members.values() if member.usable(now)]
        self._relieve(usable, now)
        refused: list[Refusal] = []
        kept: dict[str, Size] = {}
        self._busy.clear()
        for batch in sorted(self._ready.values(), key=lambda batch: self._order(batch, now)):
            if not batch.waiting:
                del self._ready[batch.tracked.job.id, batch.occurrence, batch.number]
            elif not self._held_back(batch, now):
                self._place(batch, _open_to(batch.step, usable, kept), refused, now)
                if batch.step.lasting and batch.waiting:
                    self._reserve(batch, usable, kept, now)

    def _relieve(self, usable: list[Member], now: float) -> None:
        """Stop slowed runs that would go on at full pace, from their checkpoint, elsewhere."""
        free = [member for member in usable if member.pace == FULL]
        for member in usable:
            if member.pace >= RELIEF_PACE or now - member.pace_changed_at < RELIEF_AFTER_S:
                continue
            for run in list(member.runs.values()):
                if run.pace >= RELIEF_PACE or run.state is not RunState.RUNNING:
                    continue
                if run.step.checkpointing and not run.step.gang and self._elsewhere(run, free, now):
                    log(Event.RUN_RELIEVED, task=run.task, worker=member.name, pace=run.pace)
                    self._stop(run, now)
                    return

    def _elsewhere(self, run: Run, free: list[Member], now: float) -> bool:
        tracked = self.tracked.get(run.task.job)
        if tracked is None:
            return False
        batch = self._batch(tracked, run.task)
        siblings = batch.siblings()
        if tracked.queue.advised:
            free = batch.tickets.good(free, now)
        wish = Wish(
            tracked.queue.service,
            run.step,
            siblings,
            interference=self.interference,
            now=now,
        )
        return choose(wish, free) is not None

    def _reserve(
        self, batch: Batch, usable: list[Member], kept: dict[str, Size], now: float
    ) -> None:
        """Keep the worker with the most room for a lasting task that found none.

        Smaller tasks that come later would else take each core that gets free. What is left to
        short tasks is not kept for lasting ones.
        """
        step, siblings, kept_share = batch.step, batch.siblings(), self._kept_share(now)
        fitting = [
            member
            for member in usable
            if member.name not in kept
            and member.host.service == batch.tracked.queue.service
            and (not step.requires or step.requires in member.host.labels)
            and (not step.max_per_worker or siblings.get(member.name, 0) < step.max_per_worker)
            and step.size.fits(member.host.size.minus(member.lasting))
            and leaves_short(step, member, kept_share)
        ]
        if fitting:
            kept[max(fitting, key=lambda member: member.room.cores).name] = step.size

    def _order(self, batch: Batch, now: float) -> tuple[int, int, float]:
        """Rank a batch: lasting tasks, then by priority, each by worth for the work still to do.

        Nearly finished jobs come before new ones, and late ones after those in time.
        """
        tracked = batch.tracked
        if batch.step.lasting:
            return 0, 0, tracked.due
        rank = 2 if now > tracked.hopeless_at() else 1
        left_s = tracked.chains_s[batch.number]
        late = now + left_s > tracked.objective_at()
        value = tracked.value(self._usual_work.get(tracked.job.queue, 0.0))
        worth = value * (LATE_VALUE if late else 1.0) / max(tracked.work_left(), LEAST_WORK)
        return rank, tracked.queue.priority, -worth

    def _held_back(self, batch: Batch, now: float) -> bool:
        tracked = batch.tracked
        return now < tracked.pause_until or not self._may_start(tracked)

    def _may_start(self, tracked: Tracked) -> bool:
        """Tell whether the job's row names this epoch, so that no other holder starts its tasks.

        A row that names an earlier one is taken over first; one that names a later one shows that
        the cell is not this holder's any more.
        """
        named = tracked.progress.claims.get(self.cell, 0)
        return named == self.epoch and tracked.recorded >= tracked.claimed

    def _ticketed(self, batch: Batch, usable: list[Member], now: float) -> list[Member]:
        """Give the workers that the advisor approved; ask about those not known yet."""
        step = batch.step
        suited = [
            member
            for member in usable
            if member.host.service == batch.tracked.queue.service
            and (not step.requires or step.requires in member.host.labels)
        ]
        unknown = batch.tickets.to_ask(suited, now)
        if unknown:
            job = batch.tracked.job.id
            self.orders.append(AskAdvice(job, batch.occurrence, batch.number, unknown))
        return batch.tickets.good(suited, now)

    def _place(
        self,
        batch: Batch,
        usable: list[Member],
        refused: list[Refusal],
        now: float,
    ) -> None:
        if batch.tracked.queue.advised:
            refused, usable = [], self._ticketed(batch, usable, now)
            if not usable and batch.tickets.awaited(now):
                return
        if batch.step.gang:
            self._place_gang(batch, usable, now)
            return
        tracked, step = batch.tracked, batch.step
        service = tracked.queue.service
        for refusal in refused:
            if refusal.covers(service, step):
                self._strand(batch, Wish(service, step, batch.siblings()), usable, now)
                return
        siblings = batch.siblings()
        racks = self._racks(siblings) if step.same_rack else frozenset()
        kept_share = self._kept_from(batch, now)
        for index in sorted(batch.waiting):
            avoid = frozenset(tracked.failed_on.get((batch.occurrence, batch.number, index), ()))
            wish = Wish(
                service,
                step,
                siblings,
                avoid,
                racks,
                self.interference,
                now=now,
                kept_share=kept_share,
            )
            member = choose(wish, usable)
            if member is None:
                plain = not (step.requires or step.max_per_worker)
                if plain:
                    refused.append(Refusal(service, step))
                self._strand(batch, wish, usable, now)
                return
            self._start(batch, index, member, self._next_run(tracked), now)
            siblings[member.name] = siblings.get(member.name, 0) + 1
            if step.same_rack:
                racks = self._racks(siblings)
        batch.stranded_since = None

    def _strand(self, batch: Batch, wish: Wish, usable: list[Member], now: float) -> None:
        """Note that no worker was found; start one task of a filling job at a standstill."""
        batch.stranded_since = batch.stranded_since or now
        waited_s = now - batch.stranded_since
        if not batch.step.filling or waited_s < STANDSTILL_S or batch.tracked.active():
            return
        if self._is_busy(batch.tracked.queue.service, now):
            return
        last = wish._replace(
            interference=self.interference,
            margin=float("inf"),
            crowded=waited_s >= FORCE_S,
            now=now,
            kept_share=0.0,
        )
        member = choose(last, usable)
        if member is not None:
            number = self._next_run(batch.tracked)
            self._start(batch, min(batch.waiting), member, number, now)

    def _is_busy(self, service: str, now: float) -> bool:
        """Tell whether so much of a service is in use, here and in all, that jobs may wait."""
        if service not in self._busy:
            own = self.load(now).get(service, Load())
            found = [own, *self.elsewhere.get(service, ())]
            cores, left = sum(load.cores for load in found), max(
                sum(load.free for load in found), sum(load.idle for load in found)
            )
            most_left = 1 - BUSY_SHARE
            self._busy[service] = (
                max(own.free, own.idle) <= most_left * own.cores and left <= most_left * cores
            )
        return self._busy[service]

    def _place_gang(self, batch: Batch, usable: list[Member], now: float) -> None:
        """Start all members of a gang at once, or none."""
        tracked, step = batch.tracked, batch.step
        if batch.active or len(batch.waiting) < step.width:
            return
        plan: list[Member] = []
        counted: list[tuple[Member, Run]] = []
        siblings: dict[str, int] = {}
        for index in range(step.width):
            racks = self._racks(siblings) if step.same_rack else frozenset()
            member = choose(
                Wish(tracked.queue.service, step, siblings, frozenset(), racks, self.interference),
                usable,
            )
            if member is None:
                break
            plan.append(member)
            trial = Run(batch.task(index), 0, member.name, step, RunState.STARTING, now)
            member.add(trial)
            counted.append((member, trial))
            siblings[member.name] = siblings.get(member.name, 0) + 1
        for member, trial in counted:
            member.remove(trial)
        if len(plan) < step.width:
            batch.stranded_since = batch.stranded_since or now
            return
        number = self._next_run(tracked)
        keys = [(batch.occurrence, batch.number, index) for index in range(step.width)]
        saved = next((tracked.checkpoints[key] for key in keys if key in tracked.checkpoints), "")
        for key in keys:
            tracked.checkpoints[key] = saved
        for index, member in enumerate(plan):
            self._start(batch, index, member, number, now)
        batch.stranded_since = None

    def _racks(self, siblings: dict[str, int]) -> frozenset[str]:
        names = [name for name in siblings if name in self.members]
        return frozenset(self.members[name].host.rack for name in names)

    def _next_run(self, tracked: Tracked) -> int:
        self._last_run = max(self._last_run, tracked.progress.run_floor) + 1
        return self._last_run

    def _start(self, batch: Batch, index: int, member: Member, number: int, now: float) -> None:
        tracked, task = batch.tracked, batch.task(index)
        checkpoint = tracked.checkpoints.get(task[1:], "") if batch.step.checkpointing else ""
        run = Run(task, number, member.name, batch.step, RunState.STARTING, now, checkpoint)
        run.moved_at = now
        self._enter(batch, run, member)
        deadline_ms = member.clock_now(now) + int(START_WINDOW_S * 1000)
        member.granted_ms = max(member.granted_ms, deadline_ms)
        self.orders.append(
            StartTask(
                member.name,
                task,
                number,
                tracked.job.spec,
                checkpoint,
                deadline_ms,
                batch.tickets.text(member.name),
            )
        )
        log(
            Event.RUN_PLACED,
            task=task,
            run=number,
            worker=member.name,
            queue=tracked.queue.name,
            image=batch.step.image,
            waited_ms=int((now - tracked.due) * 1000),
            idle_cores=round(member.idle_cores, 1),
            cell=self.cell,
            epoch=self.epoch,
            version=tracked.version,
            prior=tracked.prior,
            fenced=self.fenced_all,
            after=list(tracked.former.pop(task[1:], ())) or None,
        )

    # Figures

    def waiting_jobs(self) -> dict[str, int]:
        """Count by queue the jobs of which nothing has begun."""
        counts: dict[str, int] = {}
        for tracked in self.tracked.values():
            if not (tracked.began or tracked.job.timed or tracked.progress.phase.final):
                # A job given away is counted here until its row shows the other cell.
                if tracked.progress.cell == self.cell or tracked.progress.given_whole:
                    counts[tracked.job.queue] = counts.get(tracked.job.queue, 0) + 1
        return counts

    def load(self, now: float) -> dict[str, Load]:
        """Give the cell's figures by service."""
        waiting: dict[str, Waiting] = {}
        for batch in self._ready.values():
            service = batch.tracked.queue.service
            cores = len(batch.waiting) * batch.step.size.cores
            waiting[service] = waiting.get(service, Waiting()).plus(cores, batch.step)
        usable = [m for m in self.members.values() if not self.closed and m.usable(now)]
        return measure(usable, waiting, self.interference, self._kept_share(now))
