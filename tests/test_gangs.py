"""Gangs wait, move and start as a whole, whatever happens to single members."""

import unittest
from typing import Any

from curranthall.cells.balance import Balancer, CellLoads
from curranthall.cells.dispatcher import SUMMARY_INTERVAL_S
from curranthall.cells.gangs import MAX_REPORTED_GANGS, IdleReason
from curranthall.cells.load import Load
from curranthall.cells.ports import Ending, EndKind, ListedRun, StartTask
from curranthall.cells.records import PARTS
from curranthall.cells.tracking import Batch
from curranthall.dag import Progress, Step
from curranthall.dag.progress import Doubt, Place, TaskKey, decode_progress
from tests.cell_fixtures import CELL, EPOCH, SERVICE, Cell, ended, host, job, step, task
from tests.test_events import CATALOGUE
from tests.test_traces import LogTestCase

JOB = "0" * 16
WIDTH = 4
GANG = step(WIDTH, gang=True, max_per_worker=1)
SOUTH = CellLoads("south", {SERVICE: Load(cores=64, free=64, idle=64, largest=(16.0,) * 4)})
# By then the lease of a worker that answers no more has certainly lapsed.
LAPSED_S = 13.0
# A run of the former holder.
RUN = (EPOCH - 1) * 1_000_000 + 9


class GangTestCase(LogTestCase):
    """A cell of four workers that runs one job; its gang has a member on each of them."""

    def setUp(self) -> None:
        super().setUp()
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


class LateCommits(GangTestCase):
    """Rows of other writers arrive after this cell has moved the gang, before it is recorded."""

    def test_the_gang_stays_whole_whichever_row_arrives(self) -> None:
        home, away = dict[TaskKey, str](), {(0, 0, index): "west" for index in range(WIDTH)}
        cases = {
            "still here": (home, EPOCH, "south"),
            "moved by a later holder": (away, EPOCH + 1, "west"),
            "taken over by a later holder": (home, EPOCH + 1, CELL),
        }
        for name, (moved_to, epoch, owner) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.lose(self.members[0])
                self.wait_for_lapse()
                self.evacuate()
                self.assertEqual(self.owners(), ["south"] * WIDTH)
                self.refresh(Progress(CELL, moved_to=moved_to, claims={CELL: epoch}))
                self.assertEqual(self.owners(), [owner] * WIDTH)
                self.assertEqual(self.cell.plan(), [])

    def test_a_move_that_was_lost_leaves_the_gang_with_its_owner(self) -> None:
        """The store may answer nothing: the row still has the gang here, and is written again."""
        self.lose(self.members[0])
        self.wait_for_lapse()
        self.evacuate()
        self.refresh(Progress(CELL, claims={CELL: EPOCH}))
        self.assertIn(JOB, self.cell.dispatcher.dirty)
        self.assertEqual(self.owners(), ["south"] * WIDTH)


