"""Lasting tasks without room in any cell wait where the most cores become free."""

import unittest

from curranthall.cells.balance import Balancer, CellLoads
from curranthall.cells.crowding import Crowd, spread_out
from curranthall.cells.load import Load, Waiting, decode_loads, encode_loads
from curranthall.cells.owner import RENEW_S
from curranthall.dag import Step
from tests.cell_fixtures import CELL, SERVICE, Cell, host, job, step

STEP_S = 0.1
WAITED_S = 1.6


class SpreadOut(unittest.TestCase):
    def test_tasks_go_where_fewer_wait_for_the_cores_that_become_free(self) -> None:
        others = [Crowd("south", 0, 20), Crowd("west", 0, 40), Crowd("east", 200, 40)]
        moved = spread_out(Crowd("north", 70, 10), others, 7, 10)
        self.assertEqual(moved, {"south": 3, "west": 6})

    def test_equal_cells_keep_their_tasks(self) -> None:
        for waiting in (0, 7, 70):
            moved = spread_out(Crowd("north", waiting, 20), [Crowd("south", waiting, 20)], 7, 10)
            self.assertEqual(moved, {})

    def test_no_cell_gets_tasks_back(self) -> None:
        north, south = Crowd("north", 70, 20), Crowd("south", 0, 20)
        self.assertEqual(spread_out(north, [south], 7, 10), {"south": 5})
        self.assertEqual(spread_out(south, [north], 7, 5), {})

    def test_a_cell_without_turnover_gets_none(self) -> None:
        self.assertEqual(spread_out(Crowd("north", 70, 1), [Crowd("south", 0, 0)], 7, 10), {})


class WaitingTasks(unittest.TestCase):
    """A cell with one small worker, and others that show no room."""

    def setUp(self) -> None:
        self.cell, self.balancer = Cell(host("w1", cores=1)), Balancer()

    def add(self, new_step: Step) -> str:
        """Add a job; return its id."""
        job_id = f"{len(self.cell.dispatcher.tracked):016x}"
        self.cell.add(job(job_id, new_step))
        return job_id

    def wait(self, seconds: float, *others: CellLoads) -> None:
        """Let the cell plan and move tasks for some time."""
        for _ in range(round(seconds / STEP_S)):
            self.cell.plan()
            self.balancer.move_stranded(self.cell.dispatcher, list(others), self.cell.now)
            self.cell.now += STEP_S

    def count_in(self, job_id: str, cell: str) -> int:
        """Return how many tasks of a job a cell owns."""
        progress = self.cell.dispatcher.tracked[job_id].progress
        return sum(progress.owner((0, 0, index)) == cell for index in range(6))

    @staticmethod
    def publish(name: str, turnover: float, waiting: float = 0.0) -> CellLoads:
        """Build the load of a cell without room."""
        load = Load(cores=64, waiting=Waiting(lasting=waiting), turnover=turnover)
        return CellLoads(name, {SERVICE: load})

    def test_lasting_tasks_do_not_wait_in_a_cell_where_no_core_becomes_free(self) -> None:
        job_id = self.add(step(6, cores=7, lasting=True))
        south, west = self.publish("south", 32), self.publish("west", 16)
        self.wait(WAITED_S - 0.3, south, west)
        self.assertEqual(self.count_in(job_id, CELL), 6)
        self.wait(1.0, south, west)
        counts = [self.count_in(job_id, cell) for cell in (CELL, "south", "west")]
        self.assertEqual(counts, [0, 4, 2])

    def test_more_tasks_move_once_the_other_cells_have_published_again(self) -> None:
        first = self.add(step(6, cores=7, lasting=True))
        south = self.publish("south", 32)
        self.wait(WAITED_S + 0.1, south)
        second = self.add(step(6, cores=7, lasting=True))
        self.wait(WAITED_S, self.publish("south", 32, waiting=42))
        self.wait(RENEW_S, self.publish("south", 32, waiting=42))
        self.assertEqual([self.count_in(each, "south") for each in (first, second)], [6, 6])

    def test_finite_tasks_and_gangs_stay(self) -> None:
        kinds = step(6, cores=7), step(6, cores=7, lasting=True, gang=True)
        jobs = [self.add(each) for each in kinds]
        self.wait(3.0, self.publish("south", 32))
        self.assertEqual([self.count_in(each, CELL) for each in jobs], [6, 6])

    def test_no_tasks_leave_a_cell_that_is_being_released(self) -> None:
        job_id = self.add(step(6, cores=7, lasting=True))
        self.cell.dispatcher.closed = self.cell.dispatcher.releasing = True
        self.wait(3.0, self.publish("south", 32))
        self.assertEqual(self.count_in(job_id, CELL), 6)

    def test_tasks_of_a_closed_cell_wait_elsewhere_at_once(self) -> None:
        job_id = self.add(step(6, cores=7, lasting=True))
        self.cell.dispatcher.closed = True
        self.wait(STEP_S, self.publish("south", 32))
        self.assertEqual(self.count_in(job_id, "south"), 6)


class Rows(unittest.TestCase):
    def test_a_load_tells_the_cores_that_lasting_tasks_leave(self) -> None:
        cell = Cell(host("w1", cores=16), host("w2", cores=8))
        cell.add(job("0" * 16, step(1, cores=6, lasting=True)))
        cell.add(job("1" * 16, step(1, cores=4)))
        cell.plan()
        load = cell.dispatcher.load(cell.now)[SERVICE]
        self.assertEqual(load.turnover, 18)
        self.assertEqual(decode_loads(encode_loads({SERVICE: load})), {SERVICE: load})

    def test_a_row_of_earlier_code_tells_no_turnover(self) -> None:
        row = {SERVICE: list(Load(cores=64))[:-1]}
        self.assertEqual(decode_loads(row)[SERVICE].turnover, 0.0)


if __name__ == "__main__":
    unittest.main()
