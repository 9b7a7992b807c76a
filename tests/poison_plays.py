"""Random simulations of many poison tasks while holders are lost and jobs move between cells.

`python -m tests.poison_plays [FIRST [COUNT [KIND]]]` simulates COUNT seeds and prints the broken
rules; KIND is `many`, or `outages`, in which domains lose power as well.
"""

import asyncio
import random
import sys
from collections import Counter

from curranthall.dag import Job, Phase, Step, TaskId
from curranthall.model import Size
from tests.cluster import SERVICE, Cluster, now
from tests.virtual import run

JOBS = 24
FAULTS = 5
SHARES = (0.01, 0.03, 0.1, 0.3, 0.6)
# Time after the last fault until each poison task was started as often as it may.
SETTLE_S = 40.0


class Simulation:
    """One random simulation."""

    def __init__(self, seed: int, kind: str = "many") -> None:
        self.rng = random.Random(seed)
        self.cluster = Cluster(seed, entries=2, workers=self.rng.choice((4, 6)))
        self.cluster.reboots_as_other = self.rng.random() < 0.5
        self.share = self.rng.choice(SHARES)
        # Whether a job has one poison task, or a whole step of them.
        self.whole_steps = self.rng.random() < 0.25
        self.kind = kind
        self.accepted: list[Job] = []
        # Innocent jobs that failed.
        self.failed: list[str] = []

    async def run(self) -> list[str]:
        """Run the simulation; return the broken rules."""
        cluster = self.cluster
        cluster.start()
        await asyncio.sleep(3)
        callers = [self._submit_later(number) for number in range(1, JOBS + 1)]
        await asyncio.gather(self._faults(), *callers)
        cluster.evacuated = frozenset()
        for name, entry in list(cluster.entries.items()):
            if entry.dead:
                cluster.restart(name)
        await asyncio.sleep(SETTLE_S)
        harmful = {task.job for task in cluster.poison}
        for job in self.accepted:
            if job.id not in harmful and await cluster.phase("a-e0", job.id) is Phase.FAILED:
                self.failed.append(job.id)
        cluster.close()
        innocent = [f"an innocent job failed: {each}" for each in self.failed]
        return cluster.judge.broken + innocent

    def _random_steps(self) -> tuple[Step, ...]:
        rng = self.rng
        size = Size(rng.choice((1, 2)), 1_000)
        match rng.randrange(4):
            case 0:
                return (Step(rng.randint(1, 3), size, 1_000, lasting=True),)
            case 1:
                return (Step(rng.randint(4, 12), size, 1_000),)
            case _:
                return (Step(4, size, 1_000), Step(3, size, 1_000, after=(0,)))

    async def _submit_later(self, number: int) -> None:
        rng, cluster = self.rng, self.cluster
        await asyncio.sleep(rng.uniform(0, 12))
        job = Job(f"{number:016x}", "q", SERVICE, "spec", self._random_steps(), int(now() * 1000))
        cluster.work[job.id] = rng.choice((0.3, 0.6, 1.0, 3.0))
        if rng.random() < self.share:
            index = rng.randrange(len(job.steps))
            width = job.steps[index].width
            numbers = range(width) if self.whole_steps else (rng.randrange(width),)
            cluster.poison |= {TaskId(job.id, 0, index, each) for each in numbers}
        alive = [name for name, entry in cluster.entries.items() if not entry.dead]
        if alive:
            await cluster.submit(rng.choice(alive), job)
            self.accepted.append(job)

    async def _faults(self) -> None:
        for _ in range(FAULTS):
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            await self._fault()

    async def _fault(self) -> None:
        rng, cluster = self.rng, self.cluster
        cell = rng.choice(cluster.domains)
        holder = cluster.holder(cell) or f"{cell}-e0"
        match rng.randrange(4 if self.kind == "outages" else 3):
            case 0:
                cluster.kill(holder)
                await asyncio.sleep(rng.uniform(0.5, 4.0))
                if cluster.entries[holder].dead:
                    cluster.restart(holder)
            case 1:
                cluster.freeze(holder)
                await asyncio.sleep(rng.uniform(0.5, 6.0))
                cluster.thaw(holder)
            case 2:
                cluster.evacuated = frozenset((cell,))
                await asyncio.sleep(rng.uniform(1.0, 5.0))
                cluster.evacuated = frozenset()
            case 3:
                names = [name for name in cluster.runners if name[0] == cell]
                for name in names:
                    cluster.crash_worker(name)
                await asyncio.sleep(3)
                for name in names:
                    cluster.reboot(name)


async def play(seed: int, kind: str) -> list[str]:
    """Run one simulation; return the broken rules."""
    return await Simulation(seed, kind).run()


def main(first: int, count: int, kind: str) -> int:
    """Run simulations and print the broken rules; return how many have any."""
    bad, found = 0, Counter[str]()
    for seed in range(first, first + count):
        broken = run(play(seed, kind))
        bad += bool(broken)
        found.update({line.split(": ")[0].split(" ", 1)[-1] for line in broken})
        if broken:
            print(seed, *broken[:5], sep="\n  ", flush=True)
    print(f"{kind} {first} to {first + count - 1}: {bad} of {count} broke a rule: {dict(found)}")
    return bad


if __name__ == "__main__":
    FIRST = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    COUNT = int(sys.argv[2]) if len(sys.argv) > 2 else 100
    sys.exit(bool(main(FIRST, COUNT, sys.argv[3] if len(sys.argv) > 3 else "many")))
