"""Lasting tasks start in time beside room, whatever happens to workers and holders meanwhile."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from curranthall.cells.load import count_slots
from curranthall.cells.owner import LEASE_SLACK_S, ORDER_LIMIT_S, RENEW_S
from curranthall.dag import Job, Step, TaskId
from curranthall.errors import CurranthallError
from curranthall.intake import Verdict
from curranthall.model import HostState, Size
from tests.cluster import SERVICE, Cluster, now
from tests.virtual import run

STEP_S = 0.05
# The platform's bounds: from this long after its last run, a lasting task is not without a run for
# LIMIT_S on end beside room for two like it. Nothing counts for CALM_S after a disturbance.
LAPSE_S = 6.0
LIMIT_S = 3.0
CALM_S = 4.0
# How long a worker serves after its announcement.
EXIT_S = 4.0
# What a new holder needs to load, claim and start the tasks, once nothing may run them.
START_S = 1.0


class RoomJudge:
    """Reports lasting tasks that are without a run for LIMIT_S on end beside room for two."""

    def __init__(self, cluster: Cluster) -> None:
        self.broken: list[str] = []
        self._cluster = cluster
        self._calm_from = now()
        # By accepted task, when it was accepted, and since when it has waited beside room.
        self._accepted: dict[TaskId, float] = {}
        self._beside: dict[TaskId, float] = {}
        self._reported: set[TaskId] = set()
        self._stepper = asyncio.ensure_future(self._step_until_closed())

    def accept(self, job: Job) -> None:
        """Watch the lasting tasks of an accepted job."""
        for number, step in enumerate(job.steps):
            for index in range(step.width if step.lasting else 0):
                self._accepted[TaskId(job.id, 0, number, index)] = now()

    def drop(self, job: Job) -> None:
        """Forget a job's tasks before it is cancelled."""
        self._accepted = {task: at for task, at in self._accepted.items() if task.job != job.id}

    def disturb(self) -> None:
        """Record a disturbance."""
        self._calm_from = now() + CALM_S

    def close(self) -> None:
        """Stop watching."""
        self._stepper.cancel()

    async def _step_until_closed(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            self._step()

    def _step(self) -> None:
        judge, rooms, beside = self._cluster.judge, self._rooms(), {}
        for task in self._accepted:
            step = judge.jobs[task.job].steps[task.step]
            large = [room.cores for room in rooms if room.memory >= step.size.memory]
            if judge.at_work.get(task) or now() < self._due(task) or count_slots(step, large) < 2:
                continue
            since = beside[task] = self._beside.get(task, now())
            if now() - since >= LIMIT_S and task not in self._reported:
                self._reported.add(task)
                self.broken.append(f"{now():.3f} waits beside room since {since:.3f}: {task}")
        self._beside = beside

    def _due(self, task: TaskId) -> float:
        """Return from when a wait counts."""
        ended_at = self._cluster.judge.run_ended_at.get(task)
        expected_at = self._accepted[task] if ended_at is None else ended_at + LAPSE_S
        return max(expected_at, self._calm_from)

    def _rooms(self) -> list[Size]:
        cluster = self._cluster
        return [
            host.size.minus(cluster.runners[name].total_reserved())
            for name, host in cluster.hosts().items()
            if name in cluster.runners
            and host.state is HostState.LIVE
            and host.domain not in cluster.evacuated
        ]


def count_cores(job: Job) -> float:
    """Return the cores that a job's tasks request together."""
    return sum(step.width * step.size.cores for step in job.steps)


class Play:
    """Three cells with lasting jobs that come and go, and short and filling ones."""

    # Shares and rates of the load, relative to the cores.
    LASTING_SHARE = 0.65
    SHORT_JOBS = 1 / 24
    FILLING_JOBS = 1 / 48

    def __init__(self, seed: int, workers: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = Cluster(seed, entries=2, workers=workers)
        self.judge = RoomJudge(self.cluster)
        self._cores = sum(each.host.size.cores for each in self.cluster.runners.values())
        self._lasting: list[Job] = []
        self._added = 0
        self._load: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the cells and the load."""
        self.cluster.start()
        await asyncio.sleep(3)
        await self._fill_up()
        await asyncio.sleep(1)
        loops = self._replace_lasting(), self._submit_short(), self._submit_filling()
        self._load = [asyncio.ensure_future(each) for each in loops]
        await asyncio.sleep(3)

    def close(self) -> list[str]:
        """End the play; return what was broken."""
        for each in self._load:
            each.cancel()
        self.judge.close()
        self.cluster.close()
        return self.cluster.judge.broken + self.judge.broken

    def _entry(self) -> str:
        """Return a random entry that runs and does not shut down."""
        found = [
            name
            for name, entry in self.cluster.entries.items()
            if not (entry.dead or entry.succession._leaving)
        ]
        return self.rng.choice(sorted(found))

    async def _submit(self, step: Step, seconds: float = 1.0) -> Job:
        self._added += 1
        job = Job(f"{self._added:016x}", "q", SERVICE, "spec", (step,), int(now() * 1000))
        self.cluster.work[job.id] = seconds
        try:
            if await self.cluster.submit(self._entry(), job) is Verdict.ACCEPTED:
                self.judge.accept(job)
        except CurranthallError:
            pass
        return job

    def _size(self, least: float, most: float) -> Size:
        return Size(round(self.rng.uniform(least, most), 1), 1_000)

    async def _fill_up(self) -> None:
        """Submit lasting jobs until they hold their share of the cores."""
        while sum(map(count_cores, self._lasting)) < self.LASTING_SHARE * self._cores:
            width = self.rng.randint(1, 5)
            step = Step(width, self._size(0.8, 4.5), 1_000, lasting=True)
            self._lasting.append(await self._submit(step))

    async def _replace_lasting(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(1, 5))
            job = self._lasting.pop(self.rng.randrange(len(self._lasting)))
            self.judge.drop(job)
            try:
                await self.cluster.entries[self._entry()].intake.cancel(job.id, 2.0)
            except CurranthallError:
                continue
            await self._fill_up()

    async def _submit_short(self) -> None:
        rng = self.rng
        while True:
            await asyncio.sleep(rng.expovariate(self.SHORT_JOBS * self._cores))
            step = Step(rng.randint(1, 5), self._size(0.5, 4.0), 500)
            asyncio.ensure_future(self._submit(step, rng.uniform(0.1, 1.0)))

    async def _submit_filling(self) -> None:
        rng = self.rng
        while True:
            await asyncio.sleep(rng.expovariate(self.FILLING_JOBS * self._cores))
            step = Step(
                rng.randint(2, 8),
                self._size(1.0, 4.0),
                1_000,
                checkpointing=True,
                image="fill",
                filling=True,
            )
            asyncio.ensure_future(self._submit(step, rng.uniform(0.5, 4.0)))

    # Disturbances

    def busiest(self, cell: str) -> str:
        """Return the cell's worker with the most lasting runs."""

        def count_lasting(name: str) -> int:
            runs = self.cluster.runners[name].running.values()
            return sum(each.work.step.lasting for each in runs)

        names = sorted(name for name in self.cluster.runners if name[0] == cell)
        return max(names, key=count_lasting)

    def crash(self, name: str) -> None:
        """Crash a worker for good."""
        self.judge.disturb()
        self.cluster.crash_worker(name)

    async def shut_down(self, cell: str) -> None:
        """Shut the cell's holder down and start it again."""
        holder = self.cluster.holder(cell)
        if holder is not None:
            await self.cluster.entries[holder].succession.leave()
            self.cluster.kill(holder)
            await asyncio.sleep(0.5)
            self.cluster.restart(holder)

    async def kill(self, cell: str) -> None:
        """Kill the cell's holder and start it again."""
        holder = self.cluster.holder(cell)
        if holder is not None:
            self.judge.disturb()
            self.cluster.kill(holder)
            await asyncio.sleep(0.5)
            self.cluster.restart(holder)
            self.judge.disturb()

    async def leave(self, name: str) -> None:
        """Let a worker announce its shutdown, and exit."""
        self.cluster.announce(name, EXIT_S)
        await asyncio.sleep(EXIT_S)
        self.cluster.crash_worker(name)

    def quarantine_all(self) -> None:
        """Let all holders suspect all workers."""
        for entry in self.cluster.entries.values():
            for runtime in entry.succession.held.values():
                for member in runtime.dispatcher.members.values():
                    member.quarantine(now())


Scene = Callable[[Play], Coroutine[Any, Any, None]]


class BesideRoom(unittest.TestCase):
    """Lasting tasks beside short and filling ones, in cells of several sizes."""

    SIZES = (1, 3)

    def check(self, scene: Scene, sizes: tuple[int, ...] = SIZES, seconds: float = 10.0) -> None:
        """Play a scene, then `seconds` more; check that no lasting task waits beside room."""

        async def main(workers: int) -> list[str]:
            play = Play(1, workers)
            await play.start()
            await scene(play)
            await asyncio.sleep(seconds)
            return play.close()

        for workers in sizes:
            with self.subTest(workers=workers):
                self.assertEqual(run(main(workers)), [])

    def test_a_worker_is_lost(self) -> None:
        async def scene(play: Play) -> None:
            play.crash(play.busiest("a"))

        self.check(scene, (1, 3, 16))

    def test_a_worker_of_a_cell_that_is_taken_out_is_lost(self) -> None:
        async def scene(play: Play) -> None:
            play.cluster.evacuated = frozenset("a")
            await asyncio.sleep(1)
            play.crash(play.busiest("a"))

        self.check(scene)

    def test_a_worker_is_lost_and_its_holders_shut_down_in_turn(self) -> None:
        async def scene(play: Play) -> None:
            play.crash(play.busiest("a"))
            for _ in range(2):
                await asyncio.sleep(1.5)
                await play.shut_down("a")

        self.check(scene)

    def test_a_worker_is_lost_and_its_holders_are_killed_in_turn(self) -> None:
        async def scene(play: Play) -> None:
            play.crash(play.busiest("a"))
            for _ in range(2):
                await asyncio.sleep(1.5)
                await play.kill("a")

        self.check(scene, seconds=18.0)

    def test_a_worker_leaves_while_its_holder_shuts_down(self) -> None:
        async def scene(play: Play) -> None:
            leaving = asyncio.ensure_future(play.leave(play.busiest("a")))
            await asyncio.sleep(1)
            await play.shut_down("a")
            await leaving

        self.check(scene)

    def test_all_workers_are_suspected(self) -> None:
        async def scene(play: Play) -> None:
            play.crash(play.busiest("a"))
            for _ in range(30):
                play.quarantine_all()
                await asyncio.sleep(0.4)

        self.check(scene, seconds=1.0)


class VanishedCells(unittest.TestCase):
    """All workers of a cell are gone for good; its tasks have room in the other cells."""

    def play(self, lose: Callable[[Cluster], Awaitable[None]], listed_s: float = 0.0) -> float:
        """Let a cell lose all its workers; return for how long its lasting tasks don't run."""

        async def main() -> float:
            cluster = Cluster(entries=2, workers=2)
            cluster.listed_after_crash_s = listed_s
            cluster.evacuated = frozenset("bc")
            cluster.start()
            await asyncio.sleep(3)
            lasting = Step(3, Size(2, 1_000), 1_000, lasting=True)
            job = Job(f"{1:016x}", "q", SERVICE, "spec", (lasting,), int(now() * 1000))
            self.assertIs(await cluster.submit("a-e0", job), Verdict.ACCEPTED)
            await asyncio.sleep(2)
            cluster.evacuated = frozenset()
            await asyncio.sleep(1)
            for name in ("a-w0", "a-w1"):
                cluster.crash_worker(name)
            ended_at = now()
            await lose(cluster)
            while sum(len(each.running) for each in cluster.runners.values()) < lasting.width:
                if now() - ended_at > 30:
                    break
                await asyncio.sleep(STEP_S)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])
            return now() - ended_at

        waited_s: float = run(main())
        return waited_s

    async def shut_down(self, cluster: Cluster) -> None:
        """Shut down the cell's holder."""
        holder = cluster.holder("a")
        assert holder is not None
        await cluster.entries[holder].succession.leave()
        cluster.kill(holder)

    async def kill(self, cluster: Cluster) -> None:
        """Kill the cell's holder."""
        holder = cluster.holder("a")
        assert holder is not None
        cluster.kill(holder)

    async def kill_later(self, cluster: Cluster) -> None:
        """Kill the cell's holder once it has stored the lease ends of its lost workers."""
        await asyncio.sleep(2.0)
        await self.kill(cluster)

    async def wait(self, cluster: Cluster) -> None:
        """Leave the cell's holder alone."""

    def test_a_cell_without_workers_whose_holder_shuts_down_is_taken(self) -> None:
        self.assertLess(self.play(self.shut_down), LAPSE_S + LIMIT_S)

    def test_a_cell_without_workers_whose_holder_is_killed_is_taken(self) -> None:
        self.assertLess(self.play(self.kill), ORDER_LIMIT_S + LEASE_SLACK_S + RENEW_S + START_S)

    def test_a_cell_without_workers_is_taken_once_their_stored_lease_ends_are_over(self) -> None:
        self.assertLess(self.play(self.kill_later), LAPSE_S + LIMIT_S)

    def test_a_cell_whose_workers_are_lost_together_is_taken_once_they_are_not_listed(self) -> None:
        self.assertLess(self.play(self.wait, listed_s=4.0), LAPSE_S + LIMIT_S)


if __name__ == "__main__":
    unittest.main()
