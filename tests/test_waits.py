"""Tests of the logs and metrics of jobs by size and outcome, and of wait reasons."""

import re
import unittest
from types import SimpleNamespace

from curranthall import telemetry
from curranthall.cells.balance import Balancer, CellLoads
from curranthall.cells.load import Load
from curranthall.cells.poison import MAX_AMBIGUOUS_CRASHES
from curranthall.cells.ports import EndKind, ListedRun
from curranthall.cells.tracking import classify
from curranthall.cells.waits import MAX_SAMPLED_BATCHES, WaitReason, idle_jobs
from curranthall.daemon import _cell_samples
from curranthall.dag import Progress, Step
from curranthall.dag.progress import Doubt, Place
from curranthall.model import Host, HostState
from curranthall.telemetry import LabeledCounter, Telemetry
from tests.cell_fixtures import (
    BORN,
    CELL,
    EPOCH,
    SERVICE,
    Cell,
    claimed_progress,
    ended,
    host,
    job,
    step,
)
from tests.test_events import CATALOGUE
from tests.test_traces import LogTestCase


class Classes(unittest.TestCase):
    def test_classes_are_powers_of_two_of_the_usual_work(self) -> None:
        found = [classify(work, 10) for work in (4, 5, 9.9, 10, 19, 20, 40, 80)]
        self.assertEqual(found, ["0.25", "0.5", "0.5", "1", "1", "2", "4", "8"])

    def test_the_number_of_size_classes_is_bounded(self) -> None:
        self.assertEqual([classify(work, 1) for work in (1e-9, 1e9)], ["0.25", "8"])
        self.assertEqual([classify(0, 1), classify(1, 0)], ["1", "1"])

    def test_a_job_is_classified_by_the_earlier_jobs_of_its_queue(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("0" * 16, step(1)))
        cell.add(job("1" * 16, step(5)))
        found = [tracked.size_class for tracked in cell.dispatcher.tracked.values()]
        self.assertEqual(found, ["1", "4"])


