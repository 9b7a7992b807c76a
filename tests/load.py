"""Callers' load on a few cells in virtual time: what each size of job of each queue is served."""

import heapq
import math
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from curranthall.cells.balance import Balancer, CellLoads
from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.fleet import Member
from curranthall.cells.load import Load, rate_cell, widest_step
from curranthall.cells.placement import PlacementRequest, choose_worker
from curranthall.cells.ports import (
    Ending,
    EndKind,
    ListedRun,
    PaceTask,
    Snapshot,
    StartResult,
    StartTask,
    StopTask,
)
from curranthall.cells.records import has_tasks_in, other_cells
from curranthall.cells.tracking import Batch, Bounds, Queue
from curranthall.dag import Job, Progress, Step, TaskId
from curranthall.dag.progress import decode_progress
from curranthall.model import Host, HostState, Size

SERVICE = "desk"
STEP_S = 0.1
# Workers are looked at this often, and at once when a run ended.
LOOK_S = 0.5
# Cells tell the others their figures this often.
TELL_S = 0.8
# What waiting tasks wait for is looked at this often.
SAMPLE_S = 0.5
CHECKPOINT_S = 1.0
RESTORE_S = 0.6
# A late job earns something up to this many times its objective.
LATE_FACTOR = 3.0
LATE_VALUE = 0.15
QUIET_MS = 4.0
SIZES = ("rest", "fifth", "tenth")


class Spread(NamedTuple):
    """A lognormal figure: its mean, the deviation of its logarithm, its most."""

    mean: float
    spread: float
    most: float

    def draw(self, rng: random.Random) -> float:
        """Draw one."""
        if not self.spread:
            return self.mean
        shift = math.log(self.mean) - self.spread**2 / 2
        return min(self.most, rng.lognormvariate(shift, self.spread))


class Kind(NamedTuple):
    """The jobs of one queue; `rate` counts jobs a second."""

    queue: Queue
    rate: float
    steps: Spread
    width: Spread
    cores: Spread
    seconds: Spread
    memory: Spread
    uneven: float = 0.3
    estimate_off: float = 0.5
    images: int = 1
    lasting: bool = False
    filling: bool = False
    # Part of the workers' cores that lasting jobs hold at the beginning.
    held: float = 0.0
    stay: Spread = Spread(70, 0.5, 210)
    apart: float = 0.0


PROOFS = Kind(
    Queue("proofs", SERVICE, 0, 2, 1.5, 250),
    2.84,
    Spread(1.6, 0.4, 4),
    Spread(6, 0.8, 36),
    Spread(4.1, 0.45, 12),
    Spread(0.8, 0.5, 2),
    Spread(8_200, 0.3, 16_000),
)
BATCHES = Kind(
    Queue("batches", SERVICE, 2, 2, 2.0, 1_000),
    3.39,
    Spread(2, 0.4, 5),
    Spread(8, 0.6, 32),
    Spread(7, 0.3, 14),
    Spread(1.7, 0.5, 4.3),
    Spread(13_000, 0.3, 26_000),
    images=9,
    filling=True,
)
WATCHES = Kind(
    Queue("watches", SERVICE, 0, 2, 2.2, 2_500),
    0.103,
    Spread(1, 0, 1),
    Spread(6, 0.4, 12),
    Spread(13, 0.25, 20),
    Spread(0.5, 0.5, 1.2),
    Spread(26_000, 0.3, 51_000),
    uneven=0.15,
    estimate_off=0.9,
    images=5,
    lasting=True,
    held=0.37,
    apart=0.5,
)
KINDS = (PROOFS, BATCHES, WATCHES)


class Plan(NamedTuple):
    """A play: its length, and by how much each queue comes faster from when to when."""

    seconds: float = 40.0
    drain_s: float = 14.0
    bursts: tuple[tuple[str, float, float, float], ...] = ()
    # One cell starts nothing from the first time to the second.
    out: tuple[float, float] = (1e9, 1e9)
    workers: int = 8
    cores: float = 64.0
    # Workers slower by the factor, one in so many.
    slow: tuple[int, float] = (0, 1.0)


