"""Copies of slow runs: which runs get one, which run is stopped, and what failures leave behind."""

import unittest
from collections import Counter
from typing import Any

from curranthall.cells import copies
from curranthall.cells.options import Options
from curranthall.cells.ports import EndKind, StartResult, StartTask
from curranthall.dag import Phase, Step
from curranthall.telemetry import copies_total
from tests.cell_fixtures import (
    EPOCH,
    Cell,
    claimed_progress,
    ended,
    host,
    job,
    listed,
    step,
)

JOB = "0" * 16
WIDE = step(4, copies=True)


class SlowCell(Cell):
    """Four workers; three tasks of a job took 1 s, the fourth run goes at a tenth of the pace."""

    def __init__(self, one: Step = WIDE, *, on: bool = True, **fields: Any) -> None:
        hosts = [host(f"w{number}", 40) for number in range(1, 5)]
        super().__init__(*hosts, options=Options(copies=on), **fields)
        self.dispatcher.copies = copies.Copies()
        self.add(job(JOB, one))
        *quick, self.slow = self.plan()
        self.started(*quick, self.slow)
        # How many ends the slow run's worker has listed.
        self.ends = 0
        self.now += 1.0
        for number in range(1, 5):
            here = [order for order in quick if order.worker == f"w{number}"]
            done = [ended(number, order, EndKind.DONE) for number, order in enumerate(here, 1)]
            is_slow = self.slow.worker == f"w{number}"
            self.answer(f"w{number}", [listed(self.slow, 10)] if is_slow else [], done)
            self.ends = len(here) if is_slow else self.ends
        self.record()
        self.stops()
        self.now += 0.6
        for number in range(1, 5):
            if f"w{number}" != self.slow.worker:
                self.answer(f"w{number}")
        self.answer(self.slow.worker, [listed(self.slow, 16)])

    def copy(self) -> StartTask:
        """Plan and return the only start, a copy that has started."""
        (found,) = self.plan()
        self.started(found)
        return found

    def end(self, order: StartTask, kind: EndKind) -> None:
        """Let the slow run's worker list an end."""
        self.ends += 1
        self.answer(order.worker, [], [ended(self.ends, order, kind)])

    @property
    def tracked(self) -> Any:
        """Return the tracked job."""
        return self.dispatcher.tracked[JOB]

    def active(self) -> list[int]:
        """Return the numbers of the runs of the slow task."""
        runs = self.tracked.batches[0, 0].active.get(self.slow.task.number, [])
        return [run.number for run in runs]


