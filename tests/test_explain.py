"""Tests of tools.explain on log lines in the format that entries write."""

import json
import unittest

from tools.explain import (
    find_suspect_pairs,
    format_left_out,
    parse_events,
    sizes,
    tabulate_times,
    trace,
    twice,
)


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


if __name__ == "__main__":
    unittest.main()
