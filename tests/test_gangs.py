"""Gangs wait, move and start as a whole, whatever happens to single members."""

import unittest

from curranthall.cells.balance import Balancer, CellLoads
from curranthall.cells.load import Load
from curranthall.cells.ports import EndKind, ListedRun, StartTask
from curranthall.cells.tracking import Batch
from curranthall.dag import Progress, Step
from curranthall.dag.progress import decode_progress
from tests.cell_fixtures import CELL, EPOCH, SERVICE, Cell, ended, host, job, step, task

JOB = "0" * 16
WIDTH = 4
GANG = step(WIDTH, gang=True, max_per_worker=1)
SOUTH = CellLoads("south", {SERVICE: Load(cores=64, free=64, idle=64, largest=(16.0,) * 4)})
# By then the lease of a worker that answers no more has certainly lapsed.
LAPSED_S = 13.0


class GangTestCase(unittest.TestCase):
    """A cell of four workers that runs one job; its gang has a member on each of them."""

    def setUp(self) -> None:
        self.start_gang(GANG, step(1), step(1))

    def start_gang(self, *steps: Step) -> None:
        """Start a job whose first step is a gang; other steps run beside it."""
        self.cell = Cell(*(host(f"w{number}") for number in range(WIDTH)))
        self.balancer = Balancer()
        self.cell.add(job(JOB, *steps))
        self.orders = self.cell.plan()
        self.cell.started(*self.orders)
        self.members = [order for order in self.orders if order.task.step == 0]
        self.ends = dict.fromkeys(self.cell.dispatcher.members, 0)
        self.assertEqual(len(self.members), steps[0].width)

    @property
    def batch(self) -> Batch:
        """Return the gang's batch."""
        return self.cell.dispatcher.tracked[JOB].batches[0, 0]

    @property
    def progress(self) -> Progress:
        """Return the job's progress."""
        return self.cell.dispatcher.tracked[JOB].progress

    def owners(self) -> list[str]:
        """Return the cells of the gang's members."""
        return [self.progress.owner((0, 0, index)) for index in range(self.batch.step.width)]

    def answer(self, name: str, *over: StartTask, kind: EndKind = EndKind.BROKEN) -> None:
        """Let a worker answer with the ends of the given runs; it lists all its other ones."""
        runs = self.cell.member(name).runs.values()
        over_tasks = {order.task for order in over}
        running = [
            ListedRun(run.task, run.number, "", 50, 0)
            for run in runs
            if run.task not in over_tasks and not run.stop_sent_at
        ]
        ends = []
        for order in over:
            self.ends[name] += 1
            ends.append(ended(self.ends[name], order, kind))
        self.cell.answer(name, running, ends)

    def lose(self, lost: StartTask) -> None:
        """Lose a member's worker without an answer; the other members end as broken."""
        self.cell.dispatcher.on_silence(lost.worker, self.cell.now)
        for order in self.members:
            if order.worker != lost.worker:
                self.answer(order.worker, order)

    def evacuate(self) -> None:
        """Close the cell and let it move its waiting tasks."""
        self.cell.dispatcher.closed = True
        self.balancer.move_stranded(self.cell.dispatcher, [SOUTH], self.cell.now)

    def open_another_step(self) -> None:
        """Let a step that runs beside the gang end, whereupon all steps are looked at again."""
        (other,) = [order for order in self.orders if order.task.step == 1]
        self.answer(other.worker, other, kind=EndKind.DONE)

    def refresh(self, progress: Progress | None = None) -> None:
        """Merge a newer row of the job, by default an equal one."""
        tracked = self.cell.dispatcher.tracked[JOB]
        row = decode_progress((progress or tracked.progress).encode())
        self.cell.dispatcher.refresh(JOB, row, tracked.version + 1, self.cell.now)

    def wait_for_lapse(self) -> None:
        """Let the leases of silent workers lapse; the others go on answering."""
        self.cell.now += LAPSED_S
        for member in list(self.cell.dispatcher.members.values()):
            if member.silent_since is None:
                self.answer(member.name)
        self.cell.dispatcher.tick(self.cell.now, self.cell.now)


