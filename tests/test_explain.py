"""The table of where jobs' time went, from log lines as entries write them."""

import json
import unittest

from tools.explain import left_out, pairs, parse_events, report, sizes, trace, twice


def line(at: float, name: str, **fields: object) -> str:
    """Write a line as the bench shows it: time and process before the object."""
    return f"  {at:.4f} east-1 {json.dumps({'t': at, 'name': name, **fields})}\n"


class Explaining(unittest.TestCase):
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

    def test_a_steps_wait_is_parted_from_its_runs(self) -> None:
        job = trace(parse_events(self.lines))["ab"]
        first, second = list(job.stays())
        self.assertEqual([round(each, 1) for each in first], [0.5, 2.0, 1.5])
        self.assertEqual([round(each, 1) for each in second], [1.0, 0.0, 1.0])
        self.assertEqual((job.moved, job.ends["failed"], job.phase), (1, 1, "failed"))

    def test_the_table_has_a_row_for_each_queue(self) -> None:
        rows = list(report(trace(parse_events(self.lines))))
        self.assertIn("cuts", rows[2])
        self.assertEqual(rows[3].split("|")[3].split(), ["6.10", "6.10"])

    def test_what_is_no_event_is_passed_over(self) -> None:
        self.assertEqual(list(parse_events(["", "{", "[1]", '{"t": 1}', "x {} y"])), [])


class Sizes(unittest.TestCase):
    def rows(self, *lines: str) -> dict[tuple[str, str], list[str]]:
        """Give the table's cells by queue and size."""
        _, *rows = sizes(list(parse_events(lines)))
        return {(row[:13].strip(), row[13:25].strip()): row[25:].split() for row in rows}

    def jobs(self) -> list[str]:
        """Ten jobs of growing work: the smaller ones in time, the largest never begun."""
        lines = []
        for number in range(10):
            name, small = f"j{number}", number < 9
            lines.append(line(number, "JOB_STORED", job=name, queue="cuts", work=number + 1))
            lines.append(line(number, "JOB_ADOPTED", job=name, size="1" if small else "2"))
            if small:
                lines.append(line(20, "RUN_PLACED", task=f"{name}.0.0.0", run=1))
                lines.append(line(21, "JOB_ENDED", job=name, phase="completed", outcome="in_time"))
        return lines

    def test_the_largest_jobs_stand_by_themselves(self) -> None:
        rows = self.rows(*self.jobs())
        self.assertEqual(rows["cuts", "all"][:3], ["10", "9", "9"])
        self.assertEqual(rows["cuts", "largest 10%"], ["1", "0", "0", "0", "0", "0", "0", "1"])
        self.assertEqual(rows["cuts", "next 20%"][:3], ["2", "2", "2"])
        self.assertEqual((rows["cuts", "x1"][0], rows["cuts", "x2"][0]), ("9", "1"))

    def test_what_tasks_waited_for_is_summed_up(self) -> None:
        told = [["cuts", "2", "strain", 3, 9.0, 1, 1], ["cuts", "1", "full", 1, 1.0, 1, 0]]
        states = [line(at, "CELL_STATE", cell="a", waits=told) for at in (30, 32)]
        rows = self.rows(*self.jobs(), *states)
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

    def test_lines_that_were_left_out_are_told(self) -> None:
        lines = [line(1, "LEFT_OUT", counts={"RUN_PLACED": 2}) for _ in range(2)]
        self.assertEqual(
            list(left_out(parse_events(lines))), ["left out by the writers: RUN_PLACED:4"]
        )


class Twice(unittest.TestCase):
    first = line(1.0, "RUN_PLACED", task="ab.0.0.0", run=1, worker="w1", cell="north", epoch=3)
    second = line(5.0, "RUN_PLACED", task="ab.0.0.0", run=2, worker="w2", cell="south", epoch=4)

    def kinds(self, *lines: str) -> list[str]:
        """Give the kinds of the doubtful starts."""
        return [pair.kind for pair in pairs(parse_events(lines))]

    def end(self, at: float, how: str) -> str:
        return line(at, "RUN_ENDED", task="ab.0.0.0", run=1, worker="w1", how=how)

    def test_an_end_after_the_second_start_means_two_runs_at_once(self) -> None:
        judged = line(4.0, "RUN_VANISHED", task="ab.0.0.0", run=1, worker="w1", why="lapsed")
        for before in ([], [judged]):
            found = self.kinds(self.first, *before, self.second, self.end(6.0, "stopped"))
            self.assertEqual(found, ["two runs at once"])

    def test_an_end_that_the_next_holder_hears_of_again_is_one_end(self) -> None:
        ends = [self.end(at, "stopped") for at in (4.9, 5.1)]
        self.assertEqual(self.kinds(self.first, ends[0], self.second, ends[1]), [])

    def test_a_start_after_done_is_told(self) -> None:
        found = self.kinds(self.first, self.end(4.0, "done"), self.second)
        self.assertEqual(found, ["started after done"])

    def test_an_end_that_no_line_shows_is_told(self) -> None:
        found = self.kinds(self.first, self.second)
        self.assertEqual(found, ["no end of the first run in the logs"])

    def test_a_start_after_an_end_or_a_proof_is_in_order(self) -> None:
        self.assertEqual(self.kinds(self.first, self.end(4.0, "failed"), self.second), [])
        gone = line(4.0, "RUN_VANISHED", task="ab.0.0.0", run=1, worker="w1", why="gone")
        self.assertEqual(self.kinds(self.first, gone, self.second), [])

    def test_an_end_that_the_second_start_names_needs_no_line(self) -> None:
        again = {"task": "ab.0.0.0", "run": 2, "worker": "w2"}
        for why, wanted in (("ended failed", []), ("ended done", ["started after done"])):
            second = line(5.0, "RUN_PLACED", **again, after=[why, 1, "w1"])
            self.assertEqual(self.kinds(self.first, second), wanted)

    def test_both_starts_stand_side_by_side(self) -> None:
        rows = list(twice(list(parse_events([self.first, self.second, self.end(6.0, "stopped")]))))
        self.assertEqual(rows[0], "ab.0.0.0: two runs at once")
        self.assertIn(["cell", "north", "south"], [row.split() for row in rows])
        self.assertIn('"how": "stopped"', rows[-3])
        self.assertEqual(rows[-2:], ["1 x two runs at once", "0 RUN_DUPLICATE"])


if __name__ == "__main__":
    unittest.main()
