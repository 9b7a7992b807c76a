"""Lasting tasks without room in any cell wait where the most cores become free."""

import unittest
from unittest import mock

from curranthall.cells.balance import MAX_SPREAD_STEPS, Balancer, CellLoads, group_kinds
from curranthall.cells.crowding import Crowd, spread_out
from curranthall.cells.load import Load, Waiting, decode_loads, encode_loads
from curranthall.cells.owner import RENEW_S
from curranthall.cells.tracking import Batch
from curranthall.dag import Step
from curranthall.model import Size
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
        for own in (0, 1, 20):
            moved = spread_out(Crowd("north", 70, own), [Crowd("south", 0, 0)], 7, 10)
            self.assertEqual(moved, {})


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
        load = Load(cores=64, waiting=Waiting(lasting=waiting), turnover=((turnover, 1),))
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

    def test_tasks_moved_since_the_other_cell_published_count_as_waiting_there(self) -> None:
        first = self.add(step(6, cores=7, lasting=True))
        south, west = self.publish("south", 42), self.publish("west", 21, waiting=27)
        self.wait(WAITED_S + 0.1, south, west)
        self.assertEqual(self.count_in(first, "south"), 6)
        second = self.add(step(6, cores=7, lasting=True))
        self.wait(WAITED_S + 0.1, south, west)
        counts = [self.count_in(second, cell) for cell in ("south", "west")]
        self.assertEqual(counts, [5, 1])

    def test_tasks_move_at_most_once_between_two_rows_of_other_cells(self) -> None:
        south = self.publish("south", 700)
        self.add(step(6, cores=7, lasting=True))
        self.wait(0.3, south)
        later = self.add(step(6, cores=7, lasting=True))
        self.wait(WAITED_S + RENEW_S - 0.4, south)
        self.assertEqual(self.count_in(later, CELL), 6)
        self.wait(0.5, south)
        self.assertEqual(self.count_in(later, "south"), 6)

    def test_few_of_many_waiting_jobs_move_at_once(self) -> None:
        jobs = [self.add(step(6, cores=7, lasting=True)) for _ in range(MAX_SPREAD_STEPS + 4)]
        self.wait(WAITED_S + 0.1, self.publish("south", 7000))
        moved = sum(self.count_in(each, "south") > 0 for each in jobs)
        self.assertEqual(moved, MAX_SPREAD_STEPS)

    def test_tasks_sent_to_wait_hide_no_room(self) -> None:
        first = self.add(step(6, cores=7, lasting=True))
        self.wait(WAITED_S + 0.1, self.publish("south", 700))
        self.assertEqual(self.count_in(first, "south"), 6)
        second = self.add(step(6, cores=7, lasting=True))
        load = Load(cores=64, free=42, lasting=42, largest=(42.0,), largest_lasting=42)
        self.wait(0.7, CellLoads("south", {SERVICE: load}))
        self.assertEqual(self.count_in(second, "south"), 6)

    def test_tasks_of_several_jobs_leave_as_many_as_the_cell_can_take(self) -> None:
        self.cell = Cell(host("w1", cores=16), host("w2", cores=16))
        self.add(step(4, cores=7))
        self.cell.started(*self.cell.plan())
        jobs = [self.add(step(3, cores=7, lasting=True)) for _ in range(2)]
        self.wait(WAITED_S + 0.1, self.publish("south", 28))
        tracked = [self.cell.dispatcher.tracked[each].progress for each in jobs]
        owners = [each.owner((0, 0, index)) for each in tracked for index in range(3)]
        self.assertEqual(owners.count("south"), 3)

    def test_tasks_stay_that_no_worker_of_the_other_cell_can_run(self) -> None:
        job_id = self.add(Step(6, Size(7, 1_000, 1), 1_000, lasting=True))
        plain = group_kinds([host("s1", cores=42, domain="south")])["south"]
        self.wait(3.0, self.publish("south", 42)._replace(kinds=plain))
        self.assertEqual(self.count_in(job_id, CELL), 6)

    def test_tasks_over_their_customers_limit_stay(self) -> None:
        limited, other = (self.add(step(6, cores=7, lasting=True)) for _ in range(2))
        self.cell.plan()

        def allows(batch: Batch) -> bool:
            return batch.tracked.job.id != limited

        with mock.patch.object(self.cell.dispatcher.quota, "allows", allows):
            self.wait(3.0, self.publish("south", 700))
        self.assertEqual([self.count_in(each, CELL) for each in (limited, other)], [6, 0])

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
        self.assertEqual(load.turnover, ((16.0, 1), (2.0, 1)))
        pieces = [load.turnover_for(step(1, cores=cores)) for cores in (1, 2, 3, 9, 17)]
        self.assertEqual(pieces, [18, 18, 15, 9, 0])
        limited = step(1, cores=2, max_per_worker=3)
        self.assertEqual(load.turnover_for(limited), 8)
        self.assertEqual(decode_loads(encode_loads({SERVICE: load})), {SERVICE: load})

    def test_a_row_of_earlier_code_tells_no_turnover(self) -> None:
        row = {SERVICE: list(Load(cores=64))[:-1]}
        self.assertEqual(decode_loads(row)[SERVICE].turnover, ())


if __name__ == "__main__":
    unittest.main()
