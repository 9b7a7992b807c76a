"""A sample of the fault matrix, and every case that failed before."""

import os
import unittest

from tests.matrix import CI_EVERY, CI_PAIRS, Case, Fault, pairs, run_all, singles

ONCE_FAILED = [
    Case((Fault("table.scan", "outage", "during"),), 1),
    Case((Fault("table.claim", "answer-lost", "-"),), 1),
    Case((Fault("table.submit", "answer-lost", "-"),), 3),
    Case((Fault("table.requeue", "answer-late", "-"),), 3),
    Case((Fault("table.progress", "freeze-caller", "before"),), 3),
    Case((Fault("mesh.forward", "message-twice", "-"),), 2),
    Case((Fault("task.start", "kill-target", "during"),), 2),
    Case((Fault("lease.claim", "freeze-caller", "before"),), 1),
    Case((Fault("request.send", "kill-target", "after"),), 3),
    Case(
        (
            Fault("table.register", "freeze-caller", "during"),
            Fault("table.finish", "freeze-caller", "after"),
        ),
        154,
    ),
]


class Matrix(unittest.TestCase):
    def test_cases(self) -> None:
        cases = ONCE_FAILED + singles()[::CI_EVERY] + pairs(CI_PAIRS)
        problems = {}
        for case, found, _ in run_all(cases, min(8, os.cpu_count() or 1)):
            if found:
                problems[str(case)] = found
        self.assertEqual(problems, {})