class LostMember(GangTestCase):
    """A member's run counts until its worker's lease lapses, while all others are over."""

    def test_a_gang_with_a_lapsing_member_is_not_moved_in_parts(self) -> None:
        """Members whose runs were over used to move alone, so that no cell had the whole gang."""
        for notice in (self.open_another_step, self.refresh):
            with self.subTest(notice.__name__):
                self.setUp()
                self.lose(self.members[-1])
                notice()
                self.evacuate()
                self.assertEqual(self.owners(), [CELL] * WIDTH)

    def test_the_whole_gang_is_moved_once_all_runs_are_over(self) -> None:
        self.lose(self.members[-1])
        self.open_another_step()
        self.evacuate()
        self.wait_for_lapse()
        self.evacuate()
        self.assertEqual(self.owners(), ["south"] * WIDTH)

    def test_a_gang_with_a_lapsing_member_does_not_count_as_waiting(self) -> None:
        """The cores of members that can't start alone used to hide room from other cells."""
        self.lose(self.members[-1])
        self.open_another_step()
        self.assertEqual(self.batch.count_waiting(), 0)
        self.assertEqual(self.cell.dispatcher.load(self.cell.now)[SERVICE].waiting.plain, 0)

    def test_the_gang_starts_again_as_a_whole_where_it_was(self) -> None:
        self.lose(self.members[0])
        self.refresh()
        self.assertEqual([each for each in self.cell.plan() if each.task.step == 0], [])
        self.cell.dispatcher.update_host(host("w9"))
        self.cell.answer("w9")
        self.wait_for_lapse()
        again = [order for order in self.cell.plan() if order.task.step == 0]
        self.assertEqual([order.task.number for order in again], list(range(WIDTH)))
        self.assertEqual(len({order.run for order in again}), 1)

    def test_a_move_of_some_members_moves_all(self) -> None:
        self.lose(self.members[0])
        self.wait_for_lapse()
        tracked = self.cell.dispatcher.tracked[JOB]
        self.cell.dispatcher.move(tracked, self.batch, [1, 2], "south", self.cell.now)
        self.assertEqual(self.owners(), ["south"] * WIDTH)

    def test_nothing_moves_while_a_member_is_being_stopped(self) -> None:
        """A stop that isn't answered leaves a run in doubt until its lease lapses."""
        self.answer(self.members[0].worker, self.members[0], kind=EndKind.FAILED)
        self.assertEqual(len(self.cell.stops()), WIDTH - 1)
        for order in self.members[1:-1]:
            self.answer(order.worker, order, kind=EndKind.STOPPED)
        self.refresh()
        self.evacuate()
        self.assertEqual(self.owners(), [CELL] * WIDTH)
        self.assertEqual(self.batch.count_waiting(), 0)

    def test_a_lasting_gang_is_not_moved_in_parts(self) -> None:
        self.start_gang(GANG._replace(lasting=True), step(1), step(1))
        self.lose(self.members[1])
        self.open_another_step()
        self.evacuate()
        self.assertEqual(self.owners(), [CELL] * WIDTH)


class Takeover(GangTestCase):
    def test_a_gang_of_which_one_member_is_listed_is_not_moved_in_parts(self) -> None:
        """A new holder hears of the members' runs one worker after the other."""
        cell = self.cell = Cell(host("w0"), host("w1"))
        self.balancer = Balancer()
        cell.add(job(JOB, GANG))
        cell.answer("w0", [ListedRun(task(JOB), EPOCH * 1_000_000 + 9, "", 50, 0)])
        self.evacuate()
        self.assertEqual(self.owners(), [CELL] * WIDTH)
        self.assertEqual(self.batch.count_waiting(), 0)


if __name__ == "__main__":
    unittest.main()