class Choice(unittest.TestCase):
    def test_a_slow_run_gets_one_copy_on_another_worker_with_a_higher_number(self) -> None:
        cell = SlowCell()
        copy = cell.copy()
        self.assertEqual(copy.task, cell.slow.task)
        self.assertGreater(copy.run, cell.slow.run)
        self.assertNotEqual(copy.worker, cell.slow.worker)
        cell.now += 0.3
        cell.answer(cell.slow.worker, [listed(cell.slow, 18)])
        cell.answer(copy.worker, [listed(copy, 30)])
        self.assertEqual(cell.plan(), [])
        self.assertEqual(cell.stops(), [])

    def test_without_the_option_there_is_no_copy(self) -> None:
        self.assertEqual(SlowCell(on=False).plan(), [])

    def test_steps_that_do_not_allow_copies_get_none(self) -> None:
        steps = WIDE._replace(copies=False), WIDE._replace(gang=True), WIDE._replace(filling=True)
        for each in steps:
            with self.subTest(each):
                self.assertEqual(SlowCell(each).plan(), [])
        self.assertFalse(copies.may_have_copies(WIDE._replace(lasting=True)))

    def test_a_run_that_is_not_slow_gets_none(self) -> None:
        cell = SlowCell()
        cell.dispatcher.tracked[JOB].batches[0, 0].ended_s[:] = [2.0, 2.0, 2.0]
        self.assertEqual(cell.plan(), [])

    def test_a_job_that_is_not_at_risk_gets_none(self) -> None:
        cell = SlowCell()
        cell.answer(cell.slow.worker, [listed(cell.slow, 90)])
        self.assertEqual(cell.plan(), [])

    def test_a_job_that_would_be_worth_nothing_gets_none(self) -> None:
        cell = SlowCell()
        cell.tracked.due -= 8.0
        self.assertEqual(cell.plan(), [])

    def test_a_run_is_not_copied_while_its_end_may_be_on_its_way(self) -> None:
        """A start after a listed end would run the task again."""
        cell = SlowCell()
        cell.now += copies.FRESH_S + 0.1
        self.assertEqual(cell.plan(), [])
        cell.answer(cell.slow.worker, [listed(cell.slow, 16)])
        cell.dispatcher.on_silence(cell.slow.worker, cell.now)
        cell.now += 0.3
        self.assertEqual(cell.plan(), [])

    def test_a_run_that_may_have_crashed_a_worker_gets_none(self) -> None:
        cell = SlowCell()
        cell.tracked.progress.add_crash(cell.slow.task[1:], 1)
        self.assertEqual(cell.plan(), [])

    def test_no_copy_if_both_runs_could_fail_more_often_than_allowed(self) -> None:
        self.assertEqual(SlowCell(max_attempts=1).plan(), [])
        cell = SlowCell(max_attempts=2)
        cell.tracked.progress.add_failure(cell.slow.task[1:], 1)
        self.assertEqual(cell.plan(), [])

    def test_a_task_that_waits_keeps_all_room_that_it_could_use(self) -> None:
        cell = SlowCell()
        cell.add(job("1" * 16, step(1, 40, requires="a", max_per_worker=1)))
        cell.add(job("2" * 16, step(9, 30)))
        self.assertTrue(all(order.task.job != JOB for order in cell.plan()))
        self.assertTrue(cell.tracked.batches[0, 0].active)
        cell.now += 0.3
        cell.answer(cell.slow.worker, [listed(cell.slow, 18)])
        self.assertEqual(cell.plan(), [])

    def test_copies_take_a_small_share_of_the_cores(self) -> None:
        for cores, starts in ((12, 1), (13, 0)):
            cell = SlowCell(WIDE._replace(size=WIDE.size._replace(cores=cores)))
            self.assertEqual(len(cell.plan()), starts)

    def test_max_per_worker_holds_for_copies(self) -> None:
        cell = SlowCell(WIDE._replace(max_per_worker=1))
        self.assertNotEqual(cell.copy().worker, cell.slow.worker)

    def test_workers_that_are_quarantined_slow_silent_or_failed_get_none(self) -> None:
        cell = SlowCell()
        others = [f"w{n}" for n in range(1, 5) if f"w{n}" != cell.slow.worker]
        cell.member(others[0]).quarantine(cell.now)
        cell.dispatcher.on_silence(others[1], cell.now)
        for _ in range(3):
            cell.dispatcher.copies.speeds.observe(others[2], 3.0)
        self.assertEqual(cell.plan(), [])
        cell = SlowCell()
        cell.tracked.failed_on[cell.slow.task[1:]] = set(others) - {others[2]}
        self.assertEqual(cell.copy().worker, others[2])

    def test_a_worker_with_several_slow_runs_gets_none(self) -> None:
        cell = SlowCell()
        ctx = copies.CopyContext(
            cell.dispatcher.tracked,
            cell.dispatcher.members,
            list(cell.dispatcher.members.values()),
            [],
            lambda run: None,
            cell.dispatcher.interference,
            cell.now,
        )
        survey = copies._Survey(slow_on=Counter(w2=copies.MAX_SLOW_RUNS, w3=5))
        free = cell.dispatcher.copies._find_free(ctx, survey)
        self.assertEqual([member.name for member in free], ["w1", "w2", "w4"])

    def test_a_copy_takes_no_cores_that_filling_tasks_use(self) -> None:
        cell = SlowCell()
        for member in cell.dispatcher.members.values():
            member.filling_cores = 39.5
        self.assertEqual(cell.plan(), [])

    def test_waiting_filling_tasks_do_not_prevent_copies_on_idle_cores(self) -> None:
        """Beside a steady backlog of filling work no run ever got a copy."""
        cell = SlowCell()
        for member in cell.dispatcher.members.values():
            member.filling_cores = 21
        cell.add(job("1" * 16, step(1, 39, filling=True)))
        self.assertEqual(cell.copy().task, cell.slow.task)

    def test_waiting_tasks_that_reserve_cores_prevent_copies(self) -> None:
        cell = SlowCell()
        for member in cell.dispatcher.members.values():
            member.used = member.used._replace(cores=20)
        cell.add(job("1" * 16, step(1, 30)))
        self.assertEqual(cell.plan(), [])

    def test_workers_need_the_advisors_approval(self) -> None:
        cell = SlowCell()
        cell.tracked.queue = cell.queue._replace(advised=True)
        self.assertEqual(cell.plan(), [])

    def test_a_run_that_is_new_being_stopped_or_another_cells_gets_none(self) -> None:
        cell = SlowCell()
        run = cell.tracked.batches[0, 0].active[cell.slow.task.number][0]
        run.probation_until = cell.now
        self.assertEqual(cell.plan(), [])
        cell = SlowCell()
        run = cell.tracked.batches[0, 0].active[cell.slow.task.number][0]
        cell.dispatcher._stop(run, cell.now)
        self.assertEqual(cell.plan(), [])
        cell = SlowCell()
        cell.tracked.progress.moved_to[cell.slow.task[1:]] = "south"
        self.assertEqual(cell.plan(), [])

    def test_jobs_that_run_at_due_times_get_none(self) -> None:
        cell = SlowCell()
        cell.tracked.job = cell.tracked.job._replace(first_due_ms=1)
        self.assertEqual(cell.plan(), [])

    def test_a_run_that_is_almost_done_gets_none(self) -> None:
        """Its objective lies between its own predicted end and a copy's, 0.1 s apart."""
        cell = SlowCell()
        cell.tracked.due += 0.35
        cell.answer(cell.slow.worker, [listed(cell.slow, 55)])
        self.assertEqual(cell.plan(), [])

    def test_a_run_on_a_slow_worker_is_slow_sooner(self) -> None:
        """Its own run times say little: a high quantile of them would be as slow."""
        found, batch = copies.Copies(), SlowCell().tracked.batches[0, 0]
        batch.ended_s[:] = [1.0, 1.0, 3.0]
        self.assertEqual(found.slow_after_s(batch, "w1"), 3.0)
        for _ in range(3):
            found.speeds.observe("w1", 3.0)
        self.assertEqual(found.slow_after_s(batch, "w1"), copies.SLOW_FACTOR)

    def test_a_copy_resumes_from_the_last_checkpoint_of_the_slow_run(self) -> None:
        cell = SlowCell(WIDE._replace(checkpointing=True))
        cell.answer(cell.slow.worker, [listed(cell.slow, 16, saved="c1")])
        self.assertEqual(cell.copy().checkpoint, "c1")

    def test_a_late_copy_is_refused_before_its_task_is_done_for_long(self) -> None:
        cell = SlowCell()
        copy = cell.copy()
        clock_ms = cell.member(copy.worker).clock_now(cell.now)
        self.assertEqual(copy.deadline_ms - clock_ms, int(copies.COPY_START_WINDOW_S * 1000))


