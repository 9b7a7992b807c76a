"""Lasting tasks of a lost worker that left the start of another task without an answer."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from curranthall.cells.fencing import RunEnd
from curranthall.cells.owner import RENEW_S, Details, decode_details
from curranthall.cells.ports import ListedRun
from curranthall.dag import Job
from curranthall.dag.progress import Place
from curranthall.model import Size
from tests.cell_fixtures import EPOCH, Cell, claimed_progress, host, job, listed, step, task
from tests.cluster import now
from tests.test_takeover import CELL, POLL_S, SplitCell, make_job, make_step
from tests.virtual import run

# The longest lease, by a worker's slow clock, with the margins of the lapse and of stored times.
LAPSE_S = 6.0 / 0.98 + 0.2 + 0.1
# A vacant cell is taken this soon.
TAKE_S = 3.0
# What a new holder needs to load, claim and start the tasks, once nothing may run them.
START_S = 1.0
# By then two runs of a task would have met, whichever late call is executed.
SETTLE_S = 20.0
TASKS = 14
JOB = "0" * 16
PROOF_S = 9.0
FORMER_RUN = (EPOCH - 1) * 1_000_000 + 1
# The platform lists a lost worker for some seconds.
LISTED_S = 4.0

Scene = Callable[[SplitCell, Job], Coroutine[Any, Any, None]]


class LostWorkers(unittest.TestCase):
    """Workers with lasting tasks are lost; each has left a start of a short task unanswered."""

    def play(self, lost: int, scene: Scene, seed: int = 1) -> float:
        """Lose workers, then play a scene; return how long their lasting tasks wait."""

        async def main() -> float:
            split = SplitCell(seed)
            cluster = split.cluster
            for runner in cluster.runners.values():
                runner.clock_rate = 0.98
            await split.start()
            split.close_cells("b", "c")
            await split.submit("b-e1", job := make_job(1, make_step(TASKS, lasting=True)))
            await asyncio.sleep(1.0 + 0.3 * seed)
            busy = [name for name, at in cluster.runners.items() if at.running]
            idle = [name for name in cluster.runners if name[0] == CELL and name not in busy]
            names = (busy + idle)[:lost]
            starts = [cluster.withhold("start", name) for name in names]
            short = make_step(8)._replace(size=Size(1, 1_000))
            for number in range(2, 5):
                await split.submit("b-e1", make_job(number, short))
            await asyncio.sleep(0.4)
            self.assertTrue(starts[0])
            cluster.listed_after_crash_s = LISTED_S
            for name in names:
                cluster.crash_worker(name)
            began = now()
            cluster.add_worker("a-w8", CELL, cores=32)
            await scene(split, job)
            while count_runs(split, job) < TASKS and now() - began < 60.0:
                await asyncio.sleep(POLL_S)
            waited_s = now() - began
            await asyncio.sleep(SETTLE_S)
            cluster.close()
            self.assertEqual(cluster.judge.broken, [])
            return waited_s

        found: float = run(main())
        return found

    def test_a_cell_released_after_most_workers_were_lost(self) -> None:
        async def scene(split: SplitCell, job: Job) -> None:
            self.assertLess(count_runs(split, job), TASKS)
            for _ in range(int(TAKE_S / POLL_S)):
                if not split.held(split.former):
                    return
                await asyncio.sleep(POLL_S)
            self.fail("not released")

        for seed in range(3):
            with self.subTest(seed=seed):
                # A renewal after the lapse shows that no other holder extended the leases.
                self.assertLess(self.play(3, scene, seed), LAPSE_S + RENEW_S + START_S)

    def test_a_holder_killed_before_the_lapse(self) -> None:
        async def scene(split: SplitCell, job: Job) -> None:
            await asyncio.sleep(4.0)
            split.cluster.kill(split.former)

        for seed in range(3):
            with self.subTest(seed=seed):
                self.assertLess(self.play(1, scene, seed), 4.0 + TAKE_S + START_S)


class Handed(unittest.TestCase):
    """What a holder hands over of a worker with an open start, and how the next one uses it."""

    def setUp(self) -> None:
        """Start two lasting tasks on one worker; it answers one of the starts."""
        self.running: list[ListedRun] = []
        self.cell = Cell(host("w1"))
        self.cell.add(job(JOB, step(2, lasting=True)))
        self.begun, self.open = self.cell.plan()
        self.cell.started(self.begun)
        self.cell.answer("w1", [listed(self.begun)])

    def test_only_tasks_without_an_open_start_count_as_over(self) -> None:
        cell, member = self.cell, self.cell.member("w1")
        cell.dispatcher.on_start_unanswered(self.open, cell.now)
        cell.dispatcher.on_silence("w1", cell.now)
        self.assertIsNone(cell.dispatcher.lease_end(member, cell.now))
        end = cell.dispatcher.run_end(member, cell.now)
        self.assertEqual(end, RunEnd(member.lapses_at(), frozenset({self.open.task})))

    def test_a_start_that_is_open_stays_so_when_its_run_was_removed_or_started_again(self) -> None:
        cell, member = self.cell, self.cell.member("w1")
        cell.dispatcher.on_start_unanswered(self.open, cell.now)
        cell.now += 2.0
        cell.answer("w1", [listed(self.begun)])
        self.assertEqual(len(member.runs), 1)
        end = cell.dispatcher.run_end(member, cell.now)
        self.assertEqual(end and end.open_tasks, {self.open.task})
        (again,) = cell.plan()
        cell.started(again)
        cell.answer("w1", [listed(self.begun), listed(again)])
        end = cell.dispatcher.run_end(member, cell.now)
        self.assertEqual(end and end.open_tasks, {self.open.task})

    def test_a_boot_that_is_not_fenced_has_no_known_end(self) -> None:
        cell, member = self.cell, self.cell.member("w1")
        cell.dispatcher.on_start_unanswered(self.open, cell.now)
        member.is_fenced = False
        self.assertIsNone(cell.dispatcher.run_end(member, cell.now))

    def taken(self) -> Cell:
        """Build a taken cell of w1, with an open start of the first task, and of w2."""
        cell, self.running = Cell(settled=False), []
        ends = {"w1": RunEnd(cell.now + 1.0, frozenset({task()}))}
        hosts = [host("w1"), host("w2")]
        cell.dispatcher.take_over(hosts, cell.now + PROOF_S, now=cell.now, run_ends=ends)
        places = {(0, 0, number): Place(FORMER_RUN + number, "w1") for number in range(2)}
        row = claimed_progress(EPOCH - 1, places=places)
        cell.dispatcher.adopt(job(JOB, step(2, lasting=True)), row, 1, cell.now)
        cell.record()
        return cell

    def planned(self, cell: Cell, confirmed_at: float) -> list[int]:
        """Return the numbers of the tasks that start after a tick."""
        cell.dispatcher.tick(cell.now, confirmed_at)
        cell.answer("w2", self.running)
        orders = cell.plan()
        cell.started(*orders)
        self.running += [listed(order) for order in orders]
        return [order.task.number for order in orders]

    def test_a_successor_waits_for_each_task_as_long_as_it_may_run(self) -> None:
        cell = self.taken()
        self.assertEqual(self.planned(cell, cell.now), [])
        cell.now += 1.1
        self.assertEqual(self.planned(cell, cell.now), [1])
        cell.now += PROOF_S - 1.2
        self.assertEqual(self.planned(cell, cell.now), [])

    def test_a_successor_that_may_have_lost_the_cell_waits_for_a_renewal(self) -> None:
        cell = self.taken()
        taken_at = cell.now
        cell.now += 1.1
        self.assertEqual(self.planned(cell, taken_at), [])

    def test_an_unheard_worker_is_handed_on(self) -> None:
        cell = self.taken()
        end = cell.dispatcher.run_end(cell.member("w1"), cell.now)
        self.assertEqual(end, RunEnd(cell.now + 1.0, frozenset({task()})))
        cell.answer("w1")
        self.assertIsNone(cell.dispatcher.run_end(cell.member("w1"), cell.now))

    def test_rows_name_the_earlier_end_as_limit_of_leases(self) -> None:
        row = Details([], lease_ends={"w1": 9, "w2": 5}, run_ends={"w1": 4, "w2": 7, "w3": 6})
        self.assertEqual(decode_details(row.encode()).lease_limits, {"w1": 4, "w2": 5, "w3": 6})


def count_runs(split: SplitCell, job: Job) -> int:
    """Return the number of runs of a job on all workers."""
    running = [task for at in split.cluster.runners.values() for task in at.running]
    return sum(task.job == job.id for task in running)


if __name__ == "__main__":
    unittest.main()