class Counted(LogTestCase):
    def setUp(self) -> None:
        super().setUp()
        telemetry.jobs_by_size._series.clear()
        self.addCleanup(telemetry.jobs_by_size._series.clear)
        self.cell = Cell(host("w1"))

    def counts(self) -> dict[str, float]:
        """Return the number of counted jobs by outcome."""
        return {each.labels["outcome"]: each.value for each in telemetry.jobs_by_size.samples()}

    def complete(self, after_s: float) -> dict[str, object]:
        """Complete a job of 1 s with an objective of 3 s after `after_s`; return its log line."""
        cell = self.cell
        cell.add(job("0" * 16, step(1)))
        (order,) = cell.plan()
        cell.now += after_s
        cell.dispatcher.tick(cell.now, cell.now)
        cell.answer("w1", [], [ended(1, order, EndKind.DONE)])
        cell.record()
        (line,) = self.lines.named("JOB_ENDED")
        return line

    def test_a_job_in_time_is_counted_and_logged_as_in_time(self) -> None:
        line = self.complete(2.5)
        wanted = {"queue": "q", "work": 1.0, "size": "1", "outcome": "in_time"}
        self.assertEqual({key: line[key] for key in wanted}, wanted)
        self.assertEqual(self.counts(), {"accepted": 1, "in_time": 1})

    def test_a_job_within_three_objectives_is_late(self) -> None:
        self.assertEqual(self.complete(8.5)["outcome"], "late")
        self.assertEqual(self.counts(), {"accepted": 1, "late": 1})

    def test_a_job_that_ends_past_three_objectives_is_counted_as_expired_once(self) -> None:
        self.assertEqual(self.complete(9.5)["outcome"], "expired")
        self.assertEqual(self.counts(), {"accepted": 1, "expired": 1})

    def test_a_job_that_never_ends_is_counted_as_expired_once(self) -> None:
        self.cell.add(job("0" * 16, step(1, cores=99)))
        for _ in range(3):
            self.cell.now += 9.5
            self.cell.dispatcher.tick(self.cell.now, self.cell.now)
        self.assertEqual(self.counts(), {"accepted": 1, "expired": 1})

    def test_a_lasting_job_never_expires(self) -> None:
        self.cell.add(job("0" * 16, step(1, lasting=True)))
        self.cell.now += 99
        self.cell.dispatcher.tick(self.cell.now, self.cell.now)
        self.assertEqual(self.counts(), {"accepted": 1})

    def test_a_failed_job_is_not_counted_as_late(self) -> None:
        self.cell.queue = self.cell.queue._replace(max_attempts=1)
        self.cell.add(job("0" * 16, step(1)))
        (order,) = self.cell.plan()
        self.cell.answer("w1", [], [ended(1, order, EndKind.FAILED)])
        self.cell.record()
        self.assertEqual(self.lines.named("JOB_ENDED")[0]["outcome"], "failed")
        self.assertEqual(self.counts(), {"accepted": 1, "failed": 1})

    def test_a_job_from_before_a_takeover_or_of_another_cell_is_not_counted_again(self) -> None:
        self.cell.add(job("0" * 16), prior=True)
        given = Progress("south", moved_to={(0, 0, 1): "north"}, moves=1)
        self.cell.dispatcher.adopt(job("1" * 16), given, 1, self.cell.now)
        self.cell.dispatcher.adopt(job("2" * 16), Progress("north", moves=1), 1, self.cell.now)
        self.assertEqual(self.counts(), {})

    def test_counts_are_rendered_as_text(self) -> None:
        self.complete(2.5)
        body, _ = Telemetry(lambda: iter(())).render()
        line = 'curranthall_jobs_by_size_total{outcome="in_time",queue="q",size="1"} 1'
        self.assertIn(line, body.decode())

    def test_a_labeled_counter_counts_each_label_value(self) -> None:
        tally = LabeledCounter("x")
        tally.count(a="1")
        tally.count(a="2")
        tally.count(a="1")
        found = {each.labels["a"]: each.value for each in tally.samples()}
        self.assertEqual(found, {"1": 2, "2": 1})