class Ends(unittest.TestCase):
    def setUp(self) -> None:
        copies_total._series.clear()
        self.addCleanup(copies_total._series.clear)
        self.cell = SlowCell()
        self.copy = self.cell.copy()
        self.cell.now += 0.3

    def outcomes(self) -> dict[str, float]:
        """Return the counted outcomes of copies."""
        return {each.labels["outcome"]: each.value for each in copies_total.samples()}

    def stopped(self) -> set[int]:
        """Return the numbers of the runs for which a stop is sent."""
        return {stop.run for stop in self.cell.stops()}

    def test_the_first_end_stops_the_other_run_at_once_and_its_later_end_does_nothing(self) -> None:
        cell, first, late = self.cell, self.copy, self.cell.slow
        cell.answer(first.worker, [], [ended(1, first, EndKind.DONE)])
        self.assertIn(late.run, self.stopped())
        self.assertIs(cell.tracked.progress.phase, Phase.COMPLETED)
        cell.record()
        for kind in (EndKind.DONE, EndKind.FAILED, EndKind.STOPPED):
            cell.end(late, kind)
        self.assertEqual(cell.dispatcher.dirty, {})
        self.assertEqual(cell.tracked.progress.failures, {})
        self.assertEqual(cell.plan(), [])
        self.assertEqual(self.outcomes(), {"won": 1})

    def test_a_late_end_of_an_unfinished_job_changes_nothing(self) -> None:
        """A failed run listed after its task was done would count, and write the row again."""
        cell = self.cell
        cell.tracked.progress.done[0, 0] &= ~1
        cell.answer(self.copy.worker, [], [ended(1, self.copy, EndKind.DONE)])
        self.assertIs(cell.tracked.progress.phase, Phase.RUNNING)
        cell.record()
        cell.end(cell.slow, EndKind.FAILED)
        self.assertEqual(cell.dispatcher.dirty, {})
        self.assertEqual(cell.tracked.progress.failures, {})
        self.assertEqual(cell.dispatcher.cursor(cell.member(cell.slow.worker)), cell.ends)

    def test_the_first_run_may_end_first(self) -> None:
        self.cell.end(self.cell.slow, EndKind.DONE)
        self.assertIn(self.copy.run, self.stopped())
        self.assertEqual(self.outcomes(), {"lost": 1})

    def test_a_failed_copy_counts_and_the_first_run_goes_on(self) -> None:
        cell = self.cell
        cell.answer(self.copy.worker, [], [ended(1, self.copy, EndKind.FAILED)])
        self.assertEqual(cell.tracked.progress.failures, {cell.slow.task[1:]: {self.copy.run}})
        self.assertIs(cell.tracked.progress.phase, Phase.RUNNING)
        self.assertEqual(cell.active(), [cell.slow.run])
        cell.now += 0.3
        cell.answer(cell.slow.worker, [listed(cell.slow, 20)])
        self.assertEqual(cell.plan(), [])

    def test_both_runs_fail(self) -> None:
        cell = self.cell
        cell.answer(self.copy.worker, [], [ended(1, self.copy, EndKind.FAILED)])
        cell.end(cell.slow, EndKind.FAILED)
        self.assertIs(cell.tracked.progress.phase, Phase.FAILED)
        (runs,) = cell.tracked.progress.failures.values()
        self.assertEqual(runs, {self.copy.run, cell.slow.run})
        self.assertEqual(cell.plan(), [])

    def test_the_first_run_fails_and_the_copy_goes_on(self) -> None:
        cell = self.cell
        cell.end(cell.slow, EndKind.FAILED)
        self.assertEqual(cell.active(), [self.copy.run])
        self.assertEqual(cell.plan(), [])
        cell.answer(self.copy.worker, [], [ended(1, self.copy, EndKind.DONE)])
        self.assertIs(cell.tracked.progress.phase, Phase.COMPLETED)

    def test_the_copys_worker_is_lost(self) -> None:
        cell = self.cell
        cell.dispatcher.on_gone(self.copy.worker, cell.now)
        self.assertEqual(cell.active(), [cell.slow.run])
        self.assertEqual(self.outcomes(), {"dropped": 1})
        self.assertEqual(cell.stops(), [])
        cell.end(cell.slow, EndKind.DONE)
        self.assertIs(cell.tracked.progress.phase, Phase.COMPLETED)

    def test_the_first_runs_worker_is_lost(self) -> None:
        cell = self.cell
        cell.dispatcher.on_gone(cell.slow.worker, cell.now)
        self.assertEqual(cell.active(), [self.copy.run])
        self.assertEqual(cell.plan(), [])

    def test_a_refused_copy_leaves_the_first_run_alone(self) -> None:
        cell = SlowCell()
        (copy,) = cell.plan()
        cell.dispatcher.on_start_result(copy, StartResult.NO_ROOM, cell.now)
        self.assertEqual(cell.active(), [cell.slow.run])
        cell.now += 0.3
        cell.answer(cell.slow.worker, [listed(cell.slow, 18)])
        (second,) = cell.plan()
        self.assertNotIn(second.worker, (copy.worker, cell.slow.worker))
        cell.dispatcher.on_start_result(second, StartResult.NO_ROOM, cell.now)
        cell.now += 0.3
        cell.answer(cell.slow.worker, [listed(cell.slow, 18)])
        self.assertEqual(cell.plan(), [])

    def test_a_copy_without_an_answer_is_stopped_and_no_third_run_starts(self) -> None:
        cell = SlowCell()
        (copy,) = cell.plan()
        cell.dispatcher.on_start_unanswered(copy, cell.now)
        self.assertEqual([stop.run for stop in cell.stops()], [copy.run])
        cell.now += 3.0
        cell.answer(copy.worker, [])
        self.assertEqual(cell.active(), [cell.slow.run])
        cell.answer(cell.slow.worker, [listed(cell.slow, 30)])
        self.assertEqual(cell.plan(), [])

    def test_a_cancel_stops_both_runs(self) -> None:
        cell = self.cell
        cancelled = claimed_progress(phase=Phase.CANCELLED)
        cell.dispatcher.refresh(JOB, cancelled, 99, cell.now)
        self.assertEqual(self.stopped(), {cell.slow.run, self.copy.run})
        for number, order in ((cell.ends + 1, cell.slow), (1, self.copy)):
            cell.answer(order.worker, [], [ended(number, order, EndKind.STOPPED)])
        self.assertEqual(cell.plan(), [])
        self.assertFalse(any(each.runs for each in cell.dispatcher.members.values()))

    def test_a_copy_as_slow_as_the_first_run_is_stopped(self) -> None:
        cell = self.cell
        cell.now += 2.0
        cell.answer(cell.slow.worker, [listed(cell.slow, 39)])
        cell.answer(self.copy.worker, [listed(self.copy, 23)])
        self.assertEqual(cell.plan(), [])
        self.assertEqual(self.stopped(), {self.copy.run})
        self.assertEqual(self.outcomes(), {"hopeless": 1})

    def test_a_copy_that_is_behind_but_not_slow_goes_on(self) -> None:
        self.cell.answer(self.cell.slow.worker, [listed(self.cell.slow, 18)])
        self.cell.answer(self.copy.worker, [listed(self.copy, 3)])
        self.assertEqual(self.cell.plan(), [])
        self.assertEqual(self.stopped(), set())

    def test_a_copy_that_overtakes_the_first_run_goes_on(self) -> None:
        cell = self.cell
        cell.now += 2.0
        cell.answer(cell.slow.worker, [listed(cell.slow, 39)])
        cell.answer(self.copy.worker, [listed(self.copy, 80)])
        self.assertEqual(cell.plan(), [])
        self.assertEqual(self.stopped(), set())


