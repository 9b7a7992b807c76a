"""Random simulations in which runs are stopped for urgent tasks and holders are lost meanwhile.

`python -m tests.takeover FIRST COUNT preemption` simulates COUNT seeds; with `preempted-copies`
slow runs also get copies, some runs fail, and holders restart in turn.
"""

import asyncio
import random

from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.fleet import RunState
from curranthall.cells.options import Options
from curranthall.dag import Job, Phase, Queue, Step
from curranthall.model import Size
from tests.cluster import SERVICE, Cluster, now
from tests.takeover import Copies, Overload

OPTIONS = Options(preemption=True, deadline_order=True)
LOW = Queue("low", SERVICE, 2, 3, 3.0, 60_000)
# Tasks of one core: three times as many as all cores.
LOW_JOBS, LOW_WIDTH = 12, 24
LOW_SECONDS = 10.0
# Numbers of the urgent jobs; `Overload` uses lower ones for those that it adds.
NUMBERS = range(500, 559)
# The time in which all jobs are done once the faults are over.
DONE_S = 60.0
POLL_S = 0.01


class Preempting(Overload):
    """An overload of two priorities in which a holder is lost right after it stopped runs."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        random.seed(seed)
        self.cluster = Cluster(seed, entries=2, workers=4, options=OPTIONS, queues=(LOW,))
        # Seen stops of runs of low priority.
        self.stops = 0

    async def run(self) -> list[str]:
        """Run the simulation; return the broken rules."""
        cluster = self.cluster
        cluster.start()
        await asyncio.sleep(3)
        for number in range(LOW_JOBS):
            step = Step(LOW_WIDTH, Size(1, 1_000), int(LOW_SECONDS * 1000), checkpointing=True)
            job = Job(f"{1000 + number:016x}", "low", SERVICE, "spec", (step,), int(now() * 1000))
            cluster.work[job.id] = LOW_SECONDS
            await cluster.submit(self.rng.choice(sorted(cluster.entries)), job)
            self.accepted.append(job)
        await asyncio.sleep(2)
        callers = [asyncio.ensure_future(self._submit_later(number)) for number in NUMBERS]
        losses = [asyncio.ensure_future(self._lose_preempting()) for _ in range(2)]
        await asyncio.gather(self._faults(), *callers)
        for loss in losses:
            loss.cancel()
        self._end_faults()
        cluster.cuts, cluster.apply_late, cluster.late_holds = set(), 0.0, 0.0
        for name in list(cluster.frozen):
            cluster.thaw(name)
        await cluster.until(self._are_done, DONE_S)
        self._check_done()
        cluster.close()
        return cluster.judge.broken

    def _random_steps(self) -> tuple[Step, ...]:
        return (Step(self.rng.randint(1, 3), Size(1, 1_000), 1_000),)

    async def _lose_preempting(self) -> None:
        """Lose the holder of a cell, or answers to stops, as soon as it has stopped runs."""
        rng, cluster = self.rng, self.cluster
        while True:
            await asyncio.sleep(POLL_S)
            name = next(filter(self._preempts, sorted(cluster.entries)), None)
            if name is None:
                continue
            self.stops += 1
            await asyncio.sleep(rng.choice((0.0, 0.0, rng.uniform(0.0, 1.0))))
            seconds = rng.uniform(0.3, 6.0)
            match rng.randrange(4):
                case 0:
                    cluster.kill(name)
                    await asyncio.sleep(seconds)
                    cluster.restart(name)
                case 1:
                    cluster.freeze(name)
                    await asyncio.sleep(seconds)
                    cluster.thaw(name)
                case 2:
                    await self._cut({frozenset((name, "store"))}, seconds)
                case 3:
                    # Stops are executed seconds later, so that their ends come late.
                    cluster.apply_late = 0.5
                    await asyncio.sleep(seconds)
                    cluster.apply_late = 0.0
            await asyncio.sleep(rng.uniform(0.5, 3.0))

    def _preempts(self, name: str) -> bool:
        entry = self.cluster.entries[name]
        if entry.dead or name in self.cluster.frozen:
            return False
        return any(_has_stopped(each.dispatcher) for each in entry.succession.held.values())

    async def _are_done(self) -> bool:
        found = [self.cluster.find_progress(job.id) for job in self.accepted]
        return all(row is None or row.phase is Phase.COMPLETED for row in found)

    def _check_done(self) -> None:
        """Report accepted jobs that are not done, and a simulation without any stop."""
        broken = self.cluster.judge.broken
        for job in self.accepted:
            progress = self.cluster.find_progress(job.id)
            if progress is not None and progress.phase is not Phase.COMPLETED:
                broken.append(f"not done: {job.id} of {job.queue}")
        if not self.stops:
            broken.append("no run was stopped for an urgent task")


class PreemptedCopies(Copies, Preempting):
    """The same with copies of slow runs, failures, cancelled jobs and orderly restarts."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        options = OPTIONS._replace(copies=True)
        cluster = Cluster(seed, entries=2, workers=4, options=options, queues=(LOW,))
        cluster.slow_share, cluster.fail_share = 0.15, 0.1
        self.cluster = cluster

    async def _are_done(self) -> bool:
        found = [self.cluster.find_progress(job.id) for job in self.accepted]
        return all(row is None or row.phase.is_final for row in found)

    def _check_done(self) -> None:
        """Leave the ends to `Copies`: a job may fail or be cancelled here."""
        if not self.stops:
            self.cluster.judge.broken.append("no run was stopped for an urgent task")


def _has_stopped(dispatcher: Dispatcher) -> bool:
    """Return whether a cell's holder is stopping a run of low priority."""
    return any(
        run.state is RunState.STOPPING and run.step.checkpointing
        for member in dispatcher.members.values()
        for run in member.runs.values()
    )
