"""Random simulations of takeovers in which the former holder is unaware of its successor.

`python -m tests.takeover [FIRST [COUNT [KIND]]]` simulates COUNT seeds and prints the broken rules;
KIND is `takeover`, `restarts`, `overload`, `departure`, `lasting`, `series`, `parts`, `gangs`,
`reborn`, `quota`, `preemption`, `early`, `copies`, `overloaded-copies` or `no-copies` (for
comparison).
"""

import asyncio
import functools
import random
import sys
from collections.abc import Callable

from curranthall.cells.options import Options
from curranthall.cells.records import JOB_TABLE, PARTS, PROGRESS_TABLE, part_of
from curranthall.dag import Job, Phase, Progress, Step, TaskId
from curranthall.errors import CurranthallError
from curranthall.intake import Verdict
from curranthall.model import Size
from curranthall.store import Put
from tests.cluster import CALM_S, SERVICE, Cluster, now
from tests.gang_judge import GangJudge
from tests.lease_judge import LeaseJudge
from tests.virtual import run
from tests.waits import WaitJudge

JOBS = 24
FAULTS = 6
# Without a fault, runs of a task that is done are stopped within this time, takeovers included.
STOP_S = 4.0
# Failed runs of a task that end its job, as the cluster's queue has it.
MAX_ATTEMPTS = 3
# Time after the last fault until every lease is over and all delayed tasks have started.
SETTLE_S = 25.0


def random_steps(rng: random.Random) -> tuple[Step, ...]:
    """Return random steps of a job without gangs, which only `Gangs` couples."""
    size = Size(rng.choice((1, 2)), 1_000)
    match rng.randrange(4):
        case 0:
            return (Step(rng.randint(1, 3), size, 1_000, lasting=True),)
        case 1:
            return (Step(rng.randint(12, 40), size, 1_000),)
        case _:
            return (Step(4, size, 1_000), Step(3, size, 1_000, after=(0,)))


class Simulation:
    """One random simulation."""

    # Run times of a job's tasks, drawn by job.
    work_s: tuple[float, ...] = (0.5, 1.0, 1.0, 3.0, 8.0)
    settle_s = SETTLE_S

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = Cluster(seed, entries=2, workers=4)
        self.accepted: list[Job] = []

    async def run(self) -> list[str]:
        """Run the simulation; return the broken rules."""
        cluster = self.cluster
        cluster.start()
        await asyncio.sleep(3)
        callers = [
            asyncio.ensure_future(self._submit_later(number)) for number in range(1, JOBS + 1)
        ]
        await asyncio.gather(self._faults(), self._faults())
        await asyncio.gather(*callers)
        self._end_faults()
        await asyncio.sleep(self.settle_s)
        for job in self.accepted:
            if any(step.lasting for step in job.steps):
                await self._cancel(job)
        await asyncio.sleep(5)
        cluster.close()
        return cluster.judge.broken

    def _end_faults(self) -> None:
        """Heal all cuts, open all cells and start the killed entries."""
        cluster = self.cluster
        cluster.cuts, cluster.evacuated = set(), frozenset()
        for name, entry in list(cluster.entries.items()):
            if entry.dead:
                cluster.restart(name)

    def _random_steps(self) -> tuple[Step, ...]:
        return random_steps(self.rng)

    async def _submit_later(self, number: int) -> None:
        rng, cluster = self.rng, self.cluster
        await asyncio.sleep(rng.uniform(0, 16))
        job = Job(f"{number:016x}", "q", SERVICE, "spec", self._random_steps(), int(now() * 1000))
        cluster.work[job.id] = rng.choice(self.work_s)
        alive = [name for name, entry in cluster.entries.items() if not entry.dead]
        if alive:
            await cluster.submit(rng.choice(alive), job)
            self.accepted.append(job)

    async def _cancel(self, job: Job) -> None:
        try:
            await self.cluster.entries["a-e0"].intake.cancel(job.id, 2.0)
        except CurranthallError:
            pass

    async def _faults(self) -> None:
        for _ in range(FAULTS):
            await asyncio.sleep(self.rng.uniform(0.1, 2.0))
            await self._fault()

    def _random_cuts(self, cell: str, holder: str) -> set[frozenset[str]]:
        """Return random cuts of the holder or the other entries from the cell's workers."""
        rng, cuts = self.rng, set()
        for number in range(4):
            worker = f"{cell}-w{number}"
            match rng.randrange(4):
                case 0:
                    cuts.add(frozenset((holder, worker)))
                case 1 | 2:
                    cuts |= {frozenset((n, worker)) for n in self.cluster.entries if n != holder}
        return cuts

    async def _fault(self) -> None:
        rng, cluster = self.rng, self.cluster
        cell = rng.choice(cluster.domains)
        holder = cluster.holder(cell) or f"{cell}-e0"
        seconds = rng.uniform(1.0, 15.0 if rng.random() < 0.3 else 6.0)
        split = self._random_cuts(cell, holder) if rng.random() < 0.8 else set()
        match rng.randrange(10):
            case 0:
                split.add(frozenset((holder, "store")))
                await self._cut(split, seconds)
            case 1:
                away = rng.choice((cluster.read_only, cluster.cell_rows_down))
                away.add(holder)
                await self._cut(split, seconds)
                away.discard(holder)
            case 2:
                cluster.freeze(holder)
                await self._cut(split, seconds)
                cluster.thaw(holder)
            case 3:
                cluster.kill(holder)
                await self._cut(split, seconds)
                if cluster.entries[holder].dead:
                    cluster.restart(holder)
            case 4:
                name = rng.choice(sorted(cluster.entries))
                cluster.send_delay_s[name] = rng.uniform(0.3, 4.0)
                await asyncio.sleep(seconds)
                cluster.send_delay_s.pop(name, None)
            case 5:
                name = rng.choice(sorted(cluster.runners))
                cluster.crash_worker(name)
                await asyncio.sleep(rng.uniform(0.0, 1.0))
                cluster.add_worker(name, name[0])
            case 6:
                cluster.apply_late = cluster.late_holds = 0.2
                await asyncio.sleep(seconds)
                cluster.apply_late = cluster.late_holds = 0.0
            case 7:
                cluster.lose_answers = 0.3
                await asyncio.sleep(seconds)
                cluster.lose_answers = 0.0
            case 8:
                cluster.evacuated = frozenset(rng.sample(cluster.domains, rng.randint(1, 2)))
                await asyncio.sleep(seconds)
                cluster.evacuated = frozenset()
            case 9:
                await self._cut(split, seconds)

    async def _cut(self, cuts: set[frozenset[str]], seconds: float) -> None:
        new = cuts - self.cluster.cuts
        self.cluster.cuts |= new
        await asyncio.sleep(seconds)
        self.cluster.cuts -= new


