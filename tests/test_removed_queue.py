"""Jobs keep their queue's settings when its route is removed and the entries restart."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from curranthall.catalogue import Catalogue, Operations, Route
from curranthall.cells.ports import AskAdvice, EndKind
from curranthall.dag import Job, Phase, Progress, Queue, Step, TaskId
from curranthall.dag.progress import decode_progress
from curranthall.intake import Verdict
from curranthall.model import Size
from tests.cell_fixtures import SERVICE, Cell, claimed_progress, ended, host, job, step
from tests.cluster import Cluster, now
from tests.virtual import run

JOB = "0" * 16
REMOVED = Catalogue(2, (), frozenset())


def catalogue(version: int, **fields: Any) -> Catalogue:
    """Build a configuration with one queue."""
    queue = Queue("q", SERVICE, 0, 4, 2.0, 1_000)._replace(**fields)
    return Catalogue(version, (Route("h", "/q/", queue),), frozenset((SERVICE,)))


class Recorded(unittest.TestCase):
    def adopt(self, operations: Operations, progress: Progress, prior: bool = False) -> Cell:
        """Return a cell of an entry with a configuration that tracks a job of a given row."""
        cell = Cell(host("w1"), host("w2"), queue_of=operations.queue_of)
        cell.dispatcher.adopt(job(JOB, step(1)), progress, 1, cell.now)
        return cell

    def row(self, cell: Cell) -> Progress:
        """Return the job's row as a successor reads it."""
        return decode_progress(cell.dispatcher.tracked[JOB].progress.encode())

    def fail_once(self, cell: Cell, number: int) -> Phase:
        """Let the job's only task start and fail; return the job's phase."""
        (order,) = cell.plan()
        cell.started(order)
        ends = cell.member(order.worker).last_end
        cell.answer(order.worker, [], [ended(ends + 1, order, EndKind.FAILED)])
        return cell.dispatcher.tracked[JOB].progress.phase

    def test_all_attempts_are_left_after_the_route_is_removed_and_the_entry_restarts(self) -> None:
        """A restarted entry used to fail such a job at its first failed run."""
        former = Operations()
        former.apply(catalogue(1))
        row = self.row(self.adopt(former, claimed_progress()))
        restarted = Operations()
        restarted.apply(REMOVED)
        cell = self.adopt(restarted, row)
        for attempt in range(1, 4):
            self.assertIs(self.fail_once(cell, attempt), Phase.RUNNING)
        self.assertIs(self.fail_once(cell, 4), Phase.FAILED)

    def test_all_attempts_are_left_before_the_entry_has_read_a_configuration(self) -> None:
        former = Operations()
        former.apply(catalogue(1))
        cell = self.adopt(Operations(), self.row(self.adopt(former, claimed_progress())))
        self.assertIs(self.fail_once(cell, 1), Phase.RUNNING)

    def test_a_removed_queue_with_an_advisor_still_needs_tickets_after_a_restart(self) -> None:
        former = Operations()
        former.apply(catalogue(1, advised=True))
        row = self.row(self.adopt(former, claimed_progress()))
        restarted = Operations()
        restarted.apply(REMOVED)
        cell = self.adopt(restarted, row)
        self.assertEqual(cell.plan(), [])
        self.assertEqual(len(cell.take(AskAdvice)), 1)

    def test_a_change_of_a_queue_is_recorded_for_a_restart_after_its_removal(self) -> None:
        operations = Operations()
        operations.apply(catalogue(1))
        cell = self.adopt(operations, claimed_progress())
        cell.record()
        operations.apply(catalogue(2, max_attempts=6, service="other"))
        cell.dispatcher.reconfigure()
        self.assertIn(JOB, cell.dispatcher.dirty)
        operations.apply(Catalogue(3, (), frozenset()))
        cell.dispatcher.reconfigure()
        restarted = Operations()
        restarted.apply(Catalogue(3, (), frozenset()))
        found = self.adopt(restarted, self.row(cell)).dispatcher.tracked[JOB].queue
        self.assertEqual((found.max_attempts, found.service), (6, "other"))

    def test_an_unchanged_queue_is_not_recorded_again(self) -> None:
        operations = Operations()
        operations.apply(catalogue(1))
        cell = self.adopt(operations, claimed_progress())
        cell.record()
        operations.apply(catalogue(2))
        cell.dispatcher.reconfigure()
        self.assertNotIn(JOB, cell.dispatcher.dirty)

    def test_an_entry_with_an_older_configuration_keeps_the_newer_recorded_queue(self) -> None:
        older, newer = Operations(), Operations()
        older.apply(catalogue(1, max_attempts=2))
        newer.apply(catalogue(5))
        row = self.row(self.adopt(newer, claimed_progress()))
        self.assertEqual(self.adopt(older, row).dispatcher.tracked[JOB].queue.max_attempts, 4)
        cell = self.adopt(older, claimed_progress())
        cell.dispatcher.refresh(JOB, row, 2, cell.now)
        self.assertEqual(cell.dispatcher.tracked[JOB].queue.max_attempts, 4)
        self.assertEqual(self.row(cell).queue, row.queue)

    def test_a_queue_that_was_changed_back_unseen_overrides_the_recorded_one(self) -> None:
        stale, newer = Operations(), Operations()
        stale.apply(catalogue(1))
        newer.apply(catalogue(5, max_attempts=2))
        row = self.row(self.adopt(newer, claimed_progress()))
        stale.apply(catalogue(9))
        cell = self.adopt(stale, row)
        self.assertEqual(cell.dispatcher.tracked[JOB].queue.max_attempts, 4)
        self.assertIn(JOB, cell.dispatcher.dirty)

    def test_a_row_of_an_earlier_release_without_a_queue_is_read(self) -> None:
        operations = Operations()
        operations.apply(catalogue(1))
        cell = self.adopt(operations, decode_progress(claimed_progress().encode()))
        self.assertEqual(cell.dispatcher.tracked[JOB].queue.max_attempts, 4)