@dataclass(slots=True, eq=False)
class Asked:
    """A job as handed in, and what became of it; `runs_s` are true times by step and task."""

    job: Job
    kind: Kind
    at: float
    runs_s: list[list[float]]
    work: float
    leaves_at: float = math.inf
    done_at: float = math.inf
    size: str = "rest"
    at_work_s: float = 0.0
    wanted_s: float = 0.0
    # Seconds of its tasks' waiting, by what they waited for.
    waits: Counter[str] = field(default_factory=Counter)

    @property
    def objective_s(self) -> float:
        """Give the time by which the job should be over."""
        queue, chain_s = self.kind.queue, sum(max(times) for times in self.runs_s)
        return queue.stretch * chain_s + queue.objective_ms / 1000

    @property
    def served(self) -> float:
        """Give 1 for a job that earned anything, a part for one that lasts."""
        if self.kind.lasting:
            return self.at_work_s / self.wanted_s if self.wanted_s else 0.0
        return float(self.done_at - self.at <= LATE_FACTOR * self.objective_s)

    @property
    def in_time(self) -> float:
        """Give 1 for a job that was over by its objective."""
        if self.kind.lasting:
            return self.served
        return float(self.done_at - self.at <= self.objective_s)


@dataclass(slots=True, eq=False)
class _Act:
    """A run on a worker."""

    order: StartTask
    step: Step
    left_s: float
    begun_at: float
    done_s: float = 0.0
    pace: float = 1.0
    use: float = 0.0
    tail_ms: float = 0.0


@dataclass(slots=True, eq=False)
class _Worker:
    """A worker that runs what it is told and reports tails as filling tasks press on them."""

    host: Host
    cell: str
    factor: float
    acts: dict[TaskId, _Act] = field(default_factory=dict)
    ends: list[Ending] = field(default_factory=list)
    ended: int = 0
    looked_at: float = -1.0
    phase: float = 0.0

    def free(self) -> Size:
        room = self.host.size
        for act in self.acts.values():
            room = room.minus(act.step.reserved)
        return room

    def end(self, act: _Act, kind: EndKind) -> None:
        self.acts.pop(act.order.task)
        self.ended += 1
        saved = f"{int(act.done_s / CHECKPOINT_S) * CHECKPOINT_S}" if act.step.checkpointing else ""
        saved = saved if kind is not EndKind.DONE else ""
        self.ends.append(Ending(self.ended, act.order.task, act.order.run, kind, saved))

    def advance(self, now: float, weights: dict[tuple[str, str], float]) -> None:
        """Work for a step: filling tasks share what the others leave unused."""
        cores = self.host.size.cores
        own = 0.42 * (1 + 0.5 * math.sin(self.phase + now * 2 * math.pi / 12))
        serving = [act for act in self.acts.values() if act.step.lasting]
        filling = [act for act in self.acts.values() if act.step.filling]
        used = sum(
            act.step.size.cores * (own if act.step.lasting else 1)
            for act in self.acts.values()
            if not act.step.filling
        )
        asked = sum(act.step.size.cores * act.pace for act in filling)
        share = min(1.0, max(0.0, cores - used) / asked) if asked else 1.0
        for act in serving:
            press = sum(
                weights[act.step.image, other.step.image] * other.use / cores for other in filling
            )
            load = min(0.98, own + press)
            act.tail_ms = QUIET_MS / (1 - load)
        for act in list(self.acts.values()):
            if act.step.lasting:
                continue
            pace = (act.pace * share if act.step.filling else 1.0) / self.factor
            act.use = act.step.size.cores * pace
            act.left_s -= STEP_S * pace
            act.done_s += STEP_S * pace
            if act.left_s <= 1e-9:
                self.end(act, EndKind.DONE)

    def listed(self, now: float) -> list[ListedRun]:
        found = []
        for act in self.acts.values():
            done = act.done_s + (now - act.begun_at if act.step.lasting else 0.0)
            percent = 100.0 if act.step.lasting else 100 * done / (act.done_s + act.left_s)
            saved = f"{int(act.done_s)}" if act.step.checkpointing and act.done_s >= 1 else ""
            gauge = act.tail_ms if act.step.lasting else 1000 * act.use
            found.append(ListedRun(act.order.task, act.order.run, saved, percent, gauge))
        return found


def _waits_for(batch: Batch, usable: list[Member], core: Dispatcher, now: float) -> str:
    """Name what a batch's next task waits for, with the room as it is after planning."""
    known = core.interference
    wish = PlacementRequest(SERVICE, batch.step, batch.siblings(), interference=known, now=now)
    loose = wish._replace(max_load_share=math.inf)
    if choose_worker(wish, usable) is not None:
        return "turn"
    if choose_worker(loose, usable) is not None:
        return "strain"
    if choose_worker(loose._replace(ignore_idle_cores=True), usable) is not None:
        return "idle cores"
    if choose_worker(loose._replace(siblings={}, ignore_idle_cores=True), usable) is not None:
        return "apart"
    whole = sum(member.room.cores for member in usable)
    return "fragments" if whole >= 2 * batch.step.size.cores else "room"


