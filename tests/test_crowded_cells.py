"""Crowded cells: the workers that can run what waits, tasks bound to a worker, and kept room."""

import unittest

from curranthall.cells.balance import Balancer, CellLoads, group_kinds
from curranthall.cells.load import Load
from curranthall.cells.ports import Ending, EndKind, ListedRun
from curranthall.dag import Progress
from curranthall.model import HostState
from tests.cell_fixtures import CELL, EPOCH, SERVICE, Cell, ended, host, job, listed, step

JOB = "1" * 16
TICK_S = 0.1


class Labels(unittest.TestCase):
    def test_tasks_do_not_leave_for_cores_of_workers_without_their_label(self) -> None:
        """South's cores become free on workers that can't run them; here all of them can."""
        cell = Cell(*(host(f"n{at}", cores=16, labels=("x",)) for at in range(4)))
        cell.add(job("2" * 16, step(8, cores=7)))
        cell.started(*cell.plan())
        cell.add(job(JOB, step(6, cores=7, lasting=True, requires="x")))
        hosts = [host(f"s{at}", cores=16, labels=(), domain="south") for at in range(20)]
        hosts.append(host("s20", cores=16, labels=("x",), domain="south"))
        south = CellLoads("south", {SERVICE: Load(cores=336, turnover=((16.0, 20),))})
        south = south._replace(kinds=group_kinds(hosts)["south"])
        balancer = Balancer()
        for _ in range(20):
            cell.plan()
            balancer.move_stranded(cell.dispatcher, [south], cell.now)
            cell.now += TICK_S
        progress = cell.dispatcher.tracked[JOB].progress
        owners = [progress.owner((0, 0, index)) for index in range(6)]
        self.assertEqual(owners.count("south"), 0)


class Fragments(unittest.TestCase):
    def test_tasks_do_not_wait_where_no_worker_can_ever_have_room_for_them(self) -> None:
        """South's workers have 3 cores each beside lasting tasks; here all 16 become free."""
        far = Cell(*(host(f"s{at}", cores=8) for at in range(8)))
        far.add(job("2" * 16, step(8, cores=5, lasting=True, max_per_worker=1)))
        self.assertEqual(len(far.plan()), 8)
        loads = far.dispatcher.load(far.now)
        cell = Cell(host("n0", cores=16), host("n1", cores=16))
        cell.add(job("2" * 16, step(4, cores=7)))
        cell.started(*cell.plan())
        cell.add(job(JOB, step(6, cores=7, lasting=True)))
        balancer = Balancer()
        for _ in range(20):
            cell.plan()
            balancer.move_stranded(cell.dispatcher, [CellLoads("south", loads)], cell.now)
            cell.now += TICK_S
        progress = cell.dispatcher.tracked[JOB].progress
        owners = [progress.owner((0, 0, index)) for index in range(6)]
        self.assertEqual(owners.count("south"), 0)


class Bound(unittest.TestCase):
    def test_a_task_that_a_later_boot_may_start_does_not_leave_with_the_others(self) -> None:
        cell, balancer = Cell(host("w1")), Balancer()
        cell.add(job(JOB, step(2, cores=3, lasting=True)))
        begun, unanswered = cell.plan()
        cell.started(begun)
        cell.answer("w1", [listed(begun)])
        cell.dispatcher.on_start_unanswered(unanswered, cell.now)
        cell.now += 2.0
        cell.dispatcher.update_host(host("w1", state=HostState.LEAVING))
        cell.answer("w1", [], [ended(1, begun, EndKind.FAILED)])
        south = CellLoads("south", {SERVICE: Load(cores=64, turnover=((64.0, 1),))})
        for _ in range(25):
            cell.plan()
            balancer.move_stranded(cell.dispatcher, [south], cell.now)
            cell.now += TICK_S
        progress = cell.dispatcher.tracked[JOB].progress
        owners = {
            order.task.number: progress.owner(order.task[1:]) for order in (begun, unanswered)
        }
        self.assertEqual(owners, {begun.task.number: "south", unanswered.task.number: CELL})


class KeptRoom(unittest.TestCase):
    def wait(self, here: int, moved_before: bool = False) -> float:
        """Return how long a task that moved in waits beside kept room that became free with it.

        So many tasks of its step have found no room here for 3 s, and it, too, if it moved before.
        """
        self.cell = cell = Cell(host("w1", cores=64), host("w2", cores=64))
        cell.add(job("2" * 16, step(8, cores=12.8, lasting=True)))
        cell.started(*cell.plan())
        # Short tasks use the kept room.
        cell.add(job("3" * 16, step(2, cores=12.8)))
        short = cell.plan()
        cell.started(*short)
        self.assertEqual(len(short), 2)
        away = {(0, 0, index): "south" for index in range(here, 3)}
        progress = Progress(CELL, claims={CELL: EPOCH}, moved_to=dict(away))
        cell.dispatcher.adopt(job(JOB, step(3, cores=12.8, lasting=True)), progress, 1, cell.now)
        row = Progress(CELL, claims={CELL: EPOCH}, moved_to={**away, (0, 0, 2): CELL}, moves=1)
        if moved_before:
            cell.dispatcher.refresh(JOB, row, 2, cell.now)
        for _ in range(30):
            self.assertEqual(self.tick(), 0)
        cell.dispatcher.refresh(JOB, row, 2, cell.now)
        for number, order in enumerate(short, 1):
            self.ends[order.worker] = [ended(number, order, EndKind.DONE)]
        began = cell.now
        while not self.tick():
            self.assertLess(cell.now - began, 3.0)
        return cell.now - began

    def setUp(self) -> None:
        self.ends: dict[str, list[Ending]] = {}

    def tick(self) -> int:
        """Let 0.1 s pass; return how many tasks of the job start."""
        cell = self.cell
        cell.now += TICK_S
        for name, member in cell.dispatcher.members.items():
            over = {each.task for each in self.ends.get(name, ())}
            runs = [
                ListedRun(run.task, run.number, "", cell.now - 90, 0)
                for run in member.runs.values()
                if run.task not in over
            ]
            cell.answer(name, runs, self.ends.pop(name, []))
        cell.dispatcher.tick(cell.now, cell.now)
        started = cell.plan()
        cell.started(*started)
        return sum(order.task.job == JOB for order in started)

    def test_a_task_moved_for_a_room_takes_it_though_others_of_its_step_have_waited(self) -> None:
        for here in (0, 1):
            with self.subTest(here=here):
                self.assertLess(self.wait(here), 0.35)

    def test_a_task_that_found_no_room_after_its_move_leaves_kept_room_to_short_tasks(self) -> None:
        self.assertGreater(self.wait(0, moved_before=True), 0.45)


if __name__ == "__main__":
    unittest.main()
