"""Tests of tools.explain on log lines in the format that entries write."""

import contextlib
import io
import json
import tempfile
import unittest
from typing import Any

from tools.explain import (
    find_suspect_pairs,
    find_zero,
    format_left_out,
    main,
    parse_events,
    sizes,
    tabulate_times,
    trace,
    twice,
)
from tools.lasting import Gap, GapFinder, Report, find_lasting_steps


def line(at: float, name: str, **fields: object) -> str:
    """Return a log line with a time and a process name before the JSON object."""
    return f"  {at:.4f} east-1 {json.dumps({'t': at, 'name': name, **fields})}\n"


class JobTimes(unittest.TestCase):
    def setUp(self) -> None:
        self.lines = [
            line(10.0, "JOB_STORED", job="ab", queue="cuts"),
            line(12.5, "RUN_PLACED", task="ab.0.0.1", run=2),
            line(10.5, "RUN_PLACED", task="ab.0.0.0", run=1),
            line(11.0, "RUN_ENDED", task="ab.0.0.0", run=1, how="done"),
            line(11.2, "JOB_MOVED", job="ab", tasks=1),
            line(14.0, "RUN_ENDED", task="ab.0.0.1", run=2, how="done"),
            line(15.0, "RUN_PLACED", task="ab.0.1.0", run=3),
            line(16.0, "RUN_ENDED", task="ab.0.1.0", run=3, how="failed"),
            line(16.1, "JOB_ENDED", job="ab", phase="failed"),
            "built in 3 s; {no json\n",
        ]

    def test_a_steps_wait_is_separate_from_its_runs(self) -> None:
        job = trace(parse_events(self.lines))["ab"]
        first, second = list(job.step_times())
        self.assertEqual([round(each, 1) for each in first], [0.5, 2.0, 1.5])
        self.assertEqual([round(each, 1) for each in second], [1.0, 0.0, 1.0])
        self.assertEqual((job.moved, job.ends["failed"], job.phase), (1, 1, "failed"))

    def test_the_table_has_a_row_for_each_queue(self) -> None:
        rows = list(tabulate_times(trace(parse_events(self.lines))))
        self.assertIn("cuts", rows[2])
        self.assertEqual(rows[3].split("|")[3].split(), ["6.10", "6.10"])

    def test_lines_without_an_event_are_skipped(self) -> None:
        self.assertEqual(list(parse_events(["", "{", "[1]", '{"t": 1}', "x {} y"])), [])


class Sizes(unittest.TestCase):
    def rows(self, *lines: str) -> dict[tuple[str, str], list[str]]:
        """Return the cells of the sizes table by queue and size."""
        _, *rows = sizes(list(parse_events(lines)))
        return {(row[:13].strip(), row[13:25].strip()): row[25:].split() for row in rows}

    def make_jobs(self) -> list[str]:
        """Return lines of ten jobs of increasing work: nine end in time, the last never starts."""
        lines = []
        for number in range(10):
            name, small = f"j{number}", number < 9
            lines.append(line(number, "JOB_STORED", job=name, queue="cuts", work=number + 1))
            lines.append(line(number, "JOB_ADOPTED", job=name, size="1" if small else "2"))
            if small:
                lines.append(line(20, "RUN_PLACED", task=f"{name}.0.0.0", run=1))
                lines.append(line(21, "JOB_ENDED", job=name, phase="completed", outcome="in_time"))
        return lines

    def test_the_largest_jobs_have_their_own_rows(self) -> None:
        rows = self.rows(*self.make_jobs())
        self.assertEqual(rows["cuts", "all"][:3], ["10", "9", "9"])
        self.assertEqual(rows["cuts", "largest 10%"], ["1", "0", "0", "0", "0", "0", "0", "1"])
        self.assertEqual(rows["cuts", "next 20%"][:3], ["2", "2", "2"])
        self.assertEqual((rows["cuts", "x1"][0], rows["cuts", "x2"][0]), ("9", "1"))

    def test_wait_reasons_are_summed(self) -> None:
        reasons = [["cuts", "2", "strain", 3, 9.0, 1, 1], ["cuts", "1", "full", 1, 1.0, 1, 0]]
        states = [line(at, "CELL_STATE", cell="a", waits=reasons) for at in (30, 32)]
        rows = self.rows(*self.make_jobs(), *states)
        self.assertEqual(rows["cuts", "x2"][8:], ["strain:6"])
        self.assertEqual(rows["cuts", "all"][8:], ["strain:6", "full:2"])

    def test_each_outcome_has_its_column(self) -> None:
        lines = []
        for number, outcome in enumerate(("late", "late", "expired", "failed")):
            name = f"j{number}"
            lines.append(line(1, "JOB_STORED", job=name, queue="q", work=1))
            lines.append(line(2, "JOB_ENDED", job=name, phase="completed", outcome=outcome))
        lines.append(line(1, "JOB_STORED", job="c", queue="q", work=1))
        lines.append(line(2, "JOB_CANCELLED", job="c"))
        row = self.rows(*lines)["q", "all"]
        self.assertEqual(row, ["5", "0", "0", "2", "1", "1", "1", "0"])

    def test_left_out_events_are_reported(self) -> None:
        lines = [line(1, "LEFT_OUT", counts={"RUN_PLACED": 2}) for _ in range(2)]
        self.assertEqual(
            list(format_left_out(parse_events(lines))), ["left out by the writers: RUN_PLACED:4"]
        )


