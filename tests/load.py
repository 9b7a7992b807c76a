"""Simulated load on three cells: which share of the jobs of each queue and size is served."""

import heapq
import math
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from curranthall.cells.balance import Balancer, CellLoads, WorkerKind, group_kinds
from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.fleet import Member
from curranthall.cells.load import Load, rate_cell, widest_step
from curranthall.cells.options import NO_OPTIONS, Options
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
from curranthall.cells.tracking import Batch, Bounds
from curranthall.dag import Job, Progress, Queue, Step, TaskId
from curranthall.dag.progress import decode_progress
from curranthall.model import Host, HostState, Size

SERVICE = "desk"
STEP_S = 0.1
# Workers send snapshots at this interval, and at once when a run ends.
SNAPSHOT_INTERVAL_S = 0.5
# Interval at which cells exchange their loads and interference.
LOAD_INTERVAL_S = 0.8
# Interval at which wait reasons are sampled.
WAIT_SAMPLE_S = 0.5
CHECKPOINT_S = 1.0
RESTORE_S = 0.6
# A late job has LATE_VALUE of its value up to this many times its objective.
LATE_FACTOR = 3.0
LATE_VALUE = 0.15
UNLOADED_TAIL_MS = 4.0
# Classes of a queue's jobs by work: the largest tenth, the next fifth, and the rest.
SIZES = ("rest", "fifth", "tenth")


class Lognormal(NamedTuple):
    """A lognormal distribution with an upper bound; `sigma` is that of the logarithm."""

    mean: float
    sigma: float
    maximum: float

    def draw(self, rng: random.Random) -> float:
        """Draw a value."""
        if not self.sigma:
            return self.mean
        shift = math.log(self.mean) - self.sigma**2 / 2
        return min(self.maximum, rng.lognormvariate(shift, self.sigma))


class JobProfile(NamedTuple):
    """The distribution of one queue's jobs; `rate` is in jobs per second."""

    queue: Queue
    rate: float
    steps: Lognormal
    width: Lognormal
    cores: Lognormal
    seconds: Lognormal
    memory: Lognormal
    runtime_sigma: float = 0.3
    estimate_error: float = 0.5
    images: int = 1
    lasting: bool = False
    filling: bool = False
    # Also tasks that are not filling save checkpoints.
    checkpointing: bool = False
    # Share of the workers' cores that lasting jobs hold at the start.
    initial_share: float = 0.0
    lifetime_s: Lognormal = Lognormal(70, 0.5, 210)
    # Share of lasting jobs with at most two tasks on a worker.
    limited_share: float = 0.0


PROOFS = JobProfile(
    Queue("proofs", SERVICE, 0, 2, 1.5, 250),
    2.84,
    Lognormal(1.6, 0.4, 4),
    Lognormal(6, 0.8, 36),
    Lognormal(4.1, 0.45, 12),
    Lognormal(0.8, 0.5, 2),
    Lognormal(8_200, 0.3, 16_000),
)
BATCHES = JobProfile(
    Queue("batches", SERVICE, 2, 2, 2.0, 1_000),
    3.39,
    Lognormal(2, 0.4, 5),
    Lognormal(8, 0.6, 32),
    Lognormal(7, 0.3, 14),
    Lognormal(1.7, 0.5, 4.3),
    Lognormal(13_000, 0.3, 26_000),
    images=9,
    filling=True,
)
WATCHES = JobProfile(
    Queue("watches", SERVICE, 0, 2, 2.2, 2_500),
    0.103,
    Lognormal(1, 0, 1),
    Lognormal(6, 0.4, 12),
    Lognormal(13, 0.25, 20),
    Lognormal(0.5, 0.5, 1.2),
    Lognormal(26_000, 0.3, 51_000),
    runtime_sigma=0.15,
    estimate_error=0.9,
    images=5,
    lasting=True,
    initial_share=0.37,
    limited_share=0.5,
)
PROFILES = (PROOFS, BATCHES, WATCHES)
# Urgent tasks of 12 cores on average, up to 36, beside lasting ones on most cores of large cells.
LARGE_PROOFS = PROOFS._replace(
    rate=4.2,
    width=Lognormal(9.4, 0.8, 56),
    cores=Lognormal(12, 0.45, 36),
    memory=Lognormal(24_000, 0.3, 48_000),
)
MANY_WATCHES = WATCHES._replace(
    rate=0.175, width=Lognormal(24, 0.4, 48), images=16, initial_share=0.82
)