class Takeovers(unittest.TestCase):
    def take_over(self) -> tuple[Cell, StartTask, StartTask]:
        """Return a successor's cell whose workers list both runs of a task."""
        former = SlowCell()
        first, copy = former.slow, former.copy()
        cell = Cell(
            *(host(f"w{n}", 40) for n in range(1, 5)), settled=False, options=Options(copies=True)
        )
        progress = claimed_progress(EPOCH - 1, phase=Phase.RUNNING, done={(0, 0): 0b0111})
        cell.dispatcher.adopt(job(JOB, WIDE), progress, 5, cell.now)
        cell.now += 2.0
        for order in (first, copy):
            cell.answer(order.worker, [listed(order, 40)])
        return cell, first, copy

    def test_a_successor_keeps_both_runs_until_one_is_done(self) -> None:
        cell, first, copy = self.take_over()
        self.assertEqual(cell.stops(), [])
        self.assertEqual(cell.plan(), [])
        tracked = cell.dispatcher.tracked[JOB]
        runs = tracked.batches[0, 0].active[first.task.number]
        self.assertEqual([run.number for run in runs], [first.run, copy.run])
        cell.answer(copy.worker, [], [ended(1, copy, EndKind.DONE)])
        self.assertIn(first.run, [stop.run for stop in cell.stops()])
        self.assertIs(tracked.progress.phase, Phase.COMPLETED)

    def test_a_run_listed_after_the_other_one_was_done_is_stopped(self) -> None:
        former = SlowCell()
        first, copy = former.slow, former.copy()
        cell = Cell(
            *(host(f"w{n}", 40) for n in range(1, 5)), settled=False, options=Options(copies=True)
        )
        progress = claimed_progress(EPOCH - 1, phase=Phase.RUNNING, done={(0, 0): 0b0110})
        cell.dispatcher.adopt(job(JOB, WIDE), progress, 5, cell.now)
        cell.answer(copy.worker, [], [ended(1, copy, EndKind.DONE)])
        cell.stops()
        cell.answer(first.worker, [listed(first, 50)])
        self.assertEqual([stop.run for stop in cell.stops()], [first.run])

    def test_a_successor_makes_no_copy_before_the_workers_are_proven(self) -> None:
        """A copy of the former holder may run on a worker that has not answered yet."""
        former = SlowCell()
        hosts = [host(f"w{n}", 40) for n in range(1, 5)]
        for waits, starts in ((True, 0), (False, 1)):
            cell = Cell(*hosts, settled=False, options=Options(copies=True))
            if waits:
                cell.dispatcher.take_over(hosts, cell.now + 50.0)
            done = claimed_progress(EPOCH - 1, phase=Phase.RUNNING, done={(0, 0): 0b0111})
            cell.dispatcher.adopt(job(JOB, WIDE), done, 5, cell.now)
            for percent in (2, 3, 4, 5):
                cell.now += 1.3
                for each in hosts:
                    if not waits or each.name != "w4":
                        here = each.name == former.slow.worker
                        cell.answer(each.name, [listed(former.slow, percent)] if here else [])
                cell.record()
            self.assertNotEqual(former.slow.worker, "w4")
            self.assertEqual(len(cell.plan()), starts)

    def test_runs_of_unknown_age_are_not_learned(self) -> None:
        cell, first, _ = self.take_over()
        cell.now += 1.0
        cell.answer(first.worker, [], [ended(1, first, EndKind.DONE)])
        self.assertEqual(len(cell.dispatcher.copies.times), 0)