class Reasons(LogTestCase):
    def waits(self, cell: Cell) -> dict[str, int]:
        """Plan and log the summary; return the waiting tasks by reason."""
        cell.plan()
        cell.dispatcher.tick(cell.now, cell.now)
        (line,) = self.lines.named("CELL_STATE")
        self.assertEqual(line["waits"], [list(row) for row in cell.dispatcher.waits])
        return {row.why: row.tasks for row in cell.dispatcher.waits}

    def busy_cell(self, *hosts: Host, cores: float = 5) -> Cell:
        """Build a cell with one large task on each worker."""
        cell = Cell(*hosts)
        cell.add(job("0" * 16, step(len(hosts), cores=cores)))
        cell.started(*cell.plan())
        return cell

    def strained_cell(self, *more: Step) -> Cell:
        """Build a cell with a serving task near its target and jobs of the given steps."""
        cell = Cell(host("w1", cores=16))
        serving = step(1, cores=4, lasting=True, image="watch", target_ms=20)
        cell.add(job("0" * 16, serving))
        (first,) = cell.plan()
        cell.started(first)
        cell.now += 1
        cell.answer("w1", [ListedRun(first.task, first.run, "", 100, 19)])
        for number, each in enumerate(more, 1):
            cell.add(job(f"{number}" * 16, each))
        return cell

    def test_lasting_tasks_are_counted_and_those_that_wait_are_listed(self) -> None:
        cell = Cell(host("w1", cores=10))
        cell.add(job("0" * 16, step(2, cores=3, lasting=True, image="s", target_ms=20)))
        cell.started(*cell.plan())
        runs = cell.member("w1").runs.values()
        tails = [ListedRun(run.task, run.number, "", 100, 21 - at) for at, run in enumerate(runs)]
        cell.answer("w1", tails)
        cell.add(job("1" * 16, step(1, cores=3, lasting=True)))
        cell.plan()
        cell.now += 1
        self.assertEqual(self.waits(cell), {"kept": 1})
        (line,) = self.lines.named("CELL_STATE")
        counted = {"waiting": 1, "runs": 2, "at_work": 2, "over_target": 1}
        self.assertEqual(line["lasting"], {**counted, "over_beside_filling": 0})
        self.assertEqual(line["lasting_waits"], [["1" * 16, 0, 1, 3, 1.0, "kept"]])
        self.assertEqual(line["kept_room_access"], [["1" * 16, 0, "recent"]])

    def test_why_a_lasting_task_may_not_take_room_kept_for_short_ones_is_logged(self) -> None:
        cell = Cell(host("w1", cores=10))
        cell.add(job("0" * 16, step(3, cores=3, lasting=True)))
        cell.add(job("1" * 16, step(1, cores=4)))
        cell.started(*cell.plan())
        access = []
        for largest in ((), (3.0, 3.0)):
            cell.dispatcher.other_cell_loads = {SERVICE: [Load(largest=largest)]}
            cell.now += 2
            cell.plan()
            cell.dispatcher.tick(cell.now, cell.now)
            line = self.lines.named("CELL_STATE")[-1]
            access += [row[2] for row in line["kept_room_access"]]
        self.assertEqual(access, ["few_rooms", "in_use"])

    def test_a_lasting_task_that_no_cell_has_room_for_is_logged_with_the_rooms(self) -> None:
        cell, balancer = Cell(host("w1", cores=2)), Balancer()
        cell.add(job("0" * 16, step(1, cores=3, lasting=True)))
        cell.plan()
        south = CellLoads("south", {SERVICE: Load(cores=9, free=2, largest=(2.0,))})
        for _ in range(3):
            cell.now += 0.5
            balancer.move_stranded(cell.dispatcher, [south], cell.now)
        (line,) = self.lines.named("JOB_NOT_MOVED")
        found = line["tasks"], line["slots"], line["left"], line["rooms"]
        self.assertEqual(found, (1, {"south": 0}, {"south": 0}, {"south": 0}))

    def test_the_wait_of_a_lasting_task_that_ran_begins_with_the_end_of_its_run(self) -> None:
        cell = Cell(host("w1", cores=10))
        cell.add(job("0" * 16, step(1, cores=3, lasting=True)))
        (order,) = cell.plan()
        cell.plan()
        cell.now += 9
        cell.answer("w1", [], [ended(1, order, EndKind.FAILED)])
        cell.member("w1").pause(cell.now + 9)
        cell.now += 1
        self.waits(cell)
        (line,) = self.lines.named("CELL_STATE")
        (row,) = line["lasting_waits"]
        self.assertEqual((row[0], row[4]), ("0" * 16, 1.0))

    def test_held_lasting_tasks_and_the_workers_that_hold_them_up_are_listed(self) -> None:
        cell = Cell(settled=False)
        leaving = host("w1", state=HostState.LEAVING)
        cell.dispatcher.take_over([leaving, host("w2")], cell.now + 60)
        cell.answer("w2")
        cell.add(job("1" * 16, step(2, cores=3, lasting=True)), prior=True)
        cell.now += 1
        cell.dispatcher.on_silence("w1", cell.now, "refused")
        cell.now += 3
        self.assertEqual(self.waits(cell), {"held": 2})
        (line,) = self.lines.named("CELL_STATE")
        self.assertEqual(line["lasting_waits"], [["1" * 16, 0, 2, 3, 4.0, "held"]])
        self.assertEqual(line["unproven_workers"], [["w1", "leaving", 3.0]])
        (line,) = self.lines.named("WORKER_SILENT")
        self.assertEqual((line["state"], line["error"]), ("leaving", "refused"))

    def test_the_workers_that_hold_up_lasting_tasks_are_logged_with_the_tasks(self) -> None:
        for places, worker in (({(0, 0, 0): Place(1, "w1")}, "w1"), (None, "")):
            with self.subTest(worker=worker):
                cell = Cell(settled=False)
                cell.dispatcher.take_over([host("w1")], cell.now + 60)
                row = claimed_progress(EPOCH - 1, places=places)
                lasting = job("1" * 16, step(1, lasting=True))
                cell.dispatcher.adopt(lasting, row, 1, cell.now)
                cell.dispatcher.tick(cell.now, cell.now)
                line = self.lines.named("CELL_STATE")[-1]
                self.assertEqual(line["held_by"], [["1" * 16, 0, worker, 1]])

    def test_a_task_that_waits_for_the_answer_of_a_worker_is_reported_as_such(self) -> None:
        cell = Cell(host("w1"))
        new_job, row = job("1" * 16, step(1, lasting=True)), claimed_progress()
        for run in range(1, MAX_AMBIGUOUS_CRASHES + 1):
            doubt = Doubt(run, f"w{run + 1}", f"w{run + 1}:1", BORN, 10, CELL)
            row.add_doubt((0, 0, 0), doubt)
        cell.dispatcher.adopt(new_job, row, 1, cell.now)
        self.assertEqual(self.waits(cell), {"answer": 1})

    def test_too_few_cores_in_total_are_reported_as_full(self) -> None:
        cell = self.busy_cell(host("w1"))
        cell.add(job("1" * 16, step(2, cores=4)))
        self.assertEqual(self.waits(cell), {"full": 2})

    def test_cores_spread_over_workers_are_reported_as_fragments(self) -> None:
        cell = self.busy_cell(host("w1"), host("w2"))
        cell.add(job("1" * 16, step(2, cores=4)))
        self.assertEqual(self.waits(cell), {"fragments": 2})

    def test_a_row_has_the_largest_task_and_the_largest_room(self) -> None:
        cell = self.busy_cell(host("w1"), host("w2", cores=10))
        cell.add(job("1" * 16, step(2, cores=6)))
        cell.add(job("2" * 16, step(1, cores=7)))
        self.waits(cell)
        rows = [(row.size, row.task_cores, row.largest_room) for row in cell.dispatcher.waits]
        self.assertEqual(rows, [("0.5", 7, 5), ("1", 6, 5)])

    def test_the_end_of_a_job_tells_how_long_its_tasks_waited_for_a_worker(self) -> None:
        cell = Cell(host("w1", cores=2), max_attempts=9)
        cell.add(job("0" * 16, step(2, cores=2)))
        for number in (1, 2):
            (order,) = cell.plan()
            cell.now += 1
            cell.answer("w1", [], [ended(number, order, EndKind.DONE)])
        cell.record()
        (line,) = self.lines.named("JOB_ENDED")
        self.assertEqual((line["waited_ms"], line["failed_runs"]), (1_000, 0))

    def test_the_end_of_a_job_tells_its_failed_runs(self) -> None:
        cell = Cell(host("w1", cores=2), max_attempts=9)
        cell.add(job("0" * 16, step(1)))
        for number, kind in enumerate((EndKind.FAILED, EndKind.FAILED, EndKind.DONE), 1):
            (order,) = cell.plan()
            cell.answer("w1", [], [ended(number, order, kind)])
        cell.record()
        (line,) = self.lines.named("JOB_ENDED")
        self.assertEqual((line["waited_ms"], line["failed_runs"]), (0, 2))

    def test_filling_tasks_without_idle_cores_are_reported_as_full(self) -> None:
        cell = self.busy_cell(host("w1", cores=8), cores=7.5)
        cell.add(job("1" * 16, step(3, cores=2, filling=True, image="fill")))
        self.assertEqual(self.waits(cell), {"full": 3})

    def test_a_serving_task_near_its_target_is_reported_as_strain(self) -> None:
        cell = self.strained_cell(step(3, cores=4, filling=True, image="fill"))
        self.assertEqual(self.waits(cell), {"strain": 3})

    def test_only_jobs_without_any_run_are_counted_as_idle(self) -> None:
        cell = self.strained_cell(*[step(3, cores=4, filling=True, image="fill") for _ in range(2)])
        batch = cell.dispatcher.tracked["1" * 16].batches[0, 0]
        cell.dispatcher._start(batch, 0, cell.member("w1"), 99, cell.now)
        self.assertEqual(self.waits(cell), {"strain": 5})
        (row,) = cell.dispatcher.waits
        self.assertEqual((row.queue, row.cores, row.jobs, row.idle_jobs), ("q", 20, 2, 1))
        self.assertEqual(idle_jobs(cell.dispatcher.waits), {("q", "2"): 1})

    def test_room_kept_for_short_tasks_is_reported_as_kept(self) -> None:
        cell = Cell(host("w1", cores=16))
        cell.add(job("0" * 16, step(40, cores=3, lasting=True)))
        self.assertEqual(set(self.waits(cell)), {"kept"})

    def test_tasks_behind_a_reserved_worker_are_reported_as_order(self) -> None:
        cell = Cell(host("w1", cores=4))
        cell.add(job("0" * 16, step(3, cores=1)))
        cell.started(*cell.plan())
        cell.add(job("1" * 16, step(1, cores=3, lasting=True)))
        cell.add(job("2" * 16, step(1, cores=1)))
        self.assertEqual(self.waits(cell), {"full": 1, "order": 1})

    def test_a_missing_label_is_reported_as_worker(self) -> None:
        cell = Cell(host("w1"))
        cell.add(job("0" * 16, step(2, requires="other")))
        self.assertEqual(self.waits(cell), {"worker": 2})

    def test_a_step_without_approved_workers_is_reported_as_ticket(self) -> None:
        cell = Cell(host("w1"))
        cell.queue = cell.queue._replace(advised=True)
        cell.add(job("0" * 16, step(2)))
        self.assertEqual(self.waits(cell), {"ticket": 2})

    def test_a_gang_without_room_for_all_is_reported_as_gang(self) -> None:
        cell = Cell(host("w1", cores=2))
        cell.add(job("0" * 16, step(3, gang=True)))
        self.assertEqual(self.waits(cell), {"gang": 3})

    def test_a_prior_job_that_is_not_claimed_yet_is_reported_as_held(self) -> None:
        cell = Cell(settled=False)
        cell.dispatcher.take_over([host("w1")], cell.now + 9)
        cell.add(job("0" * 16), prior=True)
        self.assertEqual(self.waits(cell), {"held": 2})

    def test_tasks_in_a_closed_cell_are_reported_as_closed(self) -> None:
        cell = Cell(host("w1"))
        cell.dispatcher.closed = True
        cell.add(job("0" * 16))
        self.assertEqual(self.waits(cell), {"closed": 2})

    def test_a_summary_samples_a_limited_number_of_batches(self) -> None:
        cell = Cell(host("w1", cores=1))
        for number in range(2 * MAX_SAMPLED_BATCHES + 1):
            cell.add(job(f"{number:016x}", step(1, cores=9)))
        self.assertLessEqual(self.waits(cell)["full"], MAX_SAMPLED_BATCHES)

    def test_every_reason_is_documented(self) -> None:
        rows = set(re.findall(r"^\| ([a-z]+) \|", CATALOGUE.read_text(), re.MULTILINE))
        self.assertLessEqual({why.value for why in WaitReason}, rows)

    def test_the_metrics_match_the_summary(self) -> None:
        cell = self.busy_cell(host("w1"))
        cell.add(job("1" * 16, step(2, cores=4)))
        self.waits(cell)
        runtime = SimpleNamespace(
            dispatcher=cell.dispatcher,
            confirmed_at=cell.now,
            waiting_jobs=cell.dispatcher.waiting_jobs,
            owner=SimpleNamespace(load={}),
        )
        found = {sample.name: sample for sample in _cell_samples("north", runtime, cell.now)}  # type: ignore[arg-type]
        labels = {"cell": "north", "queue": "q", "size": "1"}
        self.assertEqual(found["waiting_tasks"][1:], ({**labels, "reason": "full"}, 2))
        self.assertEqual(found["idle_jobs"][1:], (labels, 1))


if __name__ == "__main__":
    unittest.main()
