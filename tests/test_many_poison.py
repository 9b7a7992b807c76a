"""Many poison tasks at once: none is started too often, and no innocent task is given up."""

import unittest
from typing import Any

from curranthall.cells.ports import EndKind, StartTask
from curranthall.dag import Phase
from curranthall.dag.progress import Progress, decode_progress
from tests.cell_fixtures import BORN, Cell, ended, host, job, listed, step, task
from tests.poison_plays import play
from tests.virtual import run

POISON = "0" * 16
OTHER = "f" * 16
# The platform's bound on the starts of a task that crashes each of its workers.
MAX_STARTS = 5
SEEDS = (5, 12, 14, 19)


class Excused(unittest.TestCase):
    def progress(self, cell: Cell, job_id: str) -> Progress:
        """Return a job's progress."""
        return cell.dispatcher.tracked[job_id].progress

    def crash(self, cell: Cell, name: str) -> None:
        """Let a worker fall silent and answer again from another boot."""
        cell.now += 0.01
        cell.dispatcher.on_silence(name, cell.now)
        cell.now += 3
        cell.answer(name, born=int(cell.now * 1000))

    def succeed(self, former: Cell, last_run: int, born: int = 0) -> Cell:
        """Return the cell of a successor that finds the former holder's row."""
        progress = decode_progress(self.progress(former, POISON).encode())
        # In place of a later epoch.
        progress.highest_run = last_run
        cell = Cell(host("w1"), settled=False)
        cell.now = former.now + 4
        cell.dispatcher.adopt(job(POISON, step(1)), progress, 2, cell.now)
        cell.answer("w1", born=born or int(cell.now * 1000))
        return cell

    def start(self, cell: Cell) -> Any:
        """Start the only waiting task; return the order, or None."""
        for _ in range(20):
            cell.now += 1
            cell.dispatcher.tick(cell.now, cell.now)
            orders = [order for order in cell.plan() if isinstance(order, StartTask)]
            if orders:
                return orders[0]
        return None

    def test_a_task_whose_crashes_successors_settle_is_given_up_in_time(self) -> None:
        cell, starts = Cell(host("w1")), 0
        cell.add(job(POISON, step(1)))
        while starts <= MAX_STARTS and (order := self.start(cell)) is not None:
            starts += 1
            cell.dispatcher.on_silence("w1", cell.now + 0.01)
            cell = self.succeed(cell, order.run)
        self.assertEqual(self.progress(cell, POISON).phase, Phase.FAILED)
        self.assertLessEqual(starts, MAX_STARTS)

    def test_a_run_whose_worker_is_not_back_stays_in_doubt_at_the_next_start(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job(POISON, step(1)))
        first = self.start(cell)
        cell.started(first)
        cell.dispatcher.on_silence("w1", cell.now + 0.01)
        cell.dispatcher.mark_host_missing("w1", cell.now)
        cell.now += 8
        cell.dispatcher.tick(cell.now, cell.now)
        self.assertNotIn("w1", cell.dispatcher.members)
        cell.dispatcher.update_host(host("w9"))
        cell.answer("w9", born=BORN + 8_000)
        self.assertIsNotNone(self.start(cell))
        progress = self.progress(cell, POISON)
        self.assertIn((0, 0, 0, first.run, "w1"), decode_progress(progress.encode()).doubts)
        self.assertEqual(progress.count_all_crashes((0, 0, 0)), 0)
        cell.dispatcher.update_host(host("w8", address="w1:1"))
        cell.answer("w8", born=BORN + 9_000)
        self.assertTrue(progress.has_crashed((0, 0, 0), first.run))

    def test_a_crash_that_a_releasing_holder_has_not_seen_is_settled_by_its_successor(self) -> None:
        former = Cell(host("w1"))
        former.add(job(POISON, step(1)))
        order = self.start(former)
        former.started(order)
        former.dispatcher.doubt_new_runs(former.now)
        cell = self.succeed(former, order.run)
        cell.dispatcher.tick(cell.now, cell.now)
        self.assertTrue(self.progress(cell, POISON).has_crashed((0, 0, 0), order.run))

    def test_a_killed_holder_leaves_an_isolated_run_in_doubt(self) -> None:
        former = Cell(host("w1"))
        former.add(job(POISON, step(1)))
        for number in (1, 2):
            self.progress(former, POISON).add_crash((0, 0, 0), number)
        order = self.start(former)
        cell = self.succeed(former, order.run)
        cell.dispatcher.tick(cell.now, cell.now)
        self.assertTrue(self.progress(cell, POISON).has_crashed((0, 0, 0), order.run))

    def test_a_run_in_doubt_at_a_release_counts_nothing_if_its_worker_answers(self) -> None:
        former = Cell(host("w1"))
        former.add(job(POISON, step(1)))
        order = self.start(former)
        former.started(order)
        former.dispatcher.doubt_new_runs(former.now)
        cell = self.succeed(former, order.run, born=former.member("w1").born)
        cell.dispatcher.tick(cell.now, cell.now)
        self.assertFalse(self.progress(cell, POISON).has_crashed((0, 0, 0), order.run))

    def test_a_gang_whose_other_members_are_stopped_still_counts_its_crash(self) -> None:
        cell = Cell(host("w1", cores=1), host("w2", cores=1))
        cell.add(job(POISON, step(2, gang=True)))
        first, second = cell.plan()
        cell.started(first, second)
        cell.dispatcher.on_silence(first.worker, cell.now)
        last = cell.member(second.worker).last_end
        cell.answer(second.worker, [], [ended(last + 1, second, EndKind.STOPPED)])
        cell.plan()
        cell.now += 3
        cell.answer(first.worker, born=BORN + 1)
        self.assertEqual(self.progress(cell, POISON).count_crashes((0, 0, 0)), 1)

    def test_a_crash_beside_a_likelier_suspect_is_recorded(self) -> None:
        cell = Cell(host("w1", cores=4))
        cell.add(job(OTHER, step(1)))
        self.progress(cell, OTHER).add_crash((0, 0, 0), 1)
        cell.add(job(POISON, step(1)))
        orders = cell.plan()
        self.assertEqual(len(orders), 2)
        cell.started(*orders)
        self.crash(cell, "w1")
        (run_number,) = (order.run for order in orders if order.task.job == POISON)
        self.assertTrue(self.progress(cell, POISON).has_crashed((0, 0, 0), run_number))
        self.assertEqual(self.progress(cell, POISON).count_crashes((0, 0, 0)), 0)

    def test_an_excused_crash_is_forgotten_once_a_run_outlasts_its_start(self) -> None:
        cell = Cell(host("w1", cores=4))
        cell.add(job(POISON, step(1)))
        self.progress(cell, POISON).add_crash((0, 0, 0), 1, is_excused=True)
        (order,) = cell.plan()
        cell.started(order)
        cell.now += 1
        cell.answer("w1", [listed(order)], born=cell.member("w1").born)
        progress = self.progress(cell, POISON)
        self.assertGreaterEqual(progress.outlasted.get((0, 0, 0), 0), order.run)

    def test_tasks_excused_once_do_not_look_like_an_outage(self) -> None:
        names = [f"w{n}" for n in range(4)]
        cell = Cell(*(host(name, cores=1) for name in names))
        cell.add(job(POISON, step(4)))
        for number in range(4):
            self.progress(cell, POISON).add_crash((0, 0, number), 1, is_excused=True)
        orders = cell.plan()
        self.assertEqual(len(orders), 4)
        cell.started(*orders)
        for name in names:
            cell.dispatcher.on_silence(name, cell.now)
        cell.now += 3
        for name in names:
            cell.answer(name, born=BORN + 1)
        crashes = self.progress(cell, POISON).crashes
        self.assertEqual(sorted(crashes), [task(number=number)[1:] for number in range(4)])


class Plays(unittest.TestCase):
    def test_many_poison_tasks_while_holders_are_lost(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run(play(seed, "many")), [])


if __name__ == "__main__":
    unittest.main()
