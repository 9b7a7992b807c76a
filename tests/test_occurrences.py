"""Jobs with many occurrences: state and rows are bounded by what is due and not done."""

import tracemalloc
import unittest

from curranthall.cells.ports import EndKind, ListedRun, StartTask
from curranthall.dag import Job, Phase, Progress, Step, TaskId
from curranthall.dag.progress import decode_progress
from tests.cell_fixtures import CELL, Cell, claimed_progress, ended, host, job, listed, step

JOB = "0" * 16
MANY = 100_000
MINUTE_MS = 60_000
# The platform's limits: jobs that may come at once, bytes of a row, megabytes of a process.
BURST_JOBS = 48
MAX_ROW_BYTES = 65_536
MEMORY_MB = 300


def make_job(count: int, *steps: Step, first_due_ms: int = 0, job_id: str = JOB) -> Job:
    """Build a job with an occurrence a minute; without `first_due_ms` all are due at once."""
    fields = {"occurrences": count, "first_due_ms": first_due_ms, "interval_ms": MINUTE_MS}
    return job(job_id, *(steps or (step(1),)), **fields)


class TimedCell(Cell):
    """A cell in which the time of day follows the local time."""

    def __init__(self, *names: str, settled: bool = True) -> None:
        super().__init__(*(host(name) for name in names), settled=settled)
        self.dispatcher._wall_ms = lambda: self.now * 1000
        self.ends = dict.fromkeys(names, 0)

    @property
    def progress(self) -> Progress:
        """Return the progress of the job."""
        return self.dispatcher.tracked[JOB].progress

    def row(self) -> Progress:
        """Return the job's row as it is read from the store."""
        return decode_progress(self.progress.encode())

    def finish(self, *orders: StartTask, kind: EndKind = EndKind.DONE) -> None:
        """Let started runs end."""
        for order in orders:
            self.ends[order.worker] += 1
            self.answer(order.worker, [], [ended(self.ends[order.worker], order, kind)])

    def run_all(self, seconds: float = 0.0) -> list[TaskId]:
        """Pass the time and let all tasks run until nothing starts any more; return these."""
        self.now += seconds
        for name in self.dispatcher.members:
            self.answer(name)
        found: list[TaskId] = []
        while True:
            self.dispatcher.tick(self.now, self.now)
            orders = self.plan()
            if not orders:
                return found
            self.started(*orders)
            self.finish(*orders)
            found += [order.task for order in orders]

    def count_batches(self) -> int:
        """Return how many steps of all jobs the cell keeps state of."""
        return sum(len(tracked.batches) for tracked in self.dispatcher.tracked.values())