class Restarts(Simulation):
    """A simulation in which holders also shut down and start again, one after another."""

    async def _faults(self) -> None:
        restarts = asyncio.ensure_future(self._restart_in_turn())
        await super()._faults()
        restarts.cancel()

    async def _restart_in_turn(self) -> None:
        rng, cluster = self.rng, self.cluster
        while True:
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            name = cluster.holder(rng.choice(cluster.domains))
            if name is None or name in cluster.frozen:
                continue
            await cluster.entries[name].succession.leave()
            cluster.kill(name)
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            if cluster.entries[name].dead:
                cluster.restart(name)


class Overload(Simulation):
    """A simulation in which holders miss answers, and workers, holders and jobs come and go."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        # Half of the seeds have no fault of the platform, so that all listed ends count.
        self.calm = seed % 2 == 0
        # Numbers of jobs and workers that are added besides the usual ones.
        self.extra = 0

    async def _fault(self) -> None:
        rng, cluster = self.rng, self.cluster
        cell = rng.choice(cluster.domains)
        seconds = rng.uniform(1.0, 8.0)
        match rng.randrange(5 if self.calm else 11):
            case 0:
                await self._miss_holds(cell, list(cluster.entries), 1, seconds)
            case 1:
                await self._miss_holds(cell, [cluster.holder(cell) or ""], 1, seconds)
            case 2:
                await self._miss_holds(cell, [cluster.holder(cell) or ""], 4, seconds)
            case 3:
                await self._release(rng.sample(cluster.domains, rng.randint(1, 3)))
            case 4:
                cluster.store.drop_history()
                await asyncio.gather(*(self._submit_later(JOBS + n) for n in self._numbers(4)))
            case 5:
                await self._restart_worker(cell)
            case 6:
                cluster.commit_delay_s = rng.uniform(0.1, 0.8)
                await asyncio.sleep(seconds)
                cluster.commit_delay_s = 0.0
            case 7:
                await self._drain(cell)
            case 8:
                await self._kill(rng.sample(cluster.domains, rng.randint(2, 3)))
            case 9:
                cluster.evacuated = frozenset(rng.sample(cluster.domains, rng.randint(1, 2)))
                await asyncio.sleep(seconds)
                cluster.evacuated = frozenset()
            case 10:
                cluster.apply_late = cluster.late_holds = 0.3
                await self._restart_worker(cell)
                await asyncio.sleep(seconds)
                cluster.apply_late = cluster.late_holds = 0.0

    def _numbers(self, count: int) -> range:
        self.extra += count
        return range(self.extra - count + 1, self.extra + 1)

    async def _miss_holds(
        self, cell: str, entries: list[str], workers: int, seconds: float
    ) -> None:
        """Let entries miss the answers of some of a cell's workers."""
        names = sorted(name for name in self.cluster.runners if name[0] == cell)
        chosen = self.rng.sample(names, min(workers, len(names)))
        missed = {(entry, name) for entry in entries for name in chosen}
        self.cluster.missed_holds |= missed
        await asyncio.sleep(seconds)
        self.cluster.missed_holds -= missed

    async def _release(self, cells: list[str]) -> None:
        """Release cells one after another."""
        for cell in cells:
            holder = self.cluster.holder(cell)
            if holder is not None:
                await self.cluster.entries[holder].succession.held[cell].release()
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))

    async def _kill(self, cells: list[str]) -> None:
        for cell in cells:
            holder = self.cluster.holder(cell)
            if holder is not None:
                self.cluster.kill(holder)
                await asyncio.sleep(self.rng.uniform(0.0, 1.0))
                self.cluster.restart(holder)

    def _random_worker(self, cell: str) -> str | None:
        names = sorted(name for name in self.cluster.runners if name[0] == cell)
        return self.rng.choice(names) if names else None

    async def _restart_worker(self, cell: str) -> None:
        name = self._random_worker(cell)
        if name is not None:
            self.cluster.crash_worker(name)
            await asyncio.sleep(self.rng.uniform(0.0, 0.4))
            self.cluster.add_worker(name, cell)

    async def _drain(self, cell: str) -> None:
        name = self._random_worker(cell)
        if name is not None:
            self.cluster.leaving.add(name)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            if name in self.cluster.runners:
                self.cluster.crash_worker(name)
            self.extra += 1
            self.cluster.add_worker(f"{cell}-x{self.extra}", cell)


