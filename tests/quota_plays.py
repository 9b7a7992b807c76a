"""Random simulations of customers at their limits while holders are lost, suspended or cut off.

`python -m tests.takeover [FIRST [COUNT]] quota` simulates them.
"""

import asyncio
import random

from curranthall.customers import Customer, Customers
from curranthall.dag import Job, Step
from curranthall.model import ZERO_SIZE, Size
from tests.cluster import SERVICE, Cluster, now
from tests.takeover import Simulation

WATCH_S = 0.02
# After the last fault all jobs must end within this time. Jobs of `narrow` may run one task at a
# time: some ten jobs of up to 12 tasks of 2 s.
FINISH_S = 300.0
JOBS = 40
CUSTOMERS = (
    Customer("wide", 4.0, Size(12, 0, 0)),
    # A third of this limit holds no task of three cores.
    Customer("narrow", 1.0, Size(4, 0, 0)),
    Customer("memory", 2.0, Size(0, 5_000, 0)),
    Customer("free", 1.0, ZERO_SIZE),
)


class QuotaJudge:
    """Counts what all workers really run for each customer; reports what exceeds a limit."""

    def __init__(self, cluster: Cluster) -> None:
        self.broken: list[str] = []
        # The most that ran at a time, by customer.
        self.peaks: dict[str, Size] = {}
        self._cluster = cluster
        self._reported: set[str] = set()
        self._stepper = asyncio.ensure_future(self._watch())

    def close(self) -> None:
        """Stop watching."""
        self._stepper.cancel()

    def running(self) -> dict[str, Size]:
        """Sum the sizes of all running tasks by customer."""
        found: dict[str, Size] = {}
        for runner in self._cluster.runners.values():
            for task, run in runner.running.items():
                customer = self._cluster.judge.jobs[task.job].customer
                found[customer] = found.get(customer, ZERO_SIZE).plus(run.work.step.size)
        return found

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            for name, size in self.running().items():
                peak = self.peaks.get(name, ZERO_SIZE)
                self.peaks[name] = Size(*map(max, peak, size))  # type: ignore[arg-type]
                customer = self._cluster.catalogue.customers.find(name)
                if customer is None or customer.can_ever_run(size) or name in self._reported:
                    continue
                self._reported.add(name)
                self.broken.append(f"{now():.3f} over its limit: {name} {size} {customer.limit}")


class QuotaPlay(Simulation):
    """A simulation in which all customers submit more than their limits let run."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        random.seed(seed)
        cluster = self.cluster
        customers = Customers((customer, ()) for customer in CUSTOMERS)
        cluster.catalogue = cluster.catalogue._replace(customers=customers)
        for entry in cluster.entries.values():
            entry.operations.catalogue = None
            entry.operations.apply(cluster.catalogue)
        self.quota = QuotaJudge(cluster)

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
        for job in self.accepted:
            if job.lasting:
                await self._cancel(job)
        # Judged after the faults only: leases of lost holders have to lapse first.
        unfinished = await self._finish()
        self.quota.close()
        cluster.close()
        broken = cluster.judge.broken + self.quota.broken
        broken += [f"not done {FINISH_S} s after the faults: {job}" for job in unfinished]
        for customer in CUSTOMERS[:3]:
            peak = self.quota.peaks.get(customer.name, ZERO_SIZE)
            if not any(
                2 * size > most > 0 for size, most in zip(peak, customer.limit, strict=True)
            ):
                broken.append(f"never used half of its limit: {customer.name} {peak}")
        return broken

    async def _finish(self) -> list[str]:
        until = now() + FINISH_S
        while True:
            progress = {job.id: self.cluster.find_progress(job.id) for job in self.accepted}
            left = [
                job_id
                for job_id, each in progress.items()
                if each is not None and not each.phase.is_final
            ]
            if not left or now() > until:
                return left
            await asyncio.sleep(0.5)

    async def _submit_later(self, number: int) -> None:
        rng, cluster = self.rng, self.cluster
        await asyncio.sleep(rng.uniform(0, 16))
        customer = rng.choice(CUSTOMERS).name
        job = Job(
            f"{number:016x}", "q", SERVICE, "spec", self._random_steps(customer), int(now() * 1000)
        )._replace(customer=customer)
        cluster.work[job.id] = rng.choice((0.5, 1.0, 2.0))
        alive = [name for name, entry in cluster.entries.items() if not entry.dead]
        if alive:
            await cluster.submit(rng.choice(alive), job)
            self.accepted.append(job)

    def _random_steps(self, customer: str = "") -> tuple[Step, ...]:
        rng = self.rng
        size = Size(rng.choice((1, 2, 3) if customer == "narrow" else (1, 2)), 1_000)
        plain = Step(rng.randint(2, 12), size, 1_000)
        match rng.randrange(6):
            case 0:
                return (Step(1, size, 1_000, lasting=True),)
            case 1:
                return (Step(rng.choice((2, 4)), size._replace(cores=1), 1_000, gang=True),)
            case 2:
                return (plain._replace(filling=True, checkpointing=True),)
            case 3:
                return (plain, plain._replace(width=2, after=(0,)))
            case _:
                return (plain,)
