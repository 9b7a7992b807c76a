"""Entries, workers and a store in virtual time, with injected faults and invariant checks."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from curranthall.catalogue import Catalogue, Operations, Route
from curranthall.cells.advice import Advice
from curranthall.cells.options import NO_OPTIONS, Options
from curranthall.cells.owner import CELL_PART, CELL_TABLE, Claimant, Owner, decode_owner
from curranthall.cells.ports import (
    AskAdvice,
    EndKind,
    PaceTask,
    Snapshot,
    StartAnswer,
    StartResult,
    StartTask,
    StopTask,
)
from curranthall.cells.records import PROGRESS_TABLE, decode_progress_row, part_of
from curranthall.cells.succession import Environment, Succession
from curranthall.cells.tracking import Bounds
from curranthall.dag import Job, Phase, Progress, Queue, TaskId
from curranthall.errors import (
    AnswerLost,
    ConnectFailed,
    CurranthallError,
    OtherBoot,
    PeerUnreachable,
    PlatformDown,
)
from curranthall.intake import Intake, Verdict
from curranthall.model import Host, HostState, Size
from curranthall.standin.runner import Runner, Work
from curranthall.standin.store import MemoryStore
from curranthall.store import Check, Committed, Drop, Listing, Put, Stale

# What a worker's boot does when it executes a call.
Effect = Callable[[Runner], Awaitable[object]]

SERVICE = "desk"
NET_S = 0.001
TIMEOUT_S = 0.6
# How long a caller waits for a submit.
WAIT_S = 2.0
# Range of the delay of orders and lease extensions that arrive late.
LATE_S = (2.0, 6.0)
# Longest time in which connection attempts to a worker are retried.
RETRY_S = 2.0
STEP_S = 0.05
# The platform's bound on runs of a cancelled job: time to learn of the cancel, then to stop.
CANCEL_S = 3.9
# The platform's bounds: an end that a worker lists counts as acknowledged after LISTED_S if no
# fault was active within CALM_S of the listing.
LISTED_S = 0.1
CALM_S = 5.0
# A poison task crashes its worker this long after its start; the worker is back after a pause.
CRASH_S = 0.01
REBOOT_S = 3.0
# The platform's bound on starts of a task after its end as done, if the step allows copies.
COPY_LATE_S = 1.0
# A slow run takes this multiple of its usual time.
SLOW_FACTOR = 7.0
# The platform's bound: a poison task starts less often than this once as many workers crashed.
MAX_CRASHES = 3


async def no_advice(order: AskAdvice) -> Advice:
    """Fail like an unreachable advisor."""
    raise ConnectFailed(peer="advisor", why="none here")


def now() -> float:
    """Return the virtual time in seconds."""
    return asyncio.get_running_loop().time()


class Judge:
    """Checks invariants at every start and end of a run on the workers."""

    def __init__(
        self, find_progress: Callable[[str], Progress | None] = lambda job_id: None
    ) -> None:
        self.find_progress = find_progress
        self.broken: list[str] = []
        self.at_work: dict[TaskId, set[tuple[str, int]]] = {}
        self.done: dict[tuple[TaskId, int], float] = {}
        self.acked: dict[TaskId, float] = {}
        # When a task of a step with copies was first seen as done in its row, and its failed runs.
        self.recorded: dict[TaskId, float] = {}
        self.failed: dict[TaskId, set[int]] = {}
        # When a worker first listed an end as done, while no fault was near.
        self.listed: dict[TaskId, float] = {}
        self.fault_at = -CALM_S
        self.last_start: dict[TaskId, float] = {}
        # By task, the worker to which a start was last sent and when, and when a run last ended.
        self.sent: dict[TaskId, tuple[str, float]] = {}
        self.run_ended_at: dict[TaskId, float] = {}
        self.cancelled: dict[str, float] = {}
        self.jobs: dict[str, Job] = {}
        self.starts = 0
        # Starts of tasks that had a run, as steps with copies allow.
        self.copies = 0
        # By poison task, workers that it crashed, and its starts since there were MAX_CRASHES.
        self.crashes: Counter[TaskId] = Counter()
        self.starts_after: Counter[TaskId] = Counter()

    def note(self, what: str, task: TaskId, run: int, worker: str) -> None:
        """Process a start, an end or its acknowledgement."""
        at_work = self.at_work.setdefault(task, set())
        match what:
            case "start":
                self._on_start(task, run, worker)
                at_work.add((worker, run))
            case "acked done":
                self.acked.setdefault(task, now())
                if self.last_start.get(task, 0) > self.done[task, run] + self._late_s(task, 0.0):
                    self._report(
                        "started after an end that was acknowledged later", task, run, worker
                    )
            case "done":
                self.done[task, run] = now()
                self._on_end(task, run, worker)
            case "failed" | "stopped" | "lapsed" | "broken" | "alone":
                self._on_end(task, run, worker)
                if what == "failed":
                    self.failed.setdefault(task, set()).add(run)

    def note_sent(self, task: TaskId, worker: str) -> None:
        """Record that a holder sends a start, whether it arrives or not."""
        self.sent[task] = (worker, now())

    def note_fault(self) -> None:
        """Record that a fault is active; listings near it don't count."""
        self.fault_at = now()
        self.listed = {task: at for task, at in self.listed.items() if now() - at >= CALM_S}

    def note_listed(self, runner: Runner, snapshot: Snapshot) -> None:
        """Process a worker's answer, whether its caller receives it or not."""
        if now() - self.fault_at < CALM_S:
            return
        for end in snapshot.ended:
            if end.kind is EndKind.DONE and end.number > runner.lapsed_to:
                self.listed.setdefault(end.task, now())

    def _on_start(self, task: TaskId, run: int, worker: str) -> None:
        self.starts += 1
        self.copies += bool(self.at_work[task])
        self.last_start[task] = now()
        if self.crashes[task] >= MAX_CRASHES:
            self.starts_after[task] += 1
            if self.starts_after[task] == MAX_CRASHES:
                self._report("started too often after crashes", task, run, worker)
        at_work = self.at_work[task]
        if len(at_work) > self._has_copies(task):
            self._report("two runs at once", task, at_work, worker)
        if now() - self.acked.get(task, now()) >= self._late_s(task, 0.0) and task in self.acked:
            self._report("started after an acknowledged end", task, run, worker)
        elif now() - self.listed.get(task, now()) > self._late_s(task, LISTED_S):
            self._report("started after a listed end", task, run, worker)
        elif now() - self.recorded.get(task, now()) > COPY_LATE_S:
            self._report("started after a recorded end", task, run, worker)
        job = self.jobs.get(task.job)
        if job is None:
            self._report("started without being submitted", task, run, worker)
            return
        ended = {each for each, _ in self.done}
        for before in job.steps[task.step].after:
            for number in range(job.steps[before].width):
                if TaskId(task.job, task.occurrence, before, number) not in ended:
                    self._report("started before its dependencies ended", task, before, worker)
        progress = self.find_progress(task.job)
        if job.steps[task.step].records_starts and progress is not None:
            place = (progress.places or {}).get(task[1:])
            if not progress.phase.is_final and (place is None or place.run < run):
                self._report("started before its row told where", task, run, worker)
        if task.job in self.cancelled and now() > self.cancelled[task.job] + CANCEL_S:
            self._report("started after the cancel", task, self.cancelled[task.job], worker)

    def _has_copies(self, task: TaskId) -> bool:
        job = self.jobs.get(task.job)
        return job is not None and job.steps[task.step].copies

    def _late_s(self, task: TaskId, seconds: float) -> float:
        """Return how long after an end a task may start: longer than `seconds` with copies."""
        return COPY_LATE_S if self._has_copies(task) else seconds

    def note_crash(self, worker: str, runner: Runner) -> None:
        """Drop a crashed worker's runs; its unacknowledged ends are lost."""
        for task, run in runner.running.items():
            self._on_end(task, run.order.run, worker)

    def _on_end(self, task: TaskId, run: int, worker: str) -> None:
        at_work = self.at_work[task]
        if (worker, run) in at_work:
            at_work.discard((worker, run))
            self.run_ended_at[task] = now()

    def _report(self, rule: str, task: TaskId, seen: object, worker: str) -> None:
        self.broken.append(f"{now():.3f} {rule}: {task} on {worker}, {seen}")