class Restarts(unittest.TestCase):
    def play(self, scene: Callable[[Cluster], Coroutine[Any, Any, None]]) -> None:
        """Run a scene, then check that no invariant was violated."""

        async def main() -> None:
            cluster = Cluster(1)
            cluster.start()
            await asyncio.sleep(3)
            await scene(cluster)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])

        run(main())

    async def submit_failing(self, cluster: Cluster) -> Job:
        """Submit a job whose only task fails until it is taken from `cluster.failing`."""
        new_job = Job(JOB, "q", SERVICE, "spec", (Step(1, Size(1, 1_000), 1_000),), 1)
        cluster.failing.add(TaskId(JOB, 0, 0, 0))
        cluster.work[JOB] = 6.0
        self.assertIs(await cluster.submit("a-e0", new_job), Verdict.ACCEPTED)
        return new_job

    async def replace_entries(self, cluster: Cluster, gap_s: float) -> None:
        """Kill and start each entry, `gap_s` after the one before."""
        for name in list(cluster.entries):
            cluster.kill(name)
            cluster.restart(name)
            await asyncio.sleep(gap_s)

    async def is_in(self, cluster: Cluster, phase: Phase) -> bool:
        """Return whether an entry shows the job in a phase."""
        return await cluster.phase("a-e0", JOB) is phase

    def test_a_job_of_a_removed_queue_is_tried_again_after_all_entries_restarted(self) -> None:
        for gap_s in (0.0, 1.0):

            async def scene(cluster: Cluster, gap_s: float = gap_s) -> None:
                await self.submit_failing(cluster)
                await asyncio.sleep(1)
                cluster.catalogue = REMOVED
                await asyncio.sleep(1)
                await self.replace_entries(cluster, gap_s)
                failed_at = now()
                while not cluster.judge.run_ended_at and now() - failed_at < 30:
                    await asyncio.sleep(0.05)
                cluster.failing.clear()
                self.assertTrue(
                    await cluster.until(lambda: self.is_in(cluster, Phase.COMPLETED), 60)
                )

            with self.subTest(gap_s=gap_s):
                self.play(scene)

    def test_a_job_of_a_removed_queue_fails_after_its_last_attempt(self) -> None:
        async def scene(cluster: Cluster) -> None:
            await self.submit_failing(cluster)
            await asyncio.sleep(1)
            cluster.catalogue = REMOVED
            await asyncio.sleep(1)
            await self.replace_entries(cluster, 1.0)
            self.assertTrue(await cluster.until(lambda: self.is_in(cluster, Phase.FAILED), 90))
            self.assertEqual(cluster.judge.starts, 3)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