class State(unittest.TestCase):
    def test_occurrences_that_are_not_due_take_no_memory(self) -> None:
        """Each of them used to take an entry of a table: a few jobs exceeded a process's limit."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        cell = TimedCell("w1")
        for number in range(BURST_JOBS):
            new_job = make_job(MANY, first_due_ms=160_000, job_id=f"{number:016x}")
            cell.dispatcher.adopt(new_job, claimed_progress(), 1, cell.now)
        for _ in range(3):
            cell.now += 0.1
            cell.dispatcher.tick(cell.now, cell.now)
        self.assertLess(tracemalloc.get_traced_memory()[1] / 1e6, MEMORY_MB / 10)
        self.assertEqual(cell.count_batches(), 0)

    def test_few_of_many_due_occurrences_wait_at_a_time(self) -> None:
        cell = TimedCell("w1")
        cell.dispatcher.adopt(make_job(MANY, step(2)), claimed_progress(), 1, cell.now)
        for _ in range(20):
            cell.started(*cell.plan())
            cell.now += 0.1
            cell.answer("w1", [listed(order) for order in cell.take(StartTask)])
            cell.dispatcher.tick(cell.now, cell.now)
        self.assertLess(cell.count_batches(), 100)

    def test_occurrences_that_are_done_take_no_memory(self) -> None:
        cell = TimedCell("w1")
        steps = step(1), step(1, after=(0,))
        cell.dispatcher.adopt(make_job(200, *steps), claimed_progress(), 1, cell.now)
        self.assertEqual(len(cell.run_all()), 400)
        self.assertIs(cell.progress.phase, Phase.COMPLETED)
        self.assertEqual(cell.count_batches(), 0)
        self.assertEqual(cell.progress.done, {})

    def test_a_successor_keeps_no_state_of_what_is_done_or_not_due(self) -> None:
        cell = TimedCell("w1")
        row = claimed_progress()
        row.finished = MANY // 2
        first_due_ms = int(cell.now * 1000) + MINUTE_MS - MANY // 2 * MINUTE_MS
        done_and_due = make_job(MANY, first_due_ms=10**12, job_id=JOB)
        cell.dispatcher._wall_ms = lambda: cell.now * 1000 - first_due_ms + 10**12
        cell.dispatcher.adopt(done_and_due, decode_progress(row.encode()), 1, cell.now)
        self.assertEqual(cell.count_batches(), 0)
        self.assertEqual(cell.run_all(MINUTE_MS / 1000), [TaskId(JOB, MANY // 2, 0, 0)])

    def test_another_cell_keeps_no_state_of_occurrences_without_its_tasks(self) -> None:
        cell = TimedCell("w1")
        row = claimed_progress()
        row.cell = "south"
        row.moved_to = {(90_000, 0, 1): CELL}
        cell.dispatcher.adopt(make_job(MANY, step(2)), row, 1, cell.now)
        self.assertLess(cell.count_batches(), 100)
        self.assertEqual(cell.run_all(), [TaskId(JOB, 90_000, 0, 1)])
        # The cell goes on with the job once it is moved there.
        row.cell = CELL
        row.move_tasks([], CELL)
        cell.dispatcher.refresh(JOB, row, 2, cell.now)
        first = {order.task for order in cell.plan()}
        self.assertLessEqual({TaskId(JOB, 0, 0, 0), TaskId(JOB, 0, 0, 1)}, first)
        self.assertLess(cell.count_batches(), 100)


class Rows(unittest.TestCase):
    def test_a_row_stays_within_its_limit_for_any_number_of_occurrences(self) -> None:
        new_job = make_job(MANY, step(3), step(1, after=(0,)))
        progress = Progress(CELL)
        for occurrence in range(MANY):
            for number, width in ((0, 3), (1, 1)):
                for index in range(width):
                    progress.add_failure((occurrence, number, index), occurrence + 1)
                    progress.add_done(occurrence, number, index)
            progress.drop_finished(new_job)
            if not occurrence % 10_000:
                self.assertLess(len(progress.encode()), MAX_ROW_BYTES / 100)
        self.assertTrue(progress.is_all_done(new_job))
        self.assertEqual(progress.count_done(new_job), 4 * MANY)
        self.assertEqual(decode_progress(progress.encode()), progress)

    def test_occurrences_that_end_out_of_order_are_done(self) -> None:
        new_job, progress = make_job(3), Progress(CELL)
        for occurrence, finished in ((1, 0), (0, 2), (2, 3)):
            self.assertFalse(progress.is_all_done(new_job))
            progress.add_done(occurrence, 0, 0)
            progress.drop_finished(new_job)
            self.assertEqual(progress.finished, finished)
            self.assertTrue(progress.is_done(occurrence, 0, 0))
        self.assertTrue(progress.is_all_done(new_job))

    def test_rows_of_two_writers_merge(self) -> None:
        new_job, one, two = make_job(4), Progress(CELL), Progress("south")
        for occurrence in (0, 1):
            one.add_done(occurrence, 0, 0)
        one.drop_finished(new_job)
        for occurrence in (1, 2):
            two.add_done(occurrence, 0, 0)
        two.add_failure((0, 0, 0), 3)
        for first, second in ((one, two), (two, one)):
            merged = decode_progress(first.encode())
            merged.merge(decode_progress(second.encode()), CELL, 7)
            merged.drop_finished(new_job)
            self.assertEqual((merged.finished, merged.done, merged.failures), (3, {}, {}))

    def test_what_ends_late_in_a_finished_occurrence_is_not_recorded(self) -> None:
        cell = TimedCell("w1")
        cell.dispatcher.adopt(make_job(3, step(1, copies=True)), claimed_progress(), 1, cell.now)
        orders = cell.plan()
        cell.started(*orders)
        first, second = orders[0], orders[1]
        cell.finish(first)
        late = StartTask("w1", first.task, first.run, "", "", 0)
        cell.finish(late)
        cell.finish(second)
        self.assertEqual((cell.progress.finished, cell.progress.done), (2, {}))

    def test_a_row_of_an_earlier_release_is_read(self) -> None:
        new_job = make_job(1_000)
        row = claimed_progress()
        for occurrence in range(600):
            row.add_done(occurrence, 0, 0)
        cell = TimedCell("w1")
        cell.dispatcher.adopt(new_job, decode_progress(row.encode()), 1, cell.now)
        self.assertEqual(cell.progress.finished, 600)
        self.assertEqual(cell.run_all()[0], TaskId(JOB, 600, 0, 0))

    def test_a_job_that_runs_once_keeps_what_is_done(self) -> None:
        progress = Progress(CELL)
        progress.add_done(0, 0, 0)
        progress.drop_finished(job())
        self.assertEqual(progress.done, {(0, 0): 1})


class Turns(unittest.TestCase):
    def test_each_occurrence_starts_at_its_time(self) -> None:
        cell = TimedCell("w1")
        due = make_job(4, first_due_ms=int(cell.now * 1000) + 1_000)
        cell.dispatcher.adopt(due, claimed_progress(), 1, cell.now)
        self.assertEqual(cell.run_all(0.9), [])
        self.assertEqual(cell.run_all(0.2), [TaskId(JOB, 0, 0, 0)])
        self.assertEqual(cell.run_all(59.7), [])
        self.assertEqual(cell.run_all(0.3), [TaskId(JOB, 1, 0, 0)])
        found = cell.run_all(125)
        self.assertEqual(found, [TaskId(JOB, 2, 0, 0), TaskId(JOB, 3, 0, 0)])
        self.assertIs(cell.progress.phase, Phase.COMPLETED)

    def test_all_due_occurrences_run_once(self) -> None:
        cell = TimedCell("w1", "w2")
        steps = step(2), step(3, gang=True, after=(0,))
        cell.dispatcher.adopt(make_job(150, *steps), claimed_progress(), 1, cell.now)
        found = cell.run_all()
        self.assertEqual(len(found), 150 * 5)
        self.assertEqual(len(set(found)), len(found))
        self.assertIs(cell.progress.phase, Phase.COMPLETED)

    def test_lasting_tasks_of_all_due_occurrences_start(self) -> None:
        cell = TimedCell("w1", "w2")
        tiny = step(1, cores=0.01, lasting=True)
        tiny = tiny._replace(size=tiny.size._replace(memory=1))
        cell.dispatcher.adopt(make_job(300, tiny), claimed_progress(), 1, cell.now)
        started = set()
        for _ in range(60):
            orders = cell.plan()
            cell.started(*orders)
            started |= {order.task for order in orders}
            cell.now += 0.1
            cell.dispatcher.tick(cell.now, cell.now)
            for name, member in cell.dispatcher.members.items():
                cell.answer(name, [ListedRun(t, r, "", 100, 0) for t, r in member.runs])
        self.assertEqual(len(started), 300)

    def test_a_listed_run_of_a_far_occurrence_is_not_started_again(self) -> None:
        cell = TimedCell("w1", "w2", settled=False)
        cell.dispatcher.take_over([host("w1"), host("w2")], cell.now + 7)
        cell.dispatcher.adopt(make_job(120, step(2)), Progress(CELL), 1, cell.now)
        far = [TaskId(JOB, occurrence, 0, 1) for occurrence in (0, 70, 119)]
        cell.answer("w1", [ListedRun(each, 3, "", 50, 0) for each in far])
        cell.answer("w2")
        cell.dispatcher.note_rows_read()
        cell.record()
        found = set()
        while orders := cell.plan():
            cell.started(*orders)
            found |= {order.task for order in orders}
            kept = [ListedRun(each, 3, "", 50, 0) for each in far]
            cell.answer("w1", kept, asked_at=cell.now - 1)
            cell.finish(*(order for order in orders if order.worker == "w2"))
            on_first = [order for order in orders if order.worker == "w1"]
            for order in on_first:
                cell.ends["w1"] += 1
                cell.answer("w1", kept, [ended(cell.ends["w1"], order, EndKind.DONE)])
            cell.dispatcher.tick(cell.now, cell.now)
        self.assertFalse(found & set(far))
        self.assertEqual(len(found), 240 - len(far))

    def test_a_task_that_a_row_gives_to_another_cell_does_not_start_here(self) -> None:
        cell = TimedCell("w1")
        row = claimed_progress()
        row.cell, row.moved_to = "south", {(7, 0, 0): CELL}
        cell.dispatcher.adopt(make_job(20), row, 1, cell.now)
        later = decode_progress(row.encode())
        later.moved_to = {(7, 0, 0): "west"}
        cell.dispatcher.refresh(JOB, later, 2, cell.now)
        self.assertEqual(cell.plan(), [])

    def test_a_copy_of_a_finished_occurrence_is_stopped(self) -> None:
        cell = TimedCell("w1")
        new_job = make_job(20, step(1, copies=True))
        cell.dispatcher.adopt(new_job, claimed_progress(), 1, cell.now)
        first = cell.plan()[0]
        cell.started(first)
        row = claimed_progress()
        row.finished = 1
        cell.dispatcher.refresh(JOB, decode_progress(row.encode()), 2, cell.now)
        self.assertEqual([stop.task for stop in cell.stops()], [first.task])

    def test_a_failed_occurrence_fails_the_job(self) -> None:
        cell = TimedCell("w1")
        cell.dispatcher.adopt(make_job(3), claimed_progress(), 1, cell.now)
        for _ in range(2):
            orders = cell.plan()
            cell.started(*orders)
            cell.finish(
                *(each for each in orders if each.task.occurrence == 1), kind=EndKind.FAILED
            )
        self.assertIs(cell.progress.phase, Phase.FAILED)


if __name__ == "__main__":
    unittest.main()