class Split(GangTestCase):
    """A row of an earlier release names several cells for the members of one gang."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = Cell(*(host(f"w{number}") for number in range(WIDTH)))

    def split_row(self, **moved_to: str) -> Progress:
        """Build a row with members `m0` to `m3` in other cells."""
        moved = {(0, 0, int(name[1:])): cell for name, cell in moved_to.items()}
        return Progress(CELL, moved_to=moved, claims={CELL: EPOCH, "south": 3, "west": 2})

    def adopt_row(self, row: Progress, gang: Step = GANG) -> None:
        """Adopt the job with a row; let the cell move what it may."""
        self.cell.dispatcher.adopt(job(JOB, gang), row, 1, self.cell.now)
        self.balance()

    def balance(self) -> None:
        """Run one round of moves."""
        self.cell.plan()
        Balancer().move_stranded(self.cell.dispatcher, [SOUTH], self.cell.now)

    def test_members_go_to_the_cell_of_the_first_one(self) -> None:
        """The members in each cell used to wait for the others for good."""
        for is_lasting in (False, True):
            with self.subTest(is_lasting=is_lasting):
                self.setUp()
                row = self.split_row(m0="south", m1="south", m2="west")
                self.adopt_row(row, GANG._replace(lasting=is_lasting))
                self.assertEqual(self.owners(), ["south", "south", "west", "south"])
                self.assertIn(JOB, self.cell.dispatcher.dirty)
                self.assertEqual(self.progress.claims["south"], 3)

    def test_the_cell_of_the_first_member_keeps_it_and_starts_all_once_they_are_there(self) -> None:
        self.adopt_row(self.split_row(m2="south", m3="south"))
        self.cell.dispatcher.closed = True
        self.balance()
        self.assertEqual(self.owners(), [CELL, CELL, "south", "south"])
        self.cell.dispatcher.closed = False
        self.assertEqual(self.cell.plan(), [])
        joined = self.progress.moved_to | {(0, 0, 2): CELL, (0, 0, 3): CELL}
        self.refresh(Progress(CELL, moved_to=joined, claims=self.progress.claims))
        self.assertEqual(len(self.cell.plan()), WIDTH)

    def test_a_member_with_a_run_stays_until_the_run_is_over(self) -> None:
        """It would start in the other cell while its run here goes on."""
        self.cell.answer("w3", [ListedRun(task(number=3), RUN, "", 50, 0)])
        self.adopt_row(self.split_row(m0="south", m1="south", m2="south"))
        self.assertEqual(self.owners(), ["south", "south", "south", CELL])
        self.cell.answer("w3", [], [Ending(1, task(number=3), RUN, EndKind.BROKEN, "")])
        self.balance()
        self.assertEqual(self.owners(), ["south"] * WIDTH)

    def test_a_member_stays_until_no_worker_of_a_former_holder_can_run_it(self) -> None:
        for is_lasting in (False, True):
            with self.subTest(is_lasting=is_lasting):
                self.cell = Cell(settled=False)
                self.cell.dispatcher.take_over([host("w0")], self.cell.now + 9)
                places = {(0, 0, 3): Place(RUN, "w0")} if is_lasting else {}
                moved_to = dict.fromkeys([(0, 0, index) for index in range(3)], "south")
                row = Progress(CELL, moved_to=moved_to, claims={CELL: EPOCH - 1}, places=places)
                self.adopt_row(row, GANG._replace(lasting=is_lasting))
                self.cell.record()
                self.balance()
                self.assertEqual(self.owners(), ["south", "south", "south", CELL])
                self.cell.answer("w0", [])
                self.cell.dispatcher.note_rows_read(PARTS)
                self.cell.record()
                self.balance()
                self.assertEqual(self.owners(), ["south"] * WIDTH)

    def test_members_of_a_gang_that_is_done_stay(self) -> None:
        done = {(0, 0): GANG.full_mask}
        row = Progress(CELL, done=done, moved_to={(0, 0, 0): "south"}, claims={CELL: EPOCH})
        self.cell.dispatcher.adopt(job(JOB, GANG, step(9, cores=9)), row, 1, self.cell.now)
        self.balance()
        self.assertEqual(self.owners(), ["south", CELL, CELL, CELL])


class Idle(GangTestCase):
    """The log tells why a gang does not run, and where the members are that it lacks."""

    def idle_lines(self, after_s: float = 3.0) -> list[dict[str, Any]]:
        """Return what is logged of idle gangs within some seconds."""
        self.lines.records.clear()
        until = self.cell.now + after_s
        while self.cell.now < until:
            self.cell.now += 0.5
            for member in list(self.cell.dispatcher.members.values()):
                if member.silent_since is None:
                    self.answer(member.name)
            self.cell.plan()
            self.cell.dispatcher.tick(self.cell.now, self.cell.now)
        return self.lines.named("GANG_IDLE")

    def test_a_gang_that_runs_is_not_logged(self) -> None:
        self.assertEqual(self.idle_lines(), [])

    def test_a_run_that_is_not_over_is_logged_with_its_worker(self) -> None:
        lost = self.members[2]
        self.lose(lost)
        line = self.idle_lines()[-1]
        self.assertEqual((line["job"], line["width"], line["why"]), (JOB, WIDTH, "runs"))
        self.assertEqual(line["runs"], [[2, lost.worker, "stopping"]])

    def test_too_few_workers_are_logged_with_the_number_of_members_that_found_one(self) -> None:
        self.start_gang(GANG)
        self.lose(self.members[2])
        self.idle_lines(LAPSED_S)
        line = self.idle_lines()[-1]
        self.assertEqual((line["why"], line["fitting"], line["runs"]), ("room", WIDTH - 1, []))

    def test_members_of_other_cells_are_logged_by_cell(self) -> None:
        moved = {(0, 0, 3): "west", (0, 0, 1): "south"}
        row = Progress(CELL, moved_to=moved, claims={CELL: EPOCH})
        self.cell.dispatcher.adopt(job("1" * 16, GANG), row, 1, self.cell.now)
        line = self.idle_lines()[-1]
        self.assertEqual((line["job"], line["why"]), ("1" * 16, "split"))
        self.assertEqual(line["elsewhere"], {"south": [1], "west": [3]})

    def test_a_gang_whose_runs_may_all_have_crashed_their_workers_is_logged(self) -> None:
        doubts = {
            (0, 0, 0, number, "x"): Doubt(number, "x", "x:1", 5, 10, CELL) for number in range(1, 5)
        }
        row = Progress(CELL, claims={CELL: EPOCH}, doubts=doubts)
        self.cell.dispatcher.adopt(job("1" * 16, GANG), row, 1, self.cell.now)
        line = self.idle_lines()[-1]
        self.assertEqual((line["why"], line["in_doubt"]), ("answer", ["x"] * 4))

    def test_the_number_and_rate_of_lines_are_bounded(self) -> None:
        for number in range(1, 3 * MAX_REPORTED_GANGS):
            self.cell.add(job(f"{number:016x}", step(WIDTH, cores=9, gang=True)))
        lines = self.idle_lines(4 * SUMMARY_INTERVAL_S)
        self.assertGreater(len(lines), MAX_REPORTED_GANGS)
        self.assertLessEqual(len(lines), 4 * MAX_REPORTED_GANGS)

    def test_every_reason_is_documented(self) -> None:
        (row,) = [row for row in CATALOGUE.read_text().splitlines() if "| gang-idle |" in row]
        for reason in IdleReason:
            self.assertRegex(row, rf"\b{reason.value}\b")


if __name__ == "__main__":
    unittest.main()
