"""Limits and weights of customers: what starts in a cell, who goes first, how soon parts move."""

import asyncio
import random
import unittest

from curranthall.cells.ports import EndKind, ListedRun
from curranthall.cells.quota import (
    RANK_ABOVE_SHARE,
    RANK_BELOW_SHARE,
    RANK_BEYOND_RATE,
)
from curranthall.cells.shares import (
    NO_NEED,
    PARTS_OF_LIMIT,
    SHARE_KEY,
    SHARE_TABLE,
    Shares,
    SharesKeeper,
)
from curranthall.cells.waits import WaitReason
from curranthall.customers import Customer, Customers
from curranthall.dag import Job, Step
from curranthall.model import ZERO_SIZE, Size
from curranthall.store import Row
from tests import fair_plays
from tests.cell_fixtures import CELL, SERVICE, Cell, ended, host, job, listed, step
from tests.cluster import Cluster, now
from tests.quota_plays import QuotaJudge, QuotaPlay
from tests.takeover import play
from tests.virtual import run


def customers(limit: Size, weight: float = 4.0) -> Customers:
    """Build a customer `acme` with a limit, and `other` without one."""
    listed_ones = Customer("acme", weight, limit), Customer("other", weight, ZERO_SIZE)
    return Customers((customer, ()) for customer in listed_ones)


def build(limit: Size, *hosts: str, weight: float = 4.0) -> Cell:
    """Build a cell that holds the whole limit of `acme`."""
    return Cell(*map(host, hosts or ("w1", "w2")), customers=customers(limit, weight))


def of(customer: str, number: int, *steps: Step) -> Job:
    """Build a customer's job."""
    return job(f"{number:016x}", *steps)._replace(customer=customer)


