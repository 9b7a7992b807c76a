"""Tests that all findings of a journal entry are printed, not only its violated rules."""

import contextlib
import io
import json
import tempfile
import unittest
from typing import Any

from tools.findings import format_findings, main

CLEAN = {"name": "quiet-1", "seed": 1, "rules": {}, "labels": {}, "fault": None, "short": []}


def make_entry(*days: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Return an entry with the given days."""
    return {"id": "ab12", "site": "hub", "error": None, "days": list(days), **fields}


class Findings(unittest.TestCase):
    def test_rules_labels_fault_and_missed_minimums_are_reported(self) -> None:
        day = {
            **CLEAN,
            "rules": {"TWICE": 2},
            "labels": {"SIZES": 1},
            "fault": "too slow",
            "short": ["0.03 of the next largest fifth of q were served", "0.1 of q was earned"],
        }
        self.assertEqual(
            list(format_findings(make_entry(CLEAN, day))),
            [
                "ab12 hub quiet-1 --seed 1: TWICE 2, SIZES 1",
                "ab12 hub quiet-1 --seed 1: fault: too slow",
                "ab12 hub quiet-1 --seed 1: short: 0.03 of the next largest fifth of q were served",
                "ab12 hub quiet-1 --seed 1: short: 0.1 of q was earned",
            ],
        )

    def test_an_error_and_days_left_out_are_reported(self) -> None:
        found = list(format_findings(make_entry(error="does not start", days_left_out=3)))
        self.assertEqual(
            found, ["ab12 hub: error: does not start", "ab12 hub: 3 days are not in the entry"]
        )

    def test_an_entry_without_days_has_no_findings(self) -> None:
        self.assertEqual(list(format_findings({"id": "ab12", "site": "hub", "days": None})), [])

    def test_a_generated_day_shows_its_seed_once(self) -> None:
        day = {**CLEAN, "name": "mix --seed 45", "seed": 45, "rules": {"LOST": 1}}
        self.assertEqual(list(format_findings(make_entry(day))), ["ab12 hub mix --seed 45: LOST 1"])

    def test_the_last_line_counts_all_days_and_clean_days(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(make_entry(CLEAN, {**CLEAN, "short": ["missed"]}), file)
            file.flush()
            stdout = io.StringIO()
            with contextlib.redirect_stdout(stdout):
                main([file.name, file.name])
        rows = stdout.getvalue().splitlines()
        self.assertEqual(rows[-1], "2 entries, 4 days, 2 of them without a finding")
        self.assertEqual(len(rows), 3)


if __name__ == "__main__":
    unittest.main()
