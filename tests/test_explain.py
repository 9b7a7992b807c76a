"""The table of where jobs' time went, from log lines as entries write them."""

import json
import unittest

from tools.explain import events, report, trace


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
        job = trace(events(self.lines))["ab"]
        first, second = list(job.stays())
        self.assertEqual([round(each, 1) for each in first], [0.5, 2.0, 1.5])
        self.assertEqual([round(each, 1) for each in second], [1.0, 0.0, 1.0])
        self.assertEqual((job.moved, job.ends["failed"], job.phase), (1, 1, "failed"))

    def test_the_table_has_a_row_for_each_queue(self) -> None:
        rows = list(report(trace(events(self.lines))))
        self.assertIn("cuts", rows[2])
        self.assertEqual(rows[3].split("|")[3].split(), ["6.10", "6.10"])

    def test_what_is_no_event_is_passed_over(self) -> None:
        self.assertEqual(list(events(["", "{", "[1]", '{"t": 1}', "x {} y"])), [])


if __name__ == "__main__":
    unittest.main()
