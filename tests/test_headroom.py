"""Room for short tasks beside lasting ones, which never end."""

import unittest

from curranthall.cells.ports import StartTask
from curranthall.dag import Step
from curranthall.model import Host, Size
from tests.cell_fixtures import Cell, host, job, step

WORKERS = 16
CORES = 16
LASTING = "0" * 16
SHORT = "1" * 16


def full_cell(*hosts: Host, lasting: Step | None = None) -> Cell:
    """Build a cell with more lasting tasks than fit."""
    cell = Cell(*(hosts or [host(f"w{number:02}", cores=CORES) for number in range(WORKERS)]))
    cell.add(job(LASTING, lasting or step(200, cores=3, lasting=True)))
    cell.started(*cell.plan())
    return cell


class ShortTasks(unittest.TestCase):
    def place(self, cell: Cell, short: Step) -> list[StartTask]:
        """Add a job of one step; return the starts."""
        cell.add(job(SHORT, short))
        return [order for order in cell.plan() if order.task.job == SHORT]

    def test_a_short_task_as_large_as_a_worker_finds_room_beside_lasting_ones(self) -> None:
        self.assertEqual(len(self.place(full_cell(), step(2, cores=CORES))), 2)

    def test_lasting_tasks_leave_memory_for_large_short_tasks(self) -> None:
        heavy = Step(200, Size(0.5, 12_000), lasting=True)
        large = Step(2, Size(1, CORES * 4_000), 1_000)
        self.assertEqual(len(self.place(full_cell(lasting=heavy), large)), 2)


if __name__ == "__main__":
    unittest.main()
