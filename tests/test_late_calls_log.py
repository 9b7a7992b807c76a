"""Tests that the log shows what a restarted worker executes of the calls to its former boot."""

import unittest
from typing import Any

from curranthall.cells.boot_log import KEEP_S
from curranthall.cells.ports import EndKind, ListedRun, StartTask
from tests.cell_fixtures import BORN, EPOCH, Cell, ended, host, job, listed, step
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

    def lapse(self) -> None:
        """Let the worker be silent until its run is taken for lapsed."""
        self.cell.dispatcher.on_silence("w1", self.cell.now)
        self.cell.now = self.cell.member("w1").lapses_at() + 0.1
        self.cell.dispatcher.tick(self.cell.now, self.cell.now)
        self.assertEqual(self.line("RUN_VANISHED")["why"], "lapsed")


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