class Plan(NamedTuple):
    """Parameters of a simulation; `bursts` are (queue, rate factor, start, end)."""

    seconds: float = 40.0
    drain_s: float = 14.0
    bursts: tuple[tuple[str, float, float, float], ...] = ()
    # Start and end of the time in which one cell starts nothing.
    outage: tuple[float, float] = (1e9, 1e9)
    workers: int = 8
    cores: float = 64.0
    # One worker in this many is slower, by this factor.
    slow: tuple[int, float] = (0, 1.0)
    options: Options = NO_OPTIONS
    # Time until a stopped run is over.
    stop_s: float = 0.0


@dataclass(slots=True, eq=False)
class SimJob:
    """A submitted job and its outcome; `times_s` are true run times by step and task."""

    job: Job
    profile: JobProfile
    arrived_at: float
    times_s: list[list[float]]
    work: float
    cancel_at: float = math.inf
    done_at: float = math.inf
    size: str = "rest"
    running_s: float = 0.0
    wanted_s: float = 0.0
    # Samples of its waiting tasks, by reason.
    waits: Counter[str] = field(default_factory=Counter)

    @property
    def objective_s(self) -> float:
        """Return the time within which the job should complete."""
        queue, chain_s = self.profile.queue, sum(max(times) for times in self.times_s)
        return queue.stretch * chain_s + queue.objective_ms / 1000

    @property
    def served(self) -> float:
        """Return 1 for a job that earned any value; for a lasting job, the running share."""
        if self.profile.lasting:
            return self.running_s / self.wanted_s if self.wanted_s else 0.0
        return float(self.done_at - self.arrived_at <= LATE_FACTOR * self.objective_s)

    @property
    def in_time(self) -> float:
        """Return 1 for a job that met its objective; for a lasting job, the running share."""
        if self.profile.lasting:
            return self.served
        return float(self.done_at - self.arrived_at <= self.objective_s)


@dataclass(slots=True, eq=False)
class _SimRun:
    """A run on a worker."""

    order: StartTask
    step: Step
    left_s: float
    started_at: float
    done_s: float = 0.0
    pace: float = 1.0
    used_cores: float = 0.0
    tail_ms: float = 0.0
    stop_at: float = math.inf


@dataclass(slots=True, eq=False)
class _Worker:
    """A simulated worker; filling tasks raise the tail latency of lasting tasks."""

    host: Host
    cell: str
    slowdown: float
    runs: dict[TaskId, _SimRun] = field(default_factory=dict)
    ends: list[Ending] = field(default_factory=list)
    end_count: int = 0
    snapshot_at: float = -1.0
    phase: float = 0.0

    def compute_free(self) -> Size:
        room = self.host.size
        for run in self.runs.values():
            room = room.minus(run.step.reserved)
        return room

    def end(self, run: _SimRun, kind: EndKind) -> None:
        self.runs.pop(run.order.task)
        self.end_count += 1
        checkpoint = (
            f"{int(run.done_s / CHECKPOINT_S) * CHECKPOINT_S}" if run.step.checkpointing else ""
        )
        checkpoint = checkpoint if kind is not EndKind.DONE else ""
        self.ends.append(Ending(self.end_count, run.order.task, run.order.run, kind, checkpoint))

    def end_stopped(self, now: float) -> None:
        """End the runs whose stop takes effect by now."""
        for run in list(self.runs.values()):
            if now >= run.stop_at:
                self.end(run, EndKind.STOPPED)

    def advance(self, now: float, weights: dict[tuple[str, str], float]) -> None:
        """Advance all runs by one time step; filling tasks share the cores left by the others."""
        cores = self.host.size.cores
        lasting_load = 0.42 * (1 + 0.5 * math.sin(self.phase + now * 2 * math.pi / 12))
        serving = [run for run in self.runs.values() if run.step.lasting]
        filling = [run for run in self.runs.values() if run.step.filling]
        used = sum(
            run.step.size.cores * (lasting_load if run.step.lasting else 1)
            for run in self.runs.values()
            if not run.step.filling
        )
        demand = sum(run.step.size.cores * run.pace for run in filling)
        share = min(1.0, max(0.0, cores - used) / demand) if demand else 1.0
        for run in serving:
            interference = sum(
                weights[run.step.image, other.step.image] * other.used_cores / cores
                for other in filling
            )
            load = min(0.98, lasting_load + interference)
            run.tail_ms = UNLOADED_TAIL_MS / (1 - load)
        for run in list(self.runs.values()):
            if run.step.lasting:
                continue
            pace = (run.pace * share if run.step.filling else 1.0) / self.slowdown
            run.used_cores = run.step.size.cores * pace
            run.left_s -= STEP_S * pace
            run.done_s += STEP_S * pace
            if run.left_s <= 1e-9:
                self.end(run, EndKind.DONE)

    def list_runs(self, now: float) -> list[ListedRun]:
        listed = []
        for run in self.runs.values():
            done = run.done_s + (now - run.started_at if run.step.lasting else 0.0)
            percent = 100.0 if run.step.lasting else 100 * done / (run.done_s + run.left_s)
            checkpoint = f"{int(run.done_s)}" if run.step.checkpointing and run.done_s >= 1 else ""
            gauge = run.tail_ms if run.step.lasting else 1000 * run.used_cores
            listed.append(ListedRun(run.order.task, run.order.run, checkpoint, percent, gauge))
        return listed