class Departure(Overload):
    """A simulation in which workers announce that they leave while entries restart in turn."""

    async def _fault(self) -> None:
        match self.rng.randrange(4):
            case 0:
                await self._restart_entry()
            case 1:
                await super()._fault()
            case _:
                await self._announce(self.rng.choice(self.cluster.domains))

    async def _announce(self, cell: str) -> None:
        """Let a worker announce when it exits, and be replaced then."""
        name, seconds = self._random_worker(cell), self.rng.uniform(2.0, 9.0)
        if name is None or name in self.cluster.leaving:
            return
        self.cluster.announce(name, seconds)
        await asyncio.sleep(seconds)
        if name in self.cluster.runners:
            self.cluster.crash_worker(name)
        self.extra += 1
        self.cluster.add_worker(f"{cell}-x{self.extra}", cell)

    async def _restart_entry(self) -> None:
        """Let an entry release its cells, then start again."""
        cluster, name = self.cluster, self.rng.choice(sorted(self.cluster.entries))
        await cluster.entries[name].succession.leave()
        cluster.kill(name)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        cluster.restart(name)


class Lasting(Restarts):
    """A simulation with mostly lasting tasks; half of the seeds have no orderly restarts."""

    def _random_steps(self) -> tuple[Step, ...]:
        rng, size = self.rng, Size(self.rng.choice((1, 2)), 1_000)
        lasting = Step(rng.randint(1, 6), size, 1_000, lasting=True)
        match rng.randrange(4):
            case 0:
                return (lasting, Step(rng.randint(1, 12), size, 1_000))
            case 1:
                return (Step(rng.randint(1, 4), size, 1_000), lasting._replace(after=(0,)))
            case _:
                return (lasting,)

    async def _restart_in_turn(self) -> None:
        if self.rng.random() < 0.5:
            await super()._restart_in_turn()