class Learning(unittest.TestCase):
    def end_one(self, worker_gap_s: float = 0.0, checkpoint: str = "") -> copies.Copies:
        """Let one run end as done; return what was learned."""
        cell = Cell(host("w1"))
        cell.add(job(JOB, step(1, checkpointing=True)))
        if checkpoint:
            cell.dispatcher.tracked[JOB].checkpoints[0, 0, 0] = checkpoint
        (order,) = cell.plan()
        cell.started(order)
        cell.now += 1.0 + worker_gap_s
        cell.answer("w1", [], [ended(1, order, EndKind.DONE)])
        return cell.dispatcher.copies

    def test_a_run_that_ends_as_done_is_learned_also_without_the_option(self) -> None:
        self.assertEqual(len(self.end_one().times), 1)

    def test_resumed_runs_and_ends_of_unknown_time_are_not_learned(self) -> None:
        self.assertEqual(len(self.end_one(checkpoint="c1").times), 0)
        self.assertEqual(len(self.end_one(worker_gap_s=9.0).times), 0)

    def test_runs_on_slow_workers_tell_only_of_the_worker(self) -> None:
        cell = SlowCell()
        for _ in range(3):
            cell.dispatcher.copies.speeds.observe(cell.slow.worker, 9.0)
        before = len(cell.tracked.batches[0, 0].ended_s)
        cell.end(cell.slow, EndKind.DONE)
        self.assertEqual(len(cell.tracked.batches[0, 0].ended_s), before)

    def test_a_restarted_worker_is_not_known_to_be_slow(self) -> None:
        cell = SlowCell()
        for _ in range(3):
            cell.dispatcher.copies.speeds.observe("w4", 9.0)
        cell.answer("w4", born=9)
        self.assertFalse(cell.dispatcher.copies.speeds.is_slow("w4"))


class Feedback(unittest.TestCase):
    """Copies of tasks that are slow by themselves must become few."""

    def run_pairs(self, helped: bool, seconds: float) -> int:
        """Return how many copies one kind gets in some seconds if none, or each, helps."""
        found, now, cell = copies.Copies(), 0.0, SlowCell()
        batch, run = cell.tracked.batches[0, 0], cell.tracked.batches[0, 0].active[3][0]
        count = 0
        while now < seconds:
            if found._helps(batch, now):
                count += 1
                found.note_start(batch, run, 100 + count, "w9", now)
                opened = found.open.pop((run.task, 100 + count))
                found._note_outcome(opened.kind, helped, now)
            now += 1.0
        return count

    def test_copies_that_do_not_help_become_few(self) -> None:
        self.assertEqual(self.run_pairs(True, 100.0), 100)
        self.assertLessEqual(self.run_pairs(False, 100.0), 8)

    def test_one_success_ends_the_pause(self) -> None:
        record = copies._Record()
        for _ in range(4):
            record.note(False, 0.0)
        self.assertGreater(record.paused_until, 1.0)
        record.note(True, 1.0)
        self.assertLessEqual(record.paused_until, 1.0)