def _wait_reason(batch: Batch, usable: list[Member], dispatcher: Dispatcher, now: float) -> str:
    """Return why a batch's next task waits, given the room after planning."""
    known = dispatcher.interference
    request = PlacementRequest(SERVICE, batch.step, batch.siblings(), interference=known, now=now)
    unlimited = request._replace(max_load_share=math.inf)
    if choose_worker(request, usable) is not None:
        return "turn"
    if choose_worker(unlimited, usable) is not None:
        return "strain"
    if choose_worker(unlimited._replace(ignore_idle_cores=True), usable) is not None:
        return "idle cores"
    if choose_worker(unlimited._replace(siblings={}, ignore_idle_cores=True), usable) is not None:
        return "apart"
    free_cores = sum(member.room.cores for member in usable)
    return "fragments" if free_cores >= 2 * batch.step.size.cores else "room"


class Tally(NamedTuple):
    """Counts of all jobs of a queue and size, those served, and those in time."""

    jobs: int = 0
    served: float = 0.0
    in_time: float = 0.0

    @property
    def share(self) -> float:
        """Return the served share."""
        return self.served / self.jobs if self.jobs else 1.0


class Simulation:
    """A simulation of load on three cells."""

    def __init__(self, seed: int, plan: Plan, profiles: tuple[JobProfile, ...] = PROFILES) -> None:
        self.rng, self.plan, self.profiles = random.Random(seed), plan, profiles
        self.now = 100.0
        self.started_at = self.now
        self.cells: dict[str, Dispatcher] = {}
        self.workers: dict[str, _Worker] = {}
        self.jobs: dict[str, SimJob] = {}
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.loads: dict[str, dict[str, Load]] = {}
        self.sent_cores: dict[str, float] = {}
        self.balancers: dict[str, Balancer] = {}
        self._exchanged_at = -1.0
        self._kinds: dict[str, Counter[WorkerKind]] = {}
        self._sampled_at = self.now
        self._next: list[tuple[float, int]] = []
        queues = {profile.queue.name: profile.queue for profile in profiles}
        for epoch, cell in enumerate("abc", 1):
            dispatcher = Dispatcher(
                cell,
                epoch,
                Bounds(),
                lambda job: queues[job.queue],
                lambda: self.now * 1000,
                plan.options,
            )
            self.cells[cell], self.balancers[cell] = dispatcher, Balancer()
            for number in range(plan.workers):
                self._add_worker(cell, number)
        # A quarter of the image pairs interfere strongly, the others hardly.
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
        interval, factor = self.plan.slow
        slow = bool(interval) and number % interval == interval - 1
        self.workers[name] = _Worker(
            host, cell, factor if slow else 1.0, phase=self.rng.uniform(0, 6.28)
        )
        self.cells[cell].update_host(host)

    # Jobs

    def _draw_job(self, profile: JobProfile) -> SimJob:
        rng = self.rng
        steps, times_s = [], []
        image = f"{profile.queue.name}-{rng.randrange(profile.images)}"
        for number in range(max(1, round(profile.steps.draw(rng)))):
            width, seconds = max(1, round(profile.width.draw(rng))), profile.seconds.draw(rng)
            estimate_factor = 1 + rng.uniform(-profile.estimate_error, profile.estimate_error)
            times = [seconds * rng.lognormvariate(0, profile.runtime_sigma) for _ in range(width)]
            size = Size(round(profile.cores.draw(rng), 1), round(profile.memory.draw(rng)))
            limited = profile.lasting and rng.random() < profile.limited_share
            steps.append(
                Step(
                    width,
                    size,
                    int(seconds * 1000 * estimate_factor),
                    (number - 1,) if number else (),
                    checkpointing=profile.filling or profile.checkpointing,
                    max_per_worker=2 if limited else 0,
                    lasting=profile.lasting,
                    image=image if profile.images > 1 else "",
                    target_ms=int(4.5 * UNLOADED_TAIL_MS) if profile.lasting else 0,
                    filling=profile.filling,
                )
            )
            times_s.append(times)
        job_id = f"{len(self.jobs):016x}"
        job = Job(job_id, profile.queue.name, SERVICE, "", tuple(steps), int(self.now * 1000))
        work = sum(sum(times) * step.size.cores for step, times in zip(steps, times_s, strict=True))
        if profile.lasting:
            work = sum(step.width * step.size.cores for step in steps)
        return SimJob(job, profile, self.now, times_s, work)

    def _submit(self, profile: JobProfile) -> SimJob:
        sim_job = self._draw_job(profile)
        self.jobs[sim_job.job.id] = sim_job
        if profile.lasting:
            sim_job.cancel_at = self.now + profile.lifetime_s.draw(self.rng)
        step, cells = widest_step(sim_job.job), tuple(self.cells)
        cell = max(
            (name for name in self.cells if not self.cells[name].closed),
            key=lambda name: rate_cell(
                self.loads[name].get(SERVICE, Load()),
                step,
                name,
                cells,
                self.sent_cores.get(name, 0.0),
            ),
        )
        self.sent_cores[cell] = self.sent_cores.get(cell, 0.0) + step.width * step.size.cores
        progress = Progress(cell, claims={cell: self.cells[cell].epoch})
        self.rows[sim_job.job.id] = progress.encode(), 1
        self.cells[cell].adopt(sim_job.job, progress, 1, self.now)
        return sim_job

    def _arrival_rate(self, profile: JobProfile, at: float) -> float:
        rate = profile.rate * (1 + 0.15 * math.sin(at * 2 * math.pi / 11))
        for queue, factor, start, stop in self.plan.bursts:
            if queue == profile.queue.name and start <= at < stop:
                rate *= factor
        return rate

    def _submit_arrivals(self) -> None:
        at = self.now - self.started_at
        if at >= self.plan.seconds:
            return
        for profile in self.profiles:
            if self.rng.random() < self._arrival_rate(profile, at) * STEP_S:
                self._submit(profile)

    def _submit_initial_jobs(self) -> None:
        """Submit the lasting jobs that are present at the start."""
        total = sum(worker.host.size.cores for worker in self.workers.values())
        for profile in self.profiles:
            held_cores = 0.0
            while held_cores < profile.initial_share * total:
                held_cores += self._submit(profile).work

    # Workers

    def _start(self, dispatcher: Dispatcher, order: StartTask) -> None:
        worker, sim_job = self.workers[order.worker], self.jobs[order.task.job]
        step = sim_job.job.steps[order.task.step]
        if not step.reserved.fits(worker.compute_free()):
            dispatcher.on_start_result(order, StartResult.NO_ROOM, self.now)
            return
        saved_s = float(order.checkpoint or 0)
        total_s = sim_job.times_s[order.task.step][order.task.number]
        left_s = math.inf if step.lasting else total_s - saved_s + (RESTORE_S if saved_s else 0)
        worker.runs[order.task] = _SimRun(order, step, left_s, self.now, saved_s)
        dispatcher.on_start_result(order, StartResult.STARTED, self.now)

    def _stop(self, dispatcher: Dispatcher, order: StopTask) -> None:
        worker = self.workers[order.worker]
        run = worker.runs.get(order.task)
        if run is not None and run.order.run == order.run:
            run.stop_at = min(run.stop_at, self.now + self.plan.stop_s)
            worker.end_stopped(self.now)
        dispatcher.on_stop_answered(order, self.now)

    def _execute_orders(self, dispatcher: Dispatcher) -> None:
        while dispatcher.orders:
            match dispatcher.orders.popleft():
                case StartTask() as order:
                    self._start(dispatcher, order)
                case StopTask() as order:
                    self._stop(dispatcher, order)
                case PaceTask() as order:
                    run = self.workers[order.worker].runs.get(order.task)
                    if run is not None:
                        run.pace = order.percent / 100

    def _send_snapshot(self, worker: _Worker) -> None:
        dispatcher = self.cells[worker.cell]
        if not worker.ends and self.now - worker.snapshot_at < SNAPSHOT_INTERVAL_S - 1e-9:
            return
        worker.snapshot_at = self.now
        snapshot = Snapshot(int(self.now * 1000), 1, worker.list_runs(self.now), worker.ends)
        worker.ends = []
        member = dispatcher.members[worker.host.name]
        dispatcher.on_snapshot(member, snapshot, self.now, self.now, member.token)

    # Rows

    def _commit_rows(self, dispatcher: Dispatcher) -> None:
        for tracked in list(dispatcher.dirty.values()):
            del dispatcher.dirty[tracked.job.id]
            value, version = self.rows[tracked.job.id]
            if version != tracked.version:
                dispatcher.refresh(tracked.job.id, decode_progress(value), version, self.now)
                dispatcher.dirty[tracked.job.id] = tracked
                continue
            value, version = tracked.progress.encode(), version + 1
            self.rows[tracked.job.id] = value, version
            committed = decode_progress(value)
            tracked.progress.confirm(committed)
            dispatcher.note_recorded(tracked, tracked.change, version)
            if committed.phase.is_final:
                sim_job = self.jobs[tracked.job.id]
                sim_job.done_at = min(sim_job.done_at, self.now)
            for name in other_cells(committed, dispatcher.cell):
                self._notify_cell(self.cells[name], tracked.job, value, version)

    def _notify_cell(self, dispatcher: Dispatcher, job: Job, value: bytes, version: int) -> None:
        progress = decode_progress(value)
        if job.id in dispatcher.tracked:
            dispatcher.refresh(job.id, progress, version, self.now)
        elif has_tasks_in(progress, dispatcher.cell):
            dispatcher.adopt(job, progress, version, self.now)

    # Time

    def _exchange_loads(self) -> None:
        if self.now - self._exchanged_at < LOAD_INTERVAL_S:
            return
        self._exchanged_at = self.now
        self.sent_cores.clear()
        self._kinds = group_kinds(worker.host for worker in self.workers.values())
        for name, dispatcher in self.cells.items():
            self.loads[name] = dispatcher.load(self.now)
            for other in self.cells.values():
                if other is not dispatcher:
                    other.interference.import_rows(dispatcher.interference.export_rows())

    def _list_loads(self, name: str) -> list[CellLoads]:
        """Return the loads of the other cells as a cell has read them."""
        return [
            CellLoads(
                other,
                {} if self.cells[other].closed else loads,
                self.cells[other].epoch,
                self._kinds.get(other),
            )
            for other, loads in self.loads.items()
            if other != name
        ]

    def _cancel_lasting_jobs(self) -> None:
        for sim_job in self.jobs.values():
            if sim_job.profile.lasting and sim_job.cancel_at <= self.now < sim_job.done_at:
                sim_job.done_at = self.now
                for dispatcher in self.cells.values():
                    tracked = dispatcher.tracked.get(sim_job.job.id)
                    if tracked is not None:
                        progress = decode_progress(self.rows[sim_job.job.id][0])
                        progress.phase = type(progress.phase).CANCELLED
                        version = self.rows[sim_job.job.id][1] + 1
                        self.rows[sim_job.job.id] = progress.encode(), version
                        dispatcher.refresh(sim_job.job.id, progress, version, self.now)

    def _count_running_time(self) -> None:
        """Add to the running time of lasting jobs."""
        running = Counter(
            task.job
            for worker in self.workers.values()
            for task, run in worker.runs.items()
            if run.step.lasting
        )
        for sim_job in self.jobs.values():
            if (
                sim_job.profile.lasting
                and self.now < sim_job.done_at
                and self.now > sim_job.arrived_at + 1
            ):
                sim_job.wanted_s += STEP_S
                sim_job.running_s += STEP_S * running[sim_job.job.id] / sim_job.job.steps[0].width

    def _count_waits(self) -> None:
        for dispatcher in self.cells.values():
            usable = [
                member for member in dispatcher.members.values() if member.is_usable(self.now)
            ]
            for tracked in dispatcher.tracked.values():
                for batch in tracked.batches.values():
                    if batch.waiting:
                        why = (
                            "out"
                            if dispatcher.closed
                            else _wait_reason(batch, usable, dispatcher, self.now)
                        )
                        waits = self.jobs[tracked.job.id].waits
                        waits[why] += len(batch.waiting)

    def step(self) -> None:
        """Advance the simulation by one time step."""
        at = self.now - self.started_at
        self.cells["c"].closed = self.plan.outage[0] <= at < self.plan.outage[1]
        self._exchange_loads()
        self._submit_arrivals()
        self._cancel_lasting_jobs()
        for worker in self.workers.values():
            worker.advance(self.now, self.weights)
            worker.end_stopped(self.now)
            self._send_snapshot(worker)
        for name, dispatcher in self.cells.items():
            dispatcher.tick(self.now, self.now)
            self.balancers[name].move_stranded(dispatcher, self._list_loads(name), self.now)
            dispatcher.plan(self.now)
            self._execute_orders(dispatcher)
            self._commit_rows(dispatcher)
        self._count_running_time()
        if self.now >= self._sampled_at + WAIT_SAMPLE_S:
            self._sampled_at = self.now
            self._count_waits()
        self.now += STEP_S

    def run(self) -> "Simulation":
        """Run to the end and classify the jobs by size."""
        self._exchange_loads()
        for worker in self.workers.values():
            self._send_snapshot(worker)
        for dispatcher in self.cells.values():
            dispatcher.confirm_roster(dispatcher.boot_ids())
        self._submit_initial_jobs()
        for _ in range(int((self.plan.seconds + self.plan.drain_s) / STEP_S)):
            self.step()
        for profile in self.profiles:
            jobs = [sim_job for sim_job in self.jobs.values() if sim_job.profile is profile]
            largest = heapq.nlargest(max(1, 3 * len(jobs) // 10), jobs, lambda each: each.work)
            for rank, sim_job in enumerate(largest):
                sim_job.size = "tenth" if rank < len(jobs) / 10 else "fifth"
        return self

    def tally(self, queue: str, size: str = "") -> Tally:
        """Count the jobs of a queue, or of one size class of it."""
        jobs = [
            sim_job
            for sim_job in self.jobs.values()
            if sim_job.profile.queue.name == queue and size in ("", sim_job.size)
        ]
        return Tally(
            len(jobs), sum(each.served for each in jobs), sum(each.in_time for each in jobs)
        )

    def sum_waits(self, queue: str, size: str) -> dict[str, int]:
        """Sum the waits of a queue's size class in task-seconds by reason."""
        reasons: Counter[str] = Counter()
        for sim_job in self.jobs.values():
            if sim_job.profile.queue.name == queue and sim_job.size == size:
                reasons.update(sim_job.waits)
        return {why: round(WAIT_SAMPLE_S * count) for why, count in reasons.most_common()}

    def earned_share(self, queue: str) -> float:
        """Return the earned share of a queue's value; a job's value grows with its work."""
        jobs = [each for each in self.jobs.values() if each.profile.queue.name == queue]
        mean = sum(each.work for each in jobs) / len(jobs)
        total = earned = 0.0
        for each in jobs:
            value = min(4.0, 0.3 + 0.7 * each.work / mean)
            total += value
            earned += value * max(each.in_time, LATE_VALUE * each.served)
        return earned / total
