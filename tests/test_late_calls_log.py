"""Tests that the log shows what a restarted worker executes of the calls to its former boot."""

import unittest
from typing import Any

from curranthall.cells.boot_log import KEEP_S, MAX_LISTED
from curranthall.cells.fleet import LATE_CALL_S
from curranthall.cells.open_starts import LASTING_WAIT_S
from curranthall.cells.ports import EndKind, ListedRun, StartResult, StartTask
from curranthall.model import ZERO_SIZE, HostState
from curranthall.standin.store import MemoryStore
from tests.cell_fixtures import BORN, CELL, EPOCH, Cell, ended, host, job, listed, step
from tests.test_runtime import make_runtime
from tests.test_traces import LogTestCase

NEXT = BORN + 5_000


class BootLogTestCase(LogTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cell = Cell(host("w1"))

    def line(self, name: str) -> dict[str, Any]:
        """Return the only line of an event."""
        (line,) = self.lines.named(name)
        return line

    def place(self, width: int = 1, lasting: bool = False) -> list[StartTask]:
        """Add a job and place its tasks."""
        self.cell.add(job("0" * 16, step(width, lasting=lasting)))
        return self.cell.plan()

    def answer(
        self,
        *running: ListedRun,
        born: int = BORN,
        after_s: float = 0.1,
        confirm: bool = True,
    ) -> None:
        """Process an answer without ends that was asked for and came some time later."""
        self.cell.now += after_s
        self.cell.answer("w1", list(running), born=born, confirm=confirm)


class Boots(BootLogTestCase):
    def test_a_placed_run_names_the_boot_and_the_token(self) -> None:
        self.place()
        line = self.line("RUN_PLACED")
        self.assertEqual((line["born"], line["token"]), (BORN, EPOCH))

    def test_a_start_without_an_answer_names_the_boot_it_was_sent_to(self) -> None:
        (start,) = self.place()
        self.answer(born=NEXT, confirm=False)
        self.cell.dispatcher.on_start_unanswered(start, self.cell.now)
        line = self.line("RUN_UNSURE")
        self.assertEqual((line["sent_to"], line["born"], line["token"]), (BORN, NEXT, EPOCH))

    def test_a_lost_run_names_both_boots(self) -> None:
        (start,) = self.place()
        self.cell.started(start)
        self.answer(born=NEXT)
        line = self.line("RUN_VANISHED")
        self.assertEqual((line["why"], line["unsure"]), ("reborn", False))
        self.assertEqual((line["sent_to"], line["born"], line["token"]), (BORN, NEXT, EPOCH))

    def test_a_lost_run_of_a_worker_that_is_gone_names_no_present_boot(self) -> None:
        (start,) = self.place()
        self.cell.started(start)
        self.cell.dispatcher.on_gone("w1", self.cell.now)
        line = self.line("RUN_VANISHED")
        self.assertEqual((line["why"], line["sent_to"], line["born"]), ("gone", BORN, 0))


class Restarts(BootLogTestCase):
    def test_open_starts_are_those_that_were_not_answered(self) -> None:
        answered, unanswered, _ = self.place(3)
        self.cell.started(answered)
        self.cell.dispatcher.on_start_unanswered(unanswered, self.cell.now)
        self.answer(born=NEXT)
        line = self.line("WORKER_REBORN")
        self.assertEqual((line["open_starts"], line["removed_starts"]), (2, 0))
        self.assertEqual((line["born"], line["token"]), (NEXT, EPOCH))

    def test_unanswered_starts_are_counted_after_their_runs_were_removed(self) -> None:
        (start,) = self.place()
        self.remove_unsure(start)
        self.answer(born=NEXT)
        line = self.line("WORKER_REBORN")
        self.assertEqual((line["open_starts"], line["removed_starts"]), (0, 1))

    def test_removed_starts_are_forgotten_after_some_time(self) -> None:
        (start,) = self.place()
        self.remove_unsure(start)
        self.answer(born=NEXT, after_s=KEEP_S + 0.1)
        line = self.line("WORKER_REBORN")
        self.assertEqual(line["removed_starts"], 0)

    def test_an_answered_start_is_not_counted_after_its_run_was_removed(self) -> None:
        (start,) = self.place()
        self.cell.started(start)
        self.answer()
        self.answer(born=NEXT)
        line = self.line("WORKER_REBORN")
        self.assertEqual(line["removed_starts"], 0)

    def remove_unsure(self, start: StartTask) -> None:
        """Leave a start unanswered, have its stop answered and an answer without the run."""
        self.cell.dispatcher.on_start_unanswered(start, self.cell.now)
        (stop,) = self.cell.stops()
        self.cell.dispatcher.on_stop_answered(stop, self.cell.now)
        self.answer()
        self.assertEqual(self.lines.named("RUN_VANISHED")[-1]["why"], "vanished")


class Reappearances(BootLogTestCase):
    def test_a_run_that_the_next_boot_started_late(self) -> None:
        (start,) = self.place()
        self.cell.dispatcher.on_start_unanswered(start, self.cell.now)
        (stop,) = self.cell.stops()
        self.cell.dispatcher.on_stop_answered(stop, self.cell.now)
        self.answer()
        self.answer(born=NEXT, after_s=0.5)
        self.answer(listed(start), born=NEXT, after_s=1.0)
        line = self.line("RUN_REAPPEARED")
        self.assertEqual((line["task"], line["run"]), (str(start.task), start.run))
        self.assertEqual((line["worker"], line["listed"]), ("w1", "running"))
        self.assertEqual((line["why"], line["unsure"]), ("vanished", True))
        self.assertEqual((line["removed_ms"], line["sent_ms"]), (1_500, 1_600))
        token = self.cell.member("w1").token
        self.assertGreater(token, EPOCH)
        self.assertEqual((line["sent_to"], line["born"], line["token"]), (BORN, NEXT, token))

    def test_it_is_logged_once(self) -> None:
        (start,) = self.place()
        self.cell.started(start)
        self.answer(born=NEXT)
        for _ in range(3):
            self.answer(listed(start), born=NEXT)
        self.assertEqual(len(self.lines.named("RUN_REAPPEARED")), 1)

    def test_a_run_that_outlived_its_lease(self) -> None:
        (start,) = self.place(lasting=True)
        self.cell.started(start)
        self.lapse()
        self.answer(listed(start))
        line = self.line("RUN_REAPPEARED")
        self.assertEqual((line["why"], line["listed"]), ("lapsed", "running"))
        self.assertEqual((line["sent_to"], line["born"]), (BORN, BORN))

    def test_an_end_of_a_run_that_was_removed(self) -> None:
        (start,) = self.place(lasting=True)
        self.cell.started(start)
        self.lapse()
        self.cell.answer("w1", [], [ended(1, start, EndKind.LAPSED)])
        line = self.line("RUN_REAPPEARED")
        self.assertEqual((line["why"], line["listed"]), ("lapsed", "lapsed"))

    def test_an_end_of_a_run_that_is_known_is_none(self) -> None:
        (start,) = self.place()
        self.cell.started(start)
        self.cell.answer("w1", [], [ended(1, start, EndKind.DONE)])
        self.assertEqual(self.lines.named("RUN_REAPPEARED"), [])

    def test_a_run_of_a_former_holder_is_none(self) -> None:
        (start,) = self.place()
        self.cell.started(start)
        self.answer(listed(start), listed(start._replace(run=start.run - 1)))
        self.assertEqual(self.lines.named("RUN_REAPPEARED"), [])

    def test_a_run_that_was_taken_for_never_started_or_gone(self) -> None:
        removals = {
            "refused": lambda dispatcher, start, now: dispatcher.on_start_result(
                start, StartResult.TOO_LATE, now
            ),
            "unsent": lambda dispatcher, start, now: dispatcher.on_start_unsent(start, now),
            "gone": lambda dispatcher, start, now: dispatcher.on_gone("w1", now),
        }
        for why, remove in removals.items():
            with self.subTest(why=why):
                self.lines.records.clear()
                self.cell = Cell(host("w1"))
                (start,) = self.place()
                remove(self.cell.dispatcher, start, self.cell.now)
                self.cell.dispatcher.update_host(host("w1"))
                self.answer(listed(start), born=NEXT, after_s=1.0)
                line = self.line("RUN_REAPPEARED")
                self.assertEqual((line["why"], line["listed"]), (why, "running"))

    def lapse(self) -> None:
        """Let the worker be silent until its run is taken for lapsed."""
        self.cell.dispatcher.on_silence("w1", self.cell.now)
        self.cell.now = self.cell.member("w1").lapses_at() + 0.1
        self.cell.dispatcher.tick(self.cell.now, self.cell.now)
        self.assertEqual(self.line("RUN_VANISHED")["why"], "lapsed")


class OpenStartTestCase(BootLogTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cell = Cell(host("w1"), host("w2"))

    def vanish(self, *starts: StartTask) -> None:
        """Leave starts unanswered, have their stops answered and answers without the runs."""
        for start in starts:
            self.cell.dispatcher.on_start_unanswered(start, self.cell.now)
        for stop in self.cell.stops():
            self.cell.dispatcher.on_stop_answered(stop, self.cell.now)
        self.cell.now += 0.1
        for worker in ("w1", "w2"):
            self.cell.answer(worker)

    def place_again(self) -> list[list[Any]] | None:
        """Plan and return the open starts that the only new start names."""
        self.lines.records.clear()
        self.cell.plan()
        found: list[list[Any]] | None = self.line("RUN_PLACED")["open"]
        return found

    def vanish_first(self, gang: bool = False, lasting: bool = False) -> StartTask:
        """Place the only task of a job, and have its run vanish with its start open."""
        self.cell.add(job("0" * 16, step(1, gang=gang, lasting=lasting)))
        (start,) = self.cell.plan()
        self.vanish(start)
        return start

    def wait(self) -> None:
        """Wait until a lasting task may leave the worker of its open start."""
        self.cell.now += LASTING_WAIT_S
        for worker in ("w1", "w2"):
            self.cell.answer(worker)


class OpenStarts(OpenStartTestCase):
    def test_a_first_start_has_none(self) -> None:
        self.place()
        self.assertIsNone(self.line("RUN_PLACED")["open"])

    def test_a_second_start_on_the_same_worker(self) -> None:
        start = self.vanish_first()
        expected = [[start.run, start.worker, 100, "vanished", "same"]]
        self.assertEqual(self.place_again(), expected)

    def test_a_third_start_names_both(self) -> None:
        first = self.vanish_first(lasting=True)
        (second,) = self.cell.plan()
        self.vanish(second)
        self.wait()
        self.cell.dispatcher.update_host(host(first.worker, state=HostState.LEAVING))
        expected = [
            [first.run, first.worker, 6_200, "vanished", "second"],
            [second.run, second.worker, 6_100, "vanished", "second"],
        ]
        self.assertEqual(self.place_again(), expected)

    def test_why_the_task_left_the_worker(self) -> None:
        cell: Cell

        def fill(worker: str) -> None:
            member = cell.member(worker)
            member.used = member.host.size

        reasons = {
            "leaving": lambda worker: cell.dispatcher.update_host(
                host(worker, state=HostState.LEAVING)
            ),
            "missing": lambda worker: cell.dispatcher.mark_host_missing(worker, cell.now),
            "silent": lambda worker: cell.dispatcher.on_silence(worker, cell.now),
            "unfenced": lambda worker: cell.answer(worker, born=NEXT, confirm=False),
            "quarantined": lambda worker: cell.member(worker).quarantine(cell.now),
            "paused": lambda worker: cell.member(worker).pause(cell.now + 1),
            "gone": lambda worker: cell.dispatcher.on_gone(worker, cell.now),
            "full": fill,
        }
        for why, leave in reasons.items():
            with self.subTest(why=why):
                cell = self.cell = Cell(host("w1"), host("w2"))
                start = self.vanish_first(lasting=True)
                self.wait()
                leave(start.worker)
                expected = [[start.run, start.worker, 6_100, "vanished", why]]
                self.assertEqual(self.place_again(), expected)

    def test_a_gang_starts_on_the_same_worker(self) -> None:
        start = self.vanish_first(gang=True)
        self.cell.member(start.worker).used = host("w1").size
        self.assertEqual(self.cell.plan(), [])
        self.cell.member(start.worker).used = ZERO_SIZE
        expected = [[start.run, start.worker, 100, "vanished", "same"]]
        self.assertEqual(self.place_again(), expected)

    def test_starts_on_a_worker_that_is_gone(self) -> None:
        (start,) = self.place()
        self.cell.dispatcher.on_gone(start.worker, self.cell.now)
        expected = [[start.run, start.worker, 0, "gone", "gone"]]
        self.assertEqual(self.place_again(), expected)

    def test_a_start_without_effect_is_none(self) -> None:
        (start,) = self.place()
        self.cell.dispatcher.on_start_unsent(start, self.cell.now)
        self.assertIsNone(self.place_again())

    def test_a_start_that_was_answered_is_none(self) -> None:
        (start,) = self.place()
        self.cell.started(start)
        self.cell.dispatcher.on_gone(start.worker, self.cell.now)
        self.assertIsNone(self.place_again())

    def test_a_start_of_another_task_is_none(self) -> None:
        self.vanish_first()
        self.cell.plan()
        self.cell.add(job("1" * 16, step(1)))
        self.assertIsNone(self.place_again())

    def test_a_start_that_no_boot_executes_any_more_is_none(self) -> None:
        self.vanish_first()
        self.cell.now += LATE_CALL_S
        for worker in ("w1", "w2"):
            self.cell.answer(worker)
        self.assertIsNone(self.place_again())

    def test_a_start_whose_run_reappeared_is_none(self) -> None:
        start = self.vanish_first()
        self.cell.now += 0.1
        self.cell.answer(start.worker, [listed(start)], born=NEXT)
        self.cell.dispatcher.on_gone(start.worker, self.cell.now)
        self.assertIsNone(self.place_again())


class StartsLeft(OpenStartTestCase):
    def move(self, numbers: list[int] | None) -> None:
        """Move tasks of the only job to another cell."""
        tracked = self.cell.dispatcher.tracked["0" * 16]
        batch = tracked.batches[0, 0]
        self.cell.dispatcher.move(tracked, batch, numbers, "south", self.cell.now)

    def test_a_moved_task(self) -> None:
        first, second = self.place(2)
        self.vanish(first, second)
        self.move([first.task.number])
        line = self.line("STARTS_LEFT")
        self.assertEqual((line["cell"], line["epoch"]), (CELL, EPOCH))
        self.assertEqual((line["why"], line["to"], line["starts"]), ("moved", "south", 1))
        expected = [str(first.task), first.run, first.worker, 100, BORN, "vanished"]
        self.assertEqual(line["newest"], [expected])

    def test_a_whole_job(self) -> None:
        self.vanish(*self.place(2))
        self.move(None)
        self.assertEqual(self.line("STARTS_LEFT")["starts"], 2)

    def test_moves_without_open_starts_have_no_line(self) -> None:
        (start,) = self.place()
        self.cell.started(start)
        self.cell.dispatcher.on_gone(start.worker, self.cell.now)
        self.move([0])
        self.assertEqual(self.lines.named("STARTS_LEFT"), [])

    def test_the_end_of_a_holder(self) -> None:
        vanished, unanswered, answered = self.place(3)
        self.cell.started(answered)
        self.cell.dispatcher.on_start_unanswered(vanished, self.cell.now)
        (stop,) = self.cell.stops()
        self.cell.dispatcher.on_stop_answered(stop, self.cell.now)
        self.cell.now += 0.1
        running = [listed(each) for each in (answered,) if each.worker == vanished.worker]
        self.cell.answer(vanished.worker, running)
        self.end()
        line = self.line("STARTS_LEFT")
        self.assertEqual((line["why"], line["to"], line["starts"]), ("test", None, 2))
        rows = {(row[1], row[5]) for row in line["newest"]}
        self.assertEqual(rows, {(vanished.run, "vanished"), (unanswered.run, "starting")})

    def test_a_line_names_the_newest_starts(self) -> None:
        self.cell = Cell(host("w1", 2 * MAX_LISTED))
        self.place(MAX_LISTED + 1)
        self.end()
        line = self.line("STARTS_LEFT")
        self.assertEqual((line["starts"], len(line["newest"])), (MAX_LISTED + 1, MAX_LISTED))

    def test_the_end_of_a_holder_without_open_starts_has_no_line(self) -> None:
        self.cell.started(*self.place(2))
        self.end()
        self.assertEqual(self.lines.named("STARTS_LEFT"), [])

    def end(self) -> None:
        """End the holder of the cell."""
        runtime = make_runtime(MemoryStore(lambda: 0.0), [], lambda: self.cell.now)
        runtime.dispatcher = self.cell.dispatcher
        runtime.end("test")


class GivenUpWaits(BootLogTestCase):
    def test_a_lasting_run_of_a_missing_worker(self) -> None:
        (start,) = self.place(lasting=True)
        self.cell.now += 1.0
        self.cell.answer("w1")
        self.cell.dispatcher.on_start_unanswered(start, self.cell.now)
        line = self.lapse(missing=True)
        self.assertEqual((line["lasting"], line["listed"]), (True, "missing"))
        # The start had left by the time at which its call failed.
        left_s = LATE_CALL_S - (self.cell.now - 101.0)
        self.assertGreater(left_s, 0)
        self.assertEqual(line["late_ms"], round(left_s * 1000))

    def test_a_run_that_was_answered_can_start_late_no_more(self) -> None:
        (start,) = self.place(lasting=True)
        self.cell.started(start)
        line = self.lapse(missing=False)
        self.assertEqual((line["listed"], line["late_ms"]), ("live", 0))

    def test_a_second_run_of_a_task_keeps_the_first_start_open(self) -> None:
        (first,) = self.place(lasting=True)
        self.cell.dispatcher.on_start_unanswered(first, self.cell.now)
        (stop,) = self.cell.stops()
        self.cell.dispatcher.on_stop_answered(stop, self.cell.now)
        self.answer()
        (second,) = self.cell.plan()
        self.cell.started(second)
        self.lines.records.clear()
        line = self.lapse(missing=True)
        self.assertEqual(line["late_ms"], round((LATE_CALL_S + 100.0 - self.cell.now) * 1000))
        self.assertGreater(line["late_ms"], 0)

    def lapse(self, missing: bool) -> dict[str, Any]:
        """Let the worker be silent until its run is taken for lapsed; return its line."""
        self.cell.dispatcher.on_silence("w1", self.cell.now)
        if missing:
            self.cell.dispatcher.mark_host_missing("w1", self.cell.now)
        self.cell.now = self.cell.member("w1").lapses_at() + 0.1
        self.cell.dispatcher.tick(self.cell.now, self.cell.now)
        return self.line("RUN_VANISHED")


class Takeovers(LogTestCase):
    def test_workers_that_a_lapse_proved_are_named(self) -> None:
        cell = Cell(settled=False)
        cell.dispatcher.take_over([host("w1"), host("w2"), host("w3")], cell.now + 9)
        cell.answer("w2")
        cell.dispatcher.tick(cell.now + 10, cell.now)
        (line,) = self.lines.named("CELL_PROVEN")
        self.assertEqual(line["names"], ["w1", "w3"])


class Misplaced(BootLogTestCase):
    def test_a_run_of_a_task_that_another_cell_has(self) -> None:
        (start,) = self.place()
        self.cell.dispatcher.on_start_result(start, StartResult.TOO_LATE, self.cell.now)
        tracked = self.cell.dispatcher.tracked["0" * 16]
        self.cell.dispatcher.move(tracked, tracked.batches[0, 0], [0], "south", self.cell.now)
        for _ in range(2):
            self.answer(listed(start), born=NEXT)
        line = self.line("RUN_MISPLACED")
        self.assertEqual(
            (line["task"], line["run"], line["worker"]), (str(start.task), start.run, "w1")
        )
        self.assertEqual((line["cell"], line["epoch"], line["owner"]), (CELL, EPOCH, "south"))
        self.assertEqual(line["born"], NEXT)

    def test_a_run_of_a_task_of_this_cell_is_none(self) -> None:
        (start,) = self.place()
        self.answer(listed(start), listed(start._replace(run=start.run + 1)))
        self.assertEqual(self.lines.named("RUN_MISPLACED"), [])


class SkippedEnds(BootLogTestCase):
    def test_a_gap_is_logged(self) -> None:
        first, second, third = self.place(3)
        self.cell.started(first, second, third)
        self.cell.answer("w1", [listed(third)], [ended(1, first, EndKind.DONE)])
        self.cell.answer("w1", [], [ended(3, third, EndKind.DONE)])
        line = self.line("ENDS_SKIPPED")
        self.assertEqual((line["worker"], line["born"]), ("w1", BORN))
        self.assertEqual((line["after"], line["first"], line["acked"]), (1, 3, 0))
        self.assertTrue(line["followed"])

    def test_numbers_of_a_new_boot_that_begin_above_1_are_logged(self) -> None:
        self.answer(born=NEXT)
        (start,) = self.place()
        self.cell.started(start)
        self.cell.answer("w1", [], [ended(2, start, EndKind.DONE)], born=NEXT)
        line = self.line("ENDS_SKIPPED")
        self.assertEqual((line["born"], line["after"], line["first"]), (NEXT, 0, 2))
        self.assertTrue(line["followed"])

    def test_ends_that_a_former_holder_may_have_acknowledged_are_marked(self) -> None:
        (start,) = self.place()
        self.cell.started(start)
        self.cell.answer("w1", [], [ended(40, start, EndKind.DONE)])
        line = self.line("ENDS_SKIPPED")
        self.assertEqual((line["after"], line["first"], line["followed"]), (0, 40, False))

    def test_ends_that_follow_each_other_or_are_listed_again_have_no_gap(self) -> None:
        first, second = self.place(2)
        self.cell.started(first, second)
        ends = [ended(1, first, EndKind.DONE), ended(2, second, EndKind.DONE)]
        self.cell.answer("w1", [listed(second)], ends[:1])
        self.cell.answer("w1", [], ends)
        self.answer(born=NEXT)
        self.assertEqual(self.lines.named("ENDS_SKIPPED"), [])


if __name__ == "__main__":
    unittest.main()