class Cluster:
    """Three failure domains with entries and workers; `cuts` has the pairs of names cut apart."""

    def __init__(
        self,
        seed: int = 1,
        entries: int = 2,
        workers: int = 3,
        options: Options = NO_OPTIONS,
        queues: tuple[Queue, ...] = (),
    ) -> None:
        self.rng = random.Random(seed)
        self.options = options
        self.store = MemoryStore(now)
        self.judge = Judge(self.find_progress)
        self.store_down = False
        self.lose_answers = 0.0
        self.apply_late = 0.0
        self.late_holds = 0.0
        # Whether late holds also acknowledge ends.
        self.late_cursors = True
        # Share of calls to a worker out of reach that it executes if it is back within RETRY_S.
        self.retried_calls = 0.0
        # By verb and worker, calls without an answer that wait for `execute`.
        self.withheld: dict[tuple[str, str], list[Effect]] = {}
        self.cuts: set[frozenset[str]] = set()
        # Entries whose commits fail while their reads succeed.
        self.read_only: set[str] = set()
        # Entries for which the store part with the owner rows is down.
        self.cell_rows_down: set[str] = set()
        # Pairs of an entry and a part of the store that is away for it.
        self.parts_away: set[tuple[str, str]] = set()
        # Extra delay of messages to other entries, by sender.
        self.send_delay_s: dict[str, float] = {}
        # Extra duration of each commit.
        self.commit_delay_s = 0.0
        # Extra duration of each listing of rows, after they were read.
        self.scan_delay_s = 0.0
        # Pairs of an entry and a worker whose holds are executed, but answered too late for the
        # entry, as when the entry is short of processor time: no fault of the platform.
        self.missed_holds: set[tuple[str, str]] = set()
        # Workers that have announced their shutdown, and when those that told it will exit.
        self.leaving: set[str] = set()
        self.exits_at: dict[str, float] = {}
        # How long the platform lists a crashed worker, and when each crashed.
        self.listed_after_crash_s = 0.0
        self.ghosts: dict[str, tuple[float, Host]] = {}
        # Workers that run, but are missing from the platform's list.
        self.unlisted: set[str] = set()
        # Paused entries: they send nothing, and answers to them wait.
        self.frozen: dict[str, asyncio.Event] = {}
        self.crashed: dict[str, asyncio.Event] = {}
        self.dead: set[str] = set()
        self.domains = ("a", "b", "c")
        queue = Queue("q", SERVICE, 0, 3, 3.0, 2_000)
        routes = [Route("h", f"/{each.name}/", each) for each in (queue, *queues)]
        self.catalogue = Catalogue(1, tuple(routes), frozenset((SERVICE,)))
        # Tasks whose runs fail.
        self.failing: set[TaskId] = set()
        self.evacuated: frozenset[str] = frozenset()
        self.work: dict[str, float] = {}
        # Shares of the runs of steps with copies that take 7 times as long, and that fail.
        self.slow_share = self.fail_share = 0.0
        self.runners: dict[str, Runner] = {}
        self.entries: dict[str, Entry] = {}
        self.gone: set[str] = set()
        # Tasks that crash the workers that start them, and whether these return as other workers.
        self.poison: set[TaskId] = set()
        self.reboots_as_other = True
        self.lost_runs = 0
        for domain in self.domains:
            for number in range(workers):
                self.add_worker(f"{domain}-w{number}", domain)
            for number in range(entries):
                name = f"{domain}-e{number}"
                self.entries[name] = Entry(self, name, domain)
        self._stepper = asyncio.ensure_future(self._step_workers())

    def add_worker(self, name: str, domain: str, cores: float = 8) -> None:
        """Boot a worker."""
        size = Size(cores, 64_000)
        rack = f"{domain}-r1"
        host = Host(name, domain, rack, name, size, 8, 0, HostState.LIVE, SERVICE, ("k", rack))
        self.runners[name] = Runner(host, now, self._work, self.judge.note)
        self.crashed[name] = asyncio.Event()

    def crash_worker(self, name: str, reborn: bool = False) -> None:
        """Crash a worker; its address then times out, or answers as another boot."""
        self.judge.note_fault()
        runner = self.runners.pop(name)
        self.ghosts[name] = now(), self._list(runner.host)
        self.leaving.discard(name)
        self.crashed[name].set()
        self.judge.note_crash(name, runner)
        if reborn:
            self.gone.add(name)

    def withhold(self, verb: str, worker: str) -> list[Effect]:
        """Return a list that takes a worker's further calls of a kind instead of the worker."""
        return self.withheld.setdefault((verb, worker), [])

    async def execute(self, worker: str, effect: Effect) -> None:
        """Let a worker's present boot, if any, execute a call whose answer is lost."""
        try:
            if worker in self.runners:
                await effect(self.runners[worker])
        except CurranthallError:
            pass

    def announce(self, name: str, left_s: float) -> None:
        """Let a worker announce that it exits in `left_s`."""
        self.leaving.add(name)
        self.exits_at[name] = now() + left_s

    async def poison_worker(self, name: str, task: TaskId) -> None:
        """Crash the worker that has just started a poison task; boot it again after a pause."""
        await asyncio.sleep(CRASH_S)
        if name not in self.runners:
            return
        self.judge.crashes[task] += 1
        self.lost_runs += len(self.runners[name].running) - 1
        self.crash_worker(name)
        await asyncio.sleep(REBOOT_S)
        self.reboot(name)

    def reboot(self, name: str) -> None:
        """Boot a crashed worker again, under its id or as another one at its address."""
        if not self.reboots_as_other:
            self.add_worker(name, name[0])
            return
        self.gone.add(name)
        stem, _, boot = name.partition("+")
        self.add_worker(f"{stem}+{int(boot or 0) + 1}", name[0])

    def hosts(self) -> dict[str, Host]:
        """Return the workers by name."""
        ghosts = {
            name: host
            for name, (at, host) in self.ghosts.items()
            if now() - at < self.listed_after_crash_s
        }
        return ghosts | {
            name: self._list(runner.host)
            for name, runner in self.runners.items()
            if name not in self.unlisted
        }

    def _list(self, host: Host) -> Host:
        return self._leave(host) if host.name in self.leaving else host

    def _leave(self, host: Host) -> Host:
        left_ms = int(1000 * max(0.0, self.exits_at.get(host.name, 0.0) - now()))
        return host._replace(state=HostState.LEAVING, remaining_ms=left_ms)

    def open(self, one: str, other: str) -> bool:
        """Return whether two names reach each other; the first letter of a name is its domain."""
        names = {one, one[0]}, {other, other[0]}
        pairs = {frozenset((x, y)) for x in names[0] for y in names[1]}
        return not pairs & self.cuts

    def start(self) -> None:
        """Start all entries."""
        for entry in self.entries.values():
            entry.start()

    def kill(self, name: str) -> None:
        """Kill an entry's process; the entries that reach it lose their links to it at once."""
        self.judge.note_fault()
        self.entries[name].kill()
        for entry in self.entries.values():
            if self.open(entry.name, name):
                entry.lost[name] = now()

    def restart(self, name: str) -> None:
        """Start an entry's process again."""
        self.entries[name] = Entry(self, name, name[0])
        self.entries[name].start()

    def freeze(self, name: str) -> None:
        """Pause an entry's process."""
        self.frozen.setdefault(name, asyncio.Event())

    def thaw(self, name: str) -> None:
        """Resume a paused process."""
        event = self.frozen.pop(name, None)
        if event is not None:
            event.set()

    async def thawed(self, name: str) -> None:
        """Wait until an entry is not paused."""
        while name in self.frozen:
            await self.frozen[name].wait()

    def holder(self, cell: str) -> str | None:
        """Return the first live entry that believes it holds a cell."""
        for name, entry in self.entries.items():
            if not entry.dead and cell in entry.succession.held:
                return name
        return None

    async def owner(self, cell: str) -> Owner | None:
        """Return a cell's owner row as stored."""
        listing = await self.store.scan(CELL_TABLE, CELL_PART, cell, cell + "\0")
        return next((decode_owner(row.value) for row in listing.rows if row.value), None)

    def find_progress(self, job_id: str) -> Progress | None:
        """Return a job's progress as stored."""
        row = self.store.find(PROGRESS_TABLE, part_of(job_id), job_id)
        return decode_progress_row(row) if row is not None else None

    def close(self) -> None:
        """Stop the workers and kill all entries."""
        self._stepper.cancel()
        for entry in self.entries.values():
            entry.kill()

    def _is_disturbed(self) -> bool:
        """Return whether a fault of the platform or a process is active."""
        shares = self.lose_answers + self.apply_late + self.late_holds + self.commit_delay_s
        places = self.cuts or self.read_only or self.cell_rows_down or self.send_delay_s
        return bool(self.store_down or self.parts_away or shares or places or self.frozen)

    async def _step_workers(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            if self._is_disturbed():
                self.judge.note_fault()
            for runner in list(self.runners.values()):
                runner.step()
                if not Size(0, 0).fits(runner.host.size.minus(runner.total_reserved())):
                    self.judge.broken.append(f"over its size: {runner.host.name}")

    def _work(self, task: TaskId) -> Work:
        job = self.judge.jobs[task.job]
        seconds, fails = self.work.get(task.job, 1.0), task in self.failing
        if job.steps[task.step].copies and self.slow_share:
            seconds *= SLOW_FACTOR if self.rng.random() < self.slow_share else 1.0
            fails = fails or self.rng.random() < self.fail_share
        return Work(job.steps[task.step], seconds, fails)

    async def submit(self, entry: str, job: Job) -> Verdict:
        """Submit a job at an entry."""
        self.judge.jobs[job.id] = job
        return await self.entries[entry].intake.submit(job, WAIT_S)

    async def phase(self, entry: str, job_id: str) -> Phase | None:
        """Return a job's phase as an entry shows it."""
        return (await self.entries[entry].intake.phase(job_id)).phase

    async def until(self, condition: Callable[[], Awaitable[bool]], seconds: float) -> bool:
        """Poll a condition; return whether it became true in time."""
        limit = now() + seconds
        while now() < limit:
            try:
                if await condition():
                    return True
            except CurranthallError:
                pass
            await asyncio.sleep(0.1)
        return False


class Entry:
    """One entry's process."""

    def __init__(self, cluster: Cluster, name: str, domain: str) -> None:
        self.cluster = cluster
        self.name = name
        self.dead = False
        # When this process last lost its link to a killed one, by peer.
        self.lost: dict[str, float] = {}
        self.operations = Operations()
        self.operations.apply(cluster.catalogue)
        store = FaultyStore(cluster, self)
        incarnation = cluster.rng.getrandbits(40)
        me = Claimant(name, name, incarnation, domain, 1.0)
        env = Environment(
            store,
            lambda host: FaultyWorker(cluster, self, host),
            now,
            lambda: now() * 1000,
            self.operations.queue_of,
            cluster.hosts,
            lambda: cluster.evacuated,
            self.cast,
            self._reaches,
            lambda: None,
            no_advice,
            self.lost_at,
            self.operations.customers,
            self.operations.customer_of,
        )
        self.succession = Succession(me, cluster.domains, Bounds(), env, cluster.options)
        self.intake = Intake(
            self.succession,
            store,
            self,
            now,
            lambda: cluster.evacuated,
            self.operations.queue_of,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the loops."""
        self._tasks = [
            asyncio.ensure_future(self.succession.run()),
            asyncio.ensure_future(self._watch_hosts()),
        ]

    def kill(self) -> None:
        """Cancel all loops without releasing anything."""
        self.dead = True
        for task in self._tasks:
            task.cancel()
        self.succession.stop()

    async def _watch_hosts(self) -> None:
        while True:
            if self.operations.apply(self.cluster.catalogue):
                for runtime in self.succession.held.values():
                    runtime.dispatcher.reconfigure()
            self.succession.on_hosts(self.cluster.hosts())
            self.succession.on_evacuated(self.cluster.evacuated)
            await asyncio.sleep(0.3)

    async def _reaches(self, host: Host) -> bool:
        await asyncio.sleep(NET_S)
        return host.name in self.cluster.runners and self.cluster.open(self.name, host.name)

    def lost_at(self, peer: str) -> float:
        """Return when the last link to a peer was lost, -inf if none ever was."""
        return self.lost.get(peer, -float("inf"))

    def cast(self, peer: str, verb: str, body: Any) -> None:
        """Send a message to a peer without waiting for an answer."""
        asyncio.ensure_future(self._cast(peer, verb, body))

    async def _cast(self, peer: str, verb: str, body: Any) -> None:
        try:
            await self.call(peer, verb, body, TIMEOUT_S)
        except CurranthallError:
            pass

    async def call(self, peer: str, verb: str, body: Any, timeout: float) -> Any:
        """Call a peer and return its answer."""
        await self.cluster.thawed(self.name)
        await asyncio.sleep(NET_S + self.cluster.send_delay_s.get(self.name, 0.0))
        await self.cluster.thawed(peer)
        other = self.cluster.entries.get(peer)
        if other is None or other.dead or not self.cluster.open(self.name, peer):
            raise PeerUnreachable(peer=peer)
        answer = await other.intake.handle(self.name, verb, body)
        await self.cluster.thawed(self.name)
        return answer


class FaultyStore:
    """The store as seen by one entry, with injected faults."""

    def __init__(self, cluster: Cluster, entry: Entry) -> None:
        self._cluster = cluster
        self._entry = entry
        self.failing = False

    async def _reach(self) -> None:
        cluster = self._cluster
        await cluster.thawed(self._entry.name)
        await asyncio.sleep(NET_S * (1 + cluster.rng.random()))
        if cluster.store_down or not cluster.open(self._entry.name, "store"):
            await asyncio.sleep(TIMEOUT_S)
            self.failing = True
            raise PlatformDown(why="away")
        self.failing = False

    async def _reach_part(self, part: str) -> None:
        await self._reach()
        if (self._entry.name, part) in self._cluster.parts_away:
            await asyncio.sleep(TIMEOUT_S)
            raise PlatformDown(why="part away")

    def _is_down(self, part: str) -> bool:
        return part == CELL_PART and self._entry.name in self._cluster.cell_rows_down

    async def commit(
        self, part: str, checks: list[Check], puts: list[Put], drops: list[Drop]
    ) -> Committed | Stale:
        """Commit; at random, lose the answer or apply the transaction late."""
        await self._reach_part(part)
        cluster = self._cluster
        if self._entry.name in cluster.read_only or self._is_down(part):
            raise PlatformDown(why="refused")
        if cluster.rng.random() < cluster.lose_answers:
            if cluster.rng.random() < 0.5:
                delay = cluster.rng.uniform(0.5, 3.0)
                loop = asyncio.get_running_loop()
                loop.call_later(delay, cluster.store.apply, part, checks, puts, drops)
            else:
                cluster.store.apply(part, checks, puts, drops)
            await asyncio.sleep(TIMEOUT_S)
            raise AnswerLost(why="lost")
        answer = cluster.store.apply(part, checks, puts, drops)
        await asyncio.sleep(NET_S + cluster.commit_delay_s)
        await cluster.thawed(self._entry.name)
        return answer

    async def scan(self, table: str, part: str, start: str = "", end: str = "") -> Listing:
        """List rows, unless the store or the part is down."""
        await self._reach_part(part)
        if self._is_down(part):
            raise PlatformDown(why="refused")
        listing = await self._cluster.store.scan(table, part, start, end)
        await asyncio.sleep(NET_S + self._cluster.scan_delay_s)
        await self._cluster.thawed(self._entry.name)
        return listing

    async def feed(self, table: str, after: int, wait_ms: int) -> Listing:
        """Return changes, unless the store is down."""
        await self._reach()
        listing = await self._cluster.store.feed(table, after, wait_ms)
        await self._reach()
        return listing


class FaultyWorker:
    """A worker as seen by one entry, with injected faults."""

    def __init__(self, cluster: Cluster, entry: Entry, host: Host) -> None:
        self._cluster = cluster
        self._entry = entry
        self._name = host.name

    async def _reach(self, effect: Effect | None = None) -> Runner:
        """Return the worker's present boot; out of reach, the effect may take place later."""
        cluster = self._cluster
        await cluster.thawed(self._entry.name)
        await asyncio.sleep(NET_S * (1 + cluster.rng.random()))
        if self._name in cluster.gone:
            raise OtherBoot(worker=self._name)
        runner = cluster.runners.get(self._name)
        if runner is None or not cluster.open(self._entry.name, self._name):
            share = cluster.retried_calls if effect is not None else 0.0
            if effect is not None and share and cluster.rng.random() < share:
                asyncio.ensure_future(self._retry(effect))
            await asyncio.sleep(TIMEOUT_S)
            raise AnswerLost(peer=self._name)
        return runner

    async def _retry(self, effect: Effect) -> None:
        """Retry a connection for a while; the boot that is reached first executes the call."""
        cluster, until = self._cluster, now() + RETRY_S * self._cluster.rng.random()
        while now() < until:
            await asyncio.sleep(STEP_S * cluster.rng.random())
            if self._name in cluster.runners and cluster.open(self._entry.name, self._name):
                await cluster.execute(self._name, effect)
                return

    async def _delay(self, seconds: float, effect: Effect) -> None:
        await asyncio.sleep(seconds)
        await self._cluster.execute(self._name, effect)

    async def _maybe_late(self, verb: str, share: float, effect: Effect) -> None:
        """At random, lose the answer; the boot that runs seconds later executes the call."""
        cluster = self._cluster
        if (verb, self._name) in cluster.withheld:
            cluster.withheld[verb, self._name].append(effect)
        elif not share or cluster.rng.random() >= share:
            return
        else:
            asyncio.ensure_future(self._delay(cluster.rng.uniform(*LATE_S), effect))
        await asyncio.sleep(TIMEOUT_S)
        raise AnswerLost(peer=self._name, why="late")

    async def hold(self, token: int, cursor: int, lease_ms: int | None, wait_ms: int) -> Snapshot:
        """Hold; at random, lose the answer and extend the lease late."""

        async def hold(runner: Runner) -> None:
            late_cursor = cursor if self._cluster.late_cursors else 0
            await runner.hold(token, late_cursor, lease_ms, 0)

        runner = await self._reach(hold)
        await self._maybe_late("hold", self._cluster.late_holds, hold)
        snapshot = await self._await_unless_crashed(runner.hold(token, cursor, lease_ms, wait_ms))
        self._cluster.judge.note_listed(runner, snapshot)
        if (self._entry.name, self._name) in self._cluster.missed_holds:
            await asyncio.sleep(TIMEOUT_S)
            raise AnswerLost(peer=self._name, why="overload")
        await self._reach()
        return snapshot

    async def _await_unless_crashed(self, call: Coroutine[Any, Any, Snapshot]) -> Snapshot:
        """Await an answer; a crash of the worker closes the connection."""
        answer = asyncio.ensure_future(call)
        crash = asyncio.ensure_future(self._cluster.crashed[self._name].wait())
        try:
            await asyncio.wait({answer, crash}, return_when=asyncio.FIRST_COMPLETED)
            if not answer.done() or not self._cluster.open(self._entry.name, self._name):
                raise AnswerLost(peer=self._name)
            return answer.result()
        finally:
            answer.cancel()
            crash.cancel()

    async def start(self, token: int, order: StartTask) -> StartAnswer:
        """Start a run, at random late."""

        async def start(runner: Runner) -> StartAnswer:
            result = runner.start(token, order)
            if result is StartResult.STARTED and order.task in self._cluster.poison:
                asyncio.ensure_future(self._cluster.poison_worker(self._name, order.task))
            return StartAnswer(result, runner.clock_ms)

        self._cluster.judge.note_sent(order.task, self._name)
        runner = await self._reach(start)
        await self._maybe_late("start", self._cluster.apply_late, start)
        return await start(runner)

    async def stop(self, token: int, order: StopTask) -> None:
        """Stop a run, at random late."""

        async def stop(runner: Runner) -> None:
            runner.stop(token, order)

        runner = await self._reach(stop)
        await self._maybe_late("stop", self._cluster.apply_late, stop)
        await stop(runner)

    async def pace(self, token: int, order: PaceTask) -> None:
        """Throttle a run."""

        async def pace(runner: Runner) -> None:
            runner.pace(token, order)

        await pace(await self._reach(pace))

    def close(self) -> None:
        """Do nothing: there is no connection."""


__all__ = ["Cluster", "ConnectFailed", "Judge", "now"]
