"""Simulations without faults: how long lasting tasks wait while their customer has room.

All customers submit bursts of short tasks and lasting tasks to all cells, beside a store that takes
a given time for each call.
"""

import asyncio
import random

from curranthall.customers import Customer, Customers
from curranthall.dag import Job, Step
from curranthall.model import ZERO_SIZE, Size
from tests.cluster import SERVICE, Cluster, now
from tests.quota_plays import QuotaJudge

WATCH_S = 0.1
DURATION_S = 40.0
# Time in which all cells get a holder.
SETTLE_S = 5.0
# Less than half of the 96 cores of the cluster.
MAX_BUSY_CORES = 40.0
LASTING_SHARE = 0.4


class WaitingTask:
    """A lasting task that has not started, and how long it has waited with room for it twice."""

    def __init__(self, customer: Customer, cores: float) -> None:
        self.customer = customer
        self.cores = cores
        self.waited_s = 0.0


class QuotaWaits:
    """One random simulation; `limits` are those from which customers get theirs, in cores."""

    def __init__(
        self, seed: int, customers: int, limits: tuple[float, ...], store_delay_s: float
    ) -> None:
        random.seed(seed)
        self.rng = rng = random.Random(seed)
        self.cluster = cluster = Cluster(seed, entries=1, workers=4)
        self.customers = [
            Customer(f"c{number}", 1.0, Size(rng.choice(limits), 0, 0))
            for number in range(customers)
        ]
        configured = Customers((customer, ()) for customer in self.customers)
        cluster.catalogue = cluster.catalogue._replace(customers=configured)
        for entry in cluster.entries.values():
            entry.operations.catalogue = None
            entry.operations.apply(cluster.catalogue)
        cluster.commit_delay_s = cluster.scan_delay_s = store_delay_s
        self.waiting: dict[str, WaitingTask] = {}
        self.worst_s = 0.0
        self.started = 0
        self._last = 0

    async def run(self) -> list[str]:
        """Run the simulation; return the broken rules."""
        cluster = self.cluster
        judge = QuotaJudge(cluster)
        cluster.start()
        await asyncio.sleep(SETTLE_S)
        callers = [
            asyncio.ensure_future(self._submit_often(customer)) for customer in self.customers
        ]
        end, last = now() + DURATION_S, now()
        while now() < end:
            await asyncio.sleep(WATCH_S)
            self._watch(judge.running(), now() - last)
            last = now()
        for caller in callers:
            caller.cancel()
        judge.close()
        cluster.close()
        return cluster.judge.broken + judge.broken

    def _watch(self, running: dict[str, Size], passed_s: float) -> None:
        cluster = self.cluster
        begun = {task.job for runner in cluster.runners.values() for task in runner.running}
        busy = sum(size.cores for size in running.values())
        for job_id, task in list(self.waiting.items()):
            if cluster.find_progress(job_id) is None:
                # Not accepted yet.
                continue
            if job_id in begun:
                del self.waiting[job_id]
                self.started += 1
                asyncio.ensure_future(self._cancel_later(job_id))
                continue
            limit = task.customer.limit.cores
            used = running.get(task.customer.name, ZERO_SIZE).cores
            has_room = used < limit / 2 and used + 2 * task.cores <= limit
            has_room &= busy < MAX_BUSY_CORES
            task.waited_s = task.waited_s + passed_s if has_room else 0.0
            self.worst_s = max(self.worst_s, task.waited_s)

    async def _cancel_later(self, job_id: str) -> None:
        await asyncio.sleep(self.rng.uniform(1, 6))
        await self.cluster.entries["a-e0"].intake.cancel(job_id, 2.0)

    async def _submit_often(self, customer: Customer) -> None:
        rng, cluster = self.rng, self.cluster
        while True:
            await asyncio.sleep(rng.uniform(0.5, 5))
            self._last += 1
            job_id, most = f"{self._last:016x}", customer.limit.cores
            if rng.random() < LASTING_SHARE:
                cores = rng.choice([each for each in (1, 2, 3, 4) if each <= most / 2])
                steps = (Step(1, Size(cores, 1_000), 1_000, lasting=True),)
                self.waiting[job_id] = WaitingTask(customer, cores)
            else:
                cluster.work[job_id] = rng.choice((0.2, 0.5, 1.0, 3.0))
                size = Size(rng.choice((0.5, 1, 2)), 1_000)
                steps = (Step(rng.randint(1, 10), size, 1_000),)
            job = Job(job_id, "q", SERVICE, "spec", steps, int(now() * 1000))
            await cluster.submit(
                rng.choice(list(cluster.entries)), job._replace(customer=customer.name)
            )