class Tally(NamedTuple):
    """Jobs of one queue and size, and how many of them were served, and in time."""

    jobs: int = 0
    served: float = 0.0
    in_time: float = 0.0

    @property
    def share(self) -> float:
        """Give the served part."""
        return self.served / self.jobs if self.jobs else 1.0


class Simulation:
    """A day of callers on three cells."""

    def __init__(self, seed: int, plan: Plan, kinds: tuple[Kind, ...] = KINDS) -> None:
        self.rng, self.plan, self.kinds = random.Random(seed), plan, kinds
        self.now = 100.0
        self.began = self.now
        self.cells: dict[str, Dispatcher] = {}
        self.workers: dict[str, _Worker] = {}
        self.asked: dict[str, Asked] = {}
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.loads: dict[str, dict[str, Load]] = {}
        self.sent: dict[str, float] = {}
        self.balances: dict[str, Balancer] = {}
        self._told_at = -1.0
        self._sampled_at = self.now
        self._next: list[tuple[float, int]] = []
        queues = {kind.queue.name: kind.queue for kind in kinds}
        for epoch, cell in enumerate("abc", 1):
            core = Dispatcher(
                cell, epoch, Bounds(), lambda job: queues[job.queue], lambda: self.now * 1000
            )
            self.cells[cell], self.balances[cell] = core, Balancer()
            for number in range(plan.workers):
                self._add_worker(cell, number)
            core.confirm_roster(list(core.members))
        # A quarter of the pairs of images press hard, the others hardly.
        self.weights = {
            (f"watches-{serving}", f"batches-{filling}"): self.rng.choice(
                (self.rng.uniform(0.7, 1.3), *(self.rng.uniform(0, 0.15) for _ in range(3)))
            )
            for serving in range(5)
            for filling in range(9)
        }

    def _add_worker(self, cell: str, number: int) -> None:
        cores = self.plan.cores * (1.5 if number % 3 == 2 else 1.0)
        name, rack = f"{cell}-{number}", f"{cell}-r{number // 8}"
        host = Host(
            name, cell, rack, name, Size(cores, cores * 4_000), 8, 0, HostState.LIVE, SERVICE
        )
        every, factor = self.plan.slow
        slow = bool(every) and number % every == every - 1
        self.workers[name] = _Worker(
            host, cell, factor if slow else 1.0, phase=self.rng.uniform(0, 6.28)
        )
        self.cells[cell].update_host(host)

    # Jobs

    def _draw(self, kind: Kind) -> Asked:
        rng = self.rng
        steps, runs_s = [], []
        image = f"{kind.queue.name}-{rng.randrange(kind.images)}"
        for number in range(max(1, round(kind.steps.draw(rng)))):
            width, seconds = max(1, round(kind.width.draw(rng))), kind.seconds.draw(rng)
            off = 1 + rng.uniform(-kind.estimate_off, kind.estimate_off)
            times = [seconds * rng.lognormvariate(0, kind.uneven) for _ in range(width)]
            size = Size(round(kind.cores.draw(rng), 1), round(kind.memory.draw(rng)))
            apart = kind.lasting and rng.random() < kind.apart
            steps.append(
                Step(
                    width,
                    size,
                    int(seconds * 1000 * off),
                    (number - 1,) if number else (),
                    checkpointing=kind.filling,
                    max_per_worker=2 if apart else 0,
                    lasting=kind.lasting,
                    image=image if kind.images > 1 else "",
                    target_ms=int(4.5 * QUIET_MS) if kind.lasting else 0,
                    filling=kind.filling,
                )
            )
            runs_s.append(times)
        job_id = f"{len(self.asked):016x}"
        job = Job(job_id, kind.queue.name, SERVICE, "", tuple(steps), int(self.now * 1000))
        work = sum(sum(times) * step.size.cores for step, times in zip(steps, runs_s, strict=True))
        if kind.lasting:
            work = sum(step.width * step.size.cores for step in steps)
        return Asked(job, kind, self.now, runs_s, work)

    def _hand_in(self, kind: Kind) -> Asked:
        asked = self._draw(kind)
        self.asked[asked.job.id] = asked
        if kind.lasting:
            asked.leaves_at = self.now + kind.stay.draw(self.rng)
        step, cells = widest_step(asked.job), tuple(self.cells)
        cell = max(
            (name for name in self.cells if not self.cells[name].closed),
            key=lambda name: rate_cell(
                self.loads[name].get(SERVICE, Load()), step, name, cells, self.sent.get(name, 0.0)
            ),
        )
        self.sent[cell] = self.sent.get(cell, 0.0) + step.width * step.size.cores
        progress = Progress(cell)
        self.rows[asked.job.id] = progress.encode(), 1
        self.cells[cell].adopt(asked.job, progress, 1, self.now, False)
        return asked

    def _rate(self, kind: Kind, at: float) -> float:
        rate = kind.rate * (1 + 0.15 * math.sin(at * 2 * math.pi / 11))
        for queue, factor, start, stop in self.plan.bursts:
            if queue == kind.queue.name and start <= at < stop:
                rate *= factor
        return rate

    def _arrive(self) -> None:
        at = self.now - self.began
        if at >= self.plan.seconds:
            return
        for kind in self.kinds:
            if self.rng.random() < self._rate(kind, at) * STEP_S:
                self._hand_in(kind)

    def _hold_before(self) -> None:
        """Hand in the lasting jobs that are there at the beginning."""
        total = sum(worker.host.size.cores for worker in self.workers.values())
        for kind in self.kinds:
            held = 0.0
            while held < kind.held * total:
                held += self._hand_in(kind).work

    # Workers

    def _start(self, core: Dispatcher, order: StartTask) -> None:
        worker, asked = self.workers[order.worker], self.asked[order.task.job]
        step = asked.job.steps[order.task.step]
        if not step.reserved.fits(worker.free()):
            core.on_start_result(order, StartResult.NO_ROOM, self.now)
            return
        saved_s = float(order.checkpoint or 0)
        whole_s = asked.runs_s[order.task.step][order.task.number]
        left_s = math.inf if step.lasting else whole_s - saved_s + (RESTORE_S if saved_s else 0)
        worker.acts[order.task] = _Act(order, step, left_s, self.now, saved_s)
        core.on_start_result(order, StartResult.STARTED, self.now)

    def _stop(self, core: Dispatcher, order: StopTask) -> None:
        worker = self.workers[order.worker]
        act = worker.acts.get(order.task)
        if act is not None and act.order.run == order.run:
            worker.end(act, EndKind.STOPPED)
        core.on_stop_answered(order, self.now)

    def _carry_out(self, core: Dispatcher) -> None:
        while core.orders:
            match core.orders.popleft():
                case StartTask() as order:
                    self._start(core, order)
                case StopTask() as order:
                    self._stop(core, order)
                case PaceTask() as order:
                    act = self.workers[order.worker].acts.get(order.task)
                    if act is not None:
                        act.pace = order.percent / 100

    def _look(self, worker: _Worker) -> None:
        core = self.cells[worker.cell]
        if not worker.ends and self.now - worker.looked_at < LOOK_S - 1e-9:
            return
        worker.looked_at = self.now
        snapshot = Snapshot(int(self.now * 1000), 1, worker.listed(self.now), worker.ends)
        worker.ends = []
        core.on_snapshot(core.members[worker.host.name], snapshot, self.now, self.now)

    # Rows

    def _record(self, core: Dispatcher) -> None:
        for tracked in list(core.dirty.values()):
            del core.dirty[tracked.job.id]
            value, version = self.rows[tracked.job.id]
            if version != tracked.version:
                core.refresh(tracked.job.id, decode_progress(value), version, self.now)
                core.dirty[tracked.job.id] = tracked
                continue
            value, version = tracked.progress.encode(), version + 1
            self.rows[tracked.job.id] = value, version
            committed = decode_progress(value)
            tracked.progress.confirm(committed)
            core.note_recorded(tracked, tracked.change, version)
            if committed.phase.is_final:
                asked = self.asked[tracked.job.id]
                asked.done_at = min(asked.done_at, self.now)
            for name in other_cells(committed, core.cell):
                self._tell(self.cells[name], tracked.job, value, version)

    def _tell(self, core: Dispatcher, job: Job, value: bytes, version: int) -> None:
        progress = decode_progress(value)
        if job.id in core.tracked:
            core.refresh(job.id, progress, version, self.now)
        elif has_tasks_in(progress, core.cell):
            core.adopt(job, progress, version, self.now, False)

    # Time

    def _tell_loads(self) -> None:
        if self.now - self._told_at < TELL_S:
            return
        self._told_at = self.now
        self.sent.clear()
        for name, core in self.cells.items():
            self.loads[name] = core.load(self.now)
            for other in self.cells.values():
                if other is not core:
                    other.interference.import_rows(core.interference.export_rows())

    def _leave(self) -> None:
        for asked in self.asked.values():
            if asked.kind.lasting and asked.leaves_at <= self.now < asked.done_at:
                asked.done_at = self.now
                for core in self.cells.values():
                    tracked = core.tracked.get(asked.job.id)
                    if tracked is not None:
                        progress = decode_progress(self.rows[asked.job.id][0])
                        progress.phase = type(progress.phase).CANCELLED
                        version = self.rows[asked.job.id][1] + 1
                        self.rows[asked.job.id] = progress.encode(), version
                        core.refresh(asked.job.id, progress, version, self.now)

    def _count(self) -> None:
        """Count what lasting jobs get, and what waiting tasks wait for."""
        at_work = Counter(
            task.job
            for worker in self.workers.values()
            for task, act in worker.acts.items()
            if act.step.lasting
        )
        for asked in self.asked.values():
            if asked.kind.lasting and self.now < asked.done_at and self.now > asked.at + 1:
                asked.wanted_s += STEP_S
                asked.at_work_s += STEP_S * at_work[asked.job.id] / asked.job.steps[0].width

    def _count_waits(self) -> None:
        for core in self.cells.values():
            usable = [member for member in core.members.values() if member.is_usable(self.now)]
            for tracked in core.tracked.values():
                for batch in tracked.batches.values():
                    if batch.waiting:
                        why = "out" if core.closed else _waits_for(batch, usable, core, self.now)
                        waits = self.asked[tracked.job.id].waits
                        waits[why] += SAMPLE_S * len(batch.waiting)

    def step(self) -> None:
        """Let a step's time pass."""
        at = self.now - self.began
        self.cells["c"].closed = self.plan.out[0] <= at < self.plan.out[1]
        self._tell_loads()
        self._arrive()
        self._leave()
        for worker in self.workers.values():
            worker.advance(self.now, self.weights)
            self._look(worker)
        for name, core in self.cells.items():
            core.tick(self.now)
            rooms = [
                CellLoads(other, {} if self.cells[other].closed else loads)
                for other, loads in self.loads.items()
                if other != name
            ]
            self.balances[name].move_stranded(core, rooms, self.now)
            core.plan(self.now)
            self._carry_out(core)
            self._record(core)
        self._count()
        if self.now >= self._sampled_at + SAMPLE_S:
            self._sampled_at = self.now
            self._count_waits()
        self.now += STEP_S

    def run(self) -> "Simulation":
        """Run to the end and classify the jobs by size."""
        self._tell_loads()
        for worker in self.workers.values():
            self._look(worker)
        self._hold_before()
        for _ in range(int((self.plan.seconds + self.plan.drain_s) / STEP_S)):
            self.step()
        for kind in self.kinds:
            jobs = [asked for asked in self.asked.values() if asked.kind is kind]
            largest = heapq.nlargest(max(1, 3 * len(jobs) // 10), jobs, lambda each: each.work)
            for place, asked in enumerate(largest):
                asked.size = "tenth" if place < len(jobs) / 10 else "fifth"
        return self

    def tally(self, queue: str, size: str = "") -> Tally:
        """Sum up a queue, or a size of it."""
        jobs = [
            asked
            for asked in self.asked.values()
            if asked.kind.queue.name == queue and size in ("", asked.size)
        ]
        return Tally(
            len(jobs), sum(each.served for each in jobs), sum(each.in_time for each in jobs)
        )

    def waits(self, queue: str, size: str) -> dict[str, int]:
        """Sum up in task-seconds what the tasks of a queue's size waited for."""
        found: Counter[str] = Counter()
        for asked in self.asked.values():
            if asked.kind.queue.name == queue and asked.size == size:
                found.update(asked.waits)
        return {why: round(seconds) for why, seconds in found.most_common()}

    def worth(self, queue: str) -> float:
        """Give the part of a queue's worth that was earned; worth grows with a job's work."""
        jobs = [each for each in self.asked.values() if each.kind.queue.name == queue]
        mean = sum(each.work for each in jobs) / len(jobs)
        owed = earned = 0.0
        for each in jobs:
            value = min(4.0, 0.3 + 0.7 * each.work / mean)
            owed += value
            earned += value * max(each.in_time, LATE_VALUE * each.served)
        return earned / owed