class Series(Simulation):
    """A simulation in which one cell loses holder after holder while its workers come and go."""

    # The share of seeds in which the store is disturbed.
    store_share = 0.5

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        # The product draws the workers that it probes from the shared generator.
        random.seed(seed)
        self.cluster = Cluster(seed, entries=2, workers=5)
        self.waits = WaitJudge(self.cluster)
        self.leases = LeaseJudge(self.cluster)
        self.cell = self.rng.choice(self.cluster.domains)
        # Workers of the cell that may still become unreachable for good: most of them stay.
        self.losable = 2
        for runner in self.cluster.runners.values():
            runner.clock_rate = self.rng.choice((0.98, 1.0, 1.02))
        self.extra = 0
        self._heals: list[asyncio.Task[None]] = []

    async def run(self) -> list[str]:
        """Run the simulation; return the broken rules."""
        rng, cluster = self.rng, self.cluster
        cluster.start()
        await asyncio.sleep(3)
        if rng.random() < 0.5:
            cluster.evacuated = frozenset(set(cluster.domains) - {self.cell})
        for number in range(1, rng.randint(4, 10)):
            await self._submit(number)
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        cluster.evacuated = frozenset()
        later = [asyncio.ensure_future(self._submit_later(100 + number)) for number in range(4)]
        lanes = [self._lose_holders(), self._lose_workers()]
        if rng.random() < self.store_share:
            lanes.append(self._disturb_store())
        await asyncio.gather(*lanes)
        for heal in self._heals:
            await heal
        await asyncio.gather(*later)
        await self.waits.settle()
        for job in self.accepted:
            self.waits.drop(job.id)
            await self._cancel(job)
        await asyncio.sleep(5)
        self.waits.close()
        self.leases.close()
        cluster.close()
        return cluster.judge.broken + self.leases.broken + self.waits.broken

    async def _submit_later(self, number: int) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 15.0))
        await self._submit(number)

    async def _submit(self, number: int) -> None:
        """Submit a job, mostly a lasting one."""
        rng, cluster = self.rng, self.cluster
        steps = random_steps(rng)
        if rng.random() < 0.7:
            size = Size(rng.choice((1, 2)), 1_000)
            steps = (Step(rng.randint(1, 4), size, 1_000, lasting=True),)
        job = Job(f"{number:016x}", "q", SERVICE, "spec", steps, int(now() * 1000))
        cluster.work[job.id] = rng.choice((0.5, 1.0, 3.0))
        alive = [name for name in self._alive() if name not in cluster.frozen]
        if alive and await cluster.submit(rng.choice(alive), job) is Verdict.ACCEPTED:
            self.accepted.append(job)
            self.waits.accept(job.id)

    def _alive(self) -> list[str]:
        return [name for name, entry in self.cluster.entries.items() if not entry.dead]

    def _heal_later(self, seconds: float, heal: Callable[[], object]) -> None:
        async def wait_and_heal() -> None:
            await asyncio.sleep(seconds)
            heal()

        self._heals.append(asyncio.ensure_future(wait_and_heal()))

    def _cut_for(self, cuts: set[frozenset[str]], seconds: float) -> None:
        """Cut names apart; overlapping cuts are healed by the first that made them."""
        new = cuts - self.cluster.cuts
        self.cluster.cuts |= new
        self._heal_later(seconds, lambda: self.cluster.cuts.difference_update(new))

    async def _lose_holders(self) -> None:
        """Take the cell from its holder again and again, mostly soon after it was taken."""
        rng, cluster = self.rng, self.cluster
        for _ in range(rng.randint(2, 6)):
            holder = cluster.holder(self.cell)
            if holder is not None:
                await self._lose_holder(holder)
            for _ in range(80):
                await asyncio.sleep(0.1)
                if cluster.holder(self.cell) not in (holder, None):
                    break
            await asyncio.sleep(rng.choice((0.05, rng.uniform(0.0, 1.5), rng.uniform(0.0, 6.0))))

    async def _lose_holder(self, holder: str) -> None:
        rng, cluster = self.rng, self.cluster
        seconds = rng.uniform(1.0, 14.0)
        if rng.random() < 0.4:
            self._cut_for(self._random_cuts(self.cell, holder), seconds)
        match rng.randrange(9):
            case 0 | 1 | 2:
                self._kill(holder, seconds)
            case 3:
                cluster.freeze(holder)
                self._heal_later(seconds, lambda: cluster.thaw(holder))
            case 4 | 5:
                self._cut_for({frozenset((holder, "store"))}, seconds)
            case 6:
                away = rng.choice((cluster.read_only, cluster.cell_rows_down))
                away.add(holder)
                self._heal_later(seconds, lambda: away.discard(holder))
            case 7:
                workers = [name for name in sorted(cluster.runners) if name[0] == self.cell]
                cut = rng.sample(workers, min(len(workers), rng.randint(2, 5)))
                self._cut_for({frozenset((holder, name)) for name in cut}, seconds)
            case 8:
                if holder not in cluster.frozen:
                    await cluster.entries[holder].succession.leave()
                    self._kill(holder, seconds)

    def _kill(self, name: str, seconds: float) -> None:
        """Kill an entry's process; while others are left it may never start again."""
        rng, cluster = self.rng, self.cluster
        cluster.kill(name)
        if len(self._alive()) > 3 and rng.random() < 0.4:
            return

        def restart() -> None:
            if cluster.entries[name].dead:
                cluster.restart(name)

        self._heal_later(rng.choice((0.3, seconds)), restart)

    async def _lose_workers(self) -> None:
        for _ in range(self.rng.randint(2, 6)):
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            names = [
                name
                for name in sorted(self.cluster.runners)
                if name[0] == self.cell and name not in self.cluster.leaving
            ]
            if names:
                self._lose_worker(self.rng.choice(names))

    def _lose_worker(self, name: str) -> None:
        """Crash a worker, let it leave, or cut it off, for a while or for good."""
        rng, cluster = self.rng, self.cluster
        seconds = rng.choice((rng.uniform(0.0, 1.0), rng.uniform(1.0, 12.0)))
        for_good = self.losable > 0 and rng.random() < 0.4
        self.losable -= for_good
        isolated = {frozenset((entry, name)) for entry in cluster.entries}
        match rng.randrange(5):
            case 0:
                cluster.crash_worker(name)
                if not for_good:
                    self._heal_later(seconds, lambda: cluster.reboot(name))
            case 1:
                cluster.crash_worker(name)
                if not for_good:
                    self._heal_later(seconds, lambda: cluster.add_worker(name, self.cell))
            case 2:
                cluster.announce(name, rng.uniform(1.0, 9.0))
                self._heal_later(cluster.exits_at[name] - now(), lambda: self._exit(name))
            case 3:
                if for_good:
                    cluster.cuts |= isolated
                else:
                    self._cut_for(isolated, seconds)
            case 4:
                count = rng.randint(1, len(isolated) - 1)
                cuts = rng.sample(sorted(isolated, key=sorted), count)
                self._cut_for(set(cuts), seconds)

    def _exit(self, name: str) -> None:
        """Let a worker exit; another one is added in its place."""
        if name in self.cluster.runners:
            self.cluster.crash_worker(name)
        self.extra += 1
        self.cluster.add_worker(f"{self.cell}-x{self.extra}", self.cell)

    async def _disturb_store(self) -> None:
        """Let the store be slow, away or lose answers, or orders be carried out late."""
        rng, cluster = self.rng, self.cluster
        for _ in range(rng.randint(1, 4)):
            await asyncio.sleep(rng.uniform(0.1, 4.0))
            seconds = rng.uniform(0.5, 6.0)
            match rng.randrange(4):
                case 0:
                    cluster.commit_delay_s = rng.uniform(0.1, 0.5)
                case 1:
                    cluster.lose_answers = 0.3
                case 2:
                    cluster.apply_late = cluster.late_holds = 0.2
                case 3:
                    cluster.store_down = True
            await asyncio.sleep(seconds)
            cluster.commit_delay_s = cluster.lose_answers = 0.0
            cluster.apply_late = cluster.late_holds = 0.0
            cluster.store_down = False