class Limits(unittest.TestCase):
    """Each test guards against work above a limit, or that a limit keeps out without need."""

    def test_no_more_starts_than_the_limit_allows(self) -> None:
        cell = build(Size(3, 0, 0))
        cell.add(of("acme", 1, step(8)))
        cell.add(of("other", 2, step(8)))
        starts = cell.plan()
        self.assertEqual(sum(start.task.job.endswith("1") for start in starts), 3)
        self.assertEqual(len(starts), 11)

    def test_the_next_task_starts_when_one_has_ended(self) -> None:
        cell = build(Size(1, 0, 0))
        cell.add(of("acme", 1, step(2)))
        (first,) = cell.plan()
        cell.started(first)
        self.assertEqual(cell.plan(), [])
        cell.answer("w1", [], [ended(1, first, EndKind.DONE)] * (first.worker == "w1"))
        cell.answer("w2", [], [ended(1, first, EndKind.DONE)] * (first.worker == "w2"))
        self.assertEqual(len(cell.plan()), 1)

    def test_each_resource_of_a_limit_counts(self) -> None:
        for limit, most in ((Size(0, 2_500, 0), 2), (Size(4, 1_000, 0), 1), (ZERO_SIZE, 6)):
            cell = build(limit)
            cell.add(of("acme", 1, step(6)))
            self.assertEqual(len(cell.plan()), most, limit)

    def test_a_gang_starts_as_a_whole_or_not(self) -> None:
        cell = build(Size(3, 0, 0))
        cell.add(of("acme", 1, step(4, gang=True)))
        cell.add(of("acme", 2, step(3, gang=True)))
        self.assertEqual({start.task.job[-1] for start in cell.plan()}, {"2"})

    def test_lasting_and_filling_tasks_count(self) -> None:
        cell = build(Size(2, 0, 0))
        cell.add(of("acme", 1, step(1, lasting=True)))
        cell.add(of("acme", 2, step(4, filling=True)))
        self.assertEqual(len(cell.plan()), 2)

    def test_a_forced_start_of_a_filling_task_keeps_the_limit(self) -> None:
        cell = build(Size(1, 0, 0))
        cell.add(of("acme", 1, step(1, lasting=True)))
        cell.started(*cell.plan())
        cell.add(of("acme", 2, step(1, filling=True)))
        for _ in range(40):
            cell.now += 0.1
            self.assertEqual(cell.plan(), [])
            for name in ("w1", "w2"):
                runs = cell.member(name).runs.values()
                cell.answer(name, [ListedRun(each.task, each.number, "", 100, 0) for each in runs])

    def test_work_at_its_limit_is_not_stranded(self) -> None:
        cell = build(Size(1, 0, 0))
        cell.add(of("acme", 1, step(5)))
        cell.started(*cell.plan())
        cell.now += 0.6
        cell.plan()
        self.assertEqual(cell.dispatcher.stranded(0.0, cell.now), [])
        cell.dispatcher.tick(cell.now, cell.now)
        self.assertEqual([row.why for row in cell.dispatcher.waits], [WaitReason.LIMIT.value])

    def test_nothing_of_a_limited_customer_starts_before_the_row_was_read(self) -> None:
        cell = build(Size(3, 0, 0))
        cell.dispatcher.quota.keeper = SharesKeeper(CELL, (CELL,))
        cell.dispatcher.quota.note_shares()
        cell.add(of("acme", 1, step(1)))
        self.assertEqual(cell.plan(), [])

    def test_nothing_of_a_customer_starts_before_a_configuration_was_read(self) -> None:
        cell = build(Size(3, 0, 0))
        cell.dispatcher.quota._customers = lambda: None
        cell.dispatcher.reconfigure()
        cell.add(of("acme", 1, step(1)))
        cell.add(job("2" * 16, step(1)))
        self.assertEqual([start.task.job[0] for start in cell.plan()], ["2"])

    def test_a_changed_limit_scales_the_parts(self) -> None:
        cell = build(Size(8, 0, 0))
        row = Row(SHARE_TABLE, "", SHARE_KEY, Shares((CELL,), {"acme": {CELL: 500}}).encode(), 9)
        cell.keeper.on_read(row, 1)
        cell.dispatcher.quota.note_shares()
        cell.add(of("acme", 1, step(8)))
        self.assertEqual(len(cell.plan()), 4)
        self.assertEqual(cell.keeper.held("acme"), PARTS_OF_LIMIT // 2)

    def test_a_gang_above_the_whole_limit_requests_no_parts(self) -> None:
        cell = build(Size(3, 0, 0))
        cell.add(of("acme", 1, step(4, gang=True)))
        self.assertEqual(cell.plan(), [])
        self.assertEqual(cell.dispatcher.quota.needs(), {"acme": NO_NEED})


class Weights(unittest.TestCase):
    """Each test guards against a burst of one customer that delays the others."""

    def test_a_customer_below_its_fair_share_goes_first(self) -> None:
        cell = build(ZERO_SIZE)
        cell.add(of("acme", 1, step(16)))
        starts = cell.plan()
        cell.started(*starts)
        cell.add(of("acme", 2, step(4)))
        cell.add(of("other", 3, step(4)))
        cell.now += 0.2
        cell.answer("w1", [listed(start) for start in starts if start.worker == "w1"][:-1])
        cell.answer("w2", [listed(start) for start in starts if start.worker == "w2"])
        cell.plan()
        ranks = {
            batch.tracked.job.customer: cell.dispatcher.quota.fair_rank(batch)
            for batch in cell.dispatcher._ready.values()
        }
        self.assertEqual(ranks["acme"], RANK_ABOVE_SHARE)
        self.assertEqual(ranks["other"], RANK_BELOW_SHARE)

    def test_jobs_beyond_the_rate_go_last(self) -> None:
        cell = build(ZERO_SIZE, weight=2.0)
        for number in range(1, 4):
            cell.add(of("acme", number, step(1)))
        ranks = [
            cell.dispatcher.quota.fair_rank(batch) for batch in cell.dispatcher._ready.values()
        ]
        self.assertEqual(ranks, [RANK_BELOW_SHARE, RANK_BELOW_SHARE, RANK_BEYOND_RATE])

    def test_a_burst_does_not_delay_twenty_others(self) -> None:
        without, weighted = fair_plays.play(False), fair_plays.play(True)
        self.assertGreater(weighted.worst, 0.9)
        self.assertGreater(weighted.worst, without.worst + 0.1)
        self.assertGreater(weighted.burst, 0.0)


class Lending(unittest.TestCase):
    """Each test guards against a customer that waits for parts which other cells don't use."""

    def test_a_lasting_task_above_an_even_share_starts_in_time(self) -> None:
        for seed in range(12):
            waited_s = run(self._wait_for_parts(seed))
            self.assertLess(waited_s, 2.0, seed)

    def test_nothing_starts_beside_work_above_a_lowered_limit(self) -> None:
        run(self._lower())

    def _configure(self, cluster: Cluster, cores: float) -> None:
        """Write a configuration with another limit, which entries read later."""
        listed_ones = Customers([(Customer("acme", 1.0, Size(cores, 0, 0)), ())])
        version = cluster.catalogue.version + 1
        cluster.catalogue = cluster.catalogue._replace(version=version, customers=listed_ones)

    async def _submit(
        self, cluster: Cluster, entry: str, number: str, step: Step, seconds: float = 1.0
    ) -> None:
        job_id = number * 16
        new = Job(job_id, "q", SERVICE, "spec", (step,), int(now() * 1000), customer="acme")
        cluster.work[job_id] = seconds
        await cluster.submit(entry, new)

    async def _lower(self) -> None:
        random.seed(1)
        cluster = Cluster(1, entries=2, workers=4)
        self._configure(cluster, 10)
        cluster.start()
        judge = QuotaJudge(cluster)
        await asyncio.sleep(4)
        size = Size(1, 1_000)
        await self._submit(cluster, "a-e0", "1", Step(8, size, 1_000, lasting=True))
        await asyncio.sleep(4)
        # The other cells press against the rest of the limit, so they keep their parts of it.
        for number, entry in enumerate(("b-e0", "c-e0"), 2):
            await self._submit(cluster, entry, str(number), Step(30, size, 1_000), seconds=0.5)
        await asyncio.sleep(2)
        self.assertEqual(judge.peaks["acme"].cores, 10)
        self._configure(cluster, 6)
        await asyncio.sleep(3)
        for _ in range(30):
            await asyncio.sleep(0.1)
            self.assertEqual(judge.running()["acme"].cores, 8)
        self._configure(cluster, 15)
        await asyncio.sleep(3)
        self.assertGreater(judge.running()["acme"].cores, 12)
        judge.close()
        cluster.close()

    async def _wait_for_parts(self, seed: int) -> float:
        random.seed(seed)
        cluster = Cluster(seed, entries=2, workers=4)
        self._configure(cluster, 10)
        judge = QuotaJudge(cluster)
        cluster.start()
        await asyncio.sleep(4 + random.random())
        await self._submit(cluster, "a-e0", "1", Step(1, Size(5, 1_000), 1_000, lasting=True))
        began = now()

        async def runs() -> bool:
            return bool(judge.running())

        await cluster.until(runs, 20.0)
        waited_s = now() - began
        judge.close()
        cluster.close()
        self.assertEqual(judge.broken + cluster.judge.broken, [])
        return waited_s


class Plays(unittest.TestCase):
    """Guards against work above a limit when holders are killed, suspended and cut off."""

    def test_random_plays(self) -> None:
        for seed in range(4):
            self.assertEqual(play(seed, QuotaPlay), [], seed)


if __name__ == "__main__":
    unittest.main()
