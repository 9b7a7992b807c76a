"""Tests that logging is rate-limited and never blocks."""

import os
import unittest

import orjson

from curranthall.events import Event
from curranthall.logwriter import MAX_LINES_PER_EVENT, LogWriter


class Logs(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.out = os.pipe()
        self.now = 100.0
        self.writer = LogWriter(self.out, lambda: self.now)

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.out)

    def lines(self) -> list[dict[str, object]]:
        """Return the lines written so far."""
        return [orjson.loads(line) for line in os.read(self.reader, 1_000_000).splitlines()]

    def test_a_line_is_one_json_object(self) -> None:
        self.writer.write(Event.JOB_STORED, {"job": "a", "cell": "north"})
        expected = {"t": 100.0, "event": 2301, "name": "JOB_STORED", "job": "a", "cell": "north"}
        self.assertEqual(self.lines(), [expected])

    def test_repeated_events_are_limited_and_counted(self) -> None:
        for _ in range(MAX_LINES_PER_EVENT + 25):
            self.writer.write(Event.RUN_PLACED, {"task": "x"})
        self.writer.write(Event.JOB_REFUSED, {"job": "b"})
        self.now += 1
        self.writer.write(Event.JOB_STORED, {"job": "c"})
        lines = self.lines()
        names = [line["name"] for line in lines]
        self.assertEqual(names.count("RUN_PLACED"), MAX_LINES_PER_EVENT)
        self.assertIn("JOB_REFUSED", names)
        left_out = next(line for line in lines if line["name"] == "LEFT_OUT")
        self.assertEqual(left_out["counts"], {"RUN_PLACED": 25})

    def test_lines_about_lasting_tasks_have_their_own_limit(self) -> None:
        for _ in range(MAX_LINES_PER_EVENT + 25):
            self.writer.write(Event.RUN_PLACED, {"task": "short"})
        for number in range(MAX_LINES_PER_EVENT + 2):
            self.writer.write(Event.RUN_PLACED, {"task": f"x{number}", "lasting": True})
            self.writer.write(Event.RUN_VANISHED, {"task": "short", "lasting": False})
        self.now += 1
        self.writer.write(Event.CELL_STATE, {"lasting": {"waiting": 1}})
        lines = self.lines()
        found = [line["task"] for line in lines if line.get("lasting") is True]
        self.assertEqual(found, [f"x{number}" for number in range(MAX_LINES_PER_EVENT)])
        left_out = next(line for line in lines if line["name"] == "LEFT_OUT")
        expected = {"RUN_PLACED": 25, "RUN_PLACED lasting": 2, "RUN_VANISHED": 2}
        self.assertEqual(left_out["counts"], expected)

    def test_a_stalled_reader_blocks_nothing_and_gets_a_drop_count(self) -> None:
        text = "x" * 5_000
        for _ in range(200):
            self.now += 1
            self.writer.write(Event.JOB_STORED, {"text": text})
        self.assertGreater(self.writer.dropped, 0)
        os.set_blocking(self.reader, False)
        read = self.read_all()
        self.now += 1
        self.writer.write(Event.JOB_STORED, {"job": "c"})
        lines = [orjson.loads(line) for line in (read + self.read_all()).splitlines()]
        dropped = sum(line["lines"] for line in lines if line["name"] == "DROPPED")
        written = sum(line["name"] == "JOB_STORED" for line in lines)
        self.assertEqual(written + dropped, 201)

    def read_all(self) -> bytes:
        """Read until the pipe is empty and the writer has nothing left to flush."""
        found = b""
        while True:
            try:
                found += os.read(self.reader, 65_536)
            except BlockingIOError:
                return found
            self.writer.flush()

    def test_a_closed_reader_does_not_stop_the_writer(self) -> None:
        reader, out = os.pipe()
        writer = LogWriter(out, lambda: self.now)
        os.close(reader)
        writer.write(Event.JOB_STORED, {"job": "a"})
        os.close(out)


if __name__ == "__main__":
    unittest.main()
