"""The findings of journal entries: all that a day broke or missed, not its broken rules only."""

import contextlib
import io
import json
import tempfile
import unittest
from typing import Any

from tools.findings import findings, main

CLEAN = {"name": "quiet-1", "seed": 1, "rules": {}, "labels": {}, "fault": None, "short": []}


def entry(*days: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Build an entry of some days."""
    return {"id": "ab12", "site": "hub", "error": None, "days": list(days), **fields}


class Findings(unittest.TestCase):
    def test_rules_labels_fault_and_missed_floors_are_all_told(self) -> None:
        day = {
            **CLEAN,
            "rules": {"TWICE": 2},
            "labels": {"SIZES": 1},
            "fault": "too slow",
            "short": ["0.03 of the next largest fifth of q were served", "0.1 of q was earned"],
        }
        self.assertEqual(
            list(findings(entry(CLEAN, day))),
            [
                "ab12 hub quiet-1 --seed 1: TWICE 2, SIZES 1",
                "ab12 hub quiet-1 --seed 1: fault: too slow",
                "ab12 hub quiet-1 --seed 1: short: 0.03 of the next largest fifth of q were served",
                "ab12 hub quiet-1 --seed 1: short: 0.1 of q was earned",
            ],
        )

    def test_an_error_and_days_left_out_are_told(self) -> None:
        found = list(findings(entry(error="does not start", days_left_out=3)))
        self.assertEqual(
            found, ["ab12 hub: error: does not start", "ab12 hub: 3 days are not in the entry"]
        )

    def test_an_entry_without_days_has_no_findings(self) -> None:
        self.assertEqual(list(findings({"id": "ab12", "site": "hub", "days": None})), [])

    def test_a_drawn_day_names_its_seed_once(self) -> None:
        day = {**CLEAN, "name": "mix --seed 45", "seed": 45, "rules": {"LOST": 1}}
        self.assertEqual(list(findings(entry(day))), ["ab12 hub mix --seed 45: LOST 1"])

    def test_the_last_line_counts_days_and_clean_ones(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(entry(CLEAN, {**CLEAN, "short": ["missed"]}), file)
            file.flush()
            told = io.StringIO()
            with contextlib.redirect_stdout(told):
                main([file.name, file.name])
        rows = told.getvalue().splitlines()
        self.assertEqual(rows[-1], "2 entries, 4 days, 2 of them without a finding")
        self.assertEqual(len(rows), 3)


if __name__ == "__main__":
    unittest.main()