class SecondStarts(unittest.TestCase):
    first = line(1.0, "RUN_PLACED", task="ab.0.0.0", run=1, worker="w1", cell="north", epoch=3)
    second = line(5.0, "RUN_PLACED", task="ab.0.0.0", run=2, worker="w2", cell="south", epoch=4)

    def find_kinds(self, *lines: str) -> list[str]:
        """Return the kinds of the suspect pairs."""
        return [pair.kind for pair in find_suspect_pairs(parse_events(lines))]

    def make_end(self, at: float, how: str) -> str:
        return line(at, "RUN_ENDED", task="ab.0.0.0", run=1, worker="w1", how=how)

    def test_an_end_after_the_second_start_means_two_runs_at_once(self) -> None:
        vanished = line(4.0, "RUN_VANISHED", task="ab.0.0.0", run=1, worker="w1", why="lapsed")
        for before in ([], [vanished]):
            found = self.find_kinds(self.first, *before, self.second, self.make_end(6.0, "stopped"))
            self.assertEqual(found, ["two runs at once"])

    def test_an_end_logged_by_both_holders_counts_once(self) -> None:
        ends = [self.make_end(at, "stopped") for at in (4.9, 5.1)]
        self.assertEqual(self.find_kinds(self.first, ends[0], self.second, ends[1]), [])

    def test_a_start_after_done_is_reported(self) -> None:
        found = self.find_kinds(self.first, self.make_end(4.0, "done"), self.second)
        self.assertEqual(found, ["started after done"])

    def test_a_missing_end_is_reported(self) -> None:
        found = self.find_kinds(self.first, self.second)
        self.assertEqual(found, ["no end of the first run in the logs"])

    def test_a_start_after_an_end_or_a_proven_loss_is_not_suspect(self) -> None:
        self.assertEqual(self.find_kinds(self.first, self.make_end(4.0, "failed"), self.second), [])
        vanished = line(4.0, "RUN_VANISHED", task="ab.0.0.0", run=1, worker="w1", why="gone")
        self.assertEqual(self.find_kinds(self.first, vanished, self.second), [])

    def test_a_run_that_reappears_after_the_second_start_is_suspect(self) -> None:
        fields = {"task": "ab.0.0.0", "run": 1, "worker": "w1"}
        vanished = line(4.0, "RUN_VANISHED", **fields, why="lapsed")
        for at, listed, expected in (
            (6.0, "running", ["first run listed after the second start"]),
            (4.5, "running", []),
            (6.0, "lapsed", []),
        ):
            seen = line(at, "RUN_REAPPEARED", **fields, listed=listed)
            found = self.find_kinds(self.first, vanished, self.second, seen)
            self.assertEqual(found, expected)

    def test_an_end_that_the_second_start_names_needs_no_line(self) -> None:
        fields = {"task": "ab.0.0.0", "run": 2, "worker": "w2"}
        for why, expected in (("ended failed", []), ("ended done", ["started after done"])):
            second = line(5.0, "RUN_PLACED", **fields, after=[why, 1, "w1"])
            self.assertEqual(self.find_kinds(self.first, second), expected)

    def test_both_starts_are_shown_side_by_side(self) -> None:
        rows = list(
            twice(list(parse_events([self.first, self.second, self.make_end(6.0, "stopped")])))
        )
        self.assertEqual(rows[0], "ab.0.0.0: two runs at once")
        self.assertIn(["cell", "north", "south"], [row.split() for row in rows])
        self.assertIn('"how": "stopped"', rows[-3])
        self.assertEqual(rows[-2:], ["1 x two runs at once", "0 RUN_DUPLICATE"])

    def test_the_acknowledgement_of_the_first_end_is_shown(self) -> None:
        end = line(
            4.0, "RUN_ENDED", task="ab.0.0.0", run=1, worker="w1", how="done", number=7, born=1
        )
        acks = [
            line(4.0 + upto, "ENDS_ACKED", worker="w1", after=upto - 2, upto=upto, recorded=[])
            for upto in (6, 8, 10)
        ]
        silent = [line(at, "WORKER_SILENT", worker="w1", running=1) for at in (0.5, 4.5)]
        rows = list(twice(list(parse_events([self.first, end, *acks, *silent, self.second]))))
        context = [json.loads(row) for row in rows if row.startswith("  {")]
        self.assertEqual(
            [(row["name"], row.get("upto"), row["t"]) for row in context],
            [("RUN_ENDED", None, 4.0), ("ENDS_ACKED", 8, 12.0), ("WORKER_SILENT", None, 4.5)],
        )