class Parts(Series):
    """A series of takeovers while parts of the store are away, for all entries or some."""

    store_share = 1.0

    async def _disturb_store(self) -> None:
        rng, cluster = self.rng, self.cluster
        for _ in range(rng.randint(2, 6)):
            await asyncio.sleep(rng.uniform(0.1, 3.0))
            names = sorted(cluster.entries)
            names = names if rng.random() < 0.5 else rng.sample(names, 3)
            parts = rng.sample(PARTS, rng.choice((1, 1, 3, 7)))
            away = {(name, part) for name in names for part in parts} - cluster.parts_away
            cluster.parts_away |= away
            seconds = rng.choice((rng.uniform(0.1, 1.5), rng.uniform(1.0, 15.0)))
            self._heal_later(seconds, functools.partial(cluster.parts_away.difference_update, away))


class Gangs(Simulation):
    """A simulation of gangs whose workers, holders and failure domains are lost together.

    Some rows assign the members of a gang to several cells, as earlier releases did.
    """

    # By then all leases are over, and each job has had the time to run once more.
    settle_s = 45.0

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        random.seed(seed)
        self.gangs = GangJudge(self.cluster)

    async def run(self) -> list[str]:
        """Run the simulation; return the broken rules."""
        cluster = self.cluster
        for number in range(JOBS + 1, JOBS + 4):
            self._store_split(number)
        cluster.start()
        await asyncio.sleep(3)
        callers = [
            asyncio.ensure_future(self._submit_later(number)) for number in range(1, JOBS // 2)
        ]
        await asyncio.gather(self._faults(), self._faults())
        await asyncio.gather(*callers)
        self._end_faults()
        await asyncio.sleep(self.settle_s)
        self._check_all_ran()
        for job in self.accepted:
            if job.lasting:
                await self._cancel(job)
        await asyncio.sleep(5)
        self.gangs.close()
        cluster.close()
        if not self.gangs.whole_runs:
            self.gangs.broken.append("no gang has run")
        return cluster.judge.broken + self.gangs.broken

    def _random_steps(self) -> tuple[Step, ...]:
        rng, size = self.rng, Size(self.rng.choice((0.5, 1)), 1_000)
        gang = Step(
            rng.randint(2, 4),
            size,
            1_000,
            gang=True,
            max_per_worker=rng.choice((0, 1, 2)),
            same_rack=rng.random() < 0.2,
            lasting=rng.random() < 0.2,
        )
        beside = Step(rng.randint(1, 5), size, 1_000)
        match rng.randrange(4):
            case 0:
                return (gang,)
            case 1:
                return (gang, beside)
            case 2:
                return (gang, beside, beside._replace(after=(1,)))
            case _:
                return (beside, gang._replace(after=(0,)))

    def _store_split(self, number: int) -> None:
        """Store a job whose row assigns the members of a gang to several cells."""
        rng, cluster = self.rng, self.cluster
        size = Size(1, 1_000)
        steps = (Step(rng.randint(2, 4), size, 1_000, gang=True), Step(2, size, 1_000))
        job = Job(f"{number:016x}", "q", SERVICE, "spec", steps, int(now() * 1000))
        cells = [rng.choice(cluster.domains) for _ in range(steps[0].width)]
        moved = {(0, 0, index): cell for index, cell in enumerate(cells)}
        row = Progress(rng.choice(cluster.domains), Phase.RUNNING, moved_to=moved, moves=2)
        puts = [Put(JOB_TABLE, job.id, job.encode()), Put(PROGRESS_TABLE, job.id, row.encode())]
        cluster.store.apply(part_of(job.id), [], puts, [])
        cluster.judge.jobs[job.id] = job
        cluster.work[job.id] = rng.choice((0.5, 1.0, 3.0))
        self.accepted.append(job)

    async def _fault(self) -> None:
        rng, cluster = self.rng, self.cluster
        if rng.random() < 0.5:
            await super()._fault()
            return
        cell = rng.choice(cluster.domains)
        names = sorted(name for name in cluster.runners if name[0] == cell)
        lost = rng.sample(names, min(len(names), rng.choice((1, 1, 2))))
        for name in lost:
            cluster.crash_worker(name)
        holder = cluster.holder(cell)
        for change in rng.sample(("evacuate", "kill", "nothing"), 2):
            await asyncio.sleep(rng.choice((0.05, rng.uniform(0.0, 3.0))))
            if change == "evacuate":
                cluster.evacuated = frozenset((cell,))
            elif change == "kill" and holder is not None and not cluster.entries[holder].dead:
                cluster.kill(holder)
        await asyncio.sleep(rng.uniform(1.0, 8.0))
        cluster.evacuated = frozenset()
        for name in lost:
            cluster.add_worker(name, cell)
        if holder is not None and cluster.entries[holder].dead:
            cluster.restart(holder)

    def _check_all_ran(self) -> None:
        """Report the jobs that are not done, and lasting gangs that do not run as a whole."""
        for job in self.accepted:
            progress = self.cluster.find_progress(job.id)
            if progress is None:
                continue
            if progress.phase.is_final:
                if progress.phase is not Phase.COMPLETED:
                    self.gangs.broken.append(f"{progress.phase.name.lower()}: {job.id}")
                continue
            idle = [
                number
                for number, step in enumerate(job.steps)
                if not progress.is_step_done(job, 0, number)
                and not (step.lasting and self.gangs.runs(job.id, number) == step.width)
            ]
            if idle:
                self.gangs.broken.append(f"{now():.3f} steps {idle} do not run: {job.id}")


class Copies(Restarts):
    """A simulation of steps with copies, of which many runs are slow and some fail.

    Half of the seeds have no orderly restarts. `is_on` switches copies on.
    """

    is_on = True
    # Slow runs take up to 21 s, so that one that is left over is seen after the last fault.
    work_s = (0.5, 1.0, 3.0)
    settle_s = 45.0

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        random.seed(seed)
        cluster = self.cluster = Cluster(seed, entries=2, workers=5)
        cluster.options = Options(copies=self.is_on)
        cluster.slow_share, cluster.fail_share = 0.15, 0.1

    async def run(self) -> list[str]:
        """Run the simulation; return the broken rules."""
        watch = asyncio.ensure_future(self._watch_rows())
        try:
            return await super().run() + self._check_ends()
        finally:
            watch.cancel()

    async def _watch_rows(self) -> None:
        """Note when the rows tell that a task is done, and report runs that go on for long then."""
        judge, recorded = self.cluster.judge, self.cluster.judge.recorded
        reported: set[tuple[str, TaskId]] = set()
        while True:
            calm_since = judge.fault_at + CALM_S
            for name, runner in self.cluster.runners.items():
                for task in runner.running:
                    done_at = max(recorded.get(task, now()), calm_since)
                    if now() - done_at > STOP_S and (name, task) not in reported:
                        reported.add((name, task))
                        judge.broken.append(f"{now():.3f} runs on though done: {task} on {name}")
            for job in self.accepted:
                progress = self.cluster.find_progress(job.id)
                for (occurrence, step), mask in progress.done.items() if progress else ():
                    for index in range(mask.bit_length()):
                        if mask >> index & 1:
                            recorded.setdefault(TaskId(job.id, occurrence, step, index), now())
            await asyncio.sleep(0.05)

    def _check_ends(self) -> list[str]:
        """Report jobs without an end, runs that are left over, and more failures than allowed."""
        cluster, broken = self.cluster, []
        phases = {}
        for job in self.accepted:
            progress = cluster.find_progress(job.id)
            if progress is None:
                continue
            phases[job.id] = progress.phase
            if not progress.phase.is_final:
                broken.append(f"not ended: {job.id}")
            failed = max(map(len, progress.failures.values()), default=0)
            if progress.phase is Phase.FAILED and failed < MAX_ATTEMPTS:
                broken.append(f"failed after {failed} failed runs: {job.id}")
        for name, runner in cluster.runners.items():
            broken += [
                f"left over on {name}: {task}"
                for task in runner.running
                if phases.get(task.job, Phase.QUEUED).is_final
            ]
        for task, runs in cluster.judge.failed.items():
            if len(runs) > MAX_ATTEMPTS:
                broken.append(f"{len(runs)} failed runs: {task}")
        return broken

    def _random_steps(self) -> tuple[Step, ...]:
        rng, size = self.rng, Size(1, 1_000)
        one = Step(rng.randint(3, 12), size, 1_000, copies=True)
        match rng.randrange(4):
            case 0:
                return (one, one._replace(width=rng.randint(1, 4), after=(0,)))
            case 1:
                return (one._replace(max_per_worker=2), Step(2, size, 1_000))
            case _:
                return (one,)

    async def _submit_later(self, number: int) -> None:
        await super()._submit_later(number)
        job = next((job for job in self.accepted if job.id == f"{number:016x}"), None)
        if job is not None and self.rng.random() < 0.2:
            # Some of its tasks may have two runs then.
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            await self._cancel(job)

    async def _restart_in_turn(self) -> None:
        if self.rng.random() < 0.5:
            await super()._restart_in_turn()


class OverloadedCopies(Copies, Overload):
    """The same with the faults of `Overload`."""


class NoCopies(Copies):
    """The same without copies, for comparison."""

    is_on = False


class Early(Simulation):
    """Waves of jobs that are moved early, while holders are killed and the store loses answers."""

    waves = 3
    jobs_per_wave = 45
    # By then all leases are over and all jobs of a wave have run.
    settle_s = 60.0

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        random.seed(seed)
        options = Options(projected_load=True, early_refusal=True)
        self.cluster = Cluster(seed, entries=2, workers=4, options=options)
        self.refused: list[Job] = []
        self.count = 0

    async def run(self) -> list[str]:
        """Run the simulation; return the broken rules."""
        cluster = self.cluster
        cluster.start()
        await asyncio.sleep(3)
        for _ in range(self.waves):
            cluster.lose_answers = self.rng.choice((0.0, 0.1, 0.3))
            await asyncio.gather(self._wave(self.rng.uniform(0.5, 3.0)), self._kill_holders())
        cluster.lose_answers = 0.0
        self._end_faults()
        await asyncio.sleep(self.settle_s)
        broken = [*cluster.judge.broken, *self._check_all_done()]
        # Of one task each: a job that another cell has begun a part of counts as waiting here,
        # with and without the options.
        await self._wave(60.0, lambda: Step(1, Size(4, 1_000), 1_000))
        await asyncio.sleep(8.0)
        broken += await self._check_counts()
        cluster.close()
        return broken

    def _small_step(self) -> Step:
        return Step(self.rng.randint(1, 4), Size(self.rng.choice((1, 2)), 1_000), 1_000)

    async def _wave(self, seconds: float, draw: Callable[[], Step] | None = None) -> None:
        """Submit jobs while all but one cell are taken out, then give the others back."""
        rng, cluster = self.rng, self.cluster
        cluster.evacuated = frozenset(rng.sample(cluster.domains, 2))
        for _ in range(self.jobs_per_wave):
            await asyncio.sleep(rng.uniform(0.0, 0.03))
            self.count += 1
            step = (draw or self._small_step)()
            job = Job(f"{self.count:016x}", "q", SERVICE, "spec", (step,), int(now() * 1000))
            cluster.work[job.id] = seconds
            alive = [name for name, entry in cluster.entries.items() if not entry.dead]
            verdict = await cluster.submit(rng.choice(alive), job)
            if verdict is Verdict.ACCEPTED:
                self.accepted.append(job)
            elif verdict is not Verdict.UNKNOWN:
                self.refused.append(job)
        cluster.evacuated = frozenset()

    async def _kill_holders(self) -> None:
        """Kill holders at random while jobs are moved; start them again."""
        rng, cluster = self.rng, self.cluster
        for _ in range(3):
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            holder = cluster.holder(rng.choice(cluster.domains))
            if holder is not None:
                cluster.kill(holder)
                await asyncio.sleep(rng.uniform(0.1, 3.0))
                cluster.restart(holder)

    def _check_all_done(self) -> list[str]:
        """Report accepted jobs that are not done, and refused ones that are stored."""
        found = {job.id: self.cluster.find_progress(job.id) for job in self.accepted}
        lost = [
            f"{job_id} was accepted and is not done: {row and row.phase}"
            for job_id, row in found.items()
            if row is None or row.phase is not Phase.COMPLETED
        ]
        stored = [job.id for job in self.refused if self.cluster.find_progress(job.id)]
        return lost + [f"{job_id} was refused and is stored" for job_id in stored]

    async def _check_counts(self) -> list[str]:
        """Compare the waiting jobs that entries show with those that had no start."""
        cluster = self.cluster
        started = {task.job for task in cluster.judge.last_start}
        rows = [(job.id, cluster.find_progress(job.id)) for job in cluster.judge.jobs.values()]
        stored = {job_id for job_id, row in rows if row is not None and not row.phase.is_final}
        wanted, broken = len(stored - started), []
        for name, entry in cluster.entries.items():
            shown = await entry.intake.count_pending("q")
            if shown != wanted:
                broken.append(f"{name} shows {shown} waiting jobs instead of {wanted}")
        return broken if wanted else [*broken, "no job waits"]


KINDS = {
    "takeover": Simulation,
    "restarts": Restarts,
    "overload": Overload,
    "departure": Departure,
    "lasting": Lasting,
    "series": Series,
    "parts": Parts,
    "gangs": Gangs,
    "early": Early,
    "copies": Copies,
    "overloaded-copies": OverloadedCopies,
    "no-copies": NoCopies,
}


def play(seed: int, kind: type[Simulation] = Simulation) -> list[str]:
    """Simulate a seed; return the broken rules."""

    async def main() -> list[str]:
        return await kind(seed).run()

    found: list[str] = run(main())
    return found


def main() -> None:
    """Simulate a range of seeds."""
    # They build on this module.
    from tests.preempting import PreemptedCopies, Preempting
    from tests.quota_plays import QuotaPlay
    from tests.reborn import Reborn

    first, count, kind = (sys.argv[1:] + ["0", "100", "takeover"][len(sys.argv) - 1 :])[:3]
    wrong = 0
    for seed in range(int(first), int(first) + int(count)):
        kinds = {
            **KINDS,
            "reborn": Reborn,
            "quota": QuotaPlay,
            "preemption": Preempting,
            "preempted-copies": PreemptedCopies,
        }
        broken = play(seed, kinds[kind])
        wrong += bool(broken)
        if broken:
            print(f"seed {seed}: {len(broken)} broken, first: {broken[0]}", flush=True)
    print(f"{count} seeds from {first}: {wrong} with something broken")


if __name__ == "__main__":
    main()