class LastingGaps(unittest.TestCase):
    """Times without a run of lasting tasks of one job; the rule allows for 6 s."""

    def setUp(self) -> None:
        self.lines = [line(0.5, "JOB_NOT_MOVED", job="ab", step=0, must_start=False, slots={})]

    def add(self, at: float, name: str, **fields: Any) -> None:
        """Add a line; one of a run is of the first task unless the fields say otherwise."""
        if name.startswith("RUN_"):
            fields = {"task": "ab.0.0.0", "run": 1, "worker": "w1", "cell": "north-a", **fields}
        self.lines.append(line(at, name, **fields))

    def add_state(self, at: float, *waits: tuple[int, str], cell: str = "a", **fields: Any) -> None:
        """Add a summary of a cell with the number of waiting tasks of the step, by reason."""
        rows = [["ab", 0, tasks, 2.0, 1.0, why] for tasks, why in waits]
        self.add(at, "CELL_STATE", cell=cell, lasting_waits=rows, **fields)

    def find_gaps(self) -> list[Gap]:
        """Return the gaps in the added lines."""
        events = sorted(parse_events(self.lines), key=lambda event: float(event["t"]))
        return GapFinder(find_lasting_steps(events)).follow(events)

    def times(self) -> list[tuple[float, float | None]]:
        """Return begin and end of each gap."""
        return [(gap.since, gap.until) for gap in self.find_gaps()]

    def report(self) -> list[str]:
        """Return the report's lines."""
        return list(Report(list(parse_events(self.lines)), 0.0).lines())

    def test_a_gap_lasts_from_an_end_to_the_next_start(self) -> None:
        self.add(1.0, "RUN_PLACED")
        self.add(4.0, "RUN_ENDED", how="failed")
        self.add(14.0, "RUN_PLACED", run=2, worker="w2")
        (gap,) = self.find_gaps()
        self.assertEqual((gap.since, gap.until), (4.0, 14.0))
        self.assertEqual((gap.why, gap.next), ("failed on w1", "placed in north-a"))

    def test_a_run_from_before_the_logs_needs_no_start(self) -> None:
        self.add(4.0, "RUN_ENDED", how="stopped")
        self.assertEqual(self.times(), [(4.0, None)])

    def test_a_lapsed_run_is_missing_from_the_silence_of_its_worker_on(self) -> None:
        for lapse in (
            {"name": "RUN_VANISHED", "why": "lapsed", "lasting": True},
            {"name": "WORKER_LAPSED", "worker": "w1"},
            {"name": "WORKER_GONE", "worker": "w1"},
            {"name": "CELL_PROVEN", "by": "lapse", "names": ["w1"]},
        ):
            with self.subTest(lapse=lapse):
                self.setUp()
                self.add(1.0, "RUN_PLACED")
                self.add(2.0, "WORKER_SILENT", worker="w1")
                # Runs end there, so the silence was a short one.
                self.add(3.0, "RUN_ENDED", task="cd.0.0.0", run=9, how="done")
                self.add(5.0, "WORKER_SILENT", worker="w1")
                self.add(6.0, "WORKER_SILENT", worker="w1")
                self.add(11.5, **lapse)
                (gap,) = self.find_gaps()
                self.assertEqual((gap.since, gap.noted_at, gap.until), (5.0, 11.5, None))

    def test_an_end_logged_twice_or_late_begins_no_second_gap(self) -> None:
        self.add(1.0, "RUN_PLACED")
        self.add(4.0, "RUN_ENDED", how="failed")
        self.add(4.5, "RUN_ENDED", how="failed")
        self.add(14.0, "RUN_PLACED", run=2)
        self.add(14.5, "RUN_ENDED", how="failed")
        self.assertEqual(self.times(), [(4.0, 14.0)])

    def test_a_start_without_effect_does_not_end_a_gap(self) -> None:
        for undo in (
            {"name": "RUN_REFUSED"},
            {"name": "RUN_VANISHED", "why": "unsent", "lasting": True},
            {"name": "RUN_VANISHED", "why": "lapsed", "unsure": True, "lasting": True},
        ):
            with self.subTest(undo=undo):
                self.setUp()
                self.add(4.0, "RUN_ENDED", how="failed")
                self.add(6.0, "RUN_PLACED", run=2)
                self.add(6.5, **undo, run=2)
                self.add(14.0, "RUN_PLACED", run=3)
                self.assertEqual(self.times(), [(4.0, 14.0)])

    def test_a_first_start_has_waited_since_its_job_came(self) -> None:
        for stored, expected in (([], []), (["JOB_STORED"], [(2.0, 12.0)])):
            self.setUp()
            for name in stored:
                self.add(2.1, name, job="ab", queue="q")
            self.add(12.0, "RUN_PLACED", waited_ms=10_000)
            self.assertEqual(self.times(), expected)

    def test_a_start_that_names_the_gap_needs_no_line_of_the_end(self) -> None:
        self.lines = []
        self.add(1.0, "RUN_PLACED", gap_ms=None, waited_ms=1)
        self.add(14.0, "RUN_PLACED", run=2, gap_ms=9_000, waited_ms=14_000)
        self.assertEqual(self.times(), [(5.0, 14.0)])

    def test_a_run_lost_with_its_worker_and_holder_is_missing_from_the_silence_on(self) -> None:
        self.add(1.0, "RUN_PLACED")
        self.add(5.0, "WORKER_SILENT", worker="w1")
        self.add(8.0, "CELL_TAKEN", cell="north-a")
        self.add(19.0, "RUN_PLACED", run=2, worker="w2", cell="north-b")
        (gap,) = self.find_gaps()
        self.assertEqual((gap.since, gap.noted_at, gap.until), (5.0, 8.0, 19.0))

    def test_a_run_is_over_while_its_worker_holds_the_task_up_at_the_end(self) -> None:
        for held_at, expected in ((30.0, [(9.0, None)]), (20.0, [])):
            self.setUp()
            self.add(1.0, "RUN_PLACED")
            for at in (9.0, held_at):
                self.add_state(at, (1, "held"), held_by=[["ab", 0, "w1", 1]])
            self.add_state(30.5)
            self.assertEqual(self.times(), expected)

    def test_a_start_after_a_run_without_a_known_end_is_counted(self) -> None:
        self.add(1.0, "RUN_PLACED")
        self.add(19.0, "RUN_PLACED", run=2, worker="w2")
        self.assertEqual(self.times(), [])
        self.assertIn("1 starts after a run of which no line tells the end", self.report())

    def test_the_end_of_a_job_or_a_finished_task_ends_the_gap(self) -> None:
        self.add(1.0, "RUN_ENDED", how="done", task="ab.0.0.1")
        self.add(4.0, "RUN_ENDED", how="failed")
        self.add(12.0, "JOB_CANCELLED", job="ab")
        self.add(13.0, "RUN_ENDED", how="stopped", run=2)
        self.add(30.0, "JOB_CLOSED", job="ab")
        self.assertEqual(self.times(), [(4.0, 12.0)])

    def test_a_start_left_out_of_the_logs_ends_the_gap_by_the_next_end(self) -> None:
        self.add(4.0, "RUN_ENDED", how="failed")
        self.add(9.0, "RUN_ENDED", run=2, how="failed")
        self.assertEqual(self.times(), [(4.0, 9.0), (9.0, None)])

    def test_the_time_is_summed_by_reason(self) -> None:
        self.add(1.0, "RUN_PLACED")
        self.add(5.0, "WORKER_SILENT", worker="w1")
        self.add(11.0, "RUN_VANISHED", why="lapsed", lasting=True)
        access: dict[str, Any] = {"kept_room_access": [["ab", 0, "few_rooms"]]}
        for at, why in ((10, ""), (12, "fragments"), (14, "kept"), (16, "kept"), (18, "")):
            self.add_state(at, *([(1, why)] if why else []), **access)
        self.add(17.0, "RUN_PLACED", run=2)
        self.assertIn(
            "  ab.0.0.0: 12.0 s, 5.0 (lapsed on w1) to 17.0 (placed in north-a): "
            "lease:6.0 fragments:3.0 kept(few_rooms):3.0",
            self.report(),
        )

    def add_two_ends(self) -> None:
        """Let two tasks of the step be without a run from 10.0 on."""
        for index in (0, 1):
            self.add(10.0, "RUN_ENDED", task=f"ab.0.0.{index}", how="failed")

    def test_tasks_that_no_cell_lists_are_reported(self) -> None:
        self.add_two_ends()
        for at in range(10, 31, 2):
            self.add_state(at, *([] if 16 <= at < 24 else [(2, "full")]))
            self.add_state(at + 0.5, cell="b")
        self.assertIn("  in no cell's list: 2 tasks, 16.0 to 22.0", self.report())
        self.assertIn("task seconds by reason: full:29.0 unlisted:12.0", self.report())

    def test_one_task_of_two_that_no_cell_lists_is_reported(self) -> None:
        self.add_two_ends()
        for at in range(10, 31, 2):
            self.add_state(at, (1, "full"))
        self.add(31.0, "JOB_STORED", job="cd", queue="q")
        self.assertIn("  in no cell's list: 1 tasks, 10.0 to 31.0", self.report())

    def test_a_move_between_two_summaries_leaves_no_task_unlisted(self) -> None:
        self.add_two_ends()
        for at in range(10, 31, 2):
            self.add_state(at, *([(2, "full")] if at < 18 else []))
            self.add_state(at + 0.1, *([(2, "kept")] if at > 18 else []), cell="b")
        self.assertFalse([row for row in self.report() if "no cell" in row])

    def test_a_full_list_is_marked(self) -> None:
        self.add_two_ends()
        others = [[f"j{number}", 0, 1, 2.0, 9.0, "full"] for number in range(32)]
        for at in range(10, 31, 2):
            self.add(at, "CELL_STATE", cell="a", lasting_waits=others)
        self.assertIn("  in no cell's list: 2 tasks, 10.0 to 30.0 (lists full)", self.report())

    def test_an_unlisted_task_may_run_if_lines_of_starts_were_left_out(self) -> None:
        for counts, expected in (({"RUN_PLACED": 5}, True), ({"RUN_ENDED": 5}, False)):
            self.setUp()
            self.add_two_ends()
            for at in range(10, 31, 2):
                self.add_state(at, *([(2, "full")] if at < 18 else []))
            self.add(17.0, "LEFT_OUT", counts=counts)
            rows = [row for row in self.report() if "its start may be left out" in row]
            self.assertEqual(
                [row.split(":")[0].strip() for row in rows],
                [f"ab.0.0.{i}" for i in (0, 1)] if expected else [],
            )
            self.assertEqual(any("no cell" in row for row in self.report()), not expected)

    def test_lines_of_lasting_starts_that_have_their_own_limit_are_not_doubted(self) -> None:
        for name, expected in (("RUN_PLACED", 0), ("RUN_PLACED lasting", 2)):
            self.setUp()
            self.add(1.0, "RUN_PLACED", task="ab.0.0.7", lasting=True, gap_ms=None, waited_ms=1)
            self.add_two_ends()
            for at in range(10, 31, 2):
                self.add_state(at, *([(2, "full")] if at < 18 else []))
            self.add(17.0, "LEFT_OUT", counts={name: 5})
            rows = [row for row in self.report() if "its start may be left out" in row]
            self.assertEqual(len(rows), expected)

    def test_moves_and_what_was_seen_are_listed(self) -> None:
        self.add_two_ends()
        move = {"job": "ab", "step": 0, "tasks": 2}
        seen = {"why": "stranded", "slots": 3, "left": 2, "row_age_ms": 400}
        self.add(12.0, "JOB_MOVED", **move, cell="north-a", to="north-b", **seen)
        self.add(13.0, "RUN_PLACED", run=2, task="ab.0.0.1", cell="north-b")
        self.add(14.0, "JOB_MOVED", **{**move, "tasks": 1}, cell="north-b", to="north-a")
        self.add(15.0, "JOB_MOVED", **{**move, "job": "short"}, cell="north-a", to="north-b")
        self.add(20.0, "RUN_PLACED", run=2, cell="north-a")
        rows = self.report()
        at = rows.index("  moves, 1 straight back:")
        self.assertEqual(
            rows[at + 1 : at + 3],
            [
                "    12.0 a>b (1 of 2 started, why stranded, slots 3, left 2, row 0.4 s)",
                "    14.0 b>a (0 of 1 started)",
            ],
        )
        self.assertIn(
            "2 moves of 1 lasting steps, 1 straight back; "
            "1 of 3 moved tasks have the line of a start there within 2.5 s",
            rows,
        )

    def test_refusals_and_holding_workers_are_counted(self) -> None:
        self.add_two_ends()
        refusal = {"job": "ab", "step": 0, "must_start": True}
        self.add(12.0, "JOB_NOT_MOVED", **refusal, slots={"b": 3, "c": 0}, left={"b": 0, "c": 0})
        self.add(14.0, "JOB_NOT_MOVED", **refusal, slots={"b": 0}, left={"b": 0})
        self.add_state(15.0, (2, "held"), held_by=[["ab", 0, "w1", 1], ["ab", 0, "", 1]])
        self.add(20.0, "JOB_STORED", job="cd", queue="q")
        rows = self.report()
        self.assertIn("  held by (summaries): w1:1 no worker named:1", rows)
        found = "2 must_start, 1 without a slot in any cell, 1 with slots that recent moves hide"
        self.assertIn(f"  not moved: 2 lines, {found}", rows)

    def test_tasks_that_wait_without_any_line_of_a_run_are_named(self) -> None:
        self.add(10.0, "RUN_ENDED", how="failed")
        self.add_state(20.0, (3, "full"))
        self.assertIn("wait at the end, without a line of a run: ab.0:2", self.report())

    def test_times_count_from_the_zero_of_the_lines_prefix(self) -> None:
        event = json.dumps({"t": 105.5, "name": "JOB_STORED"})
        self.assertEqual(find_zero(["built in 3 s\n", f"  5.5 east-1 {event}\n"]), 100.0)
        self.assertEqual(find_zero([f"east-1 {event}\n"]), 105.5)
        self.assertEqual(find_zero([event, ""]), 105.5)

    def test_the_command_prints_the_report_and_what_was_left_out(self) -> None:
        self.add(4.0, "RUN_ENDED", how="failed")
        self.add(14.0, "RUN_PLACED", run=2)
        self.add(15.0, "LEFT_OUT", counts={"RUN_ENDED": 3})
        with tempfile.NamedTemporaryFile("w") as log, io.StringIO() as out:
            log.write("".join(self.lines))
            log.flush()
            with contextlib.redirect_stdout(out):
                main(["lasting", log.name])
            rows = out.getvalue().splitlines()
        self.assertEqual(rows[-1], "left out by the writers: RUN_ENDED:3")
        self.assertTrue(rows[2].startswith("  ab.0.0.0: 10.0 s, 4.0 (failed on w1) to 14.0"))

    def test_logs_without_lasting_tasks_have_no_gaps(self) -> None:
        for lines in ([], [line(1.0, "RUN_PLACED", task="ab.0.0.0", run=1, worker="w1")]):
            self.lines = lines
            self.assertIn("0 times without a run over 6 s, of 0 lasting tasks", self.report()[1])


if __name__ == "__main__":
    unittest.main()
